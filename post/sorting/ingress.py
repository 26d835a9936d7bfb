"""The whole system's words to clients and backends, on the shared ingress."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from time import monotonic
from typing import Any

from post.directory.matchers import Book, Judged, Route, key_of
from post.machine import Send
from post.sorting.decisions import About, Backends, Decisions, Fellows, Franked, OverQuota
from post.sorting.verdict import Verdict
from roadspur import interface as io
from roadspur.net.door import Early
from roadspur.net.exchange import Endpoint
from roadspur.net.held import Held
from roadspur.net.ingress import Ingress
from roadspur.net.upstream import Upstream
from roadspur.net.wire import Address, Answer, Call, End
from roadspur.net.words import read_number

ABSENT = frozenset((  # headers of answers that are not handed on
    b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
    b"content-length", b"backend-load", b"not-executed", b"instance-id"))
TOLD = frozenset((b"host", b"attempt-id", b"authorization", b"deadline-ms"))  # by a request, once
SHED = (503, 429, 400)  # statuses with which a backend may say that it has not run a request
PROMISES = (503, 429, 408, 421)  # statuses that promise that: only this ingress may give them to a client
COARSE_S = 0.02  # by which a timer may be early on the loop's own clock
SOON = b"Retry-After: 0.3\r\n"
LONGEST_S = 3600.0
LATE = 0.8  # of its aim, after which a request is late, as its try has a way to go yet
FADE = 0.01  # of the difference to the longest time told, by which that fades


class Sorting(Ingress):
    """One ingress of the whole system."""

    health_path = None
    label, ends, streams = b"attempt-id", End(unsaid=True), True
    kept_back = frozenset((b"authorization", b"tenant", b"deadline-ms", b"target-instance"))

    def __init__(self, loop: asyncio.AbstractEventLoop, terms: io.Settings, decisions: Decisions,
                 upstream: Upstream, send: Callable[[Send], None],
                 steady: Callable[[], float] = monotonic) -> None:
        super().__init__(loop, terms, decisions, upstream)
        self.send, self.steady, self.refusals = send, steady, decisions.refusals
        self.movable = decisions.movable
        self.book: Book | None = None
        self.patience: dict[str, float] = {}  # by route: seconds that clients tell with a first try
        self.inspect: Callable[[bytes, bytes, bytes, Judged], Judged | None] | None = None
        self.services: dict[str, str] = {}  # of backends that are known

    def now(self) -> float:
        """A steady clock's seconds: nothing here has to agree with other nodes' clocks."""
        return self.steady()

    # What clients say.

    def read(self, method: bytes, url: bytes, headers: list[tuple[bytes, bytes]]) -> io.Request | Early:
        """Match the call and its key; what no configuration allows is answered at once."""
        if self.book is None:
            self.refusals.count(self.now(), "no configuration")
            return Early(503, "no configuration yet", lines=SOON)
        told: dict[bytes, bytes] = {}
        for field, value in headers:
            field = field.lower()
            if field in TOLD:
                if field in told:  # whoever reads the other one takes it for another request
                    return Early(400, f"{field.decode()}: more than one", close=True)
                told[field] = value
        host, name = told.get(b"host", b""), told.get(b"attempt-id", b"")
        key = key_of(told.get(b"authorization", b""))
        patience = read_number(told[b"deadline-ms"]) / 1000 if b"deadline-ms" in told else LONGEST_S
        judged = self.book.judge(host, url, key)
        if self.inspect is not None:
            seen = self.inspect(host, url, key, judged)
            if seen is None:
                self.refusals.count(self.now(), "newer configuration awaited")
                return Early(503, "a newer configuration is awaited", lines=SOON)
            judged = seen
        if judged.status != 200 or judged.route is None:
            return Early(judged.status, "no such route" if judged.status == 404 else "unknown key")
        if not name or not name.isascii():
            return Early(400, "attempt-id: missing", close=True)
        route, tenant = judged.route, judged.tenant
        self.effects[route.label] = io.Effect.SAFE if route.safe else io.Effect.UNSAFE
        self.aims[route.label] = route.aim
        return io.Request(name.decode(), route.label, tenant.label if tenant else "", 0,
                          min(patience, route.deadline, LONGEST_S), 1.0,
                          about=About(route, tenant, judged.precedence, self.late(route, patience)))

    def late(self, route: Route, patience: float) -> bool:
        """Whether a try comes too long after its request's first one to earn its full worth.

        Clients tell what is left of their time, in seconds; the longest of late is that of a first try.
        """
        first = self.patience.get(route.label, patience)
        first = max(patience, first - FADE * (first - patience))
        self.patience[route.label] = first
        return first - patience > LATE * route.aim

    # What is said to backends, and what they say.

    def message(self, call: Call, backend: str, patience: float) -> bytes:
        """The request as a backend gets it: for this instance only, under its tenant's name."""
        plan = call.request.plan
        tenant = b"Tenant: %s\r\n" % plan.encode() if plan else b""
        return call.message(b"%sTarget-Instance: %s\r\nDeadline-Ms: %d\r\n" % (
            tenant, backend.encode(), max(1, int(1000 * patience))))

    def outcome(self, call: Call, answer: Answer) -> io.Outcome | None:
        """Only an answer that says so has not run; a success needs its seal, all need the request's id."""
        name = answer.headers.get(b"attempt-id")
        ours = name is not None and name == call.request.id.encode()
        if answer.status == 421 and (ours or name is None):
            return io.Outcome.CONNECT_FAILED  # another instance has the address
        if answer.status in SHED and b"not-executed" in answer.headers and (ours or name is None):
            return io.Outcome.FULL
        if not ours:
            return None
        if answer.status >= 500 or answer.status in PROMISES or (
                answer.status < 300 and b"backend-seal" not in answer.headers):
            return io.Outcome.ERROR
        return io.Outcome.OK

    def lines(self, answer: Answer) -> bytes:
        """All headers but those that concern one connection, or the backend only."""
        return b"".join(b"%s: %s\r\n" % (name.title(), value) for name, value in answer.headers.items()
                        if name not in ABSENT)

    def load(self, answer: Answer | None) -> dict[str, float]:
        """`Backend-Load`: requests running, requests waiting, slots."""
        told = answer.headers.get(b"backend-load") if answer is not None else None
        if not told:
            return {}
        parts = [read_number(part) for part in told.split(b",")]
        if len(parts) != 3:
            return {}
        return {"inflight": parts[0] + parts[1], "slots": parts[2]}

    # Final answers.

    def verdict(self, held: Held) -> Verdict:
        """What is known of a request's runs."""
        if held.last is not None and held.may_have_run and held.last.status >= 500:
            return Verdict.RAN
        sent = held.may_have_run or (held.exchange is not None and held.exchange.may_have_run)
        return Verdict.PERHAPS if sent else Verdict.NEVER

    def waits_out_silence(self, held: Held) -> bool:
        """No answer is ended before its time because its backend is silent, unless another can be had."""
        if held.flowing:
            return self.loop.time() < held.deadline < math.inf
        return not self.movable(self.now(), held.call.request.id)

    def cancels_when_gone(self, held: Held) -> bool:
        """A repeatable request is: backends drop a request when its connection closes."""
        return self.effects[held.call.request.class_name] is io.Effect.SAFE

    def may_refuse(self, held: Held) -> bool:
        return self.verdict(held).promises

    def answer(self, held: Held, status: int, lines: bytes = b"", body: bytes = b"") -> None:
        """The one final answer. That a body stops when a part of it has gone out allows no promise."""
        stopped = status == 408 and not self.may_refuse(held)
        super().answer(held, 400 if stopped else status, lines, body)

    def finish(self, name: str, refused: bool, wait: float) -> None:
        """A promise with a time to come back, or what the backend has said, or a failure."""
        held = self.held.get(name)
        if held is None:
            return
        if refused and self.verdict(held).promises:
            self.answer(held, 503, b"Retry-After: %.3f\r\n" % max(wait, 0.05))
        elif (last := held.last) is not None and last.status >= 500 and last.status not in PROMISES:
            self.answer(held, last.status, self.lines(last), last.body)
        else:
            self.answer(held, 504 if self.loop.time() >= held.deadline - COARSE_S else 502)

    def carry_out(self, a: Any) -> None:
        if isinstance(a, Send):
            self.send(a)
        elif isinstance(a, OverQuota):
            held = self.held.get(a.request)
            if held is not None:
                held.trail.append((self.loop.time(), a.why))
                self.answer(held, 429, b"Retry-After: %.3f\r\n" % max(a.wait, 0.01))
        else:
            if isinstance(a, io.Refuse) and (held := self.held.get(a.request)) is not None:
                held.trail.append((self.loop.time(), a.why))
            super().carry_out(a)

    # What the other planes tell.

    def frank(self, item: Any) -> None:
        """News for the quota plane's machine."""
        self.submit(Franked(item))  # type: ignore[arg-type]

    def fellows(self, me: str, zone: int, ingresses: list[tuple[int, str]]) -> None:
        """All ingresses there are, with their zones; this one may not be among them yet."""
        beside = [address for its, address in ingresses if its == zone]
        place = beside.index(me) if me in beside else -1
        self.submit(Fellows(len(ingresses), place, len(beside)))  # type: ignore[arg-type]

    def backend(self, name: str, service: str, address: Address, phase: io.Phase, cold_left: float,
                capacity: int = 1, zone: str = "") -> None:
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
