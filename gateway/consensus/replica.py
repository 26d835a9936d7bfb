"""A disk's part in the agreement, whatever its role: what it holds, what is on disk, what it sends."""

from __future__ import annotations

import random

from gateway.consensus import consensus_pb2 as pb
from gateway.consensus.api import Committed, Output, Tuning, Write
from gateway.consensus.records import EMPTY_ENTRY, Entry, PersistentState
from gateway.state_machine import Address, Send

EMPTY_STATE = PersistentState("", 0, "", EMPTY_ENTRY)


class Replica:
    """Term, vote and entry, in memory and as they are on disk (`kept`). Outputs are gathered in `out`."""

    def __init__(self, me: Address, stored: PersistentState, tuning: Tuning, rng: random.Random) -> None:
        self.me, self.tuning, self.rng = me, tuning, rng
        self.disk, self.term, self.vote, self.entry = stored
        self.persisted = EMPTY_STATE
        self.committed_entry: Entry | None = None  # the newest entry known to be committed
        self.committed_version = 0  # version that was put out as committed
        self.out: list[Output] = []
        self.token = 0
        self.writing: PersistentState | None = None
        self.unpersisted_since: float | None = None  # since when the disk has made no headway
        self.write_retry_at = 0.0

    @property
    def is_voter(self) -> bool:
        """Does this disk decide, by what it holds?"""
        return self.entry.has_voter(self.disk)

    def message(self, kind: pb.Kind, to_disk: str = "") -> pb.Message:
        """A note of this disk and its term, to be filled in and sent."""
        return pb.Message(kind=kind, disk=self.disk, to_disk=to_disk, term=self.term)

    def message_with_last_position(self, kind: pb.Kind, to_disk: str = "") -> pb.Message:
        """A note that also tells the place of the newest entry held."""
        message = self.message(kind, to_disk)
        message.last_term, message.last_index = self.entry.position
        return message

    def message_with_durable_position(self, kind: pb.Kind, to_disk: str = "") -> pb.Message:
        """A note that also tells the places of the newest entries held, and held on disk."""
        message = self.message_with_last_position(kind, to_disk)
        if self.persisted.disk == self.disk:
            message.durable_term, message.durable_index = self.persisted.entry.position
        return message

    def send(self, to: Address, message: pb.Message) -> None:
        """Have a note sent."""
        self.out.append(Send(to, message))

    def enter_term(self, term: int) -> None:
        """Go on to a later term, in which this disk hasn't voted. That alone need not be on disk."""
        self.term, self.vote = term, ""

    def commit(self, entry: Entry) -> None:
        """An entry is known to be committed; put its value out if it is new."""
        if self.committed_entry is None or entry.position > self.committed_entry.position:
            self.committed_entry = entry
        if entry.version > self.committed_version:
            self.committed_version = entry.version
            self.out.append(Committed(entry.version, entry.value))

    def reset_identity(self, disk: str) -> None:
        """Be a disk that has never been a member."""
        self.disk, self.vote, self.entry, self.committed_entry = disk, "", EMPTY_ENTRY, None

    def vote_is_persisted(self, disk: str) -> bool:
        """Is the vote for that disk, in this term, on disk?"""
        return (
            self.persisted.disk == self.disk
            and self.persisted.term == self.term
            and self.persisted.vote == disk
        )

    def newest_entry_persisted(self) -> bool:
        """Is the newest entry on disk?"""
        return self.persisted.disk == self.disk and self.persisted.entry.position == self.entry.position

    def save(self, now: float) -> None:
        """Begin a write if something is wanted on disk and none is out."""
        if not self._wanted():
            if self.writing is None:
                self.unpersisted_since = None
            return
        if self.unpersisted_since is None:
            self.unpersisted_since = now
        if self.writing is None and now >= self.write_retry_at:
            self.token += 1
            self.writing = PersistentState(self.disk, self.term, self.vote, self.entry)
            self.out.append(Write(self.token, self.writing))

    def written(self, now: float, token: int) -> bool:
        """A write is on disk. False if it isn't the one that is out."""
        if token != self.token or self.writing is None:
            return False
        self.persisted, self.writing = self.writing, None
        self.unpersisted_since = now if self._wanted() else None
        return True

    def failed(self, now: float, token: int) -> None:
        """A write has failed; the next one waits a little."""
        if token == self.token and self.writing is not None:
            self.writing, self.write_retry_at = None, now + self.tuning.write_retry_s

    def write_stalled_s(self, now: float) -> float:
        """Seconds since the disk should have saved something and hasn't."""
        return 0.0 if self.unpersisted_since is None else now - self.unpersisted_since

    def _wanted(self) -> bool:
        persisted = self.persisted
        return (
            self.disk != persisted.disk
            or self.entry.position != persisted.entry.position
            or self.vote != ""
            and (self.term, self.vote) != (persisted.term, persisted.vote)
        )
