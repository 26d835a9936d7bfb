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
# Usual latencies without an answer after which a backend counts as silent, an attempt as hung.
SILENT_LATENCY_RATIO = 8.0
SWEEP_INTERVAL_S = 0.05  # interval of checks for silent backends, and of the queue
# Fraction of its objective that a class's unloaded latency is taken to be at most.
MAX_BASE_LATENCY_RATIO = 0.16
REJECTION_COST = 4.0  # added cost of a backend that surely rejects a class or plan
REJECTION_MEMORY_S = 10.0  # decay time of rejections
LATENCY_RATIO_CAP = 4.0  # times the unloaded latency, at which a latency is capped
# Fraction of the stated cold budget that is used, as the warm rate is only an estimate.
SLOW_START_SAFETY = 0.5
# Requests of all ingresses at a cold backend, above which an answer of it adds no token.
SLOW_START_QUEUE_LIMIT = 4.0
SLOW_START_BURST = 1.5  # most tokens (attempts) saved up for a cold backend
UNTRIED_COST = 1.15  # relative cost of a backend that has not answered here yet
ERROR_COST = 4.0  # added cost of a backend at which every attempt fails
TIE = 0.02  # random cost that breaks ties
RATE_S = 5.0  # decay time of the rate of answers
ERROR_STEP = 0.3  # by which a failure moves a backend's error rate towards 1,
ERROR_DECAY = 0.8  # and factor on it after a success
REJECTION_STEP = 0.1  # by which an answer moves the usual fraction of rejections
LATENCY_STEP = 0.05  # by which a success moves the usual latency of its class,
BASE_STEP = 0.01  # and by which the unloaded latency follows that,
OVERLOADED_BASE_STEP = 0.0005  # also under overload
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
        self.latency = {
            c.name: c.objective * MAX_BASE_LATENCY_RATIO for c in classes
        }  # usual latency in seconds, by class
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

    def refuse(self, now: float, request: ActiveRequest, wait: float) -> None:
        """Final answer: refuse, or fail where a refusal would wrongly promise that a retry is harmless."""
        raise NotImplementedError

    def served(self, now: float, request: ActiveRequest, event: io.AttemptEnded) -> None:
        """An attempt has given a request its final answer."""

    def left(self, now: float, request: str) -> None:
        """A request is no longer open."""

    def renew(self, now: float) -> None:
        """Called at each sweep."""

    # Attempts

    def late(self, now: float, request: ActiveRequest) -> bool:
        """Whether a request that must be queued cannot meet its objective."""
        ahead = 1 + bisect.bisect_right(self.queue, -request.value, key=lambda g: -g.value)
        return (
            now + ahead * self.latency[request.cls.name] / self.limit.slots + self.base[request.cls.name]
            > request.due_at
        )

    def send(self, now: float, request: ActiveRequest) -> None:
        """Start an attempt, or queue the request if a slot should become free in time; else refuse it."""
        best = self.choose(now, request)
        if best is None:
            if self.late(now, request):
                self.refuse(now, request, 0.0)  # early, not late
                return
            bisect.insort_right(self.queue, request, key=lambda g: -g.value)
            return
        request.attempts += 1
        request.sent = now
        request.attempt_out = True
        if not request.req.flows:  # no work for a backend before it is complete
            self.occupy(now, request, best)
        if self.fleet.slow_start_capacity(now, best) < 1.0:
            best.tokens -= 1.0
        self.acts.append(io.Attempt(request.req.id, best.entry.backend))

    def occupy(self, now: float, request: ActiveRequest, backend: Backend) -> None:
        """Count an attempt in flight at a backend."""
        backend.out[request.req.id] = (now, request.cls.name, request.req.plan)
        self.limit.in_flight += 1

    def written(self, now: float, event: io.AttemptWritten) -> None:
        """A streamed body was sent completely: the request's latency counts only from now."""
        request = self.active_requests.get(event.request)
        backend = self.fleet.backends.get(event.backend)
        if request is not None and backend is not None:
            request.sent = now
            request.due_at = now + min(request.cls.objective, request.req.expires_in)
            self.occupy(now, request, backend)

    def dispatch(self, now: float) -> None:
        """Send queued requests while slots are free; the whole queue is reviewed only at each sweep."""
        for _ in range(len(self.queue)):
            if not self.limit.allows(now):
                break
            request = self.queue.pop(0)
            if request.req.id in self.active_requests:
                self.send(now, request)

    def review(self, now: float) -> None:
        """Send queued requests, or refuse those that can't meet their objective any more: none may starve."""
        queued = self.queue
        self.queue = []
        for request in queued:
            if request.req.id in self.active_requests:
                self.send(now, request)

    def sweep(self, now: float) -> None:
        """Find silent backends by their overdue answers, cancel hung attempts, and review the queue."""
        self.armed = False
        self.renew(now)
        for backend in [x for x in self.fleet.backends.values() if x.out]:
            slow = SILENT_LATENCY_RATIO * max(1.0, backend.ratio)
            silent = backend.overdue(now, self.latency, slow) >= slow
            if silent:
                self.acts += self.fleet.eject(now, backend, "silent")
            for (
                name
            ) in backend.out:  # move what may be repeated; a long request at a live backend is left alone
                request = self.active_requests.get(name)
                if (
                    request is None
                    or not self.s.may_cancel
                    or now - request.sent <= (2 if silent else slow) * self.latency[request.cls.name]
                ):
                    continue
                if self.movable(now, request) or self.blocks(now, request, slow):
                    self.acts.append(io.CancelAttempt(name, request.attempts - 1))
        self.review(now)

    def movable(self, now: float, request: ActiveRequest) -> bool:
        """Whether a request whose attempt hangs may be sent elsewhere instead."""
        return self.may_send(now, request, request.ran_at or request.sent)

    def blocks(self, now: float, request: ActiveRequest, slow: float) -> bool:
        """Whether an attempt hangs past its objective and only takes a place of its customer's cap."""
        return (
            request.customer.plan.max_open > 0
            and now > request.due_at
            and now - request.sent > slow * self.latency[request.cls.name]
        )

    def may_send(self, now: float, request: ActiveRequest, ran_at: float | None) -> bool:
        """Whether another attempt is allowed; if one may have run, the class and its window decide too."""
        if request.attempts >= self.s.max_attempts or now + self.base[request.cls.name] > request.due_at:
            return False
        return (
            ran_at is None
            or request.cls.effect is io.Effect.SAFE
            or (
                request.cls.effect is io.Effect.KEYED and now < ran_at + request.cls.window - SWEEP_INTERVAL_S
            )
        )

    def choose(self, now: float, request: ActiveRequest) -> Backend | None:
        """The healthy, allowed backend with the least own work in flight over its learnt speed; else None."""
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
            cost = self.cost(now, request, backend) * (1 + ERROR_COST * backend.errors)
            cost = self._with_rejections(now, backend, keys, cost)
            cost *= 1 + TIE * self.rng.random()
            if best is None or cost < least:
                best = backend
                least = cost
        return best

    def _is_candidate(self, now: float, request: ActiveRequest, backend: Backend) -> bool:
        """Whether a request may go to a backend, as far as its health and the request's class go."""
        entry = backend.entry
        if not backend.usable or entry.backend in request.bad or now < backend.resting:
            return False
        if backend.trial and (backend.out or request.cls.effect is io.Effect.UNSAFE):
            return False
        ran_on = request.ran_on if request.cls.effect is io.Effect.KEYED else None
        if ran_on is None:
            return True
        if request.cls.group is io.Group.ZONE:  # only those deduplicate it that share its key
            return entry.zone == ran_on.zone
        return request.cls.group is not io.Group.CELL or entry.cell == ran_on.cell

    def _has_token(self, now: float, backend: Backend) -> bool:
        """Whether a backend in slow start has a token for an attempt; tokens accrue with its capacity."""
        if backend.start <= 0:
            return True
        capacity = self.fleet.slow_start_capacity(now, backend)
        if capacity >= 1.0:
            return True
        rate = self.pace() * capacity * self.s.fall_multiple * SLOW_START_SAFETY
        backend.tokens = min(SLOW_START_BURST, backend.tokens + rate * (now - backend.tokens_at))
        backend.tokens_at = now
        return backend.tokens >= 1.0

    def _with_rejections(
        self, now: float, backend: Backend, keys: list[tuple[str, float]], cost: float
    ) -> float:
        """The cost of a backend, raised if it has rejected the class or plan lately.

        `keys` has class and plan with the factor that is usual for each.
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
        """The estimated time of one more request at a backend, in usual latencies."""
        return (len(backend.out) + 1) * self.slowness(backend)

    def slowness(self, backend: Backend, untried_cost: float = UNTRIED_COST) -> float:
        """The latency of a backend over the unloaded one; an untried one is as others are, with a handshake.

        One that started after this ingress is new to all: with an extra cost nobody would go there first.
        """
        if backend.known or backend.start > self.began:
            return backend.ratio
        return max(backend.ratio, self.limit.latency_ratio) * untried_cost

    def started(self, now: float, event: io.AttemptStarted) -> None:
        """A streamed response has begun: the backend's work is done; the request stays open to its end."""
        backend = self.fleet.backends.get(event.backend)
        _, name, plan = (
            backend.out.pop(event.request, (now, "", "")) if backend is not None else (now, "", "")
        )
        if backend is not None and name:
            self.limit.in_flight -= 1
            begun = io.AttemptEnded(
                event.request, event.attempt, event.backend, io.Outcome.OK, event.elapsed, True
            )
            self.judge(now, backend, begun, name, plan)
        if self.queue:
            self.dispatch(now)

    def pace(self) -> float:
        """Attempts a second that a warm backend can serve for this ingress, by the recent rate of answers.

        After a start few were seen: a backend serves at least one request at a time, for all ingresses.
        """
        return max(self.rate, 1 / (self.s.instances * self.processes * max(1e-3, *self.base.values())))

    def ended(self, now: float, event: io.AttemptEnded) -> None:
        """An attempt has ended: learn from it, then finish the request, retry it or refuse it."""
        backend = self.fleet.backends.get(event.backend)
        request = self.active_requests.get(event.request)
        if backend is not None:
            _, name, plan = backend.out.pop(event.request, (now, "", ""))
            if name:
                self.limit.in_flight -= 1
                self.judge(now, backend, event, name, plan)
        if request is None:
            self.left(now, event.request)
            return
        request.attempt_out = False
        if event.outcome not in io.NEVER_RAN and request.ran_at is None:
            request.ran_at = request.sent
            request.ran_on = backend.entry if backend is not None else None
        if event.done:
            del self.active_requests[event.request]
            self.left(now, event.request)
            if self.queue:
                self.dispatch(now)
            self.served(now, request, event)
            return
        request.bad.add(event.backend)
        fleet_saturated = event.outcome is io.Outcome.FULL and self.limit.overloaded  # others are full too
        if not fleet_saturated and not event.spent and self.may_send(now, request, request.ran_at):
            self.send(now, request)
        else:
            self.refuse(now, request, 0.0)

    def judge(self, now: float, backend: Backend, event: io.AttemptEnded, name: str, plan: str) -> None:
        """Learn the latency and errors of a backend, and adjust the concurrency limit."""
        outcome = event.outcome
        if outcome in ANSWERS:  # a timeout is no sign of life, nor a fault
            backend.answered = now
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
        """An attempt took so many seconds: adjust the backend's ratio and the concurrency limit."""
        # The cap: a few very expensive requests are no overload.
        times = min(elapsed / self.base[name], LATENCY_RATIO_CAP)
        backend.ratio = self.slowness(backend, 1.0)
        backend.ratio = backend.ratio + self.step * (times - backend.ratio)
        backend.known = True
        self.limit.observe(now, times, elapsed, self.fleet.usable, self.s.instances)

    def _learn_rejection(
        self, now: float, backend: Backend, is_rejected: bool, keys: tuple[str, str]
    ) -> None:
        """Some backends reject one class or plan (`keys`); a full fleet rejects all."""
        for key in keys:
            backend.rejection_share[key] = (float(is_rejected), now)
            change = backend.rejection_share[key][0] - self.rejection_share[key]
            self.rejection_share[key] += REJECTION_STEP * change

    def _learn_success(self, now: float, backend: Backend, event: io.AttemptEnded, name: str) -> None:
        """A backend has served a request: it is healthy, and its class's usual latency is known better."""
        # Count answers, not attempts: rejected ones would make backends look faster than they are.
        each = 1 / RATE_S / max(1, self.fleet.usable)
        self.rate = self.rate * math.exp((self.rate_at - now) / RATE_S) + each
        self.rate_at = now
        backend.errors = ERROR_DECAY * backend.errors
        backend.trial = False
        # An answer adds a token in slow start. The load is that of all ingresses: each sends one more for
        # one that is served.
        in_flight = event.load.get("inflight", 0.0)
        if in_flight <= SLOW_START_QUEUE_LIMIT and self.fleet.slow_start_capacity(now, backend) < 1.0:
            backend.tokens = min(SLOW_START_BURST, backend.tokens + 1.0)
        self.latency[name] += LATENCY_STEP * (event.elapsed - self.latency[name])
        is_overloaded = self.limit.latency_ratio >= OVERLOAD_LATENCY_RATIO  # overload is never usual
        step = OVERLOADED_BASE_STEP if is_overloaded else BASE_STEP
        usual = self.base[name] + step * (self.latency[name] - self.base[name])
        self.base[name] = min(usual, MAX_BASE_LATENCY_RATIO * self.classes[name].objective)

    def _learn_fault(self, now: float, backend: Backend) -> None:
        """A backend has failed: eject it if that is frequent, or if it was on trial."""
        backend.errors += ERROR_STEP * (1 - backend.errors)
        if backend.trial or backend.errors >= BAD_SHARE:
            self.acts += self.fleet.eject(now, backend, "failing")

    def listed(self, now: float, event: io.ListUpdate) -> None:
        """Apply a backend list; the first one sets the initial concurrency limit."""
        if event.kind is not io.ListKind.FAILED:
            self.fleet.listed(now, event)
            self.limit.initialize(self.fleet.usable, self.s.instances)

    def set_sibling_processes(self, now: float, event: io.SiblingProcesses) -> None:
        """The number of other processes of this ingress has changed."""
        self.processes = 1 + event.processes

    def cordon(self, now: float, event: io.Cordon) -> None:
        """An operator cordons or uncordons a backend."""
        self.acts += self.fleet.cordon(now, event)

    def restore(self, now: float, event: io.Cordons) -> None:
        """Adopt cordons that were made through another process of this ingress."""
        self.acts += self.fleet.restore(event.cordon_entries)
