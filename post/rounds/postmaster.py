"""All that a postmaster does in this plane: leases, its log, the logs of the others, some neighbours."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Any

from post.machine import Address
from post.rounds import wire
from post.rounds.follower import Follower
from post.rounds.follower import News as Told
from post.rounds.leases import Leases
from post.rounds.log import Log
from post.rounds.messages import (
    CONFIG,
    CORE,
    POSTMASTER,
    Beat,
    End,
    Gone,
    Holds,
    News,
    Put,
    Received,
    Runs,
    SetCore,
    SetQuorate,
    SetSeeds,
    Tick,
)
from post.rounds.table import Table
from post.rounds.views import View
from post.rounds.wants import Shelf, Wants


class PostmasterRounds:
    """Inputs: `Received`, `Tick`, `SetCore` (this process included, if it is a member), `SetQuorate`,
    `SetSeeds`, `Beat`, `End`, `Put`, `Holds`. Outputs: `Send`, `Acked`, `Refused`, `Came`, `Changed`, `Gone`,
    `News`, `Heard`, `Core`, `Runs`.

    `beat` is the time between a backend's beats in seconds. Calls of backends are refused unless this
    process is a member of the core, since others aren't followed."""

    def __init__(self, address: Address, zone: int, seeds: Sequence[Address], beat: float,
                 rng: random.Random) -> None:
        self.address = address
        self.log, self.table, self.follower = Log(rng, zone), Table(), Follower()
        self.leases = Leases(self.log, self.table, address, beat)
        self.wants, self.shelf = Wants(), Shelf()
        self.view = View(address, POSTMASTER, zone, seeds, rng)

    def handle(self, now: float, event: Any) -> list[Any]:
        """Take an input; returns what to send, what to answer and what is new."""
        place = self.log.place
        out = self._handle(now, event)
        if self.log.place != place:
            out += self.log.push(now)
        return out

    def _handle(self, now: float, event: Any) -> list[Any]:
        if isinstance(event, Received):
            return self._received(now, event.sender, event.note)
        if isinstance(event, Tick):
            return self._tick(now)
        if isinstance(event, Beat):
            return self._settled(now, self.leases.beat(now, event))
        if isinstance(event, End):
            return self._settled(now, self.leases.end(now, event))
        if isinstance(event, Put):
            return self._put(event)
        if isinstance(event, SetCore):
            return self._set_core(now, event.addresses)
        if isinstance(event, Holds):
            self.follower.tell(now, event.version, int.from_bytes(event.digest), *event[2:])
            return []
        if isinstance(event, SetQuorate):
            self.log.quorate_until = event.until
            return []
        if isinstance(event, SetSeeds):
            self.view.set_seeds(event.addresses)
            return []
        raise TypeError(f"{type(event).__name__} is no input")

    def _received(self, now: float, sender: Address, note: Any) -> list[Any]:
        kind = note.WhichOneof("kind")
        if kind == "follow":
            out: list[Any] = list(self.log.followed(now, sender, note.follow))
            if (f := note.follow).version:
                out.append(Runs(sender, f.version, f.digest.to_bytes(8), f.findings, f.finding))
            return [*out, *self.leases.confirmed()] if self.leases.waiting else out
        if kind == "answer":
            out, told = self.follower.answered(now, sender, note.answer)
            return [*out, *self._told(now, told)] if told else list(out)
        if kind == "value":
            return self._news(self.wants.value(note.value))
        if kind == "ask":
            return list(self.shelf.asked(sender, note.ask))
        if kind in ("swap", "swapped"):
            swap = note.swap if kind == "swap" else note.swapped
            return list(self.view.received(now, sender, swap, kind == "swapped"))
        return []

    def _told(self, now: float, told: Told) -> list[Any]:
        """What came of another one's log; the own log is put in line with it."""
        backends = [r for r in told.records if not isinstance(r, wire.Notice)]
        if told.whole:
            out: list[Any] = list(self.table.whole(now, told.source, backends))
        else:
            out = [change for r in backends for change in self.table.record(now, told.source, r)]
        for record in backends:
            id = record.backend.id if isinstance(record, wire.Listed) else record.id
            out += self.leases.settle(now, id)
        out = self._settled(now, out)
        for notice in told.records:
            if isinstance(notice, wire.Notice) and notice.kind != CONFIG:  # that comes by agreement
                if notice.data is not None:
                    out += self._news(self.wants.got(notice.kind, notice.fence, notice.data, notice.digest))
                else:
                    out += self.wants.offered(now, notice.kind, notice.fence, told.source, 0.0)
        return out

    def _settled(self, now: float, outputs: Sequence[Any]) -> list[Any]:
        """After backends have gone: leases that ended with them, and news of it in the own log."""
        out: list[Any] = list(outputs)
        for output in outputs:
            if isinstance(output, Gone):
                out += self.leases.settle(now, output.id)
        return out

    def _news(self, news: list[News]) -> list[Any]:
        """Tell news of another, and pass it on; configurations have their own way."""
        for item in news:
            if item.kind != CONFIG:
                self._put(Put(*item))
        return list(news)

    def _put(self, put: Put) -> list[Any]:
        notice = wire.Notice(put.kind, put.fence, put.digest, put.data)
        members = wire.members_or_none(put.data) if put.kind == CORE else ()
        if members is None or not self.shelf.put(notice):
            return []
        self.wants.got(put.kind, put.fence, put.data, put.digest)
        self.log.put(put.kind, notice)
        if put.kind == CONFIG:
            self.view.holds(put.fence[1], put.digest)
        elif put.kind == CORE:
            self.view.tell_core(put.fence, members)
        return []

    def _set_core(self, now: float, addresses: Sequence[Address]) -> list[Any]:
        self.leases.core = tuple(addresses)
        for left in self.follower.follow(now, [a for a in addresses if a != self.address]):
            self.table.unhold(now, left)
        return [*self.follower.tick(now), *self.leases.confirmed()]

    def _tick(self, now: float) -> list[Any]:
        out: list[Any] = self._settled(now, self.leases.tick(now, self.log.quorate(now)))
        self.log.lost = [wire.mark(a) for a in self.follower.silent(now)]
        for source, last in self.follower.lost(now, self.table.grace):
            self.table.unhold(last, source)
        judged = bool(self.follower.judges(now)) or not self.follower.sources
        out += self._settled(now, self.table.tick(now, judged))
        return [*out, *self.follower.tick(now), *self.wants.tick(now), *self.view.tick(now),
                *self.log.tick(now)]


