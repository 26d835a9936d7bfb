"""All that a sorter does in this plane: it follows the core's postmasters, and knows some neighbours."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Any

from post.machine import Address, Send
from post.rounds import wire
from post.rounds.follower import Follower
from post.rounds.follower import News as Told
from post.rounds.messages import (
    CONFIG,
    CORE,
    POSTMASTER,
    SORTER,
    Core,
    Fetch,
    Heard,
    Holds,
    News,
    Received,
    SetCore,
    SetSeeds,
    Tick,
)
from post.rounds.table import Table
from post.rounds.views import View
from post.rounds.wants import FAR_S, Shelf, Wants

BLIND_S = 3.0  # without any quorate source in reach, seeds and neighbours are followed too
PEER_S = 1.0  # a neighbour is asked for a configuration only after that


class SorterRounds:
    """Inputs: `Received`, `Tick`, `Holds`, `Fetch`, `SetSeeds`, and `SetCore` where the members are known
    from elsewhere. Outputs: `Send`, `Came`, `Changed`, `Gone`, `News`, `Heard`, `Core`.

    Follows the seeds (addresses of postmasters) until the members of the core are told by news."""

    def __init__(self, address: Address, zone: int, seeds: Sequence[Address], rng: random.Random) -> None:
        self.seeds, self.zone = tuple(seeds), zone
        self.follower, self.table = Follower(ingress_zone=zone), Table()
        self.wants, self.shelf = Wants(), Shelf()
        self.view = View(address, SORTER, zone, seeds, rng)
        self.core: tuple[Address, ...] = ()
        self.last_heard: float | None = None
        self.started = self.blind = False

    def handle(self, now: float, event: Any) -> list[Any]:
        """Take an input; returns what to send and what is new."""
        if not self.started:
            self.started, self.last_heard = True, now
            self._follow(now)
        if isinstance(event, Received):
            return self._received(now, event.sender, event.note)
        if isinstance(event, Tick):
            return self._tick(now)
        if isinstance(event, SetCore):
            self.core = event.addresses
            self._follow(now)
            return list(self.follower.tick(now))
        if isinstance(event, SetSeeds):
            self.seeds = event.addresses
            self.view.set_seeds(event.addresses)
            if not self.core:
                self._follow(now)
            return list(self.follower.tick(now))
        if isinstance(event, Holds):
            self.view.holds(event.version, event.digest)
            self.follower.tell(now, event.version, int.from_bytes(event.digest), *event[2:])
            return []
        if isinstance(event, Fetch):
            return self._fetch(now, event)
        raise TypeError(f"{type(event).__name__} is no input")

    def _received(self, now: float, sender: Address, note: Any) -> list[Any]:
        kind = note.WhichOneof("kind")
        if kind == "answer":
            out, told = self.follower.answered(now, sender, note.answer)
            return [*out, *self._told(now, told)] if told else list(out)
        if kind == "value":
            return self._news(now, self.wants.value(note.value))
        if kind == "ask":
            return list(self.shelf.asked(sender, note.ask))
        if kind in ("swap", "swapped"):
            swap = note.swap if kind == "swap" else note.swapped
            return self._swapped(now, self.view.received(now, sender, swap, kind == "swapped"))
        return []

    def _told(self, now: float, told: Told) -> list[Any]:
        """What came of a log."""
        out: list[Any] = []
        backends = [r for r in told.records if not isinstance(r, wire.Notice)]
        if told.whole:
            out += self.table.whole(now, told.source, backends)
        else:
            for record in backends:
                out += self.table.record(now, told.source, record)
        for notice in told.records:
            if isinstance(notice, wire.Notice):
                out += self._notice(now, told.source, notice)
        return out

    def confirmed(self, now: float) -> tuple[int, float] | None:
        """The version that a majority of the core says is the newest, and since when that is sure."""
        return self.follower.confirmed(now, self.core)

    def _fetch(self, now: float, fetch: Fetch) -> list[Any]:
        """Ask at once, whoever may have it."""
        self.wants.settle(CONFIG, (0, fetch.version), fetch.again)
        holders = [fetch.holder] if fetch.holder else self.follower.heard(now)
        return [self.wants.ask(CONFIG, (0, fetch.version), holder) for holder in holders]

    def _notice(self, now: float, source: Address, notice: wire.Notice) -> list[Any]:
        if notice.kind == CONFIG and (followed := self.follower.sources.get(source)) is not None:
            followed.config = notice.fence[1]
        if notice.data is not None:
            return self._news(now, self.wants.got(notice.kind, notice.fence, notice.data, notice.digest))
        wait = 0.0 if self.follower.near(source, self.zone) else FAR_S
        out: list[Any] = list(self.wants.offered(now, notice.kind, notice.fence, source, wait))
        if notice.kind == CONFIG:
            out.append(Heard(notice.fence[1], notice.digest, source))
        return out

    def _news(self, now: float, news: list[News]) -> list[Any]:
        out: list[Any] = list(news)
        for item in news:
            if item.kind == CORE:
                out += self._core(now, item)
            elif item.kind == CONFIG:
                self.shelf.put(wire.Notice(CONFIG, item.fence, item.digest, item.data))
        return out

    def _core(self, now: float, news: News) -> list[Send]:
        """Follow the members that news names."""
        members = wire.members_or_none(news.data)
        if not members:
            return []
        self.view.tell_core(news.fence, members)
        self.core = members
        self._follow(now)
        return self.follower.tick(now)

    def _swapped(self, now: float, outputs: Sequence[Any]) -> list[Any]:
        out: list[Any] = list(outputs)
        for output in outputs:
            if isinstance(output, Core):
                self.core = output.members
                self._follow(now)
            elif isinstance(output, Heard) and output.holder:
                out += self.wants.offered(now, CONFIG, (0, output.version), output.holder, PEER_S)
        return out

    def _follow(self, now: float, blind: bool = False) -> None:
        """Follow the core; while it is unknown or out of reach, whoever may know it."""
        wanted = list(self.core) if self.core else list(self.seeds)
        if blind:
            wanted += [*self.seeds, *(p.address for p in self.view.peers() if p.role == POSTMASTER)]
        self.blind = blind
        for left in self.follower.follow(now, wanted):
            self.table.unhold(now, left)

    def _tick(self, now: float) -> list[Any]:
        heard = self.follower.quorate(now)
        if heard:
            self.last_heard = now
            if self.blind and any(a in self.core for a in heard):
                self._follow(now)
        elif self.last_heard is not None and now - self.last_heard > BLIND_S:
            self.last_heard = now  # not again at once
            self._follow(now, blind=True)
        out: list[Any] = [*self.follower.tick(now), *self.wants.tick(now), *self.view.tick(now)]
        for source, last in self.follower.lost(now, self.table.grace):
            self.table.unhold(last, source)
        out += self.table.tick(now, bool(self.follower.judges(now)))
        return out
