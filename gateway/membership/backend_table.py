"""The backends as reported by several sources: for each its newest heartbeat, until no source holds it."""

from __future__ import annotations

from collections.abc import Iterable

from gateway.membership.messages import Backend, BackendAdded, BackendChanged, BackendRemoved
from gateway.membership.wire import FINAL_SEQUENCE, EndRecord, LeaseRecord, Record, ReleaseRecord
from gateway.state_machine import Address

TOMBSTONE_S = 30.0  # for which a backend's end is remembered, so that late records of it are recognized
MAX_ROWS = 10_000  # of backends, and of tombstones
PAUSE_S = 1.0  # more than this between two ticks: this process was paused, or couldn't receive
COLD_TOLERANCE_S = 1.0  # smaller differences in the end of a slow start aren't significant

BackendChange = BackendAdded | BackendChanged | BackendRemoved


class BackendRow:
    """A backend, and its `holders`: the sources that have it under lease, even if by an older heartbeat, as a
    source that is cut off from that of the newest heartbeat may well receive its heartbeats again. Without
    any holder it is an orphan, since `orphaned_at`."""

    __slots__ = ("backend", "holders", "orphaned_at")

    def __init__(self, backend: Backend) -> None:
        self.backend = backend
        self.orphaned_at = 0.0
        self.holders: set[Address] = set()


def is_significant(now: float, old: Backend, new: Backend) -> bool:
    """Whether a newer heartbeat of a backend says more than that it is alive."""
    return old[1:7] != new[1:7] or abs(max(now, old.cold_until) - max(now, new.cold_until)) > COLD_TOLERANCE_S


class BackendTable:
    """Merges the records of all sources. Orphans are removed after `grace` seconds without a holder; at most
    `max_rows` backends, and as many tombstones, are kept. Times are steady seconds of this process."""

    def __init__(self, grace: float = 6.0, max_rows: int = MAX_ROWS) -> None:
        self.grace = grace
        self.max_rows = max_rows
        self.rows: dict[str, BackendRow] = {}
        self.tombstones: dict[str, EndRecord] = {}
        self.by_address: dict[str, str] = {}
        self.ticked: float | None = None

    def record(self, now: float, source: Address, record: Record) -> list[BackendChange]:
        """Apply a record of a source's log; returns what it changes."""
        if isinstance(record, LeaseRecord):
            return self._apply_lease(now, source, record)
        if isinstance(record, EndRecord):
            return self.ended(now, source, record.id, record.seq)
        if isinstance(record, ReleaseRecord):
            self._release(now, source, record.id)
        return []

    def snapshot(self, now: float, source: Address, records: Iterable[Record]) -> list[BackendChange]:
        """Apply a snapshot of a source's log: what is not in it, the source no longer holds."""
        still_held = set()
        out = list[BackendChange]()
        for record in records:
            if isinstance(record, LeaseRecord) and not record.relay:
                still_held.add(record.backend.id)
            out += self.record(now, source, record)
        self.release_all(now, source, still_held)
        return out

    def release_all(self, at: float, source: Address, still_held: Iterable[str] = ()) -> None:
        """From the time `at` on, a source holds only the backends in `still_held`."""
        still_held = set(still_held)
        for id in [i for i, row in self.rows.items() if source in row.holders and i not in still_held]:
            self._release(at, source, id)

    def _release(self, at: float, source: Address, id: str) -> None:
        row = self.rows.get(id)
        if row is not None and source in row.holders:
            row.holders.discard(source)
            row.orphaned_at = max(row.orphaned_at, at)

    def _apply_lease(self, now: float, source: Address, record: LeaseRecord) -> list[BackendChange]:
        new = record.backend
        tombstone = self.tombstones.get(new.id)
        row = self.rows.get(new.id)
        if record.relay:
            self._release(now, source, new.id)
        if tombstone is not None and new.seq <= tombstone.seq:
            return []
        if row is not None and new.seq < row.backend.seq:
            if not record.relay:
                row.holders.add(source)
            return []
        out = self._evict_address_owner(now, new)
        if out is None:
            return []
        if row is None:
            if len(self.rows) >= self.max_rows:
                return out
            row = self.rows[new.id] = BackendRow(new)
            row.orphaned_at = now
            out.append(BackendAdded(new))
        elif new.seq > row.backend.seq:
            new = new._replace(since=min(new.since, row.backend.since))
            if new.address != row.backend.address:
                self._forget_address(row.backend)
            if is_significant(now, row.backend, new):
                out.append(BackendChanged(new))
            row.backend = new
            row.orphaned_at = now
        self.by_address[new.address] = new.id
        if not record.relay:
            row.holders.add(source)
        return out

    def _evict_address_owner(self, now: float, new: Backend) -> list[BackendChange] | None:
        """End the backend that had this address before; None if the other one is the newer one."""
        other = self.rows.get(self.by_address.get(new.address, new.id))
        if other is None or other.backend.id == new.id:
            return []
        if other.backend.since > new.since:
            return None
        self._add_tombstone(now, other.backend.id, other.backend.seq)
        return self.drop(other.backend.id)

    def _forget_address(self, backend: Backend) -> None:
        if self.by_address.get(backend.address) == backend.id:
            del self.by_address[backend.address]

    def ended(self, now: float, source: Address, id: str, seq: int) -> list[BackendChange]:
        """A source says that a backend's heartbeats up to this call-seq are obsolete. Unless that is final,
        sources that still hold a lease on it may have newer heartbeats: they have to end it themselves."""
        self._add_tombstone(now, id, seq)
        self._release(now, source, id)
        row = self.rows.get(id)
        is_over = row is not None and row.backend.seq <= seq and (seq >= FINAL_SEQUENCE or not row.holders)
        return self.drop(id) if is_over else []

    def _add_tombstone(self, now: float, id: str, seq: int) -> None:
        tombstone = self.tombstones.get(id)
        row = self.rows.get(id)
        if tombstone is not None and seq <= tombstone.seq:
            return
        if tombstone is None and len(self.tombstones) >= self.max_rows:
            del self.tombstones[next(iter(self.tombstones))]
        since = (
            row.backend.since
            if row is not None
            else tombstone.since
            if tombstone is not None
            else float("inf")
        )
        self.tombstones[id] = EndRecord(id, seq, now + TOMBSTONE_S, since)

    def drop(self, id: str) -> list[BackendChange]:
        """Remove a backend from the table."""
        self._forget_address(self.rows.pop(id).backend)
        return [BackendRemoved(id)]

    def tick(self, now: float, suspicions_known: bool) -> list[BackendChange]:
        """Forget old tombstones, and remove orphans whose grace period is over. That period is suspended
        while it can't be judged which sources are lost (`suspicions_known` is False), and while this process
        was paused."""
        passed = now - self.ticked if self.ticked is not None else 0.0
        self.ticked = now
        for id in [i for i, tombstone in self.tombstones.items() if tombstone.until <= now]:
            del self.tombstones[id]
        orphans = [(i, row) for i, row in self.rows.items() if not row.holders]
        if not suspicions_known or passed > PAUSE_S:
            for _, row in orphans:
                row.orphaned_at = min(now, row.orphaned_at + passed)
            return []
        return [
            change for i, row in orphans if now - row.orphaned_at >= self.grace for change in self.drop(i)
        ]
