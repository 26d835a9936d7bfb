"""The leader's part: it keeps the others' copies up to date, counts them, and knows its lease."""

from __future__ import annotations

from math import inf

from post.machine import Address
from post.register import register_pb2 as pb
from post.register.api import Propose, Proposed
from post.register.joining import give_hint, tell_gone
from post.register.members import Joiners, Presence, has_place, next_members
from post.register.records import NEVER, Entry, Member, Place, put_entry
from post.register.seat import Seat
from post.register.timing import Timing

MOST_SEEN = 256  # disks
LONGEST_HANDING_S = 1.0  # that handing over waits for the entry under way
SLOWEST_BEATS = 2.5  # beats and entries sent once more, on slow links, times as far apart
LONGEST_WAIT_S = 2.0  # between two times that an entry is sent to one who doesn't answer


class Peer:
    """Another member, as the leader sees it."""

    __slots__ = ("address", "at", "began", "disk", "has", "heard", "held", "leaves", "next", "sure", "tried",
                 "wait", "withheld")

    def __init__(self, member: Member, now: float) -> None:
        self.disk, self.address = member
        self.began, self.heard = now, NEVER  # first looked for, and last heard
        self.sure = NEVER  # when the newest beat that it has answered was sent
        self.withheld = NEVER  # until when it votes for nobody else, less a margin
        self.at = 0.0  # when its newest answer was sent, by its clock; 0: there is none
        self.has: Place | None = None  # newest entry that it has, and has on disk
        self.held: Place | None = None
        self.next = self.wait = 0.0  # when an entry is sent once more, and the wait after that
        self.tried = NEVER  # when an entry without its value was sent
        self.leaves = NEVER  # it last said that it wants to go


