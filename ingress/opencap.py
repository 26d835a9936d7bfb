"""The cap on a customer's open requests, enforced by a count of open requests at the shared counter."""

from __future__ import annotations

import math
from collections import deque

from ingress import interface as io
from ingress.calling import CounterCallPolicy
from ingress.customer import Customer, mix
from ingress.flight import ActiveRequest
from ingress.routing import Routing

# Length of a count's window in longest objectives; a new window starts with the requests open at that time.
WINDOW_OBJECTIVES = 2.0
VERDICT_GAIN = 0.6  # a verdict on the cap takes two calls, and a verdict on a rate gains more
ARRIVAL_DECAY_S = 8.0  # decay time of the average of a customer's arrivals
LOAD_PRIOR = 0.25  # assumed open requests of a new customer, as a fraction of its cap
LOAD_PRIOR_S = 2.0  # weight of that assumption, in seconds of observation
ARRIVAL_UNIT = 1e-4  # added to the count for each arrival, so that totals also reveal the number of arrivals
RATE_PRIOR_S = 0.5  # age of a window at which the arrival rate from its total has half of the weight
RELEASE_TIMER = 2  # token of the timer that releases reserved slots


def overflow_probability(offered_load: float, most: int) -> float:
    """The probability that at least `most` requests are open if none is rejected (Poisson model)."""
    chance = math.exp(-offered_load)
    below = 0.0
    for n in range(most):
        below += chance
        chance *= offered_load / (n + 1)
    return 1 - below


def blocking_probability(offered_load: float, most: int) -> float:
    """The fraction of requests that a cap of `most` rejects at this offered load (Erlang B)."""
    part = 1.0
    for n in range(1, most + 1):
        part = offered_load * part / (n + offered_load * part)
    return part


