"""The cap on a customer's open requests, by a count at the shared counter that gets each change here."""

from __future__ import annotations

import math
from collections import deque

from ingress import interface as io
from ingress.calling import CounterCallPolicy
from ingress.customer import Customer, mix
from ingress.flight import ActiveRequest
from ingress.routing import Routing

# Window of a count in longest objectives; a new one starts with the requests open then.
WINDOW_OBJECTIVES = 2.0
VERDICT_GAIN = 0.6  # factor on a verdict's gain: one on the cap takes two calls, one on a rate gains more
PACE_S = 8.0  # decay time of a customer's arrivals
# prior for the open requests of a new customer, of its cap; its weight
PACE_PRIOR = 0.25
PACE_PRIOR_S = 2.0
ARRIVAL = 1e-4  # added to the count for each arrival, so that totals also contain the number of arrivals
RATE_PRIOR_S = 0.5  # into a window, after which arrivals by its total outweigh those seen here
RELEASE_TIMER = 2  # token of the timer that releases reserved places


def overflow_probability(pace: float, most: int) -> float:
    """The probability that at least `most` are open (Poisson, mean `pace`), if none is rejected."""
    chance = math.exp(-pace)
    below = 0.0
    for n in range(most):
        below += chance
        chance *= pace / (n + 1)
    return 1 - below


