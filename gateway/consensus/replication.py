"""Replication by a leader: heartbeats, entries and their retries, and the lease based on the responses."""

from __future__ import annotations

from math import inf

from gateway.consensus import consensus_pb2 as pb
from gateway.consensus.codec import durable_position, last_position, put_entry
from gateway.consensus.election_timer import ElectionTimer
from gateway.consensus.entry import Entry, LogPosition
from gateway.consensus.peer import Peer
from gateway.consensus.replica import Replica
from gateway.state_machine import LONG_AGO

MAX_PAST_MEMBERS = 256  # number of disk ids
MAX_INTERVAL_SCALE = 2.5  # on slow links, heartbeat and retry intervals grow by at most this factor
MAX_RESEND_WAIT_S = 2.0  # longest backoff for a peer that doesn't respond


class Replication:
    """A leader's peers during its term, the messages sent to them, and the leader's lease.

    The lease follows Raft dissertation, 6.4.1: a quorum has agreed not to vote for another candidate until it
    ends.
    """

    def __init__(self, replica: Replica, now: float, timer: ElectionTimer) -> None:
        self.replica = replica
        self.timer = timer
        self.started_at = now
        self.peers: dict[str, Peer] = {}  # the other voters, by disk
        self.learners: dict[str, Peer] = {}  # disks that receive the newest entry before they join, by disk
        self.past_members: dict[str, None] = {}  # the most recent disks that have been members in this term
        # Positions of recent newest entries, and when each was superseded.
        self.recent_entries: dict[LogPosition, float] = {}
        self.same_value_position: LogPosition | None = None  # of an entry with the same value as the newest
        self.next_heartbeat_at = now
        self.transfer_since: float | None = None  # when a leadership transfer was first intended
        self.lease_until = LONG_AGO

    @property
    def newest_entry_committed(self) -> bool:
        """Whether the newest entry, which is one of this term, is committed."""
        return self.replica.committed_entry is self.replica.entry

    def has_leader_lease(self, now: float) -> bool:
        """Whether no other leader can exist now and the newest committed entry is known.

        A leader that is removing itself from the members holds no lease, because the remaining members need
        not query it when they restart (`ClusterRestart`).
        """
        return now < self.quorum_contact_until()

    def quorum_contact_until(self) -> float:
        """See `RaftNode.quorum_contact_until`.

        The period starts at the send time of the heartbeats that a quorum has acknowledged.
        """
        committed = self.replica.committed_entry
        knows_newest = committed is not None and committed.term == self.replica.term
        if not knows_newest or self.transfer_since is not None or not self.replica.is_voter:
            return LONG_AGO
        return self.lease_until

    def has_lost_quorum(self, now: float) -> bool:
        """Whether no quorum has acknowledged a heartbeat for so long that the leader must step down."""
        acknowledged = {peer.disk: peer.acknowledged_at for peer in self.peers.values()}
        latest = self.replica.entry.latest_quorum_time({self.replica.disk: inf, **acknowledged})
        longest = self.replica.tuning.election_max_s * self.timer.timeout_scale
        return now - max(latest, self.started_at) > longest

    @property
    def first_resend_wait_s(self) -> float:
        """Delay in seconds before an unacknowledged entry is first resent."""
        return self.replica.tuning.resend_s * min(MAX_INTERVAL_SCALE, self.timer.timeout_scale)

    def on_append_response(self, now: float, message: pb.Message) -> bool:
        """Handle a member's acknowledgement of a heartbeat or an entry.

        Returns:
            False if the sender is not a peer.
        """
        peer = self.peers.get(message.disk)
        if peer is None:
            return False
        shortest = self.replica.tuning.election_min_s * self.timer.timeout_scale
        if now - peer.last_contact_at > shortest:  # it was unreachable: resend at once what it lacks
            peer.resend_at = now
            peer.resend_wait_s = self.first_resend_wait_s
        peer.last_contact_at = now
        peer.replied_at = message.replied_at
        peer.leaving = message.leaving
        peer.last_position = last_position(message)
        peer.durable_position = durable_position(message)
        self._extend_vote_withholding(now, peer, message)
        lacks_entry = peer.last_position != self.replica.entry.position
        if lacks_entry and message.sent_at == peer.entry_without_value_sent_at:  # it also lacks the value
            peer.entry_without_value_sent_at = LONG_AGO
            self.send_entry(now, peer, with_value=True)
        return True

    def _extend_vote_withholding(self, now: float, peer: Peer, message: pb.Message) -> None:
        """Record until when a peer withholds its vote, and renew the lease if that extends it."""
        tuning = self.replica.tuning
        sent_at = min(message.sent_at, now)
        peer.acknowledged_at = max(peer.acknowledged_at, sent_at)
        withheld_s = (tuning.election_min_s - tuning.lease_margin_s) * (message.timeout_scale or 1.0)
        if sent_at + withheld_s > peer.vote_withheld_until:
            peer.vote_withheld_until = sent_at + withheld_s
            self.renew_lease()

    def replicate(self, now: float, entry: Entry, new_value: bool = False) -> None:
        """Replicate this entry as the next one in the current term.

        Args:
            now: Seconds of this process's clock.
            entry: The entry; its term and index are replaced.
            new_value: Whether its value differs from the newest entry's, so that it must be sent with the
                value.
        """
        replica = self.replica
        longest = replica.tuning.election_min_s * self.timer.timeout_scale
        self.recent_entries = {p: at for p, at in self.recent_entries.items() if now - at <= longest}
        self.recent_entries[replica.entry.position] = now
        self.same_value_position = None if new_value else replica.entry.position
        replica.entry = entry._replace(term=replica.term, log_index=entry.log_index + 1)
        self._follow_voters(now)
        for peer in (*self.peers.values(), *self.learners.values()):
            peer.resend_at = now
            peer.resend_wait_s = self.first_resend_wait_s
        self.renew_lease()
        self.broadcast(now)

    def _follow_voters(self, now: float) -> None:
        """Make the other voters of the newest entry the peers; the state of former learners is preserved."""
        former = self.peers
        self.peers = {
            m.disk: former.get(m.disk) or self.learners.pop(m.disk, None) or Peer(m, now)
            for m in self.replica.entry.voters()
            if m.disk != self.replica.disk
        }
        self.past_members = dict.fromkeys([*self.past_members, *self.peers][-MAX_PAST_MEMBERS:])

    def broadcast(self, now: float) -> None:
        """Send each peer a heartbeat, and the newest entry if the peer lacks it and a (re)send is due."""
        replica = self.replica
        scale = min(MAX_INTERVAL_SCALE, self.timer.timeout_scale)
        self.next_heartbeat_at = now + replica.tuning.heartbeat_interval_s * scale
        for peer in self.peers.values():
            if peer.last_position != replica.entry.position and now >= peer.resend_at:
                may_have_value = peer.last_position in (None, self.same_value_position)
                without_value = self.same_value_position is not None and may_have_value
                self.send_entry(now, peer, with_value=not without_value)
                if without_value:  # an entry also serves as a heartbeat
                    continue
            replica.send(peer.address, self._heartbeat(now, pb.HEARTBEAT, peer))

    def send_entry(self, now: float, peer: Peer, with_value: bool) -> None:
        """Send the newest entry, without its value if the peer may already have that."""
        peer.resend_at = now + peer.resend_wait_s
        peer.resend_wait_s = min(MAX_RESEND_WAIT_S, 2 * peer.resend_wait_s)
        message = self._heartbeat(now, pb.APPEND_ENTRIES, peer)
        put_entry(self.replica.entry, message.entry, with_value)
        if not with_value and self.same_value_position is not None:
            message.base_term, message.base_index = self.same_value_position
            peer.entry_without_value_sent_at = now
        self.replica.send(peer.address, message)

    def _heartbeat(self, now: float, kind: pb.Kind, peer: Peer) -> pb.Message:
        replica = self.replica
        message = replica.message_with_last_position(kind, peer.disk)
        message.sent_at = now
        if self.timer.timeout_scale > 1.0:
            message.timeout_scale = self.timer.timeout_scale
        if self.has_leader_lease(now):
            message.confirmed_reply_at = peer.replied_at
        if replica.committed_entry is not None and replica.committed_entry.term == replica.term:
            message.commit_index = replica.committed_entry.log_index
        return message

    def renew_lease(self) -> None:
        """Recompute the lease: no other leader can be elected while a quorum withholds its votes."""
        withheld = {peer.disk: peer.vote_withheld_until for peer in self.peers.values()}
        self.lease_until = self.replica.entry.latest_quorum_time({self.replica.disk: inf, **withheld})
