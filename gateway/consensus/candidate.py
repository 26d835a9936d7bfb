"""An election as its candidate sees it: it asks whether it might win before it begins a new term."""

from __future__ import annotations

from gateway.consensus import consensus_pb2 as pb
from gateway.consensus.replica import Replica


class CandidateRole:
    """One try to become leader. `won` once majorities have voted."""

    def __init__(
        self, replica: Replica, now: float, retry_interval_s: float, leadership_transfer: bool = False
    ) -> None:
        self.replica, self.retry_interval_s, self.leadership_transfer = (
            replica,
            retry_interval_s,
            leadership_transfer,
        )
        self.requesting_votes = False  # in a term of its own; before that it only sounds the others out
        self.granted = {replica.disk}
        self.requested_at = now
        self.won = False
        if leadership_transfer:
            self._start_election()
        else:
            self._ask()
            self._count()

    def tick(self, now: float) -> None:
        """Ask those again who haven't answered; datagrams get lost."""
        if now >= self.requested_at + self.retry_interval_s:
            self.requested_at = now
            self._ask()

    def on_pre_vote_response(self, message: pb.Message) -> None:
        """One of them would vote for this disk."""
        if not self.requesting_votes and message.granted and message.term == self.replica.term + 1:
            self.granted.add(message.disk)
            self._count()

    def on_vote_response(self, message: pb.Message) -> None:
        """One of them has voted for this disk."""
        if self.requesting_votes and message.granted and message.term == self.replica.term:
            self.granted.add(message.disk)
            self._count()

    def on_persisted(self) -> None:
        """Something is on disk: perhaps its own vote, with which it asks for the others'."""
        if (
            self.requesting_votes
            and self.replica.disk not in self.granted
            and self.replica.vote_is_persisted(self.replica.disk)
        ):
            self.granted.add(self.replica.disk)
            self._ask()
            self._count()

    def _start_election(self) -> None:
        self.replica.enter_term(self.replica.term + 1)
        self.replica.vote = self.replica.disk
        self.requesting_votes, self.granted = True, set()

    def _count(self) -> None:
        if not self.replica.entry.has_quorum(self.granted):
            return
        if self.requesting_votes:
            self.won = True
        else:
            self._start_election()

    def _ask(self) -> None:
        replica = self.replica
        if self.requesting_votes and replica.disk not in self.granted:
            return
        for member in replica.entry.voters():
            if member.disk not in self.granted:
                message = replica.message_with_last_position(
                    pb.REQUEST_VOTE if self.requesting_votes else pb.PRE_VOTE, member.disk
                )
                message.term = replica.term if self.requesting_votes else replica.term + 1
                message.leadership_transfer = self.leadership_transfer
                replica.send(member.address, message)
