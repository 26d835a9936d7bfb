"""What a new shard owner admits before its count opens if no share is reported to it."""

from __future__ import annotations

import random

import pytest

from gateway.quota.events import Allowances, LeadershipChange, LiveControllers, Received, SetLeader, Tick
from gateway.quota.protocol import ALL_SHARDS, FULL_SHARE, VerdictCode, tenant_number
from gateway.quota.quota_pb2 import Charge, ClientHeartbeat, LeaseGrant, LeaseRequest, Message
from gateway.quota.shard_assigner import ShardAssigner
from gateway.quota.shard_owner import ShardOwner
from gateway.quota.tenant_counter import EARLY_FRACTION, ReportedShare, TenantCounter
from gateway.quota.window import Window
from tests.gateway.quota.quota_network import QuotaNetwork


def test_part_of_the_allowance_accrues_evenly_until_the_count_opens() -> None:
    count = TenantCounter(100.0, Window(1.0, 60), 100.0, 1)
    share = count.shares.share_of("10.0.0.1:7660", 0)
    went = [now for now in range(100) if count.charge(100.0 + now / 100, share, now, 0, 0)]
    assert not [n for n in went if n < 3] and len([n for n in went if n < 50]) in (14, 15)
    assert len(went) <= EARLY_FRACTION * 60
    count.begin_window(101.0)
    assert sum(count.charge(101.0, share, 1000 + n, 0, 0) for n in range(99)) == 60  # the count is open now


