"""Dispatches received messages to the roles of a node.

Also handles messages that are addressed to another disk, come from removed members, or belong to other terms.
"""

from __future__ import annotations

from typing import Protocol

from gateway.consensus import consensus_pb2 as pb
from gateway.consensus.candidate import CandidateRole
from gateway.consensus.cluster_restart import ClusterRestart
from gateway.consensus.codec import get_entry, last_position, validate
from gateway.consensus.election_timer import ElectionTimer
from gateway.consensus.entry import Member
from gateway.consensus.errors import MalformedMessageError
from gateway.consensus.follower import FollowerRole
from gateway.consensus.leader import LeaderRole
from gateway.consensus.learner import LearnerRole, reject_removed_member, send_leader_hint
from gateway.consensus.replica import Replica
from gateway.consensus.tuning import Tuning
from gateway.consensus.voter import Voter
from gateway.state_machine import Address

UNEXPECTED_LEADER = "leader"
"""Drop reason of a message that claims to be from a leader that can't exist."""


class Node(Protocol):
    """The parts of a node that the dispatch uses: its roles, and the transitions between them."""

    replica: Replica
    tuning: Tuning
    timer: ElectionTimer
    voter: Voter
    cluster_restart: ClusterRestart
    leader_role: LeaderRole | None
    candidate_role: CandidateRole | None
    follower_role: FollowerRole
    learner_role: LearnerRole
    dropped_messages: dict[str, int]
    has_left: bool

    @property
    def leader(self) -> Address | None:
        """The leader's address, if known."""

    @property
    def members(self) -> tuple[Member, ...]:
        """The members according to the newest entry."""

    def start_election(self, now: float) -> None:
        """Become a candidate, if allowed."""

    def reset_election_timer(self, now: float) -> None:
        """Start a new random election timeout."""

    def enter_term(self, now: float, term: int) -> None:
        """Enter a later term."""

    def rejoin_as_new_disk(self, now: float) -> None:
        """Discard this disk's id and entry, and request membership under a new id."""


