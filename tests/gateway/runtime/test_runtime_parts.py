"""Tests of the log ring, the disk thread and the ticker, on clocks and event loops that the tests drive."""

from __future__ import annotations

import itertools
import json
import logging
import queue
import threading
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest

from gateway.runtime.disk_thread import DiskThread
from gateway.runtime.log_ring import NOTICE, LogRing
from gateway.runtime.ticker import Ticker


class RingFixture:
    """A log ring whose clock the test sets, and whose lines are recorded."""

    def __init__(self) -> None:
        self.now = 100.0
        self.out: list[str] = []
        self.ring = LogRing(4, self.out.append, lambda: self.now)
        self.log = logging.Logger("gateway.test", logging.INFO)
        self.log.addHandler(self.ring)

    def lines(self) -> list[str]:
        """Return the messages written since the last call."""
        found = [json.loads(line)["message"] for text in self.out for line in text.splitlines()]
        self.out.clear()
        return found


class Unformatted:
    def __str__(self) -> str:
        raise AssertionError("formatted, though nobody reads it")


def test_ring_is_written_on_an_error_and_at_most_every_5_s() -> None:
    ring_fixture = RingFixture()
    ring_fixture.log.info("lost %s", Unformatted())
    for i in range(4):
        ring_fixture.log.info("info %d", i)
    assert ring_fixture.lines() == []
    ring_fixture.log.error("wrong")
    assert ring_fixture.lines() == ["info 1", "info 2", "info 3", "wrong"]
    ring_fixture.ring.dump("odd")
    ring_fixture.now += 4.9
    ring_fixture.ring.tick()
    assert ring_fixture.lines() == []
    ring_fixture.now += 0.2
    ring_fixture.log.info("after")
    assert ring_fixture.lines() == ["log ring dumped: odd", "after"]
    ring_fixture.ring.dump("the end")
    ring_fixture.ring.flush()
    assert ring_fixture.lines() == ["log ring dumped: the end"]


def test_a_few_warnings_per_second_are_written_at_once() -> None:
    ring_fixture = RingFixture()
    ring_fixture.log.log(NOTICE, "notice")
    assert ring_fixture.lines() == ["notice"]
    ring_fixture.now += 1
    for i in range(7):
        ring_fixture.log.warning("warning %d", i)
    assert ring_fixture.lines() == [f"warning {i}" for i in range(5)]
    ring_fixture.now += 1
    ring_fixture.log.warning("later")
    ring_fixture.log.error("wrong")
    assert ring_fixture.lines() == ["later", "warning 5", "warning 6", "wrong"]


def test_unformattable_record_does_not_affect_others() -> None:
    ring_fixture = RingFixture()
    ring_fixture.log.info("%d", "no number")
    ring_fixture.log.error("wrong")
    assert ring_fixture.lines() == ["wrong"] and ring_fixture.ring.dropped == 1


class Loop:
    """The part of an event loop that is used here. The test sets the time."""

    def __init__(self) -> None:
        self.now = 0.0
        self.calls: queue.Queue[tuple[Callable[..., None], tuple[Any, ...]]] = queue.Queue()
        self.timers: list[tuple[float, Callable[[], None]]] = []

    def time(self) -> float:
        return self.now

    def call_at(self, when: float, call: Callable[[], None]) -> Any:
        self.timers.append((when, call))

    def call_soon_threadsafe(self, call: Callable[..., None], *args: Any) -> None:
        self.calls.put((call, args))

    def turn(self) -> None:
        """Wait for a call from a thread, and execute it."""
        call, args = self.calls.get(timeout=5)
        call(*args)


class Disk:
    """A disk that hangs until it is released, and fails on request."""

    def __init__(self) -> None:
        self.loop, self.told, self.saved = Loop(), [], []
        self.begun, self.go = threading.Semaphore(0), threading.Semaphore(0)
        self.now = 10.0
        loop: Any = self.loop
        self.thread = DiskThread(
            loop,
            self.save,
            lambda token: self.told.append(token),
            lambda token, why: self.told.append((token, why)),
            lambda: self.now,
        )

    told: list[Any]
    saved: list[str]

    def save(self, record: str) -> None:
        self.begun.release()
        assert self.go.acquire(timeout=5)
        if record == "full":
            raise OSError("no space is left")
        self.saved.append(record)


def test_hanging_save_blocks_nothing_and_newer_records_replace_older_ones(
    caplog: pytest.LogCaptureFixture,
) -> None:
    disk = Disk()
    disk.thread.write(1, "one")
    assert disk.begun.acquire(timeout=5)
    for token, record in ((2, "two"), (3, "three"), (4, "four")):
        disk.thread.write(token, record)
    assert disk.thread.stalled_for(13.5) == 3.5 and disk.told == []
    for now in (10.9, 11.1, 11.2):
        disk.thread.check_stall(now)
    disk.go.release()
    disk.loop.turn()
    assert disk.told == [1] and disk.saved == ["one"]
    disk.go.release()
    disk.loop.turn()
    assert disk.told == [1, 2, 3, 4] and disk.saved == ["one", "four"]
    assert disk.thread.stop(5) and disk.thread.stalled_for(20.0) == 0.0
    disk.thread.check_stall(20.0)
    assert caplog.messages == ["disk stalled: the running save has taken 1.1 s", "disk no longer stalled"]


def test_failed_save_is_reported_and_the_next_one_is_attempted() -> None:
    disk = Disk()
    disk.go.release(2)
    disk.thread.write(1, "full")
    disk.loop.turn()
    disk.thread.write(2, "two")
    assert disk.thread.stop(5)  # pending records are saved first
    disk.loop.turn()
    assert disk.told == [(1, "no space is left"), 2] and disk.saved == ["two"]


def test_concurrent_saves_are_not_lost_nor_reported_too_early() -> None:
    """The other thread saves between any two steps of the disk thread that no lock protects."""
    loop: Any = Loop()
    told: list[int] = []
    saved: list[int] = []
    tokens = iter(range(1, 61))

    def turn() -> None:
        for token in itertools.islice(tokens, 2):
            disk.write(token, token)

    def save(record: int) -> None:
        turn()
        saved.append(record)
        turn()

    def tell(call: Any, *args: Any) -> None:
        turn()
        loop.calls.put((call, args))
        turn()

    def done(token: int) -> None:
        assert saved[-1] >= token
        told.append(token)

    between: Any = SimpleNamespace(call_soon_threadsafe=tell)
    disk = DiskThread(between, save, done, lambda token, why: None)
    turn()
    while len(told) < 60:
        loop.turn()
    assert disk.stop(5)
    assert told == list(range(1, 61)) and saved == sorted(saved) and saved[-1] == 60


def test_stop_does_not_wait_for_a_hanging_disk() -> None:
    disk = Disk()
    disk.thread.write(1, "one")
    assert disk.begun.acquire(timeout=5)
    assert not disk.thread.stop(0)
    disk.go.release()
    disk.loop.turn()
    assert disk.told == [1]


def test_ticker_continues_after_a_failure_and_skips_missed_ticks() -> None:
    loop, calls = Loop(), []

    def call(now: float) -> None:
        calls.append(loop.now)
        raise ValueError("wrong")

    fake: Any = loop
    Ticker(fake, 1.0, call, first_after_s=0.25)
    for loop.now in (0.25, 1.25, 7.5, 7.5, 8.5):
        when, tick = loop.timers[-1]
        if loop.now >= when:
            tick()
    assert calls == [0.25, 1.25, 7.5, 7.5, 8.5]
