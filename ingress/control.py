"""The state machine of an ingress with quotas; its settings, events and actions are in ingress/interface.py.

This module decides on admission by the shared counter, and by local shares while the counter fails. Sampling
of the calls is in ingress/calling.py, a customer's token bucket in ingress/customer.py, usage reports between
peers in ingress/gossip.py, the cap on open requests in ingress/opencap.py, attempts in ingress/routing.py,
and the concurrency limit in ingress/concurrency_limit.py.
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

# Weight of a new verdict in a customer's admission probability; its plan's has a fifth of it.
VERDICT_WEIGHT = 0.3
PLAN_VERDICT_WEIGHT = VERDICT_WEIGHT / 5
SWEEP_TIMER = 0  # timer token; see also `opencap.RELEASE_TIMER`
GOSSIP_TIMER = 1  # timer token


class CounterCall(NamedTuple):
    """A pending counter call: the units added to a window, and the request waiting for the reply."""

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
        # By plan and whether it is a repeat.
        self.plan_admit_rates = {(p, again): 1.0 for p in self.plans for again in (False, True)}
        self.handlers: dict[type, Callable[[float, Any], Any]] = {
            io.Request: self.request,
            io.CounterReply: self.on_counter_reply,
            io.AttemptEnded: self.ended,
            io.ListUpdate: self.apply_backend_list,
            io.TimerFired: self.on_timer,
            io.PeerMessage: self.gossip.handle_peer_message,
            io.ClientGone: self.on_client_gone,
            io.AttemptStarted: self.started,
            io.AttemptWritten: self.written,
            io.Cordon: self.cordon,
            io.Cordons: self.restore,
            io.SiblingProcesses: self.set_sibling_processes,
        }

    def handle(self, now: float, event: io.Event) -> list[io.Action]:
        """Process one event at time `now` (Unix time in seconds)."""
        self.actions = []
        if type(event) in self.handlers:
            self.handlers[type(event)](now, event)
        # An idle ingress needs no timer.
        if not self.sweep_timer_set and (self.limit.in_flight or self.queue):
            self.sweep_timer_set = True
            self.actions.append(io.SetTimer(SWEEP_INTERVAL_S, SWEEP_TIMER))
        if self.gossip.unsent_usage and not self.gossip.send_scheduled:
            self.gossip.send_scheduled = True
            self.actions.append(io.SetTimer(self.gossip.every, GOSSIP_TIMER))
        return self.actions

    def on_timer(self, now: float, event: io.TimerFired) -> None:
        """Handle a timer: the sweep, a usage report to peers, or the release of reserved slots."""
        if event.token == GOSSIP_TIMER:
            self.actions += self.gossip.due_messages(now)
        elif event.token == RELEASE_TIMER:
            self.cap.release_reserved(now)
        else:
            self.sweep(now)

    # Admission.

    def request(self, now: float, received: io.Request) -> None:
        """Charge a request's units to the customer's count; a sure rejection may need no call."""
        cls = self.classes[received.class_name]
        plan = self.plans[received.plan]
        customer = self.customers.get_or_create(now, received.customer, plan)
        customer.width = max(1, received.width)
        customer.first = received.first
        customer.expire_excess(now, self.gossip.total_is_covered)
        request = self.active_requests[received.id] = ActiveRequest(received, cls, customer, now)
        if plan.rate <= 0:
            self.cap.admit(now, request)
            return
        if not self.settings.counter:
            self.admit_locally(now, request)
            return
        available = customer.available_units(now) - customer.units_in_flight
        self.call_policy.record_request()  # peers can only have used more than is known here
        if self.call_policy.sampling_active() and (
            available < received.units or customer.window_id(now) in self.gossip.spent
        ):
            self.refuse(now, request, (received.units - available) / plan.rate)
            return
        # Charging a request that is not sent would waste quota.
        if not self.limit.allows(now) and self.misses_objective(now, request):
            self.refuse(now, request, 0.0)
            return
        if received.expires_in <= 2 * self.settings.counter_timeout or not self.should_call_counter(
            now, request
        ):
            self.admit_locally(now, request)
            return
        # Peers can't report fractions of units.
        if (
            request.share_below_one
            and customer.window < customer.window_number(now) - 1
            and not self.gossip.all_peers_reachable(now, customer)
        ):
            request.charge = received.units / self.call_policy.counted_ratio()
        self.add(now, customer, request.charge + customer.pending, request)
        customer.pending = 0.0

    def should_call_counter(self, now: float, request: ActiveRequest) -> bool:
        """Whether a request calls; scarce calls go first to requests rejected without one."""
        doubtful = self.call_policy.call_share < 1 and not (
            self.gossip.all_peers_reachable(now, request.customer)
            or self.decided_by_sampling(request)
            or self.fits_local_share(now, request)
        )
        return self.call_policy.should_call(float(doubtful))

    def add(self, now: float, customer: Customer, units: float, request: ActiveRequest | None) -> None:
        """Call the counter to add units to the count of the customer's current window."""
        window = customer.window_number(now)
        name = customer.name(now)
        self.calls.setdefault(name, deque()).append(CounterCall(customer, window, units, request))
        customer.units_in_flight += request.charge if request else 0.0
        self.call_policy.record_call()
        self.actions.append(io.CounterAdd(name, units, min(60.0, 3 * customer.length)))

    def on_counter_reply(self, now: float, event: io.CounterReply) -> None:
        """Handle a counter reply: admit, reject and reverse the charge, or decide by the local share."""
        if event.name in self.cap.calls:
            self.cap.on_counter_reply(now, event)
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
        if not self.call_policy.on_reply(event, self.actions):
            # The units are added again with the next call; if they were counted after all, the refill
            # compensates.
            customer.pending += call.units - undecided
            if request is not None:
                self.admit_locally(now, request)
            return
        total = event.total
        if event.outcome is not io.Outcome.OK:
            # The amount was added, but the total is unknown: use the last total plus this amount as a lower
            # bound.
            total = call.units + (customer.total if customer.window == call.window else 0.0)
        customer.apply_total(now, call.window, call.units, total, undecided, self.gossip.total_is_covered)
        if request is not None:
            self._decide_by_total(now, request)

    def _decide_by_total(self, now: float, request: ActiveRequest) -> None:
        """Admit a request by the customer's corrected level, or reject it and reverse the charge."""
        customer = request.customer
        fits = customer.available_units(now) - request.req.units >= 0
        self._learn_verdict(now, request, fits)
        if fits:
            self.admit(now, customer, request.charge, request)
            self.cap.admit(now, request)
            return
        if customer.carries_over or self.call_policy.call_share >= 1:
            self.add(now, customer, -request.charge, None)
        window_id = customer.window_id(now)
        is_spent = not customer.carries_over and customer.level < 1 and window_id not in self.gossip.spent
        if self.settings.peers and is_spent:  # nothing more fits, so peers need not call
            self.actions.append(io.SendPeerMessage(None, window_id))
            self.gossip.handle_peer_message(now, io.PeerMessage(self.settings.me, window_id))
        self.refuse(now, request, (request.req.units - customer.available_units(now)) / customer.plan.rate)

    def _learn_verdict(self, now: float, request: ActiveRequest, fits: bool) -> None:
        """Adapt the admission probabilities of a customer and its plan to a verdict."""
        probability = self.admit_probability(now, request)
        request.customer.admit_rate = probability + VERDICT_WEIGHT * (fits - probability)
        key = request.req.plan, request.req.is_repeat
        self.plan_admit_rates[key] += PLAN_VERDICT_WEIGHT * (fits - self.plan_admit_rates[key])

    def on_client_gone(self, now: float, event: io.ClientGone) -> None:
        """Handle a disconnected client: no response is needed, but an attempt in flight remains open."""
        request = self.active_requests.pop(event.request, None)
        if request is not None and not request.attempt_out:
            self.cap.release(now, event.request)

    def admit(
        self, now: float, customer: Customer, units: float, request: ActiveRequest | None = None
    ) -> None:
        """Take admitted units from the customer's bucket, and schedule their report to peers."""
        customer.use(now, units)
        if request is not None:
            request.charged_units = units
        self.gossip.record_admission(customer, units)

    def admit_probability(self, now: float, request: ActiveRequest) -> float:
        """The probability that a total would admit: the customer's recent one, which decays to its plan's."""
        customer = request.customer
        common = self.plan_admit_rates[request.req.plan, request.req.is_repeat]
        return common + (customer.admit_rate - common) * math.exp(
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
            # Admitted without being counted: customers that return here soon use more than most.
            customer.admit_rate *= 1 - VERDICT_WEIGHT * good
            if good:
                self.cap.admit(now, request)
            else:
                self.refuse(now, request, 0.0)
            return
        elif customer.plan.rate > 0:
            if not self.fits_local_share(now, request):
                self.refuse(now, request, 0.0)
                return
            customer.pending += units
        self.admit(now, customer, units, request)
        self.cap.admit(now, request)

    @staticmethod
    def decided_by_sampling(request: ActiveRequest) -> bool:
        """Whether a request is admitted at random by its probability: a share is less than one request."""
        return request.share_below_one and request.customer.plan.rate > 0 >= request.customer.plan.limit_rate

    def fits_local_share(self, now: float, request: ActiveRequest) -> bool:
        """Whether this ingress's share of the bucket, reduced by uncounted usage, has room for a request."""
        customer = request.customer
        share = max(1.0 / customer.width, customer.local_fraction) / self.processes
        # All local shares together with admissions by totals must stay within the limit.
        if customer.plan.limit_rate > 0:
            times = customer.plan.limit_rate / customer.plan.rate - (
                0.0 if self.call_policy.counter_down() else 1.0
            )
            share = min(share, max(0.0, times) / customer.width / self.processes)
        unused = now - customer.level_at - (customer.plan.burst - customer.level) / customer.plan.rate
        # Refilled since the bucket was full; this prevents a wave of rejections after an outage.
        if unused > 0:
            customer.pending -= min(share * customer.plan.rate * unused, max(0.0, customer.pending))
            customer.level = customer.plan.burst
            customer.level_at = now
        own = max(0.0, customer.pending)
        return (
            own + customer.units_in_flight + request.req.units
            <= min(customer.plan.burst, customer.available_units(now) + own) * share
        )

    def refuse(self, now: float, request: ActiveRequest, wait: float) -> None:
        """Send the final response: a rejection, or a failure if a rejection would make a false promise."""
        del self.active_requests[request.req.id]
        self.cap.release(now, request.req.id, served=False)
        if request.charged_units > 0 and request.attempts == 0:  # a request that was never sent uses no quota
            request.customer.pending -= request.charged_units
            self.admit(now, request.customer, -request.charged_units)
        keyed = request.cls.effect is io.Effect.KEYED and request.cls.group is io.Group.ALL
        if request.ran_at is not None and request.cls.effect is not io.Effect.SAFE and not keyed:
            self.actions.append(io.Fail(request.req.id))
        else:
            self.actions.append(io.Refuse(request.req.id, min(max(wait, 0.0), self.settings.max_retry_after)))

    def on_served(self, now: float, request: ActiveRequest, event: io.AttemptEnded) -> None:
        """Charge the difference to the actual units reported by the backend, with the next call."""
        if event.outcome is io.Outcome.OK and event.true_units > 0 and self.settings.settles:
            request.customer.pending += event.true_units - request.req.units
            self.admit(now, request.customer, event.true_units - request.req.units)

    def on_request_closed(self, now: float, request: str) -> None:
        """Handle the end of an open request."""
        self.cap.release(now, request)

    def on_sweep(self, now: float) -> None:
        """Report open requests to a new count; called at each sweep."""
        self.cap.renew_counts(now)
