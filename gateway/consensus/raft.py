"""Raft with a log of a single entry that contains the complete state.

Elections, terms and the commitment rule are those of Raft. A new leader first commits the entry it already
held again in its own term. The entry is sent to members that lack it; heartbeats carry only its position.
Members are disks: a disk that comes back empty is a new member. During a membership change (a joint
configuration), an entry needs majorities of both the old and the new members.
"""

from __future__ import annotations

import random
from enum import StrEnum
from typing import NamedTuple, assert_never

from gateway.consensus.candidate import CandidateRole
from gateway.consensus.cluster_restart import ClusterRestart
from gateway.consensus.election_timer import ElectionTimer
from gateway.consensus.entry import (
    EMPTY_ENTRY,
    Entry,
    Member,
    PersistentState,
    bootstrap_disk,
    bootstrap_entry,
)
from gateway.consensus.events import (
    Event,
    KnownAddresses,
    Leave,
    Propose,
    Received,
    Tick,
    WriteCompleted,
    WriteFailed,
)
from gateway.consensus.follower import FollowerRole
from gateway.consensus.leader import LeaderRole
from gateway.consensus.learner import LearnerRole
from gateway.consensus.message_dispatch import MessageDispatch
from gateway.consensus.outputs import Output, ProposalOutcome, Proposed
from gateway.consensus.replica import Replica
from gateway.consensus.tuning import Tuning
from gateway.consensus.voter import Voter
from gateway.state_machine import Address


class Role(StrEnum):
    """The role of a disk in the consensus group."""

    LEADER = "leader"
    CANDIDATE = "candidate"
    FOLLOWER = "follower"
    LEARNER = "learner"  # not a member; requests membership


class RaftConfig(NamedTuple):
    """Configuration of a node at its start.

    Attributes:
        address: Address at which this process receives messages.
        seeds: Addresses of the seed processes.
        first_start: Whether the system is started for the first time.
        tolerance: The number of members that may be lost at once.
        durable: Whether the disk outlives the process. If not, the disk is a member only if the first start
            made it one, and only until a durable disk replaces it.
        tuning: Timeouts and sizes.
    """

    address: Address
    seeds: tuple[Address, ...]
    first_start: bool = False
    tolerance: int = 1
    durable: bool = True
    tuning: Tuning = Tuning()


