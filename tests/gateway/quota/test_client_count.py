"""How long quota clients that are gone are counted as clients that may have shares."""

from __future__ import annotations

from gateway.quota.client_count import SHARE_ENDS_AFTER_S, ClientCountBound
from tests.gateway.quota.quota_network import QuotaNetwork


def test_highest_unexpired_bound_applies() -> None:
    peers = ClientCountBound()
    peers.update(100.0, 14, [4000, 9000])
    assert [peers.count(at) for at in (100.0, 100.0 + SHARE_ENDS_AFTER_S - 8.9)] == [14, 13]
    peers.update(106.0, 10, [])  # another reporter has had contact with fewer clients
    assert [
        peers.count(at) for at in (106.0, 100.0 + SHARE_ENDS_AFTER_S - 3.9, 100.0 + SHARE_ENDS_AFTER_S + 0.1)
    ] == [13, 12, 10]
    assert peers.count(106.0 + SHARE_ENDS_AFTER_S) == 0


def lose_machines_repeatedly(seed: int, times: int = 5, rate: float = 30.0) -> QuotaNetwork:
    """Every 5.8 s, replace a machine with a shard owner and a client by one at another address."""
    net = QuotaNetwork(14, 3, {"calm": (60.0, 60.0)}, seed)

    def one() -> None:
        net.request(net.rng.choice(list(net.quota_clients)), "calm")
        net.schedule(net.rng.expovariate(rate), one)

    net.run(6.0)
    net.schedule(0.0, one)
    net.run(20.0)
    for n in range(times):
        at = net.now
        lost = next(
            (name for name, h in net.owners.items() if h.counter_states(net.now)), next(iter(net.owners))
        )
        net.kill(lost)
        net.kill(f"s{n}")
        net.run(at + 0.6)
        if net.leader in net.dead:
            net.set_leader(next(iter(net.owners)))
        net.run(at + 1.2)
        net.names = [*(name for name in net.names if name != lost), f"p{3 + n}"]
        net.start(f"p{3 + n}")
        net.start(f"s{14 + n}")
        net.run(at + 5.8)
    return net


def test_lost_client_counts_only_until_its_share_expires() -> None:
    """A later shard owner must reserve nothing for it."""
    net = lose_machines_repeatedly(1, times=1)
    net.run(net.now + 12.0)
    name = next(name for name, owner in net.owners.items() if owner.counter_states(net.now))
    net.kill(name)
    net.start(name)
    if name == net.leader:
        net.set_leader(next(iter(net.owners)))
    net.run(net.now + 4.0)
    views = [owner.counter_states(net.now) for owner in net.owners.values()]
    assert [view["calm"][2] for view in views if view] == [0.0]


def test_repeated_machine_losses_do_not_reduce_the_allowance() -> None:
    parts = []
    for seed in range(1, 9):
        net = lose_machines_repeatedly(seed)
        net.run(60.0)
        parts.append(len(net.rejections) / net.request_count["calm"])
        assert net.max_in_span("calm") <= net.allowance_bound("calm")
    assert sum(parts) / 8 < 0.04


def test_overload_while_machines_are_lost() -> None:
    for seed in range(1, 9):
        net = lose_machines_repeatedly(seed, rate=480.0)
        net.run(60.0)
        assert net.max_in_span("calm") <= net.allowance_bound("calm")
        assert len(net.admitted_at["calm"]) > 0.5 * 60.0 * 54.0
