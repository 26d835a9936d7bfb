"""The drift detector of one node: is the version in force the newest, and does what runs look as it is set?"""

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

UNREADY_RATIO, REFUSE_RATIO = (
    0.4,
    0.6,
)  # of the time in which a version has to be in force, spent knowing of a newer one
FETCH_INTERVAL_S = 0.5  # between two calls to catch up
UNREADABLE_FETCH_INTERVAL_S = 5.0  # likewise, for a version that can't be read
MAX_UNATTRIBUTED_FETCHES = 20  # calls for a version of which there is hearsay only
CLAIM_GRACE_S = 0.5  # after a claim, what the core says then counts more than the claim
PAUSE_THRESHOLD_S = 1.0  # between two inputs: this process stood still
RESUME_GRACE_S = 0.5  # after a long sleep, the longest that requests wait for the last contact with the core
SILENT_S = 10.0  # without the last contact with the core the operator is told
REBUILD_INTERVAL_S = 1.0  # between two rebuilds
REBUILD_FORGET_S = 30.0  # after which a rebuild is forgotten
SAMPLE_REBUILD_INTERVAL_S = 10.0  # between two rebuilds that samples lead to
MAX_REBUILDS = 3  # within that time; more don't help
CORE_NOT_HEARD = "the core has yet to be heard"  # why requests are turned back right after a start
SAMPLE, DIGEST = "sample", "digest"  # ways of finding, by a plain reading and at taking up
MAX_FINDINGS, MAX_TEXT_LENGTH = 32, 120  # findings shown, letters of a value in them
MAX_KNOWN_FINDINGS, FORGET_S = (
    256,
    600.0,
)  # findings that are known again, until they are not found for so long


