"""A request that waits for its one final response, and the interfaces that deliver it."""

from __future__ import annotations

import asyncio
from typing import Protocol

from ingress import interface as io
from ingress.net.exchange import Exchange
from ingress.net.http_messages import ClientRequest, Response
from ingress.net.request_statistics import RequestStatistics


class Client(Protocol):
    """The receiver of the one final response to a request, which is complete or streamed."""

    def reply(self, status: int, lines: bytes, body: bytes) -> None:
        """Send a complete response with these header lines."""

    def begin(self, lines: bytes, length: int | None, source: Exchange) -> None:
        """Send the head of a streamed response, with this Content-Length if it is known."""

    def part(self, data: bytes) -> None:
        """Send a part of the streamed body."""

    def finish(self) -> None:
        """End the streamed response, which is complete."""

    def break_off(self) -> None:
        """Abort the streamed response visibly, as its rest is lost."""


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
        "last",
        "may_have_run",
        "streaming_since",
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
        self.streaming_since = 0.0  # when streaming of the response began; 0 if it isn't streamed
        self.ended = False  # whether the request has ended and is counted in the statistics
        self.last: Response | None = None  # response of the last attempt that has ended
        self.attempt_history: list[tuple[float, str]] = []  # times and outcomes of the attempts, for the log


class PendingRequestOwner(Protocol):
    """The part of the ingress that a `ResponseRelay` uses."""

    loop: asyncio.AbstractEventLoop
    statistics: RequestStatistics

    def submit(self, event: io.Event) -> None:
        """Submit an event to the decision module."""

    def drop(self, exchange: Exchange) -> None:
        """Cancel an attempt."""

    def lines(self, answer: Response) -> bytes:
        """Return the header lines of a backend's response that are passed on to the client."""


class ResponseRelay:
    """Streams the large response of attempt `number` to the client, as the final response."""

    __slots__ = ("ingress", "number", "pending", "sent")

    def __init__(self, ingress: PendingRequestOwner, pending: PendingRequest, number: int) -> None:
        self.ingress = ingress
        self.pending = pending
        self.number = number
        self.sent = ingress.loop.time()

    def written(self, exchange: Exchange) -> None:
        """Handle that a streamed request body has been written completely."""
        self.sent = self.ingress.loop.time()
        self.ingress.statistics.totals["upstream_requests"] += 1
        self.ingress.submit(io.AttemptWritten(self.pending.call.request.id, self.number, exchange.backend))

    def begin(self, exchange: Exchange, head: Response) -> None:
        """Begin to stream the response, unless the request is answered or its client has disconnected."""
        pending = self.pending
        now = self.ingress.loop.time()
        if pending.answered:  # the client has disconnected, or has received another response
            self.ingress.drop(exchange)
            return
        pending.answered = True
        pending.streaming_since = now
        if pending.timer is not None:
            pending.timer.cancel()
        pending.client.begin(self.ingress.lines(head), head.length, exchange)
        self.ingress.submit(
            io.AttemptStarted(pending.call.request.id, self.number, exchange.backend, now - self.sent)
        )

    def part(self, data: bytes) -> None:
        """Pass a part of the body on to the client."""
        self.pending.client.part(data)
