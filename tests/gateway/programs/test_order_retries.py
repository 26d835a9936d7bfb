"""Orders that are sent again, whatever befalls the core: taken once, then acknowledged or left unclear."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from gateway.config import changes
from gateway.config.changes import ConfigState, without_history
from gateway.consensus import events
from tests.gateway.consensus.consensus_cluster import InvariantViolation
from tests.gateway.programs.controller_cluster import ControllerCluster, SimulatedController, explore

ENOUGH = 60  # seeds within which a planted fault must be found


@pytest.mark.parametrize("count,seeds", [(3, 12), (5, 5)])
def test_whatever_befalls_it(count: int, seeds: int) -> None:
    for seed in range(seeds):
        core = explore(count, seed)
        assert core.newest is not None


def test_a_short_memory_leaves_repeats_unclear(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(changes, "MAX_REMEMBERED_CHANGES", 2)
    for seed in range(6):
        explore(3, seed, clear_s=0.0)


def replaced(plant: type[SimulatedController] = SimulatedController) -> ControllerCluster:
    """All members are replaced one after the other, with changes between; the leader is killed; then the
    first order is sent again."""
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
        )  # which the rounds tell it
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


def test_a_repeat_is_known_after_all_members_are_replaced() -> None:
    core = replaced()
    assert len(core.taken) > 2 and core.orders[0].acknowledged


def test_a_memory_outside_of_the_value_goes_with_its_members(monkeypatch: pytest.MonkeyPatch) -> None:
    with pytest.raises(InvariantViolation, match="taken, answered 412"):
        replaced(keeps_to_itself(monkeypatch))


def forgets(monkeypatch: pytest.MonkeyPatch) -> type[SimulatedController]:
    """Two orders are remembered, and nothing tells that others were taken."""

    def with_change(config_state: ConfigState, document: changes.Document, order: int) -> ConfigState:
        taken = {**dict(list(config_state.accepted.items())[-1:]), order: document.generation}
        return ConfigState(document, taken)

    monkeypatch.setattr(ConfigState, "with_change", with_change)
    return SimulatedController


def keeps_to_itself(monkeypatch: pytest.MonkeyPatch) -> type[SimulatedController]:
    """The memory is no part of the value."""
    encode = ConfigState.encode
    monkeypatch.setattr(ConfigState, "encode", lambda config_state: without_history(encode(config_state)))
    return SimulatedController


def decides_early(monkeypatch: pytest.MonkeyPatch) -> type[SimulatedController]:
    """A new leader decides before it is sure."""

    class Early(SimulatedController):
        def leads(self, now: float) -> bool:
            return self.node.machine.leader_role is not None

    return Early


def acknowledges_early(monkeypatch: pytest.MonkeyPatch) -> type[SimulatedController]:
    """An order is acknowledged once it is proposed."""

    class Hasty(SimulatedController):
        def propose(self, token: int, value: bytes, expected: int) -> None:
            super().propose(token, value, expected)
            self.control.on_proposal_outcome(self.core.now, token, "committed")

    return Hasty


def calls_unknown_refused(monkeypatch: pytest.MonkeyPatch) -> type[SimulatedController]:
    """What is under way when a leader steps down is refused."""

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
def test_planted_faults_are_found(
    plant: Callable[[pytest.MonkeyPatch], type[SimulatedController]], monkeypatch: pytest.MonkeyPatch
) -> None:
    controller = plant(monkeypatch)
    for seed in range(ENOUGH):
        try:
            explore(3, seed, controller)
        except InvariantViolation:
            return
    pytest.fail(f"not found in {ENOUGH} runs")
