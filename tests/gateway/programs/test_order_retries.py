"""Tests of retried changes during faults: applied once, then acknowledged or left without a clear answer."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from gateway.config import changes
from gateway.config.changes import ConfigState, without_history
from gateway.consensus import events
from tests.gateway.consensus.consensus_cluster import InvariantViolation
from tests.gateway.programs.controller_cluster import ControllerCluster, SimulatedController, explore

MAX_SEEDS = 60  # an injected fault must be detected within this many seeds


@pytest.mark.parametrize("count,seeds", [(3, 12), (5, 5)])
def test_retries_during_random_faults(count: int, seeds: int) -> None:
    for seed in range(seeds):
        core = explore(count, seed)
        assert core.newest is not None


def test_retries_during_random_faults_with_a_short_history(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(changes, "MAX_REMEMBERED_CHANGES", 2)
    for seed in range(6):
        explore(3, seed, clear_s=0.0)


def replaced(plant: type[SimulatedController] = SimulatedController) -> ControllerCluster:
    """Replace all members one by one, with changes between; kill the leader; then retry the first change."""
    core = ControllerCluster(3, 1, plant)
    core.busy, core.unheard, core.late = False, 0.0, 0.0
    core.propose(core.nodes[core.seeds[0]], 0)
    assert core.run(5.0, lambda: core.newest is not None)
    first = core.orders[0]
    for n, address in enumerate(core.seeds):
        core.kill(address, wipe=True)
        del core.nodes[address]
        core.add(f"10.0.1.{n}:1")
        core.deliver(
            core.nodes[f"10.0.1.{n}:1"], events.KnownAddresses(tuple(core.nodes))
        )  # normally learned by gossip
        core.run(6.0)
        core.propose(next(iter(core.nodes.values())), 0)
        assert core.run(5.0, lambda: not core.under_way)
    leader = core.leader()
    assert leader is not None and not {m.address for m in leader.machine.members} & set(core.seeds)
    core.kill(leader.address)
    core.start(leader.address)
    core.send(first)
    assert core.run(5.0, lambda: not core.under_way)
    return core


def test_retry_is_recognized_after_all_members_are_replaced() -> None:
    core = replaced()
    assert len(core.taken) > 2 and core.orders[0].acknowledged


def test_history_outside_of_the_value_is_lost_with_its_members(monkeypatch: pytest.MonkeyPatch) -> None:
    with pytest.raises(InvariantViolation, match="taken, answered 412"):
        replaced(keeps_to_itself(monkeypatch))


def forgets(monkeypatch: pytest.MonkeyPatch) -> type[SimulatedController]:
    """Remember only two changes, without any record that there were others."""

    def with_change(config_state: ConfigState, document: changes.Document, order: int) -> ConfigState:
        taken = {**dict(list(config_state.accepted.items())[-1:]), order: document.generation}
        return ConfigState(document, taken)

    monkeypatch.setattr(ConfigState, "with_change", with_change)
    return SimulatedController


def keeps_to_itself(monkeypatch: pytest.MonkeyPatch) -> type[SimulatedController]:
    """Don't store the history of changes in the replicated value."""
    encode = ConfigState.encode
    monkeypatch.setattr(ConfigState, "encode", lambda config_state: without_history(encode(config_state)))
    return SimulatedController


def decides_early(monkeypatch: pytest.MonkeyPatch) -> type[SimulatedController]:
    """Let a new leader decide before it has a leader lease."""

    class Early(SimulatedController):
        def leads(self, now: float) -> bool:
            return self.node.machine.leader_role is not None

    return Early


def acknowledges_early(monkeypatch: pytest.MonkeyPatch) -> type[SimulatedController]:
    """Acknowledge a change as soon as it is proposed."""

    class Hasty(SimulatedController):
        def propose(self, token: int, value: bytes, expected: int) -> None:
            super().propose(token, value, expected)
            self.control.on_proposal_outcome(self.core.now, token, "committed")

    return Hasty


def calls_unknown_refused(monkeypatch: pytest.MonkeyPatch) -> type[SimulatedController]:
    """Reject changes that are in progress when the leader steps down."""

    class Sure(SimulatedController):
        def __init__(self, *its: object) -> None:
            super().__init__(*its)  # type: ignore[arg-type]
            on_proposal_outcome = self.control.on_proposal_outcome

            def told(now: float, token: int, outcome: str) -> None:
                if outcome == "unknown" and self.control.in_flight is not None:
                    self.control.in_flight.call.reply(412, b"", b'{"generation":9999}')
                on_proposal_outcome(now, token, outcome)

            self.control.on_proposal_outcome = told  # type: ignore[method-assign]

    return Sure


@pytest.mark.parametrize(
    "plant", [forgets, keeps_to_itself, decides_early, acknowledges_early, calls_unknown_refused]
)
def test_injected_faults_are_detected(
    plant: Callable[[pytest.MonkeyPatch], type[SimulatedController]], monkeypatch: pytest.MonkeyPatch
) -> None:
    controller = plant(monkeypatch)
    for seed in range(MAX_SEEDS):
        try:
            explore(3, seed, controller)
        except InvariantViolation:
            return
    pytest.fail(f"not detected in {MAX_SEEDS} runs")
