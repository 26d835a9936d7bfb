"""The leader's part: it keeps the others' copies up to date, counts them, and knows its lease."""

from __future__ import annotations

from math import inf

from gateway.consensus import consensus_pb2 as pb
from gateway.consensus.api import Propose, Proposed
from gateway.consensus.learner import send_leader_hint, send_removed
from gateway.consensus.reconfiguration import JoinRequests, MemberHealth, has_room, next_configuration
from gateway.consensus.records import NEVER, Entry, LogPosition, Member, put_entry
from gateway.consensus.replica import Replica
from gateway.state_machine import Address

MAX_PAST_MEMBERS = 256  # disks
MAX_TRANSFER_WAIT_S = 1.0  # that handing over waits for the entry under way
MAX_RESEND_WAIT_S = 2.0  # between two times that an entry is sent to one who doesn't answer


class Peer:
    """Another member, as the leader sees it."""

    __slots__ = (
        "acknowledged_at",
        "address",
        "bare_entry_sent_at",
        "began",
        "disk",
        "durable_position",
        "heard",
        "last_position",
        "leave_requested_at",
        "next",
        "replied_at",
        "wait",
    )

    def __init__(self, member: Member, now: float) -> None:
        self.disk, self.address = member
        self.began, self.heard = now, NEVER  # first looked for, and last heard
        self.acknowledged_at = NEVER  # when the newest beat that it has answered was sent
        self.replied_at = 0.0  # when its newest answer was sent, by its clock; 0: there is none
        self.last_position: LogPosition | None = None  # newest entry that it has, and has on disk
        self.durable_position: LogPosition | None = None
        self.next = self.wait = 0.0  # when an entry is sent once more, and the wait after that
        self.bare_entry_sent_at = NEVER  # when an entry without its value was sent
        self.leave_requested_at = NEVER  # it last said that it wants to go


