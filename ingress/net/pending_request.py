"""A request that waits for its one final response, and the interfaces that deliver it."""

from __future__ import annotations

import asyncio
from typing import Protocol

from ingress import interface as io
from ingress.net.exchange import Exchange
from ingress.net.http_messages import ClientRequest, Response
from ingress.net.request_statistics import RequestStatistics


class Client(Protocol):
    """The receiver of the one final response to a request: complete, or as a stream."""

    def reply(self, status: int, lines: bytes, body: bytes) -> None:
        """Send a complete response with these header lines."""

    def begin(self, lines: bytes, length: int | None, source: Exchange) -> None:
        """Send the head of a streamed response, of this Content-Length if it is known."""

    def part(self, data: bytes) -> None:
        """Send a part of its body."""

    def finish(self) -> None:
        """The streamed response is complete."""

    def break_off(self) -> None:
        """The rest of the streamed response is lost: abort it visibly."""


class PendingRequest:
    """A request that waits for its one final response. `deadline` is loop time."""

    __slots__ = (
        "answered",
        "attempt_history",
        "attempts",
        "call",
        "client",
        "deadline",
        "ended",
        "exchange",
        "flowing",
        "last",
        "may_have_run",
        "timer",
    )

    def __init__(self, call: ClientRequest, client: Client, deadline: float) -> None:
        self.call = call
        self.client = client
        self.deadline = deadline
        self.timer: asyncio.TimerHandle | None = None
        self.attempts = 0
        self.exchange: Exchange | None = None
        self.answered = False
        self.may_have_run = False
        self.flowing = 0.0  # since when its response is being streamed; 0: it isn't
        self.ended = False  # and counted in the statistics
        self.last: Response | None = None  # response of the latest attempt that has ended
        self.attempt_history: list[tuple[float, str]] = []  # times and outcomes of its attempts, for the log


class PendingRequestOwner(Protocol):
    """What a `ResponseRelay` needs of the ingress."""

    loop: asyncio.AbstractEventLoop
    statistics: RequestStatistics

    def submit(self, event: io.Event) -> None:
        """Submit an event to the decisions."""

    def drop(self, exchange: Exchange) -> None:
        """Cancel an attempt."""

    def lines(self, answer: Response) -> bytes:
        """The header lines of a backend's response that its client gets."""


class ResponseRelay:
    """Streams one attempt's large response to the client as the final one. `number` is the attempt's."""

    __slots__ = ("ingress", "number", "pending", "sent")

    def __init__(self, ingress: PendingRequestOwner, pending: PendingRequest, number: int) -> None:
        self.ingress = ingress
        self.pending = pending
        self.number = number
        self.sent = ingress.loop.time()

    def written(self, exchange: Exchange) -> None:
        """A streamed request body has been written completely."""
        self.sent = self.ingress.loop.time()
        self.ingress.statistics.totals["upstream_requests"] += 1
        self.ingress.submit(io.AttemptWritten(self.pending.call.request.id, self.number, exchange.backend))

    def begin(self, exchange: Exchange, head: Response) -> None:
        """Begin to stream the response, unless the request has been answered or its client is gone."""
        pending = self.pending
        now = self.ingress.loop.time()
        if pending.answered:  # its client has disconnected, or has got another response
            self.ingress.drop(exchange)
            return
        pending.answered = True
        pending.flowing = now
        if pending.timer is not None:
            pending.timer.cancel()
        pending.client.begin(self.ingress.lines(head), head.length, exchange)
        self.ingress.submit(
            io.AttemptStarted(pending.call.request.id, self.number, exchange.backend, now - self.sent)
        )

    def part(self, data: bytes) -> None:
        """Pass on a part of the body."""
        self.pending.client.part(data)