class ConcurrencyCap:
    """Admission of each customer's open requests at one ingress, and their count at the shared counter."""

    def __init__(self, routing: Routing, call_policy: CounterCallPolicy) -> None:
        self.routing = routing
        self.call_policy = call_policy
        self.calls: dict[int, deque[tuple[Customer, int, int, ActiveRequest | None]]] = {}
        self.open: dict[str, Customer] = {}  # customer of each open request
        # By plan: the mean number of open requests with the greatest gain without counts.
        self.best_open_requests: dict[str, float] = {}
        # Counted slots that are reserved for the customer's next requests, and until when.
        self.reserved_slots = deque[tuple[float, Customer]]()
        self.length = WINDOW_OBJECTIVES * max(c.objective for c in routing.settings.classes) or 1.0

    def admit(self, now: float, request: ActiveRequest) -> None:
        """Send a request that is within its rate quota if the cap on open requests allows it."""
        customer = request.customer
        most = request.customer.plan.max_open
        if most <= 0:
            self.routing.send(now, request)
            return
        request.offered_load = self.offered_load(now, request)
        self.record_arrival(now, customer)
        if customer.open_requests >= most:  # the requests open here reach the cap by themselves
            self.routing.refuse(now, request, self.routing.latency[request.cls.name])
            return
        if not self.routing.limit.allows(now) and self.routing.misses_objective(now, request):
            self.routing.refuse(now, request, 0.0)
            return
        customer.open_requests += 1
        self.open[request.req.id] = customer
        if customer.counted_in == int(now // self.length) and customer.counted >= customer.open_requests:
            self.routing.send(now, request)  # uses a reserved slot
            return
        is_certain = (
            customer.open_requests > max(1, most // customer.width)
            or now < customer.cap_full_at + request.cls.objective
        )
        if not self.routing.settings.counter or not self.call_policy.should_call(
            1.0 if is_certain else self.need(request.offered_load, customer.plan)
        ):
            self.admit_uncounted(now, request)
            return
        self.count(now, customer, request)

    def offered_load(self, now: float, request: ActiveRequest) -> float:
        """Estimate the number of requests that a customer keeps open, from local arrivals and from totals."""
        customer = request.customer
        span = ARRIVAL_DECAY_S * (1 - math.exp((self.routing.began - now) / ARRIVAL_DECAY_S))
        arrivals = customer.recent_arrivals * math.exp((customer.arrivals_at - now) / ARRIVAL_DECAY_S)
        prior = LOAD_PRIOR_S * LOAD_PRIOR * customer.plan.max_open
        own = (arrivals * customer.width * self.routing.latency[request.cls.name] + prior) / (
            span + LOAD_PRIOR_S
        )
        # From all ingresses, so a better estimate.
        reported = customer.rate * self.routing.latency[request.cls.name]
        return own + (reported - own) * customer.rate_part * math.exp(
            (customer.rate_at - now) / ARRIVAL_DECAY_S
        )

    def record_arrival(self, now: float, customer: Customer) -> None:
        """Record an arrival in the decaying count."""
        customer.recent_arrivals = (
            customer.recent_arrivals * math.exp((customer.arrivals_at - now) / ARRIVAL_DECAY_S) + 1
        )
        customer.arrivals_at = now
        customer.unreported_arrivals += 1

    def admit_uncounted(self, now: float, request: ActiveRequest) -> None:
        """Decide without a total: within an even share (at least one), and at random by `remaining_ratio`."""
        customer = request.customer
        even = max(1, customer.plan.max_open // (customer.width * self.routing.processes))
        if customer.open_requests > even or self.routing.rng.random() >= self.remaining_ratio(
            request.offered_load, customer.plan
        ):
            self.routing.refuse(now, request, self.routing.latency[request.cls.name])
            return
        self.routing.send(now, request)

    def best_uncounted_ratio(self, offered_load: float, plan: io.PlanSettings) -> float:
        """The best fraction of requests to admit without a count, given the cost of exceeding the cap."""
        if plan.name not in self.best_open_requests:
            paces = (plan.max_open * n / 20 for n in range(1, 41))
            self.best_open_requests[plan.name] = max(
                paces,
                key=lambda offered_load: offered_load
                * (1 - (1 + plan.over_cost) * overflow_probability(offered_load, plan.max_open)),
            )
        return min(1.0, self.best_open_requests[plan.name] / max(offered_load, 1e-9))

    def remaining_ratio(self, offered_load: float, plan: io.PlanSettings) -> float:
        """The best fraction to admit of the requests without a verdict; those with one occupy slots too."""
        if self.call_policy.counter_down():
            return self.best_uncounted_ratio(offered_load, plan)
        call_share = min(1.0, self.call_policy.draw_share(self.need(offered_load, plan)))
        seen = (
            call_share * offered_load * (1 - blocking_probability(call_share * offered_load, plan.max_open))
        )
        unseen = self.best_uncounted_ratio(offered_load, plan) * offered_load - seen
        return min(1.0, max(0.0, unseen) / max(offered_load * (1 - call_share), 1e-9))

    def need(self, offered_load: float, plan: io.PlanSettings) -> float:
        """The gain of a verdict on a request over admitting a fraction of requests without a count."""
        part = self.best_uncounted_ratio(offered_load, plan)
        unseen = part * (1 - (1 + plan.over_cost) * overflow_probability(part * offered_load, plan.max_open))
        return VERDICT_GAIN * max(0.0, 1 - blocking_probability(offered_load, plan.max_open) - unseen)

    def count(self, now: float, customer: Customer, request: ActiveRequest | None = None) -> None:
        """Add the change in local open requests to the window's count; a new count gets all open requests."""
        window = int(now // self.length)
        if customer.counted_in != window:
            customer.counted = 0
            customer.counted_in = window
        change = customer.open_requests - customer.counted
        if not self.routing.settings.counter or (change == 0 and request is None):
            return
        customer.counted = customer.open_requests
        name = mix(~customer.key, window)
        self.calls.setdefault(name, deque()).append((customer, window, change, request))
        amount = change + ARRIVAL_UNIT * customer.unreported_arrivals
        customer.unreported_arrivals = 0
        self.routing.actions.append(io.CounterAdd(name, amount, min(60.0, 2 * self.length)))

    def on_counter_reply(self, now: float, event: io.CounterReply) -> None:
        """Handle the reply to a call, and decide the request that waits for it, if any."""
        queue = self.calls[event.name]
        customer, window, change, request = queue.popleft()
        if not queue:
            del self.calls[event.name]
        added = self.call_policy.on_reply(event, self.routing.actions) or event.outcome is io.Outcome.TIMEOUT
        if not added and customer.counted_in == window:
            customer.counted -= change  # surely not added: it is included in the next call
        total = math.floor(event.total + ARRIVAL_UNIT / 2)
        if event.outcome is io.Outcome.OK and now > window * self.length:
            window_age_s = now - window * self.length
            customer.rate = (event.total - total) / ARRIVAL_UNIT / window_age_s
            customer.rate_at = now
            customer.rate_part = window_age_s / (window_age_s + RATE_PRIOR_S)
        if request is None or request.req.id not in self.routing.active_requests:
            return
        if event.outcome is not io.Outcome.OK:
            self.admit_uncounted(now, request)
            return
        if total > customer.plan.max_open:
            customer.cap_full_at = now
            self.routing.refuse(now, request, self.routing.latency[request.cls.name])
            return
        self.routing.send(now, request)

    def release(self, now: float, request: str, served: bool = True) -> None:
        """Handle the end of a request: release its slot, or reserve it briefly if calls are scarce."""
        customer = self.open.pop(request, None)
        if customer is not None:
            customer.open_requests -= 1
            if customer.counted_in != int(now // self.length):
                customer.counted = min(customer.counted, customer.open_requests)
            if customer.counted <= customer.open_requests:
                return  # the request isn't counted
            is_refused = not served  # the slot is not reserved
            if self.call_policy.call_share >= 1 or is_refused:
                self.count(now, customer)
                return
            wait = (1 - self.call_policy.call_share) * self.routing.settings.counter_timeout
            self.reserved_slots.append((now + wait, customer))
            self.routing.actions.append(io.SetTimer(wait, RELEASE_TIMER))

    def release_reserved(self, now: float) -> None:
        """Release the reserved slots that were not used in time."""
        while self.reserved_slots and self.reserved_slots[0][0] <= now + 1e-6:
            _, customer = self.reserved_slots.popleft()
            if customer.counted_in == int(now // self.length):
                self.count(now, customer)
            else:
                customer.counted = min(customer.counted, customer.open_requests)

    def renew_counts(self, now: float) -> None:
        """Add local open requests to a new count; if calls are scarce, only where some were counted."""
        for customer in {c.key: c for c in self.open.values()}.values():
            if customer.counted_in != int(now // self.length) and (
                customer.counted > 0 or self.call_policy.call_share >= 1
            ):
                self.count(now, customer)
