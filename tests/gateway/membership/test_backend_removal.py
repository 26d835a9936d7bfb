"""Planned removal of backends: without draining before, with late heartbeats, and with long draining."""

from __future__ import annotations

import pytest

from gateway.membership import events, outputs
from tests.gateway.membership.membership_network import CONTROLLER_ADDRESSES, system

P1, P2, P3 = CONTROLLER_ADDRESSES
LATE_S = [0.0, 0.5, 2.5, 8.0, 20.0]  # delay of heartbeats after the end was acknowledged


@pytest.mark.parametrize("late", LATE_S)
@pytest.mark.parametrize("at", CONTROLLER_ADDRESSES)
def test_removal_without_draining_survives_late_heartbeats(at, late):
    net, proxies = system()
    for seq in range(1, 4):
        net.heartbeat(P1, "i-1", seq)
        net.run(1.0)
    net.deliver(P2, events.Deregistration("end", "i-1"))
    assert net.answer(P2, "end") == ""  # not before a majority has stored it
    net.run(0.1)
    assert net.answer(P2, "end") == "Acknowledged" and not any(net.table(a) for a in net.nodes)
    net.run(late)
    token = net.heartbeat(at, "i-1", 4)  # sent before the end, to any controller
    net.run(1.0)
    assert net.answer(at, token) == "Acknowledged" and not any(net.table(a) for a in net.nodes)
    assert all(len(net.take_outputs(a, outputs.BackendAdded)) == 1 for a in proxies)


def test_removal_without_a_majority_is_rejected():
    net, _ = system()
    net.heartbeat(P1, "i-1", 1)
    net.run(0.5)
    net.kill(P2)
    net.kill(P3)
    net.deliver(P1, events.Deregistration("end", "i-1"))
    net.run(0.8)
    assert net.answer(P1, "end") == "Rejected"


def test_partitioned_controller_does_not_restore_a_removed_backend():
    net, (proxy, _) = system()
    net.heartbeat(P1, "i-1", 1)
    net.run(0.5)
    net.cut = (
        lambda a, b: P3 in (a, b) and a in CONTROLLER_ADDRESSES and b in CONTROLLER_ADDRESSES
    )  # proxies have contact with it
    net.deliver(P1, events.Deregistration("end", "i-1"))
    net.run(0.5)
    assert net.answer(P1, "end") == "Acknowledged"
    net.heartbeat(P3, "i-1", 2)  # it now assumes to have the lease
    net.run(1.0)
    assert "i-1" in net.table(P3) and "i-1" not in net.table(proxy)
    net.cut = lambda a, b: False
    net.run(1.5)
    assert not any(net.table(a) for a in net.nodes) and not net.nodes[P3].leases.leases
    assert len(net.take_outputs(proxy, outputs.BackendAdded)) == 1


def test_late_heartbeat_does_not_end_draining_at_a_controller_that_missed_it():
    net, proxies = system()
    net.cut = lambda a, b: P3 in (a, b) and a in CONTROLLER_ADDRESSES and b in CONTROLLER_ADDRESSES
    net.heartbeat(P1, "i-1", 1)
    net.run(0.5)
    net.heartbeat(P1, "i-1", 5, draining=True)
    net.run(0.5)
    net.heartbeat(P3, "i-1", 4)
    for _ in range(20):
        net.run(0.1)
        assert not net.table(P3)["i-1"].draining and all(net.table(a)["i-1"].draining for a in proxies)
    net.cut = lambda a, b: False
    net.run(1.5)
    assert all(net.table(a)["i-1"].draining for a in net.nodes)


def test_restarted_controller_learns_of_a_removal_before_a_late_heartbeat_counts():
    net, proxies = system()
    net.heartbeat(P1, "i-1", 1)
    net.run(0.5)
    net.deliver(P1, events.Deregistration("end", "i-1"))
    net.run(0.5)
    net.kill(P3)
    net.controller(P3)
    net.heartbeat(P3, "i-1", 2)
    net.run(0.5)
    assert not any(net.table(a) for a in net.nodes)
    assert all(len(net.take_outputs(a, outputs.BackendAdded)) == 1 for a in proxies)


def test_long_draining_is_never_forgotten():
    net, proxies = system()
    net.heartbeat(P1, "i-1", 1)
    net.run(0.5)
    for seq in range(2, 32):  # each to another controller
        net.heartbeat(CONTROLLER_ADDRESSES[seq % 3], "i-1", seq, draining=True)
        net.run(0.1)
        net.heartbeat(CONTROLLER_ADDRESSES[(seq + 1) % 3], "i-1", 1)  # its first heartbeat, very late
        net.run(1.2)
        assert all(net.table(a)["i-1"].draining for a in net.nodes)


def test_answers_to_repeated_removals_and_later_heartbeats():
    net, _ = system()
    net.heartbeat(P1, "i-1", 1)
    net.run(0.5)
    for address in (P1, P2, P1):
        net.deliver(address, events.Deregistration(f"end at {address} {net.now}", "i-1"))
        net.run(0.2)
    token = net.heartbeat(P2, "i-1", 9, draining=True)
    net.run(0.2)
    assert net.answer(P2, token) == "Acknowledged" and not net.table(P2)
    assert len(net.take_outputs(P1, outputs.Acknowledged)) == 3 and not net.take_outputs(P1, outputs.Rejected)
