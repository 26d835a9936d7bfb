"""What a new shard owner lets go before its count opens, when nobody tells it of a share."""

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


def test_a_part_of_the_allowance_flows_evenly_until_the_count_opens() -> None:
    count = TenantCounter(100.0, Window(1.0, 60), 100.0, 1)
    share = count.shares.share_of("10.0.0.1:7660", 0)
    went = [now for now in range(100) if count.charge(100.0 + now / 100, share, now, 0, 0)]
    assert not [n for n in went if n < 3] and len([n for n in went if n < 50]) in (14, 15)
    assert len(went) <= EARLY_FRACTION * 60
    count.begin_window(101.0)
    assert sum(count.charge(101.0, share, 1000 + n, 0, 0) for n in range(99)) == 60  # open now


def test_once_a_share_is_told_no_more_flows_than_is_told() -> None:
    """The quota clients that told nothing may go by shares of their own meanwhile: both together were too
    much."""
    count = TenantCounter(100.0, Window(1.0, 60), 100.0, 1)
    count.on_share_reported(100.0, "10.0.0.1:7660", ReportedShare(FULL_SHARE // 5, 10.0, 0, 100.0))
    share = count.shares.share_of("10.0.0.2:7660", 0)
    went = [n for n in range(100) if count.charge(100.0 + n / 100, share, n, 0, 0)]
    assert 0 < len(went) <= 60 // 5


def open_at_once() -> TenantCounter:
    """A count of a part that nobody has counted for a window and more."""
    return TenantCounter(100.0, Window(1.0, 60), 98.9, 1, 100.0)


def admitted(count: TenantCounter, now: float, sender: str) -> int:
    share = count.shares.share_of(sender, 0)
    return sum(count.charge(now, share, int(now * 1e6) + n, 0, 0) for n in range(99))


def test_a_count_is_open_at_once_where_nobody_has_counted_for_a_window() -> None:
    count = open_at_once()
    assert admitted(count, 100.0, "10.0.0.1:7660") == 60


def test_it_closes_again_when_a_quota_client_has_a_share_of_before() -> None:
    count = open_at_once()
    count.on_share_reported(100.0, "10.0.0.1:7660", ReportedShare(FULL_SHARE // 5, 10.0, 0, 100.0))
    assert admitted(count, 100.5, "10.0.0.2:7660") <= 60 // 10
    count.begin_window(101.0)
    assert count.opens_at == 101.0


def hold(shards: int = ALL_SHARDS, number: int = 1, at: float = 99.9, incarnation: int = 0) -> LeaseGrant:
    return LeaseGrant(
        incarnation=incarnation,
        request_sent_at=at,
        term=1,
        number=number,
        shards=shards,
        idle_shards=ALL_SHARDS,
        idle_ms=1500,
    )


def charged(owner: ShardOwner, now: float, id: int, held: bool = False) -> int:
    note = Message(charge=Charge(id=id, tenant=tenant_number("one"), incarnation=7, had_other_share=held))
    (answer,) = owner.handle(now, Received("10.0.0.1:7660", note))
    return int(answer.message.verdict.code)


def owner_at(now: float) -> ShardOwner:
    owner = ShardOwner(5.0, random.Random(1))
    owner.handle(now, Allowances({"one": (10.0, 10.0)}))
    owner.handle(now, SetLeader("p0"))
    owner.handle(now, Received("p0", Message(lease_grant=hold(incarnation=owner.incarnation))))
    owner.handle(
        now,
        Received(
            "10.0.0.1:7660",
            Message(client_heartbeat=ClientHeartbeat(incarnation=7, number=1, shards=ALL_SHARDS)),
        ),
    )
    return owner


def test_a_shard_owner_opens_at_once_but_not_a_second_time() -> None:
    owner = owner_at(100.0)
    assert [charged(owner, 100.0, n) for n in range(11)] == [VerdictCode.ADMITTED] * 10 + [
        VerdictCode.REJECTED
    ]
    owner.handle(103.0, Tick())  # its lease is over
    owner.handle(
        103.0, Received("p0", Message(lease_grant=hold(number=2, at=103.0, incarnation=owner.incarnation)))
    )
    assert charged(owner, 103.0, 20) == VerdictCode.NOT_OPEN


def test_a_quota_client_that_has_had_a_share_closes_it() -> None:
    owner = owner_at(100.0)
    assert charged(owner, 100.0, 1, held=True) == VerdictCode.NOT_OPEN


def asked(
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


def test_a_first_leader_tells_how_long_nobody_has_counted() -> None:
    shard_assigner = leader(9.0)
    assert asked(shard_assigner, 10.1, "p0").shards == 0  # p1 may have some
    one, other = asked(shard_assigner, 10.1, "p1"), asked(shard_assigner, 10.2, "p0")
    assert (
        one.idle_shards == one.shards
        and other.idle_shards == other.shards
        and one.shards | other.shards == ALL_SHARDS
    )
    assert one.idle_ms in (1099, 1100) and other.idle_ms in (1199, 1200)
    assert (
        asked(shard_assigner, 10.3, "p1", incarnation=2).idle_shards == 0
    )  # its process before may have counted
    assert asked(leader(None), 10.1, "p0").idle_shards == 0
    reported = leader(9.0)
    asked(reported, 10.1, "p0", shards=5)
    asked(reported, 10.1, "p1")
    assert asked(reported, 10.2, "p0", shards=5).idle_shards & 5 == 0


def lost_all(
    seed: int, down_s: float, proxies_too: bool, told: bool = True, age_s: float = 0.2
) -> QuotaNetwork:
    """A pressed tenant, and a calm one; then all processes are killed, or the core's, and begin anew."""
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
    net.lead("p0", began if told else None)
    return net


@pytest.mark.parametrize("proxies_too", [True, False])
def test_no_loss_of_all_lets_a_tenant_pass_its_limit(proxies_too: bool) -> None:
    for seed in range(16):
        net = lost_all(seed, 0.1 * seed, proxies_too)
        net.run(22.0)
        assert net.most("hot") <= net.bound("hot")


def test_after_a_loss_of_all_more_is_served() -> None:
    def served(told: bool) -> int:
        net = lost_all(3, 1.5, True, told, 0.6)
        begin = net.now
        net.run(begin + 1.0)
        return sum(t > begin for t in net.went["hot"])

    assert served(True) > 2 * served(False)
