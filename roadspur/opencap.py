"""The cap on open requests: a count of them on the counter, told of each change here."""

from __future__ import annotations

import math
from collections import deque

from roadspur import interface as io
from roadspur.calling import CounterCallPolicy
from roadspur.customer import Customer, mix
from roadspur.flight import ActiveRequest
from roadspur.routing import Routing

OPEN_AIMS = 2.0  # longest aims after which a count of open requests begins anew, with what is open then
VERDICT_PART = 0.6  # of what a verdict gains: one on the cap takes two calls, one on a rate gains more
PACE_S = 8.0  # for which a customer's arrivals count
PACE_PRIOR, PACE_PRIOR_S = 0.25, 2.0  # of its cap that a new customer is taken to keep open, and for how long
ARRIVAL = 1e-4  # of a place: what a call adds for each request that has come, so that totals tell of them
RATE_PRIOR_S = 0.5  # of a window, from which on what its total tells of arrivals says more than the own ones
KEEP = 2  # token of the timer that gives kept places back


def beyond(pace: float, most: int) -> float:
    """The chance that so many are open where so many are on average, none turned away."""
    chance, below = math.exp(-pace), 0.0
    for n in range(most):
        below += chance
        chance *= pace / (n + 1)
    return 1 - below


def turned_away(pace: float, most: int) -> float:
    """The part that a cap turns away (Erlang's loss formula)."""
    part = 1.0
    for n in range(1, most + 1):
        part = pace * part / (n + pace * part)
    return part


