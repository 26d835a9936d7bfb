"""A disk's part in the agreement, whatever its role: what it holds, what is on disk, what it sends."""

from __future__ import annotations

import random

from post.machine import Address, Send
from post.register import register_pb2 as pb
from post.register.api import Committed, Output, Tuning, Write
from post.register.records import NOTHING, Entry, Stored

BLANK = Stored("", 0, "", NOTHING)


class Seat:
    """Term, vote and entry, in memory and as they are on disk (`kept`). Outputs are gathered in `out`."""

    def __init__(self, me: Address, stored: Stored, tuning: Tuning, rng: random.Random) -> None:
        self.me, self.tuning, self.rng = me, tuning, rng
        self.disk, self.term, self.vote, self.entry, self.stretch = stored
        self.kept = BLANK
        self.known: Entry | None = None  # the newest entry known to be committed
        self.announced = 0  # version that was put out as committed
        self.out: list[Output] = []
        self.token = 0
        self.writing: Stored | None = None
        self.unkept: float | None = None  # since when the disk has made no headway
        self.rewrite_at = 0.0

    @property
    def seated(self) -> bool:
        """Does this disk decide, by what it holds?"""
        return self.entry.names(self.disk)

    def note(self, kind: pb.Kind, to_disk: str = "") -> pb.Note:
        """A note of this disk and its term, to be filled in and sent."""
        return pb.Note(kind=kind, disk=self.disk, to_disk=to_disk, term=self.term)

    def telling(self, kind: pb.Kind, to_disk: str = "") -> pb.Note:
        """A note that also tells the place of the newest entry held."""
        note = self.note(kind, to_disk)
        note.has_term, note.has_number = self.entry.place
        return note

    def holding(self, kind: pb.Kind, to_disk: str = "") -> pb.Note:
        """A note that also tells the places of the newest entries held, and held on disk."""
        note = self.telling(kind, to_disk)
        if self.kept.disk == self.disk:
            note.held_term, note.held_number = self.kept.entry.place
        return note

    def send(self, to: Address, note: pb.Note) -> None:
        """Have a note sent."""
        self.out.append(Send(to, note))

    def adopt(self, term: int) -> None:
        """Go on to a later term, in which this disk hasn't voted. That alone need not be on disk."""
        self.term, self.vote = term, ""

    def commit(self, entry: Entry) -> None:
        """An entry is known to be committed; put its value out if it is new."""
        if self.known is None or entry.place > self.known.place:
            self.known = entry
        if entry.version > self.announced:
            self.announced = entry.version
            self.out.append(Committed(entry.version, entry.value))

    def begin_anew(self, disk: str) -> None:
        """Be a disk that has never been a member."""
        self.disk, self.vote, self.entry, self.known = disk, "", NOTHING, None

    def voted(self, disk: str) -> bool:
        """Is the vote for that disk, in this term, on disk?"""
        return self.kept.disk == self.disk and self.kept.term == self.term and self.kept.vote == disk

    def holds(self) -> bool:
        """Is the newest entry on disk?"""
        return self.kept.disk == self.disk and self.kept.entry.place == self.entry.place

    def save(self, now: float) -> None:
        """Begin a write if something is wanted on disk and none is out."""
        if not self._wanted():
            if self.writing is None:
                self.unkept = None
            return
        if self.unkept is None:
            self.unkept = now
        if self.writing is None and now >= self.rewrite_at:
            self.token += 1
            self.writing = Stored(self.disk, self.term, self.vote, self.entry, self.stretch)
            self.out.append(Write(self.token, self.writing))

    def written(self, now: float, token: int) -> bool:
        """A write is on disk. False if it isn't the one that is out."""
        if token != self.token or self.writing is None:
            return False
        self.kept, self.writing = self.writing, None
        self.unkept = now if self._wanted() else None
        return True

    def failed(self, now: float, token: int) -> None:
        """A write has failed; the next one waits a little."""
        if token == self.token and self.writing is not None:
            self.kept = self.kept._replace(stretch=self.promisable())  # the disk may have either
            self.writing, self.rewrite_at = None, now + self.tuning.rewrite_s

    def promisable(self) -> float:
        """The highest stretch that a start would find on disk, whichever write has come to be."""
        writing = self.stretch if self.writing is None else self.writing.stretch
        return min(self.kept.stretch, writing, self.stretch)

    def stuck(self, now: float) -> float:
        """Seconds since the disk should have saved something and hasn't."""
        return 0.0 if self.unkept is None else now - self.unkept

    def _wanted(self) -> bool:
        kept = self.kept
        return (self.disk != kept.disk or self.entry.place != kept.entry.place or self.stretch != kept.stretch
                or self.vote != "" and (self.term, self.vote) != (kept.term, kept.vote))
