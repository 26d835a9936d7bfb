"""Consensus on the configuration: Raft with a log of one entry, which is the whole state.

Elections, terms and the commitment rule are Raft's. A leader first commits what it held again in its own
term. The entry is sent to members that lack it; heartbeats carry only its position. Members are disks: one
that comes back empty is a new member. During a membership change (a joint configuration), an entry needs
majorities of both the old and the new members.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from gateway.consensus.api import (
    Event,
    KnownAddresses,
    Leave,
    Output,
    Propose,
    Proposed,
    Received,
    Tuning,
    WriteCompleted,
    WriteFailed,
)
from gateway.consensus.candidate import CandidateRole
from gateway.consensus.cold_start import ColdStart
from gateway.consensus.follower import FollowerRole
from gateway.consensus.leader import LeaderRole
from gateway.consensus.learner import LearnerRole
from gateway.consensus.message_dispatch import MessageDispatch
from gateway.consensus.records import (
    EMPTY_ENTRY,
    Entry,
    Member,
    PersistentState,
    bootstrap_entry,
)
from gateway.consensus.replica import Replica
from gateway.consensus.timing import Timing
from gateway.consensus.voter import Voter
from gateway.state_machine import Address


class RaftNode:
    """One disk's Raft node, a state machine without I/O. `now`, in seconds of this process's steady clock,
    must be read after the event arrived, because leases rest on it.

    `stored` is the result of `Store.load`; it counts only once it is saved again, since a killed process may
    have left it unsynced. `fresh` means the first start of the whole system. `seeds` are the addresses of
    the seeds' processes, `new_disk_id` is a random id, used if this disk is to be a new member, `tolerance`
    the number of members that may be lost at once. A process whose disk isn't `durable` is a member only if
    the first start made it one, until durable disks replace it. `began` is when the process began, by
    default `now`. `dropped` counts malformed messages by reason.
    """

    def __init__(
        self,
        me: Address,
        stored: PersistentState | None,
        fresh: bool,
        seeds: Sequence[Address],
        rng: random.Random,
        tuning: Tuning,
        new_disk_id: str,
        tolerance: int,
        now: float,
        began: float | None = None,
        durable: bool = True,
    ) -> None:
        blank = stored is None
        if stored is None and fresh and me in seeds:
            stored = PersistentState("first-" + me, 0, "", bootstrap_entry(seeds))
        self.replica = Replica(me, stored or PersistentState(new_disk_id, 0, "", EMPTY_ENTRY), tuning, rng)
        self.tuning = tuning
        self.rng = rng
        self.tolerance = tolerance
        self.leader_role: LeaderRole | None = None
        self.candidate_role: CandidateRole | None = None
        self.learner_role = LearnerRole(self.replica, seeds, durable)
        until = now if blank else now + tuning.election_min_s * self.replica.stretch
        self.cold_start = ColdStart(self.replica, now, until, now if began is None else began)
        self.timing = Timing(self.replica, now)
        self.follower_role = FollowerRole(self.replica, self.timing, now, leaving=not durable)
        self.leaderless_since: float | None = None  # set while this is the leader: see `ColdStart`
        self.voter = Voter(self.replica, self.cold_start, self.follower_role)
        self.dropped: dict[str, int] = {}
        # asked to leave; and removed from the members after that
        self.leaving = False
        self.left = False
        self.message_dispatch = MessageDispatch(self)
        self.reset_election_timer(now)

    @property
    def role(self) -> str:
        """`leader`, `candidate`, `follower` or `learner` (not a member; asks to be one)."""
        if self.leader_role is not None:
            return "leader"
        if not self.replica.is_voter:
            return "learner"
        return "follower" if self.candidate_role is None else "candidate"

    @property
    def leader(self) -> Address | None:
        """The leader's address, as far as known."""
        if self.leader_role is not None:
            return self.replica.me
        return self.follower_role.leader or (None if self.replica.is_voter else self.learner_role.leader)

    @property
    def members(self) -> tuple[Member, ...]:
        """The members by the newest entry held; none for a disk that isn't one."""
        return () if self.role == "learner" else self.replica.entry.members

    @property
    def term(self) -> int:
        """The newest term known; a leader's term is its fencing token."""
        return self.replica.term

    @property
    def committed(self) -> int:
        """The version of the newest value known to be committed; 0 if none is."""
        return self.replica.committed_version

    @property
    def value(self) -> Entry | None:
        """The newest entry known to be committed, with its version and value."""
        return self.replica.committed_entry

    def quorum_contact_until(self) -> float:
        """A lease by this process's clock: until then it may claim to be in contact with a quorum, and that
        `value` is the newest committed one, or was at most `election_max_s` ago."""
        return (self.leader_role or self.follower_role).quorum_contact_until()

    def has_leader_lease(self, now: float) -> bool:
        """Whether this is the leader, there can't be another one now, and `value` is the newest committed
        one."""
        return self.leader_role is not None and self.leader_role.has_leader_lease(now)

    def handle(self, now: float, event: Event) -> list[Output]:
        """Handle an event; returns what is to be sent, written and reported."""
        out = self.replica.out = []
        if isinstance(event, Received):
            self.message_dispatch.receive(now, event.sender, event.message)
        elif isinstance(event, WriteCompleted):
            if self.replica.written(now, event.token):
                self._on_persisted(now)
        elif isinstance(event, WriteFailed):
            self.replica.failed(now, event.token)
        elif isinstance(event, Propose):
            self._propose(now, event)
        elif isinstance(event, Leave):
            self.leaving = True
            self.follower_role.leaving = True
        elif isinstance(event, KnownAddresses):
            self.learner_role.learn(event.addresses)
        else:
            self._tick(now)
        self._advance(now)
        self.replica.save(now)
        return out

    def _propose(self, now: float, event: Propose) -> None:
        if self.leader_role is None:
            self.replica.out.append(Proposed(event.token, "refused"))
        else:
            self.leader_role.propose(now, event)

    def _tick(self, now: float) -> None:
        self.cold_start.tick(now)
        self.timing.update(now)
        self.follower_role.relax(now)
        if self.leader_role is not None:
            if not self.leader_role.tick(now, self.follower_role.leaving):
                self.step_down(now)
        elif now >= self.timing.election_deadline:
            self.start_election(now)
        elif self.candidate_role is not None:
            self.candidate_role.tick(now)
        if not self.replica.is_voter and not self.left:
            self.learner_role.tick(now)

    def start_election(self, now: float) -> None:
        """No leader is heard: become a candidate, if this disk may. Soon after the process began, other
        members may still withhold their votes, so requests are repeated often."""
        self.reset_election_timer(now)
        self.follower_role.leader = None
        may = self.voter.may_stand(now)
        early = now < self.cold_start.until + self.tuning.election_max_s
        retry_interval_s = 2 * self.tuning.heartbeat_interval_s * self.timing.stretch
        if early:
            retry_interval_s = self.tuning.restart_query_interval_s
        self.candidate_role = CandidateRole(self.replica, now, retry_interval_s) if may else None
        self.learner_role.probe_other_addresses()

    def _advance(self, now: float) -> None:
        """Make the winner of an election the leader. A leader that has committed its own removal hands over
        and steps down."""
        if self.candidate_role is not None and self.candidate_role.won:
            self.leaderless_since = self.cold_start.leaderless_since()
            self.candidate_role = None
            self.follower_role.leader = None
            self.cold_start.leaderless = False
            self.leader_role = LeaderRole(self.replica, now, self.tolerance, self.timing)
        elif (
            self.leader_role is not None
            and self.leader_role.newest_entry_committed
            and not self.replica.is_voter
        ):
            self.leader_role.transfer_leadership(now)
            self.rejoin_as_new_disk(now)

    def _on_persisted(self, now: float) -> None:
        """A write is durable: let each role act on it."""
        self.voter.on_persisted()
        if self.candidate_role is not None:
            self.candidate_role.on_persisted()
        if self.leader_role is not None:
            self.leader_role.count(now)
        else:
            self.follower_role.on_persisted(now)
        if not self.replica.is_voter and not self.left:
            self.learner_role.report_progress(now)

    def reset_election_timer(self, now: float) -> None:
        """Wait for a leader for a new random election timeout."""
        self.timing.reset_election_timer(now, self.follower_role.leaving)

    def step_down(self, now: float) -> None:
        """Become a follower that knows of no leader."""
        if self.leader_role is not None:
            self.leader_role.resign()
            self.leader_role = None
            self.leaderless_since = None
        self.candidate_role = None
        self.follower_role.leader = None
        self.reset_election_timer(now)

    def enter_term(self, now: float, term: int) -> None:
        """Enter a later term that another member has announced."""
        if self.leader_role is not None or self.candidate_role is not None:
            self.step_down(now)
        self.follower_role.leader = None
        self.voter.pending_vote_reply = None
        self.replica.enter_term(term)

    def rejoin_as_new_disk(self, now: float) -> None:
        """Drop what this disk holds, which doesn't count any more, and ask to be a member under a new id,
        unless this process is leaving."""
        self.step_down(now)
        self.left = self.leaving
        self.replica.reset_identity(f"{self.rng.getrandbits(64):016x}")
