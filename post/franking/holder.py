"""The holder of counts at a postmaster: charges, refuses, leases shares, and keeps its own lease going."""

from __future__ import annotations

import random
from collections.abc import Callable

from post.franking.count import Count
from post.franking.franking_pb2 import Alive, Back, Charge, Heard, Hold, Note, Request, Verdict
from post.franking.interface import (
    ASK_S,
    LEASE_S,
    MARGIN_S,
    PARTS,
    SHARE_S,
    SILENT_S,
    Allowances,
    Code,
    Leader,
    Received,
    Tick,
)
from post.franking.peers import FRESH_S, MOST_SILENT, Peers
from post.franking.window import Window, plan, tenant_number
from post.franking.witness import Witness
from post.machine import Address, Send

CHARGERS = 1024  # that are remembered at most
LOOK_S = 0.1     # between looks for silent chargers
AGAIN_S = 0.1    # to the next request for the lease when none has come

Output = Send
Input = Received | Tick | Allowances | Leader


class Charger:
    """A charger as its holder knows it."""

    __slots__ = ("heard", "life", "shares_until", "told")

    def __init__(self, now: float, life: int) -> None:
        self.heard, self.life = now, life
        self.shares_until = 0.0  # when its last share here is over
        self.told = 0   # parts held here of which it has told its shares


