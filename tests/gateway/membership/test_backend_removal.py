"""Planned ends of backends: no word of one, a late beat, a long end, and who has forgotten it."""

from __future__ import annotations

import pytest

from gateway.membership import events, outputs
from tests.gateway.membership.membership_network import CONTROLLER_ADDRESSES, system

P1, P2, P3 = CONTROLLER_ADDRESSES
LATE_S = [0.0, 0.5, 2.5, 8.0, 20.0]  # of beats, after the end is acknowledged


@pytest.mark.parametrize("late", LATE_S)
@pytest.mark.parametrize("at", CONTROLLER_ADDRESSES)
def test_an_end_that_no_draining_went_before_outlasts_late_beats(at, late):
    net, proxies = system()
    for seq in range(1, 4):
        net.beat(P1, "i-1", seq)
        net.run(1.0)
    net.give(P2, events.Deregistration("end", "i-1"))
    assert net.answer(P2, "end") == ""  # not before a majority has it
    net.run(0.1)
    assert net.answer(P2, "end") == "Acknowledged" and not any(net.table(a) for a in net.nodes)
    net.run(late)
    token = net.beat(at, "i-1", 4)  # sent before the end, to whomever
    net.run(1.0)
    assert net.answer(at, token) == "Acknowledged" and not any(net.table(a) for a in net.nodes)
    assert all(len(net.got(a, outputs.BackendAdded)) == 1 for a in proxies)


def test_an_end_that_no_majority_has_is_refused():
    net, _ = system()
    net.beat(P1, "i-1", 1)
    net.run(0.5)
    net.kill(P2)
    net.kill(P3)
    net.give(P1, events.Deregistration("end", "i-1"))
    net.run(0.8)
    assert net.answer(P1, "end") == "Rejected"


def test_one_that_was_away_at_the_end_does_not_bring_the_backend_back():
    net, (proxy, _) = system()
    net.beat(P1, "i-1", 1)
    net.run(0.5)
    net.cut = (
        lambda a, b: P3 in (a, b) and a in CONTROLLER_ADDRESSES and b in CONTROLLER_ADDRESSES
    )  # proxies hear it
    net.give(P1, events.Deregistration("end", "i-1"))
    net.run(0.5)
    assert net.answer(P1, "end") == "Acknowledged"
    net.beat(P3, "i-1", 2)  # it has the lease now, as far as it knows
    net.run(1.0)
    assert "i-1" in net.table(P3) and "i-1" not in net.table(proxy)
    net.cut = lambda a, b: False
    net.run(1.5)
    assert not any(net.table(a) for a in net.nodes) and not net.nodes[P3].leases.leases
    assert len(net.got(proxy, outputs.BackendAdded)) == 1


def test_one_that_missed_the_draining_does_not_end_it_by_a_late_beat():
    net, proxies = system()
    net.cut = lambda a, b: P3 in (a, b) and a in CONTROLLER_ADDRESSES and b in CONTROLLER_ADDRESSES
    net.beat(P1, "i-1", 1)
    net.run(0.5)
    net.beat(P1, "i-1", 5, draining=True)
    net.run(0.5)
    net.beat(P3, "i-1", 4)
    for _ in range(20):
        net.run(0.1)
        assert not net.table(P3)["i-1"].draining and all(net.table(a)["i-1"].draining for a in proxies)
    net.cut = lambda a, b: False
    net.run(1.5)
    assert all(net.table(a)["i-1"].draining for a in net.nodes)


def test_one_that_begins_anew_learns_of_the_end_before_a_late_beat_counts_elsewhere():
    net, proxies = system()
    net.beat(P1, "i-1", 1)
    net.run(0.5)
    net.give(P1, events.Deregistration("end", "i-1"))
    net.run(0.5)
    net.kill(P3)
    net.controller(P3)
    net.beat(P3, "i-1", 2)
    net.run(0.5)
    assert not any(net.table(a) for a in net.nodes)
    assert all(len(net.got(a, outputs.BackendAdded)) == 1 for a in proxies)


def test_a_backend_that_drains_for_long_is_known_as_draining_all_the_while():
    net, proxies = system()
    net.beat(P1, "i-1", 1)
    net.run(0.5)
    for seq in range(2, 32):  # each to another controller
        net.beat(CONTROLLER_ADDRESSES[seq % 3], "i-1", seq, draining=True)
        net.run(0.1)
        net.beat(CONTROLLER_ADDRESSES[(seq + 1) % 3], "i-1", 1)  # its first beat, very late
        net.run(1.2)
        assert all(net.table(a)["i-1"].draining for a in net.nodes)


def test_what_is_answered_to_a_repeated_end_and_to_a_beat_after_it():
    net, _ = system()
    net.beat(P1, "i-1", 1)
    net.run(0.5)
    for address in (P1, P2, P1):
        net.give(address, events.Deregistration(f"end at {address} {net.now}", "i-1"))
        net.run(0.2)
    token = net.beat(P2, "i-1", 9, draining=True)
    net.run(0.2)
    assert net.answer(P2, token) == "Acknowledged" and not net.table(P2)
    assert len(net.got(P1, outputs.Acknowledged)) == 3 and not net.got(P1, outputs.Rejected)
