"""One attempt at a backend: the request, and its exactly one outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple, Protocol

from ingress import interface as io
from ingress.net.http_messages import Address, Response, ResponseEnd
from ingress.net.upload import Upload

REFUSED_STATUS = (503, 504)
PLAIN = ResponseEnd()


class Endpoint(NamedTuple):
    """The address of a backend, and when its process started (Unix time in seconds; 0: unknown)."""

    address: Address
    born: float


class ResponseSink(Protocol):
    """The receiver of a streamed response."""

    def written(self, exchange: Exchange) -> None:
        """A streamed request body has been written completely."""

    def begin(self, exchange: Exchange, head: Response) -> None:
        """The head of a streamed response has been received."""

    def part(self, data: bytes) -> None:
        """A part of its body has been received."""


class UpstreamConnection(Protocol):
    """The connection that an exchange uses."""

    def pause(self) -> None:
        """Stop reading the response."""

    def resume(self) -> None:
        """Continue reading it."""

    def drop(self) -> None:
        """Close the connection at once."""


def outcome_of(answer: Response) -> io.Outcome:
    """The outcome of an attempt by its response; only a complete 200 is a success."""
    if answer.status == HTTPStatus.OK:
        return io.Outcome.OK
    if answer.status in REFUSED_STATUS and answer.headers.get(b"x-rejected") == b"1":
        return io.Outcome.FULL
    return io.Outcome.ERROR


class Exchange:
    """One request to a backend and its one outcome, reported through `on_end`.

    `may_send` is called again once a connection is open, right before the first byte: the backend may have
    begun to drain, or the client may have disconnected, while it was being opened. `judge` gives the outcome
    of a response, or None if that belongs to another request.
    """

    def __init__(
        self,
        backend: str,
        message: Callable[[], bytes],
        may_send: Callable[[], bool],
        on_end: Callable[[Exchange, io.Outcome, Response | None], None],
        sink: ResponseSink | None = None,
        upload: Upload | None = None,
        judge: Callable[[Response], io.Outcome | None] = outcome_of,
        ends: ResponseEnd = PLAIN,
        label: bytes = b"",
        streams: bool = False,
    ) -> None:
        self.backend = backend
        self.message = message
        self.may_send = may_send
        self.on_end = on_end
        self.sink = sink
        self.upload = upload
        self.judge = judge
        # the latter: response header with the request's id, if any
        self.ends = ends
        self.label = label
        self.connection: UpstreamConnection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.waits: Callable[[], bool] = lambda: False  # whether to wait for a response that stalls
        self.streams = streams  # backends may begin to execute a request before it is complete
        # its first byte has been written; and its last one
        self.begun = False
        self.written = False
        self.ended = False
        self.heard = 0  # the pool's count of reads at the start

    def end(self, outcome: io.Outcome, answer: Response | None = None) -> None:
        """Report the outcome; only the first call counts."""
        if self.ended:
            return
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        self.on_end(self, outcome, answer)

    @property
    def may_have_run(self) -> bool:
        """Whether so much has been written that the backend may have executed the request."""
        return self.written or (self.streams and self.begun)

    def named(self, answer: Response) -> bool:
        """Whether a response has its request's id, so that a late duplicate of it is recognized as one."""
        return not self.label or self.label in answer.headers

    def end_upload(self) -> None:
        """Send no more of a streamed request body."""
        if self.upload is not None:
            self.upload.writer = None

    def begin(self, sink: ResponseSink, head: Response) -> None:
        """A streamed response has begun: from here on the exchange has no time limit."""
        if self.timer is not None:
            self.timer.cancel()
        sink.begin(self, head)

    def pause(self) -> None:
        """Stop reading the response, as its receiver is behind."""
        if self.connection is not None:
            self.connection.pause()

    def resume(self) -> None:
        """Continue reading the response."""
        if self.connection is not None:
            self.connection.resume()

    def give_up(self, outcome: io.Outcome) -> None:
        """Stop waiting. The connection is closed first, so that a retry isn't a second copy."""
        if self.ended:
            return
        if self.connection is not None:
            self.connection.drop()
        self.end_upload()
        self.end(
            outcome
            if self.may_have_run
            else io.Outcome.NOT_SENT
            if outcome is io.Outcome.CANCELLED
            else io.Outcome.CONNECT_FAILED
        )
