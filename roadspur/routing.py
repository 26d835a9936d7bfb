"""Choice of a backend, attempts and their learning, and the concurrency limit of one fleet of backends.

Admission is its user's: a request comes in through `send`, and `refuse` gives it its final answer.
"""

from __future__ import annotations

import bisect
import math
import random
from collections.abc import Iterable

from roadspur import interface as io
from roadspur.fleet import Backend, Fleet
from roadspur.flight import ActiveRequest

BAD_SHARE = 0.5  # error share at which a backend is ejected
SILENT_LATENCY_RATIO = (
    8.0  # usual latencies of owed answers after which a backend counts as silent, an attempt as hung
)
SWEEP_INTERVAL_S = 0.05  # between looks at silent backends and at what is held
SLOTS, FLOOR = 6.0, 2.0  # attempts out to a backend by all ingresses together, at first and at least
AIM_PART = 0.16  # of its aim that a class's unpressed latency is taken for at most
BACKOFF_STEP, BACKOFF_RATE = (
    0.01,
    0.3,
)  # of the slots that a pressed answer takes, at least; a second, at most at once
REJECTION_COST, REJECTION_MEMORY_S = (
    4.0,
    10.0,
)  # cost of a backend sure to turn a class or plan away; time by which such news ages
LATENCY_RATIO_CAP = 4.0  # times the unpressed latency, beyond which a longer answer says no more
OVERLOAD_LATENCY_RATIO = 1.8  # times the unpressed latency, where the concurrency limit shrinks
COLD_SAFETY = 0.5  # of the stated cold budget that is used, as the warm rate is only an estimate
COLD_QUEUE_LIMIT = (
    4.0  # requests of all ingresses at a cold backend, beyond which what it serves makes no room
)
COLD_BURST = 1.5  # attempts that may be saved up for a cold backend
UNTRIED_COST = 1.15  # cost of a backend that has not answered here yet, over what the others cost
TIE, RATE_S = 0.02, 5.0  # chance that breaks ties, span of the rate of answers
FAULTS = (io.Outcome.ERROR, io.Outcome.RESET, io.Outcome.CONNECT_FAILED)
ANSWERS = (io.Outcome.OK, io.Outcome.ERROR, io.Outcome.RESET, io.Outcome.FULL)


