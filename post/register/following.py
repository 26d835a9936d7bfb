"""What a follower takes from its leader, and answers."""

from __future__ import annotations

from post.machine import Address
from post.register import register_pb2 as pb
from post.register.records import NEVER, Place, get_entry
from post.register.seat import Seat


class Following:
    """Who leads as far as heard (`leader`), and when it was heard last."""

    def __init__(self, seat: Seat, heard: float, leaving: bool) -> None:
        self.seat, self.heard = seat, heard
        self.leader: Address | None = None
        self.disk = ""  # the leader's
        self.sent = 0.0  # when it sent the newest beat, by its clock
        self.answered = NEVER  # when the newest answer went out that a leader which was sure has told to have
        self.commit: Place = (0, 0)  # newest that a leader has told to be committed
        self.leaving = leaving  # others are to be members in its place, which each answer tells

    def beat(self, now: float, sender: Address, note: pb.Note) -> None:
        """The leader of this term is heard, with its newest entry perhaps."""
        seat = self.seat
        self.leader, self.disk, self.heard, self.sent = sender, note.disk, now, note.sent
        self.commit = max(self.commit, (note.term, note.commit))
        if note.answered and self.answered < note.answered <= now:
            self.answered = note.answered
        self._learn(note)
        if note.kind == pb.APPEND and (note.entry.term, note.entry.number) > seat.entry.place:
            self._take(note)
            self._learn(note)
        self.tell(now, sender, note.disk, note.sent)

    def learn(self, note: pb.Note) -> None:
        """As a learner, take the leader's newest entry, which doesn't name this disk."""
        if (note.entry.term, note.entry.number) > self.seat.entry.place:
            self._take(note)

    def kept(self, now: float) -> None:
        """More is on disk: the leader waits for that."""
        if self.leader is not None and self.seat.holds():
            self.tell(now, self.leader, self.disk, self.sent)

    def in_touch_until(self) -> float:
        """See `Agreement`. It begins with this disk's own answer that a leader, which was sure, has told to
        have; so beats that lay in a buffer, or come over a link of one direction, begin none."""
        known = self.seat.known
        if known is None or known.term != self.seat.term or known.place < self.commit:
            return NEVER
        return self.answered + self.seat.tuning.election_max_s

    def tell(self, now: float, to: Address, disk: str, sent: float) -> None:
        """Tell a leader the newest entry that is here, and the newest on disk."""
        seat = self.seat
        note = seat.holding(pb.APPENDED, disk)
        note.sent, note.at, note.leaving = sent, now, self.leaving
        seat.send(to, note)

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
