"""The gateway's HTTP protocol towards clients and backends, on the shared ingress of `ingress.net`."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Sequence
from time import monotonic
from typing import Any

from gateway.config.routing import CompiledConfig, Route, RouteDecision, key_of
from gateway.proxy.decisions import Backends, Decisions, OverQuota, ProxyPeers, QuotaEvent, RequestContext
from gateway.proxy.execution_status import ExecutionStatus
from gateway.state_machine import Send
from ingress import interface as io
from ingress.net.connection_interfaces import ImmediateResponse
from ingress.net.exchange import Endpoint
from ingress.net.http_messages import Address, ClientRequest, Response, ResponseEnd
from ingress.net.ingress import Ingress
from ingress.net.pending_request import PendingRequest
from ingress.net.service_protocol import read_number
from ingress.net.upstream import Upstream

DROPPED_RESPONSE_HEADERS = frozenset(
    (  # response headers that aren't passed on to clients
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"backend-load",
        b"not-executed",
        b"instance-id",
    )
)
SINGLETON_HEADERS = frozenset(
    (b"host", b"attempt-id", b"authorization", b"deadline-ms")
)  # request headers that may occur only once
NOT_EXECUTED_STATUSES = (503, 429, 400)  # with which a backend may say that it hasn't executed a request
NEVER_RAN_STATUSES = (
    503,
    429,
    408,
    421,
)  # statuses that promise to a client that its request never ran: only this ingress itself may give them
TIMER_SLACK_S = 0.02  # by which a timer may be early by the event loop's clock
RETRY_SOON = b"Retry-After: 0.3\r\n"
MAX_DEADLINE_S = 3600.0
LATE_RATIO = 0.8  # of its target latency, after which a retry is late, as it still takes some time itself
PATIENCE_DECAY = 0.01  # by which the longest time seen moves towards each shorter one


class ProxyIngress(Ingress):
    """The HTTP ingress of one proxy: request matching, headers, final answers, and its backends."""

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
        steady: Callable[[], float] = monotonic,
    ) -> None:
        super().__init__(loop, terms, decisions, upstream)
        self.send = send
        self.steady = steady
        self.refusals = decisions.refusals
        self.movable = decisions.movable
        self.compiled_config: CompiledConfig | None = None
        self.patience: dict[str, float] = {}  # by route: seconds that clients give a first try
        self.inspect: Callable[[bytes, bytes, bytes, RouteDecision], RouteDecision | None] | None = None
        self.services: dict[str, str] = {}  # of known backends: the service's name by backend

    def now(self) -> float:
        """Seconds of a steady clock: nothing here has to agree with the clocks of other nodes."""
        return self.steady()

    # Requests of clients.

    def read(
        self, method: bytes, url: bytes, headers: list[tuple[bytes, bytes]]
    ) -> io.Request | ImmediateResponse:
        """Match a request and its key against the configuration; answer at once if it is not allowed."""
        if self.compiled_config is None:
            self.refusals.count(self.now(), "no configuration")
            return ImmediateResponse(503, "no configuration yet", lines=RETRY_SOON)
        told: dict[bytes, bytes] = {}
        for field, value in headers:
            field = field.lower()
            if field in SINGLETON_HEADERS:
                if field in told:  # a reader of the other one would take it for another request
                    return ImmediateResponse(400, f"{field.decode()}: more than one", close=True)
                told[field] = value
        host = told.get(b"host", b"")
        name = told.get(b"attempt-id", b"")
        key = key_of(told.get(b"authorization", b""))
        patience = read_number(told[b"deadline-ms"]) / 1000 if b"deadline-ms" in told else MAX_DEADLINE_S
        route_decision = self.compiled_config.resolve_request(host, url, key)
        if self.inspect is not None:
            seen = self.inspect(host, url, key, route_decision)
            if seen is None:
                self.refusals.count(self.now(), "newer configuration awaited")
                return ImmediateResponse(503, "a newer configuration is awaited", lines=RETRY_SOON)
            route_decision = seen
        if route_decision.status != 200 or route_decision.route is None:
            return ImmediateResponse(
                route_decision.status, "no such route" if route_decision.status == 404 else "unknown key"
            )
        if not name or not name.isascii():
            return ImmediateResponse(400, "attempt-id: missing", close=True)
        route = route_decision.route
        tenant = route_decision.tenant
        self.effects[route.label] = io.Effect.SAFE if route.safe else io.Effect.UNSAFE
        self.aims[route.label] = route.target_latency
        return io.Request(
            name.decode(),
            route.label,
            tenant.label if tenant else "",
            0,
            min(patience, route.deadline, MAX_DEADLINE_S),
            1.0,
            about=RequestContext(route, tenant, route_decision.precedence, self.late(route, patience)),
        )

    def late(self, route: Route, patience: float) -> bool:
        """Whether an attempt comes too long after its request's first one to meet the target latency.

        Clients send what is left of their time (`patience`, in seconds); the longest one seen lately is taken
        as that of a first attempt.
        """
        first = self.patience.get(route.label, patience)
        first = max(patience, first - PATIENCE_DECAY * (first - patience))
        self.patience[route.label] = first
        return first - patience > LATE_RATIO * route.target_latency

    # Requests to backends, and their responses.

    def message(self, call: ClientRequest, backend: str, patience: float) -> bytes:
        """The request as sent to a backend: for this instance only, with its tenant's label, and with
        `patience`, in seconds, as its deadline."""
        plan = call.request.plan
        tenant = b"Tenant: %s\r\n" % plan.encode() if plan else b""
        return call.message(
            b"%sTarget-Instance: %s\r\nDeadline-Ms: %d\r\n"
            % (tenant, backend.encode(), max(1, int(1000 * patience)))
        )

    def outcome(self, call: ClientRequest, answer: Response) -> io.Outcome | None:
        """The outcome of an attempt by its response; None if that belongs to another request.

        Only a response that says so was not executed; a success needs its seal, and every response the
        request's attempt id, which only a 421 or a not-executed one may lack.
        """
        name = answer.headers.get(b"attempt-id")
        ours = name is not None and name == call.request.id.encode()
        if answer.status == 421 and (ours or name is None):
            return io.Outcome.CONNECT_FAILED  # another instance has this address now
        if (
            answer.status in NOT_EXECUTED_STATUSES
            and b"not-executed" in answer.headers
            and (ours or name is None)
        ):
            return io.Outcome.FULL
        if not ours:
            return None
        if (
            answer.status >= 500
            or answer.status in NEVER_RAN_STATUSES
            or (answer.status < 300 and b"backend-seal" not in answer.headers)
        ):
            return io.Outcome.ERROR
        return io.Outcome.OK

    def lines(self, answer: Response) -> bytes:
        """All response headers except hop-by-hop ones and those that concern only the backend."""
        return b"".join(
            b"%s: %s\r\n" % (name.title(), value)
            for name, value in answer.headers.items()
            if name not in DROPPED_RESPONSE_HEADERS
        )

    def load(self, answer: Response | None) -> dict[str, float]:
        """The load by the header `Backend-Load`: requests running, requests waiting, slots. Empty unless it
        has these three parts."""
        told = answer.headers.get(b"backend-load") if answer is not None else None
        if not told:
            return {}
        parts = [read_number(part) for part in told.split(b",")]
        if len(parts) != 3:
            return {}
        return {"inflight": parts[0] + parts[1], "slots": parts[2]}

    # Final answers.

    def execution_status(self, held: PendingRequest) -> ExecutionStatus:
        """What is known of a request's execution by backends."""
        if held.last is not None and held.may_have_run and held.last.status >= 500:
            return ExecutionStatus.RAN
        sent = held.may_have_run or (held.exchange is not None and held.exchange.may_have_run)
        return ExecutionStatus.MAY_HAVE_RAN if sent else ExecutionStatus.NEVER_RAN

    def waits_out_silence(self, held: PendingRequest) -> bool:
        """Whether to wait on for a response whose backend has fallen silent: until the deadline if a part of
        it has been passed on, else if the request can't be moved to another backend."""
        if held.flowing:
            return self.loop.time() < held.deadline < math.inf
        return not self.movable(self.now(), held.call.request.id)

    def cancels_when_gone(self, held: PendingRequest) -> bool:
        """Whether a request is cancelled when its client disconnects: only a safe one is, as backends drop a
        request when its connection closes."""
        return self.effects[held.call.request.class_name] is io.Effect.SAFE

    def may_refuse(self, held: PendingRequest) -> bool:
        """Whether a refusal, which promises that the request never ran, may be given."""
        return self.execution_status(held).allows_refusal

    def answer(self, held: PendingRequest, status: int, lines: bytes = b"", body: bytes = b"") -> None:
        """Give the one final answer. A 408 for a request body that stalls becomes a 400 if a part of the body
        may have been sent to a backend, as then nothing can be promised."""
        stopped = status == 408 and not self.may_refuse(held)
        super().answer(held, 400 if stopped else status, lines, body)

    def finish(self, name: str, refused: bool, wait: float) -> None:
        """Give the final answer: a refusal with a time to retry (`wait`, in seconds) if the request never
        ran, else the backend's own error, else 502, or 504 at the deadline."""
        held = self.held.get(name)
        if held is None:
            return
        if refused and self.execution_status(held).allows_refusal:
            self.answer(held, 503, b"Retry-After: %.3f\r\n" % max(wait, 0.05))
        elif (last := held.last) is not None and last.status >= 500 and last.status not in NEVER_RAN_STATUSES:
            self.answer(held, last.status, self.lines(last), last.body)
        else:
            self.answer(held, 504 if self.loop.time() >= held.deadline - TIMER_SLACK_S else 502)

    def carry_out(self, a: Any) -> None:
        """Carry out an action of the decisions."""
        if isinstance(a, Send):
            self.send(a)
        elif isinstance(a, OverQuota):
            held = self.held.get(a.request)
            if held is not None:
                held.attempt_history.append((self.loop.time(), a.why))
                self.answer(held, 429, b"Retry-After: %.3f\r\n" % max(a.wait, 0.01))
        else:
            if isinstance(a, io.Refuse) and (held := self.held.get(a.request)) is not None:
                held.attempt_history.append((self.loop.time(), a.why))
            super().carry_out(a)

    # Events of the other planes.

    def handle_quota(self, item: Any) -> None:
        """Pass an input to the quota client's state machine."""
        self.submit(QuotaEvent(item))  # type: ignore[arg-type]

    def proxy_peers(self, me: str, zone: int, ingresses: Sequence[tuple[int, str]]) -> None:
        """Set the zone number and address of all ingresses; this one (`me`) may not be among them yet."""
        zone_peers = [address for its, address in ingresses if its == zone]
        place = zone_peers.index(me) if me in zone_peers else -1
        self.submit(ProxyPeers(len(ingresses), place, len(zone_peers)))  # type: ignore[arg-type]

    def backend(
        self,
        name: str,
        service: str,
        address: Address,
        phase: io.Phase,
        cold_left: float,
        capacity: int = 1,
        zone: str = "",
    ) -> None:
        """A backend was added, changed or removed (`phase`); its old connections are closed before anything
        new may be sent. `cold_left` is the rest of its slow start in seconds."""
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
        born = self.now() + cold_left - self.settings.cold_time if cold_left > 0 else 0.0
        entry = io.BackendEntry(name, phase, float(capacity), born=born, zone=zone)
        self.submit(Backends(service, (entry,)))  # type: ignore[arg-type]
