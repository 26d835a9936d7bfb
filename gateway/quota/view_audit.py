"""Audit of the quota clients' views of a count against the shard owner's recent replies."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from gateway.quota.protocol import shard_of, tenant_number
from gateway.quota.quota_pb2 import CounterView
from gateway.quota.tenant_counter import CounterState
from gateway.state_machine import Address

SLOT_S = 0.1  # the smallest and greatest replied value are stored for each slot of this length
MAX_SLOTS = 128  # slots stored for each count: at least 12.8 s of verdicts
MAX_TRANSIT_S = 0.5  # maximum combined transit time of a verdict and of the report of its view
VIEW_RETENTION_S = 30.0  # older views are discarded


class RepliedRange:
    """The smallest and the greatest value replied in one slot."""

    __slots__ = ("began_at", "greatest", "least")

    def __init__(self, began_at: float, remaining: int) -> None:
        self.began_at = began_at
        self.least = remaining
        self.greatest = remaining


class RecordedView(NamedTuple):
    """A quota client's view: the remaining units, and the owner's clock time at which its verdict arrived.

    `outside_by` is the number of units by which it lies outside all values replied around that time, or None
    if that was before this owner's first reply.
    """

    remaining: int
    known_at: float
    outside_by: int | None


class ComparedView(NamedTuple):
    """A quota client's current view: its age, its difference from the remaining units, and `outside_by`."""

    node: Address
    remaining: int
    age_s: float
    difference: float
    outside_by: int | None


class CounterComparison(NamedTuple):
    """A tenant's count: allowance, units remaining, units reserved, and the views of its clients."""

    tenant: str
    allowance: float
    remaining: float
    reserved: float
    views: list[ComparedView]


class ViewAudit:
    """Records a shard owner's verdicts and its quota clients' views.

    A view is compared with the replies at the time of its verdict, so that a view that is merely old does not
    count as a disagreement.
    """

    def __init__(self) -> None:
        self.replied: dict[int, deque[RepliedRange]] = {}  # by tenant
        self.views: dict[int, dict[Address, RecordedView]] = {}  # by tenant
        # Counters that never decrease.
        self.gained_shards = 0
        self.lost_shards = 0
        self.refunded = 0  # units

    def record_reply(self, now: float, tenant: int, remaining: int) -> None:
        """Record the remaining units reported in a verdict."""
        slots = self.replied.get(tenant)
        if slots is None:
            slots = deque(maxlen=MAX_SLOTS)
            self.replied[tenant] = slots
        if not slots or now >= slots[-1].began_at + SLOT_S:
            slots.append(RepliedRange(now, remaining))
            return
        slot = slots[-1]
        if remaining < slot.least:
            slot.least = remaining
        elif remaining > slot.greatest:
            slot.greatest = remaining

    def record_views(self, now: float, client: Address, views: Iterable[CounterView]) -> None:
        """Record the views reported by a quota client."""
        for view in views:
            known_at = now - view.age_ms / 1000
            outside_by = self._outside_by(known_at, view.tenant, view.remaining)
            recorded = RecordedView(view.remaining, known_at, outside_by)
            self.views.setdefault(view.tenant, {})[client] = recorded

    def _outside_by(self, known_at: float, tenant: int, remaining: int) -> int | None:
        """The number of units by which a view lies outside the values replied shortly before `known_at`."""
        before = [slot for slot in self.replied.get(tenant, ()) if slot.began_at <= known_at]
        if not before:
            return None
        earliest = known_at - MAX_TRANSIT_S
        nearby = [slot for slot in before if slot.began_at + SLOT_S >= earliest] or before[-1:]
        below = min(slot.least for slot in nearby) - remaining
        above = remaining - max(slot.greatest for slot in nearby)
        return max(0, below, above)

    def on_ownership_change(self, lost: int, gained: int) -> None:
        """Discard replies and views of lost and gained shards (bitmasks): they belong to another count."""
        self.lost_shards += lost.bit_count()
        self.gained_shards += gained.bit_count()
        changed = lost | gained
        for by_tenant in (self.replied, self.views):
            for tenant in [t for t in by_tenant if changed >> shard_of(t) & 1]:
                del by_tenant[tenant]

    def compare(self, now: float, states: Mapping[str, CounterState]) -> list[CounterComparison]:
        """Compare the views of all tenants in `states` (from `ShardOwner.counter_states`), by label."""
        comparisons = []
        for label, state in sorted(states.items()):
            client_views = self.views.get(tenant_number(label), {})
            for client in [c for c, v in client_views.items() if now >= v.known_at + VIEW_RETENTION_S]:
                del client_views[client]
            views = [
                ComparedView(
                    client,
                    view.remaining,
                    now - view.known_at,
                    abs(view.remaining - int(state.remaining)),
                    view.outside_by,
                )
                for client, view in sorted(client_views.items())
            ]
            comparisons.append(
                CounterComparison(label, state.allowance, state.remaining, state.reserved, views)
            )
        return comparisons
