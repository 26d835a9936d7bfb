"""One service's backends at one ingress: load balancing by `Routing`, with the routes' own parameters.

Methods that override those of `Routing` have its names.
"""

from __future__ import annotations

import bisect
import random
import zlib
from collections.abc import Callable

from gateway.config.routing import Route
from gateway.proxy.foreign_load import ForeignLoad, expected_queue
from gateway.proxy.retry_budget import RetryBudget
from ingress import interface as io
from ingress.concurrency_limit import INITIAL_SLOTS
from ingress.fleet import Backend
from ingress.flight import ActiveRequest
from ingress.routing import Routing

INITIAL_LATENCY_RATIO = 0.3  # of its target latency: the assumed latency of a route before the first response
SLOW_START_S = 3.0  # duration of a backend's slow start,
SLOW_START_CAPACITY = 0.5  # and its relative capacity at its beginning
MAX_REJECTION_KEYS = 512  # tenants and routes whose rejection rates at backends are kept
USUAL_LOAD_STEP = 0.02  # by which a report moves the usual load of others,
WORK_STEP = 0.02  # and an attempt's duration the mean work of a request
LATENCY_RATIO_STEP = 0.05  # by which an attempt moves a backend's slowness
INITIAL_WORK_S = 0.15  # the assumed mean work of a request
INITIAL_FOREIGN_LOAD = 0.3  # the assumed mean requests of others at a backend
MAX_WORK_RATIO = 6.0  # of the mean work to a route's own
FOREIGN_BACKEND_COST = 1.15  # cost factor of a backend that isn't one of this ingress's own,
REMOTE_ZONE_COST = 1.1  # and of one in another zone
MAX_ATTEMPTS = 16  # of one request, whatever its route allows
SWEEP_INTERVAL_S = 0.05  # between checks of silent backends and queued requests


def settings(ingresses: int, connect_timeout: float, zone: str) -> io.Settings:
    """The settings of `Routing` for this gateway; `connect_timeout` in seconds."""
    return io.Settings(
        classes=(io.ClassSettings("", io.Effect.SAFE, 1.0, 1.0),),
        plans=(io.PlanSettings("", 0.0, 0.0),),
        instances=max(1, ingresses),
        may_cancel=True,
        max_attempts=MAX_ATTEMPTS,
        start_capacity=SLOW_START_CAPACITY,
        slow_start_s=SLOW_START_S,
        zone=zone,
        connect_timeout=connect_timeout,
        load_in_answers=True,
    )


def class_of(route: Route) -> io.ClassSettings:
    """The request class of a route.

    Late responses are still of value, so no request is given up before its deadline.
    """
    effect = io.Effect.SAFE if route.safe else io.Effect.UNSAFE
    return io.ClassSettings(route.label, effect, objective=route.deadline, deadline=route.deadline)


GiveUp = Callable[[float, ActiveRequest, float], None]
"""Called with the time, a request that can't be served, and the seconds after which a client may retry."""


class RejectionRates(dict[str, float]):
    """The rates of rejected attempts by route and by tenant; 0 for one that isn't kept."""

    def __missing__(self, key: str) -> float:
        return 0.0


