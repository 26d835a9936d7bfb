"""The learner role: how a disk that isn't a member joins, and how a removed one learns of its removal."""

from __future__ import annotations

from collections.abc import Sequence

from gateway.consensus import consensus_pb2 as pb
from gateway.consensus.records import Entry, put_members
from gateway.consensus.replica import Replica
from gateway.state_machine import Address

MAX_CORE_ADDRESSES = 32
ANY_DISK = "*"  # as the receiver's disk: whoever knows that the sender isn't a member any more
MIN_REQUEST_INTERVAL_S = 0.05  # between two join requests


class LearnerRole:
    """Sends join requests to the leader if it is known, else to all addresses that may know it."""

    def __init__(self, replica: Replica, seeds: Sequence[Address], asks: bool) -> None:
        self.replica = replica
        self.asks = asks  # to become a member; otherwise it only asks for the leader
        self.seeds = tuple(seeds)
        self.core: tuple[Address, ...] = ()  # addresses named by others
        self.leader: Address | None = None
        self.term = 0  # the leader's
        self.heard = 0.0
        self.next = 0.0
        self.requested_at = 0.0

    def learn(self, addresses: Sequence[Address]) -> None:
        """Note the core's addresses as others name them; at most `MAX_CORE_ADDRESSES`."""
        if addresses:
            self.core = tuple(addresses)[:MAX_CORE_ADDRESSES]

    def tick(self, now: float) -> None:
        """Send a join request if one is due, and forget a leader that was silent for three intervals."""
        if self.leader is not None and now - self.heard > 3 * self.replica.tuning.request_interval_s:
            self.leader = None
        if now >= self.next:
            self._ask(now)

    def probe_other_addresses(self) -> None:
        """As a member that hears no leader, ask addresses outside the membership too: all other members may
        have been replaced."""
        known = {m.address for m in self.replica.entry.voters()} if self.replica.is_voter else set()
        for address in sorted({*self.seeds, *self.core} - known) if known else ():
            self.replica.send(address, self.replica.message_with_last_position(pb.PRE_VOTE, ANY_DISK))

    def report_progress(self, now: float) -> None:
        """As a learner, report to the leader what is on disk, with a join request."""
        self.next = now
        self.tick(now)

    def on_leader_entry(self, now: float, leader: Address, term: int) -> None:
        """As a learner, the leader's newest entry has been received, perhaps again."""
        self.on_leader(now, leader, term)
        if self.replica.newest_entry_persisted():
            self.report_progress(now)

    def on_leader(self, now: float, leader: Address, term: int) -> None:
        """A leader is heard (in this term), or named by another process (term 0)."""
        if term == 0 and leader == self.leader:
            return
        new = (leader, term) != (self.leader, self.term)
        self.leader = leader
        self.term = term
        self.heard = now
        if new:
            self.next = min(self.next, self.requested_at + MIN_REQUEST_INTERVAL_S)
            self.tick(now)

    def on_hint(self, now: float, sender: Address, message: pb.Message) -> None:
        """The response to a join request: the leader, and the other members of the core."""
        self.learn([m.address for m in message.members])
        if message.leader:
            self.on_leader(now, message.leader, message.term if message.leader == sender else 0)

    def _ask(self, now: float) -> None:
        replica = self.replica
        if replica.persisted.disk != replica.disk:  # its first write isn't durable yet
            return
        self.requested_at = now
        self.next = now + replica.tuning.request_interval_s
        targets = {*self.seeds, *self.core} if self.leader is None else {self.leader}
        for address in sorted(targets - {replica.me}):
            message = replica.message_with_durable_position(pb.JOIN)
            message.term = self.term if self.asks and address == self.leader else 0
            replica.send(address, message)


def send_leader_hint(replica: Replica, to: Address, disk: str, leader: Address) -> None:
    """Answer a join request with the leader's address (empty: unknown) and the members."""
    hint = replica.message(pb.LEADER_HINT, disk)
    hint.leader = leader
    put_members(replica.entry.members, hint.members)
    replica.send(to, hint)


def send_removed(replica: Replica, entry: Entry, to: Address, disk: str) -> None:
    """Inform a disk that by this committed entry it isn't a member any more."""
    message = replica.message(pb.REMOVED, disk)
    message.last_term, message.last_index = entry.position
    put_members(entry.members, message.members)
    replica.send(to, message)


def reject_removed_member(replica: Replica, sender: Address, message: pb.Message) -> bool:
    """Whether a message is from a removed member, which is then informed of its removal.

    Only a committed entry outside a joint configuration, newer than what the sender holds, proves a removal.
    """
    known = replica.committed_entry
    if (
        known is None
        or known.outgoing
        or known.has_voter(message.disk)
        or replica.entry.has_voter(message.disk)
        or (message.last_term, message.last_index) >= known.position
    ):
        return False
    if message.kind in (pb.PRE_VOTE, pb.REQUEST_VOTE, pb.APPEND_RESPONSE):
        send_removed(replica, known, sender, message.disk)
    return True
