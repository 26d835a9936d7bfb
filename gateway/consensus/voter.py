"""Granting of votes and pre-votes: to whom, and when."""

from __future__ import annotations

from gateway.consensus import consensus_pb2 as pb
from gateway.consensus.cold_start import ColdStart
from gateway.consensus.follower import FollowerRole
from gateway.consensus.replica import Replica
from gateway.state_machine import Address

MAX_CANDIDATE_WRITE_STALL_S = 0.3  # a member whose writes stall for longer doesn't become a candidate


class Voter:
    """Answers candidates. A vote is announced only once it is on disk."""

    def __init__(self, replica: Replica, cold_start: ColdStart, follower_role: FollowerRole) -> None:
        self.replica = replica
        self.cold_start = cold_start
        self.follower_role = follower_role
        self.pending_vote_reply: tuple[str, Address] | None = None  # whom to inform once the vote is durable

    def may_vote(self, now: float, message: pb.Message) -> bool:
        """Whether this disk may vote for a candidate now. It may not while a leader's lease may count on it:
        because its vote is `withheld`, or, after a restart, because it has forgotten whether it is.

        The latter doesn't apply if all voters of this disk's newest entry have restarted and the candidate
        holds the very same entry. The former doesn't apply if the leader itself has requested the election.
        """
        if now < self.cold_start.until and not (
            (message.last_term, message.last_index) == self.replica.entry.position
            and self.cold_start.all_members_restarted()
        ):
            return False
        return message.leadership_transfer or now >= self.follower_role.withheld

    def able(self, now: float) -> bool:
        """Whether this disk may be a candidate when the leader asks it to: it is a voter and can write."""
        return self.replica.is_voter and self.replica.write_stalled_s(now) <= MAX_CANDIDATE_WRITE_STALL_S

    def may_stand(self, now: float) -> bool:
        """Whether this disk may become a candidate on its own: not before others might get its vote."""
        begun = now >= self.cold_start.until or self.cold_start.all_members_restarted()
        return self.able(now) and begun and now >= self.follower_role.withheld

    def pre_vote(self, sender: Address, message: pb.Message, may_vote: bool) -> None:
        """Answer whether this disk would vote for the sender in that term. This changes no state; if this
        disk's term isn't earlier, it is reported in any case."""
        replica = self.replica
        answer = replica.message(pb.PRE_VOTE_RESPONSE, message.disk)
        answer.sent = message.sent
        if message.term > replica.term:
            if not may_vote or (message.last_term, message.last_index) < replica.entry.position:
                return
            answer.granted = True
            answer.term = message.term
        replica.send(sender, answer)

    def request_vote(self, sender: Address, message: pb.Message) -> bool:
        """Decide on a vote in the present term, and answer once it is durable. Returns whether the candidate
        has the vote."""
        replica = self.replica
        if message.term < replica.term:
            replica.send(sender, replica.message(pb.VOTE_RESPONSE, message.disk))
            return False
        if (
            replica.vote not in ("", message.disk)
            or (message.last_term, message.last_index) < replica.entry.position
        ):
            return False
        replica.vote = message.disk
        self.pending_vote_reply = message.disk, sender
        self.on_persisted()
        return True

    def on_persisted(self) -> None:
        """A write is durable: announce the vote if that is what was awaited."""
        if self.pending_vote_reply is None or not self.replica.vote_is_persisted(self.pending_vote_reply[0]):
            return
        disk, address = self.pending_vote_reply
        self.pending_vote_reply = None
        answer = self.replica.message(pb.VOTE_RESPONSE, disk)
        answer.granted = True
        self.replica.send(address, answer)