class Service(Routing):
    """The backends of one service, and the requests to it."""

    def __init__(
        self,
        name: str,
        terms: io.Settings,
        budget: RetryBudget,
        rng: random.Random,
        now: float,
        give_up: GiveUp,
    ) -> None:
        super().__init__(terms, (), (), rng, now)
        self.rejection_share = RejectionRates()
        self.name = name
        self.budget = budget
        self.give_up = give_up
        self.foreign_loads: dict[str, ForeignLoad] = {}  # by backend
        self.step = LATENCY_RATIO_STEP
        self.work = INITIAL_WORK_S  # mean seconds of work of any request here
        # Mean requests of others at a backend that isn't this ingress's.
        self.usual_foreign_load = INITIAL_FOREIGN_LOAD
        self.own_backends: frozenset[str] = frozenset()  # backends that this ingress prefers

    def learn_route(self, cls: io.ClassSettings, target_latency: float, tenant: str) -> None:
        """Initialize the statistics of a route and a tenant at their first request.

        `target_latency` is in seconds.
        """
        if cls.name not in self.latency:
            self.latency[cls.name] = self.base[cls.name] = INITIAL_LATENCY_RATIO * target_latency
        self.classes[cls.name] = cls
        for key in (cls.name, tenant):
            if key not in self.rejection_share:
                if len(self.rejection_share) >= MAX_REJECTION_KEYS:
                    self.rejection_share.clear()
                    self.rejection_share[cls.name] = 0.0
                self.rejection_share[key] = 0.0

    def late(self, now: float, request: ActiveRequest) -> bool:
        """Whether a request that can't be sent now is too late to be queued.

        It is as well if no backend can become free for it: it has been at each usable one already, or there
        is none.
        """
        left = any(b.usable and b.entry.backend not in request.bad for b in self.fleet.backends.values())
        return not left or super().late(now, request)

    def send(self, now: float, request: ActiveRequest) -> None:
        """Send a request; a free slot goes to a queued one first if that is more urgent."""
        if self.queue and self.queue[0].value > request.value and self.limit.allows(now):
            bisect.insort_right(self.queue, request, key=lambda g: -g.value)
            self.review(now)
        else:
            super().send(now, request)

    def review(self, now: float) -> None:
        """Send the queued requests that can be sent now, and refuse those that have become late."""
        queued = self.queue
        self.queue = []
        for request in queued:
            if request.req.id in self.active_requests:
                super().send(now, request)

    # The choice of a backend.

    def cost(self, now: float, request: ActiveRequest, backend: Backend) -> float:
        """The relative time that a request is expected to take at a backend: its work, and the queue ahead.

        Each ingress prefers backends of its own, so that two ingresses rarely choose the same free one. The
        load of others at a backend is known from its last response, and soon only by what is usual there.
        """
        slots = max(1.0, backend.entry.weight)
        foreign_load = self.foreign_loads.get(backend.entry.backend)
        foreign = (
            self.usual_foreign_load
            if foreign_load is None
            else foreign_load.estimate(now, self.usual_foreign_load)
        )
        ahead = expected_queue(len(backend.out), foreign, int(slots)) / slots
        # Mean work of a queued request, relative to this one's.
        relative_work = min(MAX_WORK_RATIO, self.work / self.base[request.cls.name])
        cost = self.slowness(backend) * (1 + ahead * relative_work)
        if backend.entry.backend not in self.own_backends:
            cost *= FOREIGN_BACKEND_COST
        return cost * REMOTE_ZONE_COST if backend.entry.zone != self.s.zone else cost

    def judge(self, now: float, backend: Backend, event: io.AttemptEnded, name: str, plan: str) -> None:
        """Learn from an ended attempt, here also from the load that its response reports."""
        if "inflight" in event.load:
            reported = max(0.0, event.load["inflight"] - len(backend.out))
            foreign_load = self.foreign_loads.get(backend.entry.backend)
            if foreign_load is None:
                foreign_load = self.foreign_loads[backend.entry.backend] = ForeignLoad(
                    self.usual_foreign_load
                )
            foreign_load.on_report(now, reported)
            self.work += WORK_STEP * (event.elapsed - self.work)
            if backend.entry.backend not in self.own_backends:
                self.usual_foreign_load += USUAL_LOAD_STEP * (reported - self.usual_foreign_load)
        super().judge(now, backend, event, name, plan)

    def listed(self, now: float, event: io.ListUpdate) -> None:
        """Apply changes of the backends, and adjust the limits of the concurrency limit to their number."""
        super().listed(now, event)
        for entry in event.entries:
            if entry.phase is io.Phase.DELETED:
                self.foreign_loads.pop(entry.backend, None)
        weights = [b.entry.weight for b in self.fleet.backends.values() if b.usable]
        self.limit.floor = 1 + 2 * sum(weights) / max(1, len(weights))
        # Backends are added one by one: the limit must not stay at what fits the first. Under load more are
        # added as well. A new leader may know of few ingresses yet; the budget accepts that only later.
        self.limit.slots = max(self.limit.slots, INITIAL_SLOTS * self.fleet.usable / self.budget.ingresses)

    def assign_own_backends(self, index_in_zone: int, zone_ingresses: int) -> None:
        """Choose this ingress's own backends: those of the zone, dealt in turn to the zone's ingresses.

        This ingress has the index `index_in_zone` among `zone_ingresses`.
        """
        in_zone = sorted(
            b.entry.backend for b in self.fleet.backends.values() if b.usable and b.entry.zone == self.s.zone
        )
        first = zlib.crc32(self.name.encode())  # or the first ingresses would get more of each service
        self.own_backends = frozenset(
            name
            for i, name in enumerate(in_zone)
            if zone_ingresses and (i + first) % zone_ingresses == index_in_zone
        )

    def movable(self, now: float, request: ActiveRequest) -> bool:
        """Whether a request may be moved to another backend.

        Not if its body is streamed or no other usable backend is left, as cancelling would then only end its
        response.
        """
        name = request.req.id
        return (
            not request.req.flows
            and super().movable(now, request)
            and any(
                b.usable and name not in b.out and b.entry.backend not in request.bad
                for b in self.fleet.backends.values()
            )
        )

    def refusal_reason(self, request: ActiveRequest) -> str:
        """Why a request that has not run is refused."""
        if request.attempts:
            return "turned away by backends"
        return "no slot in time" if self.fleet.usable else "no backend known"

    def refuse(self, now: float, request: ActiveRequest, wait: float) -> None:
        """Give a request up; the client may retry after `wait` seconds."""
        self.give_up(now, request, wait)

    def occupy(self, now: float, request: ActiveRequest, backend: Backend) -> None:
        """Count an attempt against the retry budget, and take a slot at the backend."""
        self.budget.count(now, request.attempts > 1)
        super().occupy(now, request, backend)

    def may_send(self, now: float, request: ActiveRequest, ran_at: float | None) -> bool:
        """Whether an attempt is allowed: by the route's number of tries, in general, and by the budget."""
        route: Route = request.req.about.route
        return (
            request.attempts < route.tries
            and super().may_send(now, request, ran_at)
            and self.budget.allows(now)
        )
