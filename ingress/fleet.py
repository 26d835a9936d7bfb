"""The backends of one ingress: the backend list, health, outlier ejection, slow start and cordons."""

from __future__ import annotations

import random
from collections.abc import Mapping

from ingress import interface as io

EJECT_S = 3.0  # duration of an ejection before a trial attempt
MIN_FRACTION_IN_USE = 0.5  # fraction of the fleet that outlier ejection must leave in use


class Backend:
    """A backend, with the statistics that the ingress has learnt from its own traffic."""

    def __init__(self, entry: io.BackendEntry, now: float, phase: float) -> None:
        self.entry = entry
        self.usable = False
        self.start = entry.born  # start of the slow start
        self.in_flight: dict[str, tuple[float, str, str]] = {}  # attempts in flight: send time, class, plan
        self.last_response_at = now
        self.latency_ratio = 1.0
        self.error_rate = 0.0
        self.ejected_until = 0.0
        self.on_trial = False
        self.has_responded = False  # whether it has responded here
        # Random, because small increments alone might never add up to a token.
        self.tokens = phase
        self.tokens_at = now
        # By class and plan: 1.0 if the last attempt was rejected, 0.0 if it was served, and the time.
        self.rejection_share: dict[str, tuple[float, float]] = {}

    def overdue_ratio(self, now: float, latency: Mapping[str, float], slow: float) -> float:
        """The sum of the waiting times of outstanding responses, each relative to its usual latency.

        An attempt that was already overdue when another one was answered tells nothing about the backend, so
        it is ignored.
        """
        return sum(
            (now - max(sent, self.last_response_at)) / latency[name]
            for sent, name, _ in self.in_flight.values()
            if self.last_response_at - sent < slow * latency[name]
        )


class Fleet:
    """All backends of one ingress."""

    def __init__(self, settings: io.Settings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.backends: dict[str, Backend] = {}
        self.usable = 0
        # By backend. The entry of an uncordoned backend is retained while the backend may be in slow start.
        self.cordon_entries: dict[str, io.CordonEntry] = {}

    def members(self, now: float) -> tuple[int, int]:
        """The number of backends in the list, and how many of them are currently avoided."""
        listed = [b for b in self.backends.values() if b.entry.phase is not io.Phase.DELETED]
        return len(listed), sum(not b.usable or b.on_trial or now < b.ejected_until for b in listed)

    def slow_start_capacity(self, now: float, backend: Backend) -> float:
        """The fraction of its capacity that a backend in slow start has reached."""
        grown = (
            (now - backend.start) / self.settings.slow_start_s
            if backend.start > 0 and self.settings.slow_start_s > 0
            else 1.0
        )
        return min(1.0, self.settings.start_capacity + (1 - self.settings.start_capacity) * max(0.0, grown))

    def eject(self, now: float, backend: Backend, reason: str) -> list[io.Action]:
        """Eject an outlier: no attempts for a while, then one trial at a time; a part of the fleet stays."""
        resting = sum(1 for x in self.backends.values() if x.usable and now < x.ejected_until)
        if now < backend.ejected_until or resting + 1 > (1 - MIN_FRACTION_IN_USE) * self.usable:
            return []
        backend.ejected_until = now + EJECT_S
        backend.on_trial = True
        return [io.Log(f"ejected {backend.entry.backend}: {reason}")]

    def apply_backend_list(self, now: float, event: io.ListUpdate) -> None:
        """Apply a backend list: no attempts to draining or deleted backends, slow start for new ones."""
        for entry in event.entries:
            backend = self.backends.get(entry.backend)
            if backend is None or entry.born != backend.entry.born:  # new or restarted
                backend = self.backends[entry.backend] = self.reset(now, entry)
            backend.entry = entry
        if event.kind is not io.ListKind.CHANGE:
            for name in self.backends.keys() - {entry.backend for entry in event.entries}:
                self.backends[name].entry = self.backends[name].entry._replace(phase=io.Phase.DELETED)
        # Deleted backends are removed once they have no attempt in flight.
        self.backends = {
            n: b for n, b in self.backends.items() if b.in_flight or b.entry.phase is not io.Phase.DELETED
        }
        self.update_usable()

    def reset(self, now: float, entry: io.BackendEntry) -> Backend:
        """Create a backend without statistics, but with the attempts in flight."""
        previous = self.backends.get(entry.backend)
        backend = Backend(entry, now, self.rng.random())
        backend.in_flight = previous.in_flight if previous else {}
        return backend

    def update_usable(self) -> None:
        """Determine the usable backends and their start times from the list and the cordons."""
        for name, backend in self.backends.items():
            cordon_entry = self.cordon_entries.get(name)
            backend.usable = backend.entry.phase is io.Phase.RUNNING and (
                cordon_entry is None or cordon_entry.back > 0
            )
            backend.start = backend.entry.born
            # It was restarted while cordoned; the list may be outdated.
            if cordon_entry is not None and backend.start < cordon_entry.since:
                backend.start = max(backend.start, cordon_entry.back)
        self.usable = sum(b.usable for b in self.backends.values())

    def cordon(self, now: float, event: io.Cordon) -> list[io.Action]:
        """Cordon or uncordon a backend; repeating the command has no effect."""
        cordon_entry = self.cordon_entries.get(event.backend)
        backend = self.backends.get(event.backend)
        if cordon_entry is None and (backend is None or backend.entry.phase is io.Phase.DELETED):
            return [io.UnknownBackend(event.backend)]
        is_cordoned = cordon_entry is not None and cordon_entry.back == 0
        if event.on and not is_cordoned:
            self.cordon_entries[event.backend] = io.CordonEntry(now)
        elif not event.on and cordon_entry is not None and is_cordoned:
            self.cordon_entries[event.backend] = cordon_entry._replace(back=now)
            if backend is not None:  # its statistics no longer apply
                self.backends[event.backend] = self.reset(now, backend.entry)
        self.cordon_entries = {
            n: b
            for n, b in self.cordon_entries.items()
            if b.back == 0 or now < b.back + self.settings.slow_start_s
        }
        self.update_usable()
        return [*([io.CloseIdle(event.backend)] if event.on else []), io.Cordons(dict(self.cordon_entries))]

    def restore(self, cordon_entries: Mapping[str, io.CordonEntry]) -> list[io.Action]:
        """Apply the cordons stored by another process of this ingress."""
        self.cordon_entries = dict(cordon_entries)
        self.update_usable()
        return [
            *(io.CloseIdle(name) for name, b in self.cordon_entries.items() if b.back == 0),
            io.Cordons(dict(cordon_entries)),
        ]
