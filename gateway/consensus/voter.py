"""A member's vote: whom it may have, and when."""

from __future__ import annotations

from gateway.consensus import consensus_pb2 as pb
from gateway.consensus.cold_start import ColdStart
from gateway.consensus.replica import Replica
from gateway.state_machine import Address


class Voter:
    """Answers candidates. A vote is told once it is on disk."""

    def __init__(self, replica: Replica, cold_start: ColdStart) -> None:
        self.replica, self.cold_start = replica, cold_start
        self.pending_vote_reply: tuple[str, Address] | None = None  # who is told once the vote is on disk

    def may_vote(self, now: float, heard: float, message: pb.Message) -> bool:
        """Not while a leader may count on this disk: not soon after its beat, nor soon after a start.

        Unless all have begun anew, by the very entry that the candidate holds.
        """
        if now < self.cold_start.until and not (
            (message.last_term, message.last_index) == self.replica.entry.position
            and self.cold_start.all_members_restarted()
        ):
            return False
        return message.leadership_transfer or now - heard >= self.replica.tuning.election_min_s

    def pre_vote(self, sender: Address, message: pb.Message, may_vote: bool) -> None:
        """Would this disk vote for another in that term? Changes nothing; a later term is told anyway."""
        replica = self.replica
        answer = replica.message(pb.PRE_VOTE_RESPONSE, message.disk)
        if message.term > replica.term:
            if not may_vote or (message.last_term, message.last_index) < replica.entry.position:
                return
            answer.granted, answer.term = True, message.term
        replica.send(sender, answer)

    def request_vote(self, sender: Address, message: pb.Message) -> bool:
        """Vote, in a term that this disk has gone on to. Does the candidate have the vote?"""
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
        """More is on disk, perhaps the vote."""
        if self.pending_vote_reply is None or not self.replica.vote_is_persisted(self.pending_vote_reply[0]):
            return
        disk, address = self.pending_vote_reply
        self.pending_vote_reply = None
        answer = self.replica.message(pb.VOTE_RESPONSE, disk)
        answer.granted = True
        self.replica.send(address, answer)
