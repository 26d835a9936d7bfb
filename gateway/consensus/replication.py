"""Replication by a leader: heartbeats, entries and their retries, and the lease that the responses give."""

from __future__ import annotations

from math import inf

from gateway.consensus import consensus_pb2 as pb
from gateway.consensus.records import NEVER, Entry, LogPosition, Member, put_entry
from gateway.consensus.replica import Replica
from gateway.consensus.timing import Timing

MAX_PAST_MEMBERS = 256  # disks
MAX_INTERVAL_SCALE = 2.5  # on slow links the intervals of heartbeats and retries grow by at most this factor
MAX_RESEND_WAIT_S = 2.0  # between retries of an entry to a peer that doesn't respond


class Peer:
    """Another member, or a learner, as the leader sees it. Times are seconds of the leader's clock unless
    said otherwise."""

    __slots__ = (
        "acknowledged_at",
        "address",
        "bare_entry_sent_at",
        "began",
        "disk",
        "durable_position",
        "heard",
        "last_position",
        "leaving",
        "next",
        "replied_at",
        "wait",
        "withheld",
    )

    def __init__(self, member: Member, now: float) -> None:
        self.disk, self.address = member
        # when it became a peer, and when it was last heard
        self.began = now
        self.heard = NEVER
        self.acknowledged_at = NEVER  # when the newest heartbeat that it has acknowledged was sent
        self.withheld = NEVER  # until when it withholds its vote from others, less a safety margin
        self.replied_at = 0.0  # when its newest response was sent, by its clock; 0: there is none
        self.last_position: LogPosition | None = None  # newest entry that it holds, and below: on disk
        self.durable_position: LogPosition | None = None
        # when an entry is resent, and the wait after that
        self.next = 0.0
        self.wait = 0.0
        self.bare_entry_sent_at = NEVER  # when an entry without its value was sent
        self.leaving = False  # by its newest response, it is leaving the members


class Replication:
    """The peers of a leader during its term, what it sends them, and its lease."""

    def __init__(self, replica: Replica, now: float, timing: Timing) -> None:
        self.replica = replica
        self.began = now
        self.timing = timing
        self.peers: dict[str, Peer] = {}
        self.past_members: dict[str, None] = {}  # disks that have been members in this term, the latest ones
        self.recent_entries: dict[LogPosition, float] = {}  # entries that were the newest, and until when
        self.learners: dict[
            str, Peer
        ] = {}  # joining disks that are sent the newest entry, to have it on disk
        self.base: LogPosition | None = None  # an entry with the same value as the newest
        self.next_heartbeat_at = now
        self.transfer_since: float | None = None  # since when a leadership transfer is intended
        self.lease = NEVER

    @property
    def newest_entry_committed(self) -> bool:
        """Whether the newest entry, which is one of this term, is committed."""
        return self.replica.committed_entry is self.replica.entry

    def has_leader_lease(self, now: float) -> bool:
        """Whether there can't be another leader now, and the newest committed entry is known.

        A leader that is removing itself from the members holds no lease: the members that remain needn't
        query it when they restart (`ColdStart`).
        """
        return now < self.quorum_contact_until()

    def quorum_contact_until(self) -> float:
        """See `RaftNode.quorum_contact_until`. The period begins when the heartbeats were sent that a quorum
        has acknowledged."""
        known = self.replica.committed_entry
        knows = known is not None and known.term == self.replica.term
        return self.lease if knows and self.transfer_since is None and self.replica.is_voter else NEVER

    def has_lost_quorum(self, now: float) -> bool:
        """Whether no quorum has acknowledged a heartbeat for so long that the leader must step down."""
        acknowledged = {peer.disk: peer.acknowledged_at for peer in self.peers.values()}
        latest = self.replica.entry.latest_quorum_time({self.replica.disk: inf, **acknowledged})
        return now - max(latest, self.began) > self.replica.tuning.election_max_s * self.timing.stretch

    @property
    def resend_s(self) -> float:
        """Seconds until an unacknowledged entry is resent for the first time."""
        return self.replica.tuning.resend_s * min(MAX_INTERVAL_SCALE, self.timing.stretch)

    def on_append_response(self, now: float, message: pb.Message) -> bool:
        """A member has acknowledged a heartbeat or an entry. False if it isn't one of the peers."""
        peer = self.peers.get(message.disk)
        if peer is None:
            return False
        tuning = self.replica.tuning
        if now - peer.heard > tuning.election_min_s * self.timing.stretch:  # it is back: send what it lacks
            peer.next = now
            peer.wait = self.resend_s
        peer.heard = now
        peer.replied_at = message.replied_at
        peer.leaving = message.leaving
        peer.last_position = (message.last_term, message.last_index)
        peer.durable_position = (message.durable_term, message.durable_index)
        sent = min(message.sent, now)
        peer.acknowledged_at = max(peer.acknowledged_at, sent)
        withheld = sent + (tuning.election_min_s - tuning.lease_margin_s) * (message.stretch or 1.0)
        if withheld > peer.withheld:
            peer.withheld = withheld
            self.renew_lease()
        if (
            peer.last_position != self.replica.entry.position and message.sent == peer.bare_entry_sent_at
        ):  # it lacks the value too
            peer.bare_entry_sent_at = NEVER
            self.send_entry(now, peer, False)
        return True

    def replicate(self, now: float, entry: Entry, new_value: bool = False) -> None:
        """Replicate this entry as the next one of this term. `new_value` if its value differs from the
        newest entry's, so that it can't be sent without the value."""
        replica = self.replica
        longest = replica.tuning.election_min_s * self.timing.stretch
        self.recent_entries = {p: at for p, at in self.recent_entries.items() if now - at <= longest}
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
            peer.next = now
            peer.wait = self.resend_s
        self.renew_lease()
        self.broadcast(now)

    def broadcast(self, now: float) -> None:
        """Send each peer a heartbeat, and the newest entry if it lacks that and a (re)send is due."""
        replica = self.replica
        scale = min(MAX_INTERVAL_SCALE, self.timing.stretch)
        self.next_heartbeat_at = now + replica.tuning.heartbeat_interval_s * scale
        for peer in self.peers.values():
            if peer.last_position != replica.entry.position and now >= peer.next:
                bare = self.base is not None and peer.last_position in (None, self.base)
                self.send_entry(now, peer, bare)
                if bare:  # an entry is a heartbeat as well
                    continue
            replica.send(peer.address, self._heartbeat(now, pb.HEARTBEAT, peer))

    def send_entry(self, now: float, peer: Peer, bare: bool) -> None:
        """Send the newest entry; `bare`, without its value, to a peer that may have that already."""
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
        if self.timing.stretch > 1.0:
            message.stretch = self.timing.stretch
        if self.has_leader_lease(now):
            message.last_reply_at = peer.replied_at
        if replica.committed_entry is not None and replica.committed_entry.term == replica.term:
            message.commit = replica.committed_entry.number
        return message

    def renew_lease(self) -> None:
        """Compute until when there can't be another leader: a quorum withholds its votes until then."""
        withheld = {peer.disk: peer.withheld for peer in self.peers.values()}
        self.lease = self.replica.entry.latest_quorum_time({self.replica.disk: inf, **withheld})
