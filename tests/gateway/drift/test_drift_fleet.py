"""Distribution of versions in a fleet, and detection of nodes that are behind."""

import pytest

from gateway.config.changes import decide
from gateway.membership import events, outputs
from gateway.membership.types import ValueKind
from gateway.state_machine import FencingToken
from tests.gateway.drift.drift_network import (
    CONTROLLER_ADDRESSES,
    FleetNetwork,
    SimulatedController,
    accepted,
    config,
)

APPLY_S = 2.5
FIRST = accepted(config())
SECOND = accepted(config(2, 1, r3="s2"), FIRST)
THIRD = accepted(config(3, 2), SECOND)


def running_network(proxies=4):
    net = FleetNetwork(proxies)
    net.put(1, FIRST)
    net.run(3)
    assert {s.proxy_node.version for s in net.proxies} == {1}
    return net


def update(net):
    """The findings of each controller, in order."""
    return [sorted(net.nodes[p].fleet_monitor.status(net.now)["findings"]) for p in CONTROLLER_ADDRESSES]


def node(net, i):
    """The address of a proxy and the proxy."""
    return [(a, n) for a, n in net.nodes.items() if a not in CONTROLLER_ADDRESSES][i]


@pytest.mark.parametrize("lost", [0.0, 0.2, 0.4])
def test_version_is_applied_in_time_despite_lost_messages(lost):
    net = running_network(12)
    net.cut = lambda a, b, kind: net.rng.random() < lost
    net.put(2, SECOND)
    net.run(APPLY_S)
    assert {s.proxy_node.version for s in net.proxies} == {2}
    assert all(net.nodes[p].fleet_monitor.status(net.now)["spread-s"] < APPLY_S for p in CONTROLLER_ADDRESSES)


def test_outdated_values_and_snapshots_do_not_revert_a_node():
    net = running_network()
    net.put(2, SECOND)
    net.run(2)
    net.put(3, THIRD, CONTROLLER_ADDRESSES[1:])  # this one has restarted and knows only the first version
    old = net.nodes[CONTROLLER_ADDRESSES[0]] = SimulatedController(net, CONTROLLER_ADDRESSES[0])
    net.deliver(CONTROLLER_ADDRESSES[0], events.SetCore(tuple(CONTROLLER_ADDRESSES)))
    net.deliver(
        CONTROLLER_ADDRESSES[0], events.Publish(ValueKind.CONFIG, FencingToken(0, 1), FIRST.encode(), b"")
    )
    net.run(3)
    assert old.membership.log.followers and {tuple(s.versions) for s in net.proxies} == {(0, 1, 2, 3)}
    assert all(
        s.drift_detector.confirmation_age() < 1 and s.drift_monitor.ready for s in net.proxies
    )  # confirmed by two of three
    net.cut = lambda a, b, kind: a == CONTROLLER_ADDRESSES[2]
    net.run(5)
    assert all(s.drift_detector.confirmation_age() > 2 and s.drift_monitor.ready for s in net.proxies)


def test_resumed_node_rejects_requests_until_it_has_the_newest_version():
    net = running_network()
    address, sleeper = node(net, 0)
    net.asleep.add(address)
    net.run(1)
    net.put(2, SECOND)
    net.run(2)
    net.put(3, THIRD)
    net.run(3)
    net.asleep.clear()
    sleeper.proxy_node.handle_membership(events.Tick())  # a request arrives before any contact with the core
    assert sleeper.ask() is None and sleeper.versions == [0, 1]
    net.run(1.5)
    assert sleeper.ask() == 200 and sleeper.proxy_node.version == 3 and sleeper.findings() == []
    assert update(net) == [[], [], []]  # it was not in contact


def test_concurrent_changes_of_two_operators():
    net = running_network()
    one, other = config(2, 1, r3="s1"), config(2, 1, r4="s2")
    won = accepted(one, FIRST)
    assert decide(won, "PUT", other).status == 412
    net.put(2, won)
    net.run(1)
    digests = {s.drift_detector.running_digest for s in net.proxies}
    assert len(digests) == 1 and {s.ask("/r3/x") for s in net.proxies} == {200}
    _, s = node(net, 0)
    s.drift_monitor.on_config_advertised(
        outputs.ConfigAdvertised(2, b"\1" * 8, "10.9.0.1:7660")
    )  # as if the other operator had won
    assert s.findings() == [
        f"neighbour 10.9.0.1:7660: is digest {'01' * 8}, "
        f"should be digest {digests.pop():016x} (version 2, its word)"
    ]


@pytest.mark.parametrize("step", [3600.0, -20.0])
def test_clock_steps_do_not_affect_lag_detection(step):
    net = running_network()
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


def test_node_that_cannot_fetch_a_known_version_rejects_requests():
    net = running_network()
    address, s = node(net, 0)
    net.cut = lambda a, b, kind: b == address and kind == "value"
    net.put(2, SECOND)
    net.run(0.8)
    assert s.drift_monitor.ready and s.ask() == 200
    net.run(0.7)
    assert not s.proxy_node.ready() and s.ask() == 200
    net.run(0.9)
    assert s.ask() is None  # rejected before `APPLY_S` has passed
    net.run(4)
    assert s.findings() == ["version: is 1, should be 2 (version 1, can't be had for 1.5 s)"]
    assert [len(f) for f in update(net)] == [2, 2, 2]  # its own report, and that it is behind
    net.cut = lambda a, b, kind: False
    net.run(2)
    assert s.ask() == 200 and s.drift_monitor.ready and s.proxy_node.version == 2


def test_nodes_without_core_contact_in_a_fleet_of_100():
    net = running_network(97)
    (cut_off, by_neighbours), (deaf, lost) = node(net, 3), node(net, 50)
    net.cut = lambda a, b, kind: b == deaf or (b == cut_off and a in CONTROLLER_ADDRESSES)
    net.run(1)
    net.put(2, SECOND)
    net.run(1)
    assert by_neighbours.proxy_node.version == 2 and [
        s for s in net.proxies if s.proxy_node.version != 2
    ] == [lost]
    net.run(APPLY_S - 1)
    assert update(net) == [[], [], []]
    net.run(2)
    assert all(update(net))
    net.run(8)
    assert [[f.partition(": ")[0] for f in findings] for findings in update(net)] == [
        [f"node {cut_off}", *[f"node {deaf}"] * 2]
    ] * 3
    unheard = "core: is unheard, should be heard (version {}, for 10 s)"
    assert [s.findings() for s in net.proxies if s.findings()] == [[unheard.format(2)], [unheard.format(1)]]