class MessageDispatch:
    """Passes each received message to the role that handles it in the message's term."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.replica = node.replica

    def receive(self, now: float, sender: Address, message: pb.Message) -> None:
        """Handle a message from the network; a malformed one is dropped and counted by its invalid field."""
        try:
            validate(message)
        except MalformedMessageError as error:
            self._drop(error.field)
            return
        if message.to_disk and message.to_disk != self.replica.disk:
            self._on_message_to_another_disk(now, sender, message)
            return
        match message.kind:
            case pb.HEARTBEAT | pb.APPEND_ENTRIES:
                self._on_heartbeat(now, sender, message)
            case pb.JOIN:
                self._on_join(now, sender, message)
            case pb.LEADER_HINT:
                if not self.replica.is_voter:
                    self.node.learner_role.on_leader_hint(now, sender, message)
            case pb.REMOVED:
                self._on_removed(now, message)
            case _:
                if not reject_removed_member(self.replica, sender, message):
                    self._on_member_message(now, sender, message)

    def _drop(self, reason: str) -> None:
        self.node.dropped_messages[reason] = self.node.dropped_messages.get(reason, 0) + 1

    def _on_message_to_another_disk(self, now: float, sender: Address, message: pb.Message) -> None:
        """Handle a message addressed to a disk that was previously at this address, or to any disk."""
        if message.kind != pb.HEARTBEAT:
            reject_removed_member(self.replica, sender, message)
        elif not self.replica.is_voter:
            self.node.learner_role.on_leader(now, sender, message.term)

    def _on_member_message(self, now: float, sender: Address, message: pb.Message) -> None:
        self.node.timer.record_round_trip(now, message)
        match message.kind:
            case pb.PRE_VOTE:
                self.node.voter.on_pre_vote(sender, message, self._may_vote(now, message))
            case pb.REQUEST_VOTE:
                self._on_request_vote(now, sender, message)
            case pb.TIMEOUT_NOW:
                self._on_timeout_now(now, message)
            case pb.RESTARTED:
                self._on_restarted(now, sender, message)
            case _:
                self._on_response(now, message)

    def _on_response(self, now: float, message: pb.Message) -> None:
        """Handle a response. A later term in it means that this disk's term is over."""
        is_append_response = message.kind == pb.APPEND_RESPONSE
        if message.term > self.replica.term and (is_append_response or not message.granted):
            self.node.enter_term(now, message.term)
            return
        leader_role = self.node.leader_role
        candidate_role = self.node.candidate_role
        if is_append_response:
            if leader_role is not None and message.term == self.replica.term:
                leader_role.on_append_response(now, message)
        elif candidate_role is not None:
            if message.kind == pb.PRE_VOTE_RESPONSE:
                candidate_role.on_pre_vote_response(message)
            elif message.kind == pb.VOTE_RESPONSE:
                candidate_role.on_vote_response(message)

    def _on_heartbeat(self, now: float, sender: Address, message: pb.Message) -> None:
        """Handle a leader's heartbeat, which may carry its newest entry."""
        node = self.node
        replica = self.replica
        if message.term < replica.term:
            node.follower_role.send_append_response(now, sender, message.disk, message.sent_at)
            return
        as_learner = message.kind == pb.APPEND_ENTRIES and not get_entry(message.entry).has_voter(
            replica.disk
        )
        is_leader_itself = node.leader_role is not None and message.term == replica.term
        if is_leader_itself or (as_learner and (replica.is_voter or node.has_left)):
            self._drop(UNEXPECTED_LEADER)
            return
        if message.term > replica.term:
            node.enter_term(now, message.term)
        node.candidate_role = None
        node.cluster_restart.leaderless = False
        if as_learner:
            node.follower_role.accept_as_learner(message)
            node.learner_role.on_leader_entry(now, sender, message.term)
            return
        node.follower_role.on_heartbeat(now, sender, message)
        node.reset_election_timer(now)

    def _may_vote(self, now: float, message: pb.Message) -> bool:
        return self.node.leader_role is None and self.node.voter.may_vote(now, message)

    def _on_request_vote(self, now: float, sender: Address, message: pb.Message) -> None:
        if not self._may_vote(now, message):
            return
        if message.term > self.replica.term:
            self.node.enter_term(now, message.term)
        if self.node.voter.on_request_vote(sender, message):
            self.node.reset_election_timer(now)

    def _on_restarted(self, now: float, sender: Address, message: pb.Message) -> None:
        """Handle a restarted member's query or response.

        Members that hold the same newest entry become candidates one after another: immediately if all
        members have restarted, otherwise as soon as votes are no longer withheld.
        """
        restart = self.node.cluster_restart
        restart.on_restarted(now, sender, message)
        if not restart.leaderless or now >= restart.vote_withheld_until:
            return
        rank = restart.election_rank()
        if rank is None or self.node.candidate_role is not None:
            return
        first_deadline = now if restart.all_members_restarted() else restart.vote_withheld_until
        deadline = first_deadline + rank * self.node.tuning.heartbeat_interval_s
        timer = self.node.timer
        timer.deadline = min(timer.deadline, deadline)
        if now >= timer.deadline:
            self.node.start_election(now)

    def _on_timeout_now(self, now: float, message: pb.Message) -> None:
        """Start an election without a pre-vote: the leader has stepped down in favour of this member."""
        follower = self.node.follower_role
        is_from_leader = follower.leader is not None and message.disk == follower.leader_disk
        if message.term != self.replica.term or not is_from_leader or not self.node.voter.is_eligible(now):
            return
        self.node.reset_election_timer(now)
        follower.leader = None
        retry_interval_s = 2 * self.node.tuning.heartbeat_interval_s
        self.node.candidate_role = CandidateRole(
            self.replica, now, retry_interval_s, leadership_transfer=True
        )

    def _on_join(self, now: float, sender: Address, message: pb.Message) -> None:
        if self.node.leader_role is not None:
            self.node.leader_role.on_join(now, sender, message)
        elif self.node.leader is not None or self.node.members:
            send_leader_hint(self.replica, sender, message.disk, self.node.leader or "")

    def _on_removed(self, now: float, message: pb.Message) -> None:
        """If this disk was removed by an entry newer than its own, join again as a new disk."""
        if last_position(message) > self.replica.entry.position:
            self.node.learner_role.set_core_addresses([m.address for m in message.members])
            self.node.rejoin_as_new_disk(now)
