"""Heartbeat targets: a lease should stay in one log, so that unchanged backends cause no changes."""

import random

import pytest

from gateway.membership import change_log, events, heartbeat_target, outputs
from gateway.membership.controller import ControllerMembership
from gateway.membership.heartbeat_target import OUT_OF_CONTACT_S, SUGGEST_AGAIN_S
from gateway.membership.proxy import ProxyMembership
from tests.gateway.membership.membership_network import CONTROLLER_ADDRESSES, MembershipNetwork, system

P1, P2, P3 = CONTROLLER_ADDRESSES
ZONES = {"kgn-a": 1, "kgn-b": 2, "kgn-c": 3}
HEARTBEAT_S = 1.3


def network_with_zones(proxies: int = 2) -> MembershipNetwork:
    """One controller per zone, each of which knows the zones by name."""
    net = MembershipNetwork()
    for number, address in enumerate(CONTROLLER_ADDRESSES, 1):
        rng = random.Random(number)
        net.add(address, ControllerMembership(address, number, CONTROLLER_ADDRESSES, HEARTBEAT_S, rng, ZONES))
        net.deliver(address, events.SetCore(tuple(CONTROLLER_ADDRESSES)))
    for n in range(proxies):
        address = f"10.{n % 3 + 1}.1.{n + 1}:7660"
        net.add(address, ProxyMembership(address, n % 3 + 1, CONTROLLER_ADDRESSES, random.Random(n)))
    net.run(1.0)
    return net


def target(
    net: MembershipNetwork, at: str, id: str, seq: int, zone: str, draining: bool = False
) -> str | None:
    """The target in the acknowledgement of a heartbeat; None if there is no acknowledgement yet."""
    address = f"10.9.0.{int(id[2:])}:80"
    net.deliver(at, events.Heartbeat((id, seq), id, "nomgate", address, zone, "v1", 2, draining, 0.0, seq))
    return next((a.target for a in net.take_outputs(at, outputs.Acknowledged) if a.token == (id, seq)), None)


def test_target_is_the_member_in_the_zone_of_the_backend() -> None:
    net = network_with_zones()
    assert target(net, P1, "i-1", 1, "kgn-b") == P2
    assert target(net, P2, "i-1", 2, "kgn-b") == P2
    assert target(net, P3, "i-2", 1, "kgn-c") == P3
    assert target(net, P3, "i-3", 1, "elsewhere") == P3


def test_backend_that_returns_stays_at_its_controller() -> None:
    net = network_with_zones()
    assert target(net, P1, "i-1", 1, "kgn-b") == P2
    assert target(net, P1, "i-1", 2, "kgn-b") == P1
    net.run(SUGGEST_AGAIN_S + 1)
    assert target(net, P1, "i-1", 30, "kgn-b") == P2


def test_lost_member_is_not_a_target() -> None:
    net = network_with_zones()
    net.kill(P2)
    net.run(2.0)
    assert target(net, P1, "i-1", 1, "kgn-b") == P1


def test_controller_without_contact_redirects_backends_after_a_delay() -> None:
    net = network_with_zones()
    net.deliver(P1, events.SetQuorumContact(net.now))
    net.run(OUT_OF_CONTACT_S / 2)
    assert target(net, P1, "i-1", 1, "kgn-a") == P1
    net.run(OUT_OF_CONTACT_S)
    assert {target(net, P1, f"i-{n}", 2, "kgn-a") for n in range(1, 20)} == {P2, P3}
    net.deliver(P1, events.SetQuorumContact(net.now + 100))
    net.run(0.1)
    assert target(net, P1, "i-1", 3, "kgn-a") == P1


def test_draining_acknowledgement_has_no_target() -> None:
    net = network_with_zones()
    target(net, P1, "i-1", 1, "kgn-a")
    assert target(net, P1, "i-1", 2, "kgn-a", draining=True) is None
    net.run(0.1)
    assert [a.target for a in net.take_outputs(P1, outputs.Acknowledged)] == [""]


def test_stored_suggestions_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(heartbeat_target, "MAX_SUGGESTIONS", 2)
    net = network_with_zones()
    assert [target(net, P1, f"i-{n}", 1, "kgn-b") for n in (1, 2, 3)] == [P2] * 3
    assert [target(net, P1, f"i-{n}", 2, "kgn-b") for n in (2, 3)] == [P1] * 2
    assert target(net, P1, "i-1", 2, "kgn-b") == P2  # the suggestion is no longer stored
    net.run(SUGGEST_AGAIN_S + 1)
    assert not net.nodes[P1].targets.suggested


def changes_of_steady_backends(follow_targets: bool) -> int:
    """Number of log changes within 10 s caused by 30 backends whose heartbeats don't change."""
    net, rng = network_with_zones(), random.Random(5)
    named: dict[str, str | None] = {f"i-{n}": None for n in range(1, 31)}
    settled = 0
    for seq in range(1, 12):
        if seq == 4:
            settled = sum(net.nodes[address].log.position for address in CONTROLLER_ADDRESSES)
        for n, id in enumerate(list(named)):
            at = (named[id] if follow_targets else None) or rng.choice(CONTROLLER_ADDRESSES)
            named[id] = target(net, at, id, seq, f"kgn-{'abc'[n % 3]}")
            net.run(HEARTBEAT_S / len(named))
    return sum(net.nodes[address].log.position for address in CONTROLLER_ADDRESSES) - settled


def test_following_targets_avoids_log_changes() -> None:
    assert changes_of_steady_backends(True) == 0
    assert changes_of_steady_backends(False) > 8 * 30


def test_bursts_of_changes_are_batched_for_proxies() -> None:
    net, (proxy, _) = system()
    pushed = {P2: 0, proxy: 0}
    for n in range(50):
        before = {to: net.nodes[P1].log.followers[to].sent_position for to in pushed}
        net.heartbeat(P1, f"i-{n}", 1, at=f"10.9.1.{n}:80")
        net.run(0.02)
        for to, position in before.items():
            pushed[to] += net.nodes[P1].log.followers[to].sent_position != position
    assert pushed[proxy] <= 1.0 / change_log.INGRESS_PUSH_INTERVAL_S + 4 < pushed[P2]
    net.run(change_log.INGRESS_PUSH_INTERVAL_S + 0.1)
    assert len(net.table(proxy)) == 50
