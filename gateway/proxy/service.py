"""One service's backends at one ingress: load balancing by `Routing`, with the routes' own parameters."""

from __future__ import annotations

import bisect
import math
import random
import zlib
from collections.abc import Callable

from gateway.config.routing import Route
from gateway.proxy.retry_budget import RetryBudget
from ingress import interface as io
from ingress.concurrency_limit import INITIAL_SLOTS
from ingress.fleet import Backend
from ingress.flight import ActiveRequest
from ingress.routing import Routing

INITIAL_LATENCY_RATIO = 0.3  # of its target latency: the assumed latency of a route before the first response
# duration of a backend's slow start, and its relative capacity then
COLD_S = 3.0
COLD_CAPACITY = 0.5
MAX_REJECTION_KEYS = 512  # tenants and routes whose rejection rates at backends are kept
# time constants: of a reported load going back to the mean, and of that going back to the usual one
LOAD_FRESH_S = 0.15
LOAD_STALE_S = 8.0
MEAN_STEP = 0.2
USUAL_STEP = 0.02
WORK_STEP = 0.02
RATIO_STEP = 0.05
# seconds; highest ratio of the mean work to a route's own
USUAL_WORK = 0.15
MAX_FOREIGN_WORK = 6.0
# cost factors of a backend that isn't one of this ingress's own, and of one in another zone
FOREIGN_BACKEND_COST = 1.15
REMOTE_ZONE_COST = 1.1
SWEEP_INTERVAL_S = 0.05  # between checks of silent backends and queued requests


def settings(ingresses: int, connect_timeout: float, zone: str) -> io.Settings:
    """The settings of `Routing` for this gateway; `connect_timeout` in seconds."""
    return io.Settings(
        classes=(io.ClassSettings("", io.Effect.SAFE, 1.0, 1.0),),
        plans=(io.PlanSettings("", 0.0, 0.0),),
        instances=max(1, ingresses),
        may_cancel=True,
        max_attempts=16,
        start_capacity=COLD_CAPACITY,
        cold_time=COLD_S,
        zone=zone,
        connect_timeout=connect_timeout,
        load_in_answers=True,
    )


def class_of(route: Route) -> io.ClassSettings:
    """The request class of a route. Late responses are still of value, so no request is given up before its
    deadline."""
    effect = io.Effect.SAFE if route.safe else io.Effect.UNSAFE
    return io.ClassSettings(route.label, effect, objective=route.deadline, deadline=route.deadline)


class ForeignLoad:
    """The load of other ingresses at a backend, as reported in its responses."""

    __slots__ = ("mean", "told", "at")

    def __init__(self, mean: float) -> None:
        self.mean = mean
        self.told = mean
        self.at = 0.0

    def tell(self, now: float, told: float) -> None:
        """Take a reported number of requests of other ingresses."""
        self.told = told
        self.at = now
        self.mean += MEAN_STEP * (told - self.mean)

    def expect(self, now: float, usual_foreign_load: float) -> float:
        """The expected number now: the last report decays towards the backend's mean, and that towards
        `usual_foreign_load`, the one of all backends."""
        age = now - self.at
        mean = usual_foreign_load + (self.mean - usual_foreign_load) * math.exp(-age / LOAD_STALE_S)
        return mean + (self.told - mean) * math.exp(-age / LOAD_FRESH_S)


def expected_queue(own: int, foreign: float, slots: int) -> float:
    """The expected number of requests queued before one more, with `own` requests of this ingress and a
    Poisson distributed number of others, of mean `foreign`."""
    room = slots - 1 - own
    over = foreign - room
    if room > 0:
        chance = math.exp(-foreign)
        for n in range(room):
            over += (room - n) * chance
            chance *= foreign / (n + 1)
    return max(0.0, over)


class RejectionRates(dict[str, float]):
    """The rates of rejected attempts by route and by tenant; 0 for one that isn't kept."""

    def __missing__(self, key: str) -> float:
        return 0.0


