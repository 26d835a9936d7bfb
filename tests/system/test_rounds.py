"""Who is there: leases, logs and tables of postmasters and sorters, and what losses do to them."""

import random
from math import inf

from post.machine import Send
from post.rounds import messages as m
from post.rounds import wire
from post.rounds.follower import Follower
from post.rounds.log import Log
from tests.system.rounds import POSTS, system

P1, P2, P3 = POSTS


def test_a_backend_is_known_by_all_and_gone_when_its_beats_end():
    net, sorters = system()
    for seq in range(1, 8):
        net.beat(P1, "i-1", seq, cold=max(0.0, 5.0 - 1.3 * seq))
        net.run(1.3)
    assert all(set(net.table(a)) == {"i-1"} for a in net.nodes)
    assert len(net.got(sorters[0], m.Came)) == 1 and not net.got(sorters[0], m.Changed)
    net.run(2.0)
    assert "i-1" in net.table(sorters[0])
    net.run(1.5)
    assert all(not net.table(a) for a in net.nodes)
    assert net.got(sorters[0], m.Gone) == [m.Gone("i-1")]


def test_slow_starts_and_names_cross_the_wire_as_what_is_left():
    net, sorters = system()
    net.beat(P1, "i-1", 1, cold=4.0)
    net.run(0.5)
    b = net.table(sorters[0])["i-1"]
    assert b[1:6] == ("nomgate", "10.9.0.1:80", "kgn-a", "v1", 2)
    assert abs(b.cold_until - net.now - 3.5) < 0.1 and abs(net.now - b.since - 0.5) < 0.2


def test_draining_is_acknowledged_when_a_majority_has_it():
    net, sorters = system()
    net.beat(P1, "i-1", 1)
    net.run(0.5)
    token = net.beat(P1, "i-1", 2, draining=True)
    assert net.answer(P1, token) == ""
    net.run(0.02)
    assert net.answer(P1, token) == "Acked"
    assert all(net.table(a)["i-1"].draining for a in sorters)
    net.give(P1, m.End("end", "i-1"))
    net.run(0.1)
    assert net.answer(P1, "end") == "Acked" and not net.table(sorters[0])
    net.beat(P2, "i-1", 3)  # later beats are late ones
    net.run(0.5)
    assert not any(net.table(a) for a in net.nodes)


def test_draining_that_no_majority_has_is_refused():
    net, _ = system()
    net.run(1.0)
    net.kill(P2)
    net.kill(P3)
    token = net.beat(P1, "i-1", 1, draining=True)
    net.run(0.6)
    assert net.answer(P1, token) == ""
    net.run(0.2)
    assert net.answer(P1, token) == "Refused"


def test_draining_outlives_the_one_that_acknowledged_it():
    net, (sorter, _) = system()
    net.beat(P1, "i-1", 1)
    net.run(0.5)
    net.cut = lambda a, b: {a, b} == {P1, sorter}
    token = net.beat(P1, "i-1", 2, draining=True)
    net.run(0.02)
    assert net.answer(P1, token) == "Acked"
    net.kill(P1)
    net.run(0.5)
    assert net.table(sorter)["i-1"].draining


def test_lost_messages_delay_a_planned_end_but_do_not_lose_it():
    net, sorters = system(sorters=8, loss=0.2)
    for n in range(10):
        net.beat(P1, f"i-{n}", 1, at=f"10.9.0.{n}:80")
    net.run(2.0)
    for n in range(10):
        net.beat(P1, f"i-{n}", 2, draining=True, at=f"10.9.0.{n}:80")
    net.run(1.6)  # well within the time to stop in
    assert all(b.draining for a in sorters for b in net.table(a).values())


def test_beats_that_move_to_another_source_change_nothing():
    net, sorters = system()
    for seq in range(1, 4):
        net.beat(P1, "i-1", seq)
        net.run(1.3)
    net.kill(P1)
    net.run(2.0)
    for seq in range(4, 12):
        net.beat(P2, "i-1", seq)
        net.run(1.3)
    for a in sorters:
        assert len(net.got(a, m.Came)) == 1 and not net.got(a, m.Gone)
    net.run(5.0)
    assert not net.table(sorters[0])


