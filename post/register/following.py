"""What a follower takes from its leader, and answers."""

from __future__ import annotations

from post.machine import Address
from post.register import register_pb2 as pb
from post.register.records import NEVER, Place, get_entry
from post.register.seat import Seat
from post.register.timing import Timing

RELAX_S = 10.0  # for which a stretch stays on disk that isn't asked for; no promise lasts that long


class Following:
    """Who leads as far as heard (`leader`), and until when votes are `withheld` for those that were heard."""

    def __init__(self, seat: Seat, timing: Timing, now: float) -> None:
        self.seat, self.timing, self.heard, self.withheld = seat, timing, NEVER, now
        self.leader: Address | None = None
        self.disk = ""  # the leader's
        self.sent = 0.0  # when it sent the newest beat, by its clock
        self.promise = 1.0  # stretch that the answer to the newest beat promises
        self.stretched_at = now  # when a beat last asked for a stretch, or one of an earlier life may have
        self.answered = NEVER  # when the newest answer went out that a leader which was sure has told to have
        self.commit: Place = (0, 0)  # newest that a leader has told to be committed

    def beat(self, now: float, sender: Address, note: pb.Note) -> None:
        """The leader of this term is heard, with its newest entry perhaps."""
        seat = self.seat
        self.leader, self.disk, self.heard, self.sent = sender, note.disk, now, note.sent
        self.commit = max(self.commit, (note.term, note.commit))
        self._withhold(now, note.stretch or 1.0)
        if note.answered and self.answered < note.answered <= now:
            self.answered = note.answered
        self._learn(note)
        if note.kind == pb.APPEND and (note.entry.term, note.entry.number) > seat.entry.place:
            self._take(note)
            self._learn(note)
        self.tell(now, sender, note.disk, note.sent, self.promise)

    def learn(self, note: pb.Note) -> None:
        """As a learner, take the leader's newest entry, which doesn't name this disk."""
        if (note.entry.term, note.entry.number) > self.seat.entry.place:
            self._take(note)

    def kept(self, now: float) -> None:
        """More is on disk: the leader waits for that."""
        if self.leader is not None and self.seat.holds():
            self.tell(now, self.leader, self.disk, self.sent, self.promise)

    def in_touch_until(self) -> float:
        """See `Agreement`. It begins with this disk's own answer that a leader, which was sure, has told to
        have; so beats that lay in a buffer, or come over a link of one direction, begin none."""
        known = self.seat.known
        if known is None or known.term != self.seat.term or known.place < self.commit:
            return NEVER
        return self.answered + self.seat.tuning.election_max_s * self.timing.asked

    def tell(self, now: float, to: Address, disk: str, sent: float, promise: float = 1.0) -> None:
        """Tell a leader the newest entry that is here, and the newest on disk."""
        seat = self.seat
        note = seat.holding(pb.APPENDED, disk)
        note.sent, note.at = sent, now
        if promise > 1.0:
            note.stretch = promise
        seat.send(to, note)

    def relax(self, now: float) -> None:
        """Where nobody has asked for a stretch for long, all such promises are over: a start needn't wait."""
        if self.seat.stretch > 1.0 and now >= self.stretched_at + RELAX_S:
            self.seat.stretch = 1.0

    def _withhold(self, now: float, asked: float) -> None:
        """No vote for others for as long as the leader asks, if a start would find that on disk."""
        seat = self.seat
        self.timing.follow(asked)
        if asked > 1.0:
            seat.stretch, self.stretched_at = max(seat.stretch, asked), now
        self.promise = min(asked, seat.promisable())
        self.withheld = max(self.withheld, now + self.promise * seat.tuning.election_min_s)

    def _take(self, note: pb.Note) -> None:
        seat, entry, base = self.seat, get_entry(note.entry), (note.base_term, note.base_number)
        if base == (0, 0):
            seat.entry = entry
        elif base == seat.entry.place:
            seat.entry = entry._replace(value=seat.entry.value)

    def _learn(self, note: pb.Note) -> None:
        """What the leader says is committed, if it is here."""
        entry = self.seat.entry
        if entry.term == note.term and entry.number <= note.commit:
            self.seat.commit(entry)
