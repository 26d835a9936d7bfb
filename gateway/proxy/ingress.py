"""The whole system's words to clients and backends, on the shared ingress."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from time import monotonic
from typing import Any

from gateway.config.routing import CompiledConfig, Route, RouteDecision, key_of
from gateway.proxy.decisions import Backends, Decisions, OverQuota, ProxyPeers, QuotaEvent, RequestContext
from gateway.proxy.execution_status import ExecutionStatus
from gateway.state_machine import Send
from roadspur import interface as io
from roadspur.net.connection_interfaces import ImmediateResponse
from roadspur.net.exchange import Endpoint
from roadspur.net.http_messages import Address, ClientRequest, Response, ResponseEnd
from roadspur.net.ingress import Ingress
from roadspur.net.pending_request import PendingRequest
from roadspur.net.service_protocol import read_number
from roadspur.net.upstream import Upstream

DROPPED_RESPONSE_HEADERS = frozenset(
    (  # headers of answers that are not handed on
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
)  # by a request, once
NOT_EXECUTED_STATUSES = (503, 429, 400)  # statuses with which a backend may say that it has not run a request
NEVER_RAN_STATUSES = (
    503,
    429,
    408,
    421,
)  # statuses that promise that: only this ingress may give them to a client
TIMER_SLACK_S = 0.02  # by which a timer may be early on the loop's own clock
RETRY_SOON = b"Retry-After: 0.3\r\n"
MAX_DEADLINE_S = 3600.0
LATE_RATIO = 0.8  # of its aim, after which a request is late, as its try has a way to go yet
PATIENCE_DECAY = 0.01  # of the difference to the longest time told, by which that fades


class ProxyIngress(Ingress):
    """One ingress of the whole system."""

    health_path = None
    label, ends, streams = b"attempt-id", ResponseEnd(read_until_close=True), True
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
        self.send, self.steady, self.refusals = send, steady, decisions.refusals
        self.compiled_config: CompiledConfig | None = None
        self.patience: dict[str, float] = {}  # by route: seconds that clients tell with a first try
        self.inspect: Callable[[bytes, bytes, bytes, RouteDecision], RouteDecision | None] | None = None
        self.services: dict[str, str] = {}  # of backends that are known

    def now(self) -> float:
        """A steady clock's seconds: nothing here has to agree with other nodes' clocks."""
        return self.steady()

    # What clients say.

    def read(
        self, method: bytes, url: bytes, headers: list[tuple[bytes, bytes]]
    ) -> io.Request | ImmediateResponse:
        """Match the call and its key; what no configuration allows is answered at once."""
        if self.compiled_config is None:
            self.refusals.count(self.now(), "no configuration")
            return ImmediateResponse(503, "no configuration yet", lines=RETRY_SOON)
        told: dict[bytes, bytes] = {}
        for field, value in headers:
            field = field.lower()
            if field in SINGLETON_HEADERS:
                if field in told:  # whoever reads the other one takes it for another request
                    return ImmediateResponse(400, f"{field.decode()}: more than one", close=True)
                told[field] = value
        host, name = told.get(b"host", b""), told.get(b"attempt-id", b"")
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
        route, tenant = route_decision.route, route_decision.tenant
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
        """Whether a try comes too long after its request's first one to earn its full worth.

        Clients tell what is left of their time, in seconds; the longest of late is that of a first try.
        """
        first = self.patience.get(route.label, patience)
        first = max(patience, first - PATIENCE_DECAY * (first - patience))
        self.patience[route.label] = first
        return first - patience > LATE_RATIO * route.target_latency

    # What is said to backends, and what they say.

    def message(self, call: ClientRequest, backend: str, patience: float) -> bytes:
        """The request as a backend gets it: for this instance only, under its tenant's name."""
        plan = call.request.plan
        tenant = b"Tenant: %s\r\n" % plan.encode() if plan else b""
        return call.message(
            b"%sTarget-Instance: %s\r\nDeadline-Ms: %d\r\n"
            % (tenant, backend.encode(), max(1, int(1000 * patience)))
        )

    def outcome(self, call: ClientRequest, answer: Response) -> io.Outcome | None:
        """Only an answer that says so has not run; a success needs its seal, all need the request's id."""
        name = answer.headers.get(b"attempt-id")
        ours = name is not None and name == call.request.id.encode()
        if answer.status == 421 and (ours or name is None):
            return io.Outcome.CONNECT_FAILED  # another instance has the address
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
        """All headers but those that concern one connection, or the backend only."""
        return b"".join(
            b"%s: %s\r\n" % (name.title(), value)
            for name, value in answer.headers.items()
            if name not in DROPPED_RESPONSE_HEADERS
        )

    def load(self, answer: Response | None) -> dict[str, float]:
        """`Backend-Load`: requests running, requests waiting, slots."""
        told = answer.headers.get(b"backend-load") if answer is not None else None
        if not told:
            return {}
        parts = [read_number(part) for part in told.split(b",")]
        if len(parts) != 3:
            return {}
        return {"inflight": parts[0] + parts[1], "slots": parts[2]}

    # Final answers.

    def execution_status(self, held: PendingRequest) -> ExecutionStatus:
        """What is known of a request's runs."""
        if held.last is not None and held.may_have_run and held.last.status >= 500:
            return ExecutionStatus.RAN
        sent = held.may_have_run or (held.exchange is not None and held.exchange.may_have_run)
        return ExecutionStatus.MAY_HAVE_RAN if sent else ExecutionStatus.NEVER_RAN

    def may_refuse(self, held: PendingRequest) -> bool:
        return self.execution_status(held).allows_refusal

    def answer(self, held: PendingRequest, status: int, lines: bytes = b"", body: bytes = b"") -> None:
        """The one final answer. That a body stops when a part of it has gone out allows no promise."""
        stopped = status == 408 and not self.may_refuse(held)
        super().answer(held, 400 if stopped else status, lines, body)

    def finish(self, name: str, refused: bool, wait: float) -> None:
        """A promise with a time to come back, or what the backend has said, or a failure."""
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

    # What the other planes tell.

    def handle_quota(self, item: Any) -> None:
        """News for the quota plane's machine."""
        self.submit(QuotaEvent(item))  # type: ignore[arg-type]

    def proxy_peers(self, me: str, zone: int, ingresses: list[tuple[int, str]]) -> None:
        """All ingresses there are, with their zones; this one may not be among them yet."""
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
        """A backend came, changed or went; connections of old go before anything may be sent."""
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
