"""Backends out by hand: what the decision module makes of it, and what an upgrade finds of it."""

from __future__ import annotations

import asyncio
import json
import os

import pytest

from ingress import interface as io
from ingress.net.process_state import NAME, PROCESS, State
from tests.ingress.ingress_driver import GatewayDriver, only, some
from tests.ingress.socket_rig import Client, IngressRig, Peer, call, entry, in_turn, listing, ok, run, until


def backends_used(g: GatewayDriver, rounds: int = 20) -> set[str]:
    """Where requests go, two at a time, while time passes."""
    used = set()
    for n in range(rounds):
        g.now += 0.2
        sent = [a for k in (0, 1) for a in some(g.ask(customer=1000 + 2 * n + k), io.Attempt)]
        used |= {a.backend for a in sent}
        for a in sent:
            g.end(a)
    return used


def relist(
    g: GatewayDriver,
    born: float = 0.0,
    phase: io.Phase = io.Phase.RUNNING,
    kind: io.ListKind = io.ListKind.CHANGE,
) -> None:
    g.give(io.ListUpdate(kind, 2, (io.BackendEntry("b0", phase, born=born, zone="z0"),)))


def test_a_backend_out_by_hand_gets_nothing_whatever_the_list_says_until_it_is_put_back():
    g = GatewayDriver(backends=2)
    assert backends_used(g) == {"b0", "b1"}
    actions = g.give(io.Cordon("b0", True))
    assert (
        only(actions, io.Cordons).cordon_entries == {"b0": io.CordonEntry(g.now)}
        and only(actions, io.CloseIdle).backend == "b0"
    )
    assert backends_used(g) == {"b1"} and g.gw.members(g.now) == (2, 1)
    relist(g, phase=io.Phase.STOPPING)
    relist(g, phase=io.Phase.DELETED)
    relist(g, born=g.now)
    assert backends_used(g) == {"b1"}
    g.give(io.Cordon("b0", True))  # twice
    g.give(io.Cordon("b0", False))  # one call undoes both
    g.now += 60
    assert "b0" in backends_used(g) and g.gw.members(g.now) == (2, 0)


def test_an_unknown_backend_is_no_order_and_changes_nothing():
    g = GatewayDriver(backends=2)
    for on in (True, False):
        assert g.give(io.Cordon("b7", on)) == [io.UnknownBackend("b7")]
    relist(g, phase=io.Phase.DELETED)
    assert g.give(io.Cordon("b0", True)) == [io.UnknownBackend("b0")]
    assert g.gw.members(g.now) == (1, 0)


def test_a_backend_put_back_is_cold_though_the_list_tells_of_its_restart_late():
    g = GatewayDriver(backends=2)
    g.give(io.Cordon("b0", True))
    g.now += 30
    g.give(io.Cordon("b0", False))
    b = g.gw.fleet.backends["b0"]
    assert g.gw.fleet.slow_start_capacity(g.now, b) == pytest.approx(0.2)
    relist(g, born=g.now - 5)  # it has been up for half of its cold time
    assert g.gw.fleet.slow_start_capacity(g.now, g.gw.fleet.backends["b0"]) == pytest.approx(0.6)


def test_a_backend_put_back_that_the_list_calls_long_up_stays_cold_through_further_lists():
    g = GatewayDriver(backends=2)
    g.give(io.Cordon("b0", True))
    g.now += 1
    g.give(io.Cordon("b0", False))
    relist(g)
    assert g.gw.fleet.slow_start_capacity(g.now, g.gw.fleet.backends["b0"]) == pytest.approx(0.2)


def test_a_backend_put_back_is_not_ejected_for_what_it_did_before():
    g = GatewayDriver(backends=4)
    b = g.gw.fleet.backends["b0"]
    g.gw.fleet.eject(g.now, b, "failing")
    g.give(io.Cordon("b0", True))
    g.give(io.Cordon("b0", False))
    assert g.gw.members(g.now) == (4, 0)


def test_members_count_what_is_listed_and_what_is_avoided_by_choice():
    g = GatewayDriver(backends=4)
    g.gw.fleet.eject(g.now, g.gw.fleet.backends["b1"], "failing")
    relist(g, phase=io.Phase.STOPPING)
    assert g.gw.members(g.now) == (4, 2)


def test_a_process_that_begins_takes_over_what_is_out():
    g = GatewayDriver(backends=3)
    g.give(io.Cordons({"b0": io.CordonEntry(g.now - 3), "b1": io.CordonEntry(g.now - 9, g.now - 5)}))
    assert g.gw.fleet.slow_start_capacity(g.now, g.gw.fleet.backends["b1"]) == pytest.approx(0.6)
    assert backends_used(g) == {"b1", "b2"}


# The file.

BANS = {"b0": io.CordonEntry(5.0), "b1": io.CordonEntry(5.0, 6.0)}


def test_what_one_process_writes_the_other_reads_once(tmp_path):
    one, two = State(str(tmp_path)), State(str(tmp_path))
    assert one.changed_cordons() is None
    one.write(BANS)
    assert two.changed_cordons() == BANS and two.changed_cordons() is None and one.changed_cordons() is None
    two.write({})
    assert one.changed_cordons() == {}


