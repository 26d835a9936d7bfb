"""An election as its candidate sees it: it asks whether it might win before it begins a new term."""

from __future__ import annotations

from post.register import register_pb2 as pb
from post.register.seat import Seat


class Campaign:
    """One try to become leader. `won` once majorities have voted."""

    def __init__(self, seat: Seat, now: float, again_s: float, handed: bool = False) -> None:
        self.seat, self.again_s, self.handed = seat, again_s, handed
        self.standing = False  # in a term of its own; before that it only sounds the others out
        self.granted = {seat.disk}
        self.asked = now
        self.won = False
        if handed:
            self._stand()
        else:
            self._ask()
            self._count()

    def tick(self, now: float) -> None:
        """Ask those again who haven't answered; datagrams get lost."""
        if now >= self.asked + self.again_s:
            self.asked = now
            self._ask()

    def pre_voted(self, note: pb.Note) -> None:
        """One of them would vote for this disk."""
        if not self.standing and note.granted and note.term == self.seat.term + 1:
            self.granted.add(note.disk)
            self._count()

    def voted(self, note: pb.Note) -> None:
        """One of them has voted for this disk."""
        if self.standing and note.granted and note.term == self.seat.term:
            self.granted.add(note.disk)
            self._count()

    def kept(self) -> None:
        """Something is on disk: perhaps its own vote, with which it asks for the others'."""
        if self.standing and self.seat.disk not in self.granted and self.seat.voted(self.seat.disk):
            self.granted.add(self.seat.disk)
            self._ask()
            self._count()

    def _stand(self) -> None:
        self.seat.adopt(self.seat.term + 1)
        self.seat.vote = self.seat.disk
        self.standing, self.granted = True, set()

    def _count(self) -> None:
        if not self.seat.entry.has_quorum(self.granted):
            return
        if self.standing:
            self.won = True
        else:
            self._stand()

    def _ask(self) -> None:
        seat = self.seat
        if self.standing and seat.disk not in self.granted:
            return
        for member in seat.entry.voters():
            if member.disk not in self.granted:
                note = seat.telling(pb.REQUEST_VOTE if self.standing else pb.PRE_VOTE, member.disk)
                note.term = seat.term if self.standing else seat.term + 1
                note.handed, note.sent = self.handed, self.asked
                seat.send(member.address, note)
