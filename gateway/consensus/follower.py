"""The follower role: accepts and acknowledges the leader's heartbeats and entries."""

from __future__ import annotations

from gateway.consensus import consensus_pb2 as pb
from gateway.consensus.codec import base_position, entry_position, get_entry
from gateway.consensus.election_timer import ElectionTimer
from gateway.consensus.entry import NO_POSITION, LogPosition
from gateway.consensus.replica import Replica
from gateway.state_machine import LONG_AGO, Address

SCALE_RESET_S = 10.0  # an unrequested timeout scale stays on disk this long; no withheld vote lasts longer


class FollowerRole:
    """The leader as a follower knows it, and the period for which the follower withholds its vote.

    By acknowledging a heartbeat, the follower agrees to vote for no other candidate until
    `vote_withheld_until`; the leader's lease depends on this. Times are seconds of this process's clock.
    """

    def __init__(self, replica: Replica, timer: ElectionTimer, now: float, leaving: bool) -> None:
        self.replica = replica
        self.timer = timer
        self.leader: Address | None = None
        self.leader_disk = ""
        self.last_heartbeat_at = LONG_AGO
        self.heartbeat_sent_at = 0.0  # send time of the newest heartbeat, by the leader's clock
        self.vote_withheld_until = now
        self.granted_scale = 1.0  # granted in the response to the newest heartbeat
        self.scale_requested_at = now  # by a heartbeat, perhaps one before a restart
        # Send time of the newest response whose receipt was confirmed by a leader that held its lease.
        self.confirmed_reply_at = LONG_AGO
        self.commit_position = NO_POSITION  # newest position reported as committed by a leader
        self.leaving = leaving  # sent in each response: other members should replace this one

    def on_heartbeat(self, now: float, sender: Address, message: pb.Message) -> None:
        """Accept and acknowledge a heartbeat of this term's leader, which may carry its newest entry."""
        replica = self.replica
        self.leader = sender
        self.leader_disk = message.disk
        self.last_heartbeat_at = now
        self.heartbeat_sent_at = message.sent_at
        self.commit_position = max(self.commit_position, LogPosition(message.term, message.commit_index))
        self._withhold_vote(now, message.timeout_scale or 1.0)
        if message.confirmed_reply_at and self.confirmed_reply_at < message.confirmed_reply_at <= now:
            self.confirmed_reply_at = message.confirmed_reply_at
        self._commit_up_to_leader(message)
        if message.kind == pb.APPEND_ENTRIES and entry_position(message) > replica.entry.position:
            self._accept_entry(message)
            self._commit_up_to_leader(message)
        self.send_append_response(now, sender, message.disk, message.sent_at, self.granted_scale)

    def accept_as_learner(self, message: pb.Message) -> None:
        """Accept the leader's newest entry, in which this disk is not a voter."""
        if entry_position(message) > self.replica.entry.position:
            self._accept_entry(message)

    def on_persisted(self, now: float) -> None:
        """Acknowledge the newest entry once it is durable, because the leader waits for that."""
        if self.leader is not None and self.replica.newest_entry_persisted():
            self.send_append_response(
                now, self.leader, self.leader_disk, self.heartbeat_sent_at, self.granted_scale
            )

    def quorum_contact_until(self) -> float:
        """See `RaftNode.quorum_contact_until`.

        The period starts when this disk sent its own response, and only if a leader that held its lease has
        confirmed receiving that response. Heartbeats that were delayed in a buffer, or that arrive over a
        link that works in one direction only, therefore don't start a period.
        """
        committed = self.replica.committed_entry
        if committed is None or committed.term != self.replica.term:
            return LONG_AGO
        if committed.position < self.commit_position:
            return LONG_AGO
        return self.confirmed_reply_at + self.replica.tuning.election_max_s * self.timer.requested_scale

    def send_append_response(
        self, now: float, to: Address, disk: str, heartbeat_sent_at: float, granted_scale: float = 1.0
    ) -> None:
        """Report to a leader the positions of the newest entry held and of the newest entry on disk."""
        message = self.replica.message_with_durable_position(pb.APPEND_RESPONSE, disk)
        message.sent_at = heartbeat_sent_at
        message.replied_at = now
        message.leaving = self.leaving
        if granted_scale > 1.0:
            message.timeout_scale = granted_scale
        self.replica.send(to, message)

    def reset_unused_scale(self, now: float) -> None:
        """Reset a timeout scale that hasn't been requested recently, once no vote is withheld because of it.

        A restart then need not wait longer than it would without a scale.
        """
        if self.replica.timeout_scale > 1.0 and now >= self.scale_requested_at + SCALE_RESET_S:
            self.replica.timeout_scale = 1.0

    def _withhold_vote(self, now: float, requested_scale: float) -> None:
        """Withhold votes from other candidates as the leader asks, as far as it would survive a restart."""
        replica = self.replica
        self.timer.adopt_requested_scale(requested_scale)
        if requested_scale > 1.0:
            replica.timeout_scale = max(replica.timeout_scale, requested_scale)
            self.scale_requested_at = now
        self.granted_scale = min(requested_scale, replica.durable_timeout_scale())
        withheld_until = now + self.granted_scale * replica.tuning.election_min_s
        self.vote_withheld_until = max(self.vote_withheld_until, withheld_until)

    def _accept_entry(self, message: pb.Message) -> None:
        replica = self.replica
        entry = get_entry(message.entry)
        base = base_position(message)
        if base == NO_POSITION:
            replica.entry = entry
        elif base == replica.entry.position:
            replica.entry = entry._replace(value=replica.entry.value)

    def _commit_up_to_leader(self, message: pb.Message) -> None:
        """Commit the current entry if the leader reports it as committed."""
        entry = self.replica.entry
        if entry.term == message.term and entry.log_index <= message.commit_index:
            self.replica.commit(entry)