@pytest.mark.parametrize(
    "text",
    [
        "",
        "{",
        "[]",
        '{"b0": 5}',
        '{"b0": [1]}',
        '{"b0": ["x", 0]}',
        "\x00\xff",
        '{"b0": [NaN, 0]}',
        '{"b0": null}',
    ],
)
def test_a_torn_file_is_as_good_as_none(tmp_path, text):
    (tmp_path / NAME).write_bytes(text.encode("latin-1"))
    state = State(str(tmp_path))
    state.join()
    assert state.changed_cordons() is None and state.changed_cordons() is None
    state.leave()


def test_nothing_is_kept_without_a_folder_or_where_it_cannot_be_written(tmp_path):
    for folder in (None, str(tmp_path / "gone")):
        state = State(folder)
        state.join()
        assert state.change(lambda cordon_entries: None, lambda: BANS)
        assert state.changed_cordons() is None and state.siblings() == []
        state.leave()


def test_files_of_dead_processes_count_for_nothing_and_go(tmp_path):
    (tmp_path / f"{PROCESS}1").touch()
    (tmp_path / f"{NAME}.1").write_text("half")
    state = State(str(tmp_path))
    state.join()
    assert state.siblings() == []
    assert {p.name for p in tmp_path.iterdir()} == {"roadspur.lock", f"{PROCESS}{os.getpid()}"}


def test_two_living_processes_share_the_room_for_connections(tmp_path, monkeypatch):
    async def main():
        backend = await Peer.start(ok())
        rig = IngressRig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        other = State(str(tmp_path))
        with monkeypatch.context() as m:
            m.setattr(os, "getpid", lambda: 7)
            other.join()
        other.publish(49, 100)
        rig.ingress.state = State(str(tmp_path))
        rig.ingress.follow(1)
        assert rig.ingress.sibling_count == 1 and io.SiblingProcesses(1) in rig.script.events
        assert (await client.ask(call("r1")))[0] == 503 and not backend.seen  # no socket is left
        crowd = await Client.connect(rig.port)
        assert (await crowd.ask(call("r2")))[0] == 503
        os.close(other.own)  # as when its process ends
        rig.ingress.follow(1)
        assert rig.ingress.sibling_count == 0 and rig.script.events[-1] == io.SiblingProcesses(0)
        assert (await (await Client.connect(rig.port)).ask(call("r3")))[0] == 200

    run(main())


@pytest.mark.parametrize("plan,width,alone,together", [("basic", 2, 4, 2), ("plus", 2, 10, 5)])
def test_without_the_counter_two_processes_let_in_what_one_may(plan, width, alone, together):
    for processes, most in ((0, alone), (1, together)):
        g = GatewayDriver(backends=4, instances=2)
        g.counter = "refusing"
        g.gw.call_policy.misses, g.gw.call_policy.call_share = 100, 0.0
        g.give(io.SiblingProcesses(processes))
        let_in = sum(len(some(g.ask(plan=plan, width=width), io.Attempt)) for _ in range(30))
        assert 0 < let_in <= most


def test_an_order_at_one_process_holds_at_the_other_and_does_not_undo_an_earlier_one(tmp_path):
    async def main():
        rigs = []
        for _ in range(2):
            rig = IngressRig(cordon_entries())
            rig.ingress.state = State(str(tmp_path))
            rigs.append(rig)
        assert rigs[0].ingress.cordon("b0", True) and rigs[1].ingress.cordon("b1", True)
        rigs[0].ingress.follow()
        assert all(set(rig.ingress.cordon_entries) == {"b0", "b1"} for rig in rigs)
        assert set(json.loads((tmp_path / NAME).read_text())) == {"b0", "b1"}
        assert not rigs[0].ingress.cordon("b9", True)

    run(main())


def cordon_entries():
    """A stand-in for the module that takes out b0 and b1 and knows no others."""
    out = {}

    def decide(event):
        if isinstance(event, io.Cordons):
            out.update(event.cordon_entries)
        elif isinstance(event, io.Cordon) and event.backend in ("b0", "b1"):
            out[event.backend] = io.CordonEntry(1.0)
        elif isinstance(event, io.Cordon):
            return [io.UnknownBackend(event.backend)]
        return [io.Cordons(dict(out))]

    return decide


def test_a_connection_that_comes_up_after_the_order_sends_nothing():
    async def main():
        go, seen = asyncio.Event(), []
        backend = await Peer.start(ok())
        rig = IngressRig(
            lambda e: [io.Attempt(e.id, "b0")]
            if isinstance(e, io.Request)
            else [io.Cordons({"b0": io.CordonEntry(1.0)})]
            if isinstance(e, io.Cordon)
            else [io.Refuse(e.request)]
            if isinstance(e, io.AttemptEnded)
            else []
        )
        connect = rig.upstream.connect

        async def slow(pool):
            seen.append(pool)
            await go.wait()
            return await connect(pool)

        rig.upstream.connect = slow
        client = await rig.start(b0=backend.port)
        client.writer.write(call("r1"))
        await until(lambda: seen)
        assert rig.ingress.cordon("b0", True)
        go.set()
        assert (await client.answer())[0] == 503 and not backend.seen
        assert not rig.server.ready()  # nothing else is there to serve with

    run(main())


def test_a_list_in_use_knows_its_backends():
    async def main():
        rig = IngressRig(in_turn("b0"))
        rig.ingress.apply_backend_list(listing(entry("b0", 1)))
        assert rig.server.ready()

    run(main())
