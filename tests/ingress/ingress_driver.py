"""A gateway's decision module, driven event by event by a test."""

from __future__ import annotations

from typing import Any

from ingress import interface as io
from ingress.control import Gateway

SAFE = io.ClassSettings("read", io.Effect.SAFE, objective=2.0, deadline=6.0)
KEYED = io.ClassSettings("pay", io.Effect.KEYED, objective=2.0, deadline=6.0, worth=5, window=1.0)
ZONED = io.ClassSettings("zoned", io.Effect.KEYED, 2.0, 6.0, group=io.Group.ZONE, window=1.0)
UNSAFE = io.ClassSettings("once", io.Effect.UNSAFE, objective=2.0, deadline=6.0, worth=3)
PLAN = io.PlanSettings("basic", rate=2.0, burst=8.0)
CEILED = io.PlanSettings("plus", rate=10.0, burst=20.0, limit_rate=16.0, limit_burst=32.0)


class GatewayDriver:
    """Drives one gateway, with a counter that works unless `counter` is set otherwise."""

    def __init__(
        self, backends: int = 4, now: float = 100.0, born: float = 0.0, seed: int = 1, **more: Any
    ) -> None:
        args: dict[str, Any] = dict(
            classes=(SAFE, KEYED, ZONED, UNSAFE),
            plans=(PLAN, CEILED),
            counter=True,
            counter_timeout=0.08,
            max_attempts=4,
            may_cancel=True,
            settles=True,
            instances=1,
            zone="z0",
            step=0.002,
            start_capacity=0.2,
            slow_start_s=10.0,
            fall_multiple=2.5,
            fall_after=1.0,
            max_retry_after=1.0,
        )
        args.update(more)
        self.now, self.n = now, 0
        self.gateway = Gateway(io.Settings(**args), seed, now)
        self.counts: dict[int, float] = {}
        self.log: list[io.Action] = []
        self.counter = "up"
        self.handle(
            io.ListUpdate(
                io.ListKind.SAVED,
                1,
                tuple(
                    io.BackendEntry(f"b{i}", io.Phase.RUNNING, born=born, zone=f"z{i % 2}", cell=i)
                    for i in range(backends)
                ),
            )
        )

    def handle(self, event: io.Event) -> list[io.Action]:
        """Submit an event and the counter's replies to the resulting calls; returns all actions."""
        todo, seen = [event], []
        while todo:
            for a in self.gateway.handle(self.now, todo.pop(0)):
                seen.append(a)
                if isinstance(a, io.CounterAdd) and self.counter != "silent":
                    todo.append(self.count(a))
        self.log += seen
        return seen

    def count(self, a: io.CounterAdd) -> io.CounterReply:
        """Return the counter's reply to a call."""
        if self.counter == "refusing":
            return io.CounterReply(a.name, io.Outcome.CONNECT_FAILED, 0.001, 0.0)
        if self.counter == "timeout":
            return io.CounterReply(a.name, io.Outcome.TIMEOUT, 0.08, 0.0)
        self.counts[a.name] = self.counts.get(a.name, 0.0) + a.amount
        return io.CounterReply(a.name, io.Outcome.OK, 0.001, self.counts[a.name])

    def ask(
        self,
        cls: str = "read",
        units: float = 1.0,
        customer: int = 7,
        plan: str = "basic",
        expires: float = 6.0,
        width: int = 2,
    ) -> list[io.Action]:
        """Submit a request, whose id is r1, r2, ..."""
        self.n += 1
        return self.handle(io.Request(f"r{self.n}", cls, plan, customer, expires, units, width))

    def end(
        self,
        attempt: io.Attempt,
        outcome: io.Outcome = io.Outcome.OK,
        n: int = 0,
        elapsed: float = 0.1,
        true: float = 0.0,
        done: bool | None = None,
    ) -> list[io.Action]:
        """Submit the outcome of an attempt."""
        ok = outcome is io.Outcome.OK if done is None else done
        return self.handle(
            io.AttemptEnded(attempt.request, n, attempt.backend, outcome, elapsed, ok, true_units=true)
        )

    def advance(self, seconds: float) -> list[io.Action]:
        """Let time pass in steps of the gateway's timer."""
        out: list[io.Action] = []
        stop = self.now + seconds
        while self.now < stop - 1e-9:
            self.now += 0.05
            out += self.handle(io.TimerFired(0))
        return out


def single_action(actions: list[io.Action], kind: type) -> Any:
    """Return the action of a kind, of which there must be exactly one."""
    found = [a for a in actions if isinstance(a, kind)]
    assert len(found) == 1, actions
    return found[0]


def actions_of_kind(actions: list[io.Action], kind: type) -> list[Any]:
    """Return all actions of a kind."""
    return [a for a in actions if isinstance(a, kind)]
