"""Audit of quota clients' views: whether they agree with what their shard owner has recently replied."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from gateway.quota.protocol import shard_of, tenant_number
from gateway.quota.quota_pb2 import CounterView
from gateway.quota.tenant_counter import CounterState
from gateway.state_machine import Address

SLOT_S = 0.1  # length of a slot, for which the least and the greatest replied value are kept
MAX_SLOTS = 128  # slots kept for each count: at least 12.8 s of verdicts
MAX_TRANSIT_S = 0.5  # that a verdict and the report of its view may have been in transit together
VIEW_RETENTION_S = 30.0  # a view of this age is discarded


class RepliedRange:
    """The least and the greatest value replied in one slot."""

    __slots__ = ("began_at", "greatest", "least")

    def __init__(self, began_at: float, remaining: int) -> None:
        self.began_at = began_at
        self.least = remaining
        self.greatest = remaining


class RecordedView(NamedTuple):
    """A quota client's view: units remaining, and when its verdict came by this owner's clock.

    `outside_by` is by how many units it lies outside all that was replied at that time; None if that was
    before this owner's first reply.
    """

    remaining: int
    known_at: float
    outside_by: int | None


class ComparedView(NamedTuple):
    """A quota client's view now: its age, its difference from the remaining units, and `outside_by`."""

    node: Address
    remaining: int
    age_s: float
    difference: float
    outside_by: int | None


class CounterComparison(NamedTuple):
    """A tenant counted here: allowance, units remaining, units reserved, and the views of its clients."""

    tenant: str
    allowance: float
    remaining: float
    reserved: float
    views: list[ComparedView]


class ViewAudit:
    """Records a shard owner's verdicts and its quota clients' views.

    A view is compared with what was replied when its verdict came, so that age alone is no disagreement.
    """

    def __init__(self) -> None:
        self.replied: dict[int, deque[RepliedRange]] = {}  # by tenant
        self.views: dict[int, dict[Address, RecordedView]] = {}  # by tenant
        # Counters that only grow.
        self.gained_shards = 0
        self.lost_shards = 0
        self.refunded = 0  # units

    def record_reply(self, now: float, tenant: int, remaining: int) -> None:
        """Record the remaining units in a verdict that is sent."""
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
        """Take the views that a quota client reports."""
        for view in views:
            known_at = now - view.age_ms / 1000
            outside_by = self._outside_by(known_at, view.tenant, view.remaining)
            recorded = RecordedView(view.remaining, known_at, outside_by)
            self.views.setdefault(view.tenant, {})[client] = recorded

    def _outside_by(self, known_at: float, tenant: int, remaining: int) -> int | None:
        """By how many units a view lies outside all that was replied by then, and not long before."""
        before = [slot for slot in self.replied.get(tenant, ()) if slot.began_at <= known_at]
        if not before:
            return None
        earliest = known_at - MAX_TRANSIT_S
        nearby = [slot for slot in before if slot.began_at + SLOT_S >= earliest] or before[-1:]
        below = min(slot.least for slot in nearby) - remaining
        above = remaining - max(slot.greatest for slot in nearby)
        return max(0, below, above)

    def on_ownership_change(self, lost: int, gained: int) -> None:
        """Shards (bitmasks) were lost or gained: what is known of their tenants is of another count."""
        self.lost_shards += lost.bit_count()
        self.gained_shards += gained.bit_count()
        changed = lost | gained
        for by_tenant in (self.replied, self.views):
            for tenant in [t for t in by_tenant if changed >> shard_of(t) & 1]:
                del by_tenant[tenant]

    def compare(self, now: float, states: Mapping[str, CounterState]) -> list[CounterComparison]:
        """Compare the views of all tenants in `states` (of `ShardOwner.counter_states`), by label."""
        comparisons = []
        for label, state in sorted(states.items()):
            known = self.views.get(tenant_number(label), {})
            for client in [c for c, v in known.items() if now >= v.known_at + VIEW_RETENTION_S]:
                del known[client]
            views = [
                ComparedView(
                    client,
                    view.remaining,
                    now - view.known_at,
                    abs(view.remaining - int(state.remaining)),
                    view.outside_by,
                )
                for client, view in sorted(known.items())
            ]
            comparisons.append(
                CounterComparison(label, state.allowance, state.remaining, state.reserved, views)
            )
        return comparisons
