"""The leader role: proposals, commitment, membership changes and leadership transfer."""

from __future__ import annotations

from gateway.consensus import consensus_pb2 as pb
from gateway.consensus.api import Propose, Proposed
from gateway.consensus.learner import send_leader_hint, send_removed
from gateway.consensus.reconfiguration import JoinRequests, MemberHealth, has_room, next_configuration
from gateway.consensus.records import LogPosition, Member
from gateway.consensus.replica import Replica
from gateway.consensus.replication import Peer, Replication
from gateway.consensus.timing import Timing
from gateway.state_machine import Address

MAX_TRANSFER_WAIT_S = 1.0  # that a leadership transfer waits for the uncommitted entry


class LeaderRole:
    """The state of a leader during its term. Its first entry repeats what it held, so as to commit that in
    its own term; at most one entry is uncommitted at a time.

    `tolerance` is the number of members whose simultaneous loss the core must survive.
    """

    def __init__(self, replica: Replica, now: float, tolerance: int, timing: Timing) -> None:
        self.replica = replica
        self.tolerance = tolerance
        self.timing = timing
        timing.lead()
        self.replication = Replication(replica, now, timing)
        self.join_requests = JoinRequests()
        self.proposal: Propose | None = None
        # when the proposal came, and whether its entry is being replicated
        self.proposed_at = now
        self.proposal_in_flight = False
        self.removed: list[Member] = []
        self.next_reconfiguration_check_at = now
        self.replication.replicate(now, replica.entry)

    @property
    def peers(self) -> dict[str, Peer]:
        """The other voters, by disk."""
        return self.replication.peers

    @property
    def lease(self) -> float:
        """Until when no other leader can be elected, by this process's clock: `Replication.renew_lease`."""
        return self.replication.lease

    @property
    def newest_entry_committed(self) -> bool:
        """Whether the newest entry, which is one of this term, is committed."""
        return self.replication.newest_entry_committed

    def has_leader_lease(self, now: float) -> bool:
        """Whether there can't be another leader now, and the newest committed entry is known."""
        return self.replication.has_leader_lease(now)

    def quorum_contact_until(self) -> float:
        """See `RaftNode.quorum_contact_until`."""
        return self.replication.quorum_contact_until()

    def tick(self, now: float, leaving: bool) -> bool:
        """Send due heartbeats and entries, and begin a due membership change. False if it must step down."""
        self._make_way(now, leaving)
        ready = self.replication.transfer_since is not None and (
            self.newest_entry_committed or now - self.replication.transfer_since > MAX_TRANSFER_WAIT_S
        )
        sick = self.replica.write_stalled_s(now) > self.replica.tuning.max_write_stall_s
        if self.replication.has_lost_quorum(now) or (ready or sick) and self.transfer_leadership(now):
            return False
        if (
            self.proposal is not None
            and not self.proposal_in_flight
            and now - self.proposed_at > self.replica.tuning.max_proposal_wait_s
        ):
            self._answer("refused")
        self._start_reconfiguration_if_due(now)
        if now >= self.replication.next_heartbeat_at:
            self.replication.broadcast(now)
        return True

    def propose(self, now: float, proposal: Propose) -> None:
        """Accept a proposal, to be replicated at once or when the uncommitted entry is committed. It is
        refused while another one is pending or a leadership transfer is under way."""
        if self.proposal is not None or self.replication.transfer_since is not None:
            self.replica.out.append(Proposed(proposal.token, "refused"))
            return
        self.proposal = proposal
        self.proposed_at = now
        self.proposal_in_flight = False
        self._start_waiting_proposal(now)

    def on_append_response(self, now: float, message: pb.Message) -> None:
        """A member has acknowledged a heartbeat or an entry."""
        if self.replication.on_append_response(now, message):
            self.count(now)

    def count(self, now: float) -> None:
        """Commit the newest entry if it is on the disks of a quorum, and continue with what waited for that.

        A committed joint configuration is followed by the entry that has the new members alone.
        """
        replica = self.replica
        entry = self.replica.entry
        if self.newest_entry_committed:
            return
        disks = {p.disk for p in self.peers.values() if p.durable_position == entry.position}
        if replica.newest_entry_persisted():
            disks.add(replica.disk)
        if not entry.has_quorum(disks):
            return
        replica.commit(entry)
        if self.proposal_in_flight:
            self._answer("done")
        if entry.outgoing:
            self.removed = [m for m in entry.outgoing if m not in entry.members]
            self.replication.replicate(now, entry._replace(outgoing=()))
            return
        for member in self.removed:
            send_removed(replica, entry, member.address, member.disk)
        self.removed = []
        self._start_reconfiguration_if_due(now)
        self._start_waiting_proposal(now)
        if self.newest_entry_committed:
            self.replication.broadcast(now)

    def join(self, now: float, sender: Address, message: pb.Message) -> None:
        """Handle a join request: answer with a hint, and note the disk if it already has this leader's hint
        (which the request's term shows)."""
        replica = self.replica
        known = self.replica.committed_entry
        if message.disk in self.replication.past_members:  # a removed disk never rejoins under its old id
            if (
                known is not None
                and not replica.entry.has_voter(message.disk)
                and not known.has_voter(message.disk)
            ):
                send_removed(replica, known, sender, message.disk)
        elif message.term == replica.term:
            self.join_requests.add(now, message.disk, sender)
            self._update_learner(
                now,
                Member(message.disk, sender),
                (message.last_term, message.last_index),
                (message.durable_term, message.durable_index),
            )
        send_leader_hint(self.replica, sender, message.disk, self.replica.me)

    def _update_learner(
        self, now: float, member: Member, last_position: LogPosition, durable_position: LogPosition
    ) -> None:
        """Note what a joining disk holds, and holds on disk; it is sent the newest entry before it may be
        chosen as a member."""
        peer = self.replication.learners.get(member.disk)
        if peer is None or peer.address != member.address:
            peer = Peer(member, now)
            peer.wait = self.replication.resend_s
        peer.heard = now
        peer.last_position = last_position
        peer.durable_position = durable_position
        self.replication.learners[member.disk] = peer
        if durable_position == self.replica.entry.position:
            self.next_reconfiguration_check_at = now
        elif self.newest_entry_committed:
            self._replicate_to_learners(now)

    def _replicate_to_learners(self, now: float) -> None:
        """Send the newest entry, which is committed, to learners that lack it, if there is room for one."""
        replica = self.replica
        self.replication.learners = {
            d: p for d, p in self.replication.learners.items() if d in self.join_requests.askers
        }
        if has_room(replica.entry.members, self.member_health(now), replica.tuning):
            for peer in self.replication.learners.values():
                if peer.last_position != replica.entry.position and now >= peer.next:
                    self.replication.send_entry(now, peer, peer.last_position == self.replication.base)

    def _make_way(self, now: float, leaving: bool) -> None:
        """When leaving, prepare a leadership transfer (which refuses proposals) while a successor is
        available; without one, go on leading."""
        if not leaving or not self._heirs(now):
            self.replication.transfer_since = None
        elif self.replication.transfer_since is None:
            self.replication.transfer_since = now

    def _heirs(self, now: float) -> list[Peer]:
        """Members that may lead next: they stay, have answered within the election timeout, are in the new
        configuration, and have the newest entry on disk if that is committed."""
        entry = self.replica.entry
        oldest = now - self.replica.tuning.election_min_s * self.timing.stretch
        members = {m.disk for m in entry.members}
        return [
            p
            for p in self.peers.values()
            if not p.leaving
            and p.acknowledged_at >= oldest
            and p.disk in members
            and (p.durable_position == entry.position or not self.newest_entry_committed)
        ]

    def transfer_leadership(self, now: float) -> bool:
        """Ask the most recently heard successor that has the newest entry on disk to begin an election. If
        True, this leader must step down."""
        replica = self.replica
        able = [p for p in self._heirs(now) if p.durable_position == replica.entry.position]
        if not able:
            return False
        successor = max(able, key=lambda p: p.acknowledged_at)
        replica.send(successor.address, replica.message(pb.TIMEOUT_NOW, successor.disk))
        return True

    def resign(self) -> None:
        """Stop leading: report a pending proposal's outcome, which is `unknown` once it was replicated."""
        if self.proposal is not None:
            self._answer("unknown" if self.proposal_in_flight else "refused")

    def _answer(self, outcome: str) -> None:
        if self.proposal is not None:
            self.replica.out.append(Proposed(self.proposal.token, outcome))
        self.proposal = None
        self.proposal_in_flight = False

    def _start_waiting_proposal(self, now: float) -> None:
        """Replicate the pending proposal if no entry is uncommitted and no membership change under way."""
        proposal = self.proposal
        if (
            proposal is None
            or self.proposal_in_flight
            or not self.newest_entry_committed
            or self.replica.entry.outgoing
        ):
            return
        entry = self.replica.entry
        if proposal.expected != entry.version:
            self._answer("refused")
            return
        self.proposal_in_flight = True
        self.replication.replicate(
            now, entry._replace(version=entry.version + 1, value=proposal.value), new_value=True
        )

    def _start_reconfiguration_if_due(self, now: float) -> None:
        """Begin a membership change if one is due and no proposal is pending.

        A new member must have on disk an entry that was the newest no longer ago than the election timeout.
        """
        if (
            now < self.next_reconfiguration_check_at
            or not self.newest_entry_committed
            or not self.has_leader_lease(now)
        ):
            return
        entry = self.replica.entry
        t = self.replica.tuning
        self.next_reconfiguration_check_at = now + t.heartbeat_interval_s
        join_requests = [
            a
            for a in self.join_requests.fresh(now, 3 * t.request_interval_s)
            if a.member.disk not in self.replication.past_members
        ]
        self._replicate_to_learners(now)
        if self.proposal is not None:
            return
        longest = t.election_min_s * self.timing.stretch
        late = {position for position, at in self.replication.recent_entries.items() if now - at > longest}
        fresh = {entry.position, *self.replication.recent_entries} - late
        able = [
            a for a in join_requests if self.replication.learners[a.member.disk].durable_position in fresh
        ]
        members = next_configuration(now, entry.members, self.member_health(now), able, self.tolerance, t)
        if members is not None:
            self.replication.replicate(now, entry._replace(members=members, outgoing=entry.members))

    def member_health(self, now: float) -> dict[str, MemberHealth]:
        """What is known of the reachability of each other voter, by disk."""
        t = self.replica.tuning
        return {
            p.disk: MemberHealth(
                now - max(p.heard, p.began), now - p.heard <= t.presence_timeout_s, p.leaving
            )
            for p in self.peers.values()
        }
