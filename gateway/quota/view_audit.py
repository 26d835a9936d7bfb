"""Audit of quota clients' views: whether they agree with what their shard owner has recently replied."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from gateway.quota.interface import SHARDS
from gateway.quota.quota_pb2 import CounterView
from gateway.quota.window import tenant_number
from gateway.state_machine import Address

SLOT_S = 0.1  # length of a slot, for which the least and the greatest replied value are kept
SLOTS = 128  # slots kept for each count: at least 12.8 s of verdicts
MAX_TRANSIT_S = 0.5  # that a verdict and the report of its view may have been in transit together
VIEW_FORGET_S = 30.0  # a view of this age is discarded


class RecordedView(NamedTuple):
    """A quota client's view: units remaining, and when its verdict came by this owner's clock.

    `beyond` is by how many units it lies outside all that was replied at that time; None if that was before
    this owner's first reply.
    """

    remaining: int
    at: float
    beyond: int | None


class ComparedView(NamedTuple):
    """A quota client's view now: its age, its difference from the remaining units, `RecordedView.beyond`."""

    node: Address
    remaining: int
    age_s: float
    differs: float
    beyond: int | None


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
        self.replied_range: dict[int, deque[list[float]]] = {}  # by tenant: slots of start, least, greatest
        self.known: dict[int, dict[Address, RecordedView]] = {}
        # shards; units refunded; these only grow
        self.gained = 0
        self.lost = 0
        self.back = 0

    def record_reply(self, now: float, tenant: int, remaining: int) -> None:
        """Record the remaining units in a verdict that is sent."""
        slots = self.replied_range.get(tenant)
        if slots is None:
            slots = self.replied_range[tenant] = deque(maxlen=SLOTS)
        if not slots or now >= slots[-1][0] + SLOT_S:
            slots.append([now, remaining, remaining])
            return
        slot = slots[-1]
        if remaining < slot[1]:
            slot[1] = remaining
        elif remaining > slot[2]:
            slot[2] = remaining

    def hear(self, now: float, frm: Address, views: Iterable[CounterView]) -> None:
        """Take the views that a quota client reports."""
        for view in views:
            at = now - view.age_ms / 1000
            known = RecordedView(view.remaining, at, self.beyond(at, view.tenant, view.remaining))
            self.known.setdefault(view.tenant, {})[frm] = known

    def beyond(self, at: float, tenant: int, remaining: int) -> int | None:
        """By how many units a view lies below or above all that was replied by then, and not long before."""
        before = [slot for slot in self.replied_range.get(tenant, ()) if slot[0] <= at]
        if not before:
            return None
        nearby = [slot for slot in before if slot[0] + SLOT_S >= at - MAX_TRANSIT_S] or before[-1:]
        return int(max(0, min(s[1] for s in nearby) - remaining, remaining - max(s[2] for s in nearby)))

    def moved(self, lost: int, new: int) -> None:
        """Shards were lost or gained: what is known of their tenants is of another count, and dropped."""
        self.lost = self.lost + lost.bit_count()
        self.gained = self.gained + new.bit_count()
        for tenants in (self.replied_range, self.known):
            for tenant in [t for t in tenants if (lost | new) >> (t % SHARDS) & 1]:
                del tenants[tenant]

    def compare(self, now: float, held: Mapping[str, tuple[float, float, float]]) -> list[CounterComparison]:
        """Compare the views of all tenants in `held`, which is `ShardOwner.view`'s result; by label."""
        out = []
        for label, (remaining, allowance, reserved) in sorted(held.items()):
            known = self.known.get(tenant_number(label), {})
            for node in [n for n, k in known.items() if now >= k.at + VIEW_FORGET_S]:
                del known[node]
            views = [
                ComparedView(node, k.remaining, now - k.at, abs(k.remaining - int(remaining)), k.beyond)
                for node, k in sorted(known.items())
            ]
            out.append(CounterComparison(label, allowance, remaining, reserved, views))
        return out
