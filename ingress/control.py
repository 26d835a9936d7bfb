"""The state machine of a quota gateway; its settings, events and actions are in ingress/interface.py.

Here: admission by the shared counter, and by local shares while the counter fails. Sampling of the calls is
in ingress/calling.py, a customer's token bucket in ingress/customer.py, usage reports between peers in
ingress/gossip.py, the cap on open requests in ingress/opencap.py, attempts in ingress/routing.py, the
limit on those in flight in ingress/concurrency_limit.py.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from ingress import interface as io
from ingress.calling import CounterCallPolicy
from ingress.customer import Customer, Customers
from ingress.flight import ActiveRequest
from ingress.gossip import Gossip
from ingress.opencap import RELEASE_TIMER, ConcurrencyCap
from ingress.routing import SWEEP_INTERVAL_S, Routing

# Weight of a new verdict in a customer's admission probability (a fifth of it in its plan's).
VERDICT_WEIGHT = 0.3
PLAN_VERDICT_WEIGHT = VERDICT_WEIGHT / 5
SWEEP_TIMER = 0  # tokens of timers; a third is `opencap.RELEASE_TIMER`
GOSSIP_TIMER = 1


class CounterCall(NamedTuple):
    """A call to the counter without a reply: units added in a window, and the request that waits for it."""

    customer: Customer
    window: int
    units: float
    request: ActiveRequest | None


class Gateway(Routing):
    """One ingress: `handle` takes an event and returns the actions to carry out."""

    def __init__(self, settings: io.Settings, seed: int, now: float) -> None:
        plans = [p.name for p in settings.plans]
        super().__init__(settings, settings.classes, plans, random.Random(seed), now)
        self.plans = {p.name: p for p in settings.plans}
        self.customers = Customers(settings)
        self.call_policy = CounterCallPolicy(settings, self.rng)
        self.gossip = Gossip(settings, self.customers, self.call_policy, now)
        self.calls: dict[int, deque[CounterCall]] = {}  # by the count's name
        self.cap = ConcurrencyCap(self, self.call_policy)
        self.chance = {(p, again): 1.0 for p in self.plans for again in (False, True)}  # admitted recently
        self.on: dict[type, Callable[[float, Any], Any]] = {
            io.Request: self.request,
            io.CounterReply: self.counted,
            io.AttemptEnded: self.ended,
            io.ListUpdate: self.listed,
            io.TimerFired: self.timer,
            io.PeerMessage: self.gossip.handle_peer_message,
            io.ClientGone: self.gone,
            io.AttemptStarted: self.started,
            io.AttemptWritten: self.written,
            io.Cordon: self.cordon,
            io.Cordons: self.restore,
            io.SiblingProcesses: self.set_sibling_processes,
        }

    def handle(self, now: float, event: io.Event) -> list[io.Action]:
        """Process one event at time `now` (Unix time in seconds)."""
        self.acts = []
        if type(event) in self.on:
            self.on[type(event)](now, event)
        if not self.armed and (self.limit.in_flight or self.queue):  # an idle ingress costs nothing
            self.armed = True
            self.acts.append(io.SetTimer(SWEEP_INTERVAL_S, SWEEP_TIMER))
        if self.gossip.unsent_usage and not self.gossip.send_scheduled:
            self.gossip.send_scheduled = True
            self.acts.append(io.SetTimer(self.gossip.every, GOSSIP_TIMER))
        return self.acts

    def timer(self, now: float, event: io.TimerFired) -> None:
        """A timer is due: the sweep, the usage report to peers, or the release of reserved places."""
        if event.token == GOSSIP_TIMER:
            self.acts += self.gossip.due_messages(now)
        elif event.token == RELEASE_TIMER:
            self.cap.give_back(now)
        else:
            self.sweep(now)

    # Admission

    def request(self, now: float, received: io.Request) -> None:
        """Charge a request's units to the customer's count; sure refusals may need no call."""
        cls = self.classes[received.class_name]
        plan = self.plans[received.plan]
        customer = self.customers.get_or_create(now, received.customer, plan)
        customer.width = max(1, received.width)
        customer.first = received.first
        customer.expire_excess(now, self.gossip.total_is_covered)
        request = self.active_requests[received.id] = ActiveRequest(received, cls, customer, now)
        if plan.rate <= 0:
            self.cap.enter(now, request)
            return
        if not self.s.counter:
            self.admit_locally(now, request)
            return
        known = customer.available_units(now) - customer.units_in_flight
        self.call_policy.record_request()  # peers can only have taken more than is known
        if self.call_policy.sampling_active() and (
            known < received.units or customer.window_id(now) in self.gossip.spent
        ):
            self.refuse(now, request, (received.units - known) / plan.rate)
            return
        # A charge for a request that is not sent would use the quota up.
        if not self.limit.allows(now) and self.late(now, request):
            self.refuse(now, request, 0.0)
            return
        if received.expires_in <= 2 * self.s.counter_timeout or not self.should_call_counter(now, request):
            self.admit_locally(now, request)
            return
        if (
            request.share_below_one
            and customer.window < customer.window_number(now) - 1
            and not self.gossip.all_peers_reachable(now, customer)
        ):  # peers cannot report
            request.charge = received.units / self.call_policy.counted_ratio()
        self.add(now, customer, request.charge + customer.pending, request)
        customer.pending = 0.0

    def should_call_counter(self, now: float, request: ActiveRequest) -> bool:
        """Whether a request calls: scarce calls go first to requests that would be refused without one."""
        doubtful = self.call_policy.call_share < 1 and not (
            self.gossip.all_peers_reachable(now, request.customer)
            or self.decided_by_sampling(request)
            or self.fits_local_share(now, request)
        )
        return self.call_policy.should_call(float(doubtful))

    def add(self, now: float, customer: Customer, units: float, request: ActiveRequest | None) -> None:
        """Call the counter: add units to the count of the customer's current window."""
        window = customer.window_number(now)
        name = customer.name(now)
        self.calls.setdefault(name, deque()).append(CounterCall(customer, window, units, request))
        customer.units_in_flight += request.charge if request else 0.0
        self.call_policy.record_call()
        self.acts.append(io.CounterAdd(name, units, min(60.0, 3 * customer.length)))

    def counted(self, now: float, event: io.CounterReply) -> None:
        """A total came, or none: admit, refuse and add the charge back, or decide by the local share."""
        if event.name in self.cap.calls:
            self.cap.counted(now, event)
            return
        queue = self.calls.get(event.name)
        if not queue:
            return
        call = queue.popleft()
        if not queue:
            del self.calls[event.name]
        customer = call.customer
        charge = call.request.charge if call.request else 0.0
        customer.units_in_flight -= charge
        is_active = call.request is not None and call.request.req.id in self.active_requests
        request = call.request if is_active else None
        undecided = request.charge if request else 0.0
        if not self.call_policy.answers(event, self.acts):
            # Added again with the next call: if it was counted after all, the refill makes up for it.
            customer.pending += call.units - undecided
            if request is not None:
                self.admit_locally(now, request)
            return
        total = event.total
        if event.outcome is not io.Outcome.OK:
            # Added, but the total is unknown: it is at least the known one and this.
            total = call.units + (customer.total if customer.window == call.window else 0.0)
        customer.apply_total(now, call.window, call.units, total, undecided, self.gossip.total_is_covered)
        if request is not None:
            self._decide_by_total(now, request)

    def _decide_by_total(self, now: float, request: ActiveRequest) -> None:
        """Admit a request by the customer's corrected level, or refuse it and add the charge back."""
        customer = request.customer
        fits = customer.available_units(now) - request.req.units >= 0
        self._learn_verdict(now, request, fits)
        if fits:
            self.admit(now, customer, request.charge, request)
            self.cap.enter(now, request)
            return
        if customer.known or self.call_policy.call_share >= 1:
            self.add(now, customer, -request.charge, None)
        window_id = customer.window_id(now)
        is_spent = not customer.known and customer.level < 1 and window_id not in self.gossip.spent
        if self.s.peers and is_spent:  # nothing more fits: peers need not call
            self.acts.append(io.SendPeerMessage(None, window_id))
            self.gossip.handle_peer_message(now, io.PeerMessage(self.s.me, window_id))
        self.refuse(now, request, (request.req.units - customer.available_units(now)) / customer.plan.rate)

    def _learn_verdict(self, now: float, request: ActiveRequest, fits: bool) -> None:
        """Adjust the admission probabilities of a customer and its plan to a verdict."""
        probability = self.admit_probability(now, request)
        request.customer.chance = probability + VERDICT_WEIGHT * (fits - probability)
        key = request.req.plan, request.req.is_repeat
        self.chance[key] += PLAN_VERDICT_WEIGHT * (fits - self.chance[key])

    def gone(self, now: float, event: io.ClientGone) -> None:
        """The client has left: no answer is owed; an attempt in flight stays open until it ends."""
        request = self.active_requests.pop(event.request, None)
        if request is not None and not request.attempt_out:
            self.cap.leave(now, event.request)

    def admit(
        self, now: float, customer: Customer, units: float, request: ActiveRequest | None = None
    ) -> None:
        """Take admitted units off the customer's bucket, and schedule their report to peers."""
        customer.use(now, units)
        if request is not None:
            request.charged_units = units
        self.gossip.record_admission(customer, units)

    def admit_probability(self, now: float, request: ActiveRequest) -> float:
        """The probability that a total would admit: the customer's recent one, decaying into its plan's."""
        customer = request.customer
        common = self.chance[request.req.plan, request.req.is_repeat]
        return common + (customer.chance - common) * math.exp(
            (customer.level_at - now) / (7 * customer.length)
        )

    def admit_locally(self, now: float, request: ActiveRequest) -> None:
        """Admit by this ingress's share of the bucket; the usage is reported with the next call."""
        customer = request.customer
        units = request.req.units
        if self.gossip.all_peers_reachable(now, customer):
            if customer.available_units(now) - customer.units_in_flight < units:
                self.refuse(now, request, (units - customer.available_units(now)) / customer.plan.rate)
                return
            customer.pending += units
        elif self.decided_by_sampling(request):
            good = self.rng.random() < self.admit_probability(now, request)
            # Admitted uncounted: who returns here soon uses more than most.
            customer.chance *= 1 - VERDICT_WEIGHT * good
            if good:
                self.cap.enter(now, request)
            else:
                self.refuse(now, request, 0.0)
            return
        elif customer.plan.rate > 0:
            if not self.fits_local_share(now, request):
                self.refuse(now, request, 0.0)
                return
            customer.pending += units
        self.admit(now, customer, units, request)
        self.cap.enter(now, request)

    @staticmethod
    def decided_by_sampling(request: ActiveRequest) -> bool:
        """Whether a request is admitted at random, by its probability, as a share is below one request."""
        return request.share_below_one and request.customer.plan.rate > 0 >= request.customer.plan.limit_rate

    def fits_local_share(self, now: float, request: ActiveRequest) -> bool:
        """Whether this ingress's share of the bucket, less uncounted usage, has room for a request."""
        customer = request.customer
        share = max(1.0 / customer.width, customer.part) / self.processes
        if customer.plan.limit_rate > 0:  # all local shares together, and what totals admit, stay within it
            times = customer.plan.limit_rate / customer.plan.rate - (
                0.0 if self.call_policy.counter_down() else 1.0
            )
            share = min(share, max(0.0, times) / customer.width / self.processes)
        unused = now - customer.level_at - (customer.plan.burst - customer.level) / customer.plan.rate
        if unused > 0:  # refilled since the bucket was full: no wave of refusals when an outage ends
            customer.pending -= min(share * customer.plan.rate * unused, max(0.0, customer.pending))
            customer.level = customer.plan.burst
            customer.level_at = now
        own = max(0.0, customer.pending)
        return (
            own + customer.units_in_flight + request.req.units
            <= min(customer.plan.burst, customer.available_units(now) + own) * share
        )

    def refuse(self, now: float, request: ActiveRequest, wait: float) -> None:
        """Final answer: refuse, or fail where a refusal would wrongly promise that a retry is harmless."""
        del self.active_requests[request.req.id]
        self.cap.leave(now, request.req.id, served=False)
        if request.charged_units > 0 and request.attempts == 0:  # a request that was never sent uses no quota
            request.customer.pending -= request.charged_units
            self.admit(now, request.customer, -request.charged_units)
        keyed = request.cls.effect is io.Effect.KEYED and request.cls.group is io.Group.ALL
        if request.ran_at is not None and request.cls.effect is not io.Effect.SAFE and not keyed:
            self.acts.append(io.Fail(request.req.id))
        else:
            self.acts.append(io.Refuse(request.req.id, min(max(wait, 0.0), self.s.max_retry_after)))

    def served(self, now: float, request: ActiveRequest, event: io.AttemptEnded) -> None:
        """Charge the difference to the true units, reported by the backend, with the next call."""
        if event.outcome is io.Outcome.OK and event.true_units > 0 and self.s.settles:
            request.customer.pending += event.true_units - request.req.units
            self.admit(now, request.customer, event.true_units - request.req.units)

    def left(self, now: float, request: str) -> None:
        """A request is no longer open."""
        self.cap.leave(now, request)

    def renew(self, now: float) -> None:
        """At each sweep: report open requests to a new count."""
        self.cap.renew(now)
