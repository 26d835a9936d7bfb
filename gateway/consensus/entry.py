"""The replicated entry, the members that vote on it, and the persistent state of a disk."""

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
    """A voting disk, and the address of the process that owns it."""

    disk: str
    address: Address


class Entry(NamedTuple):
    """The complete replicated state. The log consists of one entry, which each newer entry replaces.

    `version` is the version of the value; it increases only when the value changes. In a joint configuration
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
        """Term and index of this entry."""
        return LogPosition(self.term, self.log_index)

    def voters(self) -> tuple[Member, ...]:
        """All voting members, including the old ones in a joint configuration; each disk appears once."""
        return (*self.members, *(m for m in self.outgoing if m not in self.members))

    def has_voter(self, disk: str) -> bool:
        """Whether the disk is a voter according to this entry."""
        return any(m.disk == disk for m in self.voters())

    def has_quorum(self, disks: Container[str]) -> bool:
        """Whether these disks include a majority of the members, in a joint configuration of both sets."""
        return all(
            2 * sum(m.disk in disks for m in voter_set) > len(voter_set) for voter_set in self._voter_sets()
        )

    def latest_quorum_time(self, times: Mapping[str, float]) -> float:
        """The latest time that a quorum of disks has reached, given the time reached by each disk."""
        return min(
            sorted(times.get(m.disk, LONG_AGO) for m in voter_set)[(len(voter_set) - 1) // 2]
            if voter_set
            else LONG_AGO
            for voter_set in self._voter_sets()
        )

    def _voter_sets(self) -> tuple[tuple[Member, ...], ...]:
        return (self.members, self.outgoing) if self.outgoing else (self.members,)


NO_POSITION = LogPosition(0, 0)
"""The position of `EMPTY_ENTRY`, and of a message field that isn't set."""

EMPTY_ENTRY = Entry(0, 0, 0, (), (), b"")
"""The entry of a disk that has never been a member."""


class PersistentState(NamedTuple):
    """The state that a member keeps on disk. Nothing is acknowledged to others before it is durable.

    A vote may have been withheld for up to `timeout_scale` election timeouts (`ElectionTimer`).
    """

    disk: str
    term: int
    vote: str
    entry: Entry
    timeout_scale: float = 1.0


def bootstrap_entry(seeds: Iterable[Address]) -> Entry:
    """The entry that all seeds hold when the system is started for the first time."""
    members = tuple(Member(bootstrap_disk(address), address) for address in sorted(set(seeds)))
    return Entry(0, 1, 0, members, (), b"")


def bootstrap_disk(address: Address) -> str:
    """The id of a seed's disk when the system is started for the first time."""
    return "first-" + address
