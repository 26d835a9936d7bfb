"""Entries, the members that vote on them, the persistent state, and their protobuf encoding."""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping
from typing import Any, NamedTuple

from gateway.consensus import consensus_pb2 as pb
from gateway.state_machine import Address

LogPosition = tuple[int, int]
"""Term and number of an entry. Of two entries the one with the greater position is the newer."""

MAX_ENTRY_MEMBERS = 16  # in an entry or a list of members that is received
MAX_NAME_LENGTH = 80  # of a disk or an address
MAX_TERM = 1 << 48
MOST_STRETCH = 10.0


class Member(NamedTuple):
    """A voting disk, and the address of the process that has it."""

    disk: str
    address: Address


class Entry(NamedTuple):
    """The whole replicated state. In a joint configuration, `outgoing` holds the old members."""

    term: int
    number: int
    version: int
    members: tuple[Member, ...]
    outgoing: tuple[Member, ...]
    value: bytes

    @property
    def position(self) -> LogPosition:
        """Its position among all entries: term and number."""
        return self.term, self.number

    def voters(self) -> tuple[Member, ...]:
        """All voting members, in a joint configuration the old ones too; each disk once."""
        return (*self.members, *(m for m in self.outgoing if m not in self.members))

    def has_voter(self, disk: str) -> bool:
        """Whether the disk is a voter by this entry."""
        return any(m.disk == disk for m in self.voters())

    def has_quorum(self, disks: Container[str]) -> bool:
        """Whether these disks are a majority of the members and, in a joint configuration, of the old ones
        too."""
        return all(
            2 * sum(m.disk in disks for m in voter_set) > len(voter_set) for voter_set in self._voter_sets()
        )

    def latest_quorum_time(self, times: Mapping[str, float]) -> float:
        """The latest time that a quorum has reached, given the time that each disk has reached."""
        return min(
            sorted(times.get(m.disk, NEVER) for m in voter_set)[(len(voter_set) - 1) // 2]
            if voter_set
            else NEVER
            for voter_set in self._voter_sets()
        )

    def _voter_sets(self) -> tuple[tuple[Member, ...], ...]:
        return (self.members, self.outgoing) if self.outgoing else (self.members,)


NEVER = -1e9  # before any time of a steady clock
EMPTY_ENTRY = Entry(0, 0, 0, (), (), b"")
"""The entry of a disk that has never been a member."""


class PersistentState(NamedTuple):
    """What a member keeps on disk; nothing that isn't durable yet may be acknowledged to others."""

    disk: str
    term: int
    vote: str
    entry: Entry
    stretch: float = 1.0  # how many election timeouts a vote may have been withheld for (`Timing`)


def bootstrap_entry(seeds: Iterable[Address]) -> Entry:
    """The entry that all seeds hold at the first start of the whole system."""
    return Entry(0, 1, 0, tuple(Member("first-" + a, a) for a in sorted(set(seeds))), (), b"")


def put_members(members: Iterable[Member], into: Any) -> None:
    """Append members to a repeated `Member` field."""
    for disk, address in members:
        into.add(disk=disk, address=address)


def get_members(members: Iterable[pb.Member]) -> tuple[Member, ...]:
    """The members of a repeated field."""
    return tuple(Member(m.disk, m.address) for m in members)


def put_entry(entry: Entry, into: pb.Entry, value: bool = True) -> None:
    """Fill in the message of an entry, with its value or without."""
    into.term = entry.term
    into.number = entry.number
    into.version = entry.version
    put_members(entry.members, into.members)
    put_members(entry.outgoing, into.outgoing)
    if value:
        into.value = entry.value


def get_entry(message: pb.Entry) -> Entry:
    """The entry of a message."""
    return Entry(
        message.term,
        message.number,
        message.version,
        get_members(message.members),
        get_members(message.outgoing),
        message.value,
    )


def malformed_reason(message: pb.Message) -> str:
    """Why a message is malformed, by its field, and can't be from a member or learner; empty if it may be."""
    if not pb.HEARTBEAT <= message.kind <= pb.RESTARTED:
        return "kind"
    if not 0 < len(message.disk) <= MAX_NAME_LENGTH:
        return "disk"
    if not message.to_disk and message.kind != pb.JOIN:
        return "to_disk"
    if max(message.term, message.last_term, message.durable_term, message.base_term) > MAX_TERM:
        return "term"
    if not all(
        abs(time) < 1e12 for time in (message.sent, message.replied_at, message.last_reply_at)
    ):  # nor NaN
        return "sent"
    if message.stretch and not 1.0 <= message.stretch <= MOST_STRETCH:
        return "stretch"
    if len(message.members) > MAX_ENTRY_MEMBERS:
        return "members"
    if message.kind == pb.APPEND_ENTRIES:
        e = message.entry
        if e.term != message.term or not e.number or not 0 < len(e.members) <= MAX_ENTRY_MEMBERS:
            return "entry"
        if len(e.outgoing) > MAX_ENTRY_MEMBERS or any(not m.disk or not m.address for m in e.members):
            return "entry"
    return ""
