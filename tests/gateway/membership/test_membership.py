"""Leases, logs and tables of controllers and proxies, and the effect of losses on them."""

import random
from math import inf

from gateway.membership import codec, events, outputs
from gateway.membership.change_log import ChangeLog
from gateway.membership.log_follower import LogFollower
from gateway.membership.types import Backend, ValueKind
from gateway.state_machine import FencingToken, Send
from tests.gateway.membership.membership_network import CONTROLLER_ADDRESSES, system

P1, P2, P3 = CONTROLLER_ADDRESSES


def test_backend_expires_when_its_heartbeats_stop():
    net, proxies = system()
    for seq in range(1, 8):
        net.heartbeat(P1, "i-1", seq, cold=max(0.0, 5.0 - 1.3 * seq))
        net.run(1.3)
    assert all(set(net.table(a)) == {"i-1"} for a in net.nodes)
    assert len(net.take_outputs(proxies[0], outputs.BackendAdded)) == 1 and not net.take_outputs(
        proxies[0], outputs.BackendChanged
    )
    net.run(2.0)
    assert "i-1" in net.table(proxies[0])
    net.run(1.5)
    assert all(not net.table(a) for a in net.nodes)
    assert net.take_outputs(proxies[0], outputs.BackendRemoved) == [outputs.BackendRemoved("i-1")]


def test_slow_start_is_sent_as_remaining_time():
    net, proxies = system()
    net.heartbeat(P1, "i-1", 1, cold=4.0)
    net.run(0.5)
    b = net.table(proxies[0])["i-1"]
    assert b[1:6] == ("nomgate", "10.9.0.1:80", "kgn-a", "v1", 2)
    assert abs(b.slow_start_until - net.now - 3.5) < 0.1 and abs(net.now - b.first_heard_at - 0.5) < 0.2


def test_draining_is_acknowledged_by_a_majority():
    net, proxies = system()
    net.heartbeat(P1, "i-1", 1)
    net.run(0.5)
    token = net.heartbeat(P1, "i-1", 2, draining=True)
    assert net.answer(P1, token) == ""
    net.run(0.02)
    assert net.answer(P1, token) == "Acknowledged"
    assert all(net.table(a)["i-1"].draining for a in proxies)
    net.deliver(P1, events.Deregistration("end", "i-1"))
    net.run(0.1)
    assert net.answer(P1, "end") == "Acknowledged" and not net.table(proxies[0])
    net.heartbeat(P2, "i-1", 3)  # later heartbeats must have been sent before
    net.run(0.5)
    assert not any(net.table(a) for a in net.nodes)


def test_draining_without_a_majority_is_rejected():
    net, _ = system()
    net.run(1.0)
    net.kill(P2)
    net.kill(P3)
    token = net.heartbeat(P1, "i-1", 1, draining=True)
    net.run(0.6)
    assert net.answer(P1, token) == ""
    net.run(0.2)
    assert net.answer(P1, token) == "Rejected"


def test_draining_survives_the_loss_of_the_acknowledging_controller():
    net, (proxy, _) = system()
    net.heartbeat(P1, "i-1", 1)
    net.run(0.5)
    net.cut = lambda a, b: {a, b} == {P1, proxy}
    token = net.heartbeat(P1, "i-1", 2, draining=True)
    net.run(0.02)
    assert net.answer(P1, token) == "Acknowledged"
    net.kill(P1)
    net.run(0.5)
    assert net.table(proxy)["i-1"].draining


def test_lost_messages_delay_draining_only():
    net, proxies = system(proxies=8, loss=0.2)
    for n in range(10):
        net.heartbeat(P1, f"i-{n}", 1, at=f"10.9.0.{n}:80")
    net.run(2.0)
    for n in range(10):
        net.heartbeat(P1, f"i-{n}", 2, draining=True, at=f"10.9.0.{n}:80")
    net.run(1.6)  # well within the time that a backend has for stopping
    assert all(b.draining for a in proxies for b in net.table(a).values())


def test_heartbeats_moving_to_another_controller_change_nothing():
    net, proxies = system()
    for seq in range(1, 4):
        net.heartbeat(P1, "i-1", seq)
        net.run(1.3)
    net.kill(P1)
    net.run(2.0)
    for seq in range(4, 12):
        net.heartbeat(P2, "i-1", seq)
        net.run(1.3)
    for a in proxies:
        assert len(net.take_outputs(a, outputs.BackendAdded)) == 1 and not net.take_outputs(
            a, outputs.BackendRemoved
        )
    net.run(5.0)
    assert not net.table(proxies[0])


