"""The cap on a customer's open requests, by a count at the shared counter that gets each change here."""

from __future__ import annotations

import math
from collections import deque

from ingress import interface as io
from ingress.calling import CounterCallPolicy
from ingress.customer import Customer, mix
from ingress.flight import ActiveRequest
from ingress.routing import Routing

OPEN_AIMS = 2.0  # window of a count in longest objectives; a new one starts with the requests open then
VERDICT_PART = 0.6  # factor on a verdict's gain: one on the cap takes two calls, one on a rate gains more
PACE_S = 8.0  # decay time of a customer's arrivals
# prior for the open requests of a new customer, of its cap; its weight
PACE_PRIOR = 0.25
PACE_PRIOR_S = 2.0
ARRIVAL = 1e-4  # added to the count for each arrival, so that totals also contain the number of arrivals
RATE_PRIOR_S = 0.5  # into a window, after which arrivals by its total outweigh those seen here
KEEP = 2  # token of the timer that releases reserved places


def beyond(pace: float, most: int) -> float:
    """The probability that at least `most` are open (Poisson, mean `pace`), if none is rejected."""
    chance = math.exp(-pace)
    below = 0.0
    for n in range(most):
        below += chance
        chance *= pace / (n + 1)
    return 1 - below


def turned_away(pace: float, most: int) -> float:
    """The fraction of requests that a cap of `most` rejects at an offered load of `pace` (Erlang B)."""
    part = 1.0
    for n in range(1, most + 1):
        part = pace * part / (n + pace * part)
    return part


