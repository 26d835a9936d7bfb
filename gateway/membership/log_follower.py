"""Following the logs of several sources: heartbeats, and what came of each log."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import NamedTuple

from gateway.membership import membership_pb2 as pb
from gateway.membership import wire
from gateway.membership.wire import Record
from gateway.state_machine import Address, Send

HEARTBEAT_S = 0.4  # between two heartbeats to a source
SLOW_HEARTBEAT_S = 1.0  # to one that is silent for long
FIRST_HEARTBEAT_S, STARTUP_S = (
    0.1,
    2.0,
)  # to one that has yet to be heard, and for how long: it may be starting
SILENT_S = 1.5  # unheard of for so long, a source counts as lost to us
REQUEST_INTERVAL_S = 0.05  # between two requests for what is missing
REPORT_S = 2.0  # what runs here is told in each heartbeat for so long after a change, and to silent sources,
REPORT_EVERY = 2  # and in one of so many else


class Update(NamedTuple):
    """What came of a source's log; a whole one tells all that the log holds."""

    source: Address
    snapshot: bool
    records: list[Record]


class _SourceState:
    __slots__ = (
        "log",
        "position",
        "heard",
        "since",
        "due",
        "asked_at",
        "quorate",
        "lost",
        "zone",
        "declared_lost",
        "last_heartbeats",
        "synced_at",
        "config",
        "reports_sent",
    )

    def __init__(self, now: float) -> None:
        self.log = self.position = 0
        self.heard, self.since, self.due, self.asked_at = -1e9, now, now, -1e9
        self.quorate, self.lost, self.zone = False, frozenset[int](), -1
        self.declared_lost = False
        self.last_heartbeats = (-1e9, -1e9)  # when the last two heartbeats went out
        self.synced_at = -1e9  # nothing was missing of its log then
        self.config = 0  # the newest version in it
        self.reports_sent = 0  # heartbeats that told what runs here

    def mark_synced(self, answer: pb.Answer) -> None:
        """Nothing is missing of its log, by an answer to the last heartbeat or the one before: no earlier one
        is answered so late, nor one from before it was followed."""
        if answer.quorate:
            self.synced_at = max(self.last_heartbeats[0], self.since)


class LogFollower:
    """Knows how far it has each source's log. `beat` is the time between heartbeats in seconds; an
    ingress tells the number of its zone."""

    def __init__(self, heartbeat_interval: float = HEARTBEAT_S, ingress_zone: int = -1) -> None:
        self.heartbeat_interval, self.ingress_zone = heartbeat_interval, ingress_zone
        self.sources: dict[Address, _SourceState] = {}
        self.running_config: tuple[int, int, int, str] | None = None
        self.running_config_at = -1e9

    def report_running_config(
        self, now: float, version: int, digest: int, findings: int, finding: str
    ) -> None:
        """What runs here, to be told to all sources for a while, and now and then later."""
        self.running_config, self.running_config_at = (version, digest, findings, finding), now

    def follow(self, now: float, addresses: Iterable[Address]) -> list[Address]:
        """Follow these from now on; returns those that are no longer followed."""
        wanted = dict.fromkeys(addresses)
        left = [a for a in self.sources if a not in wanted]
        for address in left:
            del self.sources[address]
        for address in wanted:
            if address not in self.sources:
                self.sources[address] = _SourceState(now)
        return left

    def tick(self, now: float) -> list[Send]:
        """Heartbeats that are due."""
        out = []
        for address, state in self.sources.items():
            if now >= state.due:
                out.append(self._follow(now, address, state))
        return out

    def _follow(self, now: float, address: Address, state: _SourceState, quiet: bool = False) -> Send:
        first = state.heard < state.since and now - state.since < STARTUP_S
        state.due = now + (
            FIRST_HEARTBEAT_S
            if first
            else self.heartbeat_interval
            if now - max(state.heard, state.since) < 5.0
            else SLOW_HEARTBEAT_S
        )
        note = pb.Message()
        note.follow.log, note.follow.position, note.follow.quiet = state.log, state.position, quiet
        if not quiet:
            note.follow.zone = self.ingress_zone + 1
            state.last_heartbeats = state.last_heartbeats[1], now
            state.reports_sent += 1
            often = now - self.running_config_at < REPORT_S or now - state.heard > SILENT_S
            if self.running_config is not None and (often or state.reports_sent % REPORT_EVERY == 0):
                f = note.follow
                f.version, f.digest, f.findings, f.finding = self.running_config
        return Send(address, note)

    def answered(self, now: float, sender: Address, answer: pb.Answer) -> tuple[list[Send], Update | None]:
        """An answer or a push: what to send (a confirmation, or a call for what is missing), what came."""
        state = self.sources.get(sender)
        if state is None:
            return [], None
        state.declared_lost = False
        state.heard, state.quorate, state.lost = now, answer.quorate, frozenset(answer.lost)
        same_log = answer.log == state.log
        if same_log and answer.position <= state.position:
            state.mark_synced(answer)
            return [], None
        if not answer.snapshot and (not same_log or not answer.records or answer.base > state.position):
            if now - state.asked_at < REQUEST_INTERVAL_S:
                return [], None
            state.asked_at = now
            return [self._follow(now, sender, state)], None
        if answer.snapshot:
            state.log, state.zone, state.config = answer.log, answer.zone - 1, 0
        state.position = answer.position
        state.mark_synced(answer)
        news = Update(sender, answer.snapshot, list(wire.records(answer, now)))
        return [self._follow(now, sender, state, quiet=True)], news

    def confirmed(self, now: float, members: Collection[Address]) -> tuple[int, float] | None:
        """The newest version that the logs of a majority of these end with, all quorate, and since when that
        is sure: the heartbeats that they answered so went out then or later."""
        confirming = [
            state
            for a, state in self.sources.items()
            if state.quorate and state.config and 0 <= now - state.synced_at < SILENT_S and a in members
        ]
        version = max((state.config for state in confirming), default=0)
        synced_times = sorted(
            (state.synced_at for state in confirming if state.config == version), reverse=True
        )
        return (version, synced_times[len(members) // 2]) if 2 * len(synced_times) > len(members) else None

    def heard(self, now: float) -> list[Address]:
        """Sources that were heard of lately."""
        return [a for a, state in self.sources.items() if now - state.heard < SILENT_S]

    def quorate(self, now: float) -> list[Address]:
        """Those of them that are in touch with a majority."""
        return [a for a in self.heard(now) if self.sources[a].quorate]

    def silent(self, now: float) -> list[Address]:
        """Sources that were not heard of lately, although there was time."""
        return [a for a, state in self.sources.items() if now - max(state.heard, state.since) >= SILENT_S]

    def suspicions(self, now: float) -> list[frozenset[int]]:
        """Whom the quorate sources in reach have lost; empty while there are none."""
        return [self.sources[a].lost for a in self.quorate(now)]

    def lost(self, now: float, grace: float) -> list[tuple[Address, float]]:
        """Sources silent for the grace that, as all quorate sources in reach say, are silent to them too; and
        since when. Told once; a source that comes back later is followed from the beginning."""
        found = []
        suspicions = self.suspicions(now)
        for address, state in self.sources.items() if suspicions else ():
            last = max(state.heard, state.since)
            if (
                not state.declared_lost
                and now - last >= grace
                and all(wire.address_hash(address) in j for j in suspicions)
            ):
                state.declared_lost, state.log, state.position = True, 0, 0
                found.append((address, last))
        return found

    def in_zone(self, source: Address, zone: int) -> bool:
        """Whether a source is known to be in this zone."""
        state = self.sources.get(source)
        return state is not None and state.zone == zone