class Service(Routing):
    """The backends of one service, and the requests to it. `give_up` is called with the time, a request that
    can't be served, and the seconds after which a client may retry."""

    def __init__(
        self,
        name: str,
        terms: io.Settings,
        budget: RetryBudget,
        rng: random.Random,
        now: float,
        give_up: Callable[[float, ActiveRequest, float], None],
    ) -> None:
        super().__init__(terms, (), (), rng, now)
        self.rejection_share = RejectionRates()
        self.name = name
        self.budget = budget
        self.give_up = give_up
        self.others: dict[str, ForeignLoad] = {}
        self.step = RATIO_STEP
        self.work = USUAL_WORK  # mean seconds of work of any request here
        self.usual_foreign_load = 0.3  # mean requests of others at a backend that isn't this ingress's
        self.own: frozenset[str] = frozenset()  # backends that this ingress prefers

    def learn_route(self, cls: io.ClassSettings, target_latency: float, tenant: str) -> None:
        """Initialize the statistics of a route and a tenant at their first request. `target_latency` is in
        seconds."""
        if cls.name not in self.latency:
            self.latency[cls.name] = self.base[cls.name] = INITIAL_LATENCY_RATIO * target_latency
        self.classes[cls.name] = cls
        for key in (cls.name, tenant):
            if key not in self.rejection_share:
                if len(self.rejection_share) >= MAX_REJECTION_KEYS:
                    self.rejection_share.clear()
                    self.rejection_share[cls.name] = 0.0
                self.rejection_share[key] = 0.0

    def late(self, now: float, f: ActiveRequest) -> bool:
        """Whether a request that can't be sent now is too late to be queued. It is as well if no backend can
        become free for it: it has been at each usable one already, or there is none."""
        left = any(b.usable and b.entry.backend not in f.bad for b in self.fleet.backends.values())
        return not left or super().late(now, f)

    def send(self, now: float, f: ActiveRequest) -> None:
        """Send a request; a free slot goes to a queued one first if that is more urgent."""
        if self.queue and self.queue[0].value > f.value and self.limit.allows(now):
            bisect.insort_right(self.queue, f, key=lambda g: -g.value)
            self.review(now)
        else:
            super().send(now, f)

    def review(self, now: float) -> None:
        """Send the queued requests that can be sent now, and refuse those that have become late."""
        held = self.queue
        self.queue = []
        for f in held:
            if f.req.id in self.active_requests:
                super().send(now, f)

    # The choice of a backend.

    def cost(self, now: float, f: ActiveRequest, b: Backend) -> float:
        """The relative time that a request is expected to take at a backend: its work, and the queue ahead.

        Each ingress prefers backends of its own, so that two ingresses rarely choose the same free one. The
        load of others at a backend is known from its last response, and soon only by what is usual there.
        """
        slots = max(1.0, b.entry.weight)
        foreign_load = self.others.get(b.entry.backend)
        foreign = (
            self.usual_foreign_load
            if foreign_load is None
            else foreign_load.expect(now, self.usual_foreign_load)
        )
        ahead = expected_queue(len(b.out), foreign, int(slots)) / slots
        relative_work = min(
            MAX_FOREIGN_WORK, self.work / self.base[f.cls.name]
        )  # mean work of a queued request, relative to this one's
        cost = self.slowness(b) * (1 + ahead * relative_work)
        if b.entry.backend not in self.own:
            cost *= FOREIGN_BACKEND_COST
        return cost * REMOTE_ZONE_COST if b.entry.zone != self.s.zone else cost

    def judge(self, now: float, b: Backend, e: io.AttemptEnded, name: str, plan: str) -> None:
        """Learn from an ended attempt, here also from the load that its response reports."""
        if "inflight" in e.load:
            told = max(0.0, e.load["inflight"] - len(b.out))
            foreign_load = self.others.get(b.entry.backend)
            if foreign_load is None:
                foreign_load = self.others[b.entry.backend] = ForeignLoad(self.usual_foreign_load)
            foreign_load.tell(now, told)
            self.work += WORK_STEP * (e.elapsed - self.work)
            if b.entry.backend not in self.own:
                self.usual_foreign_load += USUAL_STEP * (told - self.usual_foreign_load)
        super().judge(now, b, e, name, plan)

    def listed(self, now: float, e: io.ListUpdate) -> None:
        """Apply changes of the backends, and adjust the limits of the concurrency limit to their number."""
        super().listed(now, e)
        for entry in e.entries:
            if entry.phase is io.Phase.DELETED:
                self.others.pop(entry.backend, None)
        held = [b.entry.weight for b in self.fleet.backends.values() if b.usable]
        self.limit.floor = 1 + 2 * sum(held) / max(1, len(held))
        # Backends are added one by one: the limit must not stay at what fits the first. Under load more are
        # added as well. A new leader may know of few ingresses yet; the budget accepts that only later.
        self.limit.slots = max(self.limit.slots, INITIAL_SLOTS * self.fleet.usable / self.budget.ingresses)

    def assign_own_backends(self, place: int, zone_peers: int) -> None:
        """Choose this ingress's own backends: those of the zone, dealt in turn to the zone's ingresses, of
        which it has the index `place` among `zone_peers`."""
        near = sorted(
            b.entry.backend for b in self.fleet.backends.values() if b.usable and b.entry.zone == self.s.zone
        )
        first = zlib.crc32(self.name.encode())  # or the first ingresses would get more of each service
        self.own = frozenset(
            n for i, n in enumerate(near) if zone_peers and (i + first) % zone_peers == place
        )

    def movable(self, now: float, f: ActiveRequest) -> bool:
        """Whether a request may be moved to another backend: not if its body is streamed or no other usable
        backend is left, as cancelling would then only end its response."""
        name = f.req.id
        return (
            not f.req.flows
            and super().movable(now, f)
            and any(
                b.usable and name not in b.out and b.entry.backend not in f.bad
                for b in self.fleet.backends.values()
            )
        )

    def why(self, f: ActiveRequest) -> str:
        """Why a request that has not run is refused."""
        if f.attempts:
            return "turned away by backends"
        return "no slot in time" if self.fleet.usable else "no backend known"

    def refuse(self, now: float, f: ActiveRequest, wait: float) -> None:
        """Give a request up; the client may retry after `wait` seconds."""
        self.give_up(now, f, wait)

    def occupy(self, now: float, f: ActiveRequest, b: Backend) -> None:
        """Count an attempt against the retry budget, and take a slot at the backend."""
        self.budget.count(now, f.attempts > 1)
        super().occupy(now, f, b)

    def may_send(self, now: float, f: ActiveRequest, ran_at: float | None) -> bool:
        """Whether an attempt is allowed: by the route's number of tries, in general, and by the budget."""
        route: Route = f.req.about.route
        return f.attempts < route.tries and super().may_send(now, f, ran_at) and self.budget.allows(now)
