"""The quota client at a proxy: charges requests at shard owners, or admits them by its shares."""

from __future__ import annotations

import random
from heapq import heappop, heappush
from typing import NamedTuple, assert_never

from gateway.quota.decision_statistics import DecisionKind, DecisionStatistics
from gateway.quota.events import (
    Allowances,
    ChargeRequest,
    ClientEvent,
    Leave,
    Received,
    Refund,
    ShardMapReceived,
    Tick,
)
from gateway.quota.local_quota import LocalQuota
from gateway.quota.outputs import OVER_ALLOWANCE, ChargeDecision, ClientOutput
from gateway.quota.owner_links import OwnerLink, OwnerLinks
from gateway.quota.pending_charges import ChargeState, PendingCharge, PendingCharges
from gateway.quota.protocol import FULL_SHARE, LOWEST_PRECEDENCE, VerdictCode, shard_of, tenant_number
from gateway.quota.quota_pb2 import Charge, ChargeRefund, Message, Verdict
from gateway.quota.window import plan
from gateway.state_machine import Address, Send

MIN_RETRY_AFTER_S = 0.05  # lower bound of the wait in a rejection
MAX_RETRY_AFTER_S = 2.0  # upper bound of the wait in a rejection
FIRST_RETRY = 2  # number of the attempt after the first part of a charge's timeout
LAST_RETRY = 3  # number of the attempt after the complete timeout, if the share is exhausted
FIRST_RETRY_DIVISOR = 3  # a charge is first sent again after this part of its timeout

# Reasons why the owner didn't decide, as given in rejections.
NO_OWNER = "no shard owner"
UNRESPONSIVE_OWNER = "shard owner unresponsive"
COUNT_NOT_OPEN = "count not open"
NO_VERDICT = "no verdict"


class QuotaView(NamedTuple):
    """A quota client's view of a tenant's count.

    `remaining` is the number of units according to the newest verdict, `age_s` the age of that verdict in
    seconds, and `share` the client's own share in units per window.
    """

    remaining: int
    age_s: float
    allowance: float
    share: float