def test_what_a_lost_source_held_goes_after_a_grace_and_never_if_all_are_silent():
    net, (near, far) = system()
    net.beat(P1, "i-1", 1)
    net.run(0.5)
    net.cut = lambda a, b: far in (a, b)
    net.kill(P1)
    net.run(5.0)
    assert "i-1" in net.table(near)
    net.run(2.0)
    assert not net.table(near) and "i-1" in net.table(far)
    net.run(60.0)
    assert "i-1" in net.table(far)


def test_one_that_only_we_cannot_hear_is_not_lost():
    net, (sorter, _) = system()
    net.cut = lambda a, b: {a, b} == {P1, sorter}
    net.run(1.0)
    net.cut = lambda a, b: False
    net.beat(P1, "i-1", 1)
    net.run(0.5)
    net.cut = lambda a, b: {a, b} == {P1, sorter}
    for seq in range(2, 20):
        net.beat(P1, "i-1", seq)
        net.run(1.3)
    assert "i-1" in net.table(sorter)


def test_postmasters_that_begin_anew_do_not_empty_the_tables():
    net, sorters = system()
    net.beat(P1, "i-1", 1)
    net.beat(P2, "i-2", 1, at="10.9.0.2:80")
    net.run(0.5)
    for address in POSTS:
        net.kill(address)
        net.post(address)
    net.run(3.0)
    for seq in range(5, 10):
        net.beat(P3, "i-1", seq)
        net.run(1.0)
    assert all(set(net.table(a)) == {"i-1"} for a in net.nodes)
    assert not [g for a in sorters for g in net.got(a, m.Gone) if g.id == "i-1"]


def test_one_that_is_cut_off_takes_no_silence_for_an_end():
    net, (sorter, _) = system()
    net.beat(P1, "i-1", 1)
    net.run(0.5)
    net.cut = lambda a, b: (a in (P1, sorter)) != (b in (P1, sorter))
    net.give(P1, m.SetQuorate(net.now))
    for seq in range(2, 8):
        net.beat(P2, "i-1", seq)
        net.run(1.3)
    assert "i-1" in net.table(sorter)
    net.cut = lambda a, b: False
    net.give(P1, m.SetQuorate(inf))
    net.run(1.3)
    assert net.table(sorter)["i-1"].seq == 2 and net.nodes[P1].log.get("i-1").id == "i-1"
    assert not net.got(sorter, m.Gone)


def test_late_beats_change_nothing():
    net, (sorter, _) = system()
    for seq in range(1, 5):
        net.beat(P1, "i-1", seq)
    net.run(0.5)
    net.beat(P2, "i-1", 3, at="10.9.9.9:80")  # P2 knows no more than the first beat, and P1 objects
    net.run(0.5)
    assert {net.table(a)["i-1"].address for a in net.nodes} == {"10.9.0.1:80"}
    assert set(net.nodes[P1].leases.leases) == {"i-1"} and not net.nodes[P2].leases.leases
    net.beat(P1, "i-1", 9, draining=True)
    net.run(0.1)
    net.beat(P2, "i-1", 8)
    net.run(0.5)
    assert all(net.table(a)["i-1"].draining for a in net.nodes)


def test_a_new_backend_at_an_address_ends_the_old_one():
    net, (sorter, _) = system()
    net.beat(P1, "i-1", 4)
    net.run(2.0)
    net.beat(P2, "i-2", 1)
    net.run(0.5)
    assert all(set(net.table(a)) == {"i-2"} for a in net.nodes)
    net.beat(P3, "i-1", 5)  # sent before its end
    net.run(0.5)
    assert all(set(net.table(a)) == {"i-2"} for a in net.nodes)
    assert net.got(sorter, m.Gone) == [m.Gone("i-1")]


def test_beats_that_cannot_be_told_on_are_refused():
    net, _ = system()
    assert all(net.answer(P1, net.beat(P1, id, seq)) == "Refused"
               for id, seq in (("i-\ud800", 1), ("i" * 300, 1), ("i-1", -1), ("i-1", 1 << 63)))


