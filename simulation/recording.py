"""Recording and replay of the inputs and outputs of a process's state machines.

A state machine is determined by its inputs, their times and its random generator, so a replay gives the same
outputs; if it doesn't, a decision depends on something else. A recording holds the arguments that a process
started with, and each call of a machine's `handle` since then.
"""

from __future__ import annotations

import pickle
import random
from collections import deque
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple, cast

from gateway.consensus.entry import PersistentState
from gateway.programs.controller_node import ControllerNode
from gateway.programs.proxy_node import ProxyNode
from gateway.runtime.settings import Settings

MAX_INPUTS = (
    200_000  # inputs that a recording keeps; one that has dropped inputs can't be replayed, only printed
)
CONTROLLER_MACHINES = ("raft", "membership", "shard_assigner", "shard_owner")


class RecordingHeader(NamedTuple):
    """The arguments that a process started with. `chance` is the state of its random.Random."""

    role: str
    settings: Settings
    stored: PersistentState | None
    chance: Any
    began: float


class RecordedInput(NamedTuple):
    """One input of a machine (`event`, pickled) at time `now`, and its outputs as text."""

    machine: str
    now: float
    event: Any
    outputs: list[str]


class Recording:
    """Records a process. `attach` must be called once its machines exist, before their first input."""

    def __init__(self, head: RecordingHeader, most: int = MAX_INPUTS) -> None:
        self.head = head
        self.steps = deque[RecordedInput](maxlen=most)
        self.count = 0

    def attach(self, node: ControllerNode | ProxyNode) -> None:
        """Record all state machines of a process."""
        for name, machine in machines(node):
            self._listen(name, machine)

    def _listen(self, name: str, machine: Any) -> None:
        handle = machine.handle

        def recorded_handle(now: float, event: Any) -> Any:
            pickled = pickle.dumps(event)
            out = handle(now, event)
            self.count += 1
            self.steps.append(RecordedInput(name, now, pickled, [shown(o) for o in out]))
            return out

        machine.handle = recorded_handle

    def save(self, path: Path) -> None:
        """Write the recording to a file."""
        with open(path, "wb") as file:
            pickle.dump((self.head, self.count, list(self.steps)), file)


def machines(node: ControllerNode | ProxyNode) -> Iterator[tuple[str, Any]]:
    """Yield a process's state machines with their names."""
    if isinstance(node, ControllerNode):
        for name in CONTROLLER_MACHINES:
            yield name, getattr(node, name)
    else:
        yield "membership", node.membership
        yield "gateway", node.ingress.gateway


def shown(output: Any) -> str:
    """An output as text, which is the same for equal outputs."""
    return f"{type(output).__name__} {' '.join(str(output).split())}"


class NullObject:
    """Replaces a replayed process's environment: any method does nothing."""

    def __getattr__(self, name: str) -> Any:
        return lambda *args, **more: NullObject()

    def __len__(self) -> int:
        return 0


class OutputDifference(NamedTuple):
    """The first input whose outputs differ from the recorded ones."""

    number: int
    step: RecordedInput
    outputs: list[str]


def replay(head: RecordingHeader, steps: list[RecordedInput]) -> OutputDifference | None:
    """Feed a complete recording to new state machines; returns the first difference, or None."""
    rng = random.Random()
    rng.setstate(head.chance)
    node: Any
    if head.role == "controller":
        node = ControllerNode(NullObject(), lambda: head.began, head.settings, head.stored, rng)
    else:
        node = ProxyNode(
            NullObject(),
            cast(Any, NullObject()),
            lambda: head.began,
            head.settings,
            cast(Any, NullObject()),
            rng,
        )
    known = dict(machines(node))
    for number, step in enumerate(steps):
        out = [shown(o) for o in known[step.machine].handle(step.now, pickle.loads(step.event))]
        if out != step.outputs:
            return OutputDifference(number, step, out)
    return None


def load(path: Path) -> tuple[RecordingHeader, int, list[RecordedInput]]:
    """Read a recording: its header, the number of all inputs, and the inputs it has kept."""
    with open(path, "rb") as file:
        return pickle.load(file)  # type: ignore[no-any-return]


def render_steps(
    steps: list[RecordedInput], begins: float = 0.0, ends: float = 1e12, longest: int = 200
) -> Iterator[str]:
    """Yield inputs and outputs between two times as lines of text, cut to `longest` characters."""
    for step in steps:
        if begins <= step.now <= ends:
            event = pickle.loads(step.event)
            yield f"{step.now:.4f}  {step.machine} <- {shown(event)[:longest]}"
            for out in step.outputs:
                yield f"            -> {out[:longest]}"