class QuotaClient:
    """State machine that charges a proxy's requests to their tenants' allowances.

    It must receive a `Tick` at `due()`. `span_s` is the window of the rule QUOTA (quota-window-s), and `rng`
    is used to draw the incarnation and the thresholds of the shares.
    """

    def __init__(self, span_s: float, rng: random.Random) -> None:
        self.span_s = span_s
        self.rng = rng
        self.incarnation = rng.randrange(1, 1 << 32)
        self.local_quotas: dict[str, LocalQuota] = {}  # by the tenant's label
        self.links = OwnerLinks(self.incarnation)
        self.statistics = DecisionStatistics()
        self.charges = PendingCharges()
        self.leaving = False  # its shares have been returned, and it accepts no others
        self.timers: list[tuple[float, int]] = []  # heap of times and attempt ids

    def handle(self, now: float, event: ClientEvent) -> list[ClientOutput]:
        """Process one event at monotonic time `now` (seconds); returns messages to send and decisions."""
        match event:
            case ChargeRequest():
                return self._request_charge(now, event)
            case Received(sender, message):
                return self._receive(now, sender, message)
            case Tick():
                return self._tick(now)
            case Refund(attempt_id):
                return self._refund(attempt_id)
            case ShardMapReceived(data):
                self.links.apply_shard_map(now, data)
                return []
            case Allowances():
                self._set_allowances(event)
                return []
            case Leave():
                return [] if self.leaving else self._leave(now)
            case _:
                assert_never(event)

    @property
    def has_left(self) -> bool:
        """Whether each owner has confirmed that this client is leaving, or has been informed often enough."""
        return self.leaving and not self.links.unacknowledged_leaves

    def due(self) -> float:
        """The monotonic time at which the next `Tick` is needed."""
        due = self.links.next_check_at
        return min(self.timers[0][0], due) if self.timers else due

    def views(self, now: float) -> dict[str, QuotaView]:
        """The view of each tenant's count, by label."""
        views = {}
        for label, quota in self.local_quotas.items():
            allowance = quota.window.allowance
            share = quota.share_size * allowance / FULL_SHARE if quota.has_share(now) else 0.0
            views[label] = QuotaView(quota.remaining, now - quota.remaining_known_at, allowance, share)
        return views

    def _leave(self, now: float) -> list[ClientOutput]:
        """Return the shares. Waiting and further requests are rejected unless an owner admits them."""
        self.leaving = True
        outputs: list[ClientOutput] = [*self.links.leave(now, self.local_quotas.values())]
        for local_quota in self.local_quotas.values():
            local_quota.give_up_share()
        return outputs

    # Requests.

    def _request_charge(self, now: float, request: ChargeRequest) -> list[ClientOutput]:
        """Charge a request at the owner of its shard; without a limit or an owner, decide immediately."""
        local_quota = self.local_quotas.get(request.tenant)
        if local_quota is None:
            return [ChargeDecision(request.attempt_id, admitted=True)]
        previous = self.charges.get_recent(request.attempt_id)
        if previous is not None and previous.state is ChargeState.WAITING:
            previous.requests += 1
            return []
        if now < local_quota.exhausted_until:
            return [self._reject_locally(now, request, local_quota)]
        link = self.links.link_of_shard[shard_of(local_quota.number)]
        charge = PendingCharge(local_quota, link, now, request.timeout_s, request.precedence)
        self.charges.add(now, request.attempt_id, charge)
        if link is None:
            return self._decide_by_share(now, request.attempt_id, charge, NO_OWNER)
        if link.is_unresponsive or self.leaving or not self.charges.has_room():
            return self._decide_by_share(now, request.attempt_id, charge, UNRESPONSIVE_OWNER)
        self.charges.waiting += 1
        heappush(self.timers, (now + request.timeout_s / FIRST_RETRY_DIVISOR, request.attempt_id))
        return [self._charge_message(now, request.attempt_id, charge, link)]

    def _reject_locally(self, now: float, request: ChargeRequest, local_quota: LocalQuota) -> ChargeDecision:
        """Reject a request without a charge: the owner reported that nothing is left in the window."""
        local_quota.record_local_rejection(request.precedence)
        self.statistics.count(DecisionKind.REJECTED_LOCALLY, request.tenant, request.precedence, 0.0)
        retry_after_s = max(MIN_RETRY_AFTER_S, local_quota.window_ends_at - now)
        return ChargeDecision(request.attempt_id, False, retry_after_s, OVER_ALLOWANCE)

    def _charge_message(self, now: float, attempt_id: int, pending: PendingCharge, link: OwnerLink) -> Send:
        """Build the message that charges the request at the owner."""
        local_quota = pending.local_quota
        charge = Charge(id=attempt_id, tenant=local_quota.number, incarnation=self.incarnation)
        if pending.precedence:
            charge.precedence = pending.precedence
        if local_quota.share_owner == link.address:
            charge.share_number = local_quota.share_number
        elif local_quota.share_charged_at:
            charge.had_other_share = True
        if local_quota.spent:
            charge.spent = local_quota.spent
        if local_quota.unreported_rejections:
            level = min(pending.precedence, LOWEST_PRECEDENCE)
            charge.refused_locally = local_quota.unreported_rejections.pop(level, 0)
            if now >= local_quota.window_ends_at:
                charge.refused_earlier = charge.refused_locally
        link.last_sent_at = now
        return Send(link.address, Message(charge=charge))

    def _admit(
        self, now: float, attempt_id: int, charge: PendingCharge, state: ChargeState, kind: DecisionKind
    ) -> list[ClientOutput]:
        """Admit a charge, by the owner or by the share; returns a decision for each waiting request."""
        charge.state = state
        self._count(now, charge, kind)
        return [ChargeDecision(attempt_id, admitted=True)] * charge.requests

    def _reject(
        self,
        now: float,
        attempt_id: int,
        charge: PendingCharge,
        kind: DecisionKind,
        wait_s: float,
        reason: str,
    ) -> list[ClientOutput]:
        """Reject a charge; returns a decision for each waiting request."""
        charge.state = ChargeState.REJECTED
        self._count(now, charge, kind)
        retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
        return [ChargeDecision(attempt_id, False, retry_after_s, reason)] * charge.requests

    def _count(self, now: float, charge: PendingCharge, kind: DecisionKind) -> None:
        for _ in range(charge.requests):
            self.statistics.count(kind, charge.local_quota.label, charge.precedence, now - charge.sent_at)

    def _decide_by_share(
        self, now: float, attempt_id: int, charge: PendingCharge, reason: str
    ) -> list[ClientOutput]:
        """Decide by the local share; `reason` explains why the owner didn't decide."""
        wait_s = charge.local_quota.try_spend(now)
        return self._decide_by_spent(now, attempt_id, charge, wait_s, reason)

    def _decide_by_spent(
        self, now: float, attempt_id: int, charge: PendingCharge, wait_s: float, reason: str
    ) -> list[ClientOutput]:
        """Decide by the result of `LocalQuota.try_spend`: 0 admits, otherwise it is the time to wait."""
        if not wait_s:
            kind = DecisionKind.ADMITTED_BY_SHARE
            return self._admit(now, attempt_id, charge, ChargeState.ADMITTED_BY_SHARE, kind)
        share = "share spent" if charge.local_quota.has_share(now) else "no share"
        kind = DecisionKind.SHARE_EXHAUSTED
        return self._reject(now, attempt_id, charge, kind, wait_s, f"{reason}, {share}")

    def _refund(self, attempt_id: int) -> list[ClientOutput]:
        """Refund the unit of a request that was admitted but has not run."""
        charge = self.charges.get(attempt_id)
        if charge is None:
            return []
        former = charge.state
        if former not in (ChargeState.ADMITTED_BY_OWNER, ChargeState.ADMITTED_BY_SHARE):
            return []
        charge.state = ChargeState.REJECTED
        self.statistics.refunded += 1
        if former is ChargeState.ADMITTED_BY_SHARE:
            charge.local_quota.undo_spend()
            return []
        return _refund_messages(attempt_id, charge)

    # Messages.

    def _receive(self, now: float, sender: Address, message: Message) -> list[ClientOutput]:
        """Handle a message from a shard owner."""
        link = self.links.links.get(sender)
        if link is not None:
            link.on_reply(now)
        match message.WhichOneof("kind"):
            case "verdict":
                return self._on_verdict(now, sender, link, message.verdict)
            case "client_heartbeat_reply" if link is not None:
                self.links.on_heartbeat_reply(now, link, message.client_heartbeat_reply)
        return []

    def _on_verdict(
        self, now: float, sender: Address, link: OwnerLink | None, verdict: Verdict
    ) -> list[ClientOutput]:
        """Decide a request by the owner's verdict."""
        charge = self.charges.get(verdict.id)
        if charge is None:
            return []
        if verdict.code <= VerdictCode.REJECTED and not self.leaving:  # a leaving client accepts no shares
            charge.local_quota.on_verdict(now, sender, charge.sent_at, verdict)
        elif verdict.code == VerdictCode.NOT_OPEN:
            if link is not None:
                link.shares_reported = False
            charge.local_quota.share_owner = None
        if charge.state is not ChargeState.WAITING:
            return self._correct(verdict, charge)
        self.charges.waiting -= 1
        if verdict.code == VerdictCode.ADMITTED:
            kind = DecisionKind.ADMITTED_BY_OWNER
            return self._admit(now, verdict.id, charge, ChargeState.ADMITTED_BY_OWNER, kind)
        if verdict.code == VerdictCode.REJECTED:
            kind = DecisionKind.REJECTED_BY_OWNER
            wait_s = verdict.window_ends_in_ms / 1000
            return self._reject(now, verdict.id, charge, kind, wait_s, OVER_ALLOWANCE)
        return self._decide_by_share(now, verdict.id, charge, COUNT_NOT_OPEN)

    def _correct(self, verdict: Verdict, charge: PendingCharge) -> list[ClientOutput]:
        """Correct the counts after an admission that arrived too late.

        If the request was rejected, the unit is refunded at the owner. If the share admitted it, the unit is
        returned to the share.
        """
        if verdict.code != VerdictCode.ADMITTED:
            return []
        if charge.state is ChargeState.REJECTED:
            self.statistics.refunded += 1
            return _refund_messages(verdict.id, charge)
        if charge.state is ChargeState.ADMITTED_BY_SHARE:
            charge.state = ChargeState.ADMITTED_BY_OWNER
            charge.local_quota.undo_spend()
        return []

    # Time.

    def _tick(self, now: float) -> list[ClientOutput]:
        """Repeat charges, decide charges that have timed out, and send heartbeats."""
        outputs: list[ClientOutput] = []
        while self.timers and self.timers[0][0] <= now:
            attempt_id = heappop(self.timers)[1]
            charge = self.charges.get(attempt_id)
            if charge is not None and charge.state is ChargeState.WAITING:
                outputs += self._on_charge_timeout(now, attempt_id, charge)
        if now >= self.links.next_check_at and self.leaving:
            outputs += self.links.retry_leave(now)
        elif now >= self.links.next_check_at:
            outputs += self.links.tick(now, self.local_quotas.values())
        return outputs

    def _on_charge_timeout(self, now: float, attempt_id: int, charge: PendingCharge) -> list[ClientOutput]:
        """Handle a missing verdict: repeat the charge, then decide by the share.

        If the share is exhausted, the charge is repeated once more, with the same timeout again.
        """
        charge.attempts += 1
        link = charge.link
        may_retry = link is not None and not link.is_unresponsive and not self.leaving
        if charge.attempts == FIRST_RETRY and link is not None and may_retry:
            heappush(self.timers, (charge.sent_at + charge.timeout_s, attempt_id))
            return [self._charge_message(now, attempt_id, charge, link)]
        if link is not None:
            link.on_no_reply(charge.sent_at)
        wait_s = charge.local_quota.try_spend(now)
        if wait_s and charge.attempts == LAST_RETRY and link is not None and may_retry:
            heappush(self.timers, (charge.sent_at + 2 * charge.timeout_s, attempt_id))
            return [self._charge_message(now, attempt_id, charge, link)]
        self.charges.waiting -= 1
        return self._decide_by_spent(now, attempt_id, charge, wait_s, NO_VERDICT)

    # Configuration.

    def _set_allowances(self, event: Allowances) -> None:
        """Apply the tenants' new allowances; shares remain the same fraction of them."""
        local_quotas = {}
        for label, (rate, burst) in event.tenants.items():
            window = plan(rate, burst, self.span_s)
            if window is None:
                continue
            local_quota = self.local_quotas.get(label)
            if local_quota is None:
                local_quota = LocalQuota(label, tenant_number(label), window, 1 - self.rng.random())
            local_quota.window = window
            local_quota.exhausted_until = 0.0
            local_quotas[label] = local_quota
        self.local_quotas = local_quotas


def _refund_messages(attempt_id: int, charge: PendingCharge) -> list[ClientOutput]:
    """Build the message that refunds a unit at the owner, if there is an owner."""
    if charge.link is None:
        return []
    refund = ChargeRefund(id=attempt_id, tenant=charge.local_quota.number)
    return [Send(charge.link.address, Message(refund=refund))]