def test_a_large_value_comes_once_and_from_next_door():
    net, sorters = system(sorters=3)
    value = b"route" * 20_000
    for address in POSTS:
        net.give(address, m.Put(m.CONFIG, (0, 7), value, b"digest-7"))
        net.give(address, m.Put(m.CORE, (1, 1), wire.encode_members(POSTS, P1)))
    net.bytes.clear()
    net.run(1.0)
    for a in sorters:
        news = {n.kind: n for n in net.got(a, m.News)}
        assert news[m.CONFIG] == m.News(m.CONFIG, (0, 7), value, b"digest-7")
        assert wire.decode_members(news[m.CORE].data) == (tuple(POSTS), P1)
    packed = len(wire.value_note(wire.Notice(m.CONFIG, (0, 7), b"", value)).SerializeToString())
    assert all(packed < net.bytes[p] < 2 * packed + 2000 for p in POSTS)


def test_a_value_that_one_source_does_not_send_comes_from_another():
    net, (sorter, _) = system()
    for address in POSTS:
        net.give(address, m.Put(m.CONFIG, (0, 7), b"route" * 200, b"digest-7"))
    net.nodes[P1].shelf.notices.clear()  # as if its answers were lost
    net.run(1.5)
    assert [n.fence for n in net.got(sorter, m.News)] == [(0, 7)]
    net.give(P2, m.Put(m.CONFIG, (0, 6), b"older", b""))
    net.run(1.0)
    assert not net.got(sorter, m.News)


def test_sorters_follow_the_members_of_the_core_and_find_them_from_the_seeds():
    net, (sorter, _) = system()
    net.cut = lambda a, b: {a, b} == {P1, sorter}  # another postmaster hands it on
    net.give(P1, m.Put(m.CORE, (1, 2), wire.encode_members([P1, P2], P2)))
    net.run(0.5)
    net.cut = lambda a, b: False
    assert set(net.nodes[sorter].follower.sources) == {P1, P2}
    net.kill(P1)
    net.kill(P2)
    net.run(6.0)
    assert P3 in net.nodes[sorter].follower.sources  # a seed, as nobody else is there
    net.give(P3, m.Put(m.CORE, (2, 3), wire.encode_members([P3], P3)))
    net.run(1.0)
    assert set(net.nodes[sorter].follower.sources) == {P3}


def test_a_source_that_may_be_starting_is_asked_often():
    follower = Follower()
    follower.follow(5.0, ["a"])
    asked = [t for t in range(500, 900) if follower.tick(t / 100)]
    assert 19 <= len([t for t in asked if t < 700]) <= 21 and len([t for t in asked if t >= 720]) <= 5
    follower.sources["a"].heard = 9.0
    assert sum(bool(follower.tick(t / 100)) for t in range(900, 1100)) <= 6


def test_transcript_of_following_a_log(snapshot):
    log, follower, lines = Log(random.Random(4), zone=2), Follower(), []

    def exchange(now, sends, lost=False):
        while sends:
            to, note = sends.pop(0)
            lines.append(f"{now:.2f} {'lost: ' if lost else ''}to {to}: {str(note).strip()}")
            kind = note.WhichOneof("kind")
            if lost:
                continue
            if kind == "follow":
                sends += log.followed(now, "sorter", note.follow)
            else:
                out, told = follower.answered(now, "post", note.answer)
                sends += [Send(s.to, s.message) for s in out]
                lines.extend(f"     {record}" for record in told.records if told)

    backend = m.Backend("i-1", "nomgate", "10.9.0.1:80", "kgn-a", "v1", 2, seq=4, since=1.0)
    follower.follow(10.0, ["post"])
    exchange(10.0, follower.tick(10.0))
    log.put("i-1", wire.Listed(backend))
    exchange(10.1, log.push(10.1))
    log.put("i-1", wire.Listed(backend._replace(draining=True, seq=5)))
    exchange(10.2, log.push(10.2), lost=True)
    exchange(10.3, log.tick(10.3))
    exchange(10.46, log.tick(10.46))
    log.put("i-1", wire.Ended("i-1", 5, until=40.0))
    log.tick(50.0)  # the follower was away for longer than an end is remembered
    exchange(50.0, follower.tick(50.0))
    assert "\n".join(lines) == snapshot