class LeaderRole:
    """A term as its leader. Its first entry is what it held; one entry is under way at a time."""

    def __init__(self, replica: Replica, now: float, tolerance: int) -> None:
        self.replica, self.tolerance, self.began = replica, tolerance, now
        self.peers: dict[str, Peer] = {}
        self.past_members: dict[str, None] = {}  # disks that have been members in this term, the latest ones
        self.join_requests = JoinRequests()
        self.recent_entries: dict[LogPosition, float] = {}  # entries that were the newest, and until when
        self.learners: dict[
            str, Peer
        ] = {}  # joining disks that are sent the newest entry, to have it on disk
        self.proposal: Propose | None = None
        self.proposed_at, self.proposal_in_flight = (
            now,
            False,
        )  # the proposal: when it came, and is it under way
        self.base: LogPosition | None = None  # an entry with the same value as the newest
        self.removed: list[Member] = []
        self.next_heartbeat_at = self.next_reconfiguration_check_at = now
        self.transfer_since: float | None = None  # since when it wants to hand over
        self.lease = NEVER
        self._replicate(now, replica.entry)

    @property
    def newest_entry_committed(self) -> bool:
        """Is the newest entry, one of this term, known to be committed?"""
        return self.replica.committed_entry is self.replica.entry

    def has_leader_lease(self, now: float) -> bool:
        """Can't there be another leader now, and is what is committed known?

        One that leads itself out isn't sure: the members it leaves behind needn't ask it (`ColdStart`).
        """
        return now < self.quorum_contact_until()

    def quorum_contact_until(self) -> float:
        """See `RaftNode`. It begins with the beats that majorities have answered."""
        known = self.replica.committed_entry
        knows = known is not None and known.term == self.replica.term
        return self.lease if knows and self.transfer_since is None and self.replica.is_voter else NEVER

    def tick(self, now: float, leaving: bool) -> bool:
        """Send beats and what is missing; change members where it is due. False if it must lead no more."""
        if leaving and self.transfer_since is None:
            self.transfer_since = now
        ready = self.transfer_since is not None and (
            self.newest_entry_committed or now - self.transfer_since > MAX_TRANSFER_WAIT_S
        )
        sick = self.replica.write_stalled_s(now) > self.replica.tuning.max_write_stall_s
        if self.has_lost_quorum(now) or (ready or sick) and self.transfer_leadership(now):
            return False
        if (
            self.proposal is not None
            and not self.proposal_in_flight
            and now - self.proposed_at > self.replica.tuning.max_proposal_wait_s
        ):
            self._answer("refused")
        self._start_reconfiguration_if_due(now)
        if now >= self.next_heartbeat_at:
            self._broadcast(now)
        return True

    def has_lost_quorum(self, now: float) -> bool:
        """Have majorities been silent for so long that it leads no more?"""
        latest_quorum_time = self.replica.entry.latest_quorum_time(self._acknowledged_times())
        return now - max(latest_quorum_time, self.began) > self.replica.tuning.election_max_s

    def propose(self, now: float, proposal: Propose) -> None:
        """Take a proposal, at once or once the entry under way is committed."""
        if self.proposal is not None or self.transfer_since is not None:
            self.replica.out.append(Proposed(proposal.token, "refused"))
            return
        self.proposal, self.proposed_at, self.proposal_in_flight = proposal, now, False
        self._start_waiting_proposal(now)

    def on_append_response(self, now: float, message: pb.Message) -> None:
        """A member has answered a beat or an entry."""
        peer = self.peers.get(message.disk)
        if peer is None:
            return
        if (
            now - peer.heard > self.replica.tuning.election_min_s
        ):  # it is back: what it lacks goes out at once
            peer.next, peer.wait = now, self.replica.tuning.resend_s
        peer.heard, peer.replied_at = now, message.replied_at
        peer.last_position, peer.durable_position = (
            (message.last_term, message.last_index),
            (message.durable_term, message.durable_index),
        )
        if min(message.sent, now) > peer.acknowledged_at:
            peer.acknowledged_at = min(message.sent, now)
            self._renew_lease()
        if (
            peer.last_position != self.replica.entry.position and message.sent == peer.bare_entry_sent_at
        ):  # it lacks the value too
            peer.bare_entry_sent_at = NEVER
            self._send_entry(now, peer, False)
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
            self._replicate(now, entry._replace(outgoing=()))
            return
        for member in self.removed:
            send_removed(replica, entry, member.address, member.disk)
        self.removed = []
        self._start_reconfiguration_if_due(now)
        self._start_waiting_proposal(now)
        if self.newest_entry_committed:
            self._broadcast(now)

    def join(self, now: float, sender: Address, message: pb.Message) -> None:
        """A disk asks to be a member: answer, and keep it in mind if it has heard this leader's answer."""
        replica, known = self.replica, self.replica.committed_entry
        if message.disk in self.past_members:  # one that was put out never comes in again under that name
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
        peer = self.learners.get(member.disk)
        if peer is None or peer.address != member.address:
            peer = Peer(member, now)
            peer.wait = self.replica.tuning.resend_s
        peer.heard, peer.last_position, peer.durable_position = now, last_position, durable_position
        self.learners[member.disk] = peer
        if durable_position == self.replica.entry.position:
            self.next_reconfiguration_check_at = now
        elif self.newest_entry_committed:
            self._replicate_to_learners(now)

    def _replicate_to_learners(self, now: float) -> None:
        """Send the newest entry, which is committed, to those who might become members and lack it."""
        replica = self.replica
        self.learners = {d: p for d, p in self.learners.items() if d in self.join_requests.askers}
        if has_room(replica.entry.members, self.member_health(now), replica.tuning):
            for peer in self.learners.values():
                if peer.last_position != replica.entry.position and now >= peer.next:
                    self._send_entry(now, peer, peer.last_position == self.base)

    def leave(self, now: float, message: pb.Message) -> None:
        """A member wants to go."""
        peer = self.peers.get(message.disk)
        if peer is not None:
            peer.heard = peer.leave_requested_at = now

    def transfer_leadership(self, now: float) -> bool:
        """Ask the member that is best placed for it to lead. If True, this one must step down for good."""
        replica = self.replica
        able = [
            p
            for p in self.peers.values()
            if p.durable_position == replica.entry.position
            and now - p.leave_requested_at > 3 * replica.tuning.request_interval_s
            and now - p.acknowledged_at <= replica.tuning.election_min_s
        ]
        able = [p for p in able if any(m.disk == p.disk for m in replica.entry.members)]
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
        self._replicate(now, entry._replace(version=entry.version + 1, value=proposal.value), new_value=True)

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
            if a.member.disk not in self.past_members
        ]
        self._replicate_to_learners(now)
        if self.proposal is not None:
            return
        late = {position for position, at in self.recent_entries.items() if now - at > t.election_min_s}
        fresh = {entry.position, *self.recent_entries} - late
        able = [a for a in join_requests if self.learners[a.member.disk].durable_position in fresh]
        members = next_configuration(now, entry.members, self.member_health(now), able, self.tolerance, t)
        if members is not None:
            self._replicate(now, entry._replace(members=members, outgoing=entry.members))

    def member_health(self, now: float) -> dict[str, MemberHealth]:
        """What is known of each other member's presence, by disk."""
        t = self.replica.tuning
        return {
            p.disk: MemberHealth(
                now - max(p.heard, p.began),
                now - p.heard <= t.presence_timeout_s,
                now - p.leave_requested_at <= 3 * t.request_interval_s,
            )
            for p in self.peers.values()
        }

    def _replicate(self, now: float, entry: Entry, new_value: bool = False) -> None:
        """Have this entry agreed on, as the next one of this term."""
        replica = self.replica
        self.recent_entries = {
            p: at for p, at in self.recent_entries.items() if now - at <= replica.tuning.election_min_s
        }
        self.recent_entries[replica.entry.position] = now
        self.base = None if new_value else replica.entry.position
        replica.entry = entry._replace(term=replica.term, number=entry.number + 1)
        old = self.peers
        self.peers = {
            m.disk: old.get(m.disk) or self.learners.pop(m.disk, None) or Peer(m, now)
            for m in replica.entry.voters()
            if m.disk != replica.disk
        }
        self.past_members = dict.fromkeys([*self.past_members, *self.peers][-MAX_PAST_MEMBERS:])
        for peer in (*self.peers.values(), *self.learners.values()):
            peer.next, peer.wait = now, replica.tuning.resend_s
        self._renew_lease()
        self._broadcast(now)

    def _broadcast(self, now: float) -> None:
        replica = self.replica
        self.next_heartbeat_at = now + replica.tuning.heartbeat_interval_s
        for peer in self.peers.values():
            if peer.last_position != replica.entry.position and now >= peer.next:
                bare = self.base is not None and peer.last_position in (None, self.base)
                self._send_entry(now, peer, bare)
                if bare:  # which is a beat as well
                    continue
            replica.send(peer.address, self._heartbeat(now, pb.HEARTBEAT, peer))

    def _send_entry(self, now: float, peer: Peer, bare: bool) -> None:
        """Send the newest entry, bare of its value to one who may have that."""
        peer.next = now + peer.wait
        peer.wait = min(MAX_RESEND_WAIT_S, 2 * peer.wait)
        message = self._heartbeat(now, pb.APPEND_ENTRIES, peer)
        put_entry(self.replica.entry, message.entry, not bare)
        if bare and self.base is not None:
            message.base_term, message.base_index = self.base
            peer.bare_entry_sent_at = now
        self.replica.send(peer.address, message)

    def _heartbeat(self, now: float, kind: pb.Kind, peer: Peer) -> pb.Message:
        replica = self.replica
        message = replica.message_with_last_position(kind, peer.disk)
        message.sent = now
        if self.has_leader_lease(now):
            message.last_reply_at = peer.replied_at
        if replica.committed_entry is not None and replica.committed_entry.term == replica.term:
            message.commit = replica.committed_entry.number
        return message

    def _renew_lease(self) -> None:
        t = self.replica.tuning
        self.lease = (
            self.replica.entry.latest_quorum_time(self._acknowledged_times())
            + t.election_min_s
            - t.lease_margin_s
        )

    def _acknowledged_times(self) -> dict[str, float]:
        times = {p.disk: p.acknowledged_at for p in self.peers.values()}
        times[self.replica.disk] = inf
        return times