class ConcurrencyCap:
    """What one ingress lets in, and counts, of each customer's open requests."""

    def __init__(self, gw: Routing, call_policy: CounterCallPolicy) -> None:
        self.gw, self.call_policy = gw, call_policy
        self.calls: dict[int, deque[tuple[Customer, int, int, ActiveRequest | None]]] = {}
        self.open: dict[str, Customer] = {}  # requests counted as open, whose they are
        self.best: dict[str, float] = {}  # by plan: how many open gain most where none is counted
        self.reserved_places = deque[tuple[float, Customer]]()  # counted, free, kept for the next until then
        self.length = OPEN_AIMS * max(c.objective for c in gw.s.classes) or 1.0

    def enter(self, now: float, f: ActiveRequest) -> None:
        """Within its quota on the rate: go on if the cap on open requests has room."""
        c, most = f.customer, f.customer.plan.max_open
        if most <= 0:
            return self.gw.send(now, f)
        f.pace = self.pace(now, f)
        self.arrive(now, c)
        if c.out >= most:  # sure: what is open here alone fills it
            return self.gw.refuse(now, f, self.gw.latency[f.cls.name])
        if not self.gw.free(now) and self.gw.late(now, f):
            return self.gw.refuse(now, f, 0.0)
        c.out += 1
        self.open[f.req.id] = c
        if c.counted_in == int(now // self.length) and c.counted >= c.out:
            return self.gw.send(now, f)  # into a place that was kept
        sure = c.out > max(1, most // c.width) or now < c.pressed + f.cls.objective
        if not self.gw.s.counter or not self.call_policy.should_call(
            1.0 if sure else self.need(f.pace, c.plan)
        ):
            return self.enter_alone(now, f)
        self.count(now, c, f)

    def pace(self, now: float, f: ActiveRequest) -> float:
        """How many requests the customer would keep open, by what comes here and at how many others."""
        c, span = f.customer, PACE_S * (1 - math.exp((self.gw.began - now) / PACE_S))
        came = c.came * math.exp((c.came_at - now) / PACE_S)
        prior = PACE_PRIOR_S * PACE_PRIOR * c.plan.max_open
        own = (came * c.width * self.gw.latency[f.cls.name] + prior) / (span + PACE_PRIOR_S)
        told = c.rate * self.gw.latency[f.cls.name]  # by all ingresses, so it is less of a guess
        return own + (told - own) * c.rate_part * math.exp((c.rate_at - now) / PACE_S)

    def arrive(self, now: float, c: Customer) -> None:
        """One more has come; what came long ago says little."""
        c.came = c.came * math.exp((c.came_at - now) / PACE_S) + 1
        c.came_at = now
        c.unreported_arrivals += 1

    def enter_alone(self, now: float, f: ActiveRequest) -> None:
        """Without a total: one at least of an even share, and of a customer of many as many as gain most."""
        c = f.customer
        even = max(1, c.plan.max_open // (c.width * self.gw.processes))
        if c.out > even or self.gw.rng.random() >= self.left(f.pace, c.plan):
            return self.gw.refuse(now, f, self.gw.latency[f.cls.name])
        self.gw.send(now, f)

    def part(self, pace: float, plan: io.PlanSettings) -> float:
        """The part of requests let in unseen at which most is gained, at what one beyond the cap costs."""
        if plan.name not in self.best:
            paces = (plan.max_open * n / 20 for n in range(1, 41))
            self.best[plan.name] = max(
                paces, key=lambda pace: pace * (1 - (1 + plan.over_cost) * beyond(pace, plan.max_open))
            )
        return min(1.0, self.best[plan.name] / max(pace, 1e-9))

    def left(self, pace: float, plan: io.PlanSettings) -> float:
        """That part of the requests without a verdict, as those with one take places too."""
        if self.call_policy.counter_down():
            return self.part(pace, plan)
        asked = min(1.0, self.call_policy.draw_share(self.need(pace, plan)))
        seen = asked * pace * (1 - turned_away(asked * pace, plan.max_open))
        unseen = self.part(pace, plan) * pace - seen
        return min(1.0, max(0.0, unseen) / max(pace * (1 - asked), 1e-9))

    def need(self, pace: float, plan: io.PlanSettings) -> float:
        """What a verdict gains for a request over letting in a part unseen."""
        part = self.part(pace, plan)
        unseen = part * (1 - (1 + plan.over_cost) * beyond(part * pace, plan.max_open))
        return VERDICT_PART * max(0.0, 1 - turned_away(pace, plan.max_open) - unseen)

    def count(self, now: float, c: Customer, f: ActiveRequest | None = None) -> None:
        """Tell the count of this window what has changed here; a new one, all that is open here."""
        window = int(now // self.length)
        if c.counted_in != window:
            c.counted, c.counted_in = 0, window
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
        """A total of open requests came, or did not."""
        queue = self.calls[e.name]
        c, window, change, f = queue.popleft()
        if not queue:
            del self.calls[e.name]
        added = self.call_policy.answers(e, self.gw.acts) or e.outcome is io.Outcome.TIMEOUT
        if not added and c.counted_in == window:
            c.counted -= change  # sure not to have been added: it goes with the next call
        total = math.floor(e.total + ARRIVAL / 2)
        if e.outcome is io.Outcome.OK and now > window * self.length:
            told_s = now - window * self.length
            c.rate, c.rate_at = (e.total - total) / ARRIVAL / told_s, now
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
        """A request is open no more: its place is free at once, or kept a moment where calls are short."""
        c = self.open.pop(request, None)
        if c is not None:
            c.out -= 1
            if c.counted_in != int(now // self.length):
                c.counted = min(c.counted, c.out)
            if c.counted <= c.out:
                return  # no count holds it
            if self.call_policy.ask >= 1 or not served:  # a charge that was refused is no place
                return self.count(now, c)
            wait = (1 - self.call_policy.ask) * self.gw.s.counter_timeout
            self.reserved_places.append((now + wait, c))
            self.gw.acts.append(io.SetTimer(wait, KEEP))

    def give_back(self, now: float) -> None:
        """Places that were kept and not used are free for others."""
        while self.reserved_places and self.reserved_places[0][0] <= now + 1e-6:
            _, c = self.reserved_places.popleft()
            if c.counted_in == int(now // self.length):
                self.count(now, c)
            else:
                c.counted = min(c.counted, c.out)

    def renew(self, now: float) -> None:
        """A new count holds nothing of what is open here yet; where calls are short, else stays so."""
        for c in {c.key: c for c in self.open.values()}.values():
            if c.counted_in != int(now // self.length) and (c.counted > 0 or self.call_policy.ask >= 1):
                self.count(now, c)
