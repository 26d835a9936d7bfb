"""One service's backends at one ingress: the shared choice of a backend, with the routes' own terms."""

from __future__ import annotations

import math
import random
import zlib
from collections.abc import Callable

from gateway.config.routing import Route
from gateway.proxy.retry_budget import RetryBudget
from roadspur import interface as io
from roadspur.fleet import Backend
from roadspur.flight import ActiveRequest
from roadspur.routing import SLOTS, Routing

INITIAL_LATENCY_RATIO = 0.3  # of its aim that a route's answers are taken to need before any has come
COLD_S, COLD_CAPACITY = 3.0, 0.5  # of a backend's slow start, and what it does then
MAX_REJECTION_KEYS = 512  # tenants and routes whose refusals at backends are remembered
LOAD_FRESH_S, LOAD_STALE_S = (
    0.15,
    8.0,
)  # for which a told number says more than the mean, and that than the usual
MEAN_STEP, USUAL_STEP = 0.2, 0.02
WORK_STEP, RATIO_STEP = 0.02, 0.05
USUAL_WORK, MAX_FOREIGN_WORK = 0.15, 6.0  # seconds; times its own work that another's counts
FOREIGN_BACKEND_COST, REMOTE_ZONE_COST = (
    1.15,
    1.1,
)  # cost of what is not this ingress's own, and of another zone
SWEEP_INTERVAL_S = 0.05  # between looks at silent backends and at what is held


def settings(ingresses: int, connect_timeout: float, zone: str) -> io.Settings:
    """What the shared choice is told, `connect_timeout` in seconds."""
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
    """A route in the terms of the shared choice. Late answers have their worth too, so nothing is given up
    on before its deadline."""
    effect = io.Effect.SAFE if route.safe else io.Effect.UNSAFE
    return io.ClassSettings(route.label, effect, objective=route.deadline, deadline=route.deadline)


class ForeignLoad:
    """What other ingresses have at a backend, as its answers tell."""

    __slots__ = ("mean", "told", "at")

    def __init__(self, mean: float) -> None:
        self.mean, self.told, self.at = mean, mean, 0.0

    def tell(self, now: float, told: float) -> None:
        """An answer tells so many."""
        self.told, self.at = told, now
        self.mean += MEAN_STEP * (told - self.mean)

    def expect(self, now: float, usual_foreign_load: float) -> float:
        """How many there may be now, going back to what is usual there, and then to what is anywhere."""
        age = now - self.at
        mean = usual_foreign_load + (self.mean - usual_foreign_load) * math.exp(-age / LOAD_STALE_S)
        return mean + (self.told - mean) * math.exp(-age / LOAD_FRESH_S)


def expected_queue(own: int, foreign: float, slots: int) -> float:
    """How many requests are expected before one more, where `foreign` is the mean of others (Poisson's)."""
    room = slots - 1 - own
    over = foreign - room
    if room > 0:
        chance = math.exp(-foreign)
        for n in range(room):
            over += (room - n) * chance
            chance *= foreign / (n + 1)
    return max(0.0, over)


class RejectionRates(dict[str, float]):
    """Share of attempts turned away, by route and by tenant: none where nothing is kept any more."""

    def __missing__(self, key: str) -> float:
        return 0.0


class Service(Routing):
    """The backends of one service."""

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
        self.name, self.budget, self.give_up = name, budget, give_up
        self.others: dict[str, ForeignLoad] = {}
        self.step = RATIO_STEP
        self.work = USUAL_WORK  # seconds that a request takes here, whichever it is
        self.usual_foreign_load = 0.3  # requests of others at a backend that is not this ingress's own
        self.own: frozenset[str] = frozenset()  # backends that this ingress goes to first

    def learn_route(self, cls: io.ClassSettings, target_latency: float, tenant: str) -> None:
        """Make room for what is learnt of a route and of a tenant, at their first request."""
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
        """Also where nothing can come free for it: every backend in use has had it, or there is none."""
        left = any(b.usable and b.entry.backend not in f.bad for b in self.fleet.backends.values())
        return not left or super().late(now, f)

    # Which backend.

    def cost(self, now: float, f: ActiveRequest, b: Backend) -> float:
        """The time that a request is expected to take there: work, and what may be before it.

        Each ingress has backends of its own that it goes to first, so that two seldom meet at a free one.
        What others have at a backend is known by its last answer, and soon only by what is usual there.
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
        )  # others' work before it, in terms of its own
        cost = self.slowness(b) * (1 + ahead * relative_work)
        if b.entry.backend not in self.own:
            cost *= FOREIGN_BACKEND_COST
        return cost * REMOTE_ZONE_COST if b.entry.zone != self.s.zone else cost

    def judge(self, now: float, b: Backend, e: io.AttemptEnded, name: str, plan: str) -> None:
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
        super().listed(now, e)
        for entry in e.entries:
            if entry.phase is io.Phase.DELETED:
                self.others.pop(entry.backend, None)
        held = [b.entry.weight for b in self.fleet.backends.values() if b.usable]
        self.floor = 1 + 2 * sum(held) / max(1, len(held))
        # Backends come one by one: the first must not stand for all. Under press there are more as well. A
        # new leader may have heard of few ingresses yet; the budget doesn't believe that at once.
        self.slots = max(self.slots, SLOTS * self.fleet.usable / self.budget.ingresses)

    def assign_own_backends(self, place: int, zone_peers: int) -> None:
        """Which backends of the zone are this ingress's own: the ingresses of a zone take them in turn."""
        near = sorted(
            b.entry.backend for b in self.fleet.backends.values() if b.usable and b.entry.zone == self.s.zone
        )
        first = zlib.crc32(self.name.encode())  # or those in front had more of every service
        self.own = frozenset(
            n for i, n in enumerate(near) if zone_peers and (i + first) % zone_peers == place
        )

    def why(self, f: ActiveRequest) -> str:
        """Why a request that has not run is turned back."""
        if f.attempts:
            return "turned away by backends"
        return "no slot in time" if self.fleet.usable else "no backend known"

    def refuse(self, now: float, f: ActiveRequest, wait: float) -> None:
        self.give_up(now, f, wait)

    def occupy(self, now: float, f: ActiveRequest, b: Backend) -> None:
        self.budget.count(now, f.attempts > 1)
        super().occupy(now, f, b)

    def may_send(self, now: float, f: ActiveRequest, ran_at: float | None) -> bool:
        route: Route = f.req.about.route
        return f.attempts < route.tries and super().may_send(now, f, ran_at) and self.budget.allows(now)