def test_only_reported_shares_accrue_once_one_is_reported() -> None:
    """Quota clients that reported nothing may use shares of their own meanwhile.

    Admitting both the reported shares and `EARLY_FRACTION` exceeded the allowance.
    """
    count = TenantCounter(100.0, Window(1.0, 60), 100.0, 1)
    count.on_share_reported(100.0, "10.0.0.1:7660", ReportedShare(FULL_SHARE // 5, 10.0, 0, 100.0))
    share = count.shares.share_of("10.0.0.2:7660", 0)
    went = [n for n in range(100) if count.charge(100.0 + n / 100, share, n, 0, 0)]
    assert 0 < len(went) <= 60 // 5


def open_count() -> TenantCounter:
    """A count of a shard that nobody has counted for more than a window."""
    return TenantCounter(100.0, Window(1.0, 60), 98.9, 1, 100.0)


def admitted(count: TenantCounter, now: float, sender: str) -> int:
    share = count.shares.share_of(sender, 0)
    return sum(count.charge(now, share, int(now * 1e6) + n, 0, 0) for n in range(99))


def test_count_opens_at_once_if_nobody_counted_for_a_window() -> None:
    count = open_count()
    assert admitted(count, 100.0, "10.0.0.1:7660") == 60


def test_count_closes_again_when_an_earlier_share_is_reported() -> None:
    count = open_count()
    count.on_share_reported(100.0, "10.0.0.1:7660", ReportedShare(FULL_SHARE // 5, 10.0, 0, 100.0))
    assert admitted(count, 100.5, "10.0.0.2:7660") <= 60 // 10
    count.begin_window(101.0)
    assert count.opens_at == 101.0


def lease_grant(
    shards: int = ALL_SHARDS, number: int = 1, at: float = 99.9, incarnation: int = 0
) -> LeaseGrant:
    return LeaseGrant(
        incarnation=incarnation,
        request_sent_at=at,
        term=1,
        number=number,
        shards=shards,
        idle_shards=ALL_SHARDS,
        idle_ms=1500,
    )


def charge(owner: ShardOwner, now: float, id: int, had_share: bool = False) -> int:
    message = Message(
        charge=Charge(id=id, tenant=tenant_number("one"), incarnation=7, had_other_share=had_share)
    )
    (answer,) = owner.handle(now, Received("10.0.0.1:7660", message))
    return int(answer.message.verdict.code)


def owner_at(now: float) -> ShardOwner:
    owner = ShardOwner(5.0, random.Random(1))
    owner.handle(now, Allowances({"one": (10.0, 10.0)}))
    owner.handle(now, SetLeader("p0"))
    owner.handle(now, Received("p0", Message(lease_grant=lease_grant(incarnation=owner.incarnation))))
    owner.handle(
        now,
        Received(
            "10.0.0.1:7660",
            Message(client_heartbeat=ClientHeartbeat(incarnation=7, number=1, shards=ALL_SHARDS)),
        ),
    )
    return owner


def test_shard_owner_opens_at_once_only_the_first_time() -> None:
    owner = owner_at(100.0)
    assert [charge(owner, 100.0, n) for n in range(11)] == [VerdictCode.ADMITTED] * 10 + [
        VerdictCode.REJECTED
    ]
    owner.handle(103.0, Tick())  # its lease has expired
    owner.handle(
        103.0,
        Received("p0", Message(lease_grant=lease_grant(number=2, at=103.0, incarnation=owner.incarnation))),
    )
    assert charge(owner, 103.0, 20) == VerdictCode.NOT_OPEN


def test_client_that_had_a_share_closes_the_count() -> None:
    owner = owner_at(100.0)
    assert charge(owner, 100.0, 1, had_share=True) == VerdictCode.NOT_OPEN


def request_lease(
    shard_assigner: ShardAssigner, now: float, sender: str, incarnation: int = 1, shards: int = 0
) -> LeaseGrant:
    request = LeaseRequest(incarnation=incarnation, sent_at=now, shards=shards)
    return next(
        o.message.lease_grant
        for o in shard_assigner.handle(now, Received(sender, Message(lease_request=request)))
        if getattr(o, "to", "") == sender
    )


def leader(leaderless_since: float | None) -> ShardAssigner:
    shard_assigner = ShardAssigner()
    shard_assigner.handle(10.0, LeadershipChange(1, True, leaderless_since))
    shard_assigner.handle(10.0, LiveControllers(["p0", "p1"], ["p0", "p1"]))
    return shard_assigner


def test_first_leader_reports_how_long_shards_were_idle() -> None:
    shard_assigner = leader(9.0)
    assert request_lease(shard_assigner, 10.1, "p0").shards == 0  # p1 may own some shards
    one, other = request_lease(shard_assigner, 10.1, "p1"), request_lease(shard_assigner, 10.2, "p0")
    assert (
        one.idle_shards == one.shards
        and other.idle_shards == other.shards
        and one.shards | other.shards == ALL_SHARDS
    )
    assert one.idle_ms in (1099, 1100) and other.idle_ms in (1199, 1200)
    assert (
        request_lease(shard_assigner, 10.3, "p1", incarnation=2).idle_shards == 0
    )  # its earlier process may have counted them
    assert request_lease(leader(None), 10.1, "p0").idle_shards == 0
    reported = leader(9.0)
    request_lease(reported, 10.1, "p0", shards=5)
    request_lease(reported, 10.1, "p1")
    assert request_lease(reported, 10.2, "p0", shards=5).idle_shards & 5 == 0


def restart_all(
    seed: int, down_s: float, proxies_too: bool, known_leaderless: bool = True, age_s: float = 0.2
) -> QuotaNetwork:
    """Overload one tenant but not another, then kill and restart all processes or only the core's."""
    net = QuotaNetwork(14, 3, {"hot": (63.0, 63.0), "calm": (100.0, 100.0)}, seed)
    net.run(6.0)
    net.load("hot", 63.0 * 8, 22.0)
    net.load("calm", 60.0, 22.0)
    net.run(12.0 + net.rng.random())
    proxies, core = list(net.quota_clients) if proxies_too else [], list(net.owners)
    for name in (*core, *proxies):
        net.kill(name)
    net.run(net.now + down_s)
    for name in (*proxies, *core):
        net.run(net.now + 0.01)
        net.start(name)
    began = net.now
    net.run(began + age_s)
    net.set_leader("p0", began if known_leaderless else None)
    return net


@pytest.mark.parametrize("proxies_too", [True, False])
def test_allowance_holds_after_a_restart_of_all_processes(proxies_too: bool) -> None:
    for seed in range(16):
        net = restart_all(seed, 0.1 * seed, proxies_too)
        net.run(22.0)
        assert net.max_in_span("hot") <= net.allowance_bound("hot")


def test_known_leaderless_time_admits_more_after_a_restart() -> None:
    def served(known_leaderless: bool) -> int:
        net = restart_all(3, 1.5, True, known_leaderless, 0.6)
        begin = net.now
        net.run(begin + 1.0)
        return sum(t > begin for t in net.admitted_at["hot"])

    assert served(True) > 2 * served(False)