class ConcurrencyCap:
    """Admission of each customer's open requests at one ingress, and their count."""

    def __init__(self, gw: Routing, call_policy: CounterCallPolicy) -> None:
        self.gw = gw
        self.call_policy = call_policy
        self.calls: dict[int, deque[tuple[Customer, int, int, ActiveRequest | None]]] = {}
        self.open: dict[str, Customer] = {}  # the customer of each open request
        self.best: dict[str, float] = {}  # by plan: the mean of open requests that gains most without counts
        self.reserved_places = deque[tuple[float, Customer]]()  # counted places kept free for the next, until
        self.length = OPEN_AIMS * max(c.objective for c in gw.s.classes) or 1.0

    def enter(self, now: float, f: ActiveRequest) -> None:
        """Send a request that is within its rate quota, if the cap on open requests has room."""
        c = f.customer
        most = f.customer.plan.max_open
        if most <= 0:
            return self.gw.send(now, f)
        f.pace = self.pace(now, f)
        self.arrive(now, c)
        if c.out >= most:  # sure: the requests open here alone fill it
            return self.gw.refuse(now, f, self.gw.latency[f.cls.name])
        if not self.gw.limit.allows(now) and self.gw.late(now, f):
            return self.gw.refuse(now, f, 0.0)
        c.out += 1
        self.open[f.req.id] = c
        if c.counted_in == int(now // self.length) and c.counted >= c.out:
            return self.gw.send(now, f)  # into a reserved place
        sure = c.out > max(1, most // c.width) or now < c.pressed + f.cls.objective
        if not self.gw.s.counter or not self.call_policy.should_call(
            1.0 if sure else self.need(f.pace, c.plan)
        ):
            return self.enter_alone(now, f)
        self.count(now, c, f)

    def pace(self, now: float, f: ActiveRequest) -> float:
        """Estimate the requests that a customer would keep open, from arrivals here and from totals."""
        c = f.customer
        span = PACE_S * (1 - math.exp((self.gw.began - now) / PACE_S))
        came = c.came * math.exp((c.came_at - now) / PACE_S)
        prior = PACE_PRIOR_S * PACE_PRIOR * c.plan.max_open
        own = (came * c.width * self.gw.latency[f.cls.name] + prior) / (span + PACE_PRIOR_S)
        told = c.rate * self.gw.latency[f.cls.name]  # of all ingresses, so a better estimate
        return own + (told - own) * c.rate_part * math.exp((c.rate_at - now) / PACE_S)

    def arrive(self, now: float, c: Customer) -> None:
        """Note an arrival in the decaying count."""
        c.came = c.came * math.exp((c.came_at - now) / PACE_S) + 1
        c.came_at = now
        c.unreported_arrivals += 1

    def enter_alone(self, now: float, f: ActiveRequest) -> None:
        """Decide without a total: within an even share (at least one), and at random as `left` says."""
        c = f.customer
        even = max(1, c.plan.max_open // (c.width * self.gw.processes))
        if c.out > even or self.gw.rng.random() >= self.left(f.pace, c.plan):
            return self.gw.refuse(now, f, self.gw.latency[f.cls.name])
        self.gw.send(now, f)

    def part(self, pace: float, plan: io.PlanSettings) -> float:
        """The best fraction of requests to admit without a count, given the cost of one beyond the cap."""
        if plan.name not in self.best:
            paces = (plan.max_open * n / 20 for n in range(1, 41))
            self.best[plan.name] = max(
                paces, key=lambda pace: pace * (1 - (1 + plan.over_cost) * beyond(pace, plan.max_open))
            )
        return min(1.0, self.best[plan.name] / max(pace, 1e-9))

    def left(self, pace: float, plan: io.PlanSettings) -> float:
        """The same of the requests without a verdict, as those with one take places too."""
        if self.call_policy.counter_down():
            return self.part(pace, plan)
        asked = min(1.0, self.call_policy.draw_share(self.need(pace, plan)))
        seen = asked * pace * (1 - turned_away(asked * pace, plan.max_open))
        unseen = self.part(pace, plan) * pace - seen
        return min(1.0, max(0.0, unseen) / max(pace * (1 - asked), 1e-9))

    def need(self, pace: float, plan: io.PlanSettings) -> float:
        """What a verdict gains for a request over admitting a fraction without a count."""
        part = self.part(pace, plan)
        unseen = part * (1 - (1 + plan.over_cost) * beyond(part * pace, plan.max_open))
        return VERDICT_PART * max(0.0, 1 - turned_away(pace, plan.max_open) - unseen)

    def count(self, now: float, c: Customer, f: ActiveRequest | None = None) -> None:
        """Add the change in open requests here to this window's count; to a new one, all that are open."""
        window = int(now // self.length)
        if c.counted_in != window:
            c.counted = 0
            c.counted_in = window
        change = c.out - c.counted
        if not self.gw.s.counter or (change == 0 and f is None):
            return
        c.counted = c.out
        name = mix(~c.key, window)
        self.calls.setdefault(name, deque()).append((c, window, change, f))
        amount = change + ARRIVAL * c.unreported_arrivals
        c.unreported_arrivals = 0
        self.gw.acts.append(io.CounterAdd(name, amount, min(60.0, 2 * self.length)))

    def counted(self, now: float, e: io.CounterReply) -> None:
        """Process the reply to a call: decide the request that waits for it, if any."""
        queue = self.calls[e.name]
        c, window, change, f = queue.popleft()
        if not queue:
            del self.calls[e.name]
        added = self.call_policy.answers(e, self.gw.acts) or e.outcome is io.Outcome.TIMEOUT
        if not added and c.counted_in == window:
            c.counted -= change  # surely not added: it goes with the next call
        total = math.floor(e.total + ARRIVAL / 2)
        if e.outcome is io.Outcome.OK and now > window * self.length:
            told_s = now - window * self.length
            c.rate = (e.total - total) / ARRIVAL / told_s
            c.rate_at = now
            c.rate_part = told_s / (told_s + RATE_PRIOR_S)
        if f is None or f.req.id not in self.gw.active_requests:
            return
        if e.outcome is not io.Outcome.OK:
            return self.enter_alone(now, f)
        if total > c.plan.max_open:
            c.pressed = now
            return self.gw.refuse(now, f, self.gw.latency[f.cls.name])
        self.gw.send(now, f)

    def leave(self, now: float, request: str, served: bool = True) -> None:
        """A request is no longer open: free its place at once, or reserve it briefly if calls are scarce."""
        c = self.open.pop(request, None)
        if c is not None:
            c.out -= 1
            if c.counted_in != int(now // self.length):
                c.counted = min(c.counted, c.out)
            if c.counted <= c.out:
                return  # it isn't counted
            if self.call_policy.ask >= 1 or not served:  # the place of a refused request isn't reserved
                return self.count(now, c)
            wait = (1 - self.call_policy.ask) * self.gw.s.counter_timeout
            self.reserved_places.append((now + wait, c))
            self.gw.acts.append(io.SetTimer(wait, KEEP))

    def give_back(self, now: float) -> None:
        """Release the reserved places that were not used in time."""
        while self.reserved_places and self.reserved_places[0][0] <= now + 1e-6:
            _, c = self.reserved_places.popleft()
            if c.counted_in == int(now // self.length):
                self.count(now, c)
            else:
                c.counted = min(c.counted, c.out)

    def renew(self, now: float) -> None:
        """Add the requests open here to a new count; if calls are scarce, only where some were counted."""
        for c in {c.key: c for c in self.open.values()}.values():
            if c.counted_in != int(now // self.length) and (c.counted > 0 or self.call_policy.ask >= 1):
                self.count(now, c)
