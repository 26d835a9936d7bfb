"""What a new shard owner reserves for a quota client that never reports its share because it was lost."""

from __future__ import annotations

from gateway.quota.protocol import FULL_SHARE
from gateway.quota.tenant_counter import ReportedShare, TenantCounter
from gateway.quota.window import Window
from tests.gateway.quota.quota_network import SPAN_S, QuotaNetwork


def test_reduced_shares_are_not_reserved() -> None:
    count = TenantCounter(100.0, Window(1.0, 60), 100.0, 1)
    for name in "ab":
        count.on_share_reported(100.1, name, ReportedShare(FULL_SHARE // 2 - 400, 12.0, 0, 100.0))
    count.reserve({}, True)
    reserved = count.reserved
    assert round(reserved * FULL_SHARE / 60) == 800
    for window in range(1, 9):  # now all requests arrive at one of them
        now = 100.5 + window
        count.begin_window(now)
        for id in range(40):
            count.charge(now, count.shares.by_client["b"], 100 * window + id, 0, 0)
        for name, share in list(count.shares.by_client.items()):
            count.shares.renew(now, name, share, share.number)
        count.reserve({}, True)
        assert count.reserved == reserved and count.shares.outstanding <= FULL_SHARE - 800
    assert count.shares.by_client["b"].size > FULL_SHARE // 2


def test_loss_of_a_machine_with_owner_and_client_rejects_few_requests() -> None:
    net = QuotaNetwork(14, 3, {"calm": (40.0, 40.0)}, 3)
    net.run(6.0)
    net.load("calm", 27.0, 40.0)
    net.run(15.0)
    for name in (next(n for n, h in net.owners.items() if h.counter_states(net.now)), "s3"):
        net.kill(name)
    if net.leader in net.dead:
        net.set_leader(next(iter(net.owners)))
    asked = net.request_count["calm"]
    net.run(40.0)
    assert len(net.rejections) < 0.05 * (net.request_count["calm"] - asked) and net.max_in_span(
        "calm"
    ) <= 40 * (SPAN_S + 1)
