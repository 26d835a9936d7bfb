"""The dispatch of received messages to the roles of a node.

It also handles messages that are meant for another disk, come from removed members, or are of other terms.
"""

from __future__ import annotations

from typing import Protocol

from gateway.consensus import consensus_pb2 as pb
from gateway.consensus.api import Tuning
from gateway.consensus.candidate import CandidateRole
from gateway.consensus.cold_start import ColdStart
from gateway.consensus.follower import FollowerRole
from gateway.consensus.leader import LeaderRole
from gateway.consensus.learner import LearnerRole, reject_removed_member, send_leader_hint
from gateway.consensus.records import Member, get_entry, malformed_reason
from gateway.consensus.replica import Replica
from gateway.consensus.timing import Timing
from gateway.consensus.voter import Voter
from gateway.state_machine import Address


class Node(Protocol):
    """What the dispatch needs of a node: its roles, and the transitions between them."""

    replica: Replica
    tuning: Tuning
    timing: Timing
    voter: Voter
    cold_start: ColdStart
    leader_role: LeaderRole | None
    candidate_role: CandidateRole | None
    follower_role: FollowerRole
    learner_role: LearnerRole
    dropped: dict[str, int]
    left: bool

    @property
    def leader(self) -> Address | None:
        """The leader's address, as far as known."""

    @property
    def members(self) -> tuple[Member, ...]:
        """The members by the newest entry held."""

    def start_election(self, now: float) -> None:
        """Become a candidate, if this disk may be one."""

    def reset_election_timer(self, now: float) -> None:
        """Begin a new random election timeout."""

    def enter_term(self, now: float, term: int) -> None:
        """Go on to a later term."""

    def rejoin_as_new_disk(self, now: float) -> None:
        """Give up this disk's id and entry, and ask to be a member again under a new id."""


class MessageDispatch:
    """Passes each message that a node receives to the role that handles it, in the term it belongs to."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.replica = node.replica

    def receive(self, now: float, sender: Address, message: pb.Message) -> None:
        """Handle a message from the network; a malformed one is dropped, and counted by its reason."""
        why = malformed_reason(message)
        if why:
            return self._drop(why)
        kind = message.kind
        replica = self.replica
        if message.to_disk and message.to_disk != replica.disk:
            if kind != pb.HEARTBEAT:  # meant for a disk that was here before, or for anyone
                reject_removed_member(replica, sender, message)
            elif not replica.is_voter:
                self.node.learner_role.on_leader(now, sender, message.term)
        elif kind == pb.HEARTBEAT or kind == pb.APPEND_ENTRIES:
            self._on_heartbeat(now, sender, message)
        elif kind == pb.JOIN:
            self._join(now, sender, message)
        elif kind == pb.LEADER_HINT:
            if not replica.is_voter:
                self.node.learner_role.on_hint(now, sender, message)
        elif kind == pb.REMOVED:
            self._on_removed(now, message)
        elif not reject_removed_member(replica, sender, message):
            self._handle_member_message(now, sender, message)

    def _drop(self, why: str) -> None:
        self.node.dropped[why] = self.node.dropped.get(why, 0) + 1

    def _handle_member_message(self, now: float, sender: Address, message: pb.Message) -> None:
        kind = message.kind
        self.node.timing.observe(now, message)
        if kind == pb.PRE_VOTE:
            self.node.voter.pre_vote(sender, message, self._may_vote(now, message))
        elif kind == pb.REQUEST_VOTE:
            self._request_vote(now, sender, message)
        elif kind == pb.TIMEOUT_NOW:
            self._on_timeout_now(now, message)
        elif kind == pb.RESTARTED:
            self._on_restarted(now, sender, message)
        elif message.term > self.replica.term and (kind == pb.APPEND_RESPONSE or not message.granted):
            self.node.enter_term(now, message.term)
        elif kind == pb.APPEND_RESPONSE:
            if self.node.leader_role is not None and message.term == self.replica.term:
                self.node.leader_role.on_append_response(now, message)
        elif self.node.candidate_role is not None:
            (
                self.node.candidate_role.on_pre_vote_response
                if kind == pb.PRE_VOTE_RESPONSE
                else self.node.candidate_role.on_vote_response
            )(message)

    def _on_heartbeat(self, now: float, sender: Address, message: pb.Message) -> None:
        """Handle a leader's heartbeat, which may carry its newest entry."""
        replica = self.replica
        if message.term < replica.term:
            return self.node.follower_role.send_append_response(now, sender, message.disk, message.sent)
        learns = message.kind == pb.APPEND_ENTRIES and not get_entry(message.entry).has_voter(replica.disk)
        if (
            self.node.leader_role is not None
            and message.term == replica.term
            or learns
            and (replica.is_voter or self.node.left)
        ):
            return self._drop("leader")
        if message.term > replica.term:
            self.node.enter_term(now, message.term)
        self.node.candidate_role = None
        self.node.cold_start.leaderless = False
        if learns:
            self.node.follower_role.learn(message)
            return self.node.learner_role.on_leader_entry(now, sender, message.term)
        self.node.follower_role.on_heartbeat(now, sender, message)
        self.node.reset_election_timer(now)

    def _may_vote(self, now: float, message: pb.Message) -> bool:
        return self.node.leader_role is None and self.node.voter.may_vote(now, message)

    def _request_vote(self, now: float, sender: Address, message: pb.Message) -> None:
        if not self._may_vote(now, message):
            return
        if message.term > self.replica.term:
            self.node.enter_term(now, message.term)
        if self.node.voter.request_vote(sender, message):
            self.node.reset_election_timer(now)

    def _on_restarted(self, now: float, sender: Address, message: pb.Message) -> None:
        """Another member has restarted. Members that hold the same newest entry become candidates one after
        the other: at once if all members have restarted, else as soon as votes need not be withheld."""
        cold_start = self.node.cold_start
        cold_start.on_restarted(now, sender, message)
        election_rank = (
            cold_start.election_rank() if cold_start.leaderless and now < cold_start.until else None
        )
        if election_rank is not None and self.node.candidate_role is None:
            begins = now if cold_start.all_members_restarted() else cold_start.until
            timing = self.node.timing
            deadline = begins + election_rank * self.node.tuning.heartbeat_interval_s
            timing.election_deadline = min(timing.election_deadline, deadline)
            if now >= timing.election_deadline:
                self.node.start_election(now)

    def _on_timeout_now(self, now: float, message: pb.Message) -> None:
        """The leader has stepped down in favour of this member: begin an election without a pre-vote."""
        if (
            message.term == self.replica.term
            and self.node.follower_role.leader is not None
            and message.disk == self.node.follower_role.disk
            and self.node.voter.able(now)
        ):
            self.node.reset_election_timer(now)
            self.node.follower_role.leader = None
            self.node.candidate_role = CandidateRole(
                self.replica, now, 2 * self.node.tuning.heartbeat_interval_s, leadership_transfer=True
            )

    def _join(self, now: float, sender: Address, message: pb.Message) -> None:
        if self.node.leader_role is not None:
            self.node.leader_role.join(now, sender, message)
        elif self.node.leader is not None or self.node.members:
            send_leader_hint(self.replica, sender, message.disk, self.node.leader or "")

    def _on_removed(self, now: float, message: pb.Message) -> None:
        """This disk has been removed, if by an entry that is newer than its own: join again as a new disk."""
        if (message.last_term, message.last_index) > self.replica.entry.position:
            self.node.learner_role.learn([m.address for m in message.members])
            self.node.rejoin_as_new_disk(now)
