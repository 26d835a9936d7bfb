"""A disk as a member of the core sees it: what was synced is there again, what was not may not be.

A killed process leaves its files as they were. A loss of power leaves of unsynced ones all, or too little to
count (torn, or a name is missing), so that the record before is found.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from gateway.consensus.entry import PersistentState
from simulation.model.simulator import Process


class Disk:
    """Holds one record.

    `sync_s` is the time that a save takes; it `fails` when it is full, and while it is `hung` nothing gets
    done.
    """

    def __init__(self, sync_s: float) -> None:
        self.usual = self.sync_s = sync_s
        self.fails = False
        self.hung = False
        self.stored: PersistentState | None = None  # as a start finds it
        self.synced: PersistentState | None = None
        self.saves = 0
        self.bytes = 0
        self.wiped = 0
        self.stuck: list[Callable[[], None]] = []
        self.lying = False  # planted fault: says so before it is saved

    def save(
        self,
        process: Process,
        record: PersistentState,
        done: Callable[[], None],
        failed: Callable[[str], None],
    ) -> None:
        """Save a record for a process. Halfway it is in the files, at the end it is synced too."""
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
                if not self.lying:
                    process.enter(done)

        if self.lying:
            process.simulator.after(0.0, process.enter, done)
        process.simulator.after(takes / 2, store_record)
        process.simulator.after(takes, finish)

    def lose_power(self, rng: random.Random) -> None:
        """What isn't synced is there still, or not."""
        if self.stored is not self.synced and rng.random() < 0.5:
            self.stored = self.synced

    def hang(self, on: bool) -> None:
        """Hang, or go on."""
        self.hung = on
        if not on:
            stuck, self.stuck = self.stuck, []
            for finish in stuck:
                finish()

    def wipe(self) -> None:
        """The disk is lost: an empty one takes its place."""
        self.stored = None
        self.synced = None
        self.wiped += 1
        self.fails = False
        self.hung = False
        self.sync_s = self.usual
        self.stuck = []