class Routing:
    """Sends requests to the backends of one fleet, and learns from what becomes of them."""

    def __init__(
        self,
        settings: io.Settings,
        classes: Iterable[io.ClassSettings],
        plans: Iterable[str],
        rng: random.Random,
        now: float,
    ) -> None:
        self.s, self.rng, self.began = settings, rng, now
        self.classes = {c.name: c for c in classes}
        self.active_requests: dict[str, ActiveRequest] = {}
        self.fleet = Fleet(settings, rng)
        self.processes = 1  # of this ingress: in an upgrade each lets in its part of what the ingress may
        self.members = self.fleet.members
        self.queue = list[ActiveRequest]()  # dearest first, then in the order in which they came
        self.latency = {c.name: c.objective * AIM_PART for c in classes}  # usual time of an answer
        self.base = dict(self.latency)  # and what it was when nothing was pressed
        self.armed, self.out, self.slots = False, 0, 0.0  # beat set; own attempts out, how many may be
        self.press, self.judged, self.paused = 1.0, now, 0.0  # latency over base, when; rest below one slot
        self.rejection_share = dict.fromkeys((*self.classes, *plans), 0.0)  # share of attempts turned away
        self.rate, self.rate_at = 0.0, now  # attempts a second to one warm backend
        self.floor, self.step = FLOOR, 0.1
        self.acts: list[io.Action] = []

    # What the user of this class decides.

    def refuse(self, now: float, f: ActiveRequest, wait: float) -> None:
        """Final answer: refused, or failed where a refusal would promise too much."""
        raise NotImplementedError

    def served(self, now: float, f: ActiveRequest, e: io.AttemptEnded) -> None:
        """A request has its final answer by an attempt."""

    def left(self, now: float, request: str) -> None:
        """A request is open no more."""

    def renew(self, now: float) -> None:
        """A beat has come."""

    # Attempts.

    def free(self, now: float) -> bool:
        """Whether the concurrency limit allows one more attempt."""
        return self.out < max(1.0, self.slots) and now >= self.paused

    def late(self, now: float, f: ActiveRequest) -> bool:
        """Whether a request that has to be held cannot make its aim."""
        ahead = 1 + bisect.bisect_right(self.queue, -f.value, key=lambda g: -g.value)
        return now + ahead * self.latency[f.cls.name] / self.slots + self.base[f.cls.name] > f.aim

    def send(self, now: float, f: ActiveRequest) -> None:
        """Start an attempt, or hold the request if a slot should come free in time for its aim."""
        best = self.choose(now, f)
        if best is None:
            if self.late(now, f):
                return self.refuse(now, f, 0.0)  # early, not late
            return bisect.insort_right(self.queue, f, key=lambda g: -g.value)
        f.attempts += 1
        f.sent, f.attempt_out = now, True
        if not f.req.flows:  # no work for a backend before it has come whole
            self.occupy(now, f, best)
        if self.fleet.cold(now, best) < 1.0:
            best.tokens -= 1.0
        self.acts.append(io.Attempt(f.req.id, best.entry.backend))

    def occupy(self, now: float, f: ActiveRequest, b: Backend) -> None:
        """An attempt is out at a backend."""
        b.out[f.req.id] = (now, f.cls.name, f.req.plan)
        self.out += 1

    def written(self, now: float, e: io.AttemptWritten) -> None:
        """A body that came slowly has gone out whole: only now does the request's time run."""
        f, b = self.active_requests.get(e.request), self.fleet.backends.get(e.backend)
        if f is not None and b is not None:
            f.sent, f.aim = now, now + min(f.cls.objective, f.req.expires_in)
            self.occupy(now, f, b)

    def dispatch(self, now: float) -> None:
        """Send what is held as slots come free; it is looked through in full at each beat only."""
        for _ in range(len(self.queue)):
            if not self.free(now):
                break
            f = self.queue.pop(0)
            if f.req.id in self.active_requests:
                self.send(now, f)

    def review(self, now: float) -> None:
        """Send what is held, dearest first, or refuse what cannot make its aim any more: none may starve."""
        held, self.queue = self.queue, []
        for f in held:
            if f.req.id in self.active_requests:
                self.send(now, f)

    def sweep(self, now: float) -> None:
        """Each beat: find silent backends by the answers they owe, and see to what is held."""
        self.armed = False
        self.renew(now)
        for b in [x for x in self.fleet.backends.values() if x.out]:
            slow = SILENT_LATENCY_RATIO * max(1.0, b.ratio)
            # An attempt that was overdue when another was answered tells of itself, not of the backend.
            owed = sum(
                (now - max(sent, b.answered)) / self.latency[name]
                for sent, name, _ in b.out.values()
                if b.answered - sent < slow * self.latency[name]
            )
            silent = owed >= slow
            if silent:
                self.acts += self.fleet.eject(now, b, "silent")
            for name in b.out:  # move what may be repeated; a long request at a live server is left alone
                f = self.active_requests.get(name)
                if (
                    f is None
                    or not self.s.may_cancel
                    or now - f.sent <= (2 if silent else slow) * self.latency[f.cls.name]
                ):
                    continue
                if self.may_send(now, f, f.ran_at or f.sent) or self.blocks(now, f, slow):
                    self.acts.append(io.CancelAttempt(name, f.attempts - 1))
        self.review(now)

    def blocks(self, now: float, f: ActiveRequest, slow: float) -> bool:
        """Whether an attempt hangs past its aim and only keeps a place from its customer's next request."""
        return f.customer.plan.max_open > 0 and now > f.aim and now - f.sent > slow * self.latency[f.cls.name]

    def may_send(self, now: float, f: ActiveRequest, ran_at: float | None) -> bool:
        """Whether one more attempt is allowed; if one may have run, by class and window too."""
        if f.attempts >= self.s.max_attempts or now + self.base[f.cls.name] > f.aim:
            return False
        return (
            ran_at is None
            or f.cls.effect is io.Effect.SAFE
            or (f.cls.effect is io.Effect.KEYED and now < ran_at + f.cls.window - SWEEP_INTERVAL_S)
        )

    def choose(self, now: float, f: ActiveRequest) -> Backend | None:
        """Least own outstanding work over learned speed, among those that are healthy and allowed."""
        best: Backend | None = None
        least = 0.0
        if not self.free(now):
            return None
        keyed = f.ran_on if f.cls.effect is io.Effect.KEYED else None
        keys = [(key, 1 + REJECTION_COST * self.rejection_share[key]) for key in (f.cls.name, f.req.plan)]
        for b in self.fleet.backends.values():
            e = b.entry
            if not b.usable or e.backend in f.bad or now < b.resting:
                continue
            if b.trial and (b.out or f.cls.effect is io.Effect.UNSAFE):
                continue
            if keyed is not None and (
                (f.cls.group is io.Group.ZONE and e.zone != keyed.zone)
                or (f.cls.group is io.Group.CELL and e.cell != keyed.cell)
            ):
                continue
            if b.start > 0 and (ramp := self.fleet.cold(now, b)) < 1.0:
                gain = self.pace() * ramp * self.s.fall_multiple * COLD_SAFETY
                b.tokens = min(COLD_BURST, b.tokens + gain * (now - b.tokens_at))
                b.tokens_at = now
                if b.tokens < 1.0:
                    continue
            cost = self.cost(now, f, b) * (1 + 4 * b.errors)
            for key, usual in keys:
                if key in b.rejection_share:
                    last, at = b.rejection_share[key]
                    usual = 1 + REJECTION_COST * (
                        self.rejection_share[key]
                        + (last - self.rejection_share[key]) * math.exp((at - now) / REJECTION_MEMORY_S)
                    )
                cost *= usual
            cost *= 1 + TIE * self.rng.random()
            if best is None or cost < least:
                best, least = b, cost
        return best

    def cost(self, now: float, f: ActiveRequest, b: Backend) -> float:
        """How long one more request may take at a backend, in terms of what is usual."""
        return (len(b.out) + 1) * self.slowness(b)

    def slowness(self, b: Backend, untried_cost: float = UNTRIED_COST) -> float:
        """How slow a backend is; one that has not answered yet is as others are, and costs a handshake.

        What has started since this ingress did is new to all of them: nobody would go there first.
        """
        if b.known or b.start > self.began:
            return b.ratio
        return max(b.ratio, self.press) * untried_cost

    def started(self, now: float, e: io.AttemptStarted) -> None:
        """A large answer has begun: the work is done, and only its customer's place is taken to its end."""
        b = self.fleet.backends.get(e.backend)
        _, name, plan = b.out.pop(e.request, (now, "", "")) if b is not None else (now, "", "")
        if b is not None and name:
            self.out -= 1
            begun = io.AttemptEnded(e.request, e.attempt, e.backend, io.Outcome.OK, e.elapsed, True)
            self.judge(now, b, begun, name, plan)
        if self.queue:
            self.dispatch(now)

    def pace(self) -> float:
        """Attempts a second that this ingress may count on at a warm backend: what one has served of late.

        One that has only begun has seen little: a backend serves one at a time at least, for all ingresses.
        """
        return max(self.rate, 1 / (self.s.instances * self.processes * max(1e-3, *self.base.values())))

    def ended(self, now: float, e: io.AttemptEnded) -> None:
        """An attempt ended: learn from it, then serve, try again or give the final answer."""
        b, f = self.fleet.backends.get(e.backend), self.active_requests.get(e.request)
        if b is not None:
            _, name, plan = b.out.pop(e.request, (now, "", ""))
            if name:
                self.out -= 1
                self.judge(now, b, e, name, plan)
        if f is None:
            return self.left(now, e.request)
        f.attempt_out = False
        if e.outcome not in io.NEVER_RAN and f.ran_at is None:
            f.ran_at, f.ran_on = f.sent, b.entry if b is not None else None
        if e.done:
            del self.active_requests[e.request]
            self.left(now, e.request)
            if self.queue:
                self.dispatch(now)
            return self.served(now, f, e)
        f.bad.add(e.backend)
        fleet_saturated = (
            e.outcome is io.Outcome.FULL and self.press > OVERLOAD_LATENCY_RATIO
        )  # elsewhere it is full too
        if not fleet_saturated and not e.spent and self.may_send(now, f, f.ran_at):
            self.send(now, f)
        else:
            self.refuse(now, f, 0.0)

    def judge(self, now: float, b: Backend, e: io.AttemptEnded, name: str, plan: str) -> None:
        """Latency, errors and concurrency limit of one backend."""
        b.answered = now if e.outcome in ANSWERS else b.answered  # a time-out is no sign of life, nor a fault
        if e.outcome is io.Outcome.OK or (e.outcome is io.Outcome.TIMEOUT and e.elapsed > self.latency[name]):
            times = min(
                e.elapsed / self.base[name], LATENCY_RATIO_CAP
            )  # a few very costly requests are no jam
            b.ratio = self.slowness(b, 1.0)
            b.ratio, b.known = b.ratio + self.step * (times - b.ratio), True
            step = min(
                BACKOFF_RATE, max(BACKOFF_STEP, BACKOFF_RATE * (now - self.judged))
            )  # few answers: each says more
            self.judged = now
            self.press += min(0.4, 5 * step) * (times - self.press)
            if (
                self.press > OVERLOAD_LATENCY_RATIO
            ):  # all hold too much there: one slot a backend may be too many
                self.slots = max(self.floor * self.fleet.usable / self.s.instances, self.slots * (1 - step))
            elif self.out + 2 > self.slots:
                self.slots += min(self.slots, 1 / self.slots)
            if self.slots < 1:  # less than one attempt out on average: a rest after each
                self.paused = now + min(1.0, e.elapsed) * (1 / self.slots - 1)
        if e.outcome in (io.Outcome.OK, io.Outcome.FULL):
            for key in (name, plan):  # some turn one class or plan away: told from a full fleet by who it is
                b.rejection_share[key] = (float(e.outcome is io.Outcome.FULL), now)
                self.rejection_share[key] += 0.1 * (b.rejection_share[key][0] - self.rejection_share[key])
        if e.outcome is io.Outcome.OK:
            # Served, not sent: requests turned away made warm servers look able to take more, cold ones too.
            each = 1 / RATE_S / max(1, self.fleet.usable)
            self.rate = self.rate * math.exp((self.rate_at - now) / RATE_S) + each
            self.rate_at = now
            b.errors, b.trial = 0.8 * b.errors, False
            held = e.load.get("inflight", 0.0)  # of all ingresses: each sends one more for one served
            if held <= COLD_QUEUE_LIMIT and self.fleet.cold(now, b) < 1.0:  # what it has served makes room
                b.tokens = min(COLD_BURST, b.tokens + 1.0)
            self.latency[name] += 0.05 * (e.elapsed - self.latency[name])
            usual = self.base[name] + (0.01 if self.press < OVERLOAD_LATENCY_RATIO else 0.0005) * (
                self.latency[name] - self.base[name]
            )
            self.base[name] = min(usual, AIM_PART * self.classes[name].objective)  # a jam is never the norm
        elif e.outcome in FAULTS:
            b.errors += 0.3 * (1 - b.errors)
            if b.trial or b.errors >= BAD_SHARE:
                self.acts += self.fleet.eject(now, b, "failing")

    def listed(self, now: float, e: io.ListUpdate) -> None:
        """Follow the list of servers; the first one tells how many attempts may be out."""
        if e.kind is not io.ListKind.FAILED:
            self.fleet.listed(now, e)
            self.slots = self.slots or max(2.0, SLOTS * self.fleet.usable / self.s.instances)

    def set_sibling_processes(self, now: float, e: io.SiblingProcesses) -> None:
        """Another process of this ingress has begun, or has ended."""
        self.processes = 1 + e.processes

    def cordon(self, now: float, e: io.Cordon) -> None:
        """An operator takes a backend out or puts it back."""
        self.acts += self.fleet.cordon(now, e)

    def restore(self, now: float, e: io.Cordons) -> None:
        """What operators have taken out through another process of this ingress."""
        self.acts += self.fleet.restore(e.cordon_entries)
