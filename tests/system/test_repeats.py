"""Orders that are sent again, whatever befalls the core: taken once, then acknowledged or left unclear."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from post.directory import orders
from post.directory.orders import Held, without_taken
from post.register import api
from tests.system.core import Broken
from tests.system.offices import Office, Offices, explore

ENOUGH = 60  # seeds within which a planted fault must be found


@pytest.mark.parametrize("count,seeds", [(3, 12), (5, 5)])
def test_whatever_befalls_it(count: int, seeds: int) -> None:
    for seed in range(seeds):
        core = explore(count, seed)
        assert core.newest is not None


def test_a_short_memory_leaves_repeats_unclear(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(orders, "REMEMBERED", 2)
    for seed in range(6):
        explore(3, seed, clear_s=0.0)


def replaced(plant: type[Office] = Office) -> Offices:
    """All members are replaced one after the other, with changes between; the leader is killed; then the
    first order is sent again."""
    core = Offices(3, 1, plant)
    core.busy, core.unheard, core.late = False, 0.0, 0.0
    core.propose(core.nodes[core.seeds[0]], 0)
    assert core.run(5.0, lambda: core.newest is not None)
    first = core.orders[0]
    for n, address in enumerate(core.seeds):
        core.kill(address, wipe=True)
        del core.nodes[address]
        core.add(f"10.0.1.{n}:1")
        core.give(core.nodes[f"10.0.1.{n}:1"], api.Known(tuple(core.nodes)))  # which the rounds tell it
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
    with pytest.raises(Broken, match="taken, answered 412"):
        replaced(keeps_to_itself(monkeypatch))


def forgets(monkeypatch: pytest.MonkeyPatch) -> type[Office]:
    """Two orders are remembered, and nothing tells that others were taken."""
    def then(held: Held, document: orders.Document, order: int) -> Held:
        taken = {**dict(list(held.taken.items())[-1:]), order: document.generation}
        return Held(document, taken)

    monkeypatch.setattr(Held, "then", then)
    return Office


def keeps_to_itself(monkeypatch: pytest.MonkeyPatch) -> type[Office]:
    """The memory is no part of the value."""
    encode = Held.encode
    monkeypatch.setattr(Held, "encode", lambda held: without_taken(encode(held)))
    return Office


def decides_early(monkeypatch: pytest.MonkeyPatch) -> type[Office]:
    """A new leader decides before it is sure."""
    class Early(Office):
        def leads(self, now: float) -> bool:
            return self.node.machine.leading is not None

    return Early


def acknowledges_early(monkeypatch: pytest.MonkeyPatch) -> type[Office]:
    """An order is acknowledged once it is proposed."""
    class Hasty(Office):
        def propose(self, token: int, value: bytes, expected: int) -> None:
            super().propose(token, value, expected)
            self.control.proposed(self.core.now, token, "done")

    return Hasty


def calls_unknown_refused(monkeypatch: pytest.MonkeyPatch) -> type[Office]:
    """What is under way when a leader steps down is refused."""
    class Sure(Office):
        def __init__(self, *its: object) -> None:
            super().__init__(*its)  # type: ignore[arg-type]
            proposed = self.control.proposed

            def told(now: float, token: int, outcome: str) -> None:
                if outcome == "unknown" and self.control.out is not None:
                    self.control.out.order.reply(412, b"", b'{"generation":9999}')
                proposed(now, token, outcome)

            self.control.proposed = told  # type: ignore[method-assign]

    return Sure


@pytest.mark.parametrize("plant", [forgets, keeps_to_itself, decides_early, acknowledges_early,
                                   calls_unknown_refused])
def test_planted_faults_are_found(plant: Callable[[pytest.MonkeyPatch], type[Office]],
                                  monkeypatch: pytest.MonkeyPatch) -> None:
    office = plant(monkeypatch)
    for seed in range(ENOUGH):
        try:
            explore(3, seed, office)
        except Broken:
            return
    pytest.fail(f"not found in {ENOUGH} runs")
