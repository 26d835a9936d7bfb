"""Load balancing over one fleet of backends: selection, attempts, retries, and learning from outcomes.

Subclasses decide on admission: they pass requests to `send`, and implement `refuse` for final responses.
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

EJECTION_ERROR_RATE = 0.5  # a backend is ejected at this error rate
# A backend counts as unresponsive, and an attempt as hung, after this multiple of the usual latency.
SILENT_LATENCY_RATIO = 8.0
SWEEP_INTERVAL_S = 0.05  # interval of checks for unresponsive backends and of the queue
# Upper limit of a class's estimated unloaded latency, as a fraction of its objective.
MAX_BASE_LATENCY_RATIO = 0.16
REJECTION_COST = 4.0  # added relative cost of a backend that always rejects a class or plan
REJECTION_MEMORY_S = 10.0  # decay time of observed rejections
LATENCY_RATIO_CAP = 4.0  # latencies are capped at this multiple of the unloaded latency
# Used fraction of the configured budget of a backend in slow start, because the warm rate is an estimate.
SLOW_START_SAFETY = 0.5
# If a backend in slow start has more requests from all ingresses than this, a response adds no token.
SLOW_START_QUEUE_LIMIT = 4.0
SLOW_START_BURST = 1.5  # maximum number of saved tokens (attempts) for a backend in slow start
UNTRIED_COST = 1.15  # relative cost of a backend that has not responded here yet
ERROR_COST = 4.0  # added relative cost of a backend at which every attempt fails
TIE_BREAK_COST = 0.02  # maximum random cost added to break ties
RESPONSE_RATE_DECAY_S = 5.0  # decay time of the response rate
ERROR_STEP = 0.3  # step of a backend's error rate towards 1 after a failure
ERROR_DECAY = 0.8  # multiplies a backend's error rate after a success
REJECTION_STEP = 0.1  # weight of a response in the usual fraction of rejections
LATENCY_STEP = 0.05  # weight of a success in the usual latency of its class
BASE_STEP = 0.01  # weight of the usual latency in the unloaded latency
OVERLOADED_BASE_STEP = 0.0005  # the same under overload
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
        self.settings = settings
        self.rng = rng
        self.began = now
        self.classes = {c.name: c for c in classes}
        self.active_requests: dict[str, ActiveRequest] = {}
        self.fleet = Fleet(settings, rng)
        # Of this ingress; during an upgrade, they divide the ingress's share among themselves.
        self.processes = 1
        self.members = self.fleet.members
        self.queue = list[ActiveRequest]()  # in order of decreasing value, then of arrival
        # Usual latency in seconds by class.
        self.latency = {c.name: c.objective * MAX_BASE_LATENCY_RATIO for c in classes}
        self.unloaded_latency = dict(self.latency)  # estimated latency without load
        self.sweep_timer_set = False  # whether the sweep timer is set
        self.limit = ConcurrencyLimit(now)
        self.rejection_share = dict.fromkeys((*self.classes, *plans), 0.0)  # rejected fraction of attempts
        # Attempts per second at one warm backend.
        self.rate = 0.0
        self.rate_at = now
        self.latency_ratio_step = 0.1
        self.actions: list[io.Action] = []

    # Implemented by subclasses.

    def refuse(self, now: float, request: ActiveRequest, wait: float) -> None:
        """Send the final response: a rejection, or a failure if a rejection would make a false promise."""
        raise NotImplementedError

    def on_served(self, now: float, request: ActiveRequest, event: io.AttemptEnded) -> None:
        """Called when an attempt has produced a request's final response."""

    def on_request_closed(self, now: float, request: str) -> None:
        """Called when a request is no longer open."""

    def on_sweep(self, now: float) -> None:
        """Called at each sweep."""

    # Attempts.

    def misses_objective(self, now: float, request: ActiveRequest) -> bool:
        """Whether a request that would have to be queued can't meet its objective."""
        ahead = 1 + bisect.bisect_right(self.queue, -request.value, key=lambda g: -g.value)
        return (
            now
            + ahead * self.latency[request.cls.name] / self.limit.slots
            + self.unloaded_latency[request.cls.name]
            > request.due_at
        )

    def send(self, now: float, request: ActiveRequest) -> None:
        """Start an attempt, or queue the request if a slot should become free in time, or reject it."""
        best = self.choose(now, request)
        if best is None:
            if self.misses_objective(now, request):
                self.refuse(now, request, 0.0)  # at once instead of when it is overdue
                return
            bisect.insort_right(self.queue, request, key=lambda g: -g.value)
            return
        request.attempts += 1
        request.sent = now
        request.attempt_out = True
        if not request.req.streams_body:  # a backend has no work before the request is complete
            self.occupy(now, request, best)
        if self.fleet.slow_start_capacity(now, best) < 1.0:
            best.tokens -= 1.0
        self.actions.append(io.Attempt(request.req.id, best.entry.backend))

    def occupy(self, now: float, request: ActiveRequest, backend: Backend) -> None:
        """Count an attempt in flight at a backend."""
        backend.in_flight[request.req.id] = (now, request.cls.name, request.req.plan)
        self.limit.in_flight += 1

    def written(self, now: float, event: io.AttemptWritten) -> None:
        """Handle the complete transmission of a streamed body; the latency is measured from here."""
        request = self.active_requests.get(event.request)
        backend = self.fleet.backends.get(event.backend)
        if request is not None and backend is not None:
            request.sent = now
            request.due_at = now + min(request.cls.objective, request.req.expires_in)
            self.occupy(now, request, backend)

    def dispatch(self, now: float) -> None:
        """Send queued requests while slots are free; only the sweep reviews the complete queue."""
        for _ in range(len(self.queue)):
            if not self.limit.allows(now):
                break
            request = self.queue.pop(0)
            if request.req.id in self.active_requests:
                self.send(now, request)

    def review(self, now: float) -> None:
        """Send queued requests, or reject those that can't meet their objective, so that none is starved."""
        queued = self.queue
        self.queue = []
        for request in queued:
            if request.req.id in self.active_requests:
                self.send(now, request)

    def sweep(self, now: float) -> None:
        """Detect unresponsive backends by overdue responses, cancel hung attempts, and review the queue."""
        self.sweep_timer_set = False
        self.on_sweep(now)
        for backend in [x for x in self.fleet.backends.values() if x.in_flight]:
            slow = SILENT_LATENCY_RATIO * max(1.0, backend.latency_ratio)
            silent = backend.overdue_ratio(now, self.latency, slow) >= slow
            if silent:
                self.actions += self.fleet.eject(now, backend, "silent")
            # Move requests that may be repeated; a long request at a responsive backend is left alone.
            for name in backend.in_flight:
                request = self.active_requests.get(name)
                if (
                    request is None
                    or not self.settings.may_cancel
                    or now - request.sent <= (2 if silent else slow) * self.latency[request.cls.name]
                ):
                    continue
                if self.may_move(now, request) or self.blocks(now, request, slow):
                    self.actions.append(io.CancelAttempt(name, request.attempts - 1))
        self.review(now)

    def may_move(self, now: float, request: ActiveRequest) -> bool:
        """Whether a request whose attempt hangs may be sent to another backend instead."""
        return self.may_send(now, request, request.ran_at or request.sent)

    def blocks(self, now: float, request: ActiveRequest, slow: float) -> bool:
        """Whether an attempt hangs past its objective and merely occupies a slot of its customer's cap."""
        return (
            request.customer.plan.max_open > 0
            and now > request.due_at
            and now - request.sent > slow * self.latency[request.cls.name]
        )

    def may_send(self, now: float, request: ActiveRequest, ran_at: float | None) -> bool:
        """Whether another attempt is allowed, also by the class's rules if an earlier one may have run."""
        if (
            request.attempts >= self.settings.max_attempts
            or now + self.unloaded_latency[request.cls.name] > request.due_at
        ):
            return False
        return (
            ran_at is None
            or request.cls.effect is io.Effect.SAFE
            or (
                request.cls.effect is io.Effect.KEYED and now < ran_at + request.cls.window - SWEEP_INTERVAL_S
            )
        )

    def choose(self, now: float, request: ActiveRequest) -> Backend | None:
        """The eligible backend with the lowest cost, which depends on attempts in flight and learnt speed."""
        if not self.limit.allows(now):
            return None
        best: Backend | None = None
        least = 0.0
        keys = [
            (key, 1 + REJECTION_COST * self.rejection_share[key])
            for key in (request.cls.name, request.req.plan)
        ]
        for backend in self.fleet.backends.values():
            if not self._is_candidate(now, request, backend) or not self._has_token(now, backend):
                continue
            cost = self.cost(now, request, backend) * (1 + ERROR_COST * backend.error_rate)
            cost = self._with_rejections(now, backend, keys, cost)
            cost *= 1 + TIE_BREAK_COST * self.rng.random()
            if best is None or cost < least:
                best = backend
                least = cost
        return best

    def _is_candidate(self, now: float, request: ActiveRequest, backend: Backend) -> bool:
        """Whether a backend is eligible for a request according to its health and the request's class."""
        entry = backend.entry
        if not backend.usable or entry.backend in request.excluded_backends or now < backend.ejected_until:
            return False
        if backend.on_trial and (backend.in_flight or request.cls.effect is io.Effect.UNSAFE):
            return False
        ran_on = request.ran_on if request.cls.effect is io.Effect.KEYED else None
        if ran_on is None:
            return True
        if request.cls.group is io.Group.ZONE:  # only backends with the same group key deduplicate it
            return entry.zone == ran_on.zone
        return request.cls.group is not io.Group.CELL or entry.cell == ran_on.cell

    def _has_token(self, now: float, backend: Backend) -> bool:
        """Whether a backend in slow start has a token for an attempt; tokens accrue with its capacity."""
        if backend.start <= 0:
            return True
        capacity = self.fleet.slow_start_capacity(now, backend)
        if capacity >= 1.0:
            return True
        rate = self.service_rate() * capacity * self.settings.fall_multiple * SLOW_START_SAFETY
        backend.tokens = min(SLOW_START_BURST, backend.tokens + rate * (now - backend.tokens_at))
        backend.tokens_at = now
        return backend.tokens >= 1.0

    def _with_rejections(
        self, now: float, backend: Backend, keys: list[tuple[str, float]], cost: float
    ) -> float:
        """The cost of a backend, increased if it has rejected the class or plan recently.

        `keys` contains the class and the plan, each with its usual cost factor.
        """
        for key, usual in keys:
            factor = usual
            if key in backend.rejection_share:
                last, at = backend.rejection_share[key]
                share = self.rejection_share[key]
                recent = share + (last - share) * math.exp((at - now) / REJECTION_MEMORY_S)
                factor = 1 + REJECTION_COST * recent
            cost *= factor
        return cost

    def cost(self, now: float, request: ActiveRequest, backend: Backend) -> float:
        """The estimated time of another request at a backend, in usual latencies."""
        return (len(backend.in_flight) + 1) * self.slowness(backend)

    def slowness(self, backend: Backend, untried_cost: float = UNTRIED_COST) -> float:
        """The latency of a backend relative to the unloaded latency.

        An untried backend is assumed to be like the others, plus a handshake. This extra cost doesn't apply
        to a backend that started after this ingress: it is new to all ingresses, so none would be the first
        to use it.
        """
        if backend.has_responded or backend.start > self.began:
            return backend.latency_ratio
        return max(backend.latency_ratio, self.limit.latency_ratio) * untried_cost

    def started(self, now: float, event: io.AttemptStarted) -> None:
        """Handle the start of a streamed response: the backend is done, but the request remains open."""
        backend = self.fleet.backends.get(event.backend)
        _, name, plan = (
            backend.in_flight.pop(event.request, (now, "", "")) if backend is not None else (now, "", "")
        )
        if backend is not None and name:
            self.limit.in_flight -= 1
            begun = io.AttemptEnded(
                event.request, event.attempt, event.backend, io.Outcome.OK, event.elapsed, True
            )
            self.record_outcome(now, backend, begun, name, plan)
        if self.queue:
            self.dispatch(now)

    def service_rate(self) -> float:
        """Attempts per second that a warm backend can serve for this ingress, by the recent response rate.

        There are few responses after a start, so the minimum is one request at a time per backend, shared by
        all ingresses.
        """
        return max(
            self.rate,
            1 / (self.settings.instances * self.processes * max(1e-3, *self.unloaded_latency.values())),
        )

    def ended(self, now: float, event: io.AttemptEnded) -> None:
        """Handle the end of an attempt: learn from it, then finish the request, retry it or reject it."""
        backend = self.fleet.backends.get(event.backend)
        request = self.active_requests.get(event.request)
        if backend is not None:
            _, name, plan = backend.in_flight.pop(event.request, (now, "", ""))
            if name:
                self.limit.in_flight -= 1
                self.record_outcome(now, backend, event, name, plan)
        if request is None:
            self.on_request_closed(now, event.request)
            return
        request.attempt_out = False
        if event.outcome not in io.NEVER_RAN and request.ran_at is None:
            request.ran_at = request.sent
            request.ran_on = backend.entry if backend is not None else None
        if event.done:
            del self.active_requests[event.request]
            self.on_request_closed(now, event.request)
            if self.queue:
                self.dispatch(now)
            self.on_served(now, request, event)
            return
        request.excluded_backends.add(event.backend)
        # The other backends are full too.
        fleet_saturated = event.outcome is io.Outcome.FULL and self.limit.overloaded
        if not fleet_saturated and not event.spent and self.may_send(now, request, request.ran_at):
            self.send(now, request)
        else:
            self.refuse(now, request, 0.0)

    def record_outcome(
        self, now: float, backend: Backend, event: io.AttemptEnded, name: str, plan: str
    ) -> None:
        """Learn a backend's latency and errors from an outcome, and adapt the concurrency limit."""
        outcome = event.outcome
        if outcome in ANSWERS:  # a timeout neither proves that the backend is alive nor that it is faulty
            backend.last_response_at = now
        is_slow = outcome is io.Outcome.TIMEOUT and event.elapsed > self.latency[name]
        if outcome is io.Outcome.OK or is_slow:
            self._learn_latency_ratio(now, backend, event.elapsed, name)
        if outcome in (io.Outcome.OK, io.Outcome.FULL):
            self._learn_rejection(now, backend, outcome is io.Outcome.FULL, (name, plan))
        if outcome is io.Outcome.OK:
            self._learn_success(now, backend, event, name)
        elif outcome in FAULTS:
            self._learn_fault(now, backend)

    def _learn_latency_ratio(self, now: float, backend: Backend, elapsed: float, name: str) -> None:
        """Adapt a backend's latency ratio and the concurrency limit to an attempt's duration in seconds."""
        # The cap ensures that a few very expensive requests don't count as overload.
        times = min(elapsed / self.unloaded_latency[name], LATENCY_RATIO_CAP)
        backend.latency_ratio = self.slowness(backend, 1.0)
        backend.latency_ratio = backend.latency_ratio + self.latency_ratio_step * (
            times - backend.latency_ratio
        )
        backend.has_responded = True
        self.limit.observe(now, times, elapsed, self.fleet.usable, self.settings.instances)

    def _learn_rejection(
        self, now: float, backend: Backend, is_rejected: bool, keys: tuple[str, str]
    ) -> None:
        """Learn rejections by class and plan (`keys`).

        Some backends reject only one class or plan; a full fleet rejects all of them.
        """
        for key in keys:
            backend.rejection_share[key] = (float(is_rejected), now)
            change = backend.rejection_share[key][0] - self.rejection_share[key]
            self.rejection_share[key] += REJECTION_STEP * change

    def _learn_success(self, now: float, backend: Backend, event: io.AttemptEnded, name: str) -> None:
        """Learn from a success: the backend is healthy, and the usual latency of the class is updated."""
        # Count responses, not attempts: fast rejections would make the backends look faster than they are.
        each = 1 / RESPONSE_RATE_DECAY_S / max(1, self.fleet.usable)
        self.rate = self.rate * math.exp((self.rate_at - now) / RESPONSE_RATE_DECAY_S) + each
        self.rate_at = now
        backend.error_rate = ERROR_DECAY * backend.error_rate
        backend.on_trial = False
        # A response adds a token in slow start. The reported load includes all ingresses, each of which sends
        # another request for each one that is served.
        in_flight = event.load.get("inflight", 0.0)
        if in_flight <= SLOW_START_QUEUE_LIMIT and self.fleet.slow_start_capacity(now, backend) < 1.0:
            backend.tokens = min(SLOW_START_BURST, backend.tokens + 1.0)
        self.latency[name] += LATENCY_STEP * (event.elapsed - self.latency[name])
        # Latencies under overload are not usual.
        is_overloaded = self.limit.latency_ratio >= OVERLOAD_LATENCY_RATIO
        step = OVERLOADED_BASE_STEP if is_overloaded else BASE_STEP
        usual = self.unloaded_latency[name] + step * (self.latency[name] - self.unloaded_latency[name])
        self.unloaded_latency[name] = min(usual, MAX_BASE_LATENCY_RATIO * self.classes[name].objective)

    def _learn_fault(self, now: float, backend: Backend) -> None:
        """Learn from a failure: eject the backend if it fails often or while it is on trial."""
        backend.error_rate += ERROR_STEP * (1 - backend.error_rate)
        if backend.on_trial or backend.error_rate >= EJECTION_ERROR_RATE:
            self.actions += self.fleet.eject(now, backend, "failing")

    def apply_backend_list(self, now: float, event: io.ListUpdate) -> None:
        """Apply a backend list; the first one initializes the concurrency limit."""
        if event.kind is not io.ListKind.FAILED:
            self.fleet.apply_backend_list(now, event)
            self.limit.initialize(self.fleet.usable, self.settings.instances)

    def set_sibling_processes(self, now: float, event: io.SiblingProcesses) -> None:
        """Set the number of other processes of this ingress."""
        self.processes = 1 + event.processes

    def cordon(self, now: float, event: io.Cordon) -> None:
        """Cordon or uncordon a backend on an operator's request."""
        self.actions += self.fleet.cordon(now, event)

    def restore(self, now: float, event: io.Cordons) -> None:
        """Apply cordons that were made through another process of this ingress."""
        self.actions += self.fleet.restore(event.cordon_entries)
