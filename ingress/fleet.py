"""The backends of one ingress: the backend list, health, outlier ejection, slow start, cordons."""

from __future__ import annotations

import random
from collections.abc import Mapping

from ingress import interface as io

EJECT_S = 3.0  # how long a backend is ejected before a trial attempt
KEEP_SHARE = 0.5  # fraction of the fleet that outlier ejection must leave in use


class Backend:
    """A backend, with what the ingress has learnt from its own traffic."""

    def __init__(self, entry: io.BackendEntry, now: float, phase: float) -> None:
        self.entry = entry
        self.usable = False
        self.start = entry.born  # of its slow start
        self.out: dict[str, tuple[float, str, str]] = {}  # own attempts in flight: send time, class, plan
        self.answered = now
        self.ratio = 1.0
        self.errors = 0.0
        self.resting = 0.0
        self.trial = False
        self.known = False  # it has answered here
        # a random start: small gains might never reach a token
        self.tokens = phase
        self.tokens_at = now
        # By class and plan: rejected (1) or served (0), and when.
        self.rejection_share: dict[str, tuple[float, float]] = {}

    def overdue(self, now: float, latency: Mapping[str, float], slow: float) -> float:
        """The time for which answers are outstanding, each in multiples of its usual latency, summed up.

        An attempt that was overdue when another was answered says nothing of the backend: it isn't counted.
        """
        return sum(
            (now - max(sent, self.answered)) / latency[name]
            for sent, name, _ in self.out.values()
            if self.answered - sent < slow * latency[name]
        )


class Fleet:
    """All backends of one ingress."""

    def __init__(self, settings: io.Settings, rng: random.Random) -> None:
        self.s = settings
        self.rng = rng
        self.backends: dict[str, Backend] = {}
        self.usable = 0
        # By backend; an uncordoned one stays while it may be cold.
        self.cordon_entries: dict[str, io.CordonEntry] = {}

    def members(self, now: float) -> tuple[int, int]:
        """How many backends are listed, and how many of those are avoided now."""
        listed = [b for b in self.backends.values() if b.entry.phase is not io.Phase.DELETED]
        return len(listed), sum(not b.usable or b.trial or now < b.resting for b in listed)

    def slow_start_capacity(self, now: float, backend: Backend) -> float:
        """The fraction of its capacity that a backend surely has by the time since its start (slow start)."""
        grown = (
            (now - backend.start) / self.s.slow_start_s
            if backend.start > 0 and self.s.slow_start_s > 0
            else 1.0
        )
        return min(1.0, self.s.start_capacity + (1 - self.s.start_capacity) * max(0.0, grown))

    def eject(self, now: float, backend: Backend, why: str) -> list[io.Action]:
        """Outlier ejection: no attempts for a while, then one trial at a time; part of the fleet is kept."""
        resting = sum(1 for x in self.backends.values() if x.usable and now < x.resting)
        if now < backend.resting or resting + 1 > (1 - KEEP_SHARE) * self.usable:
            return []
        backend.resting = now + EJECT_S
        backend.trial = True
        return [io.Log(f"ejected {backend.entry.backend}: {why}")]

    def listed(self, now: float, event: io.ListUpdate) -> None:
        """Apply a backend list: no attempts to draining or deleted backends, slow start for new ones."""
        for entry in event.entries:
            known = self.backends.get(entry.backend)
            if known is None or entry.born != known.entry.born:  # new or restarted
                known = self.backends[entry.backend] = self.anew(now, entry)
            known.entry = entry
        if event.kind is not io.ListKind.CHANGE:
            for name in self.backends.keys() - {entry.backend for entry in event.entries}:
                self.backends[name].entry = self.backends[name].entry._replace(phase=io.Phase.DELETED)
        self.backends = {
            n: b
            for n, b in self.backends.items()  # deleted, with no attempt in flight
            if b.out or b.entry.phase is not io.Phase.DELETED
        }
        self.update_usable()

    def anew(self, now: float, entry: io.BackendEntry) -> Backend:
        """A backend about which nothing is known except the attempts in flight."""
        known = self.backends.get(entry.backend)
        backend = Backend(entry, now, self.rng.random())
        backend.out = known.out if known else {}
        return backend

    def update_usable(self) -> None:
        """Derive the usable backends and their start times from the list and the cordons."""
        for name, backend in self.backends.items():
            cordon_entry = self.cordon_entries.get(name)
            backend.usable = backend.entry.phase is io.Phase.RUNNING and (
                cordon_entry is None or cordon_entry.back > 0
            )
            backend.start = backend.entry.born
            if (
                cordon_entry is not None and backend.start < cordon_entry.since
            ):  # restarted while cordoned; the list may be late
                backend.start = max(backend.start, cordon_entry.back)
        self.usable = sum(b.usable for b in self.backends.values())

    def cordon(self, now: float, event: io.Cordon) -> list[io.Action]:
        """Cordon a backend, or uncordon it; a repeated command changes nothing."""
        cordon_entry = self.cordon_entries.get(event.backend)
        known = self.backends.get(event.backend)
        if cordon_entry is None and (known is None or known.entry.phase is io.Phase.DELETED):
            return [io.UnknownBackend(event.backend)]
        out = cordon_entry is not None and cordon_entry.back == 0
        if event.on and not out:
            self.cordon_entries[event.backend] = io.CordonEntry(now)
        elif not event.on and cordon_entry is not None and out:
            self.cordon_entries[event.backend] = cordon_entry._replace(back=now)
            if known is not None:  # what was learnt of it no longer applies
                self.backends[event.backend] = self.anew(now, known.entry)
        self.cordon_entries = {
            n: b for n, b in self.cordon_entries.items() if b.back == 0 or now < b.back + self.s.slow_start_s
        }
        self.update_usable()
        return [*([io.CloseIdle(event.backend)] if event.on else []), io.Cordons(dict(self.cordon_entries))]

    def restore(self, cordon_entries: Mapping[str, io.CordonEntry]) -> list[io.Action]:
        """Adopt the cordons that another process of this ingress has stored."""
        self.cordon_entries = dict(cordon_entries)
        self.update_usable()
        return [
            *(io.CloseIdle(name) for name, b in self.cordon_entries.items() if b.back == 0),
            io.Cordons(dict(cordon_entries)),
        ]
