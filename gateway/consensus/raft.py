"""The agreement on the configuration: Raft with a log of one entry, which is the whole state.

Elections, terms and the rule of commitment are Raft's. A leader first has what it held agreed on anew in its
own term. An entry goes to those who lack it; beats carry no more than its place. Members are disks: one that
comes back empty is a new one. While members change, an entry needs majorities of the old and of the new ones.
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
    """One disk's part. `now` must be read after the input came, for leases rest on it.

    `stored` is what `Store.load` gave: it counts once it is saved, for a kill may have left it unsynced;
    `fresh` the first start of the whole system; `seeds` the own ports of the seeds; `new_disk_id` a random
    name, used if this disk is to be a new member; `tolerance` how many members may be lost at once. Where the
    disk isn't `durable`, this is a member only if the first start has made it one, until durable ones come.
    `dropped` counts notes that made no sense, by why.
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
        self.tuning, self.rng, self.tolerance = tuning, rng, tolerance
        self.leader_role: LeaderRole | None = None
        self.candidate_role: CandidateRole | None = None
        self.learner_role = LearnerRole(self.replica, seeds, durable)
        until = now if blank else now + tuning.election_min_s * self.replica.stretch
        self.cold_start = ColdStart(self.replica, now, until, now if began is None else began)
        self.timing = Timing(self.replica, now)
        self.follower_role = FollowerRole(self.replica, self.timing, now, leaving=not durable)
        self.leaderless_since: float | None = None  # of the leader that this is: see `ColdStart`
        self.voter = Voter(self.replica, self.cold_start, self.follower_role)
        self.dropped: dict[str, int] = {}
        self.leaving = self.left = False  # asked to leave; and no member any more
        self.message_dispatch = MessageDispatch(self)
        self.reset_election_timer(now)

    @property
    def role(self) -> str:
        """`leader`, `candidate`, `follower` or `joining disk` (no member, asks to be one)."""
        if self.leader_role is not None:
            return "leader"
        if not self.replica.is_voter:
            return "learner"
        return "follower" if self.candidate_role is None else "candidate"

    @property
    def leader(self) -> Address | None:
        """Who leads, as far as known."""
        if self.leader_role is not None:
            return self.replica.me
        return self.follower_role.leader or (None if self.replica.is_voter else self.learner_role.leader)

    @property
    def members(self) -> tuple[Member, ...]:
        """The members by the newest entry held; none for a disk that isn't one."""
        return () if self.role == "learner" else self.replica.entry.members

    @property
    def term(self) -> int:
        """The newest term known; a leader's is its fence."""
        return self.replica.term

    @property
    def committed(self) -> int:
        """Version of the newest value known to be committed; 0 if none."""
        return self.replica.committed_version

    @property
    def value(self) -> Entry | None:
        """The newest entry known to be committed, with its version and value."""
        return self.replica.committed_entry

    def quorum_contact_until(self) -> float:
        """A lease by this process's clock: until then it may say that it is in touch with a majority, and
        that `value` is the newest there is, or was at most `election_max_s` ago."""
        return (self.leader_role or self.follower_role).quorum_contact_until()

    def has_leader_lease(self, now: float) -> bool:
        """Is this the leader, can't there be another, and is `value` the newest there is?"""
        return self.leader_role is not None and self.leader_role.has_leader_lease(now)

    def handle(self, now: float, event: Event) -> list[Output]:
        """Take an input; what is to be sent, written and told."""
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
            self.leaving = self.follower_role.leaving = True
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
        """No leader is heard: try to be one. Early in a life others may not be free yet, so ask often."""
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
        """A campaign that is won makes a leader. One that has led itself out of the members is done."""
        if self.candidate_role is not None and self.candidate_role.won:
            self.leaderless_since = self.cold_start.leaderless_since()
            self.candidate_role, self.follower_role.leader, self.cold_start.leaderless = None, None, False
            self.leader_role = LeaderRole(self.replica, now, self.tolerance, self.timing)
        elif (
            self.leader_role is not None
            and self.leader_role.newest_entry_committed
            and not self.replica.is_voter
        ):
            self.leader_role.transfer_leadership(now)
            self.rejoin_as_new_disk(now)

    def _on_persisted(self, now: float) -> None:
        """More is on disk: tell those whom it concerns."""
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
        """Wait for the leader anew, for a random election timeout."""
        self.timing.reset_election_timer(now, self.follower_role.leaving)

    def step_down(self, now: float) -> None:
        """Be a follower that knows of no leader."""
        if self.leader_role is not None:
            self.leader_role.resign()
            self.leader_role = self.leaderless_since = None
        self.candidate_role = self.follower_role.leader = None
        self.reset_election_timer(now)

    def enter_term(self, now: float, term: int) -> None:
        """Go on to a later term that someone has told of."""
        if self.leader_role is not None or self.candidate_role is not None:
            self.step_down(now)
        self.follower_role.leader = self.voter.pending_vote_reply = None
        self.replica.enter_term(term)

    def rejoin_as_new_disk(self, now: float) -> None:
        """What this disk holds counts for nothing any more; it asks to be a member, unless it is to end."""
        self.step_down(now)
        self.left = self.leaving
        self.replica.reset_identity(f"{self.rng.getrandbits(64):016x}")
