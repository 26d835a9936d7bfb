"""The leader's part: proposals, commitment, changes of members and leadership transfer."""

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

MAX_TRANSFER_WAIT_S = 1.0  # that handing over waits for the entry under way


class LeaderRole:
    """A term as its leader. Its first entry is what it held; one entry is under way at a time."""

    def __init__(self, replica: Replica, now: float, tolerance: int, timing: Timing) -> None:
        self.replica, self.tolerance, self.timing = replica, tolerance, timing
        timing.lead()
        self.replication = Replication(replica, now, timing)
        self.join_requests = JoinRequests()
        self.proposal: Propose | None = None
        self.proposed_at, self.proposal_in_flight = (
            now,
            False,
        )  # the proposal: when it came, and is it under way
        self.removed: list[Member] = []
        self.next_reconfiguration_check_at = now
        self.replication.replicate(now, replica.entry)

    @property
    def peers(self) -> dict[str, Peer]:
        """The other members, by disk."""
        return self.replication.peers

    @property
    def lease(self) -> float:
        """Until when no other can be elected: see `Replication.renew_lease`."""
        return self.replication.lease

    @property
    def newest_entry_committed(self) -> bool:
        """Is the newest entry, one of this term, known to be committed?"""
        return self.replication.newest_entry_committed

    def has_leader_lease(self, now: float) -> bool:
        """Can't there be another leader now, and is what is committed known?"""
        return self.replication.has_leader_lease(now)

    def quorum_contact_until(self) -> float:
        """See `RaftNode`."""
        return self.replication.quorum_contact_until()

    def tick(self, now: float, leaving: bool) -> bool:
        """Send beats and what is missing; change members where it is due. False if it must lead no more."""
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
        """Take a proposal, at once or once the entry under way is committed."""
        if self.proposal is not None or self.replication.transfer_since is not None:
            self.replica.out.append(Proposed(proposal.token, "refused"))
            return
        self.proposal, self.proposed_at, self.proposal_in_flight = proposal, now, False
        self._start_waiting_proposal(now)

    def on_append_response(self, now: float, message: pb.Message) -> None:
        """A member has answered a heartbeat or an entry."""
        if self.replication.on_append_response(now, message):
            self.count(now)

    def count(self, now: float) -> None:
        """Is the newest entry on enough disks?"""
        replica, entry = self.replica, self.replica.entry
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
        """A disk asks to be a member: answer, and keep it in mind if it has heard this leader's answer."""
        replica, known = self.replica, self.replica.committed_entry
        if message.disk in self.replication.past_members:  # one put out never comes in again by that name
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
        """One that asks has this entry, and that on disk: it is sent the newest before it may be chosen."""
        peer = self.replication.learners.get(member.disk)
        if peer is None or peer.address != member.address:
            peer = Peer(member, now)
            peer.wait = self.replication.resend_s
        peer.heard, peer.last_position, peer.durable_position = now, last_position, durable_position
        self.replication.learners[member.disk] = peer
        if durable_position == self.replica.entry.position:
            self.next_reconfiguration_check_at = now
        elif self.newest_entry_committed:
            self._replicate_to_learners(now)

    def _replicate_to_learners(self, now: float) -> None:
        """Send the newest entry, which is committed, to those who might become members and lack it."""
        replica = self.replica
        self.replication.learners = {
            d: p for d, p in self.replication.learners.items() if d in self.join_requests.askers
        }
        if has_room(replica.entry.members, self.member_health(now), replica.tuning):
            for peer in self.replication.learners.values():
                if peer.last_position != replica.entry.position and now >= peer.next:
                    self.replication.send_entry(now, peer, peer.last_position == self.replication.base)

    def _make_way(self, now: float, leaving: bool) -> None:
        """Before it leaves, take no more proposals while there is an heir; without one, lead on."""
        if not leaving or not self._heirs(now):
            self.replication.transfer_since = None
        elif self.replication.transfer_since is None:
            self.replication.transfer_since = now

    def _heirs(self, now: float) -> list[Peer]:
        """Members that may lead next: they stay, and hold the newest entry once that is agreed on."""
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
        """Ask the member that is best placed for it to lead. If True, this one must step down for good."""
        replica = self.replica
        able = [p for p in self._heirs(now) if p.durable_position == replica.entry.position]
        if not able:
            return False
        successor = max(able, key=lambda p: p.acknowledged_at)
        replica.send(successor.address, replica.message(pb.TIMEOUT_NOW, successor.disk))
        return True

    def resign(self) -> None:
        """Lead no more: tell what became of the proposal."""
        if self.proposal is not None:
            self._answer("unknown" if self.proposal_in_flight else "refused")

    def _answer(self, outcome: str) -> None:
        if self.proposal is not None:
            self.replica.out.append(Proposed(self.proposal.token, outcome))
        self.proposal, self.proposal_in_flight = None, False

    def _start_waiting_proposal(self, now: float) -> None:
        """Begin the proposal that waits, if nothing is under way."""
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
        """Begin a change of members if one is due, between two proposals as well.

        A newcomer must have on disk what was the newest entry not longer ago than a follower bears silence.
        """
        if (
            now < self.next_reconfiguration_check_at
            or not self.newest_entry_committed
            or not self.has_leader_lease(now)
        ):
            return
        entry, t = self.replica.entry, self.replica.tuning
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
        """What is known of each other member's presence, by disk."""
        t = self.replica.tuning
        return {
            p.disk: MemberHealth(
                now - max(p.heard, p.began), now - p.heard <= t.presence_timeout_s, p.leaving
            )
            for p in self.peers.values()
        }
