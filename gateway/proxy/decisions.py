"""All decisions on a request: its tenant's charge, its service, and by that service's choice its backend."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any, NamedTuple

from gateway.config.routing import Route, Tenant
from gateway.proxy import service as services
from gateway.proxy.refusals import Refusals
from gateway.proxy.retry_budget import RetryBudget
from gateway.proxy.service import Service
from gateway.quota import interface as quota
from gateway.quota.quota_client import QuotaClient
from gateway.quota.window import attempt_number
from roadspur import interface as io
from roadspur.customer import Customer
from roadspur.flight import ActiveRequest

CHARGE_PATIENCE_RATIO = 0.25  # of a request's aim that its charge may take, then this ingress's share decides
MAX_CHARGE_PATIENCE_S = 0.12  # and in seconds, at most
MIN_RETRY_AFTER_S = 0.1  # after a refusal that no quota is the reason of, drawn from one to three times this

log = logging.getLogger("gateway.proxy.decisions")


class RequestContext(NamedTuple):
    """What the configuration says of a request."""

    route: Route
    tenant: Tenant | None
    precedence: int
    late: bool = False  # it can't earn its full worth any more

    @property
    def rank(self) -> int:
        """Its place within its tenant's allowance, 0 the highest: by its route, late ones behind."""
        return 2 * self.route.precedence + self.late


class Backends(NamedTuple):
    """Event: backends of a service that came, changed or went."""

    service: str
    entries: tuple[io.BackendEntry, ...]


class ProxyPeers(NamedTuple):
    """Event: how many ingresses there are, and this one's place among those of its zone."""

    ingresses: int
    place: int
    zone_peers: int


class QuotaEvent(NamedTuple):
    """Event: an input of the quota plane's machine."""

    input: Any


class OverQuota(NamedTuple):
    """Final answer: beyond the allowance, which has room again in `wait` seconds; `why` for the log."""

    request: str
    wait: float
    why: str = ""


class PendingCharge(NamedTuple):
    """A request whose charge is out."""

    flight: ActiveRequest
    service: Service


