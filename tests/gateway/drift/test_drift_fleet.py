"""Who learns of a version, and who notices that somebody did not."""

import pytest

from gateway.config.changes import decide
from gateway.membership import events, outputs
from gateway.membership.types import ValueKind
from gateway.state_machine import FencingToken
from tests.gateway.drift.drift_network import (
    CONTROLLER_ADDRESSES,
    FleetNetwork,
    SimulatedController,
    config,
    taken,
)

APPLY_S = 2.5
FIRST = taken(config())
SECOND = taken(config(2, 1, r3="s2"), FIRST)
THIRD = taken(config(3, 2), SECOND)


def begun(proxies=4):
    net = FleetNetwork(proxies)
    net.put(1, FIRST)
    net.run(3)
    assert {s.proxy_node.version for s in net.proxies} == {1}
    return net


def told(net):
    """Findings that the controllers have, in their order."""
    return [sorted(net.nodes[p].fleet_monitor.status(net.now)["findings"]) for p in CONTROLLER_ADDRESSES]


def node(net, i):
    """The address of a proxy, and itself."""
    return [(a, n) for a, n in net.nodes.items() if a not in CONTROLLER_ADDRESSES][i]


@pytest.mark.parametrize("lost", [0.0, 0.2, 0.4])
def test_news_that_gets_lost_is_in_force_in_time(lost):
    net = begun(12)
    net.cut = lambda a, b, kind: net.rng.random() < lost
    net.put(2, SECOND)
    net.run(APPLY_S)
    assert {s.proxy_node.version for s in net.proxies} == {2}
    assert all(net.nodes[p].fleet_monitor.status(net.now)["spread-s"] < APPLY_S for p in CONTROLLER_ADDRESSES)


def test_late_news_and_a_snapshot_that_is_older_than_the_log_do_not_put_a_node_back():
    net = begun()
    net.put(2, SECOND)
    net.run(2)
    net.put(3, THIRD, CONTROLLER_ADDRESSES[1:])  # this one has begun anew, and knows the first version only
    old = net.nodes[CONTROLLER_ADDRESSES[0]] = SimulatedController(net, CONTROLLER_ADDRESSES[0])
    net.give(CONTROLLER_ADDRESSES[0], events.SetCore(tuple(CONTROLLER_ADDRESSES)))
    net.give(
        CONTROLLER_ADDRESSES[0], events.Publish(ValueKind.CONFIG, FencingToken(0, 1), FIRST.encode(), b"")
    )
    net.run(3)
    assert old.membership.log.followers and {tuple(s.versions) for s in net.proxies} == {(0, 1, 2, 3)}
    assert all(
        s.drift_detector.confirmation_age() < 1 and s.drift_monitor.ready for s in net.proxies
    )  # two of three say so
    net.cut = lambda a, b, kind: a == CONTROLLER_ADDRESSES[2]
    net.run(5)
    assert all(s.drift_detector.confirmation_age() > 2 and s.drift_monitor.ready for s in net.proxies)


def test_a_node_that_sleeps_through_two_versions_turns_back_until_it_has_the_newest():
    net = begun()
    address, sleeper = node(net, 0)
    net.asleep.add(address)
    net.run(1)
    net.put(2, SECOND)
    net.run(2)
    net.put(3, THIRD)
    net.run(3)
    net.asleep.clear()
    sleeper.proxy_node.handle_membership(events.Tick())  # a request comes before any word of the core
    assert sleeper.ask() is None and sleeper.versions == [0, 1]
    net.run(1.5)
    assert sleeper.ask() == 200 and sleeper.proxy_node.version == 3 and sleeper.findings() == []
    assert told(net) == [[], [], []]  # it was not in touch


def test_of_two_operators_at_once_one_wins_and_all_run_its_version():
    net = begun()
    one, other = config(2, 1, r3="s1"), config(2, 1, r4="s2")
    won = taken(one, FIRST)
    assert decide(won, "PUT", other).status == 412
    net.put(2, won)
    net.run(1)
    digests = {s.drift_detector.running_digest for s in net.proxies}
    assert len(digests) == 1 and {s.ask("/r3/x") for s in net.proxies} == {200}
    _, s = node(net, 0)
    s.drift_monitor.on_config_advertised(
        outputs.ConfigAdvertised(2, b"\1" * 8, "10.9.0.1:7660")
    )  # where the other one had won as well
    assert s.findings() == [
        f"neighbour 10.9.0.1:7660: is digest {'01' * 8}, "
        f"should be digest {digests.pop():016x} (version 2, its word)"
    ]


@pytest.mark.parametrize("step", [3600.0, -20.0])
def test_a_clock_that_steps_makes_nobody_lag_and_hides_nobody_who_does(step):
    net = begun()
    address, s = node(net, 0)
    s.skew = step
    net.run(2)
    net.put(2, SECOND)
    net.run(1.5)
    assert (
        s.proxy_node.version == 2
        and s.drift_monitor.ready
        and s.findings() == []
        and not s.drift_monitor.refusal_reason
    )
    net.cut = lambda a, b, kind: b == address and kind == "value"
    net.put(3, THIRD)
    net.run(1.5)
    assert not s.drift_monitor.ready


def test_a_node_that_hears_of_a_version_and_cannot_get_it_stays_away_from_clients():
    net = begun()
    address, s = node(net, 0)
    net.cut = lambda a, b, kind: b == address and kind == "value"
    net.put(2, SECOND)
    net.run(0.8)
    assert s.drift_monitor.ready and s.ask() == 200
    net.run(0.7)
    assert not s.proxy_node.ready() and s.ask() == 200
    net.run(0.9)
    assert s.ask() is None  # before the time is over in which it may still
    net.run(4)
    assert s.findings() == ["version: is 1, should be 2 (version 1, can't be had for 1.5 s)"]
    assert [len(f) for f in told(net)] == [2, 2, 2]  # what it says, and that it lags
    net.cut = lambda a, b, kind: False
    net.run(2)
    assert s.ask() == 200 and s.drift_monitor.ready and s.proxy_node.version == 2


def test_of_100_nodes_one_that_is_deaf_to_the_core_learns_by_neighbours_and_a_deaf_one_is_found():
    net = begun(97)
    (cut_off, by_neighbours), (deaf, lost) = node(net, 3), node(net, 50)
    net.cut = lambda a, b, kind: b == deaf or (b == cut_off and a in CONTROLLER_ADDRESSES)
    net.run(1)
    net.put(2, SECOND)
    net.run(1)
    assert by_neighbours.proxy_node.version == 2 and [
        s for s in net.proxies if s.proxy_node.version != 2
    ] == [lost]
    net.run(APPLY_S - 1)
    assert told(net) == [[], [], []]
    net.run(2)
    assert all(told(net))
    net.run(8)
    assert [[f.partition(": ")[0] for f in findings] for findings in told(net)] == [
        [f"node {cut_off}", *[f"node {deaf}"] * 2]
    ] * 3
    unheard = "core: is unheard, should be heard (version {}, for 10 s)"
    assert [s.findings() for s in net.proxies if s.findings()] == [[unheard.format(2)], [unheard.format(1)]]
