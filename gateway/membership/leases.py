"""Leases of the backends whose heartbeats this process receives, and its own log of them."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from typing import Any, NamedTuple

from gateway.membership.backend_table import (
    PAUSE_S,
    TOMBSTONE_S,
    BackendChange,
    BackendRow,
    BackendTable,
    is_significant,
)
from gateway.membership.change_log import ChangeLog
from gateway.membership.messages import (
    Acknowledged,
    Backend,
    BackendRemoved,
    Deregistration,
    Heartbeat,
    Rejected,
)
from gateway.membership.wire import FINAL_SEQUENCE, EndRecord, LeaseRecord, Record, ReleaseRecord
from gateway.state_machine import Address

REJECT_AFTER_S = 0.7  # for a call without a majority; less than the second that a backend waits
MAX_PENDING_CALLS = 1024
LEASE_SLACK_S = 0.5  # of a lease, beyond three heartbeat intervals
MAX_NAME_LENGTH = 255  # characters
SELF = ""  # this process as a source of its own table


class Lease:
    """A backend as of its newest heartbeat received here, and until when the lease lasts without another."""

    __slots__ = ("backend", "until")

    def __init__(self, backend: Backend, until: float) -> None:
        self.backend = backend
        self.until = until


class _PendingCall(NamedTuple):
    token: Any
    number: int  # of the change in the log that a majority must have
    until: float


def _is_valid_name(text: str) -> bool:
    """Whether a name can be sent to others: not too long, and without lone surrogates."""
    halves = not text.isascii() and any("\ud800" <= letter <= "\udfff" for letter in text)
    return len(text) <= MAX_NAME_LENGTH and not halves


def is_valid(heartbeat: Heartbeat) -> bool:
    """Whether a heartbeat can be passed on to others: its names are valid, its numbers in range."""
    return (
        0 <= heartbeat.seq < FINAL_SEQUENCE
        and 0 <= heartbeat.capacity < 1 << 32
        and all(
            map(
                _is_valid_name,
                (heartbeat.id, heartbeat.service, heartbeat.address, heartbeat.zone, heartbeat.generation),
            )
        )
    )


class Leases:
    """Handles heartbeats and deregistrations, writes the log, and keeps it consistent with other logs.

    A lease lasts three heartbeat intervals and `LEASE_SLACK_S`. A planned end (draining, DELETE) is
    acknowledged when a majority of the core has it in their copies of the log."""

    def __init__(self, log: ChangeLog, table: BackendTable, address: Address, heartbeat: float) -> None:
        self.log = log
        self.table = table
        self.address = address
        self.length = 3 * heartbeat + LEASE_SLACK_S
        self.leases: dict[str, Lease] = {}
        self.core: Collection[Address] = ()
        self.waiting: deque[_PendingCall] = deque()
        self.ticked: float | None = None

    def heartbeat(self, now: float, heartbeat: Heartbeat) -> list[Acknowledged | Rejected | BackendChange]:
        """Handle a backend's heartbeat: renew its lease, and acknowledge it. A heartbeat that says that the
        backend drains is acknowledged only when a majority of the core has that."""
        if self.address not in self.core or not is_valid(heartbeat):
            return [Rejected(heartbeat.token)]
        out = self._renew(now, heartbeat)
        if out is None:
            return [Rejected(heartbeat.token)]
        if not heartbeat.draining:
            return [Acknowledged(heartbeat.token), *out]
        return [*out, *self._await_majority(now, heartbeat.token, self.log.number(heartbeat.id))]

    def _renew(self, now: float, heartbeat: Heartbeat) -> list[BackendChange] | None:
        lease, row, tombstone = self._known(heartbeat.id)
        if lease is None and len(self.leases) >= self.table.max_rows:
            return None
        known = lease.backend if lease else row.backend if row else None
        if (
            tombstone is not None
            and heartbeat.seq <= tombstone.seq
            or known is not None
            and heartbeat.seq <= known.seq
        ):
            return []
        since = known.since if known else min(now, tombstone.since) if tombstone else now
        backend = Backend(
            *heartbeat[1:8],
            cold_until=now + heartbeat.cold_left if heartbeat.cold_left > 0 else 0.0,
            seq=heartbeat.seq,
            since=since,
        )
        if lease is None or is_significant(now, lease.backend, backend):
            return self._publish_lease(now, backend)
        lease.backend = backend._replace(cold_until=lease.backend.cold_until)
        lease.until = now + self.length
        return []

    def _publish_lease(self, now: float, backend: Backend) -> list[BackendChange]:
        """Hold a lease on a backend from now on, and publish it in the log."""
        out = self.table.record(now, SELF, LeaseRecord(backend))
        row = self.table.rows.get(backend.id)
        if row is not None and SELF in row.holders:
            self.leases[backend.id] = Lease(row.backend, now + self.length)
            self.log.put(backend.id, LeaseRecord(row.backend))
        else:  # its address is another's by now
            self.leases.pop(backend.id, None)
        return self._reconciled(now, out)

    def end(self, now: float, end: Deregistration) -> list[Acknowledged | Rejected | BackendChange]:
        """A backend says that it has ended: publish that, and answer when a majority has it."""
        if self.address not in self.core or not _is_valid_name(end.id):
            return [Rejected(end.token)]
        out = self.table.ended(now, SELF, end.id, FINAL_SEQUENCE)
        out += self.reconcile(now, end.id)
        return [*out, *self._await_majority(now, end.token, self.log.number(end.id))]

    def tick(self, now: float, quorate: bool) -> list[Acknowledged | Rejected | BackendChange]:
        """Expire leases, and reject calls that weren't confirmed in time. The time of leases is suspended
        while this process is cut off from the core (heartbeats may go elsewhere) and while it was paused."""
        passed = now - self.ticked if self.ticked is not None else 0.0
        self.ticked = now
        if not quorate or passed > PAUSE_S:
            for lease in self.leases.values():
                lease.until += passed
        out: list[Acknowledged | Rejected | BackendChange] = []
        for id, lease in [(i, x) for i, x in self.leases.items() if x.until <= now]:
            out += self.table.ended(now, SELF, id, lease.backend.seq)
            out += self.reconcile(now, id)
        while self.waiting and self.waiting[0].until <= now:
            out.append(Rejected(self.waiting.popleft().token))
        return out

    def reconcile(self, now: float, id: str) -> list[BackendChange]:
        """Bring the own log in line with the table for this backend: another controller may receive its
        heartbeats by now, or may report something older than what was heard here, or a planned end that is
        to be relayed."""
        lease, row, tombstone = self._known(id)
        published = self.log.get(id)
        if lease is not None:
            seq = lease.backend.seq
            if (tombstone is None or tombstone.seq < seq) and (row is None or row.backend.seq <= seq):
                if row is not None and self._is_current(published, row, tombstone):
                    return []
                out = self._publish_lease(now, lease.backend)
                return out if id in self.leases else out + self.reconcile(now, id)
            del self.leases[id]
            self.table.record(now, SELF, ReleaseRecord(id))
        if row is not None:
            if row.backend.draining:
                if not (
                    isinstance(published, LeaseRecord)
                    and published.relay
                    and published.backend.seq == row.backend.seq
                ):
                    self.log.put(id, LeaseRecord(row.backend, relay=True))
                return []
        elif tombstone is not None:
            if not (isinstance(published, EndRecord) and published.seq >= tombstone.seq):
                self.log.put(id, tombstone)
            return []
        if isinstance(published, LeaseRecord):
            self.log.put(id, ReleaseRecord(id, now + TOMBSTONE_S))
        return []

    @staticmethod
    def _is_current(published: Record | None, row: BackendRow, tombstone: EndRecord | None) -> bool:
        """Whether the lease in the own log is the newest that any source reports of the backend."""
        return (
            isinstance(published, LeaseRecord)
            and not published.relay
            and published.backend.seq == row.backend.seq
            and (tombstone is None or tombstone.seq < row.backend.seq)
        )

    def _known(self, id: str) -> tuple[Lease | None, BackendRow | None, EndRecord | None]:
        return self.leases.get(id), self.table.rows.get(id), self.table.tombstones.get(id)

    def _reconciled(self, now: float, changes: list[BackendChange]) -> list[BackendChange]:
        out = list(changes)
        for change in changes:
            if isinstance(change, BackendRemoved):
                out += self.reconcile(now, change.id)
        return out

    def _await_majority(
        self, now: float, token: Any, number: int
    ) -> list[Acknowledged | Rejected | BackendChange]:
        if len(self.waiting) >= MAX_PENDING_CALLS:
            return [Rejected(token)]
        self.waiting.append(_PendingCall(token, number, now + REJECT_AFTER_S))
        return list(self.confirmed())

    def confirmed(self) -> list[Acknowledged]:
        """Acknowledge the calls whose changes a majority of the core has by now."""
        out = []
        still_pending = deque[_PendingCall]()
        others = [m for m in self.core if m != self.address]
        for call in self.waiting:
            if 2 * (1 + self.log.confirmed(call.number, others)) > len(self.core):
                out.append(Acknowledged(call.token))
            else:
                still_pending.append(call)
        self.waiting = still_pending
        return out
