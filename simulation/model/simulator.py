"""Simulated time: one queue of events, and an event loop for each process that replaces asyncio's."""

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

MAX_BACKLOG = 20_000  # calls queued for a frozen process; the oldest is dropped first
MAX_FAULTS = 20  # faults recorded per process


class Simulator:
    """The time in seconds since the start of the day, and the random numbers of a run, from one seed."""

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self.events = 0  # number of executed events
        self.queue: list[tuple[float, int, Call, tuple[Any, ...]]] = []
        self.count = 0
        self.seeds = np.random.SeedSequence(seed)
        self.stopped = False
        self.looked = -1.0

    def numbers(self) -> np.random.Generator:
        """Return an independent random number generator, so that parts don't affect each other's draws."""
        return np.random.Generator(np.random.PCG64(self.seeds.spawn(1)[0]))

    def random_generator(self) -> random.Random:
        """Return an independent generator of Python's `random`, for the state machines."""
        return random.Random(int(self.seeds.spawn(1)[0].generate_state(1, np.uint64)[0]))

    def at(self, when: float, call: Call, *args: Any) -> None:
        """Schedule a call at a time, or now if the time has passed."""
        self.count += 1
        heappush(self.queue, (when if when > self.now else self.now, self.count, call, args))

    def after(self, delay: float, call: Call, *args: Any) -> None:
        """Schedule a call after some seconds."""
        self.count += 1
        heappush(self.queue, (self.now + delay, self.count, call, args))

    def run(self, until: float) -> None:
        """Execute events until a time."""
        queue = self.queue
        while queue and queue[0][0] <= until and not self.stopped:
            self.now, _, call, args = heappop(queue)
            self.events += 1
            if not self.events & 0xFFFF:
                self.look(call)
            call(*args)
        self.now = max(self.now, until)

    def look(self, call: Call) -> None:
        """Raise RuntimeError if time doesn't advance, because an event reschedules itself at once."""
        if self.now == self.looked:
            raise RuntimeError(f"time stands still at {self.now:.3f} s, for {call}")
        self.looked = self.now


class Handle:
    """A scheduled call that can be cancelled."""

    __slots__ = ("args", "call", "due")

    def __init__(self, due: float, call: Call | None, args: tuple[Any, ...]) -> None:
        self.due = due
        self.call = call
        self.args = args

    def when(self) -> float:
        """The loop time at which the call is due."""
        return self.due

    def cancel(self) -> None:
        """Cancel the call."""
        self.call = None
        self.args = ()

    def cancelled(self) -> bool:
        """Whether the call was cancelled or made."""
        return self.call is None


class Process:
    """A process with its own monotonic clock. It executes one call at a time, and can freeze and end.

    It is also the event loop of its program, as far as the programs use one. `cost` is the processor time in
    seconds that an event takes, `speed` a factor on the normal speed.
    """

    def __init__(self, simulator: Simulator, name: str, cost: float, begin: float, drift: float) -> None:
        self.simulator = simulator
        self.name = name
        self.loop = cast(asyncio.AbstractEventLoop, self)  # the part that the programs use
        self.cost = cost
        self.speed = 1.0
        self.offset = begin
        self.rate = 1.0 + drift
        self.frozen = False
        self.ended = False
        self.end_at = 0.0
        self.busy = 0.0
        self.used = 0.0  # total processor time
        self.backlog = deque[tuple[Call, tuple[Any, ...]]](maxlen=MAX_BACKLOG)
        self.woken = False
        self.ends: dict[Any, None] = {}  # open connections, oldest first
        self.faults: list[str] = []  # errors that the program would log

    # Execution of one call after another.

    def enter(self, call: Call, *args: Any) -> None:
        """Execute a call now, or as soon as the process is free."""
        if self.ended:
            return
        if self.frozen or self.backlog or self.simulator.now < self.busy:
            self.backlog.append((call, args))
            self.wake()
            return
        self.act(call, args)

    def act(self, call: Call, args: tuple[Any, ...]) -> None:
        """Execute a call, and account for its processor time."""
        if self.cost:
            spent = self.cost / self.speed
            self.used += self.cost
            self.busy = self.simulator.now + spent
        call(*args)

    def wake(self) -> None:
        """Continue when the processor is free."""
        if not self.woken and not self.frozen and not self.ended:
            self.woken = True
            self.simulator.at(self.busy, self.go_on)

    def go_on(self) -> None:
        """Execute queued calls while the processor is free."""
        self.woken = False
        if self.frozen or self.ended:
            return
        while self.backlog and not self.ended and not self.frozen and self.simulator.now >= self.busy:
            self.act(*self.backlog.popleft())
        if self.backlog:
            self.wake()

    def freeze(self, on: bool) -> None:
        """Freeze, or resume with the queued calls."""
        self.frozen = on
        if self.backlog:
            self.wake()

    def end(self, power: bool = False) -> None:
        """End the process; open connections are reset unless the machine has lost power."""
        ends, self.ends = self.ends, {}
        for end in ends:
            end.die(power)
        self.ended = True
        self.end_at = self.simulator.now
        self.backlog.clear()

    # The event loop of the program.

    def time(self) -> float:
        """Return the monotonic time of this process."""
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
        """Call a due timer, unless it was cancelled."""
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
        """Return a future of this loop."""
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
        """Record an exception that the program would log as an error, with its place."""
        if len(self.faults) < MAX_FAULTS:
            frame = traceback.extract_tb(error.__traceback__)[-1:]
            place = "".join(f" ({f.filename.rpartition('/')[2]}:{f.lineno})" for f in frame)
            self.faults.append(f"{self.simulator.now:.3f} {type(error).__name__}: {error}{place}")
