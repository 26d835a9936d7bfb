"""The backends of one service at one proxy: load balancing by `Routing`, with per-route parameters."""

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

INITIAL_LATENCY_RATIO = 0.3  # initial latency estimate of a route, relative to its target latency
SLOW_START_S = 3.0  # duration of a backend's slow start
SLOW_START_CAPACITY = 0.5  # relative capacity of a backend at the beginning of its slow start
MAX_REJECTION_KEYS = 512  # maximum number of tenants and routes with stored rejection rates
USUAL_LOAD_STEP = 0.02  # weight of a new report in the usual load of other proxies
WORK_STEP = 0.02  # weight of an attempt's duration in the mean work of a request
LATENCY_RATIO_STEP = 0.05  # weight of an attempt in a backend's latency ratio
INITIAL_WORK_S = 0.15  # initial estimate of the mean work of a request
INITIAL_FOREIGN_LOAD = 0.3  # initial estimate of the mean number of requests of other proxies at a backend
MAX_WORK_RATIO = 6.0  # limit of the mean work relative to the work of a route
FOREIGN_BACKEND_COST = 1.15  # cost factor of a backend that is not preferred by this proxy
REMOTE_ZONE_COST = 1.1  # cost factor of a backend in another zone
MAX_ATTEMPTS = 16  # maximum attempts per request, whatever its route allows
SWEEP_INTERVAL_S = 0.05  # interval between checks of unresponsive backends and of the queue


def settings(ingresses: int, connect_timeout: float, zone: str) -> io.Settings:
    """The settings of `Routing` for the gateway; `connect_timeout` is in seconds."""
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

    A late response is still useful to the client, so no request is rejected before its deadline.
    """
    effect = io.Effect.SAFE if route.safe else io.Effect.UNSAFE
    return io.ClassSettings(route.label, effect, objective=route.deadline, deadline=route.deadline)


GiveUp = Callable[[float, ActiveRequest, float], None]
"""Called with the current time, a request that can't be served, and the delay before a client may retry."""


class RejectionRates(dict[str, float]):
    """The rates of rejected attempts by route and by tenant; 0 for an unknown key."""

    def __missing__(self, key: str) -> float:
        return 0.0