class DriftDetector:
    """Inputs: `TookUp`, `Unreadable`, `Heard`, `Confirmed`, `Found`, `Tick`. Outputs: `CatchUp`, `Rebuild`,
    `Ready`, `Refuse`, `Finding`; `Ready` and `Refuse` only where that changes.

    `apply_s` is the time in which a version has to be in force. With `closed_s`, requests are turned back
    once the last contact with the core is that old; without it a node that is cut off serves on. Either way they are turned
    back until the core has said once that the version is the newest: who begins anew may hear only one that
    is cut off.
    """

    def __init__(self, apply_s: float, refuse_after_s: float | None = None) -> None:
        self.apply_s, self.refuse_after_s = apply_s, refuse_after_s
        self.version = self.running = self.acknowledged = 0
        self.newest, self.source, self.since = 0, "", 0.0  # a newer version, who has it, since when known
        self.unattributed_version = self.tries = 0
        self.confirmed: float | None = None  # nobody is served before
        self.began = 0.0  # when the first version was taken up
        self.last: float | None = None
        self.offset = 0.0  # of this machine's time to the clock's
        self.unreadable_version = 0  # a version that came and can't be read
        self.resumed_at = -1e9
        self.fetched_at = -1e9
        self.sample_rebuilt_at = -1e9  # when a sample last led to a rebuild
        self.rebuilt: deque[float] = deque(maxlen=MAX_REBUILDS)
        self.ready, self.refusing, self.why = True, False, ""
        self.known_findings: dict[Difference, float] = {}  # told, and when last found
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
        """Take an input; returns what is to be done. A clock that steps back is taken to stand still."""
        now += self.offset
        if self.last is not None and now < self.last:
            self.offset += self.last - now
            now = self.last
        elif self.last is not None and now - self.last > PAUSE_THRESHOLD_S:
            self._paused(now, now - self.last)
        self.last = now
        return [*self.on[type(event)](now, event), *self._state(now)]

    def lag(self) -> float:
        """Seconds for which a newer version has been known of; 0 if there is none."""
        return (self.last or 0.0) - self.since if self.newest > self.version else 0.0

    @property
    def core_not_heard(self) -> bool:
        """Whether there is a version, and the core has never said in this life that it is the newest."""
        return self.version > 0 and self.confirmed is None

    def confirmation_age(self) -> float | None:
        """Seconds since the core said that the version is the newest; None before it did."""
        return None if self.confirmed is None else max(0.0, (self.last or 0.0) - self.confirmed)

    # Versions.

    def _version_applied(self, now: float, e: VersionApplied) -> list[Any]:
        self.began = self.began if self.version else now
        self.version, self.running, self.acknowledged = e
        if self.newest <= e.version:
            self.newest, self.source = 0, ""
        if self.unattributed_version <= e.version:
            self.unattributed_version = self.tries = 0
        if e.running == e.acknowledged:
            return []
        what = Difference(f"version {e.version}", f"digest {e.running:016x}", f"digest {e.acknowledged:016x}")
        return self._differences_found(now, DifferencesFound(DIGEST, (what,)))

    def _unreadable(self, now: float, e: VersionUnreadable) -> list[Any]:
        """It came and is of no use: known of, and asked for again."""
        self.unreadable_version, self.fetched_at = e.version, now
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
            self.unattributed_version, self.tries = e.version, 0
        return []

    def _note_newer(self, now: float, version: int, source: Address) -> None:
        """A newer version is there, as somebody says who has it."""
        if self.newest <= self.version:
            self.since = now
        if version > self.newest or (version == self.newest and source):
            self.newest, self.source = version, source

    def _confirmed(self, now: float, e: NewestConfirmed) -> list[Any]:
        """The last contact with the core. A claim beyond it that the core doesn't know of for a while is none."""
        at, out = min(now, e.at + self.offset), list[Any]()
        if e.version == self.version:
            self.confirmed = max(self.confirmed or at, at)
        if e.version < max(self.newest, self.unattributed_version) and e.version >= self.version:
            if self.newest > e.version and at >= self.since + CLAIM_GRACE_S:
                what = f"version {self.newest}", f"claimed by {self.source}", f"version {e.version}"
                out, self.newest = self._report(Difference(*what), "the last contact with the core"), 0
            if self.tries > 1:
                self.unattributed_version = 0
        if e.version > self.version:
            self._note_newer(now, e.version, "")
        return out

    def _catch_up(self, now: float) -> list[Any]:
        """Ask, in turn the core and who was heard to have it, while the log's own asking is of no use."""
        unreadable_version = self.newest == self.unreadable_version > 0
        if now - self.fetched_at < (UNREADABLE_FETCH_INTERVAL_S if unreadable_version else FETCH_INTERVAL_S):
            return []
        if self.newest > self.version and now - self.since >= FETCH_INTERVAL_S:
            self.fetched_at, self.tries = now, self.tries + 1
            return [
                FetchVersion(self.newest, self.source if self.tries % 2 else "", again=unreadable_version)
            ]
        if self.unattributed_version > self.version and self.tries < MAX_UNATTRIBUTED_FETCHES:
            self.fetched_at, self.tries = now, self.tries + 1
            return [FetchVersion(self.version + 1, "")]  # not that one, which may be nowhere
        return []

    # What runs.

    def _differences_found(self, now: float, e: DifferencesFound) -> list[Any]:
        out = [told for what in e.differences for told in self._report(what, e.how)]
        if e.how == SAMPLE:  # where two readings differ as such, rebuilding is of no use
            if out and now - self.sample_rebuilt_at >= SAMPLE_REBUILD_INTERVAL_S:
                self.sample_rebuilt_at = now
                out.append(Rebuild(e.differences[0].place))
            return out
        if self.rebuilt and now - self.rebuilt[-1] < REBUILD_INTERVAL_S and e.how != DIGEST:
            return out
        if self._rebuild_limit_reached(now):
            return out + self._report(Difference("node", f"rebuilt {MAX_REBUILDS} times", "once"), "no cure")
        self.rebuilt.append(now)
        if len(self.rebuilt) > 1:  # what is held may be what is wrong
            out.append(FetchVersion(self.version, "", again=True))
            if e.how == DIGEST:
                return out
        return [*out, Rebuild(e.differences[0].place)]

    def _rebuild_limit_reached(self, now: float) -> bool:
        """Whether rebuilding has not helped."""
        while self.rebuilt and now - self.rebuilt[0] > REBUILD_FORGET_S:
            self.rebuilt.popleft()
        return len(self.rebuilt) >= MAX_REBUILDS

    def _report(self, what: Difference, how: str) -> list[Any]:
        """A finding, unless it was told of late."""
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
        """This process stood still, and what it knows is from before; nobody could have told it more."""
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
        """Whether clients may come and requests may be sent on, where that has changed."""
        lag, out = self.lag(), list[Any]()
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
            self.why, self.refusing = why, bool(why)
            out.append(RefusalChanged(self.refusing, why))
        return out

    def _refusal(self, now: float, lag: float) -> str:
        """Why requests are turned back; empty if they are not."""
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