class Holder:
    """Counts the tenants of the parts that it holds under a lease. Wants a `Tick` each 0.1 s.

    `span_s` is the span of the rule (quota-window-s); `rng` draws the life's number.
    """

    def __init__(self, span_s: float, rng: random.Random) -> None:
        self.span_s, self.life = span_s, rng.randrange(1, 1 << 32)
        self.leader: Address | None = None
        self.parts, self.until = 0, 0.0          # held, and until when
        self.since = [0.0] * PARTS               # when each part's lease began, or nobody has counted since
        self.real = [0.0] * PARTS                # when its lease began
        self.had = 0                             # parts held at any time
        self.fence, self.asked_at, self.answered = (0, 0), -ASK_S, True
        self.windows: dict[int, tuple[str, Window]] = {}  # by the tenant's number
        self.counts: dict[int, Count] = {}
        self.chargers: dict[Address, Charger] = {}
        self.peers = Peers()                     # chargers that may have shares, as these tell
        self.absent: list[float] = []            # when each charger was last heard that is silent
        self.silent: dict[Address, float] = {}   # chargers, and when they were last heard
        self.epoch, self.looked = 0, 0.0         # changes whenever what must be kept back may have
        self.seed = rng.randrange(1 << 14)
        self.witness = Witness()
        self.kinds: dict[str, Callable[[float, Address, Note], list[Output]]] = {
            "charge": self.on_charge, "back": self.on_back, "alive": self.on_alive, "hold": self.on_hold}

    def handle(self, now: float, input: Input) -> list[Output]:
        """Take one input at a steady time in seconds; what to send."""
        if type(input) is Received:
            kind = input.note.WhichOneof("kind")
            take = self.kinds.get(kind) if kind is not None else None
            return take(now, input.frm, input.note) if take is not None else []
        if type(input) is Tick:
            return self.tick(now)
        if type(input) is Allowances:
            self.allow(now, input)
        elif type(input) is Leader and input.address != self.leader:
            self.leader, self.asked_at = input.address, now - ASK_S
            return self.tick(now)
        return []

    def view(self, now: float) -> dict[str, tuple[float, float, float]]:
        """For each open count, by label: units remaining in the window, its allowance, units kept back at the
        last charge. Nothing changes by it, and windows begin with a charge: the next one's is still whole."""
        out: dict[str, tuple[float, float, float]] = {}
        for number, count in self.counts.items() if now < self.until else ():
            if now >= count.opens and number in self.windows:
                label, window = self.windows[number]
                whole = max(0.0, window.allowance - count.kept)
                remaining = whole if now >= count.ends else count.remaining(now)
                out[label] = (remaining, window.allowance, count.kept)
        return out

    # Charges

    def on_charge(self, now: float, frm: Address, note: Note) -> list[Output]:
        """Charge a unit and answer with a verdict."""
        charge = note.charge
        charger = self.hear(now, frm, charge.life)
        number = charge.tenant
        verdict = Verdict(id=charge.id)
        count = self.counts.get(number)
        if count is None or now >= self.until:
            count = self.count(now, number, verdict)
        if count is not None and now < count.late and (charge.held or charge.share):
            known = count.shares.get(frm)
            if charge.held or known is None or not known.number:
                count.shared_before()
        if count is not None and now < count.opens and not count.pooled and (
                count.pool(now) - count.admitted < 1):
            verdict.code, count = Code.NOT_YET, None
        if charger is None:
            verdict.code = Code.NOT_MINE
        elif count is not None:
            self.judge(now, frm, charge, count, verdict)
            charger.shares_until = now + SHARE_S + MARGIN_S
        return [Send(frm, Note(verdict=verdict))]

    def judge(self, now: float, frm: Address, charge: Charge, count: Count, verdict: Verdict) -> None:
        """Fill in a verdict by an open count."""
        self.fresh(now, charge.tenant, count)
        share = count.shares.get(frm) or count.known(frm, charge.spent)
        if charge.spent != share.spent:
            count.report(share, charge.spent)
        if not count.charge(now, share, charge.id, charge.precedence, charge.more, charge.late):
            verdict.code = Code.OVER
        verdict.remaining = int(count.remaining(now))
        self.witness.say(now, charge.tenant, verdict.remaining)
        verdict.wait_ms = int((count.ends - now) * 1000) + 1
        if count.pressed or count.asked > count.window.allowance:
            verdict.pressed = True
        if count.lease(now, frm, share, charge.share):
            verdict.share, verdict.part = share.number, share.part

    def count(self, now: float, number: int, verdict: Verdict | None) -> Count | None:
        """A tenant's count, begun if its part is held; else the verdict's code says why there is none."""
        self.lapse(now)
        part, known = number % PARTS, self.windows.get(number)
        code = Code.NOT_MINE if not self.parts >> part & 1 else Code.UNKNOWN if known is None else 0
        if code or known is None:
            if verdict is not None:
                verdict.code = code
            return None
        count = self.counts.get(number)
        if count is None:
            self.seed += 1
            count = self.counts[number] = Count(
                now, known[1], self.since[part], self.seed * 97, self.real[part])
        return count

    def fresh(self, now: float, number: int, count: Count) -> None:
        """Bring a count's window, and what it keeps back, up to now."""
        if now >= count.ends:
            count.roll(now)
        if count.epoch != self.epoch:
            count.keep(self.silent, self.unknown(now, number % PARTS))
            count.epoch = self.epoch

    def unknown(self, now: float, part: int) -> bool:
        """Whether some charger may have a share of an earlier holder and has not told."""
        if now >= self.since[part] + SHARE_S + MARGIN_S:
            return False
        told = sum(c.told >> part & 1 for c in self.chargers.values())
        return told < max(self.peers.count(now), len(self.chargers))

    def on_back(self, now: float, frm: Address, note: Note) -> list[Output]:
        """Give a unit back."""
        back: Back = note.back
        count = self.counts.get(back.tenant)
        if count is not None and now < self.until:
            self.fresh(now, back.tenant, count)
            count.back(back.id)
            self.witness.back += 1
        return []

    # Chargers

    def hear(self, now: float, frm: Address, life: int, deaf: bool = False) -> Charger | None:
        """Something came from a charger; None if there are too many of them."""
        charger = self.chargers.get(frm)
        if charger is None:
            if len(self.chargers) >= CHARGERS:
                return None
            charger = self.chargers[frm] = Charger(now, life)
        elif charger.life != life:
            charger.life, charger.told, charger.shares_until = life, 0, 0.0
            for count in self.counts.values():
                count.forget(frm)
        charger.heard = now
        if deaf != (frm in self.silent):  # one that doesn't hear us goes by its shares
            if deaf:
                self.silent[frm] = now
            else:
                del self.silent[frm]
            self.epoch += 1
        return charger

    def on_alive(self, now: float, frm: Address, note: Note) -> list[Output]:
        """A charger is there; take the shares that it tells."""
        alive: Alive = note.alive
        charger = self.hear(now, frm, alive.life, alive.deaf)
        if charger is None:
            return []
        self.lapse(now)
        self.witness.hear(now, frm, alive.views)
        for told in alive.shares:
            count = self.count(now, told.tenant, None)
            if count is not None and alive.parts >> (told.tenant % PARTS) & 1:
                count.told(now, frm, told.part, told.left_ms / 1000, told.spent, now + told.flows_ms / 1000)
                charger.shares_until = now + SHARE_S + MARGIN_S
        self.peers.learn(now, alive.peers, alive.silent_ms)
        news = alive.parts & self.parts & ~charger.told
        if news:
            charger.told |= news
            self.epoch += 1
        heard = Heard(number=alive.number, peers=len(self.chargers), missing=self.parts & ~charger.told)
        heard.silent_ms.extend(int(1000 * (now - at)) for at in self.absent)
        return [Send(frm, Note(heard=heard))]

    def look(self, now: float) -> None:
        """Find chargers that have gone silent, and forget those silent for longer than any share lasts."""
        self.looked = now
        for frm, charger in list(self.chargers.items()):
            if charger.heard + SILENT_S <= now < charger.shares_until and frm not in self.silent:
                self.silent[frm] = charger.heard
                self.epoch += 1
            if now >= charger.heard + SHARE_S + MARGIN_S:
                del self.chargers[frm]
                self.silent.pop(frm, None)
        absent = [c.heard for c in self.chargers.values() if now >= c.heard + FRESH_S]
        self.absent = sorted(absent)[:MOST_SILENT]

    # The lease

    def tick(self, now: float) -> list[Output]:
        """Look at leases and chargers; ask for the lease when it is time."""
        self.lapse(now)
        if now >= self.looked + LOOK_S:
            self.look(now)
        if self.leader is None or now < self.asked_at + (ASK_S if self.answered else AGAIN_S):
            return []
        self.asked_at, self.answered = now, False
        request = Request(life=self.life, at=now, term=self.fence[0], number=self.fence[1], parts=self.parts)
        return [Send(self.leader, Note(request=request))]

    def lapse(self, now: float) -> None:
        """Give up everything once the lease is over."""
        if self.parts and now >= self.until:
            self.hold(now, 0)

    def on_hold(self, now: float, frm: Address, note: Note) -> list[Output]:
        """A lease from the leader, unless a newer one came before."""
        hold: Hold = note.hold
        fence = (hold.term, hold.number)
        if hold.life != self.life or fence <= self.fence or frm != self.leader or now >= hold.at + LEASE_S:
            return []
        self.lapse(now)
        self.fence, self.until, self.answered = fence, max(self.until, hold.at + LEASE_S), True
        self.hold(now, hold.parts, hold.idle, hold.idle_ms / 1000)
        return []

    def hold(self, now: float, parts: int, idle: int = 0, idle_s: float = 0.0) -> None:
        """Hold these parts from now on: counts of others end, those of new ones are begun.

        Of the parts `idle` nobody but this holder has counted for `idle_s`, as the leader knew.
        """
        lost, new = self.parts & ~parts, parts & ~self.parts
        self.parts = parts
        if not lost and not new:
            return
        self.epoch += 1
        self.witness.moved(lost, new)
        for part in range(PARTS):
            if new >> part & 1:
                self.real[part] = now
                self.since[part] = now - idle_s if idle & ~self.had & 1 << part else now
        self.had |= parts
        self.counts = {n: c for n, c in self.counts.items() if not lost >> (n % PARTS) & 1}
        for charger in self.chargers.values():
            charger.told &= ~(lost | new)

    # Configuration

    def allow(self, now: float, input: Allowances) -> None:
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
