"""The backends as told by several sources: per backend the beat that is newest, until nobody holds it."""

from __future__ import annotations

from collections.abc import Iterable

from gateway.membership.messages import Backend, BackendAdded, BackendChanged, BackendRemoved
from gateway.membership.wire import FINAL_SEQUENCE, EndRecord, LeaseRecord, Record, ReleaseRecord
from gateway.state_machine import Address

TOMBSTONE_S = 30.0  # an end is remembered, so that late news of the backend is known as such
MAX_ROWS = 10_000  # backends, and ends
PAUSE_S = 1.0  # between two ticks: this process stood still, or couldn't hear
COLD_TOLERANCE_S = 1.0  # difference in the end of a slow start that is worth telling

BackendChange = BackendAdded | BackendChanged | BackendRemoved


class BackendRow:
    """A backend, and which sources have it under lease, be it by an older beat: one that is cut off from the
    source of the newest may well take its beats again. Without any it is an orphan from `alone` on."""

    __slots__ = ("backend", "holders", "orphaned_at")

    def __init__(self, backend: Backend) -> None:
        self.backend, self.orphaned_at = backend, 0.0
        self.holders: set[Address] = set()


def is_significant(now: float, old: Backend, new: Backend) -> bool:
    """Whether a newer beat of a backend tells more than that it is alive."""
    return old[1:7] != new[1:7] or abs(max(now, old.cold_until) - max(now, new.cold_until)) > COLD_TOLERANCE_S


class BackendTable:
    """Merges records of sources. Orphans go when they have been alone for `grace` seconds."""

    def __init__(self, grace: float = 6.0, max_rows: int = MAX_ROWS) -> None:
        self.grace, self.max_rows = grace, max_rows
        self.rows: dict[str, BackendRow] = {}
        self.tombstones: dict[str, EndRecord] = {}
        self.by_address: dict[str, str] = {}
        self.ticked: float | None = None

    def record(self, now: float, source: Address, record: Record) -> list[BackendChange]:
        """Take a record of a source's log."""
        if isinstance(record, LeaseRecord):
            return self._apply_lease(now, source, record)
        if isinstance(record, EndRecord):
            return self.ended(now, source, record.id, record.seq)
        if isinstance(record, ReleaseRecord):
            self._release(now, source, record.id)
        return []

    def snapshot(self, now: float, source: Address, records: Iterable[Record]) -> list[BackendChange]:
        """Take a snapshot of a source: what is not in it, the source no longer holds."""
        still_held, out = set(), list[BackendChange]()
        for record in records:
            if isinstance(record, LeaseRecord) and not record.relay:
                still_held.add(record.backend.id)
            out += self.record(now, source, record)
        self.release_all(now, source, still_held)
        return out

    def release_all(self, at: float, source: Address, still_held: Iterable[str] = ()) -> None:
        """From a time on, a source holds none but these."""
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
        tombstone, row = self.tombstones.get(new.id), self.rows.get(new.id)
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
            row.backend, row.orphaned_at = new, now
        self.by_address[new.address] = new.id
        if not record.relay:
            row.holders.add(source)
        return out

    def _evict_address_owner(self, now: float, new: Backend) -> list[BackendChange] | None:
        """End whoever had this address before; None if it is this one that had it before."""
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
        """A source says that beats of a backend up to this call-seq are late. Unless that is final, those
        who have it under lease still may know better: they are to say so themselves."""
        self._add_tombstone(now, id, seq)
        self._release(now, source, id)
        row = self.rows.get(id)
        is_over = row is not None and row.backend.seq <= seq and (seq >= FINAL_SEQUENCE or not row.holders)
        return self.drop(id) if is_over else []

    def _add_tombstone(self, now: float, id: str, seq: int) -> None:
        tombstone, row = self.tombstones.get(id), self.rows.get(id)
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
        """Take a backend off the table."""
        self._forget_address(self.rows.pop(id).backend)
        return [BackendRemoved(id)]

    def tick(self, now: float, suspicions_known: bool) -> list[BackendChange]:
        """Forget old ends; drop orphans whose time is over. Their time stands still while it can't be
        judged who is lost (`judged`), and while this process did."""
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
