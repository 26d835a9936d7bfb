"""The shard owner at a controller, which counts charges, grants shares and renews its own lease."""

from __future__ import annotations

import random
from typing import NamedTuple, assert_never

from gateway.quota.client_registry import ClientRegistry, ClientState
from gateway.quota.events import Allowances, OwnerEvent, Received, SetLeader, Tick
from gateway.quota.outputs import OwnerOutput
from gateway.quota.protocol import LEASE_MARGIN_S, SHARE_S, VerdictCode, shard_of, tenant_number
from gateway.quota.quota_pb2 import (
    Charge,
    ChargeRefund,
    ClientHeartbeat,
    LeaseGrant,
    Message,
    Verdict,
)
from gateway.quota.shard_lease import OwnershipChange, ShardLease
from gateway.quota.share_allocator import SHARE_NUMBERS
from gateway.quota.tenant_counter import CounterState, ReportedShare, TenantCounter
from gateway.quota.view_audit import ViewAudit
from gateway.quota.window import Window, plan
from gateway.state_machine import Address, Send

SHARE_NUMBER_STEP = 97  # distance between the first share numbers of two counts


class TenantWindow(NamedTuple):
    """The label and the windows of a tenant with a limit."""

    label: str
    window: Window


class ShardOwner:
    """State machine that counts the tenants of the shards it owns under a lease.

    It must receive a `Tick` every 0.1 s. `span_s` is the window of the rule QUOTA (quota-window-s), and `rng`
    is used to draw the incarnation.
    """

    def __init__(self, span_s: float, rng: random.Random) -> None:
        self.span_s = span_s
        self.incarnation = rng.randrange(1, 1 << 32)
        self.lease = ShardLease(self.incarnation)
        self.windows: dict[int, TenantWindow] = {}  # by the tenant's number
        self.counters: dict[int, TenantCounter] = {}  # by the tenant's number
        self.registry = ClientRegistry(self._end_shares)
        self.share_number_seed = rng.randrange(SHARE_NUMBERS)
        self.view_audit = ViewAudit()

    def handle(self, now: float, event: OwnerEvent) -> list[OwnerOutput]:
        """Process one event at monotonic time `now` (seconds); returns the messages to send."""
        match event:
            case Received(sender, message):
                return self._receive(now, sender, message)
            case Tick():
                return self._tick(now)
            case Allowances():
                self._set_allowances(now, event)
                return []
            case SetLeader(address):
                return self._tick(now) if self.lease.set_leader(now, address) else []
            case _:
                assert_never(event)

    def counter_states(self, now: float) -> dict[str, CounterState]:
        """The open counts by label.

        This changes no state. Windows start with a charge, so in a window that has not started yet, the
        complete allowance remains.
        """
        states: dict[str, CounterState] = {}
        if now >= self.lease.expires_at:
            return states
        for number, counter in self.counters.items():
            if now >= counter.opens_at and number in self.windows:
                label, window = self.windows[number]
                unreserved = max(0.0, window.allowance - counter.reserved)
                remaining = unreserved if now >= counter.window_ends_at else counter.remaining(now)
                states[label] = CounterState(remaining, window.allowance, counter.reserved)
        return states

    def _receive(self, now: float, sender: Address, message: Message) -> list[OwnerOutput]:
        match message.WhichOneof("kind"):
            case "charge":
                return self._on_charge(now, sender, message.charge)
            case "refund":
                self._on_refund(now, message.refund)
            case "client_heartbeat":
                return self._on_client_heartbeat(now, sender, message.client_heartbeat)
            case "lease_grant":
                self._on_lease_grant(now, sender, message.lease_grant)
        return []

    # Charges.

    def _on_charge(self, now: float, sender: Address, charge: Charge) -> list[OwnerOutput]:
        """Charge one unit and respond with a verdict; late charges of an earlier incarnation are dropped."""
        if self.registry.has_ended(sender, charge.incarnation):
            return []
        client = self.registry.on_message(now, sender, charge.incarnation)
        verdict = Verdict(id=charge.id)
        counter = self.counters.get(charge.tenant)
        if counter is None or now >= self.lease.expires_at:
            counter = self._counter(now, charge.tenant, verdict)
        if counter is not None:
            _defer_opening_for_share(now, sender, charge, counter)
            if _is_not_open(now, counter):
                verdict.code = VerdictCode.NOT_OPEN
                counter = None
        if client is None:
            verdict.code = VerdictCode.NOT_OWNER
        elif counter is not None:
            self._decide(now, sender, charge, counter, verdict, may_lease=client.left_at is None)
            client.extend_shares(now)
        return [Send(sender, Message(verdict=verdict))]

    def _decide(
        self,
        now: float,
        sender: Address,
        charge: Charge,
        counter: TenantCounter,
        verdict: Verdict,
        may_lease: bool,
    ) -> None:
        """Charge an open count and fill in the verdict; only if `may_lease`, it may grant a share."""
        self._refresh(now, charge.tenant, counter)
        share = counter.shares.by_client.get(sender) or counter.shares.share_of(sender, charge.spent)
        if charge.spent != share.spent:
            counter.count_spent(share, charge.spent)
        is_admitted = counter.charge(
            now, share, charge.id, charge.precedence, charge.refused_locally, charge.refused_earlier
        )
        if not is_admitted:
            verdict.code = VerdictCode.REJECTED
        verdict.remaining = int(counter.remaining(now))
        self.view_audit.record_reply(now, charge.tenant, verdict.remaining)
        verdict.window_ends_in_ms = int((counter.window_ends_at - now) * 1000) + 1
        if counter.over_demand or counter.demand > counter.window.allowance:
            verdict.over_demand = True
        if may_lease and counter.shares.renew(now, sender, share, charge.share_number):
            verdict.share_number = share.number
            verdict.share_size = share.size

    def _counter(self, now: float, tenant: int, verdict: Verdict | None = None) -> TenantCounter | None:
        """A tenant's count, created if its shard is owned; otherwise the verdict gets the reason."""
        self._expire_lease(now)
        shard = shard_of(tenant)
        tenant_window = self.windows.get(tenant)
        if tenant_window is None or not self.lease.owns(shard):
            if verdict is not None:
                is_owner = self.lease.owns(shard)
                verdict.code = VerdictCode.UNKNOWN_TENANT if is_owner else VerdictCode.NOT_OWNER
            return None
        counter = self.counters.get(tenant)
        if counter is None:
            self.share_number_seed += 1
            counter = TenantCounter(
                now,
                tenant_window.window,
                self.lease.last_counted_at[shard],
                self.share_number_seed * SHARE_NUMBER_STEP,
                self.lease.began_at[shard],
            )
            self.counters[tenant] = counter
        return counter

    def _refresh(self, now: float, tenant: int, counter: TenantCounter) -> None:
        """Update a count's window and its reserved units."""
        if now >= counter.window_ends_at:
            counter.begin_window(now)
        if counter.reservation_epoch != self.registry.epoch:
            has_unreported = self.has_unreported_shares(now, shard_of(tenant))
            counter.reserve(self.registry.unresponsive, has_unreported)
            counter.reservation_epoch = self.registry.epoch

    def has_unreported_shares(self, now: float, shard: int) -> bool:
        """Whether a quota client may have an unreported share from an earlier owner."""
        last_counted_at = self.lease.last_counted_at[shard]
        if now >= last_counted_at + SHARE_S + LEASE_MARGIN_S:
            return False
        return self.registry.has_unreported(now, shard, last_counted_at)

    def _on_refund(self, now: float, refund: ChargeRefund) -> None:
        """Refund one unit."""
        counter = self.counters.get(refund.tenant)
        if counter is not None and now < self.lease.expires_at:
            self._refresh(now, refund.tenant, counter)
            counter.refund(refund.id)
            self.view_audit.refunded += 1

    # Quota clients.

    def _end_shares(self, client: Address) -> None:
        """End the shares of a quota client that has restarted."""
        for counter in self.counters.values():
            counter.end_share(client)

    def _on_client_heartbeat(
        self, now: float, sender: Address, heartbeat: ClientHeartbeat
    ) -> list[OwnerOutput]:
        """Handle a client's heartbeat; late ones of a former incarnation are dropped."""
        incarnation = heartbeat.incarnation
        if self.registry.has_ended(sender, incarnation):
            return []
        if heartbeat.leaving and not self.registry.knows(sender, incarnation):
            return []  # another incarnation may be running there by now
        client = self.registry.on_message(now, sender, incarnation, heartbeat.owner_unresponsive)
        if client is None:
            return []
        self._expire_lease(now)
        if client.left_at is None:
            self._take_reports(now, sender, client, heartbeat)
        unreported = self.lease.shards & ~client.reported_shards
        reply = self.registry.heartbeat_reply(now, heartbeat.number, unreported)
        return [Send(sender, Message(client_heartbeat_reply=reply))]

    def _take_reports(
        self, now: float, sender: Address, client: ClientState, heartbeat: ClientHeartbeat
    ) -> None:
        """Apply a heartbeat's reports of shares, views and clients, and a leaving client's shares."""
        self.view_audit.record_views(now, sender, heartbeat.views)
        for report in heartbeat.shares:
            if not report.size:
                continue
            counter = self._counter(now, report.tenant)
            if counter is not None and heartbeat.shards >> shard_of(report.tenant) & 1:
                accrues_from = now + report.accrues_in_ms / 1000
                share = ReportedShare(report.size, report.expires_in_ms / 1000, report.spent, accrues_from)
                counter.on_share_reported(now, sender, share)
                client.extend_shares(now)
        self.registry.record_client_count(now, heartbeat.client_count, heartbeat.last_heard_ms)
        self.registry.record_reported(client, heartbeat.shards & self.lease.shards)
        if heartbeat.leaving:
            self._take_returned_shares(now, sender, heartbeat)
            self.registry.record_left(now, sender, client)

    def _take_returned_shares(self, now: float, sender: Address, heartbeat: ClientHeartbeat) -> None:
        """Count the units that a leaving client admitted by its shares, and end the shares."""
        spent = {report.tenant: report.spent for report in heartbeat.shares}
        for number, counter in self.counters.items():
            self._refresh(now, number, counter)
            counter.return_share(sender, spent.get(number, 0))

    # The lease.

    def _tick(self, now: float) -> list[OwnerOutput]:
        """Handle the expiry of the lease and of quota clients, and request the lease if a request is due."""
        self._expire_lease(now)
        self.registry.check(now)
        return self.lease.request_if_due(now)

    def _expire_lease(self, now: float) -> None:
        self._apply(self.lease.expire(now))

    def _on_lease_grant(self, now: float, sender: Address, grant: LeaseGrant) -> None:
        if self.lease.accepts(now, sender, grant):
            self._expire_lease(now)
            self._apply(self.lease.adopt(now, grant))

    def _apply(self, change: OwnershipChange | None) -> None:
        """End the counts of lost shards; the counts of gained shards start anew."""
        if change is None:
            return
        self.registry.forget_reports(change.lost | change.gained)
        self.view_audit.on_ownership_change(change.lost, change.gained)
        self.counters = {
            number: counter
            for number, counter in self.counters.items()
            if not change.lost >> shard_of(number) & 1
        }

    # Configuration.

    def _set_allowances(self, now: float, event: Allowances) -> None:
        """Apply the tenants' new allowances."""
        self.windows = {}
        for label, (rate, burst) in event.tenants.items():
            window = plan(rate, burst, self.span_s)
            if window is not None:
                self.windows[tenant_number(label)] = TenantWindow(label, window)
        for number, counter in list(self.counters.items()):
            tenant_window = self.windows.get(number)
            if tenant_window is None:
                del self.counters[number]
            elif tenant_window.window != counter.window:
                counter.resize(now, tenant_window.window)


def _defer_opening_for_share(now: float, sender: Address, charge: Charge, counter: TenantCounter) -> None:
    """Delay the opening of a count if the charge shows that its sender has a share of an earlier owner."""
    if now >= counter.deferred_opens_at or not (charge.had_other_share or charge.share_number):
        return
    share = counter.shares.by_client.get(sender)
    if charge.had_other_share or share is None or not share.number:
        counter.defer_opening()


def _is_not_open(now: float, counter: TenantCounter) -> bool:
    """Whether a count is not open yet, and not enough of the allowance has accrued for another request."""
    return (
        now < counter.opens_at
        and not counter.has_reported_shares
        and counter.early_limit(now) - counter.admitted < 1
    )
