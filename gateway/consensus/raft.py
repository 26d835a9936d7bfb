"""The agreement on the configuration: Raft with a log of one entry, which is the whole state.

Elections, terms and the rule of commitment are Raft's. A leader first has what it held agreed on anew in its
own term. An entry goes to those who lack it; beats carry no more than its place. Members are disks: one that
comes back empty is a new one. While members change, an entry needs majorities of the old and of the new ones.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from gateway.consensus import consensus_pb2 as pb
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
from gateway.consensus.learner import LearnerRole, reject_removed_member, send_leader_hint
from gateway.consensus.records import (
    EMPTY_ENTRY,
    Entry,
    Member,
    PersistentState,
    bootstrap_entry,
    get_entry,
    malformed_reason,
)
from gateway.consensus.replica import Replica
from gateway.consensus.voter import Voter
from gateway.state_machine import Address

MAX_CANDIDATE_WRITE_STALL_S = 0.3  # without headway of the disk: no candidate


class RaftNode:
    """One disk's part. `now` must be read after the input came, for leases rest on it.

    `stored` is what `Store.load` gave: it counts once it is saved, for a kill may have left it unsynced;
    `fresh` the first start of the whole system; `seeds` the own ports of the seeds; `new_disk_id` a random
    name, used if this disk is to be a new member; `tolerance` how many members may be lost at once.
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
    ) -> None:
        blank = stored is None
        if stored is None and fresh and me in seeds:
            stored = PersistentState("first-" + me, 0, "", bootstrap_entry(seeds))
        self.replica = Replica(me, stored or PersistentState(new_disk_id, 0, "", EMPTY_ENTRY), tuning, rng)
        self.tuning, self.rng, self.tolerance = tuning, rng, tolerance
        self.leader_role: LeaderRole | None = None
        self.candidate_role: CandidateRole | None = None
        self.learner_role = LearnerRole(self.replica, seeds)
        self.follower_role = FollowerRole(self.replica, now - tuning.election_min_s)
        self.cold_start = ColdStart(
            self.replica, now, now if blank else now + tuning.election_min_s, now if began is None else began
        )
        self.leaderless_since: float | None = None  # of the leader that this is: see `ColdStart`
        self.voter = Voter(self.replica, self.cold_start)
        self.dropped: dict[str, int] = {}
        self.leaving = self.left = False  # asked to leave; and no member any more
        self.next_leave_request_at = self.election_deadline = now
        self._reset_election_timer(now)

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
            self._receive(now, event.sender, event.message)
        elif isinstance(event, WriteCompleted):
            if self.replica.written(now, event.token):
                self._on_persisted(now)
        elif isinstance(event, WriteFailed):
            self.replica.failed(now, event.token)
        elif isinstance(event, Propose):
            self._propose(now, event)
        elif isinstance(event, Leave):
            self.leaving = True
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
        follower_role = self.follower_role
        self.cold_start.tick(now)
        if self.leader_role is not None:
            if not self.leader_role.tick(now, self.leaving):
                self._step_down(now)
        elif now >= self.election_deadline:
            self._start_election(now)
        elif self.candidate_role is not None:
            self.candidate_role.tick(now)
        if not self.replica.is_voter:
            if not self.left:
                self.learner_role.tick(now)
        elif self.leaving and follower_role.leader is not None and now >= self.next_leave_request_at:
            self.next_leave_request_at = now + self.tuning.request_interval_s
            self.replica.send(
                follower_role.leader, self.replica.message_with_last_position(pb.LEAVE, follower_role.disk)
            )

    def _start_election(self, now: float) -> None:
        """No leader is heard: try to be one. Early in a life others may not be free yet, so ask often."""
        self._reset_election_timer(now)
        self.follower_role.leader = None
        early = now < self.cold_start.until + self.tuning.election_max_s
        retry_interval_s = (
            self.tuning.restart_query_interval_s if early else 2 * self.tuning.heartbeat_interval_s
        )
        self.candidate_role = (
            CandidateRole(self.replica, now, retry_interval_s) if self._may_start_election(now) else None
        )
        self.learner_role.probe_other_addresses()

    def _advance(self, now: float) -> None:
        """A campaign that is won makes a leader. One that has led itself out of the members is done."""
        if self.candidate_role is not None and self.candidate_role.won:
            self.leaderless_since = self.cold_start.leaderless_since()
            self.candidate_role, self.follower_role.leader, self.cold_start.leaderless = None, None, False
            self.leader_role = LeaderRole(self.replica, now, self.tolerance)
        elif (
            self.leader_role is not None
            and self.leader_role.newest_entry_committed
            and not self.replica.is_voter
        ):
            self.leader_role.transfer_leadership(now)
            self._rejoin_as_new_disk(now)

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

    def _may_start_election(self, now: float) -> bool:
        return (
            not self.leaving
            and self.replica.is_voter
            and self.replica.write_stalled_s(now) <= MAX_CANDIDATE_WRITE_STALL_S
        )

    def _reset_election_timer(self, now: float) -> None:
        self.election_deadline = now + self.rng.uniform(
            self.tuning.election_min_s, self.tuning.election_max_s
        )

    def _step_down(self, now: float) -> None:
        if self.leader_role is not None:
            self.leader_role.resign()
            self.leader_role = self.leaderless_since = None
        self.candidate_role = self.follower_role.leader = None
        self._reset_election_timer(now)

    def _enter_term(self, now: float, term: int) -> None:
        """Go on to a later term that someone has told of."""
        if self.leader_role is not None or self.candidate_role is not None:
            self._step_down(now)
        self.follower_role.leader = self.voter.pending_vote_reply = None
        self.replica.enter_term(term)

    def _receive(self, now: float, sender: Address, message: pb.Message) -> None:
        why = malformed_reason(message)
        if why:
            return self._drop(why)
        kind, replica = message.kind, self.replica
        if message.to_disk and message.to_disk != replica.disk:
            if kind != pb.HEARTBEAT:  # meant for a disk that was here before, or for anyone
                reject_removed_member(replica, sender, message)
            elif not replica.is_voter:
                self.learner_role.on_leader(now, sender, message.term)
        elif kind == pb.HEARTBEAT or kind == pb.APPEND_ENTRIES:
            self._on_heartbeat(now, sender, message)
        elif kind == pb.JOIN:
            self._join(now, sender, message)
        elif kind == pb.LEADER_HINT:
            if not replica.is_voter:
                self.learner_role.on_hint(now, sender, message)
        elif kind == pb.REMOVED:
            self._on_removed(now, message)
        elif not reject_removed_member(replica, sender, message):
            self._handle_member_message(now, sender, message)

    def _drop(self, why: str) -> None:
        self.dropped[why] = self.dropped.get(why, 0) + 1

    def _handle_member_message(self, now: float, sender: Address, message: pb.Message) -> None:
        kind = message.kind
        if kind == pb.PRE_VOTE:
            self.voter.pre_vote(sender, message, self._may_vote(now, message))
        elif kind == pb.REQUEST_VOTE:
            self._request_vote(now, sender, message)
        elif kind == pb.TIMEOUT_NOW:
            self._on_timeout_now(now, message)
        elif kind == pb.LEAVE:
            if self.leader_role is not None:
                self.leader_role.leave(now, message)
        elif kind == pb.RESTARTED:
            self._on_restarted(now, sender, message)
        elif message.term > self.replica.term and (kind == pb.APPEND_RESPONSE or not message.granted):
            self._enter_term(now, message.term)
        elif kind == pb.APPEND_RESPONSE:
            if self.leader_role is not None and message.term == self.replica.term:
                self.leader_role.on_append_response(now, message)
        elif self.candidate_role is not None:
            (
                self.candidate_role.on_pre_vote_response
                if kind == pb.PRE_VOTE_RESPONSE
                else self.candidate_role.on_vote_response
            )(message)

    def _on_heartbeat(self, now: float, sender: Address, message: pb.Message) -> None:
        """The leader is heard, with its newest entry perhaps."""
        replica = self.replica
        if message.term < replica.term:
            return self.follower_role.send_append_response(now, sender, message.disk, message.sent)
        learns = message.kind == pb.APPEND_ENTRIES and not get_entry(message.entry).has_voter(replica.disk)
        if (
            self.leader_role is not None
            and message.term == replica.term
            or learns
            and (replica.is_voter or self.left)
        ):
            return self._drop("leader")
        if message.term > replica.term:
            self._enter_term(now, message.term)
        self.candidate_role, self.cold_start.leaderless = None, False
        if learns:
            self.follower_role.learn(message)
            return self.learner_role.on_leader_entry(now, sender, message.term)
        self._reset_election_timer(now)
        self.follower_role.on_heartbeat(now, sender, message)

    def _may_vote(self, now: float, message: pb.Message) -> bool:
        return self.leader_role is None and self.voter.may_vote(now, self.follower_role.heard, message)

    def _request_vote(self, now: float, sender: Address, message: pb.Message) -> None:
        if not self._may_vote(now, message):
            return
        if message.term > self.replica.term:
            self._enter_term(now, message.term)
        if self.voter.request_vote(sender, message):
            self._reset_election_timer(now)

    def _on_restarted(self, now: float, sender: Address, message: pb.Message) -> None:
        """Others have begun anew: one after the other stands, if all have at once, else as soon as it may."""
        cold_start = self.cold_start
        cold_start.on_restarted(now, sender, message)
        election_rank = (
            cold_start.election_rank() if cold_start.leaderless and now < cold_start.until else None
        )
        if election_rank is not None and self.candidate_role is None:
            begins = now if cold_start.all_members_restarted() else cold_start.until
            self.election_deadline = min(
                self.election_deadline, begins + election_rank * self.tuning.heartbeat_interval_s
            )
            if now >= self.election_deadline:
                self._start_election(now)

    def _on_timeout_now(self, now: float, message: pb.Message) -> None:
        """The leader has stepped down in favour of this one."""
        if (
            message.term == self.replica.term
            and self.follower_role.leader is not None
            and message.disk == self.follower_role.disk
            and self._may_start_election(now)
        ):
            self._reset_election_timer(now)
            self.follower_role.leader = None
            self.candidate_role = CandidateRole(
                self.replica, now, 2 * self.tuning.heartbeat_interval_s, leadership_transfer=True
            )

    def _join(self, now: float, sender: Address, message: pb.Message) -> None:
        if self.leader_role is not None:
            self.leader_role.join(now, sender, message)
        elif self.leader is not None or self.members:
            send_leader_hint(self.replica, sender, message.disk, self.leader or "")

    def _on_removed(self, now: float, message: pb.Message) -> None:
        """This disk is no member any more."""
        if (message.last_term, message.last_index) > self.replica.entry.position:
            self.learner_role.learn([m.address for m in message.members])
            self._rejoin_as_new_disk(now)

    def _rejoin_as_new_disk(self, now: float) -> None:
        """What this disk holds counts for nothing any more; it asks to be a member, unless it is to end."""
        self._step_down(now)
        self.left = self.leaving
        self.replica.reset_identity(f"{self.rng.getrandbits(64):016x}")
