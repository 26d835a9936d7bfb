"""The shard owner at a controller: counts charges, grants shares, and renews its own lease."""

from __future__ import annotations

import random
from collections.abc import Callable

from gateway.quota.client_registry import ClientRegistry, ClientState
from gateway.quota.interface import (
    LEASE_RENEW_S,
    LEASE_S,
    MARGIN_S,
    SHARDS,
    SHARE_S,
    Allowances,
    Code,
    Received,
    SetLeader,
    Tick,
)
from gateway.quota.quota_pb2 import (
    Charge,
    ChargeRefund,
    ClientHeartbeat,
    LeaseGrant,
    LeaseRequest,
    Message,
    Verdict,
)
from gateway.quota.tenant_counter import TenantCounter
from gateway.quota.view_audit import ViewAudit
from gateway.quota.window import Window, plan, tenant_number
from gateway.state_machine import Address, Send

LEASE_RETRY_S = 0.1  # to the next request for the lease when no grant has come

Output = Send
Input = Received | Tick | Allowances | SetLeader


class ShardOwner:
    """State machine that counts the tenants of the shards it owns under a lease. Needs a `Tick` each 0.1 s.

    `span_s` is the window of the quota rule (quota-window-s); `rng` draws the incarnation.
    """

    def __init__(self, span_s: float, rng: random.Random) -> None:
        self.span_s = span_s
        self.incarnation = rng.randrange(1, 1 << 32)
        self.leader: Address | None = None
        # owned, and until when
        self.shards = 0
        self.until = 0.0
        self.since = [0.0] * SHARDS  # when each shard's lease began, or since when nobody else counted it
        self.lease_began = [0.0] * SHARDS  # by shard: when its lease began
        self.ever_held = 0  # shards owned at any time
        self.fencing_token = (0, 0)
        self.asked_at = -LEASE_RENEW_S
        self.answered = True
        self.windows: dict[int, tuple[str, Window]] = {}  # by the tenant's number
        self.counts: dict[int, TenantCounter] = {}
        self.registry = ClientRegistry(self.forget_client)
        self.seed = rng.randrange(1 << 14)
        self.view_audit = ViewAudit()
        self.handlers: dict[str, Callable[[float, Address, Message], list[Output]]] = {
            "charge": self.on_charge,
            "back": self.on_refund,
            "client_heartbeat": self.on_client_heartbeat,
            "hold": self.on_lease_grant,
        }

    def handle(self, now: float, input: Input) -> list[Output]:
        """Process one input at steady time `now` (seconds); returns the messages to send."""
        if type(input) is Received:
            kind = input.note.WhichOneof("kind")
            take = self.handlers.get(kind) if kind is not None else None
            return take(now, input.frm, input.note) if take is not None else []
        if type(input) is Tick:
            return self.tick(now)
        if type(input) is Allowances:
            self.set_allowances(now, input)
        elif type(input) is SetLeader and input.address != self.leader:
            self.leader = input.address
            self.asked_at = now - LEASE_RENEW_S
            return self.tick(now)
        return []

    def view(self, now: float) -> dict[str, tuple[float, float, float]]:
        """For each open count, by label: units remaining in the window, its allowance, units reserved at the
        last charge. This changes no state: windows begin with a charge, and one not begun is still whole."""
        out: dict[str, tuple[float, float, float]] = {}
        for number, count in self.counts.items() if now < self.until else ():
            if now >= count.opens and number in self.windows:
                label, window = self.windows[number]
                whole = max(0.0, window.allowance - count.reserved)
                remaining = whole if now >= count.ends else count.remaining(now)
                out[label] = (remaining, window.allowance, count.reserved)
        return out

    # Charges

    def on_charge(self, now: float, frm: Address, note: Message) -> list[Output]:
        """Charge one unit and answer with a verdict; a late charge of an earlier incarnation is dropped."""
        charge = note.charge
        if self.registry.has_ended(frm, charge.incarnation):
            return []
        client = self.registry.hear(now, frm, charge.incarnation)
        number = charge.tenant
        verdict = Verdict(id=charge.id)
        count = self.counts.get(number)
        if count is None or now >= self.until:
            count = self.count(now, number, verdict)
        if count is not None and now < count.late and (charge.held or charge.share):
            known = count.shares.get(frm)
            if charge.held or known is None or not known.number:
                count.note_earlier_share()
        if (
            count is not None
            and now < count.opens
            and not count.has_reported_shares
            and (count.early_limit(now) - count.admitted < 1)
        ):
            verdict.code = Code.NOT_YET
            count = None
        if client is None:
            verdict.code = Code.NOT_MINE
        elif count is not None:
            self.fill_reply(now, frm, charge, count, verdict, may_lease=client.left_at is None)
            client.extend_shares(now)
        return [Send(frm, Message(verdict=verdict))]

    def fill_reply(
        self,
        now: float,
        frm: Address,
        charge: Charge,
        count: TenantCounter,
        verdict: Verdict,
        may_lease: bool,
    ) -> None:
        """Charge an open count and fill in the verdict; a share goes with it only if `may_lease`."""
        self.refresh(now, charge.tenant, count)
        share = count.shares.get(frm) or count.known(frm, charge.spent)
        if charge.spent != share.spent:
            count.report(share, charge.spent)
        if not count.charge(now, share, charge.id, charge.precedence, charge.refused_locally, charge.late):
            verdict.code = Code.OVER
        verdict.remaining = int(count.remaining(now))
        self.view_audit.record_reply(now, charge.tenant, verdict.remaining)
        verdict.wait_ms = int((count.ends - now) * 1000) + 1
        if count.over_demand or count.asked > count.window.allowance:
            verdict.over_demand = True
        if may_lease and count.lease(now, frm, share, charge.share):
            verdict.share = share.number
            verdict.part = share.part

    def count(self, now: float, number: int, verdict: Verdict | None) -> TenantCounter | None:
        """A tenant's count, created if its shard is owned; otherwise None, with the reason in the verdict."""
        self.expire_lease(now)
        part = number % SHARDS
        known = self.windows.get(number)
        code = Code.NOT_MINE if not self.shards >> part & 1 else Code.UNKNOWN if known is None else 0
        if code or known is None:
            if verdict is not None:
                verdict.code = code
            return None
        count = self.counts.get(number)
        if count is None:
            self.seed += 1
            count = self.counts[number] = TenantCounter(
                now, known[1], self.since[part], self.seed * 97, self.lease_began[part]
            )
        return count

    def refresh(self, now: float, number: int, count: TenantCounter) -> None:
        """Bring a count's window and its reserved units up to date."""
        if now >= count.ends:
            count.begin_window(now)
        if count.epoch != self.registry.epoch:
            count.reserve(self.registry.silent, self.has_unreported_shares(now, number % SHARDS))
            count.epoch = self.registry.epoch

    def has_unreported_shares(self, now: float, part: int) -> bool:
        """Whether some quota client may have a share of an earlier owner that it has not reported."""
        return now < self.since[part] + SHARE_S + MARGIN_S and self.registry.has_unreported(
            now, part, self.since[part]
        )

    def on_refund(self, now: float, frm: Address, note: Message) -> list[Output]:
        """Refund one unit."""
        back: ChargeRefund = note.back
        count = self.counts.get(back.tenant)
        if count is not None and now < self.until:
            self.refresh(now, back.tenant, count)
            count.back(back.id)
            self.view_audit.back += 1
        return []

    # Quota clients

    def forget_client(self, address: Address) -> None:
        """A quota client has restarted: its shares have ended."""
        for count in self.counts.values():
            count.forget(address)

    def on_client_heartbeat(self, now: float, frm: Address, note: Message) -> list[Output]:
        """Process a quota client's heartbeat and answer it; late ones of another incarnation are dropped."""
        client_heartbeat: ClientHeartbeat = note.client_heartbeat
        incarnation = client_heartbeat.incarnation
        if self.registry.has_ended(frm, incarnation):
            return []
        if client_heartbeat.leaving and not self.registry.knows(frm, incarnation):
            return []  # another incarnation may be there by now
        client = self.registry.hear(now, frm, incarnation, client_heartbeat.hears_nothing)
        if client is None:
            return []
        self.expire_lease(now)
        if client.left_at is None:
            self.take_report(now, frm, client, client_heartbeat)
        heard = self.registry.reply(now, client_heartbeat.number, self.shards & ~client.told)
        return [Send(frm, Message(heard=heard))]

    def take_report(
        self, now: float, frm: Address, client: ClientState, client_heartbeat: ClientHeartbeat
    ) -> None:
        """Take a heartbeat's reports of shares, views and peers, and the returned shares if it leaves."""
        self.view_audit.hear(now, frm, client_heartbeat.views)
        for told in client_heartbeat.shares:
            if not told.part:
                continue
            count = self.count(now, told.tenant, None)
            if count is not None and client_heartbeat.shards >> (told.tenant % SHARDS) & 1:
                count.told(
                    now, frm, told.part, told.left_ms / 1000, told.spent, now + told.accrues_in_ms / 1000
                )
                client.extend_shares(now)
        self.registry.note_peers(now, client_heartbeat.peers, client_heartbeat.silent_ms)
        self.registry.note_reported(client, client_heartbeat.shards & self.shards)
        if client_heartbeat.leaving:
            self.take_back_shares(now, frm, client_heartbeat)
            self.registry.note_left(now, frm, client)

    def take_back_shares(self, now: float, frm: Address, client_heartbeat: ClientHeartbeat) -> None:
        """A quota client leaves: count what it admitted by its shares, and end these."""
        spent = {told.tenant: told.spent for told in client_heartbeat.shares}
        for number, count in self.counts.items():
            self.refresh(now, number, count)
            count.take_back(frm, spent.get(number, 0))

    # The lease

    def tick(self, now: float) -> list[Output]:
        """Check leases and quota clients for expiry; request the lease when it is time."""
        self.expire_lease(now)
        self.registry.expire(now)
        if self.leader is None or now < self.asked_at + (LEASE_RENEW_S if self.answered else LEASE_RETRY_S):
            return []
        self.asked_at = now
        self.answered = False
        request = LeaseRequest(
            incarnation=self.incarnation,
            at=now,
            term=self.fencing_token[0],
            number=self.fencing_token[1],
            shards=self.shards,
        )
        return [Send(self.leader, Message(request=request))]

    def expire_lease(self, now: float) -> None:
        """Give up all shards once the lease has expired."""
        if self.shards and now >= self.until:
            self.hold(now, 0)

    def on_lease_grant(self, now: float, frm: Address, note: Message) -> list[Output]:
        """Adopt a grant, unless it is superseded, expired, of another leader or for another incarnation."""
        hold: LeaseGrant = note.hold
        fencing_token = (hold.term, hold.number)
        if (
            hold.incarnation != self.incarnation
            or fencing_token <= self.fencing_token
            or frm != self.leader
            or now >= hold.at + LEASE_S
        ):
            return []
        self.expire_lease(now)
        self.fencing_token = fencing_token
        self.answered = True
        self.until = max(self.until, hold.at + LEASE_S)
        self.hold(now, hold.shards, hold.idle, hold.idle_ms / 1000)
        return []

    def hold(self, now: float, shards: int, idle: int = 0, idle_s: float = 0.0) -> None:
        """Own these shards from now on: the counts of others end, those of new shards start afresh.

        The shards `idle` have, by the leader's knowledge, been counted by nobody but this owner for `idle_s`.
        """
        lost = self.shards & ~shards
        new = shards & ~self.shards
        self.shards = shards
        if not lost and not new:
            return
        self.registry.forget_reports(lost | new)
        self.view_audit.moved(lost, new)
        for part in range(SHARDS):
            if new >> part & 1:
                self.lease_began[part] = now
                self.since[part] = now - idle_s if idle & ~self.ever_held & 1 << part else now
        self.ever_held |= shards
        self.counts = {n: c for n, c in self.counts.items() if not lost >> (n % SHARDS) & 1}

    # Configuration

    def set_allowances(self, now: float, input: Allowances) -> None:
        """Adopt the tenants' new allowances."""
        self.windows = {}
        for label, (rate, burst) in input.tenants.items():
            window = plan(rate, burst, self.span_s)
            if window is not None:
                self.windows[tenant_number(label)] = (label, window)
        for number, count in list(self.counts.items()):
            known = self.windows.get(number)
            if known is None:
                del self.counts[number]
            elif known[1] != count.window:
                count.resize(now, known[1])
