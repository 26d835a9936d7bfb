"""The follower role: accepting heartbeats and entries of the leader, and acknowledging them."""

from __future__ import annotations

from gateway.consensus import consensus_pb2 as pb
from gateway.consensus.codec import base_position, entry_position, get_entry
from gateway.consensus.election_timer import ElectionTimer
from gateway.consensus.entry import NO_POSITION, LogPosition
from gateway.consensus.replica import Replica
from gateway.state_machine import LONG_AGO, Address

SCALE_RESET_S = 10.0  # for which an unrequested timeout scale stays on disk; no promise lasts that long


class FollowerRole:
    """A follower's knowledge of the leader, and its promise not to vote for others.

    The vote is withheld from other candidates until `vote_withheld_until`, because of the heartbeats that
    this member has acknowledged: the leader's lease rests on it. Times are seconds of this process's clock.
    """

    def __init__(self, replica: Replica, timer: ElectionTimer, now: float, leaving: bool) -> None:
        self.replica = replica
        self.timer = timer
        self.leader: Address | None = None
        self.leader_disk = ""
        self.last_heartbeat_at = LONG_AGO
        self.heartbeat_sent_at = 0.0  # when the leader sent the newest heartbeat, by the leader's clock
        self.vote_withheld_until = now
        self.promised_scale = 1.0  # that the response to the newest heartbeat promises
        self.scale_requested_at = now  # when a heartbeat last asked for a scale, or may have before a restart
        # When the newest response was sent that a leader, while it held its lease, has confirmed.
        self.confirmed_reply_at = LONG_AGO
        self.commit_position = NO_POSITION  # newest position that a leader has said is committed
        self.leaving = leaving  # others are to be members in its place; said in each response

    def on_heartbeat(self, now: float, sender: Address, message: pb.Message) -> None:
        """A heartbeat of this term's leader, perhaps with its newest entry: accept and acknowledge it."""
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
        self.send_append_response(now, sender, message.disk, message.sent_at, self.promised_scale)

    def accept_as_learner(self, message: pb.Message) -> None:
        """Accept the leader's newest entry, which doesn't have this disk as a voter."""
        if entry_position(message) > self.replica.entry.position:
            self._accept_entry(message)

    def on_persisted(self, now: float) -> None:
        """A write is durable: acknowledge the newest entry once it is, as the leader waits for that."""
        if self.leader is not None and self.replica.newest_entry_persisted():
            self.send_append_response(
                now, self.leader, self.leader_disk, self.heartbeat_sent_at, self.promised_scale
            )

    def quorum_contact_until(self) -> float:
        """See `RaftNode.quorum_contact_until`.

        The period begins with this disk's own response that a leader, while it held its lease, has confirmed
        to have received; so heartbeats that lay in a buffer, or that come over a link which carries only one
        direction, begin none.
        """
        known = self.replica.committed_entry
        if known is None or known.term != self.replica.term or known.position < self.commit_position:
            return LONG_AGO
        return self.confirmed_reply_at + self.replica.tuning.election_max_s * self.timer.requested_scale

    def send_append_response(
        self, now: float, to: Address, disk: str, heartbeat_sent_at: float, promised_scale: float = 1.0
    ) -> None:
        """Report the positions of the newest entry held and of the newest one on disk to a leader."""
        message = self.replica.message_with_durable_position(pb.APPEND_RESPONSE, disk)
        message.sent_at = heartbeat_sent_at
        message.replied_at = now
        message.leaving = self.leaving
        if promised_scale > 1.0:
            message.timeout_scale = promised_scale
        self.replica.send(to, message)

    def reset_unused_scale(self, now: float) -> None:
        """Forget a timeout scale that wasn't requested for long, as all promises of it have expired.

        A restart then needn't wait for longer than without one.
        """
        if self.replica.timeout_scale > 1.0 and now >= self.scale_requested_at + SCALE_RESET_S:
            self.replica.timeout_scale = 1.0

    def _withhold_vote(self, now: float, requested_scale: float) -> None:
        """Withhold votes from others for as long as the leader asks, as far as a restart would know of it."""
        replica = self.replica
        self.timer.adopt_requested_scale(requested_scale)
        if requested_scale > 1.0:
            replica.timeout_scale = max(replica.timeout_scale, requested_scale)
            self.scale_requested_at = now
        self.promised_scale = min(requested_scale, replica.durable_timeout_scale())
        withheld_until = now + self.promised_scale * replica.tuning.election_min_s
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
        """Commit the entry held if the leader says that it is committed."""
        entry = self.replica.entry
        if entry.term == message.term and entry.log_index <= message.commit_index:
            self.replica.commit(entry)
