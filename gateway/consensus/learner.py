"""The learner role: how a disk joins the members, and how a removed disk learns of its removal."""

from __future__ import annotations

from collections.abc import Sequence

from gateway.consensus import consensus_pb2 as pb
from gateway.consensus.codec import last_position, put_members
from gateway.consensus.entry import Entry
from gateway.consensus.replica import Replica
from gateway.state_machine import Address

MAX_CORE_ADDRESSES = 32
ANY_DISK = "*"  # receiver's disk in a message to any process that knows of the sender's removal
MIN_REQUEST_INTERVAL_S = 0.05  # minimum interval between join requests
LEADER_TIMEOUT_INTERVALS = 3  # in request intervals, without a message from the leader


class LearnerRole:
    """Sends join requests to the leader if it is known, otherwise to all addresses that may know the leader.

    Args:
        replica: The state of this disk.
        seeds: Addresses of the seeds' processes.
        wants_membership: Whether to request membership; otherwise only the leader's address is requested.
    """

    def __init__(self, replica: Replica, seeds: Sequence[Address], wants_membership: bool) -> None:
        self.replica = replica
        self.wants_membership = wants_membership
        self.seeds = tuple(seeds)
        self.core_addresses: tuple[Address, ...] = ()  # as reported by other processes
        self.leader: Address | None = None
        self.leader_term = 0
        self.leader_last_contact_at = 0.0
        self.next_request_at = 0.0
        self.requested_at = 0.0

    def set_core_addresses(self, addresses: Sequence[Address]) -> None:
        """Store the core's addresses as reported by other processes; at most `MAX_CORE_ADDRESSES`."""
        if addresses:
            self.core_addresses = tuple(addresses)[:MAX_CORE_ADDRESSES]

    def tick(self, now: float) -> None:
        """Send a join request if one is due, and discard a leader that has timed out."""
        leader_timeout_s = LEADER_TIMEOUT_INTERVALS * self.replica.tuning.request_interval_s
        if self.leader is not None and now - self.leader_last_contact_at > leader_timeout_s:
            self.leader = None
        if now >= self.next_request_at:
            self._send_join_requests(now)

    def query_other_addresses(self) -> None:
        """As a member without a leader, also query addresses outside the membership.

        All other members may have been replaced in the meantime.
        """
        if not self.replica.is_voter:
            return
        voter_addresses = {m.address for m in self.replica.entry.voters()}
        for address in sorted({*self.seeds, *self.core_addresses} - voter_addresses):
            self.replica.send(address, self.replica.message_with_last_position(pb.PRE_VOTE, ANY_DISK))

    def report_progress(self, now: float) -> None:
        """As a learner, send the leader a join request that reports what is on disk."""
        self.next_request_at = now
        self.tick(now)

    def on_leader_entry(self, now: float, leader: Address, term: int) -> None:
        """As a learner, handle the leader's newest entry, which may have been received before."""
        self.on_leader(now, leader, term)
        if self.replica.newest_entry_persisted():
            self.report_progress(now)

    def on_leader(self, now: float, leader: Address, term: int) -> None:
        """Record a leader that sent a message in this term, or that another process named (term 0)."""
        if term == 0 and leader == self.leader:
            return
        is_new = (leader, term) != (self.leader, self.leader_term)
        self.leader = leader
        self.leader_term = term
        self.leader_last_contact_at = now
        if is_new:
            self.next_request_at = min(self.next_request_at, self.requested_at + MIN_REQUEST_INTERVAL_S)
            self.tick(now)

    def on_leader_hint(self, now: float, sender: Address, message: pb.Message) -> None:
        """Handle the response to a join request, which names the leader and the members."""
        self.set_core_addresses([m.address for m in message.members])
        if message.leader:
            self.on_leader(now, message.leader, message.term if message.leader == sender else 0)

    def _send_join_requests(self, now: float) -> None:
        replica = self.replica
        if replica.persisted.disk != replica.disk:  # the first write isn't durable yet
            return
        self.requested_at = now
        self.next_request_at = now + replica.tuning.request_interval_s
        targets = {*self.seeds, *self.core_addresses} if self.leader is None else {self.leader}
        for address in sorted(targets - {replica.address}):
            message = replica.message_with_durable_position(pb.JOIN)
            message.term = self.leader_term if self.wants_membership and address == self.leader else 0
            replica.send(address, message)


def send_leader_hint(replica: Replica, to: Address, disk: str, leader: Address) -> None:
    """Respond to a join request with the leader's address (empty if unknown) and the members."""
    hint = replica.message(pb.LEADER_HINT, disk)
    hint.leader = leader
    put_members(replica.entry.members, hint.members)
    replica.send(to, hint)


def send_removed(replica: Replica, entry: Entry, to: Address, disk: str) -> None:
    """Inform a disk that a committed entry has removed it from the members."""
    message = replica.message(pb.REMOVED, disk)
    message.last_term, message.last_index = entry.position
    put_members(entry.members, message.members)
    replica.send(to, message)


def reject_removed_member(replica: Replica, sender: Address, message: pb.Message) -> bool:
    """Whether a message is from a removed member, which is then informed of its removal.

    Only a committed entry that is not a joint configuration and is newer than the sender's entry proves it.
    """
    committed = replica.committed_entry
    if committed is None or committed.outgoing:
        return False
    if committed.has_voter(message.disk) or replica.entry.has_voter(message.disk):
        return False
    if last_position(message) >= committed.position:
        return False
    if message.kind in (pb.PRE_VOTE, pb.REQUEST_VOTE, pb.APPEND_RESPONSE):
        send_removed(replica, committed, sender, message.disk)
    return True
