"""Tests of the operator commands: changes that are retried until a definite answer, and core plans."""

from __future__ import annotations

import random
from pathlib import Path
from typing import Any

import pytest
from syrupy.assertion import SnapshotAssertion

from gateway.cli import backend_report, commands, control_client, core_report
from gateway.cli.control_client import NO_ANSWER, Answer
from gateway.consensus import quorum
from gateway.membership.controller import ControllerMembership
from gateway.membership.events import Heartbeat, SetCore
from gateway.programs import status_report
from gateway.programs.paths import CONFIG
from gateway.runtime.http_call import HttpCall
from tests.gateway.consensus.consensus_cluster import ConsensusCluster, check_progress

A, B, C = "10.1.0.1:8407", "10.2.0.2:8407", "10.3.0.3:8407"
OK = Answer(200, "", b'{"generation":7}')


def to(address: str) -> Answer:
    return Answer(307, f"http://{address}/-/config?x=1", b"")


class ScriptedCalls:
    """Answers calls in order, repeating the last answer. Records calls and pauses; only pauses take time."""

    def __init__(self, *answers: Answer) -> None:
        self.answers, self.now = list(answers), 0.0
        self.calls: list[tuple[str, str]] = []
        self.pauses: list[float] = []

    def send(self, address: str, call: HttpCall, timeout_s: float) -> Answer:
        self.calls.append((address, call.path))
        self.now += timeout_s
        return self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]

    def pause(self, seconds: float) -> None:
        self.pauses.append(seconds)
        self.now += seconds

    def run(self, **more: Any) -> int:
        return control_client.call_with_retries(
            [A, B],
            HttpCall("PUT", CONFIG, b"x"),
            send=self.send,
            sleep=self.pause,
            clock=lambda: self.now,
            **more,
        ).status


def test_redirects_are_followed_twice_and_then_the_next_process_is_tried() -> None:
    script = ScriptedCalls(to(B), to(C), OK)
    assert script.run() == 200
    assert script.calls == [(A, "/-/config"), (B, "/-/config?x=1"), (C, "/-/config?x=1")]
    script = ScriptedCalls(to(B), to(C), to(A), NO_ANSWER, Answer(503, "", b""), Answer(429, "", b""), OK)
    assert script.run() == 200
    assert [a for a, _ in script.calls] == [A, B, C, B, A, B, A] and script.pauses == [0.1, 0.2, 0.4, 0.8]


@pytest.mark.parametrize("status,calls", [(400, 1), (409, 1), (412, 1), (413, 1), (422, 1), (404, 3)])
def test_definite_answer_ends_the_call(status: int, calls: int) -> None:
    script = ScriptedCalls(Answer(status, "", b""))
    assert script.run() == status and len(script.calls) == calls


def test_call_ends_at_its_time_limit_and_pauses_stay_short() -> None:
    script = ScriptedCalls(NO_ANSWER)
    assert script.run(timeout_s=30.0) == 0
    assert script.now <= 32 and max(script.pauses) == control_client.MAX_BACKOFF_S


def test_commands(tmp_path: Path, capfd: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch) -> None:
    got: list[tuple[Any, ...]] = []
    answers = [Answer(200, "", b'{"a":"<b>\\n"}'), OK, Answer(412, "", b'{"generation":9}')]

    def respond(seeds: list[str], call: HttpCall, timeout_s: float) -> Answer:
        got.append((tuple(seeds), *call))
        return answers.pop(0)

    monkeypatch.setattr(control_client, "call_with_retries", respond)
    file = tmp_path / "c.json"
    file.write_bytes(b"{}")
    assert [
        commands.run(["config", "get", A, B]),
        commands.run(["config", "put", A, B, str(file)]),
        commands.run(["config", "patch", A, str(file)]),
        commands.run(["config", "put", str(file)]),
        commands.run(["config", "put", A, "/none"]),
    ] == [0, 0, 2, 2, 2]
    assert got == [
        ((A, B), "GET", CONFIG, b""),
        ((A, B), "PUT", CONFIG, b"{}"),
        ((A,), "PATCH", CONFIG, b"{}"),
    ]
    out, err = capfd.readouterr()
    assert out == '{"a":"<b>\\n"}\n{"generation":7}\n'
    assert 'PATCH: answered 412 {"generation":9}' in err and "/none: No such file" in err


