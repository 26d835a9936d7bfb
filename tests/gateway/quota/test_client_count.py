"""How long quota clients that went count as ones that may have shares."""

from __future__ import annotations

from gateway.quota.client_count import SHARE_ENDS_AFTER_S, ClientCountBound
from tests.gateway.quota.quota_network import QuotaNetwork


def test_the_highest_bound_that_has_not_ended_counts() -> None:
    peers = ClientCountBound()
    peers.update(100.0, 14, [4000, 9000])
    assert [peers.count(at) for at in (100.0, 100.0 + SHARE_ENDS_AFTER_S - 8.9)] == [14, 13]
    peers.update(106.0, 10, [])  # another one has heard fewer of them
    assert [
        peers.count(at) for at in (106.0, 100.0 + SHARE_ENDS_AFTER_S - 3.9, 100.0 + SHARE_ENDS_AFTER_S + 0.1)
    ] == [13, 12, 10]
    assert peers.count(106.0 + SHARE_ENDS_AFTER_S) == 0


def lost_one_after_another(seed: int, times: int = 5, rate: float = 30.0) -> QuotaNetwork:
    """Every 5.8 s a machine with a shard owner and a quota client is lost; one at another address comes."""
    net = QuotaNetwork(14, 3, {"calm": (60.0, 60.0)}, seed)

    def one() -> None:
        net.ask(net.rng.choice(list(net.quota_clients)), "calm")
        net.schedule(net.rng.expovariate(rate), one)

    net.run(6.0)
    net.schedule(0.0, one)
    net.run(20.0)
    for n in range(times):
        at = net.now
        gone = next(
            (name for name, h in net.owners.items() if h.counter_states(net.now)), next(iter(net.owners))
        )
        net.kill(gone)
        net.kill(f"s{n}")
        net.run(at + 0.6)
        if net.leader in net.dead:
            net.lead(next(iter(net.owners)))
        net.run(at + 1.2)
        net.names = [*(name for name in net.names if name != gone), f"p{3 + n}"]
        net.start(f"p{3 + n}")
        net.start(f"s{14 + n}")
        net.run(at + 5.8)
    return net


def test_one_that_went_counts_no_longer_than_its_share_lasts() -> None:
    """A shard owner that is named later keeps nothing back for it."""
    net = lost_one_after_another(1, times=1)
    net.run(net.now + 12.0)
    name = next(name for name, owner in net.owners.items() if owner.counter_states(net.now))
    net.kill(name)
    net.start(name)
    if name == net.leader:
        net.lead(next(iter(net.owners)))
    net.run(net.now + 4.0)
    views = [owner.counter_states(net.now) for owner in net.owners.values()]
    assert [view["calm"][2] for view in views if view] == [0.0]


def test_machines_lost_one_after_another_take_no_allowance_along() -> None:
    parts = []
    for seed in range(1, 9):
        net = lost_one_after_another(seed)
        net.run(60.0)
        parts.append(len(net.refused) / net.asked["calm"])
        assert net.most("calm") <= net.bound("calm")
    assert sum(parts) / 8 < 0.04


def test_under_press_the_rule_holds_while_machines_are_lost() -> None:
    for seed in range(1, 9):
        net = lost_one_after_another(seed, rate=480.0)
        net.run(60.0)
        assert net.most("calm") <= net.bound("calm")
        assert len(net.went["calm"]) > 0.5 * 60.0 * 54.0
