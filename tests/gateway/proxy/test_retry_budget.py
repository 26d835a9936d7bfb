"""Tests of the share of the retry slack that a proxy takes while it knows few others."""

from __future__ import annotations

import random

from gateway.proxy import service as services
from gateway.proxy.decisions import Decisions
from gateway.proxy.events import BackendsChanged, PeersChanged
from gateway.proxy.retry_budget import RetryBudget
from gateway.quota.quota_client import QuotaClient
from ingress import interface as io


def test_service_first_used_after_losing_all_peers_has_no_larger_share_of_the_slack() -> None:
    rng = random.Random(1)
    d = Decisions(
        QuotaClient(5.0, rng), services.settings(12, 0.3, "z1"), lambda n: RetryBudget(0.2, 68, 10.0, n), rng
    )
    d.handle(0.0, PeersChanged(2, 0, 1))  # the other proxies have not reported to the controllers yet
    d.handle(0.0, BackendsChanged("s1", (io.BackendEntry("i1", io.Phase.RUNNING),)))
    assert d.services["s1"].budget.ingresses == 12
    d.handle(1.0, PeersChanged(14, 0, 5))
    assert d.services["s1"].budget.ingresses == 14
