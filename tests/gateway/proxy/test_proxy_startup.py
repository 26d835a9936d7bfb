"""Tests of a proxy that has just started: its concurrency before it has measurements, and its reports."""

from __future__ import annotations

import logging
import random
from types import SimpleNamespace
from typing import Any

import pytest

from gateway.proxy import service as services
from gateway.proxy.refusals import Refusals
from gateway.proxy.retry_budget import RetryBudget
from gateway.proxy.service import Service
from gateway.quota.outputs import OVER_ALLOWANCE
from ingress import interface as io
from ingress.customer import Customer
from ingress.flight import ActiveRequest

INGRESSES, BACKENDS = 4, 12


def flight(name: str, cls: io.ClassSettings) -> ActiveRequest:
    """Return a request that has just been admitted."""
    context: Any = SimpleNamespace(route=SimpleNamespace(tries=1))
    request = io.Request(name, cls.name, "t1", 0, cls.deadline, 1.0, context=context)
    return ActiveRequest(request, cls, Customer(0, io.PlanSettings("t1", 0.0, 0.0), 0.0), 0.0)


def service(give_up: Any) -> Service:
    """Return a proxy that learns of its backends one after the other and knows no other proxy.

    A new leader reports this, as it has not received heartbeats of other proxies yet.
    """
    terms = services.settings(1, 1.0, "z1")
    s = Service("s1", terms, RetryBudget(0.2, 9.0, 10.0, INGRESSES), random.Random(1), 0.0, give_up)
    for n in range(BACKENDS):
        entry = io.BackendEntry(f"b{n:02}", io.Phase.RUNNING, 4.0, zone="z1")
        s.apply_backend_list(0.0, io.ListUpdate(io.ListKind.CHANGE, 0, (entry,)))
    return s


def test_backends_added_one_by_one_allow_the_same_concurrency_as_a_full_list() -> None:
    refused: list[ActiveRequest] = []
    s = service(lambda now, f, wait: refused.append(f))
    cls = io.ClassSettings("read", io.Effect.SAFE, 5.0, 5.0)
    s.learn_route(cls, 2.0, "t1")
    for n in range(40):
        s.send(0.0, flight(f"r{n}", cls))
    assert (len(s.actions), len(refused)) == (6 * BACKENDS // INGRESSES, 0)


def test_warning_lists_all_causes_of_failures_in_a_second(caplog: pytest.LogCaptureFixture) -> None:
    seen = Refusals()
    with caplog.at_level(logging.INFO, "gateway.proxy.refusals"):
        for why, n in (("no backend known", 9), (OVER_ALLOWANCE, 4)):
            for _ in range(n):
                seen.request_received(0.0)
                seen.count(0.1, why)
        seen.request_received(1.0)
        for _ in range(9):
            seen.count(1.5, OVER_ALLOWANCE)  # refused by the tenant's own allowance
        seen.request_received(2.1)
    assert [(r.levelname, r.getMessage()) for r in caplog.records] == [
        ("WARNING", "of 13 requests in a second rejected: no backend known 9, over the allowance 4"),
        ("INFO", "of 1 requests in a second rejected: over the allowance 9"),
    ]
