"""The agreement on the operator's word: Raft with a log of one entry, which is the whole state.

Elections, terms and the rule of commitment are Raft's. A leader first has what it held agreed on anew in its
own term. An entry goes to those who lack it; beats carry no more than its place. Members are disks: one that
comes back empty is a new one. While members change, an entry needs majorities of the old and of the new ones.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from post.machine import Address
from post.register import register_pb2 as pb
from post.register.api import (
    Event,
    Known,
    Leave,
    Output,
    Propose,
    Proposed,
    Received,
    Tuning,
    WriteFailed,
    Written,
)
from post.register.campaign import Campaign
from post.register.following import Following
from post.register.joining import Joining, give_hint, turned_away
from post.register.leading import Leading
from post.register.records import NOTHING, Entry, Member, Stored, first_entry, get_entry, odd
from post.register.seat import Seat
from post.register.starting import Starting
from post.register.timing import Timing
from post.register.voting import Voting


class Agreement:
    """One disk's part. `now` must be read after the input came, for leases rest on it.

    `stored` is what `Store.load` gave: it counts once it is saved, for a kill may have left it unsynced;
    `fresh` the first start of the whole system; `seeds` the own ports of the seeds; `new_disk_id` a random
    name, used if this disk is to be a new member; `tolerance` how many members may be lost at once.
    `dropped` counts notes that made no sense, by why.
    """

    def __init__(self, me: Address, stored: Stored | None, fresh: bool, seeds: Sequence[Address],
                 rng: random.Random, tuning: Tuning, new_disk_id: str, tolerance: int, now: float,
                 began: float | None = None) -> None:
        blank = stored is None
        if stored is None and fresh and me in seeds:
            stored = Stored("first-" + me, 0, "", first_entry(seeds))
        self.seat = Seat(me, stored or Stored(new_disk_id, 0, "", NOTHING), tuning, rng)
        self.tuning, self.rng, self.tolerance = tuning, rng, tolerance
        self.leading: Leading | None = None
        self.campaign: Campaign | None = None
        self.joining = Joining(self.seat, seeds)
        until = now if blank else now + tuning.election_min_s * self.seat.stretch
        self.starting = Starting(self.seat, now, until, now if began is None else began)
        self.timing = Timing(self.seat, now)
        self.following = Following(self.seat, self.timing, now)
        self.unled_since: float | None = None  # of the leader that this is: see `Starting`
        self.voting = Voting(self.seat, self.starting, self.following)
        self.dropped: dict[str, int] = {}
        self.leaving = self.left = False  # asked to leave; and no member any more
        self.leave_at = now

    @property
    def role(self) -> str:
        """`leader`, `candidate`, `follower` or `joiner` (no member, asks to be one)."""
        if self.leading is not None:
            return "leader"
        if not self.seat.seated:
            return "joiner"
        return "follower" if self.campaign is None else "candidate"

    @property
    def leader(self) -> Address | None:
        """Who leads, as far as known."""
        if self.leading is not None:
            return self.seat.me
        return self.following.leader or (None if self.seat.seated else self.joining.leader)

    @property
    def members(self) -> tuple[Member, ...]:
        """The members by the newest entry held; none for a disk that isn't one."""
        return () if self.role == "joiner" else self.seat.entry.members

    @property
    def term(self) -> int:
        """The newest term known; a leader's is its fence."""
        return self.seat.term

    @property
    def committed(self) -> int:
        """Version of the newest value known to be committed; 0 if none."""
        return self.seat.announced

    @property
    def value(self) -> Entry | None:
        """The newest entry known to be committed, with its version and value."""
        return self.seat.known

    def in_touch_until(self) -> float:
        """A lease by this process's clock: until then it may say that it is in touch with a majority, and
        that `value` is the newest there is, or was at most `election_max_s` ago."""
        return (self.leading or self.following).in_touch_until()

    def sure(self, now: float) -> bool:
        """Is this the leader, can't there be another, and is `value` the newest there is?"""
        return self.leading is not None and self.leading.sure(now)

    def handle(self, now: float, event: Event) -> list[Output]:
        """Take an input; what is to be sent, written and told."""
        out = self.seat.out = []
        if isinstance(event, Received):
            self._receive(now, event.sender, event.note)
        elif isinstance(event, Written):
            if self.seat.written(now, event.token):
                self._kept(now)
        elif isinstance(event, WriteFailed):
            self.seat.failed(now, event.token)
        elif isinstance(event, Propose):
            self._propose(now, event)
        elif isinstance(event, Leave):
            self.leaving = True
        elif isinstance(event, Known):
            self.joining.learn(event.addresses)
        else:
            self._tick(now)
        self._go_on(now)
        self.seat.save(now)
        return out

    def _propose(self, now: float, event: Propose) -> None:
        if self.leading is None:
            self.seat.out.append(Proposed(event.token, "refused"))
        else:
            self.leading.propose(now, event)

    def _tick(self, now: float) -> None:
        following = self.following
        self.starting.tick(now)
        self.timing.update(now)
        following.relax(now)
        if self.leading is not None:
            if not self.leading.tick(now, self.leaving):
                self._step_down(now)
        elif now >= self.timing.patience:
            self._stand(now)
        elif self.campaign is not None:
            self.campaign.tick(now)
        if not self.seat.seated:
            if not self.left:
                self.joining.tick(now)
        elif self.leaving and following.leader is not None and now >= self.leave_at:
            self.leave_at = now + self.tuning.ask_s
            self.seat.send(following.leader, self.seat.telling(pb.LEAVE, following.disk))

    def _stand(self, now: float) -> None:
        """No leader is heard: try to be one. Early in a life others may not be free yet, so ask often."""
        self.timing.wait(now)
        self.following.leader = None
        may = not self.leaving and self.voting.may_stand(now)
        early = now < self.starting.until + self.tuning.election_max_s
        again_s = self.tuning.begun_s if early else 2 * self.tuning.beat_s * self.timing.stretch
        self.campaign = Campaign(self.seat, now, again_s) if may else None
        self.joining.seek()

    def _go_on(self, now: float) -> None:
        """A campaign that is won makes a leader. One that has led itself out of the members is done."""
        if self.campaign is not None and self.campaign.won:
            self.unled_since = self.starting.unled_since()
            self.campaign, self.following.leader, self.starting.unled = None, None, False
            self.leading = Leading(self.seat, now, self.tolerance, self.timing)
        elif self.leading is not None and self.leading.settled and not self.seat.seated:
            self.leading.hand_over(now)
            self._begin_anew(now)

    def _kept(self, now: float) -> None:
        """More is on disk: tell those whom it concerns."""
        self.voting.kept()
        if self.campaign is not None:
            self.campaign.kept()
        if self.leading is not None:
            self.leading.count(now)
        else:
            self.following.kept(now)
        if not self.seat.seated and not self.left:
            self.joining.caught_up(now)

    def _step_down(self, now: float) -> None:
        if self.leading is not None:
            self.leading.resign()
            self.leading = self.unled_since = None
        self.campaign = self.following.leader = None
        self.timing.wait(now)

    def _adopt(self, now: float, term: int) -> None:
        """Go on to a later term that someone has told of."""
        if self.leading is not None or self.campaign is not None:
            self._step_down(now)
        self.following.leader = self.voting.promised = None
        self.seat.adopt(term)

    def _receive(self, now: float, sender: Address, note: pb.Note) -> None:
        why = odd(note)
        if why:
            return self._drop(why)
        kind, seat = note.kind, self.seat
        if note.to_disk and note.to_disk != seat.disk:
            if kind != pb.HEARTBEAT:  # meant for a disk that was here before, or for anyone
                turned_away(seat, sender, note)
            elif not seat.seated:
                self.joining.lead(now, sender, note.term)
        elif kind == pb.HEARTBEAT or kind == pb.APPEND:
            self._beat(now, sender, note)
        elif kind == pb.JOIN:
            self._join(now, sender, note)
        elif kind == pb.HINT:
            if not seat.seated:
                self.joining.hint(now, sender, note)
        elif kind == pb.GONE:
            self._gone(now, note)
        elif not turned_away(seat, sender, note):
            self._of_a_member(now, sender, note)

    def _drop(self, why: str) -> None:
        self.dropped[why] = self.dropped.get(why, 0) + 1

    def _of_a_member(self, now: float, sender: Address, note: pb.Note) -> None:
        kind = note.kind
        self.timing.take(now, note)
        if kind == pb.PRE_VOTE:
            self.voting.pre_vote(sender, note, self._free(now, note))
        elif kind == pb.REQUEST_VOTE:
            self._request_vote(now, sender, note)
        elif kind == pb.TIMEOUT_NOW:
            self._handed(now, note)
        elif kind == pb.LEAVE:
            if self.leading is not None:
                self.leading.leave(now, note)
        elif kind == pb.BEGUN:
            self._begun(now, sender, note)
        elif note.term > self.seat.term and (kind == pb.APPENDED or not note.granted):
            self._adopt(now, note.term)
        elif kind == pb.APPENDED:
            if self.leading is not None and note.term == self.seat.term:
                self.leading.appended(now, note)
        elif self.campaign is not None:
            (self.campaign.pre_voted if kind == pb.PRE_VOTED else self.campaign.voted)(note)

    def _beat(self, now: float, sender: Address, note: pb.Note) -> None:
        """The leader is heard, with its newest entry perhaps."""
        seat = self.seat
        if note.term < seat.term:
            return self.following.tell(now, sender, note.disk, note.sent)
        learns = note.kind == pb.APPEND and not get_entry(note.entry).names(seat.disk)
        if self.leading is not None and note.term == seat.term or learns and (seat.seated or self.left):
            return self._drop("leader")
        if note.term > seat.term:
            self._adopt(now, note.term)
        self.campaign, self.starting.unled = None, False
        if learns:
            self.following.learn(note)
            return self.joining.taught(now, sender, note.term)
        self.following.beat(now, sender, note)
        self.timing.wait(now)

    def _free(self, now: float, note: pb.Note) -> bool:
        return self.leading is None and self.voting.free(now, note)

    def _request_vote(self, now: float, sender: Address, note: pb.Note) -> None:
        if not self._free(now, note):
            return
        if note.term > self.seat.term:
            self._adopt(now, note.term)
        if self.voting.request_vote(sender, note):
            self.timing.wait(now)

    def _begun(self, now: float, sender: Address, note: pb.Note) -> None:
        """Others have begun anew: one after the other stands, if all have at once, else as soon as it may."""
        starting = self.starting
        starting.begun(now, sender, note)
        turn = starting.turn() if starting.unled and now < starting.until else None
        if turn is not None and self.campaign is None:
            begins = now if starting.unanimous() else starting.until
            self.timing.patience = min(self.timing.patience, begins + turn * self.tuning.beat_s)
            if now >= self.timing.patience:
                self._stand(now)

    def _handed(self, now: float, note: pb.Note) -> None:
        """The leader has stepped down in favour of this one."""
        if note.term == self.seat.term and self.following.leader is not None \
                and note.disk == self.following.disk and not self.leaving and self.voting.able(now):
            self.timing.wait(now)
            self.following.leader = None
            self.campaign = Campaign(self.seat, now, 2 * self.tuning.beat_s, handed=True)

    def _join(self, now: float, sender: Address, note: pb.Note) -> None:
        if self.leading is not None:
            self.leading.join(now, sender, note)
        elif self.leader is not None or self.members:
            give_hint(self.seat, sender, note.disk, self.leader or "")

    def _gone(self, now: float, note: pb.Note) -> None:
        """This disk is no member any more."""
        if (note.has_term, note.has_number) > self.seat.entry.place:
            self.joining.learn([m.address for m in note.members])
            self._begin_anew(now)

    def _begin_anew(self, now: float) -> None:
        """What this disk holds counts for nothing any more; it asks to be a member, unless it is to end."""
        self._step_down(now)
        self.left = self.leaving
        self.seat.begin_anew(f"{self.rng.getrandbits(64):016x}")