class Decisions:
    """One ingress's decisions; `handle` takes an event and gives the actions it calls for."""

    def __init__(
        self,
        quota_client: QuotaClient,
        terms: io.Settings,
        budget: Callable[[int], RetryBudget],
        rng: random.Random,
    ) -> None:
        self.quota_client, self.terms, self.budget, self.rng = quota_client, terms, budget, rng
        self.services: dict[str, Service] = {}
        self.waiting: dict[
            int, PendingCharge | None
        ] = {}  # by the number charged under; None: the client has gone
        self.homes: dict[str, Service] = {}  # requests that a service has
        self.charged: set[str] = set()  # of these, those whose unit can still be given back
        self.proxy_peers, self.instances = ProxyPeers(terms.instances, 0, 0), terms.instances
        self.grown_at: float | None = None  # when more ingresses than before were told of
        self.customers: dict[str, Customer] = {}
        self.refusals = Refusals()
        self.acts: list[Any] = []
        self.sweep_timers: dict[int, Service] = {}  # timers' tokens
        self.on: dict[type, Callable[[float, Any], None]] = {
            io.Request: self.request,
            io.AttemptEnded: self.ended,
            io.ClientGone: self.client_gone,
            io.TimerFired: self.sweep_due,
            io.AttemptStarted: self.stream_progress,
            io.AttemptWritten: self.stream_progress,
            Backends: self.backends,
            QuotaEvent: self.quota_event,
            ProxyPeers: self.update_peers,
        }

    def handle(self, now: float, event: Any) -> list[Any]:
        """Decide on one event; `now` is in seconds of a steady clock."""
        self.acts = []
        if (decide := self.on.get(type(event))) is not None:
            decide(now, event)
        return self.acts

    def members(self, now: float) -> tuple[int, int]:
        """Backends known, and how many of them are avoided."""
        known = [s.fleet.members(now) for s in self.services.values()]
        return sum(n for n, _ in known), sum(n for _, n in known)

    # A request: charge, then a service's choice.

    def request(self, now: float, r: io.Request) -> None:
        """Charge one unit to the tenant's count before it goes on."""
        self.refusals.request_received(now)
        about: RequestContext = r.about
        route, tenant = about.route, about.tenant
        service = self.service(now, route.pick_service(self.rng.random()))
        cls = services.class_of(route)
        label = tenant.label if tenant is not None else ""
        service.learn_route(cls, route.target_latency, label)
        flight = ActiveRequest(r, cls, self.customer_of(label, now), now)
        flight.value = 1.0 / (1 + about.precedence)
        if tenant is None or tenant.rate <= 0:
            return self.send_on(now, flight, service)
        number = attempt_number(r.id)
        self.waiting[number] = PendingCharge(flight, service)
        patience = min(CHARGE_PATIENCE_RATIO * route.target_latency, MAX_CHARGE_PATIENCE_S, r.expires_in)
        self.handle_quota(now, quota.ChargeRequest(number, label, about.rank, patience))

    def service(self, now: float, name: str) -> Service:
        """A service's backends, none of them known if it is new."""
        known = self.services.get(name)
        if known is None:
            known = self.services[name] = Service(
                name, self.terms, self.budget(self.instances), self.rng, now, self.give_up
            )
            self.sweep_timers[len(self.sweep_timers)] = known
            if self.grown_at is not None:
                known.budget.share_among(self.grown_at, self.proxy_peers.ingresses)
        return known

    def customer_of(self, label: str, now: float) -> Customer:
        """The tenant as the shared choice knows customers."""
        known = self.customers.get(label)
        if known is None:
            if len(self.customers) >= services.MAX_REJECTION_KEYS:
                self.customers.clear()
            known = self.customers[label] = Customer(0, io.PlanSettings(label, 0.0, 0.0), now)
        return known

    def quota_event(self, now: float, e: QuotaEvent) -> None:
        """News for the quota plane's machine."""
        self.handle_quota(now, e.input)

    def handle_quota(self, now: float, item: Any) -> None:
        """Hand an input to the quota plane, and go by the verdicts that come of it."""
        for out in self.quota_client.handle(now, item):
            if not isinstance(out, quota.ChargeDecision):
                self.acts.append(out)
            elif out.id in self.waiting:
                waiting = self.waiting.pop(out.id)
                if waiting is None:  # its client has gone meanwhile
                    if out.verdict == "go":
                        self.handle_quota(now, quota.Refund(out.id))
                elif out.verdict == "go":
                    self.charged.add(waiting.flight.req.id)
                    self.send_guarded(now, waiting.flight, waiting.service)
                else:
                    self.refusals.count(now, out.why)
                    self.acts.append(OverQuota(waiting.flight.req.id, out.wait_s, out.why))

    def send_on(self, now: float, f: ActiveRequest, s: Service) -> None:
        """Within the allowance: on to a backend."""
        self.homes[f.req.id] = s
        s.active_requests[f.req.id] = f
        self.run_service(s, lambda: s.send(now, f))

    def send_guarded(self, now: float, f: ActiveRequest, s: Service) -> None:
        """The same, where no event of the request's own is handled: a fault ends it all the same."""
        try:
            self.send_on(now, f, s)
        except Exception:
            log.exception("sending request %s on", f.req.id)
            self.give_up(now, f, 0.0)

    def run_service(self, s: Service, call: Callable[[], None]) -> None:
        """Let a service act, and see to its beat."""
        s.acts = []
        call()
        self.acts += s.acts
        if not s.armed and (s.out or s.queue):
            s.armed = True
            token = next(t for t, known in self.sweep_timers.items() if known is s)
            self.acts.append(io.SetTimer(services.SWEEP_INTERVAL_S, token))

    def sweep_due(self, now: float, e: io.TimerFired) -> None:
        """Look at silent backends and at what is held."""
        s = self.sweep_timers[e.token]
        self.run_service(s, lambda: s.sweep(now))

    def stream_progress(self, now: float, e: io.AttemptStarted | io.AttemptWritten) -> None:
        """A large body or answer is on its way."""
        s = self.homes.get(e.request)
        if s is not None:
            call = s.started if isinstance(e, io.AttemptStarted) else s.written
            self.run_service(s, lambda: call(now, e))  # type: ignore[arg-type]

    def ended(self, now: float, e: io.AttemptEnded) -> None:
        """An attempt has ended."""
        s = self.homes.get(e.request)
        if s is None:
            return
        if e.outcome not in io.NEVER_RAN:
            self.charged.discard(e.request)
        self.run_service(s, lambda: s.ended(now, e))
        if e.request not in s.active_requests and not any(
            e.request in b.out for b in s.fleet.backends.values()
        ):
            self.give_back(now, e.request)  # if the client left while a connection was being opened
            self.forget(e.request)

    def client_gone(self, now: float, e: io.ClientGone) -> None:
        """The client has gone: what was not sent uses nothing up."""
        if (number := attempt_number(e.request)) in self.waiting:
            self.waiting[number] = None
        s = self.homes.get(e.request)
        f = s.active_requests.pop(e.request, None) if s is not None else None
        if f is not None and not f.attempt_out:
            if f.ran_at is None:
                self.give_back(now, e.request)
            self.forget(e.request)

    def forget(self, request: str) -> None:
        self.homes.pop(request, None)
        self.charged.discard(request)

    def give_back(self, now: float, request: str) -> None:
        """A request that never ran gives its unit back."""
        if request in self.charged:
            self.charged.discard(request)
            self.handle_quota(now, quota.Refund(attempt_number(request)))

    def give_up(self, now: float, f: ActiveRequest, wait: float) -> None:
        """Final answer at once: a promise with a time to come back if it never ran, a failure otherwise."""
        name = f.req.id
        home = self.homes.get(name)
        if home is not None:
            home.active_requests.pop(name, None)
        if f.ran_at is not None:
            self.acts.append(io.Fail(name))
        else:
            why = home.why(f) if home is not None else "failed"
            self.refusals.count(now, why)
            self.give_back(now, name)
            self.acts.append(io.Refuse(name, max(wait, MIN_RETRY_AFTER_S * (1 + 2 * self.rng.random())), why))
        self.forget(name)

    # Backends.

    def backends(self, now: float, e: Backends) -> None:
        """Follow what is known of a service's backends."""
        s = self.service(now, e.service)
        self.run_service(s, lambda: s.listed(now, io.ListUpdate(io.ListKind.CHANGE, 0, e.entries)))
        s.assign_own_backends(self.proxy_peers.place, self.proxy_peers.zone_peers)

    def update_peers(self, now: float, e: ProxyPeers) -> None:
        """Other ingresses came or went: all share backends, slots and the budget anew."""
        if self.grown_at is None or e.ingresses > self.proxy_peers.ingresses:
            self.grown_at = now
        self.proxy_peers = e
        self.terms = replace(self.terms, instances=max(1, e.ingresses))
        for s in self.services.values():
            s.s = self.terms
            s.budget.share_among(now, self.terms.instances)
            s.assign_own_backends(e.place, e.zone_peers)