class Service(Routing):
    """The backends of one service and the requests to it."""

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
        self.latency_ratio_step = LATENCY_RATIO_STEP
        self.work = INITIAL_WORK_S  # mean seconds of work of any request here
        # Mean number of requests of other proxies at a backend that this proxy doesn't prefer.
        self.usual_foreign_load = INITIAL_FOREIGN_LOAD
        self.own_backends: frozenset[str] = frozenset()  # backends preferred by this proxy

    def learn_route(self, cls: io.ClassSettings, target_latency: float, tenant: str) -> None:
        """Initialize the statistics of a route and a tenant on their first request.

        `target_latency` is in seconds.
        """
        if cls.name not in self.latency:
            self.latency[cls.name] = self.unloaded_latency[cls.name] = INITIAL_LATENCY_RATIO * target_latency
        self.classes[cls.name] = cls
        for key in (cls.name, tenant):
            if key not in self.rejection_share:
                if len(self.rejection_share) >= MAX_REJECTION_KEYS:
                    self.rejection_share.clear()
                    self.rejection_share[cls.name] = 0.0
                self.rejection_share[key] = 0.0

    def misses_objective(self, now: float, request: ActiveRequest) -> bool:
        """Whether a request that can't be sent now is too late to be queued.

        This includes requests for which no backend can become free: all usable ones have been tried, or there
        are none.
        """
        left = any(
            b.usable and b.entry.backend not in request.excluded_backends
            for b in self.fleet.backends.values()
        )
        return not left or super().misses_objective(now, request)

    def send(self, now: float, request: ActiveRequest) -> None:
        """Send a request, unless a more urgent one is queued; that one gets the free slot."""
        if self.queue and self.queue[0].value > request.value and self.limit.allows(now):
            bisect.insort_right(self.queue, request, key=lambda g: -g.value)
            self.review(now)
        else:
            super().send(now, request)

    def review(self, now: float) -> None:
        """Send queued requests where possible, and reject those that have become too late."""
        queued = self.queue
        self.queue = []
        for request in queued:
            if request.req.id in self.active_requests:
                super().send(now, request)

    # The choice of a backend.

    def cost(self, now: float, request: ActiveRequest, backend: Backend) -> float:
        """The relative time that a request is expected to take at a backend, including the queue ahead.

        Each proxy prefers certain backends, so that two proxies rarely choose the same free one. The load of
        other proxies is taken from the backend's last response, and decays quickly to the usual load.
        """
        slots = max(1.0, backend.entry.weight)
        foreign_load = self.foreign_loads.get(backend.entry.backend)
        foreign = (
            self.usual_foreign_load
            if foreign_load is None
            else foreign_load.estimate(now, self.usual_foreign_load)
        )
        ahead = expected_queue(len(backend.in_flight), foreign, int(slots)) / slots
        # Mean work of a queued request relative to this request's work.
        relative_work = min(MAX_WORK_RATIO, self.work / self.unloaded_latency[request.cls.name])
        cost = self.slowness(backend) * (1 + ahead * relative_work)
        if backend.entry.backend not in self.own_backends:
            cost *= FOREIGN_BACKEND_COST
        return cost * REMOTE_ZONE_COST if backend.entry.zone != self.settings.zone else cost

    def record_outcome(
        self, now: float, backend: Backend, event: io.AttemptEnded, name: str, plan: str
    ) -> None:
        """Learn from an ended attempt, including the load reported in its response."""
        if "inflight" in event.load:
            reported = max(0.0, event.load["inflight"] - len(backend.in_flight))
            foreign_load = self.foreign_loads.get(backend.entry.backend)
            if foreign_load is None:
                foreign_load = self.foreign_loads[backend.entry.backend] = ForeignLoad(
                    self.usual_foreign_load
                )
            foreign_load.on_report(now, reported)
            self.work += WORK_STEP * (event.elapsed - self.work)
            if backend.entry.backend not in self.own_backends:
                self.usual_foreign_load += USUAL_LOAD_STEP * (reported - self.usual_foreign_load)
        super().record_outcome(now, backend, event, name, plan)

    def apply_backend_list(self, now: float, event: io.ListUpdate) -> None:
        """Apply backend changes, and adapt the bounds of the concurrency limit to the number of backends."""
        super().apply_backend_list(now, event)
        for entry in event.entries:
            if entry.phase is io.Phase.DELETED:
                self.foreign_loads.pop(entry.backend, None)
        weights = [b.entry.weight for b in self.fleet.backends.values() if b.usable]
        self.limit.floor = 1 + 2 * sum(weights) / max(1, len(weights))
        # Backends are added one by one, so the limit must not stay at what suits the first one; backends are
        # also added under load. A new leader may know only a few proxies yet; the budget applies that number
        # later.
        self.limit.slots = max(self.limit.slots, INITIAL_SLOTS * self.fleet.usable / self.budget.ingresses)

    def assign_own_backends(self, index_in_zone: int, zone_ingresses: int) -> None:
        """Choose this proxy's preferred backends: those of its zone, dealt to the zone's proxies in turn.

        This proxy has the index `index_in_zone` among `zone_ingresses` proxies.
        """
        in_zone = sorted(
            b.entry.backend
            for b in self.fleet.backends.values()
            if b.usable and b.entry.zone == self.settings.zone
        )
        # Otherwise the first proxies would get more backends of every service.
        first = zlib.crc32(self.name.encode())
        self.own_backends = frozenset(
            name
            for i, name in enumerate(in_zone)
            if zone_ingresses and (i + first) % zone_ingresses == index_in_zone
        )

    def may_move(self, now: float, request: ActiveRequest) -> bool:
        """Whether a request may be moved to another backend.

        It may not if its body is streamed, or if no other usable backend is left, because cancelling the
        attempt would then only end its response.
        """
        name = request.req.id
        return (
            not request.req.streams_body
            and super().may_move(now, request)
            and any(
                b.usable and name not in b.in_flight and b.entry.backend not in request.excluded_backends
                for b in self.fleet.backends.values()
            )
        )

    def refusal_reason(self, request: ActiveRequest) -> str:
        """The reason for rejecting a request that has not run."""
        if request.attempts:
            return "turned away by backends"
        return "no slot in time" if self.fleet.usable else "no backend known"

    def refuse(self, now: float, request: ActiveRequest, wait: float) -> None:
        """Give up on a request; the client may retry after `wait` seconds."""
        self.give_up(now, request, wait)

    def occupy(self, now: float, request: ActiveRequest, backend: Backend) -> None:
        """Count an attempt against the retry budget, and occupy a slot at the backend."""
        self.budget.count(now, request.attempts > 1)
        super().occupy(now, request, backend)

    def may_send(self, now: float, request: ActiveRequest, ran_at: float | None) -> bool:
        """Whether the route's attempt limit, the general rules and the retry budget allow an attempt."""
        route: Route = request.req.context.route
        return (
            request.attempts < route.tries
            and super().may_send(now, request, ran_at)
            and self.budget.allows(now)
        )