class RaftNode:
    """The Raft node of one disk: a state machine without I/O.

    `now`, in seconds of this process's monotonic clock, must be read after the event arrived, because leases
    depend on it. `dropped_messages` counts dropped messages by reason.

    Args:
        config: Configuration of the node.
        stored: The result of `Store.load`. It does not count as durable until it has been saved again,
            because a killed process may have left it unsynced.
        rng: Source of election timeouts, ids and incarnations.
        new_disk_id: A random id, used if this disk is to become a new member.
        now: Seconds of this process's clock.
        process_started_at: When the process started by that clock; None means `now`.
    """

    def __init__(
        self,
        config: RaftConfig,
        stored: PersistentState | None,
        rng: random.Random,
        new_disk_id: str,
        now: float,
        process_started_at: float | None = None,
    ) -> None:
        self.config = config
        self.tuning = config.tuning
        self.rng = rng
        self.replica = Replica(
            config.address, stored or _initial_state(config, new_disk_id), config.tuning, rng
        )
        self.leader_role: LeaderRole | None = None
        self.candidate_role: CandidateRole | None = None
        self.learner_role = LearnerRole(self.replica, config.seeds, wants_membership=config.durable)
        # A disk that has never been used can't have acknowledged a heartbeat.
        restart_s = 0.0 if stored is None else config.tuning.election_min_s * self.replica.timeout_scale
        started_at = now if process_started_at is None else process_started_at
        self.cluster_restart = ClusterRestart(self.replica, now, now + restart_s, started_at)
        self.timer = ElectionTimer(self.replica, now)
        self.follower_role = FollowerRole(self.replica, self.timer, now, leaving=not config.durable)
        self.leaderless_since: float | None = None  # set while this is the leader: see `ClusterRestart`
        self.voter = Voter(self.replica, self.cluster_restart, self.follower_role)
        self.dropped_messages: dict[str, int] = {}
        self.leaving = False  # this process is about to shut down
        self.has_left = False  # its disk was removed from the members after that
        self.message_dispatch = MessageDispatch(self)
        self.reset_election_timer(now)

    @property
    def address(self) -> Address:
        """The address of this process."""
        return self.replica.address

    @property
    def tolerance(self) -> int:
        """The number of members that may be lost at once."""
        return self.config.tolerance

    @property
    def role(self) -> Role:
        """The current role of this disk."""
        if self.leader_role is not None:
            return Role.LEADER
        if not self.replica.is_voter:
            return Role.LEARNER
        return Role.FOLLOWER if self.candidate_role is None else Role.CANDIDATE

    @property
    def leader(self) -> Address | None:
        """The leader's address, if known."""
        if self.leader_role is not None:
            return self.replica.address
        return self.follower_role.leader or (None if self.replica.is_voter else self.learner_role.leader)

    @property
    def members(self) -> tuple[Member, ...]:
        """The members according to the newest entry; empty for a disk that is not a member."""
        return () if self.role is Role.LEARNER else self.replica.entry.members

    @property
    def term(self) -> int:
        """The newest term known; a leader's term is its fencing token."""
        return self.replica.term

    @property
    def committed_version(self) -> int:
        """The version of the newest value known to be committed; 0 if none is."""
        return self.replica.committed_version

    @property
    def committed_entry(self) -> Entry | None:
        """The newest entry known to be committed, with its version and value."""
        return self.replica.committed_entry

    def quorum_contact_until(self) -> float:
        """A lease: until this time of its clock, the process may claim to be in contact with a quorum.

        It may also claim that `committed_entry` is the newest one, or was so at most `election_max_s` ago.
        """
        return (self.leader_role or self.follower_role).quorum_contact_until()

    def has_leader_lease(self, now: float) -> bool:
        """Whether this node is the leader and no other leader can exist now.

        `committed_entry` is then the newest committed entry.
        """
        return self.leader_role is not None and self.leader_role.has_leader_lease(now)

    def handle(self, now: float, event: Event) -> list[Output]:
        """Handle an event; returns the messages, writes and results to be carried out."""
        outputs: list[Output] = []
        self.replica.outputs = outputs
        match event:
            case Received(sender, message):
                self.message_dispatch.receive(now, sender, message)
            case WriteCompleted(token):
                if self.replica.on_write_completed(now, token):
                    self._on_persisted(now)
            case WriteFailed(token):
                self.replica.on_write_failed(now, token)
            case Propose():
                self._propose(now, event)
            case Leave():
                self.leaving = True
                self.follower_role.leaving = True
            case KnownAddresses(addresses):
                self.learner_role.set_core_addresses(addresses)
            case Tick():
                self._tick(now)
            case _:
                assert_never(event)
        self._advance(now)
        self.replica.write_if_needed(now)
        return outputs

    def _propose(self, now: float, event: Propose) -> None:
        if self.leader_role is None:
            self.replica.outputs.append(Proposed(event.token, ProposalOutcome.REJECTED))
        else:
            self.leader_role.propose(now, event)

    def _tick(self, now: float) -> None:
        self.cluster_restart.tick(now)
        self.timer.update(now)
        self.follower_role.reset_unused_scale(now)
        if self.leader_role is not None:
            if not self.leader_role.tick(now, self.follower_role.leaving):
                self.step_down(now)
        elif now >= self.timer.deadline:
            self.start_election(now)
        elif self.candidate_role is not None:
            self.candidate_role.tick(now)
        if not self.replica.is_voter and not self.has_left:
            self.learner_role.tick(now)

    def start_election(self, now: float) -> None:
        """Become a candidate, if allowed, because no leader has sent a heartbeat in time.

        Shortly after this process has started, other members may still withhold their votes, so requests are
        repeated at a shorter interval.
        """
        self.reset_election_timer(now)
        self.follower_role.leader = None
        restart_is_recent = now < self.cluster_restart.vote_withheld_until + self.tuning.election_max_s
        if restart_is_recent:
            retry_interval_s = self.tuning.restart_query_interval_s
        else:
            retry_interval_s = 2 * self.tuning.heartbeat_interval_s * self.timer.timeout_scale
        self.candidate_role = None
        if self.voter.may_start_election(now):
            self.candidate_role = CandidateRole(self.replica, now, retry_interval_s)
        self.learner_role.query_other_addresses()

    def _advance(self, now: float) -> None:
        """Make the winner of an election the leader.

        A leader that has committed its own removal transfers leadership and steps down.
        """
        if self.candidate_role is not None and self.candidate_role.won:
            self.leaderless_since = self.cluster_restart.leaderless_since()
            self.candidate_role = None
            self.follower_role.leader = None
            self.cluster_restart.leaderless = False
            self.leader_role = LeaderRole(self.replica, now, self.tolerance, self.timer)
            return
        leader_role = self.leader_role
        if leader_role is not None and leader_role.newest_entry_committed and not self.replica.is_voter:
            leader_role.transfer_leadership(now)
            self.rejoin_as_new_disk(now)

    def _on_persisted(self, now: float) -> None:
        """Notify each role that a write has become durable."""
        self.voter.on_persisted()
        if self.candidate_role is not None:
            self.candidate_role.on_persisted()
        if self.leader_role is not None:
            self.leader_role.commit_if_replicated(now)
        else:
            self.follower_role.on_persisted(now)
        if not self.replica.is_voter and not self.has_left:
            self.learner_role.report_progress(now)

    def reset_election_timer(self, now: float) -> None:
        """Start a new random election timeout."""
        self.timer.reset(now, self.follower_role.leaving)

    def step_down(self, now: float) -> None:
        """Become a follower without a known leader."""
        if self.leader_role is not None:
            self.leader_role.resign()
            self.leader_role = None
            self.leaderless_since = None
        self.candidate_role = None
        self.follower_role.leader = None
        self.reset_election_timer(now)

    def enter_term(self, now: float, term: int) -> None:
        """Enter a later term announced by another member."""
        if self.leader_role is not None or self.candidate_role is not None:
            self.step_down(now)
        self.follower_role.leader = None
        self.voter.pending_vote = None
        self.replica.enter_term(term)

    def rejoin_as_new_disk(self, now: float) -> None:
        """Discard this disk's entry, which no longer counts, and request membership under a new disk id.

        A process that is shutting down does not request membership again.
        """
        self.step_down(now)
        self.has_left = self.leaving
        self.replica.reset_identity(f"{self.rng.getrandbits(64):016x}")


def _initial_state(config: RaftConfig, new_disk_id: str) -> PersistentState:
    """The state of a disk on which nothing has been stored."""
    if config.first_start and config.address in config.seeds:
        return PersistentState(bootstrap_disk(config.address), 0, "", bootstrap_entry(config.seeds))
    return PersistentState(new_disk_id, 0, "", EMPTY_ENTRY)
