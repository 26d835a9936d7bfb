"""The backends as an ingress sees them: the list of servers, health, slow start, what is out by hand."""

from __future__ import annotations

import random
from collections.abc import Mapping

from roadspur import interface as io

EJECT_S = 3.0  # rest of an ejected backend, before each trial attempt
KEEP_SHARE = 0.5  # of the fleet that outlier ejection must leave in use


class Backend:
    """A server as seen from the ingress's own traffic."""

    def __init__(self, entry: io.BackendEntry, now: float, phase: float) -> None:
        self.entry, self.usable = entry, False
        self.start = entry.born  # of its slow start
        self.out: dict[str, tuple[float, str, str]] = {}  # own attempts out: sent when, class, plan
        self.answered = now
        self.ratio, self.errors, self.resting, self.trial = 1.0, 0.0, 0.0, False
        self.known = False  # it has answered here
        self.tokens, self.tokens_at = phase, now  # a small part never comes to one without
        self.rejection_share: dict[
            str, tuple[float, float]
        ] = {}  # class or plan: turned away (1) or served (0), when


class Fleet:
    """All backends of one ingress."""

    def __init__(self, settings: io.Settings, rng: random.Random) -> None:
        self.s, self.rng = settings, rng
        self.backends: dict[str, Backend] = {}
        self.usable = 0
        self.cordon_entries: dict[
            str, io.CordonEntry
        ] = {}  # by backend; one put back stays while it may be cold

    def members(self, now: float) -> tuple[int, int]:
        """How many backends are listed, and how many of those are avoided now."""
        listed = [b for b in self.backends.values() if b.entry.phase is not io.Phase.DELETED]
        return len(listed), sum(not b.usable or b.trial or now < b.resting for b in listed)

    def cold(self, now: float, b: Backend) -> float:
        """Share of its capacity that a backend is sure to have since its start (slow start)."""
        grown = (now - b.start) / self.s.cold_time if b.start > 0 and self.s.cold_time > 0 else 1.0
        return min(1.0, self.s.start_capacity + (1 - self.s.start_capacity) * max(0.0, grown))

    def eject(self, now: float, b: Backend, why: str) -> list[io.Action]:
        """Outlier ejection: rest a while, then one trial at a time; part of the fleet is always kept."""
        resting = sum(1 for x in self.backends.values() if x.usable and now < x.resting)
        if now < b.resting or resting + 1 > (1 - KEEP_SHARE) * self.usable:
            return []
        b.resting, b.trial = now + EJECT_S, True
        return [io.Log(f"ejected {b.entry.backend}: {why}")]

    def listed(self, now: float, e: io.ListUpdate) -> None:
        """Follow the list of servers: nothing new to what drains or is gone, slow start for what is new."""
        for entry in e.entries:
            known = self.backends.get(entry.backend)
            if known is None or entry.born != known.entry.born:  # new, or its process is
                known = self.backends[entry.backend] = self.anew(now, entry)
            known.entry = entry
        if e.kind is not io.ListKind.CHANGE:
            for name in self.backends.keys() - {entry.backend for entry in e.entries}:
                self.backends[name].entry = self.backends[name].entry._replace(phase=io.Phase.DELETED)
        self.backends = {
            n: b
            for n, b in self.backends.items()  # gone, and nothing of ours out there
            if b.out or b.entry.phase is not io.Phase.DELETED
        }
        self.settle()

    def anew(self, now: float, entry: io.BackendEntry) -> Backend:
        """A backend of which nothing is known but what is out there."""
        known, b = self.backends.get(entry.backend), Backend(entry, now, self.rng.random())
        b.out = known.out if known else {}
        return b

    def settle(self) -> None:
        """Put together what the list and the operators say of each backend."""
        for name, b in self.backends.items():
            cordon_entry = self.cordon_entries.get(name)
            b.usable = b.entry.phase is io.Phase.RUNNING and (cordon_entry is None or cordon_entry.back > 0)
            b.start = b.entry.born
            if (
                cordon_entry is not None and b.start < cordon_entry.since
            ):  # it was restarted while out; the list may be late
                b.start = max(b.start, cordon_entry.back)
        self.usable = sum(b.usable for b in self.backends.values())

    def cordon(self, now: float, e: io.Cordon) -> list[io.Action]:
        """Take a backend out by hand, or put it back; a call that was made before changes nothing."""
        cordon_entry, known = self.cordon_entries.get(e.backend), self.backends.get(e.backend)
        if cordon_entry is None and (known is None or known.entry.phase is io.Phase.DELETED):
            return [io.UnknownBackend(e.backend)]
        out = cordon_entry is not None and cordon_entry.back == 0
        if e.on and not out:
            self.cordon_entries[e.backend] = io.CordonEntry(now)
        elif not e.on and cordon_entry is not None and out:
            self.cordon_entries[e.backend] = cordon_entry._replace(back=now)
            if known is not None:  # what it was like says nothing of what it is now
                self.backends[e.backend] = self.anew(now, known.entry)
        self.cordon_entries = {
            n: b for n, b in self.cordon_entries.items() if b.back == 0 or now < b.back + self.s.cold_time
        }
        self.settle()
        return [*([io.CloseIdle(e.backend)] if e.on else []), io.Cordons(dict(self.cordon_entries))]

    def restore(self, cordon_entries: Mapping[str, io.CordonEntry]) -> list[io.Action]:
        """Take over the bans that another process of this ingress has kept."""
        self.cordon_entries = dict(cordon_entries)
        self.settle()
        return [
            *(io.CloseIdle(name) for name, b in self.cordon_entries.items() if b.back == 0),
            io.Cordons(dict(cordon_entries)),
        ]
