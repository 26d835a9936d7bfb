"""Tests of a network partition of 20 s: proxies that start in the minority and reach only it."""

from gateway.membership import codec, events
from gateway.membership.types import ValueKind
from gateway.state_machine import FencingToken
from tests.gateway.drift.drift_network import (
    CONTROLLER_ADDRESSES,
    FleetNetwork,
    SimulatedController,
    SimulatedProxy,
    accepted,
    config,
)

FIRST = accepted(config())
SECOND = accepted(config(2, 1, r3="s2"), FIRST)
CUT, MAJORITY = CONTROLLER_ADDRESSES[0], CONTROLLER_ADDRESSES[1:]


def begins(net, address="10.1.9.1:7660"):
    """Start a proxy."""
    proxy = net.nodes[address] = SimulatedProxy(net, address)
    net.schedule(0.01, address, events.Tick())
    return proxy


def cut_off():
    """Return a fleet in which one controller is cut off from the others before the second version.

    All proxies still receive its messages.
    """
    net = FleetNetwork(2)
    net.put(1, FIRST)
    net.run(2)
    net.cut = lambda a, b, kind: CUT in (a, b) and (a in MAJORITY or b in MAJORITY)
    net.deliver(CUT, events.SetQuorumContact(net.now))
    net.put(2, SECOND, MAJORITY)
    return net


def test_new_proxy_that_reaches_only_an_isolated_controller_serves_nothing():
    net = cut_off()
    apart = net.cut
    new = "10.1.9.1:7660"
    net.cut = lambda a, b, kind: apart(a, b, kind) or new in (a, b) and CUT not in (a, b)
    proxy = begins(net, new)
    for _ in range(200):
        net.run(0.1)
        assert not proxy.proxy_node.version or proxy.ask() is None and not proxy.drift_monitor.ready
    assert proxy.proxy_node.version == 1
    net.cut = apart
    net.run(2.0)
    assert proxy.proxy_node.version == 2 and proxy.ask("/r3/x") == 200 and proxy.drift_monitor.ready


def test_new_proxy_serves_once_a_majority_has_answered():
    net = cut_off()
    proxy = begins(net)
    net.run(0.25)
    assert proxy.proxy_node.version == 2 and proxy.ask("/r3/x") == 200 and proxy.drift_monitor.ready


def test_proxy_stays_ready_after_one_contact_with_a_majority():
    net = cut_off()
    proxy = begins(net)
    net.run(1)
    net.cut = lambda a, b, kind: proxy.proxy_node.me in (a, b)
    net.run(20)
    assert proxy.ask("/r3/x") == 200 and proxy.drift_monitor.ready


def test_outdated_members_of_an_isolated_controller_do_not_hide_the_current_majority():
    net = cut_off()
    later = [a.replace(".0.1:", ".0.7:") for a in MAJORITY]
    for address in MAJORITY:
        net.kill(address)
    for address in later:
        net.nodes[address] = SimulatedController(net, address)
        net.schedule(0.02, address, events.Tick())
        net.deliver(address, events.SetCore((CUT, *later)))
        net.deliver(
            address,
            events.Publish(ValueKind.CORE, FencingToken(2, 9), codec.encode_members([CUT, *later], later[0])),
        )
    net.put(2, SECOND, later)
    net.cut = (
        lambda a, b, kind: kind in ("shuffle_request", "shuffle_reply")
        or CUT in (a, b)
        and (a in later or b in later)
    )
    proxy = begins(net)
    net.run(1)
    net.deliver(proxy.proxy_node.me, events.SetSeeds((CUT, *later)))
    net.run(5)
    assert proxy.proxy_node.version == 2 and proxy.ask("/r3/x") == 200 and proxy.drift_monitor.ready
