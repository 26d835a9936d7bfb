"""The inspector of one node: is the version in force the newest, and does what runs look as it is set?"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from post.directory.table import Difference
from post.inspection.interface import (
    CatchUp,
    Confirmed,
    Finding,
    Found,
    Heard,
    Ready,
    Rebuild,
    Refuse,
    Tick,
    TookUp,
    Unreadable,
)
from post.machine import Address

UNREADY, REFUSE = 0.4, 0.6  # of the time in which a version has to be in force, spent knowing of a newer one
AGAIN_S = 0.5  # between two calls to catch up
SPOILT_S = 5.0  # likewise, for a version that can't be read
TRIES = 20  # calls for a version of which there is hearsay only
DENIED_S = 0.5  # after a claim, what the core says then counts more than the claim
PAUSE_S = 1.0  # between two inputs: this process stood still
WAKE_S = 0.5  # after a long sleep, the longest that requests wait for the core's word
SILENT_S = 10.0  # without the core's word the operator is told
REBUILD_S = 1.0  # between two rebuilds
CALM_S = 30.0  # after which a rebuild is forgotten
SAMPLE_S = 10.0  # between two rebuilds that samples lead to
REBUILDS = 3  # within that time; more don't help
UNHEARD = "the core has yet to be heard"  # why requests are turned back right after a start
SAMPLE, DIGEST = "sample", "digest"  # ways of finding, by a plain reading and at taking up
KEPT, TEXT = 32, 120  # findings shown, letters of a value in them
SEEN, FORGET_S = 256, 600.0  # findings that are known again, until they are not found for so long


class Inspector:
    """Inputs: `TookUp`, `Unreadable`, `Heard`, `Confirmed`, `Found`, `Tick`. Outputs: `CatchUp`, `Rebuild`,
    `Ready`, `Refuse`, `Finding`; `Ready` and `Refuse` only where that changes.

    `apply_s` is the time in which a version has to be in force. With `closed_s`, requests are turned back
    once the core's word is that old; without it a node that is cut off serves on. Either way they are turned
    back until the core has said once that the version is the newest: who begins anew may hear only one that
    is cut off.
    """

    def __init__(self, apply_s: float, closed_s: float | None = None) -> None:
        self.apply_s, self.closed_s = apply_s, closed_s
        self.version = self.running = self.acknowledged = 0
        self.newest, self.source, self.since = 0, "", 0.0  # a newer version, who has it, since when known
        self.rumour = self.tries = 0
        self.confirmed: float | None = None  # nobody is served before
        self.began = 0.0  # when the first version was taken up
        self.last: float | None = None
        self.offset = 0.0  # of this machine's time to the clock's
        self.spoilt = 0  # a version that came and can't be read
        self.woke = -1e9
        self.asked = -1e9
        self.resolved = -1e9  # when a sample last led to a rebuild
        self.rebuilt: deque[float] = deque(maxlen=REBUILDS)
        self.ready, self.refusing, self.why = True, False, ""
        self.seen: dict[Difference, float] = {}  # told, and when last found
        self.findings: deque[Finding] = deque(maxlen=KEPT)
        self.found = 0
        self.on: dict[type, Callable[[float, Any], list[Any]]] = {
            TookUp: self._took_up, Unreadable: self._unreadable, Heard: self._heard,
            Confirmed: self._confirmed, Found: self._found, Tick: self._tick}

    def handle(self, now: float, event: Any) -> list[Any]:
        """Take an input; returns what is to be done. A clock that steps back is taken to stand still."""
        now += self.offset
        if self.last is not None and now < self.last:
            self.offset += self.last - now
            now = self.last
        elif self.last is not None and now - self.last > PAUSE_S:
            self._paused(now, now - self.last)
        self.last = now
        return [*self.on[type(event)](now, event), *self._state(now)]

    def lag(self) -> float:
        """Seconds for which a newer version has been known of; 0 if there is none."""
        return (self.last or 0.0) - self.since if self.newest > self.version else 0.0

    @property
    def unheard(self) -> bool:
        """Whether there is a version, and the core has never said in this life that it is the newest."""
        return self.version > 0 and self.confirmed is None

    def unconfirmed(self) -> float | None:
        """Seconds since the core said that the version is the newest; None before it did."""
        return None if self.confirmed is None else max(0.0, (self.last or 0.0) - self.confirmed)

    # Versions.

    def _took_up(self, now: float, e: TookUp) -> list[Any]:
        self.began = self.began if self.version else now
        self.version, self.running, self.acknowledged = e
        if self.newest <= e.version:
            self.newest, self.source = 0, ""
        if self.rumour <= e.version:
            self.rumour = self.tries = 0
        if e.running == e.acknowledged:
            return []
        what = Difference(f"version {e.version}", f"digest {e.running:016x}", f"digest {e.acknowledged:016x}")
        return self._found(now, Found(DIGEST, (what,)))

    def _unreadable(self, now: float, e: Unreadable) -> list[Any]:
        """It came and is of no use: known of, and asked for again."""
        self.spoilt, self.asked = e.version, now
        self._newer(now, e.version, self.source)
        what = Difference(f"version {e.version}", f"version {self.version}", "unreadable: " + e.why)
        return self._tell(what, "taking it up")

    def _heard(self, now: float, e: Heard) -> list[Any]:
        if e.version == self.version and e.source and e.digest not in (0, self.acknowledged):
            what = Difference(f"neighbour {e.source}", f"digest {e.digest:016x}",
                              f"digest {self.acknowledged:016x}")
            return self._tell(what, "its word")
        if e.version <= self.version:
            return []
        if e.source:
            self._newer(now, e.version, e.source)
        elif e.version > max(self.rumour, self.newest):
            self.rumour, self.tries = e.version, 0
        return []

    def _newer(self, now: float, version: int, source: Address) -> None:
        """A newer version is there, as somebody says who has it."""
        if self.newest <= self.version:
            self.since = now
        if version > self.newest or (version == self.newest and source):
            self.newest, self.source = version, source

    def _confirmed(self, now: float, e: Confirmed) -> list[Any]:
        """The core's word. A claim beyond it that the core doesn't know of for a while is none."""
        at, out = min(now, e.at + self.offset), list[Any]()
        if e.version == self.version:
            self.confirmed = max(self.confirmed or at, at)
        if e.version < max(self.newest, self.rumour) and e.version >= self.version:
            if self.newest > e.version and at >= self.since + DENIED_S:
                what = f"version {self.newest}", f"claimed by {self.source}", f"version {e.version}"
                out, self.newest = self._tell(Difference(*what), "the core's word"), 0
            if self.tries > 1:
                self.rumour = 0
        if e.version > self.version:
            self._newer(now, e.version, "")
        return out

    def _catch_up(self, now: float) -> list[Any]:
        """Ask, in turn the core and who was heard to have it, while the log's own asking is of no use."""
        spoilt = self.newest == self.spoilt > 0
        if now - self.asked < (SPOILT_S if spoilt else AGAIN_S):
            return []
        if self.newest > self.version and now - self.since >= AGAIN_S:
            self.asked, self.tries = now, self.tries + 1
            return [CatchUp(self.newest, self.source if self.tries % 2 else "", again=spoilt)]
        if self.rumour > self.version and self.tries < TRIES:
            self.asked, self.tries = now, self.tries + 1
            return [CatchUp(self.version + 1, "")]  # not that one, which may be nowhere
        return []

    # What runs.

    def _found(self, now: float, e: Found) -> list[Any]:
        out = [told for what in e.differences for told in self._tell(what, e.how)]
        if e.how == SAMPLE:  # where two readings differ as such, rebuilding is of no use
            if out and now - self.resolved >= SAMPLE_S:
                self.resolved = now
                out.append(Rebuild(e.differences[0].place))
            return out
        if self.rebuilt and now - self.rebuilt[-1] < REBUILD_S and e.how != DIGEST:
            return out
        if self._worn(now):
            return out + self._tell(Difference("node", f"rebuilt {REBUILDS} times", "once"), "no cure")
        self.rebuilt.append(now)
        if len(self.rebuilt) > 1:  # what is held may be what is wrong
            out.append(CatchUp(self.version, "", again=True))
            if e.how == DIGEST:
                return out
        return [*out, Rebuild(e.differences[0].place)]

    def _worn(self, now: float) -> bool:
        """Whether rebuilding has not helped."""
        while self.rebuilt and now - self.rebuilt[0] > CALM_S:
            self.rebuilt.popleft()
        return len(self.rebuilt) >= REBUILDS

    def _tell(self, what: Difference, how: str) -> list[Any]:
        """A finding, unless it was told of late."""
        now = self.last or 0.0
        if now - self.seen.pop(what, -1e9) <= FORGET_S:
            self.seen[what] = now
            return []
        if len(self.seen) >= SEEN:
            del self.seen[next(iter(self.seen))]
        self.seen[what] = now
        finding = Finding(what.place[:TEXT], what.running[:TEXT], what.set[:TEXT], self.version, how)
        self.found += 1
        self.findings.append(finding)
        return [finding]

    # Time.

    def _paused(self, now: float, gap: float) -> None:
        """This process stood still, and what it knows is from before; nobody could have told it more."""
        self.since += gap
        if gap > self.apply_s:
            self.woke = now

    def _tick(self, now: float, e: Tick) -> list[Any]:
        out = self._catch_up(now)
        if self.newest > self.version and now - self.since >= REFUSE * self.apply_s:
            what = Difference("version", str(self.version), str(self.newest))
            out += self._tell(what, f"can't be had for {REFUSE * self.apply_s:g} s")
        if self.version and now - max(self.confirmed or self.began, self.woke) > SILENT_S:
            out += self._tell(Difference("core", "unheard", "heard"), f"for {SILENT_S:g} s")
        return out

    def _state(self, now: float) -> list[Any]:
        """Whether clients may come and requests may be sent on, where that has changed."""
        lag, out = self.lag(), list[Any]()
        ready = lag < UNREADY * self.apply_s and not self._worn(now) and not self.unheard
        why = self._refusal(now, lag)
        if ready != self.ready:
            self.ready = ready
            out.append(Ready(ready))
        if why != self.why:
            self.why, self.refusing = why, bool(why)
            out.append(Refuse(self.refusing, why))
        return out

    def _refusal(self, now: float, lag: float) -> str:
        """Why requests are turned back; empty if they are not."""
        if lag >= REFUSE * self.apply_s:
            return "a newer version is known of"
        if self.unheard:
            return UNHEARD
        if self.confirmed is None:
            return ""
        if self.confirmed < self.woke and now - self.woke < WAKE_S:
            return "woken"
        if self.closed_s is not None and now - max(self.confirmed, self.woke) > self.closed_s:
            return "no word of the core"
        return ""

