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
from typing import Any

from ingress import interface as io
from ingress.calling import CounterCallPolicy
from ingress.customer import Customer, Customers
from ingress.flight import ActiveRequest
from ingress.gossip import Gossip
from ingress.opencap import KEEP, ConcurrencyCap
from ingress.routing import SWEEP_INTERVAL_S, Routing

VERDICT = 0.3  # weight of a new verdict in a customer's admission probability (a fifth of it in its plan's)
# tokens of timers
SWEEP_TIMER = 0
GOSSIP_TIMER = 1


class Gateway(Routing):
    """One ingress: `handle` takes an event and returns the actions to carry out."""

    def __init__(self, settings: io.Settings, seed: int, now: float) -> None:
        plans = [p.name for p in settings.plans]
        super().__init__(settings, settings.classes, plans, random.Random(seed), now)
        self.plans = {p.name: p for p in settings.plans}
        self.customers = Customers(settings)
        self.call_policy = CounterCallPolicy(settings, self.rng)
        self.gossip = Gossip(settings, self.customers, self.call_policy, now)
        self.calls: dict[int, deque[tuple[Customer, int, float, ActiveRequest | None]]] = {}
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

    def timer(self, now: float, e: io.TimerFired) -> None:
        """A timer is due: the sweep, the usage report to peers, or the release of reserved places."""
        if e.token == GOSSIP_TIMER:
            self.acts += self.gossip.due_messages(now)
        elif e.token == KEEP:
            self.cap.give_back(now)
        else:
            self.sweep(now)

    # Admission

    def request(self, now: float, r: io.Request) -> None:
        """Charge a request's units to the customer's count; sure refusals may need no call."""
        cls = self.classes[r.class_name]
        plan = self.plans[r.plan]
        c = self.customers.get_or_create(now, r.customer, plan)
        c.width = max(1, r.width)
        c.first = r.first
        c.expire_excess(now, self.gossip.total_is_covered)
        f = self.active_requests[r.id] = ActiveRequest(r, cls, c, now)
        if plan.rate <= 0:
            return self.cap.enter(now, f)
        if not self.s.counter:
            return self.admit_locally(now, f)
        known = c.available_units(now) - c.units_in_flight
        self.call_policy.note_request()  # peers can only have taken more than is known
        if self.call_policy.sampling_active() and (known < r.units or c.window_id(now) in self.gossip.spent):
            return self.refuse(now, f, (r.units - known) / plan.rate)
        # A charge for a request that is not sent would use the quota up.
        if not self.limit.allows(now) and self.late(now, f):
            return self.refuse(now, f, 0.0)
        if r.expires_in <= 2 * self.s.counter_timeout or not self.should_call_counter(now, f):
            return self.admit_locally(now, f)
        if (
            f.share_below_one
            and c.window < c.window_number(now) - 1
            and not self.gossip.all_peers_reachable(now, c)
        ):  # peers cannot report
            f.charge = r.units / self.call_policy.part()
        self.add(now, c, f.charge + c.pending, f)
        c.pending = 0.0

    def should_call_counter(self, now: float, f: ActiveRequest) -> bool:
        """Whether a request calls: scarce calls go first to requests that would be refused without one."""
        doubtful = self.call_policy.ask < 1 and not (
            self.gossip.all_peers_reachable(now, f.customer)
            or self.decided_by_sampling(f)
            or self.fits_local_share(now, f)
        )
        return self.call_policy.should_call(float(doubtful))

    def add(self, now: float, c: Customer, units: float, f: ActiveRequest | None) -> None:
        """Call the counter: add units to the count of the customer's current window."""
        window = c.window_number(now)
        name = c.name(now)
        self.calls.setdefault(name, deque()).append((c, window, units, f))
        c.units_in_flight += f.charge if f else 0.0
        self.call_policy.note_call()
        self.acts.append(io.CounterAdd(name, units, min(60.0, 3 * c.length)))

    def counted(self, now: float, e: io.CounterReply) -> None:
        """A total came, or none: admit, refuse and add the charge back, or decide by the local share."""
        if e.name in self.cap.calls:
            return self.cap.counted(now, e)
        queue = self.calls.get(e.name)
        if not queue:
            return
        c, window, units, f = queue.popleft()
        if not queue:
            del self.calls[e.name]
        c.units_in_flight -= f.charge if f else 0.0
        f = f if f is not None and f.req.id in self.active_requests else None
        if not self.call_policy.answers(e, self.acts):
            # Added again with the next call: if it was counted after all, the refill makes up for it.
            c.pending += units - (f.charge if f else 0.0)
            return self.admit_locally(now, f) if f else None
        # Added, but the total is unknown: it is at least the known total and this.
        total = e.total if e.outcome is io.Outcome.OK else units + (c.total if c.window == window else 0.0)
        c.apply_total(now, window, units, total, f.charge if f else 0.0, self.gossip.total_is_covered)
        if f is None:
            return
        good = c.available_units(now) - f.req.units >= 0
        c.chance = self.admit_probability(now, f) + VERDICT * (good - self.admit_probability(now, f))
        common = self.chance[f.req.plan, f.req.is_repeat]
        self.chance[f.req.plan, f.req.is_repeat] = common + VERDICT / 5 * (good - common)
        if good:
            self.admit(now, c, f.charge, f)
            return self.cap.enter(now, f)
        if c.known or self.call_policy.ask >= 1:
            self.add(now, c, -f.charge, None)  # refused: the charge is added back
        if self.s.peers and not c.known and c.level < 1 and c.window_id(now) not in self.gossip.spent:
            self.acts.append(
                io.SendPeerMessage(None, c.window_id(now))
            )  # nothing more fits: peers need not call
            self.gossip.handle_peer_message(now, io.PeerMessage(self.s.me, c.window_id(now)))
        self.refuse(now, f, (f.req.units - c.available_units(now)) / c.plan.rate)

    def gone(self, now: float, e: io.ClientGone) -> None:
        """The client has left: no answer is owed; an attempt in flight stays open until it ends."""
        f = self.active_requests.pop(e.request, None)
        if f is not None and not f.attempt_out:
            self.cap.leave(now, e.request)

    def admit(self, now: float, c: Customer, units: float, f: ActiveRequest | None = None) -> None:
        """Take admitted units off the customer's bucket, and schedule their report to peers."""
        c.use(now, units)
        if f is not None:
            f.charged_units = units
        self.gossip.record_admission(c, units)

    def admit_probability(self, now: float, f: ActiveRequest) -> float:
        """The probability that a total would admit: the customer's recent one, decaying into its plan's."""
        c = f.customer
        common = self.chance[f.req.plan, f.req.is_repeat]
        return common + (c.chance - common) * math.exp((c.at - now) / (7 * c.length))

    def admit_locally(self, now: float, f: ActiveRequest) -> None:
        """Admit by this ingress's share of the bucket; the usage is reported with the next call."""
        c = f.customer
        units = f.req.units
        if self.gossip.all_peers_reachable(now, c):
            if c.available_units(now) - c.units_in_flight < units:
                return self.refuse(now, f, (units - c.available_units(now)) / c.plan.rate)
            c.pending += units
        elif self.decided_by_sampling(f):
            good = self.rng.random() < self.admit_probability(now, f)
            c.chance *= 1 - VERDICT * good  # admitted uncounted: who returns here soon uses more than most
            return self.cap.enter(now, f) if good else self.refuse(now, f, 0.0)
        elif c.plan.rate > 0:
            if not self.fits_local_share(now, f):
                return self.refuse(now, f, 0.0)
            c.pending += units
        self.admit(now, c, units, f)
        self.cap.enter(now, f)

    @staticmethod
    def decided_by_sampling(f: ActiveRequest) -> bool:
        """Whether a request is admitted at random, by its probability, as a share is below one request."""
        return f.share_below_one and f.customer.plan.rate > 0 >= f.customer.plan.ceiling_rate

    def fits_local_share(self, now: float, f: ActiveRequest) -> bool:
        """Whether this ingress's share of the bucket, less uncounted usage, has room for a request."""
        c = f.customer
        share = max(1.0 / c.width, c.part) / self.processes
        if c.plan.ceiling_rate > 0:  # all local shares together, and what totals admit, stay within it
            times = c.plan.ceiling_rate / c.plan.rate - (0.0 if self.call_policy.counter_down() else 1.0)
            share = min(share, max(0.0, times) / c.width / self.processes)
        unused = now - c.at - (c.plan.burst - c.level) / c.plan.rate
        if unused > 0:  # refilled since the bucket was full: no wave of refusals when an outage ends
            c.pending -= min(share * c.plan.rate * unused, max(0.0, c.pending))
            c.level = c.plan.burst
            c.at = now
        own = max(0.0, c.pending)
        return (
            own + c.units_in_flight + f.req.units <= min(c.plan.burst, c.available_units(now) + own) * share
        )

    def refuse(self, now: float, f: ActiveRequest, wait: float) -> None:
        """Final answer: refuse, or fail where a refusal would wrongly promise that a retry is harmless."""
        del self.active_requests[f.req.id]
        self.cap.leave(now, f.req.id, served=False)
        if f.charged_units > 0 and f.attempts == 0:  # a request that was never sent uses no quota
            f.customer.pending -= f.charged_units
            self.admit(now, f.customer, -f.charged_units)
        keyed = f.cls.effect is io.Effect.KEYED and f.cls.group is io.Group.ALL
        if f.ran_at is not None and f.cls.effect is not io.Effect.SAFE and not keyed:
            self.acts.append(io.Fail(f.req.id))
        else:
            self.acts.append(io.Refuse(f.req.id, min(max(wait, 0.0), self.s.max_retry_after)))

    def served(self, now: float, f: ActiveRequest, e: io.AttemptEnded) -> None:
        """Charge the difference to the true units, reported by the backend, with the next call."""
        if e.outcome is io.Outcome.OK and e.true_units > 0 and self.s.settles:
            f.customer.pending += e.true_units - f.req.units
            self.admit(now, f.customer, e.true_units - f.req.units)

    def left(self, now: float, request: str) -> None:
        """A request is no longer open."""
        self.cap.leave(now, request)

    def renew(self, now: float) -> None:
        """At each sweep: report open requests to a new count."""
        self.cap.renew(now)
