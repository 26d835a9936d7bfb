"""The holders as a charger knows them: which parts each has, whether it answers, what it was told."""

from __future__ import annotations

from collections.abc import Iterable

from google.protobuf.message import DecodeError

from post.franking import franking_pb2 as pb
from post.franking.franking_pb2 import Alive, Note
from post.franking.interface import ALIVE_S, PARTS
from post.franking.peers import Peers
from post.franking.purse import Purse
from post.machine import Address, Send

MISSES = 2      # in a row make a holder silent
TELL_S = 1.0    # between two Alive to a holder that gets charges all the time, or that gave no share
VIEWS_S = 5.0   # between two of them with what this charger knows


class Link:
    """One holder."""

    __slots__ = ("address", "heard", "misses", "number", "parts", "sent", "told", "told_at",
                 "viewed_at")

    def __init__(self, address: Address) -> None:
        self.address, self.parts = address, 0
        self.heard, self.sent, self.misses = -1e9, -1e9, 0
        self.number, self.told_at = 0, -1e9  # the newest Alive
        self.told = False                    # whether it knows all shares of its parts
        self.viewed_at = -1e9                # when it was told views

    @property
    def silent(self) -> bool:
        """Whether it didn't answer lately."""
        return self.misses >= MISSES

    def missed(self, since: float) -> None:
        """Something sent at `since` has had no answer."""
        if self.heard < since:
            self.misses += 1


class Links:
    """All holders of the newest table."""

    def __init__(self, life: int) -> None:
        self.life = life
        self.links: dict[Address, Link] = {}
        self.places: list[Link | None] = [None] * PARTS
        self.fence = (0, 0)
        self.peers = Peers()                 # chargers that may have shares, as holders tell
        self.due = 0.0                       # next look for holders that must hear something

    def follow(self, now: float, data: bytes) -> None:
        """Take over a table of holders, unless a newer one is known."""
        try:
            table = pb.Places.FromString(data)
        except DecodeError:
            return
        fence, holders = (table.term, table.number), list(table.holders)
        if fence <= self.fence or len(table.place) != PARTS:
            return
        self.fence = fence
        links = {address: self.links.get(address) or Link(address) for address in holders}
        parts = dict.fromkeys(holders, 0)
        for part, index in enumerate(table.place):
            address = holders[index] if index < len(holders) else None
            self.places[part] = links[address] if address is not None else None
            if address is not None:
                parts[address] |= 1 << part
        for address, link in links.items():
            if parts[address] & ~link.parts:
                link.told = False
            link.parts = parts[address]
        self.links, self.due = links, now

    def on_heard(self, now: float, link: Link, heard: pb.Heard) -> None:
        """A holder has heard that this charger is there."""
        self.peers.learn(now, heard.peers, heard.silent_ms)
        link.told = not heard.missing & link.parts

    def tick(self, now: float, purses: Iterable[Purse]) -> list[Send]:
        """Say to each holder often enough that this charger is there."""
        if now < self.due:
            return []
        self.due = now + ALIVE_S / 2
        known = list(purses)
        live = [p for p in known if p.live(now)]
        givers, out = {p.giver for p in live}, []
        for link in self.links.values():
            soon = ALIVE_S if not link.told or link.misses or link.address in givers else TELL_S
            if now >= link.sent + soon or now >= link.told_at + (TELL_S if link.told else ALIVE_S):
                out.append(self.tell(now, link, live, known))
        return out

    def tell(self, now: float, link: Link, live: list[Purse], known: list[Purse]) -> Send:
        """Say that this charger is there, its shares until the holder knows them, and at times its views."""
        link.missed(link.told_at)
        link.number += 1
        link.told_at = link.sent = now
        alive = Alive(life=self.life, number=link.number)
        if link.silent:
            alive.deaf = True
        alive.peers, silent_ms = self.peers.told(now)
        alive.silent_ms.extend(silent_ms)
        if not link.told:
            alive.parts = link.parts
            for purse in live:
                if link.parts >> (purse.number % PARTS) & 1:
                    alive.shares.add(tenant=purse.number, part=purse.share, spent=purse.spent,
                                     left_ms=int((purse.until - now) * 1000) + 1,
                                     flows_ms=int(purse.flows(now) * 1000))
        if now >= link.viewed_at + VIEWS_S:
            for purse in known:
                if purse.seen > link.viewed_at and link.parts >> (purse.number % PARTS) & 1:
                    alive.views.add(tenant=purse.number, remaining=purse.remaining,
                                    age_ms=int((now - purse.seen) * 1000))
            link.viewed_at = now
        return Send(link.address, Note(alive=alive))
