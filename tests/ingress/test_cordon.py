"""Tests of cordoned backends: the decision module, and the handover of cordons in an upgrade."""

from __future__ import annotations

import asyncio
import json
import os

import pytest

from ingress import interface as io
from ingress.net.process_state import NAME, PROCESS, State
from tests.ingress.ingress_driver import GatewayDriver, actions_of_kind, single_action
from tests.ingress.socket_rig import Client, IngressRig, Peer, call, entry, in_turn, listing, ok, run, until


def backends_used(g: GatewayDriver, rounds: int = 20) -> set[str]:
    """Return the backends that get requests, two at a time, while time passes."""
    used = set()
    for n in range(rounds):
        g.now += 0.2
        sent = [a for k in (0, 1) for a in actions_of_kind(g.ask(customer=1000 + 2 * n + k), io.Attempt)]
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
    g.handle(io.ListUpdate(kind, 2, (io.BackendEntry("b0", phase, born=born, zone="z0"),)))


def test_cordoned_backend_gets_nothing_until_it_is_uncordoned():
    g = GatewayDriver(backends=2)
    assert backends_used(g) == {"b0", "b1"}
    actions = g.handle(io.Cordon("b0", True))
    assert (
        single_action(actions, io.Cordons).cordon_entries == {"b0": io.CordonEntry(g.now)}
        and single_action(actions, io.CloseIdle).backend == "b0"
    )
    assert backends_used(g) == {"b1"} and g.gateway.members(g.now) == (2, 1)
    relist(g, phase=io.Phase.STOPPING)
    relist(g, phase=io.Phase.DELETED)
    relist(g, born=g.now)
    assert backends_used(g) == {"b1"}
    g.handle(io.Cordon("b0", True))  # twice
    g.handle(io.Cordon("b0", False))  # one command undoes both
    g.now += 60
    assert "b0" in backends_used(g) and g.gateway.members(g.now) == (2, 0)


def test_cordon_of_an_unknown_backend_fails():
    g = GatewayDriver(backends=2)
    for on in (True, False):
        assert g.handle(io.Cordon("b7", on)) == [io.UnknownBackend("b7")]
    relist(g, phase=io.Phase.DELETED)
    assert g.handle(io.Cordon("b0", True)) == [io.UnknownBackend("b0")]
    assert g.gateway.members(g.now) == (1, 0)


def test_uncordoned_backend_starts_slowly_although_the_list_reports_its_restart_late():
    g = GatewayDriver(backends=2)
    g.handle(io.Cordon("b0", True))
    g.now += 30
    g.handle(io.Cordon("b0", False))
    b = g.gateway.fleet.backends["b0"]
    assert g.gateway.fleet.slow_start_capacity(g.now, b) == pytest.approx(0.2)
    relist(g, born=g.now - 5)  # half of its slow start has passed
    assert g.gateway.fleet.slow_start_capacity(g.now, g.gateway.fleet.backends["b0"]) == pytest.approx(0.6)


def test_uncordoned_backend_keeps_its_slow_start_through_further_lists():
    g = GatewayDriver(backends=2)
    g.handle(io.Cordon("b0", True))
    g.now += 1
    g.handle(io.Cordon("b0", False))
    relist(g)
    assert g.gateway.fleet.slow_start_capacity(g.now, g.gateway.fleet.backends["b0"]) == pytest.approx(0.2)


def test_uncordoned_backend_is_not_ejected_for_earlier_failures():
    g = GatewayDriver(backends=4)
    b = g.gateway.fleet.backends["b0"]
    g.gateway.fleet.eject(g.now, b, "failing")
    g.handle(io.Cordon("b0", True))
    g.handle(io.Cordon("b0", False))
    assert g.gateway.members(g.now) == (4, 0)


def test_members_counts_listed_and_avoided_backends():
    g = GatewayDriver(backends=4)
    g.gateway.fleet.eject(g.now, g.gateway.fleet.backends["b1"], "failing")
    relist(g, phase=io.Phase.STOPPING)
    assert g.gateway.members(g.now) == (4, 2)


def test_new_process_adopts_the_cordons():
    g = GatewayDriver(backends=3)
    g.handle(io.Cordons({"b0": io.CordonEntry(g.now - 3), "b1": io.CordonEntry(g.now - 9, g.now - 5)}))
    assert g.gateway.fleet.slow_start_capacity(g.now, g.gateway.fleet.backends["b1"]) == pytest.approx(0.6)
    assert backends_used(g) == {"b1", "b2"}


# The cordon file.

BANS = {"b0": io.CordonEntry(5.0), "b1": io.CordonEntry(5.0, 6.0)}


def test_cordons_of_one_process_are_read_once_by_the_other(tmp_path):
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
def test_corrupt_file_is_ignored(tmp_path, text):
    (tmp_path / NAME).write_bytes(text.encode("latin-1"))
    state = State(str(tmp_path))
    state.join()
    assert state.changed_cordons() is None and state.changed_cordons() is None
    state.leave()


def test_nothing_is_stored_without_a_writable_folder(tmp_path):
    for folder in (None, str(tmp_path / "gone")):
        state = State(folder)
        state.join()
        assert state.change(lambda cordon_entries: None, lambda: BANS)
        assert state.changed_cordons() is None and state.siblings() == []
        state.leave()


def test_files_of_dead_processes_are_ignored_and_removed(tmp_path):
    (tmp_path / f"{PROCESS}1").touch()
    (tmp_path / f"{NAME}.1").write_text("half")
    state = State(str(tmp_path))
    state.join()
    assert state.siblings() == []
    assert {p.name for p in tmp_path.iterdir()} == {"roadspur.lock", f"{PROCESS}{os.getpid()}"}


def test_two_live_processes_share_the_connection_limit(tmp_path, monkeypatch):
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
        os.close(other.own)  # as if its process had ended
        rig.ingress.follow(1)
        assert rig.ingress.sibling_count == 0 and rig.script.events[-1] == io.SiblingProcesses(0)
        assert (await (await Client.connect(rig.port)).ask(call("r3")))[0] == 200

    run(main())


@pytest.mark.parametrize("plan,width,alone,together", [("basic", 2, 4, 2), ("plus", 2, 10, 5)])
def test_two_processes_without_a_counter_admit_no_more_than_one(plan, width, alone, together):
    for processes, most in ((0, alone), (1, together)):
        g = GatewayDriver(backends=4, instances=2)
        g.counter = "refusing"
        g.gateway.call_policy.misses, g.gateway.call_policy.call_share = 100, 0.0
        g.handle(io.SiblingProcesses(processes))
        let_in = sum(len(actions_of_kind(g.ask(plan=plan, width=width), io.Attempt)) for _ in range(30))
        assert 0 < let_in <= most


def test_cordon_at_one_process_applies_at_the_other_and_keeps_earlier_ones(tmp_path):
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
    """A test double of the decision module that can cordon b0 and b1 only."""
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


def test_connection_opened_after_the_cordon_sends_nothing():
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
        assert not rig.server.ready()  # there is no other backend

    run(main())


def test_server_is_ready_once_a_backend_list_is_applied():
    async def main():
        rig = IngressRig(in_turn("b0"))
        rig.ingress.apply_backend_list(listing(entry("b0", 1)))
        assert rig.server.ready()

    run(main())
