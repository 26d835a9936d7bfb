"""Following the change logs of several sources: heartbeats to them, and the position in each log."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import NamedTuple

from gateway.membership import membership_pb2 as pb
from gateway.membership import wire
from gateway.membership.wire import Record
from gateway.state_machine import Address, Send

HEARTBEAT_S = 0.4  # between two heartbeats to a source
SLOW_HEARTBEAT_S = 1.0  # to a source that has been silent for five seconds
# to a source not heard yet, and for how long after it is first followed: it may be starting
FIRST_HEARTBEAT_S = 0.1
STARTUP_S = 2.0
SILENT_S = 1.5  # a source not heard for so long counts as silent
REQUEST_INTERVAL_S = 0.05  # between two requests for missing changes
REPORT_S = 2.0  # after a change, and to silent sources, each heartbeat reports the running configuration;
REPORT_EVERY = 2  # otherwise one heartbeat in so many does


class Update(NamedTuple):
    """Records received of a source's log; a `snapshot` has all that the log holds."""

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
        self.log = 0
        self.position = 0
        self.heard = -1e9
        self.since = now
        self.due = now
        self.asked_at = -1e9
        self.quorate = False
        self.lost = frozenset[int]()
        self.zone = -1
        self.declared_lost = False
        self.last_heartbeats = (-1e9, -1e9)  # when the last two heartbeats went out
        self.synced_at = -1e9  # at that time nothing of its log was missing here
        self.config = 0  # the newest configuration version in its log
        self.reports_sent = 0  # heartbeats sent, for `REPORT_EVERY`

    def mark_synced(self, answer: pb.Answer) -> None:
        """Nothing of the log is missing, by an answer to the last heartbeat or the one before. It counts as
        of that earlier one: no heartbeat before that is answered so late, nor one from before the source was
        followed."""
        if answer.quorate:
            self.synced_at = max(self.last_heartbeats[0], self.since)


class LogFollower:
    """Tracks the position reached in each source's log. `heartbeat_interval` is in seconds; an ingress gives
    the number of its zone (-1: not an ingress)."""

    def __init__(self, heartbeat_interval: float = HEARTBEAT_S, ingress_zone: int = -1) -> None:
        self.heartbeat_interval = heartbeat_interval
        self.ingress_zone = ingress_zone
        self.sources: dict[Address, _SourceState] = {}
        self.running_config: tuple[int, int, int, str] | None = None
        self.running_config_at = -1e9

    def report_running_config(
        self, now: float, version: int, digest: int, findings: int, finding: str
    ) -> None:
        """Set the running configuration that heartbeats report: each for `REPORT_S`, then one in
        `REPORT_EVERY`."""
        self.running_config = (version, digest, findings, finding)
        self.running_config_at = now

    def follow(self, now: float, addresses: Iterable[Address]) -> list[Address]:
        """Follow exactly these sources from now on; returns those that are no longer followed."""
        wanted = dict.fromkeys(addresses)
        left = [a for a in self.sources if a not in wanted]
        for address in left:
            del self.sources[address]
        for address in wanted:
            if address not in self.sources:
                self.sources[address] = _SourceState(now)
        return left

    def tick(self, now: float) -> list[Send]:
        """Send the heartbeats that are due."""
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
        note.follow.log = state.log
        note.follow.position = state.position
        note.follow.quiet = quiet
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
        """Handle an answer or a push. Returns what to send (a confirmation, or a request for what is
        missing), and the update received, if any."""
        state = self.sources.get(sender)
        if state is None:
            return [], None
        state.declared_lost = False
        state.heard = now
        state.quorate = answer.quorate
        state.lost = frozenset(answer.lost)
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
            state.log = answer.log
            state.zone = answer.zone - 1
            state.config = 0
        state.position = answer.position
        state.mark_synced(answer)
        news = Update(sender, answer.snapshot, list(wire.records(answer, now)))
        return [self._follow(now, sender, state, quiet=True)], news

    def confirmed(self, now: float, members: Collection[Address]) -> tuple[int, float] | None:
        """The newest configuration version in the logs of the quorate sources among these members, if a
        majority of the members have it, and the time as of which that is certain: the heartbeats that they
        answered so were sent then or later. None if there is no such majority."""
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
        """Sources that were heard within `SILENT_S`."""
        return [a for a, state in self.sources.items() if now - state.heard < SILENT_S]

    def quorate(self, now: float) -> list[Address]:
        """Sources heard lately that are in contact with a majority of the core."""
        return [a for a in self.heard(now) if self.sources[a].quorate]

    def silent(self, now: float) -> list[Address]:
        """Sources that weren't heard within `SILENT_S`, although they have been followed for so long."""
        return [a for a, state in self.sources.items() if now - max(state.heard, state.since) >= SILENT_S]

    def suspicions(self, now: float) -> list[frozenset[int]]:
        """For each quorate source in reach, the hashes of the addresses that it reports as silent."""
        return [self.sources[a].lost for a in self.quorate(now)]

    def lost(self, now: float, grace: float) -> list[tuple[Address, float]]:
        """Sources that have been silent for `grace` seconds and, by the reports of all quorate sources in
        reach, are silent to them too; each with the time it was last heard. None if no quorate source is in
        reach. Each is returned once; a source that comes back later is followed from the beginning."""
        found = []
        suspicions = self.suspicions(now)
        for address, state in self.sources.items() if suspicions else ():
            last = max(state.heard, state.since)
            if (
                not state.declared_lost
                and now - last >= grace
                and all(wire.address_hash(address) in j for j in suspicions)
            ):
                state.declared_lost = True
                state.log = 0
                state.position = 0
                found.append((address, last))
        return found

    def in_zone(self, source: Address, zone: int) -> bool:
        """Whether a source is known to be in this zone."""
        state = self.sources.get(source)
        return state is not None and state.zone == zone
