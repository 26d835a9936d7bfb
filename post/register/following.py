"""What a follower takes from its leader, and answers."""

from __future__ import annotations

from post.machine import Address
from post.register import register_pb2 as pb
from post.register.records import get_entry
from post.register.seat import Seat


class Following:
    """Who leads as far as heard (`leader`), and when it was heard last."""

    def __init__(self, seat: Seat, heard: float) -> None:
        self.seat, self.heard = seat, heard
        self.leader: Address | None = None
        self.disk = ""  # the leader's
        self.sent = 0.0  # when it sent the newest beat, by its clock

    def beat(self, now: float, sender: Address, note: pb.Note) -> None:
        """The leader of this term is heard, with its newest entry perhaps."""
        seat = self.seat
        self.leader, self.disk, self.heard, self.sent = sender, note.disk, now, note.sent
        self._learn(note)
        if note.kind == pb.APPEND and (note.entry.term, note.entry.number) > seat.entry.place:
            self._take(note)
            self._learn(note)
        self.tell(sender, note.disk, note.sent)

    def learn(self, note: pb.Note) -> None:
        """As a learner, take the leader's newest entry, which doesn't name this disk."""
        if (note.entry.term, note.entry.number) > self.seat.entry.place:
            self._take(note)

    def kept(self) -> None:
        """More is on disk: the leader waits for that."""
        if self.leader is not None and self.seat.holds():
            self.tell(self.leader, self.disk, self.sent)

    def tell(self, to: Address, disk: str, sent: float) -> None:
        """Tell a leader the newest entry that is here, and the newest on disk."""
        seat = self.seat
        note = seat.holding(pb.APPENDED, disk)
        note.sent = sent
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
