"""A request that is owed one final answer, and where that answer goes."""

from __future__ import annotations

import asyncio
from typing import Protocol

from roadspur import interface as io
from roadspur.net.exchange import Exchange
from roadspur.net.http_messages import ClientRequest, Response
from roadspur.net.request_statistics import RequestStatistics


class Client(Protocol):
    """Where the one final answer to a request goes: at once, or in parts."""

    def reply(self, status: int, lines: bytes, body: bytes) -> None: ...

    def begin(self, lines: bytes, length: int | None, source: Exchange) -> None: ...

    def part(self, data: bytes) -> None: ...

    def finish(self) -> None: ...

    def break_off(self) -> None: ...


class PendingRequest:
    """A request that is owed one final answer."""

    __slots__ = (
        "call",
        "client",
        "timer",
        "attempts",
        "exchange",
        "answered",
        "may_have_run",
        "deadline",
        "attempt_history",
        "flowing",
        "ended",
        "last",
    )

    def __init__(self, call: ClientRequest, client: Client, deadline: float) -> None:
        self.call, self.client, self.deadline = call, client, deadline
        self.timer: asyncio.TimerHandle | None = None
        self.attempts = 0
        self.exchange: Exchange | None = None
        self.answered = self.may_have_run = False
        self.flowing = 0.0  # since when its answer is on its way in parts
        self.ended = False  # and counted
        self.last: Response | None = None  # of the attempt that ended last
        self.attempt_history: list[tuple[float, str]] = []  # what became of its attempts, for the log


class PendingRequestOwner(Protocol):
    """What holds requests."""

    loop: asyncio.AbstractEventLoop
    statistics: RequestStatistics

    def submit(self, event: io.Event) -> None: ...

    def drop(self, exchange: Exchange) -> None: ...

    def lines(self, answer: Response) -> bytes: ...


class ResponseRelay:
    """Passes one large answer on to its client, as its final one."""

    __slots__ = ("ingress", "held", "number", "sent")

    def __init__(self, ingress: PendingRequestOwner, held: PendingRequest, number: int) -> None:
        self.ingress, self.held, self.number, self.sent = ingress, held, number, ingress.loop.time()

    def written(self, exchange: Exchange) -> None:
        """A large body has gone out whole."""
        self.sent = self.ingress.loop.time()
        self.ingress.statistics.totals["upstream_requests"] += 1
        self.ingress.submit(io.AttemptWritten(self.held.call.request.id, self.number, exchange.backend))

    def begin(self, exchange: Exchange, head: Response) -> None:
        held, now = self.held, self.ingress.loop.time()
        if held.answered:  # its client has gone, or has been told otherwise
            self.ingress.drop(exchange)
            return
        held.answered, held.flowing = True, now
        if held.timer is not None:
            held.timer.cancel()
        held.client.begin(self.ingress.lines(head), head.length, exchange)
        self.ingress.submit(
            io.AttemptStarted(held.call.request.id, self.number, exchange.backend, now - self.sent)
        )

    def part(self, data: bytes) -> None:
        self.held.client.part(data)
