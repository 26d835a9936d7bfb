"""The quota client at a proxy: charges requests at shard owners, and admits by its shares without them."""

from __future__ import annotations

import random
from heapq import heappop, heappush

from gateway.quota.decision_statistics import (
    HOLDER,
    OVER,
    REFUSED_LOCALLY,
    SHARE,
    SHARE_EXHAUSTED,
    DecisionStatistics,
)
from gateway.quota.interface import (
    FULL_SHARE,
    LOWEST_PRECEDENCE,
    OVER_ALLOWANCE,
    SHARDS,
    Allowances,
    ChargeDecision,
    ChargeRequest,
    Code,
    Leave,
    Received,
    Refund,
    ShardMap,
    Tick,
)
from gateway.quota.local_quota import LocalQuota
from gateway.quota.owner_links import OwnerLink, OwnerLinks
from gateway.quota.quota_pb2 import Charge, ChargeRefund, Message, Verdict
from gateway.quota.window import plan, tenant_number
from gateway.state_machine import Address, Send

MAX_PENDING_CHARGES = 8192  # charges waiting for a verdict at once
MAX_REMEMBERED_CHARGES = 32768  # charges in one generation
REMEMBER_ANSWERED_S = 4.0  # a decided charge is remembered at least this long
# bounds of the wait in a refusal
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 2.0

Output = Send | ChargeDecision
Input = ChargeRequest | Received | Tick | Refund | ShardMap | Allowances | Leave

WAITING, COUNTED, SHARED, REFUSED = range(4)  # COUNTED: admitted by the owner; SHARED: by the local share


class PendingCharge:
    """A charge that waits for a verdict, or was decided lately."""

    __slots__ = ("ask_count", "link", "patience", "precedence", "local_quota", "sent", "state", "tries")

    def __init__(
        self, local_quota: LocalQuota, link: OwnerLink | None, now: float, patience: float, precedence: int
    ) -> None:
        self.local_quota = local_quota
        self.link = link
        self.sent = now
        self.patience = patience
        self.precedence = precedence
        self.ask_count = 1
        self.tries = 1
        self.state = WAITING


