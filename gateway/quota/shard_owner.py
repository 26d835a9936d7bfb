"""The holder of counts at a controller: charges, refuses, leases shares, and keeps its own lease going."""

from __future__ import annotations

import random
from collections.abc import Callable

from gateway.quota.interface import (
    LEASE_RENEW_S,
    LEASE_S,
    MARGIN_S,
    SHARDS,
    SHARE_S,
    SILENT_S,
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
    ClientHeartbeatReply,
    LeaseGrant,
    LeaseRequest,
    Message,
    Verdict,
)
from gateway.quota.tenant_counter import TenantCounter
from gateway.quota.view_audit import ViewAudit
from gateway.quota.window import Window, plan, tenant_number
from gateway.state_machine import Address, Send

MAX_CLIENTS = 1024  # that are remembered at most
CLIENT_CHECK_S = 0.1  # between looks for silent quota clients
LEASE_RETRY_S = 0.1  # to the next request for the lease when none has come

Output = Send
Input = Received | Tick | Allowances | SetLeader


class ClientState:
    """A quota client as its holder knows it."""

    __slots__ = ("heard", "incarnation", "shares_until", "told")

    def __init__(self, now: float, incarnation: int) -> None:
        self.heard, self.incarnation = now, incarnation
        self.shares_until = 0.0  # when its last share here is over
        self.told = 0  # parts held here of which it has told its shares


