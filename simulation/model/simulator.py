"""Simulated time: one queue of events, and for each process a loop that stands in for asyncio's."""

from __future__ import annotations

import asyncio
import random
import traceback
from collections import deque
from collections.abc import Callable, Coroutine
from heapq import heappop, heappush
from typing import Any, cast

import numpy as np

Call = Callable[..., Any]

MOST_WAITING = 20_000  # of what comes up for a process that stands still; the oldest is lost first
MOST_FAULTS = 20  # of one process, that are kept


class Simulator:
    """Time in seconds since the day began, and all chance of a run, from one seed."""

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self.events = 0  # that have been carried out
        self.queue: list[tuple[float, int, Call, tuple[Any, ...]]] = []
        self.count = 0
        self.seeds = np.random.SeedSequence(seed)
        self.stopped = False
        self.looked = -1.0

    def numbers(self) -> np.random.Generator:
        """A stream of chance of its own: what one part draws doesn't change what others draw."""
        return np.random.Generator(np.random.PCG64(self.seeds.spawn(1)[0]))

    def chance(self) -> random.Random:
        """The same for the state machines, which want Python's."""
        return random.Random(int(self.seeds.spawn(1)[0].generate_state(1, np.uint64)[0]))

    def at(self, when: float, call: Call, *args: Any) -> None:
        """Have something done at a time, or now if that is over."""
        self.count += 1
        heappush(self.queue, (when if when > self.now else self.now, self.count, call, args))

    def after(self, delay: float, call: Call, *args: Any) -> None:
        """Have something done some seconds from now."""
        self.count += 1
        heappush(self.queue, (self.now + delay, self.count, call, args))

    def run(self, until: float) -> None:
        """Let time pass."""
        queue = self.queue
        while queue and queue[0][0] <= until and not self.stopped:
            self.now, _, call, args = heappop(queue)
            self.events += 1
            if not self.events & 0xFFFF:
                self.look(call)
            call(*args)
        self.now = max(self.now, until)

    def look(self, call: Call) -> None:
        """RuntimeError if time stands still: something does itself again at once, for ever."""
        if self.now == self.looked:
            raise RuntimeError(f"time stands still at {self.now:.3f} s, for {call}")
        self.looked = self.now


class Handle:
    """A call of a loop that can be cancelled."""

    __slots__ = ("args", "call", "due")

    def __init__(self, due: float, call: Call | None, args: tuple[Any, ...]) -> None:
        self.due = due
        self.call = call
        self.args = args

    def when(self) -> float:
        """The loop's time at which it is due."""
        return self.due

    def cancel(self) -> None:
        """It won't be made."""
        self.call = None
        self.args = ()

    def cancelled(self) -> bool:
        """Whether it was cancelled, or made."""
        return self.call is None


