"""The candidate role: a pre-vote, followed by an election in a new term if a quorum grants the pre-vote."""

from __future__ import annotations

from gateway.consensus import consensus_pb2 as pb
from gateway.consensus.replica import Replica


class CandidateRole:
    """One attempt to become leader; `won` is set once a quorum has granted its votes.

    The pre-vote (Raft dissertation, 9.6) prevents a member that can't reach the leader from unseating it.

    Args:
        replica: The state of the candidate's disk.
        now: Seconds of this process's clock.
        retry_interval_s: Seconds after which unanswered requests are repeated.
        leadership_transfer: The leader itself has requested this election, so the pre-vote is skipped.
    """

    def __init__(
        self, replica: Replica, now: float, retry_interval_s: float, leadership_transfer: bool = False
    ) -> None:
        self.replica = replica
        self.retry_interval_s = retry_interval_s
        self.leadership_transfer = leadership_transfer
        self.requesting_votes = False  # in a new term; before that it requests pre-votes only
        self.granted = {replica.disk}
        self.requested_at = now
        self.won = False
        if leadership_transfer:
            self._start_election()
        else:
            self._send_requests()
            self._check_quorum()

    def tick(self, now: float) -> None:
        """Repeat the request to members that haven't granted it, because datagrams may be lost."""
        if now >= self.requested_at + self.retry_interval_s:
            self.requested_at = now
            self._send_requests()

    def on_pre_vote_response(self, message: pb.Message) -> None:
        """Handle the response to a pre-vote request."""
        if not self.requesting_votes and message.granted and message.term == self.replica.term + 1:
            self.granted.add(message.disk)
            self._check_quorum()

    def on_vote_response(self, message: pb.Message) -> None:
        """Handle the response to a vote request."""
        if self.requesting_votes and message.granted and message.term == self.replica.term:
            self.granted.add(message.disk)
            self._check_quorum()

    def on_persisted(self) -> None:
        """Request the votes of the other members once the candidate's own vote is durable."""
        disk = self.replica.disk
        if self.requesting_votes and disk not in self.granted and self.replica.vote_is_persisted(disk):
            self.granted.add(disk)
            self._send_requests()
            self._check_quorum()

    def _start_election(self) -> None:
        self.replica.enter_term(self.replica.term + 1)
        self.replica.vote = self.replica.disk
        self.requesting_votes = True
        self.granted = set()

    def _check_quorum(self) -> None:
        if not self.replica.entry.has_quorum(self.granted):
            return
        if self.requesting_votes:
            self.won = True
        else:
            self._start_election()

    def _send_requests(self) -> None:
        replica = self.replica
        if self.requesting_votes and replica.disk not in self.granted:
            return
        for member in replica.entry.voters():
            if member.disk not in self.granted:
                replica.send(member.address, self._request(member.disk))

    def _request(self, to_disk: str) -> pb.Message:
        kind = pb.REQUEST_VOTE if self.requesting_votes else pb.PRE_VOTE
        message = self.replica.message_with_last_position(kind, to_disk)
        message.term = self.replica.term if self.requesting_votes else self.replica.term + 1
        message.leadership_transfer = self.leadership_transfer
        message.sent_at = self.requested_at
        return message
