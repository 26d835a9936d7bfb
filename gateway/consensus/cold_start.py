"""The beginning of a process's life: has every other member begun anew as well?

A member that begins has forgotten whose beats it answered, so it votes for nobody while a lease may rest on
them. Such a leader decides by the entry that its successor must hold, and has led ever since; so if each
member by that entry has said, after this life began, that it has not led in its own, there is no such leader.
"""

from __future__ import annotations

from typing import NamedTuple

from gateway.consensus import consensus_pb2 as pb
from gateway.consensus.records import LogPosition
from gateway.consensus.replica import Replica
from gateway.state_machine import Address


class PeerRestart(NamedTuple):
    """Another one's beginning: its newest entry, when its process began at the latest, and in which term."""

    position: LogPosition
    began: float
    initial_term: int


class ColdStart:
    """Asks all others at once, and answers them. `until` is when no lease of before can run any more, and
    `began` when this process began, both by its clock."""

    def __init__(self, replica: Replica, now: float, until: float, began: float) -> None:
        self.replica, self.until, self.began, self.initial_term = replica, until, began, replica.term
        self.incarnation = (
            replica.rng.getrandbits(63) + 1
        )  # named by answers; those to an earlier one don't count
        self.leaderless = True  # this process has neither led nor heard a leader
        self.others: dict[str, PeerRestart] = {}  # disks that have said so too since
        self.next = now

    def tick(self, now: float) -> None:
        """Ask those who haven't answered; some may not run yet, and datagrams get lost."""
        if self.leaderless and self.next <= now < self.until:
            self.next = now + self.replica.tuning.restart_query_interval_s
            for member in self.replica.entry.voters():
                if member.disk != self.replica.disk and member.disk not in self.others:
                    self._tell(now, member.address, member.disk, 0)

    def on_restarted(self, now: float, sender: Address, message: pb.Message) -> None:
        """Another one has begun anew: it asks (`life`), or answers (`to_life`), or both."""
        if message.to_incarnation == self.incarnation:
            position = message.last_term, message.last_index
            self.others[message.disk] = PeerRestart(
                position, now - message.age_ms / 1000, message.initial_term
            )
        if message.incarnation and self.leaderless:
            self._tell(now, sender, message.disk, message.incarnation, now < self.until)

    def all_members_restarted(self) -> bool:
        """Have all whose word counts begun anew?"""
        replica = self.replica
        return replica.is_voter and all(
            m.disk in self.others or m.disk == replica.disk for m in replica.entry.voters()
        )

    def leaderless_since(self) -> float | None:
        """For a leader just elected: when the last of the core's processes began, if it is the first leader
        of their lives. What a leader before has leased ended with the process that had it, so by then.

        Every leader of their lives is of a later term than all began with, and a term has one leader.
        """
        known = [self.others[m.disk] for m in self.replica.entry.voters() if m.disk in self.others]
        if (
            not self.leaderless
            or not self.all_members_restarted()
            or (self.replica.term != 1 + max([self.initial_term, *(b.initial_term for b in known)]))
        ):
            return None
        return max([self.began, *(b.began for b in known)])

    def election_rank(self) -> int | None:
        """How many are to stand before this one; None if too few are known to hold the same entry."""
        replica = self.replica
        equal = {d for d, begun in self.others.items() if begun.position == replica.entry.position} | {
            replica.disk
        }
        if not replica.entry.has_quorum(equal):
            return None
        return sum(m.disk in equal and m.disk < replica.disk for m in replica.entry.voters())

    def _tell(self, now: float, to: Address, disk: str, to_incarnation: int, asks: bool = True) -> None:
        message = self.replica.message_with_last_position(pb.RESTARTED, disk)
        message.age_ms, message.initial_term = int(1000 * (now - self.began)), self.initial_term
        message.to_incarnation = to_incarnation
        message.incarnation = self.incarnation if asks and disk not in self.others else 0
        self.replica.send(to, message)
