"""The state of one disk shared by all roles: term, vote and entry, what is durable, and outgoing messages."""

from __future__ import annotations

import random

from gateway.consensus import consensus_pb2 as pb
from gateway.consensus.entry import EMPTY_ENTRY, Entry, PersistentState
from gateway.consensus.outputs import Committed, Output, Write
from gateway.consensus.tuning import Tuning
from gateway.state_machine import Address, Send

EMPTY_STATE = PersistentState("", 0, "", EMPTY_ENTRY)


class Replica:
    """Term, vote and entry, in memory and as on disk (`persisted`). Outputs are collected in `outputs`."""

    def __init__(self, address: Address, stored: PersistentState, tuning: Tuning, rng: random.Random) -> None:
        self.address = address
        self.tuning = tuning
        self.rng = rng
        self.disk = stored.disk
        self.term = stored.term
        self.vote = stored.vote
        self.entry = stored.entry
        self.timeout_scale = stored.timeout_scale
        self.persisted = EMPTY_STATE
        self.committed_entry: Entry | None = None  # the newest entry known to be committed
        self.committed_version = 0  # newest version that was output as committed
        self.outputs: list[Output] = []
        self.write_token = 0  # of the newest write
        self.write_in_flight: PersistentState | None = None
        self.write_needed_since: float | None = None  # since the last completed write
        self.write_retry_at = 0.0

    @property
    def is_voter(self) -> bool:
        """Whether this disk is a voter according to its current entry."""
        return self.entry.has_voter(self.disk)

    # Messages.

    def message(self, kind: pb.Kind, to_disk: str = "") -> pb.Message:
        """Create a message of this disk and its term."""
        return pb.Message(kind=kind, disk=self.disk, to_disk=to_disk, term=self.term)

    def message_with_last_position(self, kind: pb.Kind, to_disk: str = "") -> pb.Message:
        """Create a message with the position of the newest entry held."""
        message = self.message(kind, to_disk)
        message.last_term, message.last_index = self.entry.position
        return message

    def message_with_durable_position(self, kind: pb.Kind, to_disk: str = "") -> pb.Message:
        """Create a message with the positions of the newest entry held and of the newest entry on disk."""
        message = self.message_with_last_position(kind, to_disk)
        if self.persisted.disk == self.disk:
            message.durable_term, message.durable_index = self.persisted.entry.position
        return message

    def send(self, to: Address, message: pb.Message) -> None:
        """Output a message to an address."""
        self.outputs.append(Send(to, message))

    # State changes.

    def enter_term(self, term: int) -> None:
        """Enter a later term, in which this disk hasn't voted. Only a vote needs to be written."""
        self.term = term
        self.vote = ""

    def commit(self, entry: Entry) -> None:
        """Record that an entry is committed, and output its value if its version is new."""
        if self.committed_entry is None or entry.position > self.committed_entry.position:
            self.committed_entry = entry
        if entry.version > self.committed_version:
            self.committed_version = entry.version
            self.outputs.append(Committed(entry.version, entry.value))

    def reset_identity(self, disk: str) -> None:
        """Take on a new disk id that has never been a member, and discard the entry and the vote."""
        self.disk = disk
        self.vote = ""
        self.entry = EMPTY_ENTRY
        self.committed_entry = None

    # The disk.

    def vote_is_persisted(self, disk: str) -> bool:
        """Whether the vote for that disk in this term is durable."""
        return (
            self.persisted.disk == self.disk
            and self.persisted.term == self.term
            and self.persisted.vote == disk
        )

    def newest_entry_persisted(self) -> bool:
        """Whether the newest entry held is durable."""
        return self.persisted.disk == self.disk and self.persisted.entry.position == self.entry.position

    def write_if_needed(self, now: float) -> None:
        """Start a write if one is needed and none is in flight."""
        if not self._needs_write():
            if self.write_in_flight is None:
                self.write_needed_since = None
            return
        if self.write_needed_since is None:
            self.write_needed_since = now
        if self.write_in_flight is None and now >= self.write_retry_at:
            self.write_token += 1
            self.write_in_flight = PersistentState(
                self.disk, self.term, self.vote, self.entry, self.timeout_scale
            )
            self.outputs.append(Write(self.write_token, self.write_in_flight))

    def on_write_completed(self, now: float, token: int) -> bool:
        """Handle the completion of a write. Returns False if it is not the one in flight."""
        if token != self.write_token or self.write_in_flight is None:
            return False
        self.persisted = self.write_in_flight
        self.write_in_flight = None
        self.write_needed_since = now if self._needs_write() else None
        return True

    def on_write_failed(self, now: float, token: int) -> None:
        """Handle a failed write, which is retried after `write_retry_s`."""
        if token == self.write_token and self.write_in_flight is not None:
            # The disk may hold either the old or the new record.
            self.persisted = self.persisted._replace(timeout_scale=self.durable_timeout_scale())
            self.write_in_flight = None
            self.write_retry_at = now + self.tuning.write_retry_s

    def durable_timeout_scale(self) -> float:
        """The highest timeout scale guaranteed to be on disk, whether or not the write in flight succeeds."""
        in_flight = self.timeout_scale if self.write_in_flight is None else self.write_in_flight.timeout_scale
        return min(self.persisted.timeout_scale, in_flight, self.timeout_scale)

    def write_stalled_s(self, now: float) -> float:
        """Seconds for which a write has been needed without any completing; 0 if none is needed."""
        return 0.0 if self.write_needed_since is None else now - self.write_needed_since

    def _needs_write(self) -> bool:
        persisted = self.persisted
        return (
            self.disk != persisted.disk
            or self.entry.position != persisted.entry.position
            or self.timeout_scale != persisted.timeout_scale
            or (self.vote != "" and (self.term, self.vote) != (persisted.term, persisted.vote))
        )
