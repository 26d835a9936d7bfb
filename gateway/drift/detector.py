"""Drift detector of one node: is its version the newest, and does the running state match that version?"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from gateway.config.schema import Difference
from gateway.drift.messages import (
    DifferencesFound,
    FetchVersion,
    Finding,
    NewestConfirmed,
    ReadinessChanged,
    Rebuild,
    RefusalChanged,
    Tick,
    VersionApplied,
    VersionSeen,
    VersionUnreadable,
)
from gateway.state_machine import Address

# of `apply_s`: after knowing of a newer version for so long, not ready, then requests are rejected
UNREADY_RATIO = 0.4
REFUSE_RATIO = 0.6
FETCH_INTERVAL_S = 0.5  # between two fetches of a newer version
UNREADABLE_FETCH_INTERVAL_S = 5.0  # likewise, for a version that can't be read
MAX_UNATTRIBUTED_FETCHES = 20  # fetches of a version that no known holder has
CLAIM_GRACE_S = 0.5  # this long after a version was advertised, the core's answer overrides it
PAUSE_THRESHOLD_S = 1.0  # without an input for so long, this process was suspended
RESUME_GRACE_S = 0.5  # after a suspension requests are rejected until the core confirms, so long at most
SILENT_S = 10.0  # without contact with the core for so long there is a finding
REBUILD_INTERVAL_S = 1.0  # between two rebuilds
REBUILD_FORGET_S = 30.0  # a rebuild counts towards the limit for so long
SAMPLE_REBUILD_INTERVAL_S = 10.0  # between two rebuilds caused by samples
MAX_REBUILDS = 3  # within that time; if they don't help, there are no more
CORE_NOT_HEARD = "the core has yet to be heard"  # why requests are rejected right after a start
# checks that found a difference: direct evaluation, and the digest when a version is applied
SAMPLE = "sample"
DIGEST = "digest"
# findings kept, characters of a value in them
MAX_FINDINGS = 32
MAX_TEXT_LENGTH = 120
# findings that aren't reported again, until they weren't found for so long
MAX_KNOWN_FINDINGS = 256
FORGET_S = 600.0


class DriftDetector:
    """State machine; inputs and outputs are those of `gateway.drift.messages`.

    `ReadinessChanged` and `RefusalChanged` come out only on a change. `apply_s` is the time in seconds in
    which a version has to be in force. With `refuse_after_s`, requests are rejected once the last contact
    with the core is that old; without it a node that is cut off serves on. Either way they are rejected until
    the core has confirmed the version once: a restarted node may hear only a controller that is cut off.
    """

    def __init__(self, apply_s: float, refuse_after_s: float | None = None) -> None:
        self.apply_s = apply_s
        self.refuse_after_s = refuse_after_s
        self.version = 0
        self.running = 0
        self.acknowledged = 0
        # a newer version, a node that has it, since when it is known
        self.newest = 0
        self.source = ""
        self.since = 0.0
        self.unattributed_version = 0
        self.tries = 0
        self.confirmed: float | None = None  # no request is served before that
        self.began = 0.0  # when the first version was applied
        self.last: float | None = None
        self.offset = 0.0  # added to the clock, so that time never runs backwards here
        self.unreadable_version = 0  # a version that was received and can't be read
        self.resumed_at = -1e9
        self.fetched_at = -1e9
        self.sample_rebuilt_at = -1e9  # last rebuild caused by a sample
        self.rebuilt: deque[float] = deque(maxlen=MAX_REBUILDS)
        self.ready = True
        self.refusing = False
        self.why = ""
        self.known_findings: dict[Difference, float] = {}  # reported findings, and when they were found last
        self.findings: deque[Finding] = deque(maxlen=MAX_FINDINGS)
        self.found = 0
        self.on: dict[type, Callable[[float, Any], list[Any]]] = {
            VersionApplied: self._version_applied,
            VersionUnreadable: self._unreadable,
            VersionSeen: self._version_seen,
            NewestConfirmed: self._confirmed,
            DifferencesFound: self._differences_found,
            Tick: self._tick,
        }

    def handle(self, now: float, event: Any) -> list[Any]:
        """Handle an input; returns the outputs. A clock that steps back is treated as standing still."""
        now += self.offset
        if self.last is not None and now < self.last:
            self.offset += self.last - now
            now = self.last
        elif self.last is not None and now - self.last > PAUSE_THRESHOLD_S:
            self._paused(now, now - self.last)
        self.last = now
        return [*self.on[type(event)](now, event), *self._state(now)]

    def lag(self) -> float:
        """Seconds since a newer version became known; 0 if there is none."""
        return (self.last or 0.0) - self.since if self.newest > self.version else 0.0

    @property
    def core_not_heard(self) -> bool:
        """Whether there is a version, and the core hasn't confirmed any since the process started."""
        return self.version > 0 and self.confirmed is None

    def confirmation_age(self) -> float | None:
        """Seconds since the core last confirmed the version as the newest; None before the first time."""
        return None if self.confirmed is None else max(0.0, (self.last or 0.0) - self.confirmed)

    # Versions.

    def _version_applied(self, now: float, e: VersionApplied) -> list[Any]:
        self.began = self.began if self.version else now
        self.version, self.running, self.acknowledged = e
        if self.newest <= e.version:
            self.newest = 0
            self.source = ""
        if self.unattributed_version <= e.version:
            self.unattributed_version = 0
            self.tries = 0
        if e.running == e.acknowledged:
            return []
        what = Difference(f"version {e.version}", f"digest {e.running:016x}", f"digest {e.acknowledged:016x}")
        return self._differences_found(now, DifferencesFound(DIGEST, (what,)))

    def _unreadable(self, now: float, e: VersionUnreadable) -> list[Any]:
        """A version was received and can't be read: it counts as newer and is fetched again."""
        self.unreadable_version = e.version
        self.fetched_at = now
        self._note_newer(now, e.version, self.source)
        what = Difference(f"version {e.version}", f"version {self.version}", "unreadable: " + e.why)
        return self._report(what, "taking it up")

    def _version_seen(self, now: float, e: VersionSeen) -> list[Any]:
        if e.version == self.version and e.source and e.digest not in (0, self.acknowledged):
            what = Difference(
                f"neighbour {e.source}", f"digest {e.digest:016x}", f"digest {self.acknowledged:016x}"
            )
            return self._report(what, "its word")
        if e.version <= self.version:
            return []
        if e.source:
            self._note_newer(now, e.version, e.source)
        elif e.version > max(self.unattributed_version, self.newest):
            self.unattributed_version = e.version
            self.tries = 0
        return []

    def _note_newer(self, now: float, version: int, source: Address) -> None:
        """A node that has a newer version advertises it."""
        if self.newest <= self.version:
            self.since = now
        if version > self.newest or (version == self.newest and source):
            self.newest = version
            self.source = source

    def _confirmed(self, now: float, e: NewestConfirmed) -> list[Any]:
        """The core confirmed its newest version. An advertised one that the core still doesn't know after
        `CLAIM_GRACE_S` is dismissed."""
        at = min(now, e.at + self.offset)
        out = list[Any]()
        if e.version == self.version:
            self.confirmed = max(self.confirmed or at, at)
        if e.version < max(self.newest, self.unattributed_version) and e.version >= self.version:
            if self.newest > e.version and at >= self.since + CLAIM_GRACE_S:
                what = f"version {self.newest}", f"claimed by {self.source}", f"version {e.version}"
                out = self._report(Difference(*what), "the last contact with the core")
                self.newest = 0
            if self.tries > 1:
                self.unattributed_version = 0
        if e.version > self.version:
            self._note_newer(now, e.version, "")
        return out

    def _catch_up(self, now: float) -> list[Any]:
        """Fetch a newer version that the change log doesn't deliver, from its advertiser or the core."""
        unreadable_version = self.newest == self.unreadable_version > 0
        if now - self.fetched_at < (UNREADABLE_FETCH_INTERVAL_S if unreadable_version else FETCH_INTERVAL_S):
            return []
        if self.newest > self.version and now - self.since >= FETCH_INTERVAL_S:
            self.fetched_at = now
            self.tries = self.tries + 1
            return [
                FetchVersion(self.newest, self.source if self.tries % 2 else "", again=unreadable_version)
            ]
        if self.unattributed_version > self.version and self.tries < MAX_UNATTRIBUTED_FETCHES:
            self.fetched_at = now
            self.tries = self.tries + 1
            return [FetchVersion(self.version + 1, "")]  # any newer one: the advertised one may not exist
        return []

    # What runs.

    def _differences_found(self, now: float, e: DifferencesFound) -> list[Any]:
        out = [told for what in e.differences for told in self._report(what, e.how)]
        if e.how == SAMPLE:  # if the two implementations disagree, rebuilding doesn't help
            if out and now - self.sample_rebuilt_at >= SAMPLE_REBUILD_INTERVAL_S:
                self.sample_rebuilt_at = now
                out.append(Rebuild(e.differences[0].place))
            return out
        if self.rebuilt and now - self.rebuilt[-1] < REBUILD_INTERVAL_S and e.how != DIGEST:
            return out
        if self._rebuild_limit_reached(now):
            return out + self._report(Difference("node", f"rebuilt {MAX_REBUILDS} times", "once"), "no cure")
        self.rebuilt.append(now)
        if len(self.rebuilt) > 1:  # the stored value itself may be corrupt
            out.append(FetchVersion(self.version, "", again=True))
            if e.how == DIGEST:
                return out
        return [*out, Rebuild(e.differences[0].place)]

    def _rebuild_limit_reached(self, now: float) -> bool:
        """Whether there were `MAX_REBUILDS` rebuilds of late, so that another one won't help."""
        while self.rebuilt and now - self.rebuilt[0] > REBUILD_FORGET_S:
            self.rebuilt.popleft()
        return len(self.rebuilt) >= MAX_REBUILDS

    def _report(self, what: Difference, how: str) -> list[Any]:
        """A finding, unless the same one was reported of late."""
        now = self.last or 0.0
        if now - self.known_findings.pop(what, -1e9) <= FORGET_S:
            self.known_findings[what] = now
            return []
        if len(self.known_findings) >= MAX_KNOWN_FINDINGS:
            del self.known_findings[next(iter(self.known_findings))]
        self.known_findings[what] = now
        finding = Finding(
            what.place[:MAX_TEXT_LENGTH],
            what.running[:MAX_TEXT_LENGTH],
            what.set[:MAX_TEXT_LENGTH],
            self.version,
            how,
        )
        self.found += 1
        self.findings.append(finding)
        return [finding]

    # Time.

    def _paused(self, now: float, gap: float) -> None:
        """The process was suspended for `gap` seconds, in which it couldn't receive anything."""
        self.since += gap
        if gap > self.apply_s:
            self.resumed_at = now

    def _tick(self, now: float, e: Tick) -> list[Any]:
        out = self._catch_up(now)
        if self.newest > self.version and now - self.since >= REFUSE_RATIO * self.apply_s:
            what = Difference("version", str(self.version), str(self.newest))
            out += self._report(what, f"can't be had for {REFUSE_RATIO * self.apply_s:g} s")
        if self.version and now - max(self.confirmed or self.began, self.resumed_at) > SILENT_S:
            out += self._report(Difference("core", "unheard", "heard"), f"for {SILENT_S:g} s")
        return out

    def _state(self, now: float) -> list[Any]:
        """Readiness and refusal of requests, where they have changed."""
        lag = self.lag()
        out = list[Any]()
        ready = (
            lag < UNREADY_RATIO * self.apply_s
            and not self._rebuild_limit_reached(now)
            and not self.core_not_heard
        )
        why = self._refusal(now, lag)
        if ready != self.ready:
            self.ready = ready
            out.append(ReadinessChanged(ready))
        if why != self.why:
            self.why = why
            self.refusing = bool(why)
            out.append(RefusalChanged(self.refusing, why))
        return out

    def _refusal(self, now: float, lag: float) -> str:
        """Why requests are rejected; empty if they aren't."""
        if lag >= REFUSE_RATIO * self.apply_s:
            return "a newer version is known of"
        if self.core_not_heard:
            return CORE_NOT_HEARD
        if self.confirmed is None:
            return ""
        if self.confirmed < self.resumed_at and now - self.resumed_at < RESUME_GRACE_S:
            return "woken"
        if (
            self.refuse_after_s is not None
            and now - max(self.confirmed, self.resumed_at) > self.refuse_after_s
        ):
            return "no contact with the core"
        return ""