def blocking_probability(pace: float, most: int) -> float:
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
        self.length = WINDOW_OBJECTIVES * max(c.objective for c in gw.s.classes) or 1.0

    def enter(self, now: float, request: ActiveRequest) -> None:
        """Send a request that is within its rate quota, if the cap on open requests has room."""
        customer = request.customer
        most = request.customer.plan.max_open
        if most <= 0:
            self.gw.send(now, request)
            return
        request.pace = self.pace(now, request)
        self.arrive(now, customer)
        if customer.open_requests >= most:  # sure: the requests open here alone fill it
            self.gw.refuse(now, request, self.gw.latency[request.cls.name])
            return
        if not self.gw.limit.allows(now) and self.gw.late(now, request):
            self.gw.refuse(now, request, 0.0)
            return
        customer.open_requests += 1
        self.open[request.req.id] = customer
        if customer.counted_in == int(now // self.length) and customer.counted >= customer.open_requests:
            self.gw.send(now, request)  # into a reserved place
            return
        is_certain = (
            customer.open_requests > max(1, most // customer.width)
            or now < customer.cap_full_at + request.cls.objective
        )
        if not self.gw.s.counter or not self.call_policy.should_call(
            1.0 if is_certain else self.need(request.pace, customer.plan)
        ):
            self.enter_alone(now, request)
            return
        self.count(now, customer, request)

    def pace(self, now: float, request: ActiveRequest) -> float:
        """Estimate the requests that a customer would keep open, from arrivals here and from totals."""
        customer = request.customer
        span = PACE_S * (1 - math.exp((self.gw.began - now) / PACE_S))
        arrivals = customer.recent_arrivals * math.exp((customer.arrivals_at - now) / PACE_S)
        prior = PACE_PRIOR_S * PACE_PRIOR * customer.plan.max_open
        own = (arrivals * customer.width * self.gw.latency[request.cls.name] + prior) / (span + PACE_PRIOR_S)
        reported = customer.rate * self.gw.latency[request.cls.name]  # of all ingresses, so a better estimate
        return own + (reported - own) * customer.rate_part * math.exp((customer.rate_at - now) / PACE_S)

    def arrive(self, now: float, customer: Customer) -> None:
        """Note an arrival in the decaying count."""
        customer.recent_arrivals = (
            customer.recent_arrivals * math.exp((customer.arrivals_at - now) / PACE_S) + 1
        )
        customer.arrivals_at = now
        customer.unreported_arrivals += 1

    def enter_alone(self, now: float, request: ActiveRequest) -> None:
        """Decide without a total: within an even share (at least one), and at random by `remaining_ratio`."""
        customer = request.customer
        even = max(1, customer.plan.max_open // (customer.width * self.gw.processes))
        if customer.open_requests > even or self.gw.rng.random() >= self.remaining_ratio(
            request.pace, customer.plan
        ):
            self.gw.refuse(now, request, self.gw.latency[request.cls.name])
            return
        self.gw.send(now, request)

    def best_uncounted_ratio(self, pace: float, plan: io.PlanSettings) -> float:
        """The best fraction of requests to admit without a count, given the cost of one beyond the cap."""
        if plan.name not in self.best:
            paces = (plan.max_open * n / 20 for n in range(1, 41))
            self.best[plan.name] = max(
                paces,
                key=lambda pace: pace
                * (1 - (1 + plan.over_cost) * overflow_probability(pace, plan.max_open)),
            )
        return min(1.0, self.best[plan.name] / max(pace, 1e-9))

    def remaining_ratio(self, pace: float, plan: io.PlanSettings) -> float:
        """The same of the requests without a verdict, as those with one take places too."""
        if self.call_policy.counter_down():
            return self.best_uncounted_ratio(pace, plan)
        call_share = min(1.0, self.call_policy.draw_share(self.need(pace, plan)))
        seen = call_share * pace * (1 - blocking_probability(call_share * pace, plan.max_open))
        unseen = self.best_uncounted_ratio(pace, plan) * pace - seen
        return min(1.0, max(0.0, unseen) / max(pace * (1 - call_share), 1e-9))

    def need(self, pace: float, plan: io.PlanSettings) -> float:
        """What a verdict gains for a request over admitting a fraction without a count."""
        part = self.best_uncounted_ratio(pace, plan)
        unseen = part * (1 - (1 + plan.over_cost) * overflow_probability(part * pace, plan.max_open))
        return VERDICT_GAIN * max(0.0, 1 - blocking_probability(pace, plan.max_open) - unseen)

    def count(self, now: float, customer: Customer, request: ActiveRequest | None = None) -> None:
        """Add the change in open requests here to this window's count; to a new one, all that are open."""
        window = int(now // self.length)
        if customer.counted_in != window:
            customer.counted = 0
            customer.counted_in = window
        change = customer.open_requests - customer.counted
        if not self.gw.s.counter or (change == 0 and request is None):
            return
        customer.counted = customer.open_requests
        name = mix(~customer.key, window)
        self.calls.setdefault(name, deque()).append((customer, window, change, request))
        amount = change + ARRIVAL * customer.unreported_arrivals
        customer.unreported_arrivals = 0
        self.gw.acts.append(io.CounterAdd(name, amount, min(60.0, 2 * self.length)))

    def counted(self, now: float, event: io.CounterReply) -> None:
        """Process the reply to a call: decide the request that waits for it, if any."""
        queue = self.calls[event.name]
        customer, window, change, request = queue.popleft()
        if not queue:
            del self.calls[event.name]
        added = self.call_policy.answers(event, self.gw.acts) or event.outcome is io.Outcome.TIMEOUT
        if not added and customer.counted_in == window:
            customer.counted -= change  # surely not added: it goes with the next call
        total = math.floor(event.total + ARRIVAL / 2)
        if event.outcome is io.Outcome.OK and now > window * self.length:
            window_age_s = now - window * self.length
            customer.rate = (event.total - total) / ARRIVAL / window_age_s
            customer.rate_at = now
            customer.rate_part = window_age_s / (window_age_s + RATE_PRIOR_S)
        if request is None or request.req.id not in self.gw.active_requests:
            return
        if event.outcome is not io.Outcome.OK:
            self.enter_alone(now, request)
            return
        if total > customer.plan.max_open:
            customer.cap_full_at = now
            self.gw.refuse(now, request, self.gw.latency[request.cls.name])
            return
        self.gw.send(now, request)

    def leave(self, now: float, request: str, served: bool = True) -> None:
        """A request is no longer open: free its place at once, or reserve it briefly if calls are scarce."""
        customer = self.open.pop(request, None)
        if customer is not None:
            customer.open_requests -= 1
            if customer.counted_in != int(now // self.length):
                customer.counted = min(customer.counted, customer.open_requests)
            if customer.counted <= customer.open_requests:
                return  # it isn't counted
            is_refused = not served  # its place isn't reserved
            if self.call_policy.call_share >= 1 or is_refused:
                self.count(now, customer)
                return
            wait = (1 - self.call_policy.call_share) * self.gw.s.counter_timeout
            self.reserved_places.append((now + wait, customer))
            self.gw.acts.append(io.SetTimer(wait, RELEASE_TIMER))

    def give_back(self, now: float) -> None:
        """Release the reserved places that were not used in time."""
        while self.reserved_places and self.reserved_places[0][0] <= now + 1e-6:
            _, customer = self.reserved_places.popleft()
            if customer.counted_in == int(now // self.length):
                self.count(now, customer)
            else:
                customer.counted = min(customer.counted, customer.open_requests)

    def renew(self, now: float) -> None:
        """Add the requests open here to a new count; if calls are scarce, only where some were counted."""
        for customer in {c.key: c for c in self.open.values()}.values():
            if customer.counted_in != int(now // self.length) and (
                customer.counted > 0 or self.call_policy.call_share >= 1
            ):
                self.count(now, customer)
