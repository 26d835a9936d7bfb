"""The decisions on a request: the charge to its tenant's quota, its service, and the choice of a backend."""

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
from gateway.quota import events as quota_events
from gateway.quota import outputs as quota_outputs
from gateway.quota.protocol import attempt_number
from gateway.quota.quota_client import QuotaClient
from ingress import interface as io
from ingress.customer import Customer
from ingress.flight import ActiveRequest

CHARGE_PATIENCE_RATIO = 0.25  # of its target latency, for a charge; then this ingress's share decides
MAX_CHARGE_PATIENCE_S = 0.12  # the upper limit of that time
MIN_RETRY_AFTER_S = 0.1  # after a refusal for other reasons than quota: random, one to three times this

log = logging.getLogger("gateway.proxy.decisions")


class RequestContext(NamedTuple):
    """The result of matching a request against the configuration."""

    route: Route
    tenant: Tenant | None
    precedence: int
    late: bool = False  # a retry that comes too late to meet the target latency

    @property
    def rank(self) -> int:
        """The precedence within its tenant's allowance, 0 the highest: by route, late requests behind."""
        return 2 * self.route.precedence + self.late

    @property
    def urgency(self) -> float:
        """The order in which queued requests go to backends, the greatest first: by the request's precedence,
        then by its route's."""
        own = self.route.precedence
        return 1.0 / (1 + self.precedence + own / (1 + own))


class Backends(NamedTuple):
    """Event: backends of a service were added, changed or removed."""

    service: str
    entries: tuple[io.BackendEntry, ...]


class ProxyPeers(NamedTuple):
    """Event: the number of ingresses, this one's index among those of its zone (-1: not listed yet), and the
    number of those."""

    ingresses: int
    place: int
    zone_peers: int


class QuotaEvent(NamedTuple):
    """Event: an input of the quota client's state machine."""

    input: Any


class OverQuota(NamedTuple):
    """Action: answer 429, as the tenant is over its allowance; `wait` is the time in seconds until it has
    room again, `why` the reason for the log."""

    request: str
    wait: float
    why: str = ""


class PendingCharge(NamedTuple):
    """A request that waits for the verdict on its charge."""

    flight: ActiveRequest
    service: Service


