"""A readable transcript of a simulation run: disruptions, orders, responses, messages between processes."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from gateway.consensus.consensus_pb2 import Kind
from gateway.http_status import is_success
from gateway.programs.startup import CONSENSUS
from simulation.model.network import Location
from simulation.model.record import Record
from simulation.model.simulation_run import Run
from simulation.planes import PLANE_NAMES
from simulation.spec import Spec

MAX_VALUE_CHARACTERS = 60  # shown of a field's value
HIDDEN = ("value", "packed", "digest", "newest_digest")  # fields of which only the length is shown
HEARTBEAT_KINDS = (Kind.HEARTBEAT, Kind.APPEND_RESPONSE)
"""Kinds that a quiet transcript leaves out: a leader's heartbeats, and the responses to them."""


def fields(message: Any, depth: int = 0) -> str:
    """A protobuf message's fields in one line; long ones are truncated."""
    found = []
    for field, value in message.ListFields():
        if field.name in HIDDEN:
            found.append(f"{field.name}=({len(value) if hasattr(value, '__len__') else 1})")
        elif field.message_type is not None and depth < 3:
            many = value if field.is_repeated else [value]
            inner = "; ".join(fields(m, depth + 1) for m in list(many)[:4])
            more = f" and {len(many) - 4} more" if len(many) > 4 else ""
            found.append(f"{field.name}({inner}{more})")
        elif field.enum_type is not None:
            found.append(f"{field.name}={field.enum_type.values_by_number[value].name}")
        else:
            found.append(f"{field.name}={str(value)[:MAX_VALUE_CHARACTERS]}")
    return " ".join(found)


class TranscriptWriter:
    """Records messages as they arrive, within a span of time and of some planes and machines (empty: all).

    With `quiet`, the heartbeats of consensus are left out.
    """

    def __init__(
        self,
        run: Run,
        begins: float,
        ends: float,
        planes: Iterable[str],
        machines: Iterable[str],
        quiet: bool,
    ) -> None:
        self.run = run
        self.begins = begins
        self.ends = ends
        self.planes = set(planes)
        self.machines = set(machines)
        self.quiet = quiet
        self.lines: list[tuple[float, str]] = []
        run.deployment.network.observer = self.record_message

    def record_message(self, sender: Location, receiver: Location, plane: str, message: Any) -> None:
        """Record a message that has arrived."""
        now = self.run.simulator.now
        if not self.begins <= now <= self.ends or (self.planes and plane not in self.planes):
            return
        if self.machines and sender.name not in self.machines and receiver.name not in self.machines:
            return
        text = fields(message)
        if self.quiet and plane == PLANE_NAMES[CONSENSUS] and message.kind in HEARTBEAT_KINDS:
            return
        self.lines.append((now, f"{sender.name} -> {receiver.name}  {plane} {text}"))


def events(record: Record) -> Iterable[tuple[float, str]]:
    """Yield, with times, the disruptions, orders, life cycles, and all responses that aren't successes."""
    for disruption in record.disruptions:
        yield disruption.begins, f"**  {disruption.description}, until {disruption.ends:.3f}"
    for order in record.orders:
        operator = f"..  operator {order.who}"
        kind = "" if order.valid else " (invalid)"
        yield order.sent, f"{operator} sends generation {order.generation} on {order.base}{kind}"
        if order.status:
            yield (
                order.at,
                f"{operator} gets {order.status} for generation {order.generation} from {order.by}",
            )
    for event in record.backend_events:
        yield event.at, f"..  backend {event.backend} of {event.service} {event.what} {event.by}".rstrip()
    for at, machine, ready in record.ready:
        yield at, f"..  {machine} is {'in' if ready else 'out'}"
    for at, machine, generation in record.taken:
        yield at, f"..  {machine} takes up generation {generation}"
    sent_by_attempt = {sent.attempt: sent for sent in record.sent}
    for answer in record.answered.values():
        if not is_success(answer.status):
            sent = sent_by_attempt[answer.attempt]
            outcome = f"{answer.status} {answer.fault}"
            yield answer.at, f"..  {sent.path}, sent at {sent.at:.3f} to {sent.way}: {outcome}".rstrip()
    for fault in record.faults:
        yield 0.0, f"!!  {fault}"


def transcript(
    spec: Spec,
    seed: int,
    begins: float = 0.0,
    ends: float = 1e9,
    planes: Iterable[str] = (),
    machines: Iterable[str] = (),
    quiet: bool = True,
) -> str:
    """Simulate a day and return the transcript of a span; `quiet` leaves out the heartbeats of consensus."""
    run = Run(spec, seed)
    transcript_writer = TranscriptWriter(run, begins, ends, planes, machines, quiet)
    record = run.play()
    lines = [*transcript_writer.lines, *((at, text) for at, text in events(record) if begins <= at <= ends)]
    return "\n".join(f"{at:9.4f}  {text}" for at, text in sorted(lines, key=lambda line: line[0]))
