"""Follows the change logs of several sources: sends heartbeats, and tracks the position in each log."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import NamedTuple

from gateway.membership import codec
from gateway.membership import membership_pb2 as pb
from gateway.membership.codec import Record
from gateway.state_machine import LONG_AGO, Address, Send

HEARTBEAT_S = 0.4  # interval of heartbeats to a source
SLOW_HEARTBEAT_S = 1.0  # interval for a source that has been unresponsive for `SLOW_AFTER_S`
SLOW_AFTER_S = 5.0
FIRST_HEARTBEAT_S = 0.1  # interval for a source without contact yet, which may be starting
STARTUP_S = 2.0  # a source may be starting for this long after it is first followed
SOURCE_TIMEOUT_S = 1.5  # a source is unresponsive after this time without contact
REQUEST_INTERVAL_S = 0.05  # minimum interval of requests for missing changes
# For this long after a change, and to unresponsive sources, each heartbeat reports the running configuration.
REPORT_S = 2.0
REPORT_EVERY = 2  # otherwise, one in this many heartbeats reports it
NO_ZONE = -1


class LogUpdate(NamedTuple):
    """Records received from a source's log; a `snapshot` contains all records of the log."""

    source: Address
    snapshot: bool
    records: list[Record]


class LostSource(NamedTuple):
    """A lost source, and the time of the last contact with it."""

    address: Address
    last_contact_at: float


class ConfirmedConfig(NamedTuple):
    """A configuration version, and a time at which a majority is known to have had it as the newest."""

    version: int
    at: float


class _ReportedConfig(NamedTuple):
    version: int
    digest: int
    findings: int
    finding: str


class _SourceState:
    __slots__ = (
        "config_version",
        "declared_lost",
        "followed_since",
        "last_contact_at",
        "last_heartbeats",
        "log",
        "next_heartbeat_at",
        "position",
        "quorate",
        "reports_sent",
        "requested_at",
        "synced_at",
        "unreachable",
        "zone",
    )

    def __init__(self, now: float) -> None:
        self.log = 0
        self.position = 0
        self.last_contact_at = LONG_AGO
        self.followed_since = now
        self.next_heartbeat_at = now
        self.requested_at = LONG_AGO
        self.quorate = False
        self.unreachable = frozenset[int]()  # hashes of the addresses of sources that it has no contact with
        self.zone = NO_ZONE
        self.declared_lost = False
        self.last_heartbeats = (LONG_AGO, LONG_AGO)  # send times of the last two heartbeats
        self.synced_at = LONG_AGO  # the local copy of its log was complete at this time
        self.config_version = 0  # newest configuration version in its log
        self.reports_sent = 0  # heartbeats sent, for `REPORT_EVERY`

    @property
    def active_at(self) -> float:
        """The time of the last contact, or when it was first followed."""
        return max(self.last_contact_at, self.followed_since)

    def heartbeat_interval(self, now: float, usual: float) -> float:
        """Seconds until the next heartbeat."""
        has_no_contact = self.last_contact_at < self.followed_since
        if has_no_contact and now - self.followed_since < STARTUP_S:
            return FIRST_HEARTBEAT_S
        return usual if now - self.active_at < SLOW_AFTER_S else SLOW_HEARTBEAT_S

    def mark_synced(self, reply: pb.FollowReply) -> None:
        """Record that the local copy is complete according to a reply to one of the last two heartbeats.

        The send time of the earlier heartbeat is recorded. No older heartbeat is answered so late, and no
        heartbeat sent before the source was followed counts.
        """
        if reply.quorate:
            self.synced_at = max(self.last_heartbeats[0], self.followed_since)