class ShardOwner:
    """Counts the tenants of the parts that it holds under a lease. Wants a `Tick` each 0.1 s.

    `span_s` is the span of the rule (quota-window-s); `rng` draws the life's number.
    """

    def __init__(self, span_s: float, rng: random.Random) -> None:
        self.span_s, self.incarnation = span_s, rng.randrange(1, 1 << 32)
        self.leader: Address | None = None
        self.shards, self.until = 0, 0.0  # held, and until when
        self.since = [0.0] * SHARDS  # when each part's lease began, or nobody has counted since
        self.lease_began = [0.0] * SHARDS  # when its lease began
        self.ever_held = 0  # parts held at any time
        self.fencing_token, self.asked_at, self.answered = (0, 0), -LEASE_RENEW_S, True
        self.windows: dict[int, tuple[str, Window]] = {}  # by the tenant's number
        self.counts: dict[int, TenantCounter] = {}
        self.clients: dict[Address, ClientState] = {}
        self.peers, self.peers_at = 0, 0.0  # quota clients that there were of late, and when that was told
        self.silent: dict[Address, float] = {}  # quota clients, and when they were last heard
        self.epoch, self.checked_at = 0, 0.0  # changes whenever what must be kept back may have
        self.seed = rng.randrange(1 << 14)
        self.view_audit = ViewAudit()
        self.handlers: dict[str, Callable[[float, Address, Message], list[Output]]] = {
            "charge": self.on_charge,
            "back": self.on_refund,
            "client_heartbeat": self.on_client_heartbeat,
            "hold": self.on_lease_grant,
        }

    def handle(self, now: float, input: Input) -> list[Output]:
        """Take one input at a steady time in seconds; what to send."""
        if type(input) is Received:
            kind = input.note.WhichOneof("kind")
            take = self.handlers.get(kind) if kind is not None else None
            return take(now, input.frm, input.note) if take is not None else []
        if type(input) is Tick:
            return self.tick(now)
        if type(input) is Allowances:
            self.set_allowances(now, input)
        elif type(input) is SetLeader and input.address != self.leader:
            self.leader, self.asked_at = input.address, now - LEASE_RENEW_S
            return self.tick(now)
        return []

    def view(self, now: float) -> dict[str, tuple[float, float, float]]:
        """For each open count, by label: units remaining in the window, its allowance, units kept back at the
        last charge. Nothing changes by it, and windows begin with a charge: the next one's is still whole."""
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
        """Charge a unit and answer with a verdict."""
        charge = note.charge
        client = self.hear(now, frm, charge.incarnation)
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
            verdict.code, count = Code.NOT_YET, None
        if client is None:
            verdict.code = Code.NOT_MINE
        elif count is not None:
            self.fill_reply(now, frm, charge, count, verdict)
            client.shares_until = now + SHARE_S + MARGIN_S
        return [Send(frm, Message(verdict=verdict))]

    def fill_reply(
        self, now: float, frm: Address, charge: Charge, count: TenantCounter, verdict: Verdict
    ) -> None:
        """Fill in a verdict by an open count."""
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
        if count.lease(now, frm, share, charge.share):
            verdict.share, verdict.part = share.number, share.part

    def count(self, now: float, number: int, verdict: Verdict | None) -> TenantCounter | None:
        """A tenant's count, begun if its part is held; else the verdict's code says why there is none."""
        self.expire_lease(now)
        part, known = number % SHARDS, self.windows.get(number)
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
        """Bring a count's window, and what it keeps back, up to now."""
        if now >= count.ends:
            count.begin_window(now)
        if count.epoch != self.epoch:
            count.reserve(self.silent, self.unknown(now, number % SHARDS))
            count.epoch = self.epoch

    def unknown(self, now: float, part: int) -> bool:
        """Whether some quota client may have a share of an earlier holder and has not told."""
        if now >= self.since[part] + SHARE_S + MARGIN_S:
            return False
        told = sum(c.told >> part & 1 for c in self.clients.values())
        return told < max(self.peers, len(self.clients))

    def on_refund(self, now: float, frm: Address, note: Message) -> list[Output]:
        """Give a unit back."""
        back: ChargeRefund = note.back
        count = self.counts.get(back.tenant)
        if count is not None and now < self.until:
            self.refresh(now, back.tenant, count)
            count.back(back.id)
            self.view_audit.back += 1
        return []

    # Quota clients

    def hear(
        self, now: float, frm: Address, incarnation: int, hears_nothing: bool = False
    ) -> ClientState | None:
        """Something came from a quota client; None if there are too many of them."""
        client = self.clients.get(frm)
        if client is None:
            if len(self.clients) >= MAX_CLIENTS:
                return None
            client = self.clients[frm] = ClientState(now, incarnation)
        elif client.incarnation != incarnation:
            client.incarnation, client.told, client.shares_until = incarnation, 0, 0.0
            for count in self.counts.values():
                count.forget(frm)
        client.heard = now
        if hears_nothing != (frm in self.silent):  # one that doesn't hear us goes by its shares
            if hears_nothing:
                self.silent[frm] = now
            else:
                del self.silent[frm]
            self.epoch += 1
        return client

    def on_client_heartbeat(self, now: float, frm: Address, note: Message) -> list[Output]:
        """A quota client is there; take the shares that it tells."""
        client_heartbeat: ClientHeartbeat = note.client_heartbeat
        client = self.hear(now, frm, client_heartbeat.incarnation, client_heartbeat.hears_nothing)
        if client is None:
            return []
        self.expire_lease(now)
        self.view_audit.hear(now, frm, client_heartbeat.views)
        for told in client_heartbeat.shares:
            count = self.count(now, told.tenant, None)
            if count is not None and client_heartbeat.shards >> (told.tenant % SHARDS) & 1:
                count.told(
                    now, frm, told.part, told.left_ms / 1000, told.spent, now + told.accrues_in_ms / 1000
                )
                client.shares_until = now + SHARE_S + MARGIN_S
        if client_heartbeat.peers >= self.peers or now >= self.peers_at + SHARE_S:
            self.peers, self.peers_at = client_heartbeat.peers, now
        news = client_heartbeat.shards & self.shards & ~client.told
        if news:
            client.told |= news
            self.epoch += 1
        heard = ClientHeartbeatReply(
            number=client_heartbeat.number, peers=len(self.clients), missing=self.shards & ~client.told
        )
        return [Send(frm, Message(heard=heard))]

    def check_clients(self, now: float) -> None:
        """Find quota clients that have gone silent, and forget those silent for longer than any share lasts."""
        self.checked_at = now
        for frm, client in list(self.clients.items()):
            if client.heard + SILENT_S <= now < client.shares_until and frm not in self.silent:
                self.silent[frm] = client.heard
                self.epoch += 1
            if now >= client.heard + SHARE_S + MARGIN_S:
                del self.clients[frm]
                self.silent.pop(frm, None)

    # The lease

    def tick(self, now: float) -> list[Output]:
        """Look at leases and quota clients; ask for the lease when it is time."""
        self.expire_lease(now)
        if now >= self.checked_at + CLIENT_CHECK_S:
            self.check_clients(now)
        if self.leader is None or now < self.asked_at + (LEASE_RENEW_S if self.answered else LEASE_RETRY_S):
            return []
        self.asked_at, self.answered = now, False
        request = LeaseRequest(
            incarnation=self.incarnation,
            at=now,
            term=self.fencing_token[0],
            number=self.fencing_token[1],
            shards=self.shards,
        )
        return [Send(self.leader, Message(request=request))]

    def expire_lease(self, now: float) -> None:
        """Give up everything once the lease is over."""
        if self.shards and now >= self.until:
            self.hold(now, 0)

    def on_lease_grant(self, now: float, frm: Address, note: Message) -> list[Output]:
        """A lease from the leader, unless a newer one came before."""
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
        self.fencing_token, self.until, self.answered = (
            fencing_token,
            max(self.until, hold.at + LEASE_S),
            True,
        )
        self.hold(now, hold.shards, hold.idle, hold.idle_ms / 1000)
        return []

    def hold(self, now: float, shards: int, idle: int = 0, idle_s: float = 0.0) -> None:
        """Hold these parts from now on: counts of others end, those of new ones are begun.

        Of the parts `idle` nobody but this holder has counted for `idle_s`, as the leader knew.
        """
        lost, new = self.shards & ~shards, shards & ~self.shards
        self.shards = shards
        if not lost and not new:
            return
        self.epoch += 1
        self.view_audit.moved(lost, new)
        for part in range(SHARDS):
            if new >> part & 1:
                self.lease_began[part] = now
                self.since[part] = now - idle_s if idle & ~self.ever_held & 1 << part else now
        self.ever_held |= shards
        self.counts = {n: c for n, c in self.counts.items() if not lost >> (n % SHARDS) & 1}
        for client in self.clients.values():
            client.told &= ~(lost | new)

    # Configuration

    def set_allowances(self, now: float, input: Allowances) -> None:
        """Take over the tenants' allowances."""
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