def test_leases_of_a_lost_controller_expire_unless_all_are_unreachable():
    net, (near, far) = system()
    net.heartbeat(P1, "i-1", 1)
    net.run(0.5)
    net.cut = lambda a, b: far in (a, b)
    net.kill(P1)
    net.run(5.0)
    assert "i-1" in net.table(near)
    net.run(2.0)
    assert not net.table(near) and "i-1" in net.table(far)
    net.run(60.0)
    assert "i-1" in net.table(far)


def test_controller_unreachable_from_one_proxy_is_not_lost():
    net, (proxy, _) = system()
    net.cut = lambda a, b: {a, b} == {P1, proxy}
    net.run(1.0)
    net.cut = lambda a, b: False
    net.heartbeat(P1, "i-1", 1)
    net.run(0.5)
    net.cut = lambda a, b: {a, b} == {P1, proxy}
    for seq in range(2, 20):
        net.heartbeat(P1, "i-1", seq)
        net.run(1.3)
    assert "i-1" in net.table(proxy)


def test_restarting_controllers_keep_the_tables():
    net, proxies = system()
    net.heartbeat(P1, "i-1", 1)
    net.heartbeat(P2, "i-2", 1, at="10.9.0.2:80")
    net.run(0.5)
    for address in CONTROLLER_ADDRESSES:
        net.kill(address)
        net.controller(address)
    net.run(3.0)
    for seq in range(5, 10):
        net.heartbeat(P3, "i-1", seq)
        net.run(1.0)
    assert all(set(net.table(a)) == {"i-1"} for a in net.nodes)
    assert not [g for a in proxies for g in net.take_outputs(a, outputs.BackendRemoved) if g.id == "i-1"]


def test_partitioned_controller_does_not_expire_leases():
    net, (proxy, _) = system()
    net.heartbeat(P1, "i-1", 1)
    net.run(0.5)
    net.cut = lambda a, b: (a in (P1, proxy)) != (b in (P1, proxy))
    net.deliver(P1, events.SetQuorumContact(net.now))
    for seq in range(2, 8):
        net.heartbeat(P2, "i-1", seq)
        net.run(1.3)
    assert "i-1" in net.table(proxy)
    net.cut = lambda a, b: False
    net.deliver(P1, events.SetQuorumContact(inf))
    net.run(1.3)
    assert net.table(proxy)["i-1"].seq == 2 and net.nodes[P1].log.get("i-1").id == "i-1"
    assert not net.take_outputs(proxy, outputs.BackendRemoved)


def test_late_heartbeats_change_nothing():
    net, (proxy, _) = system()
    for seq in range(1, 5):
        net.heartbeat(P1, "i-1", seq)
    net.run(0.5)
    net.heartbeat(P2, "i-1", 3, at="10.9.9.9:80")  # P2 knows only the first heartbeat, and P1 contradicts
    net.run(0.5)
    assert {net.table(a)["i-1"].address for a in net.nodes} == {"10.9.0.1:80"}
    assert set(net.nodes[P1].leases.leases) == {"i-1"} and not net.nodes[P2].leases.leases
    net.heartbeat(P1, "i-1", 9, draining=True)
    net.run(0.1)
    net.heartbeat(P2, "i-1", 8)
    net.run(0.5)
    assert all(net.table(a)["i-1"].draining for a in net.nodes)


def test_new_backend_at_an_address_replaces_the_old_one():
    net, (proxy, _) = system()
    net.heartbeat(P1, "i-1", 4)
    net.run(2.0)
    net.heartbeat(P2, "i-2", 1)
    net.run(0.5)
    assert all(set(net.table(a)) == {"i-2"} for a in net.nodes)
    net.heartbeat(P3, "i-1", 5)  # sent before its end
    net.run(0.5)
    assert all(set(net.table(a)) == {"i-2"} for a in net.nodes)
    assert net.take_outputs(proxy, outputs.BackendRemoved) == [outputs.BackendRemoved("i-1")]


def test_invalid_heartbeats_are_rejected():
    net, _ = system()
    assert all(
        net.answer(P1, net.heartbeat(P1, id, seq)) == "Rejected"
        for id, seq in (("i-\ud800", 1), ("i" * 300, 1), ("i-1", -1), ("i-1", 1 << 63))
    )


