"""How a disk that isn't a member asks to be one, and how one learns that it is none any more."""

from __future__ import annotations

from collections.abc import Sequence

from post.machine import Address
from post.register import register_pb2 as pb
from post.register.records import Entry, put_members
from post.register.seat import Seat

MOST_ADDRESSES = 32
ANYONE = "*"  # in place of a disk: one who knows that the sender is no member any more
AT_LEAST_S = 0.05  # between two asks


class Joining:
    """Asks the leader where it is known, else everyone who may know it."""

    def __init__(self, seat: Seat, seeds: Sequence[Address], asks: bool) -> None:
        self.seat = seat
        self.asks = asks  # to be a member; else only who leads
        self.seeds = tuple(seeds)
        self.core: tuple[Address, ...] = ()  # as told by others
        self.leader: Address | None = None
        self.term = 0  # the leader's
        self.heard = self.next = self.asked = 0.0

    def learn(self, addresses: Sequence[Address]) -> None:
        """Others name the core."""
        if addresses:
            self.core = tuple(addresses)[:MOST_ADDRESSES]

    def tick(self, now: float) -> None:
        """Ask when it is time to."""
        if self.leader is not None and now - self.heard > 3 * self.seat.tuning.ask_s:
            self.leader = None
        if now >= self.next:
            self._ask(now)

    def seek(self) -> None:
        """As a member that hears no leader, ask others too: all other members may have been replaced."""
        known = {m.address for m in self.seat.entry.voters()} if self.seat.seated else set()
        for address in sorted({*self.seeds, *self.core} - known) if known else ():
            self.seat.send(address, self.seat.telling(pb.PRE_VOTE, ANYONE))

    def caught_up(self, now: float) -> None:
        """As a learner, have the leader know what is on disk."""
        self.next = now
        self.tick(now)

    def taught(self, now: float, leader: Address, term: int) -> None:
        """As a learner, one has been sent the leader's newest entry, perhaps again."""
        self.lead(now, leader, term)
        if self.seat.holds():
            self.caught_up(now)

    def lead(self, now: float, leader: Address, term: int) -> None:
        """Someone is heard as leader, or named as one (term 0)."""
        if term == 0 and leader == self.leader:
            return
        new = (leader, term) != (self.leader, self.term)
        self.leader, self.term, self.heard = leader, term, now
        if new:
            self.next = min(self.next, self.asked + AT_LEAST_S)
            self.tick(now)

    def hint(self, now: float, sender: Address, note: pb.Note) -> None:
        """An answer: who leads, and who else is of the core."""
        self.learn([m.address for m in note.members])
        if note.leader:
            self.lead(now, note.leader, note.term if note.leader == sender else 0)

    def _ask(self, now: float) -> None:
        seat = self.seat
        if seat.kept.disk != seat.disk:  # it has yet to show that it can write
            return
        self.asked, self.next = now, now + seat.tuning.ask_s
        targets = {*self.seeds, *self.core} if self.leader is None else {self.leader}
        for address in sorted(targets - {seat.me}):
            note = seat.holding(pb.JOIN)
            note.term = self.term if self.asks and address == self.leader else 0
            seat.send(address, note)


def give_hint(seat: Seat, to: Address, disk: str, leader: Address) -> None:
    """Tell one who asks to join who leads (empty: unknown), and who the members are."""
    hint = seat.note(pb.HINT, disk)
    hint.leader = leader
    put_members(seat.entry.members, hint.members)
    seat.send(to, hint)


def tell_gone(seat: Seat, entry: Entry, to: Address, disk: str) -> None:
    """Tell a disk that it isn't a member any more, by this committed entry."""
    note = seat.note(pb.GONE, disk)
    note.has_term, note.has_number = entry.place
    put_members(entry.members, note.members)
    seat.send(to, note)


def turned_away(seat: Seat, sender: Address, note: pb.Note) -> bool:
    """Is a note from a disk that is no member any more? Then that is told to it."""
    known = seat.known
    if known is None or known.outgoing or known.names(note.disk) or seat.entry.names(note.disk) \
            or (note.has_term, note.has_number) >= known.place:
        return False
    if note.kind in (pb.PRE_VOTE, pb.REQUEST_VOTE, pb.APPENDED):
        tell_gone(seat, known, sender, note.disk)
    return True
