"""A member's vote: whom it may have, and when."""

from __future__ import annotations

from post.machine import Address
from post.register import register_pb2 as pb
from post.register.following import Following
from post.register.seat import Seat
from post.register.starting import Starting

SICK_S = 0.3  # without headway of the disk: no candidate


class Voting:
    """Answers candidates. A vote is told once it is on disk."""

    def __init__(self, seat: Seat, starting: Starting, following: Following) -> None:
        self.seat, self.starting, self.following = seat, starting, following
        self.promised: tuple[str, Address] | None = None  # who is told once the vote is on disk

    def free(self, now: float, note: pb.Note) -> bool:
        """Not while a leader may count on this disk: its vote is `withheld`, or forgotten by a start.

        Unless all have begun anew, by the very entry that the candidate holds.
        """
        if now < self.starting.until and not (
                (note.has_term, note.has_number) == self.seat.entry.place and self.starting.unanimous()):
            return False
        return note.handed or now >= self.following.withheld

    def able(self, now: float) -> bool:
        """May this disk be a candidate that a leader has asked to be one?"""
        return self.seat.seated and self.seat.stuck(now) <= SICK_S

    def may_stand(self, now: float) -> bool:
        """May it have its own vote, by itself? No sooner than others may have it."""
        begun = now >= self.starting.until or self.starting.unanimous()
        return self.able(now) and begun and now >= self.following.withheld

    def pre_vote(self, sender: Address, note: pb.Note, free: bool) -> None:
        """Would this disk vote for another in that term? Changes nothing; a later term is told anyway."""
        seat = self.seat
        answer = seat.note(pb.PRE_VOTED, note.disk)
        answer.sent = note.sent
        if note.term > seat.term:
            if not free or (note.has_term, note.has_number) < seat.entry.place:
                return
            answer.granted, answer.term = True, note.term
        seat.send(sender, answer)

    def request_vote(self, sender: Address, note: pb.Note) -> bool:
        """Vote, in a term that this disk has gone on to. Does the candidate have the vote?"""
        seat = self.seat
        if note.term < seat.term:
            seat.send(sender, seat.note(pb.VOTED, note.disk))
            return False
        if seat.vote not in ("", note.disk) or (note.has_term, note.has_number) < seat.entry.place:
            return False
        seat.vote = note.disk
        self.promised = note.disk, sender
        self.kept()
        return True

    def kept(self) -> None:
        """More is on disk, perhaps the vote."""
        if self.promised is None or not self.seat.voted(self.promised[0]):
            return
        disk, address = self.promised
        self.promised = None
        answer = self.seat.note(pb.VOTED, disk)
        answer.granted = True
        self.seat.send(address, answer)
