"""Granting of votes and pre-votes."""

from __future__ import annotations

from typing import NamedTuple

from gateway.consensus import consensus_pb2 as pb
from gateway.consensus.cluster_restart import ClusterRestart
from gateway.consensus.codec import last_position
from gateway.consensus.follower import FollowerRole
from gateway.consensus.replica import Replica
from gateway.state_machine import Address

MAX_CANDIDATE_WRITE_STALL_S = 0.3  # a member whose writes stall for longer doesn't become a candidate


class PendingVote(NamedTuple):
    """A vote that is announced once it is durable: the disk and the address of the candidate."""

    disk: str
    address: Address


class Voter:
    """Responds to candidates. A vote is announced only once it is on disk (Raft, 5.2 and 5.4.1)."""

    def __init__(
        self, replica: Replica, cluster_restart: ClusterRestart, follower_role: FollowerRole
    ) -> None:
        self.replica = replica
        self.cluster_restart = cluster_restart
        self.follower_role = follower_role
        self.pending_vote: PendingVote | None = None

    def may_vote(self, now: float, message: pb.Message) -> bool:
        """Whether this disk may vote for a candidate now without breaking a leader's lease.

        It may not vote while its vote is withheld from other candidates, unless the leader itself has
        requested the election. After a restart it doesn't know whether its vote is withheld, so it waits for
        `ClusterRestart.vote_withheld_until`, unless all voters of its newest entry have restarted and the
        candidate holds exactly the same entry.
        """
        if now < self.cluster_restart.vote_withheld_until and not (
            last_position(message) == self.replica.entry.position
            and self.cluster_restart.all_members_restarted()
        ):
            return False
        return message.leadership_transfer or now >= self.follower_role.vote_withheld_until

    def is_eligible(self, now: float) -> bool:
        """Whether this disk may become a candidate at the leader's request: it is a voter and can write."""
        return self.replica.is_voter and self.replica.write_stalled_s(now) <= MAX_CANDIDATE_WRITE_STALL_S

    def may_start_election(self, now: float) -> bool:
        """Whether this disk may become a candidate on its own: not while others can't get its vote."""
        restart_is_over = (
            now >= self.cluster_restart.vote_withheld_until or self.cluster_restart.all_members_restarted()
        )
        return self.is_eligible(now) and restart_is_over and now >= self.follower_role.vote_withheld_until

    def on_pre_vote(self, sender: Address, message: pb.Message, may_vote: bool) -> None:
        """Respond whether this disk would vote for the sender in that term, without changing any state.

        If this disk's term is not earlier than the requested one, the response always reports it.
        """
        replica = self.replica
        response = replica.message(pb.PRE_VOTE_RESPONSE, message.disk)
        response.sent_at = message.sent_at
        if message.term > replica.term:
            if not may_vote or last_position(message) < replica.entry.position:
                return
            response.granted = True
            response.term = message.term
        replica.send(sender, response)

    def on_request_vote(self, sender: Address, message: pb.Message) -> bool:
        """Decide on a vote in the current term, and respond once it is durable.

        Returns:
            Whether the vote was granted.
        """
        replica = self.replica
        if message.term < replica.term:
            replica.send(sender, replica.message(pb.VOTE_RESPONSE, message.disk))
            return False
        voted_for_another = replica.vote not in ("", message.disk)
        if voted_for_another or last_position(message) < replica.entry.position:
            return False
        replica.vote = message.disk
        self.pending_vote = PendingVote(message.disk, sender)
        self.on_persisted()
        return True

    def on_persisted(self) -> None:
        """Announce the pending vote once it is durable."""
        pending = self.pending_vote
        if pending is None or not self.replica.vote_is_persisted(pending.disk):
            return
        self.pending_vote = None
        response = self.replica.message(pb.VOTE_RESPONSE, pending.disk)
        response.granted = True
        self.replica.send(pending.address, response)
