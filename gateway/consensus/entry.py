"""The replicated entry, the members that vote on it, and what a disk keeps of both."""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping
from typing import NamedTuple

from gateway.state_machine import LONG_AGO, Address

"""Before any time of a steady clock, in seconds."""


class LogPosition(NamedTuple):
    """The position of an entry; of two entries, the one with the greater position is newer (Raft, 5.4.1)."""

    term: int
    log_index: int


class Member(NamedTuple):
    """A voting disk, and the address of the process that has it."""

    disk: str
    address: Address


class Entry(NamedTuple):
    """The whole replicated state: a log of one entry, which each newer entry replaces.

    `version` is that of the value, and increases only when the value changes. In a joint configuration
    (Raft, 6), `outgoing` holds the old members.
    """

    term: int
    log_index: int
    version: int
    members: tuple[Member, ...]
    outgoing: tuple[Member, ...]
    value: bytes

    @property
    def position(self) -> LogPosition:
        """Its position among all entries."""
        return LogPosition(self.term, self.log_index)

    def voters(self) -> tuple[Member, ...]:
        """All voting members, in a joint configuration the old ones too; each disk once."""
        return (*self.members, *(m for m in self.outgoing if m not in self.members))

    def has_voter(self, disk: str) -> bool:
        """Whether the disk is a voter by this entry."""
        return any(m.disk == disk for m in self.voters())

    def has_quorum(self, disks: Container[str]) -> bool:
        """Whether these disks are a majority of the members, and of the old ones in a joint configuration."""
        return all(
            2 * sum(m.disk in disks for m in voter_set) > len(voter_set) for voter_set in self._voter_sets()
        )

    def latest_quorum_time(self, times: Mapping[str, float]) -> float:
        """The latest time that a quorum has reached, given the time that each disk has reached."""
        return min(
            sorted(times.get(m.disk, LONG_AGO) for m in voter_set)[(len(voter_set) - 1) // 2]
            if voter_set
            else LONG_AGO
            for voter_set in self._voter_sets()
        )

    def _voter_sets(self) -> tuple[tuple[Member, ...], ...]:
        return (self.members, self.outgoing) if self.outgoing else (self.members,)


NO_POSITION = LogPosition(0, 0)
"""The position of `EMPTY_ENTRY`, and of a message's field that isn't set."""

EMPTY_ENTRY = Entry(0, 0, 0, (), (), b"")
"""The entry of a disk that has never been a member."""


class PersistentState(NamedTuple):
    """What a member keeps on disk; nothing that isn't durable yet may be acknowledged to others.

    `timeout_scale` is the number of election timeouts for which a vote may have been withheld
    (`ElectionTimer`).
    """

    disk: str
    term: int
    vote: str
    entry: Entry
    timeout_scale: float = 1.0


def bootstrap_entry(seeds: Iterable[Address]) -> Entry:
    """The entry that all seeds hold at the first start of the whole system."""
    members = tuple(Member(bootstrap_disk(address), address) for address in sorted(set(seeds)))
    return Entry(0, 1, 0, members, (), b"")


def bootstrap_disk(address: Address) -> str:
    """The id of a seed's disk at the first start of the whole system."""
    return "first-" + address
