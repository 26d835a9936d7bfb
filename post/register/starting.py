"""The beginning of a process's life: has every other member begun anew as well?

A member that begins has forgotten whose beats it answered, so it votes for nobody while a lease may rest on
them. Such a leader decides by the entry that its successor must hold, and has led ever since; so if each
member by that entry has said, after this life began, that it has not led in its own, there is no such leader.
"""

from __future__ import annotations

from typing import NamedTuple

from post.machine import Address
from post.register import register_pb2 as pb
from post.register.records import Place
from post.register.seat import Seat


class Begun(NamedTuple):
    """Another one's beginning: its newest entry, when its process began at the latest, and in which term."""

    place: Place
    began: float
    first: int


class Starting:
    """Asks all others at once, and answers them. `until` is when no lease of before can run any more, and
    `began` when this process began, both by its clock."""

    def __init__(self, seat: Seat, now: float, until: float, began: float) -> None:
        self.seat, self.until, self.began, self.first = seat, until, began, seat.term
        self.life = seat.rng.getrandbits(63) + 1  # named by answers; those to an earlier one don't count
        self.unled = True  # this process has neither led nor heard a leader
        self.others: dict[str, Begun] = {}  # disks that have said so too since
        self.next = now

    def tick(self, now: float) -> None:
        """Ask those who haven't answered; some may not run yet, and datagrams get lost."""
        if self.unled and self.next <= now < self.until:
            self.next = now + self.seat.tuning.begun_s
            for member in self.seat.entry.voters():
                if member.disk != self.seat.disk and member.disk not in self.others:
                    self._tell(now, member.address, member.disk, 0)

    def begun(self, now: float, sender: Address, note: pb.Note) -> None:
        """Another one has begun anew: it asks (`life`), or answers (`to_life`), or both."""
        if note.to_life == self.life:
            place = note.has_term, note.has_number
            self.others[note.disk] = Begun(place, now - note.age_ms / 1000, note.first)
        if note.life and self.unled:
            self._tell(now, sender, note.disk, note.life, now < self.until)

    def unanimous(self) -> bool:
        """Have all whose word counts begun anew?"""
        seat = self.seat
        return seat.seated and all(m.disk in self.others or m.disk == seat.disk
                                   for m in seat.entry.voters())

    def unled_since(self) -> float | None:
        """For a leader just elected: when the last of the core's processes began, if it is the first leader
        of their lives. What a leader before has leased ended with the process that had it, so by then.

        Every leader of their lives is of a later term than all began with, and a term has one leader.
        """
        known = [self.others[m.disk] for m in self.seat.entry.voters() if m.disk in self.others]
        if not self.unled or not self.unanimous() or (
                self.seat.term != 1 + max([self.first, *(b.first for b in known)])):
            return None
        return max([self.began, *(b.began for b in known)])

    def turn(self) -> int | None:
        """How many are to stand before this one; None if too few are known to hold the same entry."""
        seat = self.seat
        equal = {d for d, begun in self.others.items() if begun.place == seat.entry.place} | {seat.disk}
        if not seat.entry.has_quorum(equal):
            return None
        return sum(m.disk in equal and m.disk < seat.disk for m in seat.entry.voters())

    def _tell(self, now: float, to: Address, disk: str, to_life: int, asks: bool = True) -> None:
        note = self.seat.telling(pb.BEGUN, disk)
        note.age_ms, note.first = int(1000 * (now - self.began)), self.first
        note.to_life = to_life
        note.life = self.life if asks and disk not in self.others else 0
        self.seat.send(to, note)
