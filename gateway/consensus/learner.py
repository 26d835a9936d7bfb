"""How a disk that isn't a member asks to be one, and how one learns that it is none any more."""

from __future__ import annotations

from collections.abc import Sequence

from gateway.consensus import consensus_pb2 as pb
from gateway.consensus.records import Entry, put_members
from gateway.consensus.replica import Replica
from gateway.state_machine import Address

MAX_CORE_ADDRESSES = 32
ANY_DISK = "*"  # in place of a disk: one who knows that the sender is no member any more
MIN_REQUEST_INTERVAL_S = 0.05  # between two asks


class LearnerRole:
    """Asks the leader where it is known, else everyone who may know it."""

    def __init__(self, replica: Replica, seeds: Sequence[Address]) -> None:
        self.replica = replica
        self.seeds = tuple(seeds)
        self.core: tuple[Address, ...] = ()  # as told by others
        self.leader: Address | None = None
        self.term = 0  # the leader's
        self.heard = self.next = self.requested_at = 0.0

    def learn(self, addresses: Sequence[Address]) -> None:
        """Others name the core."""
        if addresses:
            self.core = tuple(addresses)[:MAX_CORE_ADDRESSES]

    def tick(self, now: float) -> None:
        """Ask when it is time to."""
        if self.leader is not None and now - self.heard > 3 * self.replica.tuning.request_interval_s:
            self.leader = None
        if now >= self.next:
            self._ask(now)

    def probe_other_addresses(self) -> None:
        """As a member that hears no leader, ask others too: all other members may have been replaced."""
        known = {m.address for m in self.replica.entry.voters()} if self.replica.is_voter else set()
        for address in sorted({*self.seeds, *self.core} - known) if known else ():
            self.replica.send(address, self.replica.message_with_last_position(pb.PRE_VOTE, ANY_DISK))

    def report_progress(self, now: float) -> None:
        """As a learner, have the leader know what is on disk."""
        self.next = now
        self.tick(now)

    def on_leader_entry(self, now: float, leader: Address, term: int) -> None:
        """As a learner, one has been sent the leader's newest entry, perhaps again."""
        self.on_leader(now, leader, term)
        if self.replica.newest_entry_persisted():
            self.report_progress(now)

    def on_leader(self, now: float, leader: Address, term: int) -> None:
        """Someone is heard as leader, or named as one (term 0)."""
        if term == 0 and leader == self.leader:
            return
        new = (leader, term) != (self.leader, self.term)
        self.leader, self.term, self.heard = leader, term, now
        if new:
            self.next = min(self.next, self.requested_at + MIN_REQUEST_INTERVAL_S)
            self.tick(now)

    def on_hint(self, now: float, sender: Address, message: pb.Message) -> None:
        """An answer: who leads, and who else is of the core."""
        self.learn([m.address for m in message.members])
        if message.leader:
            self.on_leader(now, message.leader, message.term if message.leader == sender else 0)

    def _ask(self, now: float) -> None:
        replica = self.replica
        if replica.persisted.disk != replica.disk:  # it has yet to show that it can write
            return
        self.requested_at, self.next = now, now + replica.tuning.request_interval_s
        targets = {*self.seeds, *self.core} if self.leader is None else {self.leader}
        for address in sorted(targets - {replica.me}):
            message = replica.message_with_durable_position(pb.JOIN)
            message.term = self.term if address == self.leader else 0
            replica.send(address, message)


def send_leader_hint(replica: Replica, to: Address, disk: str, leader: Address) -> None:
    """Tell one who asks to join who leads (empty: unknown), and who the members are."""
    hint = replica.message(pb.LEADER_HINT, disk)
    hint.leader = leader
    put_members(replica.entry.members, hint.members)
    replica.send(to, hint)


def send_removed(replica: Replica, entry: Entry, to: Address, disk: str) -> None:
    """Tell a disk that it isn't a member any more, by this committed entry."""
    message = replica.message(pb.REMOVED, disk)
    message.last_term, message.last_index = entry.position
    put_members(entry.members, message.members)
    replica.send(to, message)


def reject_removed_member(replica: Replica, sender: Address, message: pb.Message) -> bool:
    """Is a note from a disk that is no member any more? Then that is told to it."""
    known = replica.committed_entry
    if (
        known is None
        or known.outgoing
        or known.has_voter(message.disk)
        or replica.entry.has_voter(message.disk)
        or (message.last_term, message.last_index) >= known.position
    ):
        return False
    if message.kind in (pb.PRE_VOTE, pb.REQUEST_VOTE, pb.APPEND_RESPONSE, pb.LEAVE):
        send_removed(replica, known, sender, message.disk)
    return True
