"""A thread that saves records, so that a stalled disk doesn't block anything else."""

from __future__ import annotations

import asyncio
import logging
import threading
from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

from gateway.runtime.clock import steady

MAX_TOKENS = 1024  # maximum number of superseded writes whose result is still reported
STALL_THRESHOLD_S = 1.0  # a save that takes longer is treated as a stalled disk

log = logging.getLogger("gateway.disk_thread")

Record = TypeVar("Record")


class DiskThread(Generic[Record]):
    """A thread that saves one record at a time; `done` and `failed` are called in the event loop.

    A newer record replaces one whose save hasn't started. Once the newer one is saved, `done` is called with
    both tokens in order; if it fails, `failed` is called with them and the reason. `save(record)` runs in the
    thread and raises an exception on failure.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        save: Callable[[Record], None],
        done: Callable[[int], None],
        failed: Callable[[int, str], None],
        clock: Callable[[], float] = steady,
    ) -> None:
        self.loop = loop
        self.save = save
        self.done = done
        self.failed = failed
        self.clock = clock
        self.changed = threading.Condition()
        self.pending_tokens: deque[int] = deque(maxlen=MAX_TOKENS)  # tokens that the next save will complete
        self.record: Record | None = None
        self.save_started_at: float | None = None  # of the running save; None if there is none
        self.stopped = False
        self.stalled = False
        self.thread: threading.Thread | None = None

    def write(self, token: int, record: Record) -> None:
        """Queue a record to be saved; returns immediately."""
        with self.changed:
            self.pending_tokens.append(token)
            self.record = record
            self.changed.notify()
        if self.thread is None:
            self.thread = threading.Thread(target=self._run, name="disk", daemon=True)
            self.thread.start()

    def stalled_for(self, now: float) -> float:
        """Seconds since the running save started; 0 if there is none."""
        started_at = self.save_started_at
        return 0.0 if started_at is None else max(0.0, now - started_at)

    def check_stall(self, now: float) -> None:
        """Log a warning when the disk becomes stalled, and when it recovers. Must be called regularly."""
        stalled_s = self.stalled_for(now)
        is_stalled = stalled_s > STALL_THRESHOLD_S
        if is_stalled == self.stalled:
            return
        self.stalled = is_stalled
        if is_stalled:
            log.warning("disk stalled: the running save has taken %.1f s", stalled_s)
        else:
            log.warning("disk no longer stalled")

    def stop(self, timeout_s: float) -> bool:
        """Save the queued record and end the thread; returns whether it ended within `timeout_s` seconds."""
        with self.changed:
            self.stopped = True
            self.changed.notify()
        if self.thread is not None:
            self.thread.join(timeout_s)
        return self.thread is None or not self.thread.is_alive()

    def _run(self) -> None:
        while True:
            with self.changed:
                while not self.pending_tokens:
                    if self.stopped:
                        return
                    self.changed.wait()
                tokens = list(self.pending_tokens)
                record = self.record
                assert record is not None
                self.pending_tokens.clear()
                self.record = None
                self.save_started_at = self.clock()
            problem = self._save(record)
            self.save_started_at = None
            try:
                self.loop.call_soon_threadsafe(self._report, tokens, problem)
            except RuntimeError:  # the loop is closed
                return

    def _save(self, record: Record) -> str | None:
        try:
            self.save(record)
        except Exception as error:
            return str(error) or type(error).__name__
        return None

    def _report(self, tokens: list[int], problem: str | None) -> None:
        for token in tokens:
            if problem is None:
                self.done(token)
            else:
                self.failed(token, problem)