class Decisions:
    """The decision state machine of one ingress: `handle` takes an event and returns the resulting actions.

    `budget` makes the retry budget of a service, given the number of ingresses.
    """

    def __init__(
        self,
        quota_client: QuotaClient,
        terms: io.Settings,
        budget: Callable[[int], RetryBudget],
        rng: random.Random,
    ) -> None:
        self.quota_client = quota_client
        self.terms = terms
        self.budget = budget
        self.rng = rng
        self.services: dict[str, Service] = {}
        self.waiting: dict[
            int, PendingCharge | None
        ] = {}  # by the attempt number of the charge; None: the client has disconnected
        self.homes: dict[str, Service] = {}  # by request id, the service that handles it
        self.charged: set[str] = set()  # of these, the requests whose unit can still be refunded
        self.proxy_peers = ProxyPeers(terms.instances, 0, 0)
        self.instances = terms.instances
        self.grown_at: float | None = None  # when the number of ingresses last increased
        self.customers: dict[str, Customer] = {}
        self.refusals = Refusals()
        self.acts: list[Any] = []
        self.sweep_timers: dict[int, Service] = {}  # by timer token
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
        """Handle one event; `now` is in seconds of a steady clock. Events of other types are ignored."""
        self.acts = []
        if (decide := self.on.get(type(event))) is not None:
            decide(now, event)
        return self.acts

    def members(self, now: float) -> tuple[int, int]:
        """The number of known backends, and how many of them are avoided."""
        known = [s.fleet.members(now) for s in self.services.values()]
        return sum(n for n, _ in known), sum(n for _, n in known)

    # A request: charge, then the choice of a backend by its service.

    def request(self, now: float, r: io.Request) -> None:
        """Charge one unit to the tenant's quota before the request is sent on; without a limit, send it."""
        self.refusals.request_received(now)
        about: RequestContext = r.about
        route = about.route
        tenant = about.tenant
        service = self.service(now, route.pick_service(self.rng.random()))
        cls = services.class_of(route)
        label = tenant.label if tenant is not None else ""
        service.learn_route(cls, route.target_latency, label)
        flight = ActiveRequest(r, cls, self.customer_of(label, now), now)
        flight.value = about.urgency
        if tenant is None or tenant.rate <= 0:
            return self.send_on(now, flight, service)
        number = attempt_number(r.id)
        self.waiting[number] = PendingCharge(flight, service)
        patience = min(CHARGE_PATIENCE_RATIO * route.target_latency, MAX_CHARGE_PATIENCE_S, r.expires_in)
        self.handle_quota(now, quota_events.ChargeRequest(number, label, about.rank, patience))

    def service(self, now: float, name: str) -> Service:
        """The service of this name; a new one has no backends yet."""
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
        """The tenant, as the `Customer` that `Routing` expects."""
        known = self.customers.get(label)
        if known is None:
            if len(self.customers) >= services.MAX_REJECTION_KEYS:
                self.customers.clear()
            known = self.customers[label] = Customer(0, io.PlanSettings(label, 0.0, 0.0), now)
        return known

    def quota_event(self, now: float, e: QuotaEvent) -> None:
        """Pass an event's input on to the quota client."""
        self.handle_quota(now, e.input)

    def handle_quota(self, now: float, item: Any) -> None:
        """Pass an input to the quota client, and carry out the verdicts that result."""
        for out in self.quota_client.handle(now, item):
            if not isinstance(out, quota_outputs.ChargeDecision):
                self.acts.append(out)
            elif out.attempt_id in self.waiting:
                waiting = self.waiting.pop(out.attempt_id)
                if waiting is None:  # its client has disconnected meanwhile
                    if out.admitted:
                        self.handle_quota(now, quota_events.Refund(out.attempt_id))
                elif out.admitted:
                    self.charged.add(waiting.flight.req.id)
                    self.send_guarded(now, waiting.flight, waiting.service)
                else:
                    self.refusals.count(now, out.reason)
                    self.acts.append(OverQuota(waiting.flight.req.id, out.retry_after_s, out.reason))

    def send_on(self, now: float, f: ActiveRequest, s: Service) -> None:
        """Hand a request, which is within its allowance, to its service to be sent to a backend."""
        self.homes[f.req.id] = s
        s.active_requests[f.req.id] = f
        self.run_service(s, lambda: s.send(now, f))

    def send_guarded(self, now: float, f: ActiveRequest, s: Service) -> None:
        """As `send_on`, outside the handling of the request's own event: an exception is logged and ends the
        request, as it would there."""
        try:
            self.send_on(now, f, s)
        except Exception:
            log.exception("sending request %s on", f.req.id)
            self.give_up(now, f, 0.0)

    def run_service(self, s: Service, call: Callable[[], None]) -> None:
        """Let a service act, collect its actions, and set its sweep timer if it needs one."""
        s.acts = []
        call()
        self.acts += s.acts
        if not s.armed and (s.limit.in_flight or s.queue):
            s.armed = True
            token = next(t for t, known in self.sweep_timers.items() if known is s)
            self.acts.append(io.SetTimer(services.SWEEP_INTERVAL_S, token))

    def movable(self, now: float, request: str) -> bool:
        """Whether a request that is at a backend may be cancelled there and sent to another one."""
        s = self.homes.get(request)
        f = s.active_requests.get(request) if s is not None else None
        return s is not None and f is not None and s.movable(now, f)

    def sweep_due(self, now: float, e: io.TimerFired) -> None:
        """A service's sweep timer has fired: check silent backends and queued requests."""
        s = self.sweep_timers[e.token]
        self.run_service(s, lambda: s.sweep(now))

    def stream_progress(self, now: float, e: io.AttemptStarted | io.AttemptWritten) -> None:
        """A large request body or response is being streamed."""
        s = self.homes.get(e.request)
        if s is not None:
            call = s.started if isinstance(e, io.AttemptStarted) else s.written
            self.run_service(s, lambda: call(now, e))  # type: ignore[arg-type]

    def ended(self, now: float, e: io.AttemptEnded) -> None:
        """An attempt has ended. The unit is kept charged unless the outcome shows that it never ran."""
        s = self.homes.get(e.request)
        if s is None:
            return
        if e.outcome not in io.NEVER_RAN:
            self.charged.discard(e.request)
        self.run_service(s, lambda: s.ended(now, e))
        if e.request not in s.active_requests and not any(
            e.request in b.out for b in s.fleet.backends.values()
        ):
            self.give_back(now, e.request)  # if the client disconnected while a connection was being opened
            self.forget(e.request)

    def client_gone(self, now: float, e: io.ClientGone) -> None:
        """The client has disconnected: a request that was never sent gets its unit refunded."""
        if (number := attempt_number(e.request)) in self.waiting:
            self.waiting[number] = None
        s = self.homes.get(e.request)
        f = s.active_requests.pop(e.request, None) if s is not None else None
        if f is not None and not f.attempt_out:
            if f.ran_at is None:
                self.give_back(now, e.request)
            self.forget(e.request)

    def forget(self, request: str) -> None:
        """Drop a finished request."""
        self.homes.pop(request, None)
        self.charged.discard(request)

    def give_back(self, now: float, request: str) -> None:
        """Refund the unit of a request that never ran."""
        if request in self.charged:
            self.charged.discard(request)
            self.handle_quota(now, quota_events.Refund(attempt_number(request)))

    def give_up(self, now: float, f: ActiveRequest, wait: float) -> None:
        """Answer a request finally: with a refusal and a time to retry if it never ran, otherwise with a
        failure. `wait` is the least time to retry, in seconds."""
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
        """Apply changes of a service's backends."""
        s = self.service(now, e.service)
        self.run_service(s, lambda: s.listed(now, io.ListUpdate(io.ListKind.CHANGE, 0, e.entries)))
        s.assign_own_backends(self.proxy_peers.place, self.proxy_peers.zone_peers)

    def update_peers(self, now: float, e: ProxyPeers) -> None:
        """The set of ingresses has changed: divide backends, slots and retry budgets among them anew."""
        if self.grown_at is None or e.ingresses > self.proxy_peers.ingresses:
            self.grown_at = now
        self.proxy_peers = e
        self.terms = replace(self.terms, instances=max(1, e.ingresses))
        for s in self.services.values():
            s.s = self.terms
            s.budget.share_among(now, self.terms.instances)
            s.assign_own_backends(e.place, e.zone_peers)