class LogFollower:
    """Tracks the position reached in the log of each source.

    `heartbeat_interval_s` is the usual interval of heartbeats; a proxy sets `ingress_zone` to its zone
    number.
    """

    def __init__(self, heartbeat_interval_s: float = HEARTBEAT_S, ingress_zone: int = NO_ZONE) -> None:
        self.heartbeat_interval_s = heartbeat_interval_s
        self.ingress_zone = ingress_zone
        self.sources: dict[Address, _SourceState] = {}
        self.running_config: _ReportedConfig | None = None
        self.running_config_at = LONG_AGO

    def report_running_config(
        self, now: float, version: int, digest: int, findings: int, finding: str
    ) -> None:
        """Set the running configuration that heartbeats report.

        All heartbeats report it for `REPORT_S`; afterwards one in `REPORT_EVERY` does.
        """
        self.running_config = _ReportedConfig(version, digest, findings, finding)
        self.running_config_at = now

    def follow(self, now: float, addresses: Iterable[Address]) -> list[Address]:
        """Follow exactly these sources from now on; returns the sources that are no longer followed."""
        wanted = dict.fromkeys(addresses)
        dropped = [address for address in self.sources if address not in wanted]
        for address in dropped:
            del self.sources[address]
        for address in wanted:
            if address not in self.sources:
                self.sources[address] = _SourceState(now)
        return dropped

    def tick(self, now: float) -> list[Send]:
        """Send the heartbeats that are due."""
        return [
            self._heartbeat(now, address, state)
            for address, state in self.sources.items()
            if now >= state.next_heartbeat_at
        ]

    def _heartbeat(self, now: float, address: Address, state: _SourceState, quiet: bool = False) -> Send:
        """Build a heartbeat with the local position; `quiet`: reply only if changes are missing."""
        state.next_heartbeat_at = now + state.heartbeat_interval(now, self.heartbeat_interval_s)
        message = pb.Message()
        follow = message.follow
        follow.log = state.log
        follow.position = state.position
        follow.quiet = quiet
        if not quiet:
            follow.zone = self.ingress_zone + 1
            state.last_heartbeats = (state.last_heartbeats[1], now)
            state.reports_sent += 1
            self._add_running_config(now, state, follow)
        return Send(address, message)

    def _add_running_config(self, now: float, state: _SourceState, follow: pb.Follow) -> None:
        config = self.running_config
        is_recent = now - self.running_config_at < REPORT_S
        is_due = is_recent or now - state.last_contact_at > SOURCE_TIMEOUT_S
        if config is None or not (is_due or state.reports_sent % REPORT_EVERY == 0):
            return
        follow.version = config.version
        follow.digest = config.digest
        follow.findings = config.findings
        follow.finding = config.finding

    def on_follow_reply(
        self, now: float, sender: Address, reply: pb.FollowReply
    ) -> tuple[list[Send], LogUpdate | None]:
        """Handle a reply or a push.

        Returns:
            Messages to send (a confirmation, or a request for missing changes), and the received update, if
            any.
        """
        state = self.sources.get(sender)
        if state is None:
            return [], None
        state.declared_lost = False
        state.last_contact_at = now
        state.quorate = reply.quorate
        state.unreachable = frozenset(reply.unreachable)
        same_log = reply.log == state.log
        if same_log and reply.position <= state.position:
            state.mark_synced(reply)
            return [], None
        has_gap = not same_log or not reply.records or reply.base > state.position
        if has_gap and not reply.snapshot:
            if now - state.requested_at < REQUEST_INTERVAL_S:
                return [], None
            state.requested_at = now
            return [self._heartbeat(now, sender, state)], None
        if reply.snapshot:
            state.log = reply.log
            state.zone = reply.zone - 1
            state.config_version = 0
        state.position = reply.position
        state.mark_synced(reply)
        update = LogUpdate(sender, reply.snapshot, list(codec.records(reply, now)))
        return [self._heartbeat(now, sender, state, quiet=True)], update

    def confirmed_config(self, now: float, members: Collection[Address]) -> ConfirmedConfig | None:
        """The newest configuration version in the logs of the quorate sources among these members.

        It is None unless a majority of the members have it. The time is the earliest send time of the
        heartbeats that confirmed this.
        """
        confirming = [
            state
            for address, state in self.sources.items()
            if state.quorate
            and state.config_version
            and 0 <= now - state.synced_at < SOURCE_TIMEOUT_S
            and address in members
        ]
        version = max((state.config_version for state in confirming), default=0)
        synced_times = sorted(
            (state.synced_at for state in confirming if state.config_version == version), reverse=True
        )
        if 2 * len(synced_times) <= len(members):
            return None
        return ConfirmedConfig(version, synced_times[len(members) // 2])

    def reachable(self, now: float) -> list[Address]:
        """Sources with contact within `SOURCE_TIMEOUT_S`."""
        return [a for a, state in self.sources.items() if now - state.last_contact_at < SOURCE_TIMEOUT_S]

    def quorate(self, now: float) -> list[Address]:
        """Reachable sources that are in contact with a majority of the core."""
        return [a for a in self.reachable(now) if self.sources[a].quorate]

    def unresponsive(self, now: float) -> list[Address]:
        """Sources without contact within `SOURCE_TIMEOUT_S` that have been followed for longer than that."""
        return [a for a, state in self.sources.items() if now - state.active_at >= SOURCE_TIMEOUT_S]

    def suspicions(self, now: float) -> list[frozenset[int]]:
        """For each reachable quorate source, the hashes of the addresses that it reports as unreachable."""
        return [self.sources[a].unreachable for a in self.quorate(now)]

    def lost(self, now: float, grace_s: float) -> list[LostSource]:
        """Sources that neither this process nor any other source has had contact with for `grace_s` seconds.

        The other sources are all reachable quorate sources, according to their reports; without any, no
        source is lost. Each source is returned once; one that returns later is followed from the beginning.
        """
        suspicions = self.suspicions(now)
        if not suspicions:
            return []
        found = []
        for address, state in self.sources.items():
            is_suspected = all(codec.address_hash(address) in hashes for hashes in suspicions)
            if not state.declared_lost and now - state.active_at >= grace_s and is_suspected:
                state.declared_lost = True
                state.log = 0
                state.position = 0
                found.append(LostSource(address, state.active_at))
        return found

    def in_zone(self, source: Address, zone: int) -> bool:
        """Whether a source is known to be in this zone."""
        state = self.sources.get(source)
        return state is not None and state.zone == zone
