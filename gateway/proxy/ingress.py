"""The gateway's HTTP protocol towards clients and backends, based on the shared ingress of `ingress.net`."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Sequence
from http import HTTPStatus
from time import monotonic

from gateway.config.routing import CompiledConfig, Route, RouteDecision, key_of
from gateway.http_status import is_server_error
from gateway.proxy.decisions import Decisions
from gateway.proxy.events import BackendsChanged, PeersChanged, QuotaEvent
from gateway.proxy.execution_status import ExecutionStatus
from gateway.proxy.outputs import Output, RejectOverQuota
from gateway.proxy.request_context import RequestContext
from gateway.quota import events as quota_events
from gateway.state_machine import Send
from ingress import interface as io
from ingress.net.connection_interfaces import ImmediateResponse
from ingress.net.errors import MalformedRequestError
from ingress.net.exchange import Endpoint
from ingress.net.http_messages import HOP_BY_HOP, Address, ClientRequest, Response, ResponseEnd
from ingress.net.ingress import Ingress
from ingress.net.pending_request import PendingRequest
from ingress.net.request_parser import single_values
from ingress.net.service_protocol import read_number
from ingress.net.upstream import Upstream

# Response headers that aren't forwarded to clients.
DROPPED_RESPONSE_HEADERS = HOP_BY_HOP | {b"content-length", b"backend-load", b"not-executed", b"instance-id"}
# Request headers that may occur only once.
SINGLETON_HEADERS = frozenset((b"host", b"attempt-id", b"authorization", b"deadline-ms"))
# May be used by a backend to report that it hasn't executed a request.
NOT_EXECUTED_STATUSES = (503, 429, 400)
# Statuses that promise to a client that its request never ran; only this proxy itself may send them.
NEVER_RAN_STATUSES = (503, 429, 408, 421)
LOAD_FIELDS = 3  # number of values in the header `Backend-Load`
TIMER_SLACK_S = 0.02  # a timer may fire early by this much according to the event loop's clock
RETRY_AFTER_HEADER = b"Retry-After: 0.3\r\n"
MAX_DEADLINE_S = 3600.0
MIN_RETRY_AFTER_S = 0.05
MIN_QUOTA_RETRY_AFTER_S = 0.01
LATE_RATIO = 0.8  # a retry is late after this part of the target latency, because it takes some time itself
TIMEOUT_DECAY = 0.01  # weight of a shorter timeout in the moving maximum of timeouts


class ProxyIngress(Ingress):
    """The HTTP ingress of one proxy: request matching, headers, final responses, and its backends."""

    health_path = None
    label = b"attempt-id"
    ends = ResponseEnd(read_until_close=True)
    streams = True
    withheld_headers = frozenset((b"authorization", b"tenant", b"deadline-ms", b"target-instance"))

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        terms: io.Settings,
        decisions: Decisions,
        upstream: Upstream,
        send: Callable[[Send], None],
        clock: Callable[[], float] = monotonic,
    ) -> None:
        # These decisions handle and return more types than the base class's events and actions.
        super().__init__(loop, terms, decisions, upstream)  # type: ignore[arg-type]
        self.send = send
        self.steady_clock = clock
        self.refusals = decisions.refusals
        self.may_move = decisions.may_move
        self.compiled_config: CompiledConfig | None = None
        # By route: timeout in seconds that clients allow for a first attempt.
        self.first_timeouts: dict[str, float] = {}
        self.inspect: Callable[[bytes, bytes, bytes, RouteDecision], RouteDecision | None] | None = None
        self.services: dict[str, str] = {}  # name of the service by backend

    def now(self) -> float:
        """Seconds of a monotonic clock, because nothing here has to agree with the clocks of other nodes."""
        return self.steady_clock()

    # Requests of clients.

    def read(
        self, method: bytes, url: bytes, headers: list[tuple[bytes, bytes]]
    ) -> io.Request | ImmediateResponse:
        """Match a request and its key against the configuration; respond at once if it is not allowed."""
        if self.compiled_config is None:
            self.refusals.count(self.now(), "no configuration")
            return ImmediateResponse(503, "no configuration yet", lines=RETRY_AFTER_HEADER)
        try:
            values = single_values(headers, SINGLETON_HEADERS.__contains__)
        except MalformedRequestError as error:
            return ImmediateResponse(error.status, str(error), close=True)
        host = values.get(b"host", b"")
        name = values.get(b"attempt-id", b"")
        key = key_of(values.get(b"authorization", b""))
        deadline_ms = values.get(b"deadline-ms")
        timeout_s = MAX_DEADLINE_S if deadline_ms is None else read_number(deadline_ms) / 1000
        route_decision = self.compiled_config.resolve_request(host, url, key)
        if self.inspect is not None:
            inspected = self.inspect(host, url, key, route_decision)
            if inspected is None:
                self.refusals.count(self.now(), "newer configuration awaited")
                return ImmediateResponse(503, "a newer configuration is awaited", lines=RETRY_AFTER_HEADER)
            route_decision = inspected
        if route_decision.status != HTTPStatus.OK or route_decision.route is None:
            is_unknown_route = route_decision.status == HTTPStatus.NOT_FOUND
            reason = "no such route" if is_unknown_route else "unknown key"
            return ImmediateResponse(route_decision.status, reason)
        if not name or not name.isascii():
            return ImmediateResponse(400, "attempt-id: missing", close=True)
        route = route_decision.route
        tenant = route_decision.tenant
        self.effects[route.label] = io.Effect.SAFE if route.safe else io.Effect.UNSAFE
        self.objectives[route.label] = route.target_latency
        is_late = self.is_late_retry(route, timeout_s)
        return io.Request(
            name.decode(),
            route.label,
            tenant.label if tenant else "",
            0,
            min(timeout_s, route.deadline, MAX_DEADLINE_S),
            1.0,
            context=RequestContext(route, tenant, route_decision.precedence, is_late),
        )

    def is_late_retry(self, route: Route, timeout_s: float) -> bool:
        """Whether an attempt starts too long after its request's first attempt to meet the target latency.

        Clients send their remaining time (`timeout_s`). The longest one seen recently is assumed to be that
        of a first attempt.
        """
        first = self.first_timeouts.get(route.label, timeout_s)
        first = max(timeout_s, first - TIMEOUT_DECAY * (first - timeout_s))
        self.first_timeouts[route.label] = first
        return first - timeout_s > LATE_RATIO * route.target_latency

    # Requests to backends, and their responses.

    def message(self, call: ClientRequest, backend: str, timeout_s: float) -> bytes:
        """The request as it is sent to a backend.

        It is addressed to this instance only, and contains its tenant's label and `timeout_s` as its
        deadline.
        """
        plan = call.request.plan
        tenant = b"Tenant: %s\r\n" % plan.encode() if plan else b""
        return call.message(
            b"%sTarget-Instance: %s\r\nDeadline-Ms: %d\r\n"
            % (tenant, backend.encode(), max(1, int(1000 * timeout_s)))
        )

    def outcome(self, call: ClientRequest, answer: Response) -> io.Outcome | None:
        """The outcome of an attempt by its response; None if that belongs to another request.

        Only a response that says so was not executed. A success needs the backend's seal. Every response
        needs the request's attempt id, except a 421 or a not-executed one, which may omit it.
        """
        attempt_id = answer.headers.get(b"attempt-id")
        is_matching = attempt_id == call.request.id.encode()
        may_match = is_matching or attempt_id is None
        if answer.status == HTTPStatus.MISDIRECTED_REQUEST and may_match:
            return io.Outcome.CONNECT_FAILED  # another instance now has this address
        if answer.status in NOT_EXECUTED_STATUSES and b"not-executed" in answer.headers and may_match:
            return io.Outcome.FULL
        if not is_matching:
            return None
        is_failure = is_server_error(answer.status) or answer.status in NEVER_RAN_STATUSES
        is_unsealed_success = (
            answer.status < HTTPStatus.MULTIPLE_CHOICES and b"backend-seal" not in answer.headers
        )
        return io.Outcome.ERROR if is_failure or is_unsealed_success else io.Outcome.OK

    def lines(self, answer: Response) -> bytes:
        """All response headers except hop-by-hop headers and those that concern only the backend."""
        return b"".join(
            b"%s: %s\r\n" % (name.title(), value)
            for name, value in answer.headers.items()
            if name not in DROPPED_RESPONSE_HEADERS
        )

    def load(self, answer: Response | None) -> dict[str, float]:
        """The load reported by the header `Backend-Load`: running requests, waiting requests, slots.

        The result is empty unless the header has these three values.
        """
        header = answer.headers.get(b"backend-load") if answer is not None else None
        if not header:
            return {}
        parts = [read_number(part) for part in header.split(b",")]
        if len(parts) != LOAD_FIELDS:
            return {}
        running, waiting, slots = parts
        return {"inflight": running + waiting, "slots": slots}

    # Final responses.

    def execution_status(self, pending: PendingRequest) -> ExecutionStatus:
        """What is known about a request's execution by backends."""
        if pending.last is not None and pending.may_have_run and is_server_error(pending.last.status):
            return ExecutionStatus.RAN
        sent = pending.may_have_run or (pending.exchange is not None and pending.exchange.may_have_run)
        return ExecutionStatus.MAY_HAVE_RAN if sent else ExecutionStatus.NEVER_RAN

    def waits_for_silent_backend(self, pending: PendingRequest) -> bool:
        """Whether to keep waiting for a response from an unresponsive backend.

        If part of the response has been forwarded, wait until the deadline. Otherwise wait only if the
        request can't be moved to another backend.
        """
        if pending.streaming_since:
            return self.loop.time() < pending.deadline < math.inf
        return not self.may_move(self.now(), pending.call.request.id)

    def cancels_when_gone(self, pending: PendingRequest) -> bool:
        """Whether a request is cancelled when its client disconnects.

        Only safe requests are, because backends drop a request when its connection closes.
        """
        return self.effects[pending.call.request.class_name] is io.Effect.SAFE

    def may_refuse(self, pending: PendingRequest) -> bool:
        """Whether a rejection, which promises that the request never ran, may be sent."""
        return self.execution_status(pending).allows_refusal

    def answer(self, pending: PendingRequest, status: int, lines: bytes = b"", body: bytes = b"") -> None:
        """Send the final response.

        A 408 for a stalled request body becomes a 400 if part of the body may have been sent to a backend,
        because the promise of a 408 would not hold.
        """
        may_have_run = status == HTTPStatus.REQUEST_TIMEOUT and not self.may_refuse(pending)
        super().answer(pending, HTTPStatus.BAD_REQUEST if may_have_run else status, lines, body)

    def send_final_response(self, name: str, refused: bool, wait: float) -> None:
        """Send the final response: a rejection if the request never ran, with `wait` as Retry-After.

        Otherwise send the backend's own error or a 502, or a 504 at the deadline.
        """
        pending = self.pending.get(name)
        if pending is None:
            return
        if refused and self.execution_status(pending).allows_refusal:
            self.answer(pending, 503, b"Retry-After: %.3f\r\n" % max(wait, MIN_RETRY_AFTER_S))
        elif (
            (last := pending.last) is not None
            and is_server_error(last.status)
            and last.status not in NEVER_RAN_STATUSES
        ):
            self.answer(pending, last.status, self.lines(last), last.body)
        else:
            self.answer(pending, 504 if self.loop.time() >= pending.deadline - TIMER_SLACK_S else 502)

    def carry_out(self, a: Output) -> None:
        """Carry out an output of the decisions."""
        match a:
            case Send():
                self.send(a)
            case RejectOverQuota():
                self._reject_over_quota(a)
            case io.Refuse():
                self._record_refusal(a.request, a.reason)
                super().carry_out(a)
            case _:
                super().carry_out(a)

    def _reject_over_quota(self, output: RejectOverQuota) -> None:
        pending = self._record_refusal(output.request_id, output.reason)
        if pending is not None:
            retry_after_s = max(output.retry_after_s, MIN_QUOTA_RETRY_AFTER_S)
            self.answer(pending, HTTPStatus.TOO_MANY_REQUESTS, b"Retry-After: %.3f\r\n" % retry_after_s)

    def _record_refusal(self, request_id: str, reason: str) -> PendingRequest | None:
        """Add the reason of a rejection to a pending request's history; returns the request."""
        pending = self.pending.get(request_id)
        if pending is not None:
            pending.attempt_history.append((self.loop.time(), reason))
        return pending

    # Events of the other planes.

    def handle_quota(self, event: quota_events.ClientEvent) -> None:
        """Pass an event to the quota client's state machine."""
        self.submit(QuotaEvent(event))  # type: ignore[arg-type]

    def set_peers(self, me: str, zone: int, ingresses: Sequence[tuple[int, str]]) -> None:
        """Set the zone number and the address of all proxies; this one (`me`) may not be among them yet."""
        in_zone = [address for ingress_zone, address in ingresses if ingress_zone == zone]
        index_in_zone = in_zone.index(me) if me in in_zone else -1
        self.submit(PeersChanged(len(ingresses), index_in_zone, len(in_zone)))  # type: ignore[arg-type]

    def backend(
        self,
        name: str,
        service: str,
        address: Address,
        phase: io.Phase,
        slow_start_left_s: float,
        capacity: int = 1,
        zone: str = "",
    ) -> None:
        """Handle an added, changed or removed backend (`phase`).

        Its old connections are closed before anything new is sent to it. `slow_start_left_s` is the remaining
        time of its slow start.
        """
        if phase is io.Phase.DELETED:
            service = self.services.pop(name, service)
            self.upstream.update(name, None)
            self.serving.discard(name)
        else:
            self.services[name] = service
            self.upstream.update(name, Endpoint(address, 0.0))
            if phase is io.Phase.RUNNING:
                self.serving.add(name)
            else:
                self.serving.discard(name)
                self.upstream.close_idle(name)
        is_starting = slow_start_left_s > 0
        born = self.now() + slow_start_left_s - self.settings.slow_start_s if is_starting else 0.0
        entry = io.BackendEntry(name, phase, float(capacity), born=born, zone=zone)
        self.submit(BackendsChanged(service, (entry,)))  # type: ignore[arg-type]
