"""Load balancing over one fleet of backends: choice of a backend, attempts, retries, learning from outcomes.

Admission is left to subclasses: a request comes in through `send`, and `refuse` gives a final answer.
"""

from __future__ import annotations

import bisect
import math
import random
from collections.abc import Iterable

from ingress import interface as io
from ingress.concurrency_limit import OVERLOAD_LATENCY_RATIO, ConcurrencyLimit
from ingress.fleet import Backend, Fleet
from ingress.flight import ActiveRequest

BAD_SHARE = 0.5  # error rate at which a backend is ejected
SILENT_LATENCY_RATIO = (
    8.0  # usual latencies without an answer after which a backend counts as silent, an attempt as hung
)
SWEEP_INTERVAL_S = 0.05  # interval of checks for silent backends, and of the queue
AIM_PART = 0.16  # fraction of its objective that a class's unloaded latency is taken to be at most
# added cost of a backend that surely rejects a class or plan; decay time of rejections
REJECTION_COST = 4.0
REJECTION_MEMORY_S = 10.0
LATENCY_RATIO_CAP = 4.0  # times the unloaded latency, at which a latency is capped
COLD_SAFETY = 0.5  # fraction of the stated cold budget that is used, as the warm rate is only an estimate
COLD_QUEUE_LIMIT = (
    4.0  # requests of all ingresses at a cold backend, above which an answer of it adds no token
)
COLD_BURST = 1.5  # most tokens (attempts) saved up for a cold backend
UNTRIED_COST = 1.15  # relative cost of a backend that has not answered here yet
# random cost that breaks ties; decay time of the rate of answers
TIE = 0.02
RATE_S = 5.0
FAULTS = (io.Outcome.ERROR, io.Outcome.RESET, io.Outcome.CONNECT_FAILED)
ANSWERS = (io.Outcome.OK, io.Outcome.ERROR, io.Outcome.RESET, io.Outcome.FULL)


