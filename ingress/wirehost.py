"""Adapter to the simulator. It hosts many gateways and speaks the line protocol on standard streams."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple, TextIO

from ingress import interface as io
from ingress.control import Gateway
from ingress.wire_fields import WireError, check_count, fail, read_choice, read_integer, read_number
from ingress.wire_messages import read_event, write_action
from ingress.wire_settings import read_settings

MIN_PARTS = 2  # every line has a message and an instance
MIN_START_PARTS = 3  # BORN also has a seed


class Instance(NamedTuple):
    """A gateway of the simulation, with the names needed to parse its events."""

    gateway: Any
    load_fields: tuple[str, ...]
    classes: Mapping[str, io.ClassSettings]
    plans: Mapping[str, io.PlanSettings]


class Host:
    """All gateway instances in one process, which share only this dispatch.

    `make` creates a gateway from its settings, seed and start time.
    """

    def __init__(self, make: Callable[[io.Settings, int, float], Any] = Gateway) -> None:
        self.make = make
        self.instances: dict[int, Instance] = {}

    def batch(self, lines: list[str]) -> list[str]:
        """Process one batch, from its CLOCK line to the line before END.

        Raises:
            WireError: A line is malformed.
        """
        head = lines[0].split(" ")
        if head[0] != "CLOCK":
            fail("batch", "first line", "CLOCK", head[0])
        check_count("CLOCK", head, 2)
        now = read_number("CLOCK", "clock", head[1])
        replies: list[str] = []
        rest = iter(lines[1:])
        for line in rest:
            parts = line.split(" ")
            if len(parts) < MIN_PARTS:
                fail("batch", "message", "a message for an instance", line)
            me = read_integer(parts[0], "ingress", parts[1])
            if parts[0] == "CRASH_NOW":
                check_count(parts[0], parts, MIN_PARTS)
                self.instances.pop(me, None)
            elif parts[0] == "BORN":
                self._start(me, parts, now)
            else:
                replies += self._handle(me, parts, rest, now)
        return replies

    def _start(self, me: int, parts: list[str], now: float) -> None:
        """Start an instance with its settings."""
        if len(parts) < MIN_START_PARTS:
            fail(parts[0], "fields", "ingress, seed and profileData", len(parts) - 1)
        settings, load_fields = read_settings(parts[3:])
        seed = read_integer(parts[0], "seed", parts[2], -(2**63))
        classes = {c.name: c for c in settings.classes}
        plans = {p.name: p for p in settings.plans}
        self.instances[me] = Instance(self.make(settings, seed, now), load_fields, classes, plans)

    def _handle(self, me: int, parts: list[str], rows: Iterator[str], now: float) -> list[str]:
        """Pass an event to its instance, and return the lines for the resulting actions."""
        instance = self.instances.get(me)
        event = read_event(parts, instance.load_fields if instance else (), rows)
        if instance is None:
            fail(parts[0], "ingress", "an instance that is running", me)
        if isinstance(event, io.Request):
            read_choice(parts[0], "service", event.class_name, instance.classes)
            read_choice(parts[0], "plan", event.plan, instance.plans)
        try:
            return [write_action(me, action) for action in instance.gateway.handle(now, event)]
        except Exception as error:  # reported by the protocol's line for errors
            text = " ".join(f"{type(error).__name__}: {error}".split())
            return [f"EXCEPTION {me} {text}"]


def serve(source: TextIO, sink: TextIO) -> None:
    """Process batches until the end of input."""
    host = Host()
    lines: list[str] = []
    for line in source:
        text = line.rstrip("\r\n")
        if text != "END":
            if text or lines:
                lines.append(text)
            continue
        if not lines:
            fail("batch", "first line", "CLOCK", "END")
        reply = host.batch(lines)
        lines = []
        sink.write("\n".join([*reply, "DONE\n"]))
        sink.flush()
    if lines:
        fail("batch", "last line", "END", "end of input")


def main() -> int:
    """Serve standard input and return the exit code. A malformed line is reported in one line."""
    try:
        serve(sys.stdin, sys.stdout)
    except (WireError, ValueError) as error:
        print(f"wirehost: {error}", file=sys.stderr)
        return 2
    except (BrokenPipeError, KeyboardInterrupt):
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
