"""The learner role: how a disk that isn't a member joins, and how a removed one learns of its removal."""

from __future__ import annotations

from collections.abc import Sequence

from gateway.consensus import consensus_pb2 as pb
from gateway.consensus.codec import last_position, put_members
from gateway.consensus.entry import Entry
from gateway.consensus.replica import Replica
from gateway.state_machine import Address

MAX_CORE_ADDRESSES = 32
ANY_DISK = "*"  # as the receiver's disk: whoever knows that the sender isn't a member any more
MIN_REQUEST_INTERVAL_S = 0.05  # between two join requests
LEADER_TIMEOUT_INTERVALS = 3  # request intervals of silence after which a leader is forgotten


class LearnerRole:
    """Sends join requests to the leader if it is known, else to all addresses that may know it.

    Args:
        replica: The state of this disk.
        seeds: Addresses of the seeds' processes.
        wants_membership: Whether it asks to become a member; otherwise it only asks for the leader.
    """

    def __init__(self, replica: Replica, seeds: Sequence[Address], wants_membership: bool) -> None:
        self.replica = replica
        self.wants_membership = wants_membership
        self.seeds = tuple(seeds)
        self.core_addresses: tuple[Address, ...] = ()  # as named by others
        self.leader: Address | None = None
        self.leader_term = 0
        self.leader_heard_at = 0.0
        self.next_request_at = 0.0
        self.requested_at = 0.0

    def set_core_addresses(self, addresses: Sequence[Address]) -> None:
        """Note the core's addresses as others name them; at most `MAX_CORE_ADDRESSES`."""
        if addresses:
            self.core_addresses = tuple(addresses)[:MAX_CORE_ADDRESSES]

    def tick(self, now: float) -> None:
        """Send a join request if one is due, and forget a leader that was silent for too long."""
        leader_timeout_s = LEADER_TIMEOUT_INTERVALS * self.replica.tuning.request_interval_s
        if self.leader is not None and now - self.leader_heard_at > leader_timeout_s:
            self.leader = None
        if now >= self.next_request_at:
            self._send_join_requests(now)

    def probe_other_addresses(self) -> None:
        """As a member that hears no leader, ask addresses outside the membership too.

        All other members may have been replaced.
        """
        if not self.replica.is_voter:
            return
        known = {m.address for m in self.replica.entry.voters()}
        for address in sorted({*self.seeds, *self.core_addresses} - known):
            self.replica.send(address, self.replica.message_with_last_position(pb.PRE_VOTE, ANY_DISK))

    def report_progress(self, now: float) -> None:
        """As a learner, report to the leader what is on disk, with a join request."""
        self.next_request_at = now
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
        is_new = (leader, term) != (self.leader, self.leader_term)
        self.leader = leader
        self.leader_term = term
        self.leader_heard_at = now
        if is_new:
            self.next_request_at = min(self.next_request_at, self.requested_at + MIN_REQUEST_INTERVAL_S)
            self.tick(now)

    def on_leader_hint(self, now: float, sender: Address, message: pb.Message) -> None:
        """The response to a join request: the leader, and the other members of the core."""
        self.set_core_addresses([m.address for m in message.members])
        if message.leader:
            self.on_leader(now, message.leader, message.term if message.leader == sender else 0)

    def _send_join_requests(self, now: float) -> None:
        replica = self.replica
        if replica.persisted.disk != replica.disk:  # its first write isn't durable yet
            return
        self.requested_at = now
        self.next_request_at = now + replica.tuning.request_interval_s
        targets = {*self.seeds, *self.core_addresses} if self.leader is None else {self.leader}
        for address in sorted(targets - {replica.address}):
            message = replica.message_with_durable_position(pb.JOIN)
            message.term = self.leader_term if self.wants_membership and address == self.leader else 0
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
    if known is None or known.outgoing:
        return False
    if known.has_voter(message.disk) or replica.entry.has_voter(message.disk):
        return False
    if last_position(message) >= known.position:
        return False
    if message.kind in (pb.PRE_VOTE, pb.REQUEST_VOTE, pb.APPEND_RESPONSE):
        send_removed(replica, known, sender, message.disk)
    return True