class Routing:
    """Sends requests to the backends of one fleet, and learns from their outcomes."""

    def __init__(
        self,
        settings: io.Settings,
        classes: Iterable[io.ClassSettings],
        plans: Iterable[str],
        rng: random.Random,
        now: float,
    ) -> None:
        self.s = settings
        self.rng = rng
        self.began = now
        self.classes = {c.name: c for c in classes}
        self.active_requests: dict[str, ActiveRequest] = {}
        self.fleet = Fleet(settings, rng)
        self.processes = 1  # of this ingress: in an upgrade each admits its part of the ingress's share
        self.members = self.fleet.members
        self.queue = list[ActiveRequest]()  # most valuable first, then in order of arrival
        self.latency = {c.name: c.objective * AIM_PART for c in classes}  # usual latency in seconds, by class
        self.base = dict(self.latency)  # the same without load
        self.armed = False  # whether the sweep timer is set
        self.limit = ConcurrencyLimit(now)
        self.rejection_share = dict.fromkeys((*self.classes, *plans), 0.0)  # rejected fraction of attempts
        # attempts a second to one warm backend
        self.rate = 0.0
        self.rate_at = now
        self.step = 0.1
        self.acts: list[io.Action] = []

    # Decided by subclasses

    def refuse(self, now: float, f: ActiveRequest, wait: float) -> None:
        """Final answer: refuse, or fail where a refusal would wrongly promise that a retry is harmless."""
        raise NotImplementedError

    def served(self, now: float, f: ActiveRequest, e: io.AttemptEnded) -> None:
        """An attempt has given a request its final answer."""

    def left(self, now: float, request: str) -> None:
        """A request is no longer open."""

    def renew(self, now: float) -> None:
        """Called at each sweep."""

    # Attempts

    def late(self, now: float, f: ActiveRequest) -> bool:
        """Whether a request that must be queued cannot meet its objective."""
        ahead = 1 + bisect.bisect_right(self.queue, -f.value, key=lambda g: -g.value)
        return now + ahead * self.latency[f.cls.name] / self.limit.slots + self.base[f.cls.name] > f.aim

    def send(self, now: float, f: ActiveRequest) -> None:
        """Start an attempt, or queue the request if a slot should become free in time; else refuse it."""
        best = self.choose(now, f)
        if best is None:
            if self.late(now, f):
                return self.refuse(now, f, 0.0)  # early, not late
            return bisect.insort_right(self.queue, f, key=lambda g: -g.value)
        f.attempts += 1
        f.sent = now
        f.attempt_out = True
        if not f.req.flows:  # no work for a backend before it is complete
            self.occupy(now, f, best)
        if self.fleet.cold(now, best) < 1.0:
            best.tokens -= 1.0
        self.acts.append(io.Attempt(f.req.id, best.entry.backend))

    def occupy(self, now: float, f: ActiveRequest, b: Backend) -> None:
        """Count an attempt in flight at a backend."""
        b.out[f.req.id] = (now, f.cls.name, f.req.plan)
        self.limit.in_flight += 1

    def written(self, now: float, e: io.AttemptWritten) -> None:
        """A streamed body was sent completely: the request's latency counts only from now."""
        f = self.active_requests.get(e.request)
        b = self.fleet.backends.get(e.backend)
        if f is not None and b is not None:
            f.sent = now
            f.aim = now + min(f.cls.objective, f.req.expires_in)
            self.occupy(now, f, b)

    def dispatch(self, now: float) -> None:
        """Send queued requests while slots are free; the whole queue is reviewed only at each sweep."""
        for _ in range(len(self.queue)):
            if not self.limit.allows(now):
                break
            f = self.queue.pop(0)
            if f.req.id in self.active_requests:
                self.send(now, f)

    def review(self, now: float) -> None:
        """Send queued requests, or refuse those that can't meet their objective any more: none may starve."""
        held = self.queue
        self.queue = []
        for f in held:
            if f.req.id in self.active_requests:
                self.send(now, f)

    def sweep(self, now: float) -> None:
        """Find silent backends by their overdue answers, cancel hung attempts, and review the queue."""
        self.armed = False
        self.renew(now)
        for b in [x for x in self.fleet.backends.values() if x.out]:
            slow = SILENT_LATENCY_RATIO * max(1.0, b.ratio)
            silent = b.overdue(now, self.latency, slow) >= slow
            if silent:
                self.acts += self.fleet.eject(now, b, "silent")
            for name in b.out:  # move what may be repeated; a long request at a live backend is left alone
                f = self.active_requests.get(name)
                if (
                    f is None
                    or not self.s.may_cancel
                    or now - f.sent <= (2 if silent else slow) * self.latency[f.cls.name]
                ):
                    continue
                if self.movable(now, f) or self.blocks(now, f, slow):
                    self.acts.append(io.CancelAttempt(name, f.attempts - 1))
        self.review(now)

    def movable(self, now: float, f: ActiveRequest) -> bool:
        """Whether a request whose attempt hangs may be sent elsewhere instead."""
        return self.may_send(now, f, f.ran_at or f.sent)

    def blocks(self, now: float, f: ActiveRequest, slow: float) -> bool:
        """Whether an attempt hangs past its objective and only takes a place of its customer's cap."""
        return f.customer.plan.max_open > 0 and now > f.aim and now - f.sent > slow * self.latency[f.cls.name]

    def may_send(self, now: float, f: ActiveRequest, ran_at: float | None) -> bool:
        """Whether another attempt is allowed; if one may have run, the class and its window decide too."""
        if f.attempts >= self.s.max_attempts or now + self.base[f.cls.name] > f.aim:
            return False
        return (
            ran_at is None
            or f.cls.effect is io.Effect.SAFE
            or (f.cls.effect is io.Effect.KEYED and now < ran_at + f.cls.window - SWEEP_INTERVAL_S)
        )

    def choose(self, now: float, f: ActiveRequest) -> Backend | None:
        """The healthy, allowed backend with the least own work in flight over its learnt speed; else None."""
        best: Backend | None = None
        least = 0.0
        if not self.limit.allows(now):
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
                best = b
                least = cost
        return best

    def cost(self, now: float, f: ActiveRequest, b: Backend) -> float:
        """The estimated time of one more request at a backend, in usual latencies."""
        return (len(b.out) + 1) * self.slowness(b)

    def slowness(self, b: Backend, untried_cost: float = UNTRIED_COST) -> float:
        """The latency of a backend over the unloaded one; an untried one is as others are, with a handshake.

        One that started after this ingress is new to all: with an extra cost nobody would go there first.
        """
        if b.known or b.start > self.began:
            return b.ratio
        return max(b.ratio, self.limit.latency_ratio) * untried_cost

    def started(self, now: float, e: io.AttemptStarted) -> None:
        """A streamed response has begun: the backend's work is done; the request stays open to its end."""
        b = self.fleet.backends.get(e.backend)
        _, name, plan = b.out.pop(e.request, (now, "", "")) if b is not None else (now, "", "")
        if b is not None and name:
            self.limit.in_flight -= 1
            begun = io.AttemptEnded(e.request, e.attempt, e.backend, io.Outcome.OK, e.elapsed, True)
            self.judge(now, b, begun, name, plan)
        if self.queue:
            self.dispatch(now)

    def pace(self) -> float:
        """Attempts a second that a warm backend can serve for this ingress, by the recent rate of answers.

        After a start few were seen: a backend serves at least one request at a time, for all ingresses.
        """
        return max(self.rate, 1 / (self.s.instances * self.processes * max(1e-3, *self.base.values())))

    def ended(self, now: float, e: io.AttemptEnded) -> None:
        """An attempt has ended: learn from it, then finish the request, retry it or refuse it."""
        b = self.fleet.backends.get(e.backend)
        f = self.active_requests.get(e.request)
        if b is not None:
            _, name, plan = b.out.pop(e.request, (now, "", ""))
            if name:
                self.limit.in_flight -= 1
                self.judge(now, b, e, name, plan)
        if f is None:
            return self.left(now, e.request)
        f.attempt_out = False
        if e.outcome not in io.NEVER_RAN and f.ran_at is None:
            f.ran_at = f.sent
            f.ran_on = b.entry if b is not None else None
        if e.done:
            del self.active_requests[e.request]
            self.left(now, e.request)
            if self.queue:
                self.dispatch(now)
            return self.served(now, f, e)
        f.bad.add(e.backend)
        fleet_saturated = e.outcome is io.Outcome.FULL and self.limit.overloaded  # others are full too
        if not fleet_saturated and not e.spent and self.may_send(now, f, f.ran_at):
            self.send(now, f)
        else:
            self.refuse(now, f, 0.0)

    def judge(self, now: float, b: Backend, e: io.AttemptEnded, name: str, plan: str) -> None:
        """Learn the latency and errors of a backend, and adjust the concurrency limit."""
        b.answered = now if e.outcome in ANSWERS else b.answered  # a timeout is no sign of life, nor a fault
        if e.outcome is io.Outcome.OK or (e.outcome is io.Outcome.TIMEOUT and e.elapsed > self.latency[name]):
            # The cap: a few very expensive requests are no overload.
            times = min(e.elapsed / self.base[name], LATENCY_RATIO_CAP)
            b.ratio = self.slowness(b, 1.0)
            b.ratio = b.ratio + self.step * (times - b.ratio)
            b.known = True
            self.limit.observe(now, times, e.elapsed, self.fleet.usable, self.s.instances)
        if e.outcome in (io.Outcome.OK, io.Outcome.FULL):
            for key in (name, plan):  # some backends reject one class or plan; a full fleet rejects all
                b.rejection_share[key] = (float(e.outcome is io.Outcome.FULL), now)
                self.rejection_share[key] += 0.1 * (b.rejection_share[key][0] - self.rejection_share[key])
        if e.outcome is io.Outcome.OK:
            # Count answers, not attempts: rejected ones would make backends look faster than they are.
            each = 1 / RATE_S / max(1, self.fleet.usable)
            self.rate = self.rate * math.exp((self.rate_at - now) / RATE_S) + each
            self.rate_at = now
            b.errors = 0.8 * b.errors
            b.trial = False
            held = e.load.get("inflight", 0.0)  # of all ingresses: each sends one more for one served
            if held <= COLD_QUEUE_LIMIT and self.fleet.cold(now, b) < 1.0:  # an answer adds a token
                b.tokens = min(COLD_BURST, b.tokens + 1.0)
            self.latency[name] += 0.05 * (e.elapsed - self.latency[name])
            usual = self.base[name] + (
                0.01 if self.limit.latency_ratio < OVERLOAD_LATENCY_RATIO else 0.0005
            ) * (self.latency[name] - self.base[name])
            self.base[name] = min(usual, AIM_PART * self.classes[name].objective)  # overload is never usual
        elif e.outcome in FAULTS:
            b.errors += 0.3 * (1 - b.errors)
            if b.trial or b.errors >= BAD_SHARE:
                self.acts += self.fleet.eject(now, b, "failing")

    def listed(self, now: float, e: io.ListUpdate) -> None:
        """Apply a backend list; the first one sets the initial concurrency limit."""
        if e.kind is not io.ListKind.FAILED:
            self.fleet.listed(now, e)
            self.limit.initialize(self.fleet.usable, self.s.instances)

    def set_sibling_processes(self, now: float, e: io.SiblingProcesses) -> None:
        """The number of other processes of this ingress has changed."""
        self.processes = 1 + e.processes

    def cordon(self, now: float, e: io.Cordon) -> None:
        """An operator cordons or uncordons a backend."""
        self.acts += self.fleet.cordon(now, e)

    def restore(self, now: float, e: io.Cordons) -> None:
        """Adopt cordons that were made through another process of this ingress."""
        self.acts += self.fleet.restore(e.cordon_entries)
