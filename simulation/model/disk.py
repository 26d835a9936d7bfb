"""The disk of a core member: synced data survives a crash, unsynced data may be lost.

A killed process leaves its files as they were. After a loss of power an unsynced file is complete or unusable
(torn, or without its name); in the latter case the previous record is found.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from gateway.consensus.entry import PersistentState
from simulation.model.simulator import Process


class Disk:
    """Holds one record.

    `sync_s` is the time that a save takes. A full disk `fails`. While it is `hung`, no save makes progress.
    """

    def __init__(self, sync_s: float) -> None:
        self.usual = self.sync_s = sync_s
        self.fails = False
        self.hung = False
        self.stored: PersistentState | None = None  # the record that a start finds
        self.synced: PersistentState | None = None
        self.saves = 0
        self.bytes = 0
        self.wiped = 0
        self.stuck: list[Callable[[], None]] = []
        self.reports_early = False  # injected bug: reports a save before it is done

    def save(
        self,
        process: Process,
        record: PersistentState,
        done: Callable[[], None],
        failed: Callable[[str], None],
    ) -> None:
        """Save a record for a process. It is written after half of the time, and synced at the end."""
        again = record == self.stored
        size = 0 if again else len(record.entry.value) + 300
        self.saves += 1
        self.bytes += size
        begun = self.wiped
        takes = 3 * self.sync_s + size / 50e6

        def store_record() -> None:
            if not process.ended and not self.fails and self.wiped == begun:
                self.stored = record

        def finish() -> None:
            if process.ended:
                return
            if self.hung:
                self.stuck.append(finish)
            elif self.fails and not again:
                process.enter(failed, "no space left on the disk")
            else:
                self.stored = self.synced = record
                if not self.reports_early:
                    process.enter(done)

        if self.reports_early:
            process.simulator.after(0.0, process.enter, done)
        process.simulator.after(takes / 2, store_record)
        process.simulator.after(takes, finish)

    def lose_power(self, rng: random.Random) -> None:
        """Keep or drop unsynced data at random."""
        if self.stored is not self.synced and rng.random() < 0.5:
            self.stored = self.synced

    def hang(self, on: bool) -> None:
        """Hang, or resume."""
        self.hung = on
        if not on:
            stuck, self.stuck = self.stuck, []
            for finish in stuck:
                finish()

    def wipe(self) -> None:
        """Replace the disk by an empty one."""
        self.stored = None
        self.synced = None
        self.wiped += 1
        self.fails = False
        self.hung = False
        self.sync_s = self.usual
        self.stuck = []
