"""Drift detector of one node, which compares its version and its running state with the newest."""

from __future__ import annotations

from collections import deque
from typing import assert_never

from gateway.config.schema import Difference
from gateway.drift.events import (
    Check,
    DetectorEvent,
    DifferencesFound,
    NewestConfirmed,
    Tick,
    VersionApplied,
    VersionSeen,
    VersionUnreadable,
)
from gateway.drift.outputs import (
    DetectorOutput,
    FetchVersion,
    Finding,
    ReadinessChanged,
    Rebuild,
    RefusalChanged,
)
from gateway.state_machine import LONG_AGO, Address

# Fractions of `apply_s`: once a newer version has been known for this long, the node is not ready.
UNREADY_RATIO = 0.4
REFUSE_RATIO = 0.6  # after this fraction, requests are rejected as well
FETCH_INTERVAL_S = 0.5  # minimum interval of fetches of a newer version
UNREADABLE_FETCH_INTERVAL_S = 5.0  # the same for a version that can't be read
MAX_UNATTRIBUTED_FETCHES = 20  # maximum number of fetches of a version that no known node has
CLAIM_GRACE_S = 0.5  # this long after a version was advertised, the core's answer overrides it
# After a longer time without an event, this process is assumed to have been suspended.
SUSPEND_THRESHOLD_S = 1.0
# Maximum time for which requests are rejected after a suspension until the core confirms the version.
RESUME_GRACE_S = 0.5
CORE_TIMEOUT_S = 10.0  # a finding is reported after this time without contact with the core
REBUILD_INTERVAL_S = 1.0  # minimum interval of rebuilds
REBUILD_RETENTION_S = 30.0  # a rebuild counts towards the limit for this long
SAMPLE_REBUILD_INTERVAL_S = 10.0  # minimum interval of rebuilds caused by samples
MAX_REBUILDS = 3  # within `REBUILD_RETENTION_S`; if they don't help, there are no more
MAX_FINDINGS = 32  # number of stored findings
MAX_TEXT_LENGTH = 120  # maximum characters of a value in a finding
MAX_KNOWN_FINDINGS = 256  # number of findings that aren't reported again
FINDING_RETENTION_S = 600.0  # a finding may be reported again if it has not been found for this long

# Reasons for rejecting requests.
CORE_NOT_HEARD = "the core has yet to be heard"  # shortly after a start
NEWER_VERSION_KNOWN = "a newer version is known of"
RESUMED = "resumed after a suspension"
NO_CORE_CONTACT = "no contact with the core"