def test_core_plan_by_counts(capfd: pytest.CaptureFixture[str]) -> None:
    assert [quorum.tolerable_losses(n) for n in range(1, 10)] == [0, 0, 1, 1, 2, 2, 3, 3, 4]
    assert all(quorum.tolerable_losses(quorum.members_needed(f)) == f for f in range(5))
    for n in range(1, 10):
        for loss in quorum.losses(n):
            assert loss.keeps_changes or not loss.stays_available  # no changes are lost
    assert [commands.run(["plan-core", n, "--tolerance", "2"]) for n in ("5", "4")] == [0, 2]
    out, err = capfd.readouterr()
    assert "acknowledged: on 3 of 5 disks" in out and "takes 5" in err
    assert "1 lost: while away goes on; for good goes on, nothing lost; then 1 more may go" in out


def test_losses_that_a_core_tolerates_now() -> None:
    core = ConsensusCluster(5, 1, 2)
    check_progress(core, 5.0)

    def told() -> tuple[int | None, bool]:
        answers = [status_report.core(n.machine, core.now) for n in core.up()]
        leads = max(answers, key=lambda a: a["sure"])
        return leads["bears-now"], core_report.is_healthy(answers)

    core.run(0.2)
    assert told() == (2, True)
    others = [n for n in core.up() if n is not core.leader()]
    others[0].disk_s = others[1].disk_s = others[2].disk_s = (60.0, 60.0)
    leader = core.leader()
    assert leader is not None
    core.propose(leader, leader.machine.committed_version)
    core.run(0.2)
    assert told() == (2, True)  # the pending change is on two disks and isn't acknowledged yet
    core.kill(others[3].address)
    core.run(1.2)
    assert told() == (1, False)
    core.kill(others[0].address, wipe=True)
    core.run(1.2)
    assert told() == (0, False)


@pytest.mark.parametrize(
    ("disks", "there", "holders", "more"),
    [(3, 3, 2, 1), (3, 3, 1, 0), (3, 2, 2, 0), (4, 4, 3, 1), (5, 5, 3, 2), (5, 4, 4, 1), (5, 2, 2, 0)],
)
def test_further_losses(disks: int, there: int, holders: int, more: int) -> None:
    voters = quorum.VoterSet(disks, there)
    assert quorum.further_tolerable_losses([voters], holders) == more
    assert quorum.further_tolerable_losses([quorum.VoterSet(9, 9), voters], holders) == more


def test_core_and_backends_are_shown(snapshot: SnapshotAssertion) -> None:
    core = ConsensusCluster(3, 1)
    check_progress(core, 5.0)
    leader = core.leader()
    assert leader is not None
    answers = [status_report.core(n.machine, core.now) for n in core.up()]
    for member in (m for a in answers for m in a["members"] if m["heard-s"]):
        assert 0 < member["heard-s"] < 0.2
        member["heard-s"] = 0.1
    lines = core_report.lines(answers)
    assert core_report.is_healthy(answers) and not core_report.is_healthy(answers[:0])
    assert not core_report.is_healthy([a for a in answers if a["node"] != leader.address])
    membership = ControllerMembership("10.0.0.1:1", 0, [], 1.0, random.Random(1))
    membership.handle(0.0, SetCore(("10.0.0.1:1",)))
    for n, draining in enumerate((False, True)):
        membership.handle(
            1.0, Heartbeat(n, f"b{n}", "parcels", f"10.5.0.{n}:80", "z1", "g1", 2, draining, 4.0, 7)
        )
    silent = {
        "node": "10.0.0.2:1",
        "backends": [
            {**row, "lease-left-s": None} for row in status_report.leases(membership, 2.0)["backends"]
        ],
    }
    lines += backend_report.lines([silent, status_report.leases(membership, 2.0)])
    assert "\n".join(lines) == snapshot
