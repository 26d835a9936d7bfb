"""Cold start: the detection that every other member has restarted as well.

A member that restarts has forgotten which heartbeats it acknowledged, so it votes for nobody while a lease
may rest on those acknowledgements. The holder of such a lease decides by the entry that its successor must
hold, and has led ever since. So if each voter of that entry has said, after this process began, that it has
not led since its own process began, there is no such leader, and votes need not be withheld.
"""

from __future__ import annotations

from typing import NamedTuple

from gateway.consensus import consensus_pb2 as pb
from gateway.consensus.records import LogPosition
from gateway.consensus.replica import Replica
from gateway.state_machine import Address


class PeerRestart(NamedTuple):
    """Another member's restart: its newest entry, the latest time at which its process began (by this
    process's clock), and the term that it began with."""

    position: LogPosition
    began: float
    initial_term: int


class ColdStart:
    """Asks all other voters whether they have restarted, and answers them. `until` is when any lease that
    rests on this member's earlier acknowledgements has expired, `began` when this process began; both are
    times of its own clock, in seconds."""

    def __init__(self, replica: Replica, now: float, until: float, began: float) -> None:
        self.replica = replica
        self.until = until
        self.began = began
        self.initial_term = replica.term
        self.incarnation = (
            replica.rng.getrandbits(63) + 1
        )  # echoed in answers; answers to an earlier incarnation don't count
        self.leaderless = True  # this process has neither led nor heard a leader
        self.others: dict[str, PeerRestart] = {}  # by disk, those that have said the same since
        self.next = now

    def tick(self, now: float) -> None:
        """Query those that haven't answered; some may not run yet, and datagrams get lost."""
        if self.leaderless and self.next <= now < self.until:
            self.next = now + self.replica.tuning.restart_query_interval_s
            for member in self.replica.entry.voters():
                if member.disk != self.replica.disk and member.disk not in self.others:
                    self._tell(now, member.address, member.disk, 0)

    def on_restarted(self, now: float, sender: Address, message: pb.Message) -> None:
        """Another member has restarted: it queries (`incarnation`), answers (`to_incarnation`), or both."""
        if message.to_incarnation == self.incarnation:
            position = message.last_term, message.last_index
            self.others[message.disk] = PeerRestart(
                position, now - message.age_ms / 1000, message.initial_term
            )
        if message.incarnation and self.leaderless:
            self._tell(now, sender, message.disk, message.incarnation, now < self.until)

    def all_members_restarted(self) -> bool:
        """Have all voters restarted, this one included?"""
        replica = self.replica
        return replica.is_voter and all(
            m.disk in self.others or m.disk == replica.disk for m in replica.entry.voters()
        )

    def leaderless_since(self) -> float | None:
        """For a leader just elected: when the last of the core's processes began, if this is the first leader
        since all of them did; else None. What an earlier leader had leased ended with the process that held
        it, so by that time.

        Every leader elected since all began has a later term than any of them began with, and a term has one
        leader; so the leader of the first such term is the first leader.
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
        """How many members are to become candidates before this one; None if no quorum is known to hold the
        same newest entry."""
        replica = self.replica
        equal = {d for d, begun in self.others.items() if begun.position == replica.entry.position} | {
            replica.disk
        }
        if not replica.entry.has_quorum(equal):
            return None
        return sum(m.disk in equal and m.disk < replica.disk for m in replica.entry.voters())

    def _tell(self, now: float, to: Address, disk: str, to_incarnation: int, asks: bool = True) -> None:
        message = self.replica.message_with_last_position(pb.RESTARTED, disk)
        message.age_ms = int(1000 * (now - self.began))
        message.initial_term = self.initial_term
        message.to_incarnation = to_incarnation
        message.incarnation = self.incarnation if asks and disk not in self.others else 0
        self.replica.send(to, message)
