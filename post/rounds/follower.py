"""Following the logs of several sources: heartbeats, and what came of each log."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import NamedTuple

from post.machine import Address, Send
from post.rounds import rounds_pb2 as pb
from post.rounds import wire
from post.rounds.wire import Record

BEAT_S = 0.4  # between two heartbeats to a source
SLOW_BEAT_S = 1.0  # to one that is silent for long
FIRST_BEAT_S, FIRST_S = 0.1, 2.0  # to one that has yet to be heard, and for how long: it may be starting
SILENT_S = 1.5  # unheard of for so long, a source counts as lost to us
GAP_S = 0.05  # between two requests for what is missing
TELL_S = 2.0  # what runs here is told in each heartbeat for so long after a change, and to silent sources,
TELL_EVERY = 2  # and in one of so many else


class News(NamedTuple):
    """What came of a source's log; a whole one tells all that the log holds."""

    source: Address
    whole: bool
    records: list[Record]


class _Source:
    __slots__ = ("log", "place", "heard", "since", "due", "asked_at", "quorate", "lost", "zone", "given_up",
                 "beats", "level", "config", "told")

    def __init__(self, now: float) -> None:
        self.log = self.place = 0
        self.heard, self.since, self.due, self.asked_at = -1e9, now, now, -1e9
        self.quorate, self.lost, self.zone = False, frozenset[int](), -1
        self.given_up = False
        self.beats = (-1e9, -1e9)  # when the last two heartbeats went out
        self.level = -1e9  # nothing was missing of its log then
        self.config = 0  # the newest version in it
        self.told = 0  # heartbeats that told what runs here

    def reach(self, answer: pb.Answer) -> None:
        """Nothing is missing of its log, by an answer to the last heartbeat or the one before: no earlier one
        is answered so late, nor one from before it was followed."""
        if answer.quorate:
            self.level = max(self.beats[0], self.since)


class Follower:
    """Knows how far it has each source's log. `beat` is the time between heartbeats in seconds; an
    ingress tells the number of its zone."""

    def __init__(self, beat: float = BEAT_S, ingress_zone: int = -1) -> None:
        self.beat, self.ingress_zone = beat, ingress_zone
        self.sources: dict[Address, _Source] = {}
        self.runs: tuple[int, int, int, str] | None = None
        self.runs_at = -1e9

    def tell(self, now: float, version: int, digest: int, findings: int, finding: str) -> None:
        """What runs here, to be told to all sources for a while, and now and then later."""
        self.runs, self.runs_at = (version, digest, findings, finding), now

    def follow(self, now: float, addresses: Iterable[Address]) -> list[Address]:
        """Follow these from now on; returns those that are no longer followed."""
        wanted = dict.fromkeys(addresses)
        left = [a for a in self.sources if a not in wanted]
        for address in left:
            del self.sources[address]
        for address in wanted:
            if address not in self.sources:
                self.sources[address] = _Source(now)
        return left

    def tick(self, now: float) -> list[Send]:
        """Heartbeats that are due."""
        out = []
        for address, s in self.sources.items():
            if now >= s.due:
                out.append(self._follow(now, address, s))
        return out

    def _follow(self, now: float, address: Address, s: _Source, quiet: bool = False) -> Send:
        first = s.heard < s.since and now - s.since < FIRST_S
        s.due = now + (FIRST_BEAT_S if first else
                       self.beat if now - max(s.heard, s.since) < 5.0 else SLOW_BEAT_S)
        note = pb.Note()
        note.follow.log, note.follow.place, note.follow.quiet = s.log, s.place, quiet
        if not quiet:
            note.follow.zone = self.ingress_zone + 1
            s.beats = s.beats[1], now
            s.told += 1
            often = now - self.runs_at < TELL_S or now - s.heard > SILENT_S
            if self.runs is not None and (often or s.told % TELL_EVERY == 0):
                f = note.follow
                f.version, f.digest, f.findings, f.finding = self.runs
        return Send(address, note)

    def answered(self, now: float, sender: Address, answer: pb.Answer) -> tuple[list[Send], News | None]:
        """An answer or a push: what to send (a confirmation, or a call for what is missing), what came."""
        s = self.sources.get(sender)
        if s is None:
            return [], None
        s.given_up = False
        s.heard, s.quorate, s.lost = now, answer.quorate, frozenset(answer.lost)
        same = answer.log == s.log
        if same and answer.place <= s.place:
            s.reach(answer)
            return [], None
        if not answer.whole and (not same or not answer.records or answer.base > s.place):
            if now - s.asked_at < GAP_S:
                return [], None
            s.asked_at = now
            return [self._follow(now, sender, s)], None
        if answer.whole:
            s.log, s.zone, s.config = answer.log, answer.zone - 1, 0
        s.place = answer.place
        s.reach(answer)
        news = News(sender, answer.whole, list(wire.records(answer, now)))
        return [self._follow(now, sender, s, quiet=True)], news

    def confirmed(self, now: float, members: Collection[Address]) -> tuple[int, float] | None:
        """The newest version that the logs of a majority of these end with, all quorate, and since when that
        is sure: the heartbeats that they answered so went out then or later."""
        sure = [s for a, s in self.sources.items()
                if s.quorate and s.config and 0 <= now - s.level < SILENT_S and a in members]
        version = max((s.config for s in sure), default=0)
        levels = sorted((s.level for s in sure if s.config == version), reverse=True)
        return (version, levels[len(members) // 2]) if 2 * len(levels) > len(members) else None

    def heard(self, now: float) -> list[Address]:
        """Sources that were heard of lately."""
        return [a for a, s in self.sources.items() if now - s.heard < SILENT_S]

    def quorate(self, now: float) -> list[Address]:
        """Those of them that are in touch with a majority."""
        return [a for a in self.heard(now) if self.sources[a].quorate]

    def silent(self, now: float) -> list[Address]:
        """Sources that were not heard of lately, although there was time."""
        return [a for a, s in self.sources.items() if now - max(s.heard, s.since) >= SILENT_S]

    def judges(self, now: float) -> list[frozenset[int]]:
        """Whom the quorate sources in reach have lost; empty while there are none."""
        return [self.sources[a].lost for a in self.quorate(now)]

    def lost(self, now: float, grace: float) -> list[tuple[Address, float]]:
        """Sources silent for the grace that, as all quorate sources in reach say, are silent to them too; and
        since when. Told once; a source that comes back later is followed from the beginning."""
        found = []
        judges = self.judges(now)
        for address, s in self.sources.items() if judges else ():
            last = max(s.heard, s.since)
            if not s.given_up and now - last >= grace and all(wire.mark(address) in j for j in judges):
                s.given_up, s.log, s.place = True, 0, 0
                found.append((address, last))
        return found

    def near(self, source: Address, zone: int) -> bool:
        """Whether a source is known to be in this zone."""
        s = self.sources.get(source)
        return s is not None and s.zone == zone