class DriftDetector:
    """State machine of one node.

    `ReadinessChanged` and `RefusalChanged` are output only on a change. Requests are rejected until the core
    has confirmed the version once, because a restarted node may have contact only with a partitioned
    controller.

    Args:
        apply_s: The time in seconds within which a version must be in force.
        refuse_after_s: Requests are rejected once the last contact with the core is older than this. None
            means that a disconnected node continues to serve requests.
    """

    def __init__(self, apply_s: float, refuse_after_s: float | None = None) -> None:
        self.apply_s = apply_s
        self.refuse_after_s = refuse_after_s
        self.version = 0
        self.running_digest = 0
        self.acknowledged_digest = 0
        self.newer_version = 0  # a newer version, if any
        self.newer_source = ""  # a node that has the newer version
        self.newer_since = 0.0  # when the newer version became known
        self.unattributed_version = 0  # a newer version that no known node has
        self.fetch_attempts = 0
        self.confirmed_at: float | None = None  # no request is served before this time
        self.first_applied_at = 0.0
        self.last_event_at: float | None = None
        self.clock_offset = 0.0  # added to the clock, so that time never runs backwards
        self.unreadable_version = 0  # a received version that can't be read
        self.resumed_at = LONG_AGO
        self.fetched_at = LONG_AGO
        self.sample_rebuilt_at = LONG_AGO  # last rebuild caused by a sample
        self.rebuilt_at: deque[float] = deque(maxlen=MAX_REBUILDS)
        self.ready = True
        self.refusal_reason = ""  # why requests are rejected; empty if they aren't
        self.known_findings: dict[Difference, float] = {}  # reported findings, and when each was last found
        self.findings: deque[Finding] = deque(maxlen=MAX_FINDINGS)
        self.finding_count = 0

    def handle(self, now: float, event: DetectorEvent) -> list[DetectorOutput]:
        """Handle an event; returns the outputs. If the clock steps back, it is treated as stopped."""
        now += self.clock_offset
        if self.last_event_at is not None and now < self.last_event_at:
            self.clock_offset += self.last_event_at - now
            now = self.last_event_at
        elif self.last_event_at is not None and now - self.last_event_at > SUSPEND_THRESHOLD_S:
            self._on_resume(now, now - self.last_event_at)
        self.last_event_at = now
        return [*self._handle(now, event), *self._state_changes(now)]

    def _handle(self, now: float, event: DetectorEvent) -> list[DetectorOutput]:
        match event:
            case VersionApplied():
                return self._on_version_applied(now, event)
            case VersionUnreadable():
                return self._on_version_unreadable(now, event)
            case VersionSeen():
                return self._on_version_seen(now, event)
            case NewestConfirmed():
                return self._on_newest_confirmed(now, event)
            case DifferencesFound():
                return self._on_differences_found(now, event)
            case Tick():
                return self._tick(now)
            case _:
                assert_never(event)

    def lag(self) -> float:
        """Seconds since a newer version became known; 0 if there is none."""
        return (self.last_event_at or 0.0) - self.newer_since if self.newer_version > self.version else 0.0

    @property
    def refusing(self) -> bool:
        """Whether requests are rejected."""
        return bool(self.refusal_reason)

    @property
    def core_not_heard(self) -> bool:
        """Whether there is a version that the core hasn't confirmed since this process started."""
        return self.version > 0 and self.confirmed_at is None

    def confirmation_age(self) -> float | None:
        """Seconds since the core last confirmed the version as the newest; None if it never did."""
        if self.confirmed_at is None:
            return None
        return max(0.0, (self.last_event_at or 0.0) - self.confirmed_at)

    # Versions.

    def _on_version_applied(self, now: float, event: VersionApplied) -> list[DetectorOutput]:
        self.first_applied_at = self.first_applied_at if self.version else now
        self.version = event.version
        self.running_digest = event.running
        self.acknowledged_digest = event.acknowledged
        if self.newer_version <= event.version:
            self.newer_version = 0
            self.newer_source = ""
        if self.unattributed_version <= event.version:
            self.unattributed_version = 0
            self.fetch_attempts = 0
        if event.running == event.acknowledged:
            return []
        running = f"digest {event.running:016x}"
        acknowledged = f"digest {event.acknowledged:016x}"
        difference = Difference(f"version {event.version}", running, acknowledged)
        return self._on_differences_found(now, DifferencesFound(Check.DIGEST, (difference,)))

    def _on_version_unreadable(self, now: float, event: VersionUnreadable) -> list[DetectorOutput]:
        """Handle a received version that can't be read: it counts as newer and is fetched again."""
        self.unreadable_version = event.version
        self.fetched_at = now
        self._on_newer_version(now, event.version, self.newer_source)
        set_to = "unreadable: " + event.reason
        difference = Difference(f"version {event.version}", f"version {self.version}", set_to)
        return self._report(difference, "taking it up")

    def _on_version_seen(self, now: float, event: VersionSeen) -> list[DetectorOutput]:
        is_other_digest = event.digest not in (0, self.acknowledged_digest)
        if event.version == self.version and event.source and is_other_digest:
            advertised = f"digest {event.digest:016x}"
            acknowledged = f"digest {self.acknowledged_digest:016x}"
            difference = Difference(f"neighbour {event.source}", advertised, acknowledged)
            return self._report(difference, "its word")
        if event.version <= self.version:
            return []
        if event.source:
            self._on_newer_version(now, event.version, event.source)
        elif event.version > max(self.unattributed_version, self.newer_version):
            self.unattributed_version = event.version
            self.fetch_attempts = 0
        return []

    def _on_newer_version(self, now: float, version: int, source: Address) -> None:
        """Record a newer version and the node that advertises it."""
        if self.newer_version <= self.version:
            self.newer_since = now
        if version > self.newer_version or (version == self.newer_version and source):
            self.newer_version = version
            self.newer_source = source

    def _on_newest_confirmed(self, now: float, event: NewestConfirmed) -> list[DetectorOutput]:
        """Handle the core's confirmation of its newest version.

        An advertised version that the core still doesn't know after `CLAIM_GRACE_S` is dismissed.
        """
        at = min(now, event.at + self.clock_offset)
        outputs: list[DetectorOutput] = []
        if event.version == self.version:
            self.confirmed_at = max(self.confirmed_at or at, at)
        advertised = max(self.newer_version, self.unattributed_version)
        if self.version <= event.version < advertised:
            if self.newer_version > event.version and at >= self.newer_since + CLAIM_GRACE_S:
                claim = f"claimed by {self.newer_source}"
                difference = Difference(f"version {self.newer_version}", claim, f"version {event.version}")
                outputs = self._report(difference, "the last contact with the core")
                self.newer_version = 0
            if self.fetch_attempts > 1:
                self.unattributed_version = 0
        if event.version > self.version:
            self._on_newer_version(now, event.version, "")
        return outputs

    def _catch_up(self, now: float) -> list[DetectorOutput]:
        """Fetch a newer version that the change log doesn't deliver, from its advertiser or from the core."""
        is_unreadable = self.newer_version == self.unreadable_version > 0
        interval_s = UNREADABLE_FETCH_INTERVAL_S if is_unreadable else FETCH_INTERVAL_S
        if now - self.fetched_at < interval_s:
            return []
        if self.newer_version > self.version and now - self.newer_since >= FETCH_INTERVAL_S:
            self.fetched_at = now
            self.fetch_attempts += 1
            source = self.newer_source if self.fetch_attempts % 2 else ""
            return [FetchVersion(self.newer_version, source, again=is_unreadable)]
        if self.unattributed_version > self.version and self.fetch_attempts < MAX_UNATTRIBUTED_FETCHES:
            self.fetched_at = now
            self.fetch_attempts += 1
            # Any newer version, because the advertised one may not exist.
            return [FetchVersion(self.version + 1, "")]
        return []

    # Running state.

    def _on_differences_found(self, now: float, event: DifferencesFound) -> list[DetectorOutput]:
        """Report differences, and have the configuration rebuilt or fetched again."""
        outputs: list[DetectorOutput] = []
        for difference in event.differences:
            outputs += self._report(difference, event.check)
        rebuild = Rebuild(event.differences[0].place)
        if event.check is Check.SAMPLE:  # a rebuild doesn't help if the two implementations disagree
            if outputs and now - self.sample_rebuilt_at >= SAMPLE_REBUILD_INTERVAL_S:
                self.sample_rebuilt_at = now
                outputs.append(rebuild)
            return outputs
        is_recent = bool(self.rebuilt_at) and now - self.rebuilt_at[-1] < REBUILD_INTERVAL_S
        if is_recent and event.check is not Check.DIGEST:
            return outputs
        if self._rebuild_limit_reached(now):
            difference = Difference("node", f"rebuilt {MAX_REBUILDS} times", "once")
            return outputs + self._report(difference, "no cure")
        self.rebuilt_at.append(now)
        if len(self.rebuilt_at) > 1:  # the stored value itself may be corrupt
            outputs.append(FetchVersion(self.version, "", again=True))
            if event.check is Check.DIGEST:
                return outputs
        return [*outputs, rebuild]

    def _rebuild_limit_reached(self, now: float) -> bool:
        """Whether there were `MAX_REBUILDS` recent rebuilds, so that another one won't help."""
        while self.rebuilt_at and now - self.rebuilt_at[0] > REBUILD_RETENTION_S:
            self.rebuilt_at.popleft()
        return len(self.rebuilt_at) >= MAX_REBUILDS

    def _report(self, difference: Difference, how: str) -> list[DetectorOutput]:
        """Return a finding, unless the same one was reported recently."""
        now = self.last_event_at or 0.0
        if now - self.known_findings.pop(difference, LONG_AGO) <= FINDING_RETENTION_S:
            self.known_findings[difference] = now
            return []
        if len(self.known_findings) >= MAX_KNOWN_FINDINGS:
            del self.known_findings[next(iter(self.known_findings))]
        self.known_findings[difference] = now
        finding = Finding(
            difference.place[:MAX_TEXT_LENGTH],
            difference.running[:MAX_TEXT_LENGTH],
            difference.set[:MAX_TEXT_LENGTH],
            self.version,
            str(how),
        )
        self.finding_count += 1
        self.findings.append(finding)
        return [finding]

    # Time.

    def _on_resume(self, now: float, gap_s: float) -> None:
        """Handle a suspension of the process for `gap_s` seconds, during which it received nothing."""
        self.newer_since += gap_s
        if gap_s > self.apply_s:
            self.resumed_at = now

    def _tick(self, now: float) -> list[DetectorOutput]:
        outputs = self._catch_up(now)
        refuse_after_s = REFUSE_RATIO * self.apply_s
        if self.newer_version > self.version and now - self.newer_since >= refuse_after_s:
            difference = Difference("version", str(self.version), str(self.newer_version))
            outputs += self._report(difference, f"can't be had for {refuse_after_s:g} s")
        contact_at = max(self.confirmed_at or self.first_applied_at, self.resumed_at)
        if self.version and now - contact_at > CORE_TIMEOUT_S:
            outputs += self._report(Difference("core", "unheard", "heard"), f"for {CORE_TIMEOUT_S:g} s")
        return outputs

    def _state_changes(self, now: float) -> list[DetectorOutput]:
        """Changes of readiness and of the rejection of requests."""
        lag = self.lag()
        outputs: list[DetectorOutput] = []
        is_behind = lag >= UNREADY_RATIO * self.apply_s
        ready = not is_behind and not self._rebuild_limit_reached(now) and not self.core_not_heard
        reason = self._refusal(now, lag)
        if ready != self.ready:
            self.ready = ready
            outputs.append(ReadinessChanged(ready))
        if reason != self.refusal_reason:
            self.refusal_reason = reason
            outputs.append(RefusalChanged(bool(reason), reason))
        return outputs

    def _refusal(self, now: float, lag: float) -> str:
        """The reason for rejecting requests; empty if they aren't rejected."""
        if lag >= REFUSE_RATIO * self.apply_s:
            return NEWER_VERSION_KNOWN
        if self.core_not_heard:
            return CORE_NOT_HEARD
        if self.confirmed_at is None:
            return ""
        if self.confirmed_at < self.resumed_at and now - self.resumed_at < RESUME_GRACE_S:
            return RESUMED
        contact_at = max(self.confirmed_at, self.resumed_at)
        if self.refuse_after_s is not None and now - contact_at > self.refuse_after_s:
            return NO_CORE_CONTACT
        return ""