class Leading:
    """A term as its leader. Its first entry is what it held; one entry is under way at a time."""

    def __init__(self, seat: Seat, now: float, tolerance: int, timing: Timing) -> None:
        self.seat, self.tolerance, self.began, self.timing = seat, tolerance, now, timing
        timing.lead()
        self.peers: dict[str, Peer] = {}
        self.seen: dict[str, None] = {}  # disks that have been members in this term, the latest ones
        self.joiners = Joiners()
        self.former: dict[Place, float] = {}  # entries that were the newest, and until when
        self.learners: dict[str, Peer] = {}  # joiners that are sent the newest entry, to have it on disk
        self.ask: Propose | None = None
        self.asked, self.put = now, False  # the proposal: when it came, and is it under way
        self.base: Place | None = None  # an entry with the same value as the newest
        self.removed: list[Member] = []
        self.beat_at = self.choose_at = now
        self.handing: float | None = None  # since when it wants to hand over
        self.lease = NEVER
        self._put(now, seat.entry)

    @property
    def settled(self) -> bool:
        """Is the newest entry, one of this term, known to be committed?"""
        return self.seat.known is self.seat.entry

    def sure(self, now: float) -> bool:
        """Can't there be another leader now, and is what is committed known?

        One that leads itself out isn't sure: the members it leaves behind needn't ask it (`Starting`).
        """
        return now < self.in_touch_until()

    def in_touch_until(self) -> float:
        """See `Agreement`. It begins with the beats that majorities have answered."""
        known = self.seat.known
        knows = known is not None and known.term == self.seat.term
        return self.lease if knows and self.handing is None and self.seat.seated else NEVER

    def tick(self, now: float, leaving: bool) -> bool:
        """Send beats and what is missing; change members where it is due. False if it must lead no more."""
        if leaving and self.handing is None:
            self.handing = now
        ready = self.handing is not None and (self.settled or now - self.handing > LONGEST_HANDING_S)
        sick = self.seat.stuck(now) > self.seat.tuning.hung_s
        if self.lost(now) or (ready or sick) and self.hand_over(now):
            return False
        if self.ask is not None and not self.put and now - self.asked > self.seat.tuning.queue_s:
            self._answer("refused")
        self._choose(now)
        if now >= self.beat_at:
            self._spread(now)
        return True

    def lost(self, now: float) -> bool:
        """Have majorities been silent for so long that it leads no more?"""
        latest = self.seat.entry.latest(
            {self.seat.disk: inf, **{p.disk: p.sure for p in self.peers.values()}})
        return now - max(latest, self.began) > self.seat.tuning.election_max_s * self.timing.stretch

    def propose(self, now: float, ask: Propose) -> None:
        """Take a proposal, at once or once the entry under way is committed."""
        if self.ask is not None or self.handing is not None:
            self.seat.out.append(Proposed(ask.token, "refused"))
            return
        self.ask, self.asked, self.put = ask, now, False
        self._next(now)

    def appended(self, now: float, note: pb.Note) -> None:
        """A member has answered a beat or an entry."""
        peer, t = self.peers.get(note.disk), self.seat.tuning
        if peer is None:
            return
        if now - peer.heard > t.election_min_s * self.timing.stretch:  # it is back: what it lacks goes out
            peer.next, peer.wait = now, self._resend_s()
        peer.heard, peer.at = now, note.at
        peer.has, peer.held = (note.has_term, note.has_number), (note.held_term, note.held_number)
        sent = min(note.sent, now)
        peer.sure = max(peer.sure, sent)
        withheld = sent + (t.election_min_s - t.margin_s) * (note.stretch or 1.0)
        if withheld > peer.withheld:
            peer.withheld = withheld
            self._renew()
        if peer.has != self.seat.entry.place and note.sent == peer.tried:  # it lacks the value too
            peer.tried = NEVER
            self._send_entry(now, peer, False)
        self.count(now)

    def count(self, now: float) -> None:
        """Is the newest entry on enough disks?"""
        seat, entry = self.seat, self.seat.entry
        if self.settled:
            return
        disks = {p.disk for p in self.peers.values() if p.held == entry.place}
        if seat.holds():
            disks.add(seat.disk)
        if not entry.has_quorum(disks):
            return
        seat.commit(entry)
        if self.put:
            self._answer("done")
        if entry.outgoing:
            self.removed = [m for m in entry.outgoing if m not in entry.members]
            self._put(now, entry._replace(outgoing=()))
            return
        for member in self.removed:
            tell_gone(seat, entry, member.address, member.disk)
        self.removed = []
        self._choose(now)
        self._next(now)
        if self.settled:
            self._spread(now)

    def join(self, now: float, sender: Address, note: pb.Note) -> None:
        """A disk asks to be a member: answer, and keep it in mind if it has heard this leader's answer."""
        seat, known = self.seat, self.seat.known
        if note.disk in self.seen:  # one that was put out never comes in again under that name
            if known is not None and not seat.entry.names(note.disk) and not known.names(note.disk):
                tell_gone(seat, known, sender, note.disk)
        elif note.term == seat.term:
            self.joiners.ask(now, note.disk, sender)
            self._learner(now, Member(note.disk, sender), (note.has_term, note.has_number),
                          (note.held_term, note.held_number))
        give_hint(self.seat, sender, note.disk, self.seat.me)

    def _learner(self, now: float, member: Member, has: Place, held: Place) -> None:
        """One that asks has this entry, and that on disk: it is sent the newest before it may be chosen."""
        peer = self.learners.get(member.disk)
        if peer is None or peer.address != member.address:
            peer = Peer(member, now)
            peer.wait = self._resend_s()
        peer.heard, peer.has, peer.held = now, has, held
        self.learners[member.disk] = peer
        if held == self.seat.entry.place:
            self.choose_at = now
        elif self.settled:
            self._teach(now)

    def _teach(self, now: float) -> None:
        """Send the newest entry, which is committed, to those who might become members and lack it."""
        seat = self.seat
        self.learners = {d: p for d, p in self.learners.items() if d in self.joiners.askers}
        if has_place(seat.entry.members, self.presences(now), seat.tuning):
            for peer in self.learners.values():
                if peer.has != seat.entry.place and now >= peer.next:
                    self._send_entry(now, peer, peer.has == self.base)

    def leave(self, now: float, note: pb.Note) -> None:
        """A member wants to go."""
        peer = self.peers.get(note.disk)
        if peer is not None:
            peer.heard = peer.leaves = now

    def hand_over(self, now: float) -> bool:
        """Ask the member that is best placed for it to lead. If True, this one must step down for good."""
        seat = self.seat
        longest = seat.tuning.election_min_s * self.timing.stretch
        able = [p for p in self.peers.values() if p.held == seat.entry.place
                and now - p.leaves > 3 * seat.tuning.ask_s and now - p.sure <= longest]
        able = [p for p in able if any(m.disk == p.disk for m in seat.entry.members)]
        if not able:
            return False
        heir = max(able, key=lambda p: p.sure)
        seat.send(heir.address, seat.note(pb.TIMEOUT_NOW, heir.disk))
        return True

    def resign(self) -> None:
        """Lead no more: tell what became of the proposal."""
        if self.ask is not None:
            self._answer("unknown" if self.put else "refused")

    def _answer(self, outcome: str) -> None:
        if self.ask is not None:
            self.seat.out.append(Proposed(self.ask.token, outcome))
        self.ask, self.put = None, False

    def _next(self, now: float) -> None:
        """Begin the proposal that waits, if nothing is under way."""
        ask = self.ask
        if ask is None or self.put or not self.settled or self.seat.entry.outgoing:
            return
        entry = self.seat.entry
        if ask.expected != entry.version:
            self._answer("refused")
            return
        self.put = True
        self._put(now, entry._replace(version=entry.version + 1, value=ask.value), new_value=True)

    def _choose(self, now: float) -> None:
        """Begin a change of members if one is due, between two proposals as well.

        A newcomer must have on disk what was the newest entry not longer ago than a follower bears silence.
        """
        if now < self.choose_at or not self.settled or not self.sure(now):
            return
        entry, t = self.seat.entry, self.seat.tuning
        self.choose_at = now + t.beat_s
        joiners = [a for a in self.joiners.fresh(now, 3 * t.ask_s) if a.member.disk not in self.seen]
        self._teach(now)
        if self.ask is not None:
            return
        longest = t.election_min_s * self.timing.stretch
        late = {place for place, at in self.former.items() if now - at > longest}
        fresh = {entry.place, *self.former} - late
        able = [a for a in joiners if self.learners[a.member.disk].held in fresh]
        members = next_members(now, entry.members, self.presences(now), able, self.tolerance, t)
        if members is not None:
            self._put(now, entry._replace(members=members, outgoing=entry.members))

    def presences(self, now: float) -> dict[str, Presence]:
        """What is known of each other member's presence, by disk."""
        t = self.seat.tuning
        return {p.disk: Presence(now - max(p.heard, p.began), now - p.heard <= t.heard_s,
                                 now - p.leaves <= 3 * t.ask_s) for p in self.peers.values()}

    def _put(self, now: float, entry: Entry, new_value: bool = False) -> None:
        """Have this entry agreed on, as the next one of this term."""
        seat = self.seat
        longest = seat.tuning.election_min_s * self.timing.stretch
        self.former = {p: at for p, at in self.former.items() if now - at <= longest}
        self.former[seat.entry.place] = now
        self.base = None if new_value else seat.entry.place
        seat.entry = entry._replace(term=seat.term, number=entry.number + 1)
        old = self.peers
        self.peers = {m.disk: old.get(m.disk) or self.learners.pop(m.disk, None) or Peer(m, now)
                      for m in seat.entry.voters() if m.disk != seat.disk}
        self.seen = dict.fromkeys([*self.seen, *self.peers][-MOST_SEEN:])
        for peer in (*self.peers.values(), *self.learners.values()):
            peer.next, peer.wait = now, self._resend_s()
        self._renew()
        self._spread(now)

    def _spread(self, now: float) -> None:
        seat = self.seat
        self.beat_at = now + seat.tuning.beat_s * min(SLOWEST_BEATS, self.timing.stretch)
        for peer in self.peers.values():
            if peer.has != seat.entry.place and now >= peer.next:
                bare = self.base is not None and peer.has in (None, self.base)
                self._send_entry(now, peer, bare)
                if bare:  # which is a beat as well
                    continue
            seat.send(peer.address, self._beat(now, pb.HEARTBEAT, peer))

    def _send_entry(self, now: float, peer: Peer, bare: bool) -> None:
        """Send the newest entry, bare of its value to one who may have that."""
        peer.next = now + peer.wait
        peer.wait = min(LONGEST_WAIT_S, 2 * peer.wait)
        note = self._beat(now, pb.APPEND, peer)
        put_entry(self.seat.entry, note.entry, not bare)
        if bare and self.base is not None:
            note.base_term, note.base_number = self.base
            peer.tried = now
        self.seat.send(peer.address, note)

    def _beat(self, now: float, kind: pb.Kind, peer: Peer) -> pb.Note:
        seat = self.seat
        note = seat.telling(kind, peer.disk)
        note.sent = now
        if self.timing.stretch > 1.0:
            note.stretch = self.timing.stretch
        if self.sure(now):
            note.answered = peer.at
        if seat.known is not None and seat.known.term == seat.term:
            note.commit = seat.known.number
        return note

    def _renew(self) -> None:
        self.lease = self.seat.entry.latest(
            {self.seat.disk: inf, **{p.disk: p.withheld for p in self.peers.values()}})

    def _resend_s(self) -> float:
        return self.seat.tuning.resend_s * min(SLOWEST_BEATS, self.timing.stretch)
