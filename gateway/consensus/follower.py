"""What a follower takes from its leader, and answers."""

from __future__ import annotations

from gateway.consensus import consensus_pb2 as pb
from gateway.consensus.records import NEVER, LogPosition, get_entry
from gateway.consensus.replica import Replica
from gateway.state_machine import Address


class FollowerRole:
    """Who leads as far as heard (`leader`), and when it was heard last."""

    def __init__(self, replica: Replica, heard: float) -> None:
        self.replica, self.heard = replica, heard
        self.leader: Address | None = None
        self.disk = ""  # the leader's
        self.sent = 0.0  # when it sent the newest beat, by its clock
        self.last_reply_at = (
            NEVER  # when the newest answer went out that a leader which was sure has told to have
        )
        self.commit: LogPosition = (0, 0)  # newest that a leader has told to be committed

    def on_heartbeat(self, now: float, sender: Address, message: pb.Message) -> None:
        """The leader of this term is heard, with its newest entry perhaps."""
        replica = self.replica
        self.leader, self.disk, self.heard, self.sent = sender, message.disk, now, message.sent
        self.commit = max(self.commit, (message.term, message.commit))
        if message.last_reply_at and self.last_reply_at < message.last_reply_at <= now:
            self.last_reply_at = message.last_reply_at
        self._commit_from_leader(message)
        if (
            message.kind == pb.APPEND_ENTRIES
            and (message.entry.term, message.entry.number) > replica.entry.position
        ):
            self._accept_entry(message)
            self._commit_from_leader(message)
        self.send_append_response(now, sender, message.disk, message.sent)

    def learn(self, message: pb.Message) -> None:
        """As a learner, take the leader's newest entry, which doesn't name this disk."""
        if (message.entry.term, message.entry.number) > self.replica.entry.position:
            self._accept_entry(message)

    def on_persisted(self, now: float) -> None:
        """More is on disk: the leader waits for that."""
        if self.leader is not None and self.replica.newest_entry_persisted():
            self.send_append_response(now, self.leader, self.disk, self.sent)

    def quorum_contact_until(self) -> float:
        """See `RaftNode`. It begins with this disk's own answer that a leader, which was sure, has told to
        have; so beats that lay in a buffer, or come over a link of one direction, begin none."""
        known = self.replica.committed_entry
        if known is None or known.term != self.replica.term or known.position < self.commit:
            return NEVER
        return self.last_reply_at + self.replica.tuning.election_max_s

    def send_append_response(self, now: float, to: Address, disk: str, sent: float) -> None:
        """Tell a leader the newest entry that is here, and the newest on disk."""
        replica = self.replica
        message = replica.message_with_durable_position(pb.APPEND_RESPONSE, disk)
        message.sent, message.replied_at = sent, now
        replica.send(to, message)

    def _accept_entry(self, message: pb.Message) -> None:
        replica, entry, base = self.replica, get_entry(message.entry), (message.base_term, message.base_index)
        if base == (0, 0):
            replica.entry = entry
        elif base == replica.entry.position:
            replica.entry = entry._replace(value=replica.entry.value)

    def _commit_from_leader(self, message: pb.Message) -> None:
        """What the leader says is committed, if it is here."""
        entry = self.replica.entry
        if entry.term == message.term and entry.number <= message.commit:
            self.replica.commit(entry)