class Process:
    """A process: it has a steady clock of its own, does one thing at a time, can stand still, and can end.

    It is also the loop of the program in it: timers, and tasks as far as the programs use them. `cost` is
    the processor time in seconds that an event takes, `speed` the part of the usual speed that it has.
    """

    def __init__(self, simulator: Simulator, name: str, cost: float, begin: float, drift: float) -> None:
        self.simulator = simulator
        self.name = name
        self.loop = cast(asyncio.AbstractEventLoop, self)  # as far as the programs use one
        self.cost = cost
        self.speed = 1.0
        self.offset = begin
        self.rate = 1.0 + drift
        self.frozen = False
        self.ended = False
        self.end_at = 0.0
        # until when; processor time in all
        self.busy = 0.0
        self.used = 0.0
        self.backlog = deque[tuple[Call, tuple[Any, ...]]](maxlen=MOST_WAITING)
        self.woken = False
        self.ends: dict[Any, None] = {}  # of connections that are open here, in the order of their opening
        self.faults: list[str] = []  # of the program, as it would log them

    # Doing one thing after another.

    def enter(self, call: Call, *args: Any) -> None:
        """Something comes up for this process now: done at once, or when it gets round to it."""
        if self.ended:
            return
        if self.frozen or self.backlog or self.simulator.now < self.busy:
            self.backlog.append((call, args))
            self.wake()
            return
        self.act(call, args)

    def act(self, call: Call, args: tuple[Any, ...]) -> None:
        """Make a call, and account for its processor time."""
        if self.cost:
            spent = self.cost / self.speed
            self.used += self.cost
            self.busy = self.simulator.now + spent
        call(*args)

    def wake(self) -> None:
        """Continue once the processor is free."""
        if not self.woken and not self.frozen and not self.ended:
            self.woken = True
            self.simulator.at(self.busy, self.go_on)

    def go_on(self) -> None:
        """Do what waits, as far as there is time."""
        self.woken = False
        if self.frozen or self.ended:
            return
        while self.backlog and not self.ended and not self.frozen and self.simulator.now >= self.busy:
            self.act(*self.backlog.popleft())
        if self.backlog:
            self.wake()

    def freeze(self, on: bool) -> None:
        """Stand still, or go on with what has come meanwhile."""
        self.frozen = on
        if self.backlog:
            self.wake()

    def end(self, power: bool = False) -> None:
        """Nothing more is done; open connections are reset, unless the machine has lost power too."""
        ends, self.ends = self.ends, {}
        for end in ends:
            end.die(power)
        self.ended = True
        self.end_at = self.simulator.now
        self.backlog.clear()

    # What the program uses of its loop.

    def time(self) -> float:
        """Steady seconds of this machine."""
        return self.offset + self.simulator.now * self.rate

    def call_at(self, when: float, callback: Call, *args: Any, context: Any = None) -> Any:
        """Schedule a callback at a time of this process's clock."""
        handle = Handle(when, callback, args)
        self.simulator.at((when - self.offset) / self.rate, self.enter, self.fire, handle)
        return handle

    def call_later(self, delay: float, callback: Call, *args: Any, context: Any = None) -> Any:
        """Schedule a callback after a delay in seconds."""
        return self.call_at(self.time() + delay, callback, *args)

    def call_soon(self, callback: Call, *args: Any, context: Any = None) -> Any:
        """Schedule a callback as soon as possible."""
        return self.call_at(self.time(), callback, *args)

    def fire(self, handle: Handle) -> None:
        """A timer is due: call it, unless it was cancelled."""
        call = handle.call
        args = handle.args
        if call is None:
            return
        handle.call = None
        asyncio._set_running_loop(self.loop)
        try:
            call(*args)
        except Exception as error:
            self.fault(error)
        finally:
            asyncio._set_running_loop(None)

    def create_future(self) -> asyncio.Future[Any]:
        """A future of this loop."""
        return asyncio.Future(loop=self.loop)

    def create_task(self, coro: Coroutine[Any, Any, Any], **_: Any) -> asyncio.Task[Any]:
        """Run a coroutine as a task of this loop."""
        return asyncio.Task(coro, loop=self.loop)

    def get_debug(self) -> bool:
        """Part of asyncio's interface: never in debug mode."""
        return False

    def is_running(self) -> bool:
        """Part of asyncio's interface: whether the process runs."""
        return not self.ended

    def is_closed(self) -> bool:
        """Part of asyncio's interface: whether the process has ended."""
        return self.ended

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Record an exception of a callback as a fault."""
        if not self.ended:
            self.fault(context.get("exception") or RuntimeError(str(context.get("message"))))

    def fault(self, error: BaseException) -> None:
        """The program has raised what it would log as a fault of its own; kept with its place."""
        if len(self.faults) < MOST_FAULTS:
            frame = traceback.extract_tb(error.__traceback__)[-1:]
            place = "".join(f" ({f.filename.rpartition('/')[2]}:{f.lineno})" for f in frame)
            self.faults.append(f"{self.simulator.now:.3f} {type(error).__name__}: {error}{place}")