class QuotaClient:
    """State machine that charges a proxy's requests to their tenants' allowances. Needs a `Tick` at `due()`.

    `span_s` is the window of the quota rule (quota-window-s); `rng` draws the incarnation and the thresholds
    of the shares.
    """

    def __init__(self, span_s: float, rng: random.Random) -> None:
        self.span_s = span_s
        self.rng = rng
        self.incarnation = rng.randrange(1, 1 << 32)
        self.local_quotas: dict[str, LocalQuota] = {}
        self.links = OwnerLinks(self.incarnation)
        self.statistics = DecisionStatistics()
        self.pending: dict[int, PendingCharge] = {}  # waiting or decided lately; next, the generation before
        self.previous_pending: dict[int, PendingCharge] = {}
        self.rotate_at = 0.0
        self.waiting = 0
        self.leaving = False  # its shares are returned, and it takes no others
        self.timers: list[tuple[float, int]] = []

    def handle(self, now: float, input: Input) -> list[Output]:
        """Process one input at steady time `now` (seconds); returns messages to send and decisions."""
        if type(input) is ChargeRequest:
            return self.ask(now, input)
        if type(input) is Received:
            return self.receive(now, input)
        if type(input) is Tick:
            return self.tick(now)
        if type(input) is Refund:
            return self.refund(input.id)
        if type(input) is ShardMap:
            self.links.follow(now, input.data)
        elif type(input) is Allowances:
            self.set_allowances(input)
        elif type(input) is Leave and not self.leaving:
            return self.leave(now)
        return []

    @property
    def has_left(self) -> bool:
        """Whether each owner knows that this quota client leaves, or has been sent that often enough."""
        return self.leaving and not self.links.leaving

    def leave(self, now: float) -> list[Output]:
        """Return the shares. Requests that still wait or come are refused, unless an owner admits them."""
        self.leaving = True
        outputs: list[Output] = [*self.links.leave(now, self.local_quotas.values())]
        for local_quota in self.local_quotas.values():
            local_quota.give_up_share()
        return outputs

    def due(self) -> float:
        """The steady time at which the next `Tick` is needed."""
        due = self.links.due
        return min(self.timers[0][0], due) if self.timers else due

    def view(self, now: float) -> dict[str, tuple[int, float, float, float]]:
        """By tenant: units remaining by the newest verdict, the verdict's age in seconds, the allowance and
        the own share in units a window.
        """
        out = {}
        for label, p in self.local_quotas.items():
            share = p.share * p.window.allowance / FULL_SHARE if p.live(now) else 0.0
            out[label] = (p.remaining, now - p.remaining_at, p.window.allowance, share)
        return out

    # Requests

    def ask(self, now: float, ask: ChargeRequest) -> list[Output]:
        """Charge a request at its shard's owner, or decide at once if it has no limit or no owner answers."""
        local_quota = self.local_quotas.get(ask.tenant)
        if local_quota is None:
            return [ChargeDecision(ask.id, "go", 0.0)]
        known = self.pending.get(ask.id)
        if known is not None and known.state == WAITING:
            known.ask_count += 1
            return []
        if now < local_quota.exhausted_until:
            local_quota.refuse(ask.precedence)
            self.statistics.count(REFUSED_LOCALLY, ask.tenant, ask.precedence, 0.0)
            return [
                ChargeDecision(ask.id, "over", max(MIN_RETRY_AFTER_S, local_quota.ends - now), OVER_ALLOWANCE)
            ]
        if now >= self.rotate_at or len(self.pending) >= MAX_REMEMBERED_CHARGES:
            self.rotate(now)
        link = self.links.link_of_shard[local_quota.number % SHARDS]
        out = self.pending[ask.id] = PendingCharge(local_quota, link, now, ask.patience_s, ask.precedence)
        if link is None or link.silent or self.leaving or self.waiting >= MAX_PENDING_CHARGES:
            why = "no holder" if link is None else "silent holder"
            return self.by_share(now, ask.id, out, why)
        self.waiting += 1
        heappush(self.timers, (now + ask.patience_s / 3, ask.id))
        return [self.charge(now, ask.id, out, link)]

    def charge(self, now: float, id: int, out: PendingCharge, link: OwnerLink) -> Send:
        """The message that charges the request at the owner."""
        local_quota = out.local_quota
        charge = Charge(id=id, tenant=local_quota.number, incarnation=self.incarnation)
        if out.precedence:
            charge.precedence = out.precedence
        if local_quota.share_owner == link.address:
            charge.share = local_quota.part
        elif local_quota.sent:
            charge.held = True
        if local_quota.spent:
            charge.spent = local_quota.spent
        if local_quota.refused:
            charge.refused_locally = local_quota.refused.pop(min(out.precedence, LOWEST_PRECEDENCE), 0)
            if now >= local_quota.ends:
                charge.late = charge.refused_locally
        link.sent = now
        return Send(link.address, Message(charge=charge))

    def decide(
        self,
        now: float,
        id: int,
        out: PendingCharge,
        state: int,
        wait: float = 0.0,
        decision: int = HOLDER,
        why: str = "",
    ) -> list[Output]:
        """Decide a charge; returns one decision for each `ChargeRequest` of this id."""
        out.state = state
        for _ in range(out.ask_count):
            self.statistics.count(decision, out.local_quota.label, out.precedence, now - out.sent)
        if state == REFUSED:
            charged = ChargeDecision(id, "over", min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait)), why)
        else:
            charged = ChargeDecision(id, "go", 0.0)
        return [charged] * out.ask_count

    def by_share(self, now: float, id: int, out: PendingCharge, why: str) -> list[Output]:
        """Decide by the local share; `why` says why the owner didn't decide."""
        return self.shared(now, id, out, out.local_quota.spend(now), why)

    def shared(self, now: float, id: int, out: PendingCharge, wait: float, why: str) -> list[Output]:
        """The same, once `LocalQuota.spend` has returned `wait`: 0 if it admits, else seconds to wait."""
        if not wait:
            return self.decide(now, id, out, SHARED, decision=SHARE)
        share = "share spent" if out.local_quota.live(now) else "no share"
        return self.decide(now, id, out, REFUSED, wait, SHARE_EXHAUSTED, f"{why}, {share}")

    def refund(self, id: int) -> list[Output]:
        """Refund the unit of a request that was admitted and has not run."""
        out = self.pending.get(id) or self.previous_pending.get(id)
        if out is None or out.state not in (COUNTED, SHARED):
            return []
        shared = out.state == SHARED
        out.state = REFUSED
        self.statistics.back += 1
        if shared:
            out.local_quota.undo_spend()
            return []
        return self.give_back(id, out)

    def give_back(self, id: int, out: PendingCharge) -> list[Output]:
        """The message that refunds a unit at the owner."""
        return (
            [Send(out.link.address, Message(back=ChargeRefund(id=id, tenant=out.local_quota.number)))]
            if out.link
            else []
        )

    # Messages

    def receive(self, now: float, received: Received) -> list[Output]:
        """Process a message of a shard owner."""
        link = self.links.links.get(received.frm)
        kind = received.note.WhichOneof("kind")
        if link is not None:
            link.heard = now
            link.misses = 0
        if kind == "verdict":
            return self.on_verdict(now, received.frm, link, received.note.verdict)
        if kind == "heard" and link is not None:
            self.links.on_heartbeat_reply(now, link, received.note.heard)
        return []

    def on_verdict(self, now: float, frm: Address, link: OwnerLink | None, verdict: Verdict) -> list[Output]:
        """Decide the request. If it was decided before, a late admission is corrected: the unit is refunded
        at the owner if the request was refused, and returned to the share if the share admitted it.
        """
        id = verdict.id
        code = verdict.code
        out = self.pending.get(id) or self.previous_pending.get(id)
        if out is None:
            return []
        if code <= Code.OVER and not self.leaving:  # once it leaves, it takes no shares
            out.local_quota.note(now, frm, out.sent, verdict)
        elif code == Code.NOT_YET:
            if link is not None:
                link.told = False
            out.local_quota.share_owner = None
        if out.state == WAITING:
            self.waiting -= 1
            if code == Code.ADMITTED:
                return self.decide(now, id, out, COUNTED)
            if code == Code.OVER:
                return self.decide(now, id, out, REFUSED, verdict.wait_ms / 1000, OVER, OVER_ALLOWANCE)
            return self.by_share(now, id, out, "count not open")
        if code == Code.ADMITTED:
            if out.state == REFUSED:
                self.statistics.back += 1
                return self.give_back(id, out)
            if out.state == SHARED:
                out.state = COUNTED
                out.local_quota.undo_spend()
        return []

    # Time

    def tick(self, now: float) -> list[Output]:
        """Repeat charges, decide those that waited long enough, and send heartbeats."""
        outputs: list[Output] = []
        timers = self.timers
        while timers and timers[0][0] <= now:
            id = heappop(timers)[1]
            out = self.pending.get(id) or self.previous_pending.get(id)
            if out is not None and out.state == WAITING:
                outputs += self.late(now, id, out)
        if now >= self.links.due and self.leaving:
            outputs += self.links.repeat_leaving(now)
        elif now >= self.links.due:
            outputs += self.links.tick(now, self.local_quotas.values())
        return outputs

    def late(self, now: float, id: int, out: PendingCharge) -> list[Output]:
        """No verdict yet: repeat the charge, then decide by the share; if that is exhausted, repeat once more
        and wait as long again.
        """
        out.tries += 1
        link = out.link
        silent = link is None or link.silent or self.leaving
        if out.tries == 2 and link is not None and not silent:
            heappush(self.timers, (out.sent + out.patience, id))
            return [self.charge(now, id, out, link)]
        if link is not None:
            link.missed(out.sent)
        wait = out.local_quota.spend(now)
        if wait and out.tries == 3 and link is not None and not silent:
            heappush(self.timers, (out.sent + 2 * out.patience, id))
            return [self.charge(now, id, out, link)]
        self.waiting -= 1
        return self.shared(now, id, out, wait, "no verdict")

    def rotate(self, now: float) -> None:
        """Start a new generation of charges, which drops those decided long ago."""
        waiting = {id: out for id, out in self.previous_pending.items() if out.state == WAITING}
        self.previous_pending = self.pending
        self.pending = waiting
        self.rotate_at = now + REMEMBER_ANSWERED_S

    # Configuration

    def set_allowances(self, input: Allowances) -> None:
        """Adopt the tenants' new allowances; shares stay the same part of them."""
        local_quotas = {}
        for label, (rate, burst) in input.tenants.items():
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
