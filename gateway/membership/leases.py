"""Leases of the backends whose heartbeats this process receives, and the log that publishes them."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Sequence
from typing import NamedTuple, TypeVar

from gateway.membership.backend_table import (
    MAX_TICK_GAP_S,
    TOMBSTONE_S,
    BackendRow,
    BackendTable,
    is_significant,
)
from gateway.membership.change_log import ChangeLog
from gateway.membership.codec import FINAL_SEQUENCE, EndRecord, LeaseRecord, Record, ReleaseRecord
from gateway.membership.events import Deregistration, Heartbeat
from gateway.membership.outputs import Acknowledged, BackendChange, BackendRemoved, CallAnswer, Rejected
from gateway.membership.types import Backend, CallToken
from gateway.state_machine import Address

# A call is rejected after this time without a majority; less than the second that a backend waits.
REJECT_AFTER_S = 0.7
MAX_PENDING_CALLS = 1024
LEASE_SLACK_S = 0.5  # part of a lease beyond `LEASE_HEARTBEATS` intervals
LEASE_HEARTBEATS = 3  # number of heartbeat intervals in a lease
MAX_NAME_LENGTH = 255  # characters
MAX_CAPACITY = (1 << 32) - 1
SELF = ""  # source name of this process in its own table

T = TypeVar("T")


class Lease:
    """A backend according to the newest heartbeat received here, and the end of its lease."""

    __slots__ = ("backend", "until")

    def __init__(self, backend: Backend, until: float) -> None:
        self.backend = backend
        self.until = until


class _PendingCall(NamedTuple):
    token: CallToken
    number: int  # number of the log change that a majority must confirm
    until: float


class _Known(NamedTuple):
    """The local state of a backend: its own lease, its row in the table, and its tombstone."""

    lease: Lease | None
    row: BackendRow | None
    tombstone: EndRecord | None


def _is_valid_name(text: str) -> bool:
    """Whether a name can be sent to other processes: not too long, and without lone surrogates."""
    has_surrogates = not text.isascii() and any("\ud800" <= letter <= "\udfff" for letter in text)
    return len(text) <= MAX_NAME_LENGTH and not has_surrogates


def is_valid(heartbeat: Heartbeat) -> bool:
    """Whether a heartbeat can be forwarded to other processes: its names and numbers are valid."""
    names = (heartbeat.id, heartbeat.service, heartbeat.address, heartbeat.zone, heartbeat.generation)
    return (
        0 <= heartbeat.seq < FINAL_SEQUENCE
        and 0 <= heartbeat.capacity <= MAX_CAPACITY
        and all(map(_is_valid_name, names))
    )


class Leases:
    """Handles heartbeats and deregistrations, writes the log, and keeps it consistent with other logs.

    A lease lasts three heartbeat intervals plus `LEASE_SLACK_S`. A planned end (draining, DELETE) is
    acknowledged once a majority of the core has stored it in its copies of the log.
    """

    def __init__(
        self, log: ChangeLog, table: BackendTable, address: Address, heartbeat_interval_s: float
    ) -> None:
        self.log = log
        self.table = table
        self.address = address
        self.duration_s = LEASE_HEARTBEATS * heartbeat_interval_s + LEASE_SLACK_S
        self.leases: dict[str, Lease] = {}
        self.core: Collection[Address] = ()
        self.pending_calls: deque[_PendingCall] = deque()
        self.ticked_at: float | None = None

    def on_heartbeat(self, now: float, heartbeat: Heartbeat) -> list[CallAnswer | BackendChange]:
        """Handle a backend's heartbeat: renew its lease and acknowledge it.

        A heartbeat that announces draining is acknowledged only after a majority of the core has stored it.
        """
        if self.address not in self.core or not is_valid(heartbeat):
            return [Rejected(heartbeat.token)]
        changes = self._renew(now, heartbeat)
        if changes is None:
            return [Rejected(heartbeat.token)]
        if not heartbeat.draining:
            return [Acknowledged(heartbeat.token), *changes]
        return [*changes, *self._await_majority(now, heartbeat.token, self.log.number(heartbeat.id))]

    def _renew(self, now: float, heartbeat: Heartbeat) -> list[BackendChange] | None:
        """Renew or start a lease; None if there are too many leases."""
        lease, row, tombstone = self._known(heartbeat.id)
        if lease is None and len(self.leases) >= self.table.max_rows:
            return None
        newest = lease.backend if lease else row.backend if row else None
        if tombstone is not None and heartbeat.seq <= tombstone.seq:
            return []
        if newest is not None and heartbeat.seq <= newest.seq:
            return []
        first_heard_at = now
        if newest is not None:
            first_heard_at = newest.first_heard_at
        elif tombstone is not None:
            first_heard_at = min(now, tombstone.first_heard_at)
        backend = _backend(now, heartbeat, first_heard_at)
        if lease is None or is_significant(now, lease.backend, backend):
            return self._publish_lease(now, backend)
        lease.backend = backend._replace(slow_start_until=lease.backend.slow_start_until)
        lease.until = now + self.duration_s
        return []

    def _publish_lease(self, now: float, backend: Backend) -> list[BackendChange]:
        """Take over the lease of a backend, and publish it in the log."""
        changes = self.table.record(now, SELF, LeaseRecord(backend))
        row = self.table.rows.get(backend.id)
        if row is not None and SELF in row.lease_holders:
            self.leases[backend.id] = Lease(row.backend, now + self.duration_s)
            self.log.put(backend.id, LeaseRecord(row.backend))
        else:  # another backend now has its address
            self.leases.pop(backend.id, None)
        return self.reconcile_removed(now, changes)

    def on_deregistration(self, now: float, call: Deregistration) -> list[CallAnswer | BackendChange]:
        """Handle a backend's deregistration: publish it, and answer once a majority has stored it."""
        if self.address not in self.core or not _is_valid_name(call.id):
            return [Rejected(call.token)]
        changes = self.table.end(now, SELF, call.id, FINAL_SEQUENCE)
        changes += self.reconcile(now, call.id)
        return [*changes, *self._await_majority(now, call.token, self.log.number(call.id))]

    def tick(self, now: float, quorate: bool) -> list[CallAnswer | BackendChange]:
        """Expire leases, and reject calls that were not confirmed in time.

        Leases don't expire while this process is disconnected from the core, because heartbeats may go
        elsewhere, or while it was paused.
        """
        passed = now - self.ticked_at if self.ticked_at is not None else 0.0
        self.ticked_at = now
        if not quorate or passed > MAX_TICK_GAP_S:
            for lease in self.leases.values():
                lease.until += passed
        outputs: list[CallAnswer | BackendChange] = []
        for backend_id, lease in [(i, x) for i, x in self.leases.items() if x.until <= now]:
            outputs += self.table.end(now, SELF, backend_id, lease.backend.seq)
            outputs += self.reconcile(now, backend_id)
        while self.pending_calls and self.pending_calls[0].until <= now:
            outputs.append(Rejected(self.pending_calls.popleft().token))
        return outputs

    def reconcile(self, now: float, backend_id: str) -> list[BackendChange]:
        """Make the own log consistent with the table for this backend.

        Another controller may now receive its heartbeats, or may report an older state than the one received
        here, or a planned end that has to be relayed.
        """
        lease, row, tombstone = self._known(backend_id)
        published = self.log.get(backend_id)
        if lease is not None:
            seq = lease.backend.seq
            if (tombstone is None or tombstone.seq < seq) and (row is None or row.backend.seq <= seq):
                if row is not None and self._is_current(published, row, tombstone):
                    return []
                changes = self._publish_lease(now, lease.backend)
                is_published = backend_id in self.leases
                return changes if is_published else changes + self.reconcile(now, backend_id)
            del self.leases[backend_id]
            self.table.record(now, SELF, ReleaseRecord(backend_id))
        self._publish_without_lease(now, backend_id, _Known(None, row, tombstone), published)
        return []

    def _publish_without_lease(
        self, now: float, backend_id: str, known: _Known, published: Record | None
    ) -> None:
        """Make the own log consistent for a backend whose lease this process doesn't have."""
        if known.row is not None:
            if known.row.backend.draining:
                is_relayed = (
                    isinstance(published, LeaseRecord)
                    and published.relay
                    and published.backend.seq == known.row.backend.seq
                )
                if not is_relayed:
                    self.log.put(backend_id, LeaseRecord(known.row.backend, relay=True))
                return
        elif known.tombstone is not None:
            if not (isinstance(published, EndRecord) and published.seq >= known.tombstone.seq):
                self.log.put(backend_id, known.tombstone)
            return
        if isinstance(published, LeaseRecord):
            self.log.put(backend_id, ReleaseRecord(backend_id, now + TOMBSTONE_S))

    @staticmethod
    def _is_current(published: Record | None, row: BackendRow, tombstone: EndRecord | None) -> bool:
        """Whether the lease in the own log is the newest state reported by any source."""
        return (
            isinstance(published, LeaseRecord)
            and not published.relay
            and published.backend.seq == row.backend.seq
            and (tombstone is None or tombstone.seq < row.backend.seq)
        )

    def _known(self, backend_id: str) -> _Known:
        return _Known(
            self.leases.get(backend_id),
            self.table.rows.get(backend_id),
            self.table.tombstones.get(backend_id),
        )

    def reconcile_removed(self, now: float, outputs: Sequence[T]) -> list[T | BackendChange]:
        """End the leases of backends removed by these outputs, and record that in the own log."""
        reconciled: list[T | BackendChange] = list(outputs)
        for output in outputs:
            if isinstance(output, BackendRemoved):
                reconciled += self.reconcile(now, output.id)
        return reconciled

    def _await_majority(self, now: float, token: CallToken, number: int) -> list[CallAnswer]:
        """Answer a call once a majority of the core has the log up to this number."""
        if len(self.pending_calls) >= MAX_PENDING_CALLS:
            return [Rejected(token)]
        self.pending_calls.append(_PendingCall(token, number, now + REJECT_AFTER_S))
        return [*self.confirmed_calls()]

    def confirmed_calls(self) -> list[Acknowledged]:
        """Acknowledge the calls whose changes a majority of the core has confirmed."""
        acknowledged: list[Acknowledged] = []
        still_pending = deque[_PendingCall]()
        others = [member for member in self.core if member != self.address]
        for call in self.pending_calls:
            if 2 * (1 + self.log.confirmations(call.number, others)) > len(self.core):
                acknowledged.append(Acknowledged(call.token))
            else:
                still_pending.append(call)
        self.pending_calls = still_pending
        return acknowledged


def _backend(now: float, heartbeat: Heartbeat, first_heard_at: float) -> Backend:
    slow_start_left_s = heartbeat.slow_start_left_s
    return Backend(
        id=heartbeat.id,
        service=heartbeat.service,
        address=heartbeat.address,
        zone=heartbeat.zone,
        generation=heartbeat.generation,
        capacity=heartbeat.capacity,
        draining=heartbeat.draining,
        slow_start_until=now + slow_start_left_s if slow_start_left_s > 0 else 0.0,
        seq=heartbeat.seq,
        first_heard_at=first_heard_at,
    )
