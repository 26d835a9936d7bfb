"""The decisions on a request: charging its tenant's quota, then selecting its service and a backend."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from dataclasses import replace
from typing import NamedTuple

from gateway.proxy import service as services
from gateway.proxy.events import BackendsChanged, Event, PeersChanged, QuotaEvent
from gateway.proxy.outputs import Output, RejectOverQuota
from gateway.proxy.refusals import Refusals
from gateway.proxy.request_context import RequestContext
from gateway.proxy.retry_budget import RetryBudget
from gateway.proxy.service import Service
from gateway.quota import events as quota_events
from gateway.quota.outputs import ChargeDecision
from gateway.quota.protocol import attempt_number
from gateway.quota.quota_client import QuotaClient
from ingress import interface as io
from ingress.customer import Customer
from ingress.flight import ActiveRequest

# Timeout of a charge relative to the target latency; then the local share decides.
CHARGE_TIMEOUT_RATIO = 0.25
MAX_CHARGE_TIMEOUT_S = 0.12  # upper limit of the timeout of a charge
# Rejections for reasons other than quota use a random time of one to three times this.
MIN_RETRY_AFTER_S = 0.1

log = logging.getLogger("gateway.proxy.decisions")


class PendingCharge(NamedTuple):
    """A request waiting for the decision on its charge."""

    request: ActiveRequest
    service: Service


class BackendCounts(NamedTuple):
    """The number of known backends, and how many of them are currently avoided."""

    known: int
    avoided: int


class Decisions:
    """The decision state machine of one proxy: `handle` takes an event and returns the resulting outputs.

    `budget` creates the retry budget of a service, given the number of proxies.
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
        # By the attempt number of the charge; None if the client has disconnected.
        self.pending_charges: dict[int, PendingCharge | None] = {}
        self.service_by_request: dict[str, Service] = {}
        self.charged_requests: set[str] = set()  # requests whose unit can still be refunded
        self.initial_ingresses = terms.instances  # initial estimate for the budget of a new service
        self.peers = PeersChanged(terms.instances, 0, 0)
        self.peers_grown_at: float | None = None  # when the number of proxies last increased
        self.customers: dict[str, Customer] = {}
        self.refusals = Refusals()
        self.outputs: list[Output] = []
        self.sweep_timers: dict[int, Service] = {}  # by timer token

    def handle(self, now: float, event: Event) -> list[Output]:
        """Handle one event; `now` is in seconds of a monotonic clock. Other types of events are ignored."""
        self.outputs = []
        match event:
            case io.Request():
                self.request(now, event)
            case io.AttemptEnded():
                self.ended(now, event)
            case io.ClientGone():
                self.client_gone(now, event)
            case io.TimerFired():
                self.sweep_due(now, event)
            case io.AttemptStarted() | io.AttemptWritten():
                self.stream_progress(now, event)
            case BackendsChanged():
                self.backends_changed(now, event)
            case QuotaEvent():
                self.handle_quota(now, event.event)
            case PeersChanged():
                self.peers_changed(now, event)
        return self.outputs

    def members(self, now: float) -> BackendCounts:
        """The number of known backends, and how many of them are currently avoided."""
        counts = [service.fleet.members(now) for service in self.services.values()]
        return BackendCounts(sum(known for known, _ in counts), sum(avoided for _, avoided in counts))

    # Requests: the charge, then the selection of a backend by the service.

    def request(self, now: float, received: io.Request) -> None:
        """Charge one unit to the tenant's quota, then forward the request; no limit means no charge."""
        self.refusals.request_received(now)
        context: RequestContext = received.context
        route = context.route
        tenant = context.tenant
        service = self.service(now, route.pick_service(self.rng.random()))
        request_class = services.class_of(route)
        label = tenant.label if tenant is not None else ""
        service.learn_route(request_class, route.target_latency, label)
        request = ActiveRequest(received, request_class, self.customer_of(label, now), now)
        request.value = context.queue_priority
        if tenant is None or tenant.rate <= 0:
            self.forward(now, request, service)
            return
        number = attempt_number(received.id)
        self.pending_charges[number] = PendingCharge(request, service)
        target_s = CHARGE_TIMEOUT_RATIO * route.target_latency
        timeout_s = min(target_s, MAX_CHARGE_TIMEOUT_S, received.expires_in)
        charge = quota_events.ChargeRequest(number, label, context.quota_precedence, timeout_s)
        self.handle_quota(now, charge)

    def service(self, now: float, name: str) -> Service:
        """The service with this name; a new one has no backends yet."""
        service = self.services.get(name)
        if service is not None:
            return service
        budget = self.budget(self.initial_ingresses)
        service = Service(name, self.terms, budget, self.rng, now, self.give_up)
        self.services[name] = service
        self.sweep_timers[len(self.sweep_timers)] = service
        if self.peers_grown_at is not None:
            budget.share_among(self.peers_grown_at, self.peers.ingresses)
        return service

    def customer_of(self, label: str, now: float) -> Customer:
        """The tenant as the `Customer` that `Routing` expects."""
        customer = self.customers.get(label)
        if customer is None:
            if len(self.customers) >= services.MAX_REJECTION_KEYS:
                self.customers.clear()
            customer = self.customers[label] = Customer(0, io.PlanSettings(label, 0.0, 0.0), now)
        return customer

    def handle_quota(self, now: float, event: quota_events.ClientEvent) -> None:
        """Pass an event to the quota client, and carry out the resulting decisions."""
        for output in self.quota_client.handle(now, event):
            if not isinstance(output, ChargeDecision):
                self.outputs.append(output)
            elif output.attempt_id in self.pending_charges:
                self._on_charge_decision(now, output)

    def _on_charge_decision(self, now: float, decision: ChargeDecision) -> None:
        """Forward a charged request or reject it; if its client has disconnected, refund the unit."""
        pending = self.pending_charges.pop(decision.attempt_id)
        if pending is None:
            if decision.admitted:
                self.handle_quota(now, quota_events.Refund(decision.attempt_id))
        elif decision.admitted:
            self.charged_requests.add(pending.request.req.id)
            self.forward_guarded(now, pending.request, pending.service)
        else:
            self.refusals.count(now, decision.reason)
            request_id = pending.request.req.id
            self.outputs.append(RejectOverQuota(request_id, decision.retry_after_s, decision.reason))

    def forward(self, now: float, request: ActiveRequest, service: Service) -> None:
        """Pass a request that is within its allowance to its service, to be sent to a backend."""
        self.service_by_request[request.req.id] = service
        service.active_requests[request.req.id] = request
        self.run_service(service, lambda: service.send(now, request))

    def forward_guarded(self, now: float, request: ActiveRequest, service: Service) -> None:
        """Like `forward`, but outside of the handling of the request's own event.

        An exception is logged and ends the request, as it would inside.
        """
        try:
            self.forward(now, request, service)
        except Exception:
            log.exception("could not forward request %s", request.req.id)
            self.give_up(now, request, 0.0)

    def run_service(self, service: Service, call: Callable[[], None]) -> None:
        """Run an operation of a service, collect its actions, and set its sweep timer if necessary."""
        service.actions = []
        call()
        self.outputs += service.actions
        if not service.sweep_timer_set and (service.limit.in_flight or service.queue):
            service.sweep_timer_set = True
            token = next(token for token, known in self.sweep_timers.items() if known is service)
            self.outputs.append(io.SetTimer(services.SWEEP_INTERVAL_S, token))

    def may_move(self, now: float, request_id: str) -> bool:
        """Whether a request at a backend may be cancelled there and sent to another backend."""
        service = self.service_by_request.get(request_id)
        request = service.active_requests.get(request_id) if service is not None else None
        return service is not None and request is not None and service.may_move(now, request)

    def sweep_due(self, now: float, event: io.TimerFired) -> None:
        """Handle a service's sweep timer: check unresponsive backends and queued requests."""
        service = self.sweep_timers[event.token]
        self.run_service(service, lambda: service.sweep(now))

    def stream_progress(self, now: float, event: io.AttemptStarted | io.AttemptWritten) -> None:
        """Handle the progress of a streamed request body or response."""
        service = self.service_by_request.get(event.request)
        if service is None:
            return
        if isinstance(event, io.AttemptStarted):
            self.run_service(service, lambda: service.started(now, event))
        else:
            self.run_service(service, lambda: service.written(now, event))

    def ended(self, now: float, event: io.AttemptEnded) -> None:
        """Handle the end of an attempt. The unit stays charged unless the outcome proves it never ran."""
        service = self.service_by_request.get(event.request)
        if service is None:
            return
        if event.outcome not in io.NEVER_RAN:
            self.charged_requests.discard(event.request)
        self.run_service(service, lambda: service.ended(now, event))
        is_active = event.request in service.active_requests
        if not is_active and not any(event.request in b.in_flight for b in service.fleet.backends.values()):
            # The client may have disconnected while a connection was being opened.
            self.refund(now, event.request)
            self.forget(event.request)

    def client_gone(self, now: float, event: io.ClientGone) -> None:
        """Handle a disconnected client; if the request was never sent, its unit is refunded."""
        number = attempt_number(event.request)
        if number in self.pending_charges:
            self.pending_charges[number] = None
        service = self.service_by_request.get(event.request)
        request = service.active_requests.pop(event.request, None) if service is not None else None
        if request is None or request.attempt_out:
            return
        if request.ran_at is None:
            self.refund(now, event.request)
        self.forget(event.request)

    def forget(self, request_id: str) -> None:
        """Remove a finished request."""
        self.service_by_request.pop(request_id, None)
        self.charged_requests.discard(request_id)

    def refund(self, now: float, request_id: str) -> None:
        """Refund the unit of a request that never ran."""
        if request_id in self.charged_requests:
            self.charged_requests.discard(request_id)
            self.handle_quota(now, quota_events.Refund(attempt_number(request_id)))

    def give_up(self, now: float, request: ActiveRequest, retry_after_s: float) -> None:
        """Send the final response: a rejection if the request never ran, otherwise a failure.

        `retry_after_s` is the minimum time before a retry.
        """
        request_id = request.req.id
        service = self.service_by_request.get(request_id)
        if service is not None:
            service.active_requests.pop(request_id, None)
        if request.ran_at is not None:
            self.outputs.append(io.Fail(request_id))
        else:
            reason = service.refusal_reason(request) if service is not None else "failed"
            self.refusals.count(now, reason)
            self.refund(now, request_id)
            jitter_s = MIN_RETRY_AFTER_S * (1 + 2 * self.rng.random())
            self.outputs.append(io.Refuse(request_id, max(retry_after_s, jitter_s), reason))
        self.forget(request_id)

    # Backends and proxies.

    def backends_changed(self, now: float, event: BackendsChanged) -> None:
        """Apply changes of a service's backends."""
        service = self.service(now, event.service)
        update = io.ListUpdate(io.ListKind.CHANGE, 0, event.entries)
        self.run_service(service, lambda: service.apply_backend_list(now, update))
        service.assign_own_backends(self.peers.index_in_zone, self.peers.zone_ingresses)

    def peers_changed(self, now: float, event: PeersChanged) -> None:
        """Redistribute backends, slots and retry budgets among the proxies."""
        if self.peers_grown_at is None or event.ingresses > self.peers.ingresses:
            self.peers_grown_at = now
        self.peers = event
        self.terms = replace(self.terms, instances=max(1, event.ingresses))
        for service in self.services.values():
            service.settings = self.terms
            service.budget.share_among(now, self.terms.instances)
            service.assign_own_backends(event.index_in_zone, event.zone_ingresses)
