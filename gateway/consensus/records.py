"""What is agreed on: entries, the members who decide on them, and how both look in protobuf."""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping
from typing import Any, NamedTuple

from gateway.consensus import consensus_pb2 as pb
from gateway.state_machine import Address

LogPosition = tuple[int, int]
"""Term and number of an entry. Of two entries the one with the greater place is the newer."""

MAX_ENTRY_MEMBERS = 16  # in one entry that is taken from others
MAX_NAME_LENGTH = 80  # of a disk or an address
MAX_TERM = 1 << 48


class Member(NamedTuple):
    """A disk that decides, and the address of the process that has it."""

    disk: str
    address: Address


class Entry(NamedTuple):
    """The whole agreed state. While members change, `outgoing` holds those of before."""

    term: int
    number: int
    version: int
    members: tuple[Member, ...]
    outgoing: tuple[Member, ...]
    value: bytes

    @property
    def position(self) -> LogPosition:
        """Where it stands among all entries."""
        return self.term, self.number

    def voters(self) -> tuple[Member, ...]:
        """All whose word counts, each disk once."""
        return (*self.members, *(m for m in self.outgoing if m not in self.members))

    def has_voter(self, disk: str) -> bool:
        """Does the disk decide, by this entry?"""
        return any(m.disk == disk for m in self.voters())

    def has_quorum(self, disks: Container[str]) -> bool:
        """Are these disks a majority of the members and, while those change, of the ones of before too?"""
        return all(
            2 * sum(m.disk in disks for m in voter_set) > len(voter_set) for voter_set in self._voter_sets()
        )

    def latest_quorum_time(self, times: Mapping[str, float]) -> float:
        """The latest time that majorities have reached, given the time that each disk has reached."""
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
"""What a disk holds that has never been a member."""


class PersistentState(NamedTuple):
    """What a member keeps on disk; nothing may be told that isn't there yet."""

    disk: str
    term: int
    vote: str
    entry: Entry


def bootstrap_entry(seeds: Iterable[Address]) -> Entry:
    """What all seeds hold at the first start of the whole system."""
    return Entry(0, 1, 0, tuple(Member("first-" + a, a) for a in sorted(set(seeds))), (), b"")


def put_members(members: Iterable[Member], into: Any) -> None:
    """Append members to a repeated field."""
    for disk, address in members:
        into.add(disk=disk, address=address)


def get_members(members: Iterable[pb.Member]) -> tuple[Member, ...]:
    """Members from a repeated field."""
    return tuple(Member(m.disk, m.address) for m in members)


def put_entry(entry: Entry, into: pb.Entry, value: bool = True) -> None:
    """Fill in an entry's message, with its value or without."""
    into.term, into.number, into.version = entry.term, entry.number, entry.version
    put_members(entry.members, into.members)
    put_members(entry.outgoing, into.outgoing)
    if value:
        into.value = entry.value


def get_entry(message: pb.Entry) -> Entry:
    """An entry from its message."""
    return Entry(
        message.term,
        message.number,
        message.version,
        get_members(message.members),
        get_members(message.outgoing),
        message.value,
    )


def malformed_reason(message: pb.Message) -> str:
    """Why a note can't be from one of us; empty if it may be."""
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
    if len(message.members) > MAX_ENTRY_MEMBERS:
        return "members"
    if message.kind == pb.APPEND_ENTRIES:
        e = message.entry
        if e.term != message.term or not e.number or not 0 < len(e.members) <= MAX_ENTRY_MEMBERS:
            return "entry"
        if len(e.outgoing) > MAX_ENTRY_MEMBERS or any(not m.disk or not m.address for m in e.members):
            return "entry"
    return ""
