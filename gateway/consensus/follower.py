"""The follower role: accepting heartbeats and entries of the leader, and acknowledging them."""

from __future__ import annotations

from gateway.consensus import consensus_pb2 as pb
from gateway.consensus.records import NEVER, LogPosition, get_entry
from gateway.consensus.replica import Replica
from gateway.consensus.timing import Timing
from gateway.state_machine import Address

RELAX_S = 10.0  # for which an unrequested stretch stays on disk; no promise lasts that long


class FollowerRole:
    """The `leader` as far as heard, and until when this member's vote is `withheld` from other candidates
    because of the heartbeats that it has acknowledged. Times are seconds of this process's clock."""

    def __init__(self, replica: Replica, timing: Timing, now: float, leaving: bool) -> None:
        self.replica = replica
        self.timing = timing
        self.heard = NEVER
        self.withheld = now
        self.leader: Address | None = None
        self.disk = ""  # the leader's
        self.sent = 0.0  # when the leader sent the newest heartbeat, by the leader's clock
        self.promise = 1.0  # stretch that the response to the newest heartbeat promises
        self.stretched_at = now  # when a heartbeat last asked for a stretch, or may have before a restart
        self.last_reply_at = (
            NEVER  # when the newest response was sent that a leader, while it held its lease, has confirmed
        )
        self.commit: LogPosition = (0, 0)  # newest position that a leader has said is committed
        self.leaving = leaving  # others are to be members in its place; said in each response

    def on_heartbeat(self, now: float, sender: Address, message: pb.Message) -> None:
        """A heartbeat of this term's leader, perhaps with its newest entry: accept and acknowledge it."""
        replica = self.replica
        self.leader = sender
        self.disk = message.disk
        self.heard = now
        self.sent = message.sent
        self.commit = max(self.commit, (message.term, message.commit))
        self._withhold(now, message.stretch or 1.0)
        if message.last_reply_at and self.last_reply_at < message.last_reply_at <= now:
            self.last_reply_at = message.last_reply_at
        self._commit_from_leader(message)
        if (
            message.kind == pb.APPEND_ENTRIES
            and (message.entry.term, message.entry.number) > replica.entry.position
        ):
            self._accept_entry(message)
            self._commit_from_leader(message)
        self.send_append_response(now, sender, message.disk, message.sent, self.promise)

    def learn(self, message: pb.Message) -> None:
        """As a learner, accept the leader's newest entry, which doesn't have this disk as a voter."""
        if (message.entry.term, message.entry.number) > self.replica.entry.position:
            self._accept_entry(message)

    def on_persisted(self, now: float) -> None:
        """A write is durable: acknowledge the newest entry once it is, as the leader waits for that."""
        if self.leader is not None and self.replica.newest_entry_persisted():
            self.send_append_response(now, self.leader, self.disk, self.sent, self.promise)

    def quorum_contact_until(self) -> float:
        """See `RaftNode.quorum_contact_until`. The period begins with this disk's own response that a leader,
        while it held its lease, has confirmed to have received; so heartbeats that lay in a buffer, or that
        come over a link which carries only one direction, begin none."""
        known = self.replica.committed_entry
        if known is None or known.term != self.replica.term or known.position < self.commit:
            return NEVER
        return self.last_reply_at + self.replica.tuning.election_max_s * self.timing.asked

    def send_append_response(
        self, now: float, to: Address, disk: str, sent: float, promise: float = 1.0
    ) -> None:
        """Report the positions of the newest entry held and of the newest one on disk to a leader."""
        replica = self.replica
        message = replica.message_with_durable_position(pb.APPEND_RESPONSE, disk)
        message.sent = sent
        message.replied_at = now
        message.leaving = self.leaving
        if promise > 1.0:
            message.stretch = promise
        replica.send(to, message)

    def relax(self, now: float) -> None:
        """Where no stretch has been requested for long, all promises of one have expired: a restart then
        needn't wait for longer than without one."""
        if self.replica.stretch > 1.0 and now >= self.stretched_at + RELAX_S:
            self.replica.stretch = 1.0

    def _withhold(self, now: float, asked: float) -> None:
        """Withhold votes from others for as long as the leader asks, as far as a restart would find the
        stretch on disk."""
        replica = self.replica
        self.timing.follow(asked)
        if asked > 1.0:
            replica.stretch = max(replica.stretch, asked)
            self.stretched_at = now
        self.promise = min(asked, replica.promisable())
        self.withheld = max(self.withheld, now + self.promise * replica.tuning.election_min_s)

    def _accept_entry(self, message: pb.Message) -> None:
        replica = self.replica
        entry = get_entry(message.entry)
        base = (message.base_term, message.base_index)
        if base == (0, 0):
            replica.entry = entry
        elif base == replica.entry.position:
            replica.entry = entry._replace(value=replica.entry.value)

    def _commit_from_leader(self, message: pb.Message) -> None:
        """Commit the entry held if the leader says that it is committed."""
        entry = self.replica.entry
        if entry.term == message.term and entry.number <= message.commit:
            self.replica.commit(entry)