def test_large_value_is_fetched_once_from_the_own_zone():
    net, proxies = system(proxies=3)
    value = b"route" * 20_000
    for address in CONTROLLER_ADDRESSES:
        net.deliver(address, events.Publish(ValueKind.CONFIG, FencingToken(0, 7), value, b"digest-7"))
        net.deliver(
            address,
            events.Publish(
                ValueKind.CORE, FencingToken(1, 1), codec.encode_members(CONTROLLER_ADDRESSES, P1)
            ),
        )
    net.bytes.clear()
    net.run(1.0)
    for a in proxies:
        update = {n.kind: n for n in net.take_outputs(a, outputs.ValueUpdated)}
        assert update[ValueKind.CONFIG] == outputs.ValueUpdated(ValueKind.CONFIG, (0, 7), value, b"digest-7")
        assert codec.decode_members(update[ValueKind.CORE].data) == (tuple(CONTROLLER_ADDRESSES), P1)
    packed = len(
        codec.value_message(codec.ValueRecord(ValueKind.CONFIG, (0, 7), b"", value)).SerializeToString()
    )
    assert all(packed < net.bytes[p] < 2 * packed + 2000 for p in CONTROLLER_ADDRESSES)


def test_value_is_fetched_from_another_source_after_a_timeout():
    net, (proxy, _) = system()
    for address in CONTROLLER_ADDRESSES:
        net.deliver(
            address, events.Publish(ValueKind.CONFIG, FencingToken(0, 7), b"route" * 200, b"digest-7")
        )
    net.nodes[P1].value_store.newest_by_kind.clear()  # as if its answers were lost
    net.run(1.5)
    assert [n.fencing_token for n in net.take_outputs(proxy, outputs.ValueUpdated)] == [(0, 7)]
    net.deliver(P2, events.Publish(ValueKind.CONFIG, FencingToken(0, 6), b"older", b""))
    net.run(1.0)
    assert not net.take_outputs(proxy, outputs.ValueUpdated)


def test_proxies_follow_the_core_and_find_it_through_the_seeds():
    net, (proxy, _) = system()
    net.cut = lambda a, b: {a, b} == {P1, proxy}  # another controller forwards the value
    net.deliver(P1, events.Publish(ValueKind.CORE, FencingToken(1, 2), codec.encode_members([P1, P2], P2)))
    net.run(0.5)
    net.cut = lambda a, b: False
    assert set(net.nodes[proxy].follower.sources) == {P1, P2}
    net.kill(P1)
    net.kill(P2)
    net.run(6.0)
    assert P3 in net.nodes[proxy].follower.sources  # a seed, because no other controller is left
    net.deliver(P3, events.Publish(ValueKind.CORE, FencingToken(2, 3), codec.encode_members([P3], P3)))
    net.run(1.0)
    assert set(net.nodes[proxy].follower.sources) == {P3}


def test_starting_source_is_contacted_often():
    follower = LogFollower()
    follower.follow(5.0, ["a"])
    asked = [t for t in range(500, 900) if follower.tick(t / 100)]
    assert 19 <= len([t for t in asked if t < 700]) <= 21 and len([t for t in asked if t >= 720]) <= 5
    follower.sources["a"].last_contact_at = 9.0
    assert sum(bool(follower.tick(t / 100)) for t in range(900, 1100)) <= 6


def test_transcript_of_following_a_log(snapshot):
    log, follower, lines = ChangeLog(random.Random(4), zone=2), LogFollower(), []

    def exchange(now, sends, lost=False):
        while sends:
            to, message = sends.pop(0)
            lines.append(f"{now:.2f} {'lost: ' if lost else ''}to {to}: {str(message).strip()}")
            kind = message.WhichOneof("kind")
            if lost:
                continue
            if kind == "follow":
                sends += log.on_follow(now, "proxy", message.follow)
            else:
                out, update = follower.on_follow_reply(now, "post", message.follow_reply)
                sends += [Send(s.to, s.message) for s in out]
                lines.extend(f"     {record}" for record in update.records if update)

    backend = Backend("i-1", "nomgate", "10.9.0.1:80", "kgn-a", "v1", 2, seq=4, first_heard_at=1.0)
    follower.follow(10.0, ["post"])
    exchange(10.0, follower.tick(10.0))
    log.put("i-1", codec.LeaseRecord(backend))
    exchange(10.1, log.push(10.1))
    log.put("i-1", codec.LeaseRecord(backend._replace(draining=True, seq=5)))
    exchange(10.2, log.push(10.2), lost=True)
    exchange(10.3, log.tick(10.3))
    exchange(10.46, log.tick(10.46))
    log.put("i-1", codec.EndRecord("i-1", 5, until=40.0))
    log.tick(50.0)  # the follower was away for longer than an end is remembered
    exchange(50.0, follower.tick(50.0))
    assert "\n".join(lines) == snapshot
