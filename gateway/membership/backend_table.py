"""The backends as reported by several sources: the newest heartbeat of each, while a source leases it."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from math import inf

from gateway.membership.codec import FINAL_SEQUENCE, BackendRecord, EndRecord, LeaseRecord, ReleaseRecord
from gateway.membership.outputs import BackendAdded, BackendChange, BackendChanged, BackendRemoved
from gateway.membership.types import Backend
from gateway.state_machine import Address

# A backend's end is remembered this long, so that late records of the backend are recognized.
TOMBSTONE_S = 30.0
MAX_ROWS = 10_000  # maximum number of backends, and of tombstones
MAX_TICK_GAP_S = 1.0  # after a longer gap between two ticks, this process is assumed to have been paused
SLOW_START_TOLERANCE_S = 1.0  # smaller differences in the end of a slow start aren't significant
ORPHAN_GRACE_S = 6.0


class BackendRow:
    """A backend, and the sources that have its lease.

    A source may have the lease by an older heartbeat: if it is partitioned from the source of the newest one,
    it may receive heartbeats again. A backend without any lease is an orphan since `orphaned_at`.
    """

    __slots__ = ("backend", "lease_holders", "orphaned_at")

    def __init__(self, backend: Backend) -> None:
        self.backend = backend
        self.lease_holders: set[Address] = set()
        self.orphaned_at = 0.0


def is_significant(now: float, old: Backend, new: Backend) -> bool:
    """Whether a newer heartbeat contains more information than that the backend is alive."""
    old_state = (old.service, old.address, old.zone, old.generation, old.capacity, old.draining)
    new_state = (new.service, new.address, new.zone, new.generation, new.capacity, new.draining)
    if old_state != new_state:
        return True
    difference = max(now, old.slow_start_until) - max(now, new.slow_start_until)
    return abs(difference) > SLOW_START_TOLERANCE_S


class BackendTable:
    """Merges the records of all sources. Times are monotonic seconds of this process.

    Orphans are removed after `grace_s` seconds. The table is limited to `max_rows` backends and as many
    tombstones.
    """

    def __init__(self, grace_s: float = ORPHAN_GRACE_S, max_rows: int = MAX_ROWS) -> None:
        self.grace_s = grace_s
        self.max_rows = max_rows
        self.rows: dict[str, BackendRow] = {}
        self.tombstones: dict[str, EndRecord] = {}
        self.by_address: dict[Address, str] = {}
        self.ticked_at: float | None = None

    def record(self, now: float, source: Address, record: BackendRecord) -> list[BackendChange]:
        """Apply a record of a source's log; returns the resulting changes."""
        match record:
            case LeaseRecord():
                return self._apply_lease(now, source, record)
            case EndRecord():
                return self.end(now, source, record.id, record.seq)
            case ReleaseRecord():
                self._release(now, source, record.id)
                return []

    def snapshot(self, now: float, source: Address, records: Iterable[BackendRecord]) -> list[BackendChange]:
        """Apply a snapshot of a source's log: the source has no lease on backends that it doesn't contain."""
        leased: set[str] = set()
        changes: list[BackendChange] = []
        for record in records:
            if isinstance(record, LeaseRecord) and not record.relay:
                leased.add(record.backend.id)
            changes += self.record(now, source, record)
        self.release_all(now, source, leased)
        return changes

    def apply_update(
        self, now: float, source: Address, is_snapshot: bool, records: Sequence[BackendRecord]
    ) -> list[BackendChange]:
        """Apply an update of a source's log: new records, or a snapshot of all records."""
        if is_snapshot:
            return self.snapshot(now, source, records)
        return [change for record in records for change in self.record(now, source, record)]

    def release_all(self, at: float, source: Address, still_leased: Iterable[str] = ()) -> None:
        """Record that from the time `at` on, a source has leases only on the backends in `still_leased`."""
        retained = set(still_leased)
        for backend_id in [i for i, row in self.rows.items() if source in row.lease_holders]:
            if backend_id not in retained:
                self._release(at, source, backend_id)

    def _release(self, at: float, source: Address, backend_id: str) -> None:
        row = self.rows.get(backend_id)
        if row is not None and source in row.lease_holders:
            row.lease_holders.discard(source)
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
                row.lease_holders.add(source)
            return []
        changes = self._evict_address_owner(now, new)
        if changes is None:
            return []
        if row is None:
            if len(self.rows) >= self.max_rows:
                return changes
            row = BackendRow(new)
            self.rows[new.id] = row
            row.orphaned_at = now
            changes.append(BackendAdded(new))
        elif new.seq > row.backend.seq:
            changes += self._update_row(now, row, new)
        self.by_address[new.address] = new.id
        if not record.relay:
            row.lease_holders.add(source)
        return changes

    def _update_row(self, now: float, row: BackendRow, heartbeat: Backend) -> list[BackendChange]:
        """Apply a newer heartbeat of a known backend."""
        previous = row.backend
        backend = heartbeat._replace(first_heard_at=min(heartbeat.first_heard_at, previous.first_heard_at))
        if backend.address != previous.address:
            self._forget_address(previous)
        row.backend = backend
        row.orphaned_at = now
        return [BackendChanged(backend)] if is_significant(now, previous, backend) else []

    def _evict_address_owner(self, now: float, new: Backend) -> list[BackendChange] | None:
        """End the previous backend at this address; None if that backend is the newer one."""
        other = self.rows.get(self.by_address.get(new.address, new.id))
        if other is None or other.backend.id == new.id:
            return []
        if other.backend.first_heard_at > new.first_heard_at:
            return None
        self._add_tombstone(now, other.backend.id, other.backend.seq)
        return self._remove(other.backend.id)

    def _forget_address(self, backend: Backend) -> None:
        if self.by_address.get(backend.address) == backend.id:
            del self.by_address[backend.address]

    def end(self, now: float, source: Address, backend_id: str, seq: int) -> list[BackendChange]:
        """Handle a source's report that a backend's heartbeats up to this call-seq are obsolete.

        Unless the end is final, other sources with a lease may have newer heartbeats; they must end the lease
        themselves.
        """
        self._add_tombstone(now, backend_id, seq)
        self._release(now, source, backend_id)
        row = self.rows.get(backend_id)
        if row is None or row.backend.seq > seq:
            return []
        is_over = seq >= FINAL_SEQUENCE or not row.lease_holders
        return self._remove(backend_id) if is_over else []

    def _add_tombstone(self, now: float, backend_id: str, seq: int) -> None:
        tombstone = self.tombstones.get(backend_id)
        if tombstone is not None and seq <= tombstone.seq:
            return
        if tombstone is None and len(self.tombstones) >= self.max_rows:
            del self.tombstones[next(iter(self.tombstones))]
        row = self.rows.get(backend_id)
        first_heard_at = inf
        if row is not None:
            first_heard_at = row.backend.first_heard_at
        elif tombstone is not None:
            first_heard_at = tombstone.first_heard_at
        self.tombstones[backend_id] = EndRecord(backend_id, seq, now + TOMBSTONE_S, first_heard_at)

    def _remove(self, backend_id: str) -> list[BackendChange]:
        """Remove a backend from the table."""
        self._forget_address(self.rows.pop(backend_id).backend)
        return [BackendRemoved(backend_id)]

    def tick(self, now: float, suspicions_known: bool) -> list[BackendChange]:
        """Remove expired tombstones, and orphans whose grace period has ended.

        The grace period is suspended while it is unknown which sources are lost (`suspicions_known` is
        False), and while this process was paused.
        """
        passed = now - self.ticked_at if self.ticked_at is not None else 0.0
        self.ticked_at = now
        for backend_id in [i for i, tombstone in self.tombstones.items() if tombstone.until <= now]:
            del self.tombstones[backend_id]
        orphans = [(i, row) for i, row in self.rows.items() if not row.lease_holders]
        if not suspicions_known or passed > MAX_TICK_GAP_S:
            for _, row in orphans:
                row.orphaned_at = min(now, row.orphaned_at + passed)
            return []
        changes: list[BackendChange] = []
        for backend_id, row in orphans:
            if now - row.orphaned_at >= self.grace_s:
                changes += self._remove(backend_id)
        return changes
