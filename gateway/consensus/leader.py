"""The leader role: proposals, commitment, membership changes and leadership transfer."""

from __future__ import annotations

from gateway.consensus import consensus_pb2 as pb
from gateway.consensus.codec import durable_position, last_position
from gateway.consensus.election_timer import ElectionTimer
from gateway.consensus.entry import LogPosition, Member
from gateway.consensus.events import Propose
from gateway.consensus.learner import send_leader_hint, send_removed
from gateway.consensus.outputs import ProposalOutcome, Proposed
from gateway.consensus.peer import Peer
from gateway.consensus.reconfiguration import (
    JoinRequest,
    JoinRequests,
    MemberHealth,
    has_room,
    next_configuration,
)
from gateway.consensus.replica import Replica
from gateway.consensus.replication import Replication
from gateway.state_machine import Address

MAX_TRANSFER_WAIT_S = 1.0  # a leadership transfer waits at most this long for the uncommitted entry
JOIN_REQUEST_MAX_INTERVALS = 3  # a join request expires after this many request intervals


class LeaderRole:
    """The state of a leader during its term.

    The first entry repeats the one already held, in order to commit it in the new term (Raft, 5.4.2 and 8).
    At most one entry is uncommitted at a time.

    Args:
        replica: The state of the leader's disk.
        now: Seconds of this process's clock.
        tolerance: The number of members whose simultaneous loss the core must survive.
        timer: The election timer, which provides the current timeout scale.
    """

    def __init__(self, replica: Replica, now: float, tolerance: int, timer: ElectionTimer) -> None:
        self.replica = replica
        self.tolerance = tolerance
        self.timer = timer
        timer.become_leader()
        self.replication = Replication(replica, now, timer)
        self.join_requests = JoinRequests()
        self.proposal: Propose | None = None
        self.proposed_at = now
        self.proposal_in_flight = False  # its entry is being replicated
        self.removed: list[Member] = []  # to be informed when the change that removes them is committed
        self.next_reconfiguration_check_at = now
        self.replication.replicate(now, replica.entry)

    @property
    def peers(self) -> dict[str, Peer]:
        """The other voters, by disk."""
        return self.replication.peers

    @property
    def lease_until(self) -> float:
        """No other leader can be elected before this time; see `Replication.renew_lease`."""
        return self.replication.lease_until

    @property
    def newest_entry_committed(self) -> bool:
        """Whether the newest entry, which is one of this term, is committed."""
        return self.replication.newest_entry_committed

    def has_leader_lease(self, now: float) -> bool:
        """Whether no other leader can exist now and the newest committed entry is known."""
        return self.replication.has_leader_lease(now)

    def quorum_contact_until(self) -> float:
        """See `RaftNode.quorum_contact_until`."""
        return self.replication.quorum_contact_until()

    def tick(self, now: float, leaving: bool) -> bool:
        """Send due heartbeats and entries, and start a membership change if one is due.

        Returns:
            False if this leader must step down.
        """
        self._update_leadership_transfer(now, leaving)
        if self.replication.has_lost_quorum(now):
            return False
        if self._should_transfer(now) and self.transfer_leadership(now):
            return False
        max_wait_s = self.replica.tuning.max_proposal_wait_s
        is_waiting = self.proposal is not None and not self.proposal_in_flight
        if is_waiting and now - self.proposed_at > max_wait_s:
            self._finish_proposal(ProposalOutcome.REJECTED)
        self._start_reconfiguration_if_due(now)
        if now >= self.replication.next_heartbeat_at:
            self.replication.broadcast(now)
        return True

    # Proposals and commitment.

    def propose(self, now: float, proposal: Propose) -> None:
        """Accept a proposal, which is replicated as soon as no entry is uncommitted.

        It is rejected if another proposal is pending or a leadership transfer is in progress.
        """
        if self.proposal is not None or self.replication.transfer_since is not None:
            self.replica.outputs.append(Proposed(proposal.token, ProposalOutcome.REJECTED))
            return
        self.proposal = proposal
        self.proposed_at = now
        self.proposal_in_flight = False
        self._replicate_pending_proposal(now)

    def on_append_response(self, now: float, message: pb.Message) -> None:
        """Handle a member's acknowledgement of a heartbeat or an entry."""
        if self.replication.on_append_response(now, message):
            self.commit_if_replicated(now)

    def commit_if_replicated(self, now: float) -> None:
        """Commit the newest entry once it is on the disks of a quorum, then start whatever waited for that.

        A committed joint configuration is followed by an entry with only the new members.
        """
        replica = self.replica
        entry = replica.entry
        if self.newest_entry_committed:
            return
        disks = {p.disk for p in self.peers.values() if p.durable_position == entry.position}
        if replica.newest_entry_persisted():
            disks.add(replica.disk)
        if not entry.has_quorum(disks):
            return
        replica.commit(entry)
        if self.proposal_in_flight:
            self._finish_proposal(ProposalOutcome.COMMITTED)
        if entry.outgoing:
            self.removed = [m for m in entry.outgoing if m not in entry.members]
            self.replication.replicate(now, entry._replace(outgoing=()))
            return
        for member in self.removed:
            send_removed(replica, entry, member.address, member.disk)
        self.removed = []
        self._start_reconfiguration_if_due(now)
        self._replicate_pending_proposal(now)
        if self.newest_entry_committed:
            self.replication.broadcast(now)

    def resign(self) -> None:
        """Stop leading. The result of a pending proposal is unknown if its replication has started."""
        if self.proposal is not None:
            in_flight = self.proposal_in_flight
            self._finish_proposal(ProposalOutcome.UNKNOWN if in_flight else ProposalOutcome.REJECTED)

    def _finish_proposal(self, outcome: ProposalOutcome) -> None:
        if self.proposal is not None:
            self.replica.outputs.append(Proposed(self.proposal.token, outcome))
        self.proposal = None
        self.proposal_in_flight = False

    def _replicate_pending_proposal(self, now: float) -> None:
        """Replicate the pending proposal unless an entry is uncommitted or members are being changed."""
        proposal = self.proposal
        if proposal is None or self.proposal_in_flight:
            return
        entry = self.replica.entry
        if not self.newest_entry_committed or entry.outgoing:
            return
        if proposal.expected_version != entry.version:
            self._finish_proposal(ProposalOutcome.REJECTED)
            return
        self.proposal_in_flight = True
        successor = entry._replace(version=entry.version + 1, value=proposal.value)
        self.replication.replicate(now, successor, new_value=True)

    # Membership changes.

    def on_join(self, now: float, sender: Address, message: pb.Message) -> None:
        """Handle a join request, and respond with a leader hint.

        The request counts only if its term shows that the disk has received this leader's hint.
        """
        replica = self.replica
        committed = replica.committed_entry
        if message.disk in self.replication.past_members:  # a removed disk can't rejoin under its old id
            is_voter = replica.entry.has_voter(message.disk)
            if committed is not None and not is_voter and not committed.has_voter(message.disk):
                send_removed(replica, committed, sender, message.disk)
        elif message.term == replica.term:
            self.join_requests.add(now, message.disk, sender)
            member = Member(message.disk, sender)
            self._update_learner(now, member, last_position(message), durable_position(message))
        send_leader_hint(replica, sender, message.disk, replica.address)

    def _update_learner(
        self, now: float, member: Member, last_position: LogPosition, durable_position: LogPosition
    ) -> None:
        """Record which entry a joining disk holds in memory and on disk.

        The newest entry is sent to the disk before it can be selected as a member.
        """
        peer = self.replication.learners.get(member.disk)
        if peer is None or peer.address != member.address:
            peer = Peer(member, now, self.replication.first_resend_wait_s)
        peer.last_contact_at = now
        peer.last_position = last_position
        peer.durable_position = durable_position
        self.replication.learners[member.disk] = peer
        if durable_position == self.replica.entry.position:
            self.next_reconfiguration_check_at = now
        elif self.newest_entry_committed:
            self._replicate_to_learners(now)

    def _replicate_to_learners(self, now: float) -> None:
        """Send the newest committed entry to learners that lack it, if a member can be added."""
        replica = self.replica
        replication = self.replication
        requests = self.join_requests.requests
        replication.learners = {d: p for d, p in replication.learners.items() if d in requests}
        if not has_room(replica.entry.members, self.member_health(now), replica.tuning):
            return
        for peer in replication.learners.values():
            if peer.last_position != replica.entry.position and now >= peer.resend_at:
                has_value = peer.last_position == replication.same_value_position
                replication.send_entry(now, peer, with_value=not has_value)

    def _start_reconfiguration_if_due(self, now: float) -> None:
        """Start a membership change if one is due and no proposal is pending."""
        if now < self.next_reconfiguration_check_at:
            return
        if not self.newest_entry_committed or not self.has_leader_lease(now):
            return
        entry = self.replica.entry
        tuning = self.replica.tuning
        self.next_reconfiguration_check_at = now + tuning.heartbeat_interval_s
        max_age_s = JOIN_REQUEST_MAX_INTERVALS * tuning.request_interval_s
        requests = self.join_requests.fresh(now, max_age_s)
        self._replicate_to_learners(now)
        if self.proposal is not None:
            return
        members = next_configuration(
            now,
            entry.members,
            self.member_health(now),
            self._eligible_requests(now, requests),
            self.tolerance,
            tuning,
        )
        if members is not None:
            self.replication.replicate(now, entry._replace(members=members, outgoing=entry.members))

    def _eligible_requests(self, now: float, requests: list[JoinRequest]) -> list[JoinRequest]:
        """Join requests of disks that may become members now.

        A new member must have an entry on disk that was the newest one within the last election timeout.
        """
        replication = self.replication
        longest = self.replica.tuning.election_min_s * self.timer.timeout_scale
        outdated = {position for position, at in replication.recent_entries.items() if now - at > longest}
        recent = {self.replica.entry.position, *replication.recent_entries} - outdated
        return [
            request
            for request in requests
            if request.member.disk not in replication.past_members
            and replication.learners[request.member.disk].durable_position in recent
        ]

    def member_health(self, now: float) -> dict[str, MemberHealth]:
        """The reachability of each other voter, by disk."""
        timeout_s = self.replica.tuning.presence_timeout_s
        return {
            peer.disk: MemberHealth(
                unresponsive_s=now - max(peer.last_contact_at, peer.added_at),
                reachable=now - peer.last_contact_at <= timeout_s,
                leaving=peer.leaving,
            )
            for peer in self.peers.values()
        }

    # Leadership transfer (Raft dissertation, 3.10).

    def transfer_leadership(self, now: float) -> bool:
        """Ask the most recently heard member that has the newest entry on disk to start an election.

        Returns:
            Whether there is such a member; this leader must then step down.
        """
        replica = self.replica
        newest = replica.entry.position
        able = [p for p in self._transfer_candidates(now) if p.durable_position == newest]
        if not able:
            return False
        successor = max(able, key=lambda p: p.acknowledged_at)
        replica.send(successor.address, replica.message(pb.TIMEOUT_NOW, successor.disk))
        return True

    def _update_leadership_transfer(self, now: float, leaving: bool) -> None:
        """When leaving, prepare a leadership transfer while a successor is available; reject proposals.

        Without a successor, continue to lead.
        """
        if not leaving or not self._transfer_candidates(now):
            self.replication.transfer_since = None
        elif self.replication.transfer_since is None:
            self.replication.transfer_since = now

    def _should_transfer(self, now: float) -> bool:
        """Whether leadership should be transferred now: this node is leaving, or its writes stall."""
        since = self.replication.transfer_since
        is_ready = since is not None and (self.newest_entry_committed or now - since > MAX_TRANSFER_WAIT_S)
        return is_ready or self.replica.write_stalled_s(now) > self.replica.tuning.max_write_stall_s

    def _transfer_candidates(self, now: float) -> list[Peer]:
        """Members that may become the next leader.

        They are not leaving, have responded within the election timeout, belong to the new configuration, and
        have the newest entry on disk if it is committed.
        """
        entry = self.replica.entry
        oldest = now - self.replica.tuning.election_min_s * self.timer.timeout_scale
        members = {m.disk for m in entry.members}
        return [
            peer
            for peer in self.peers.values()
            if not peer.leaving
            and peer.acknowledged_at >= oldest
            and peer.disk in members
            and (peer.durable_position == entry.position or not self.newest_entry_committed)
        ]
