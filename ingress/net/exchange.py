"""An attempt at a backend: one request, with exactly one outcome."""

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
    """The address of a backend, and the start time of its process (Unix time in seconds; 0: unknown)."""

    address: Address
    born: float


class ResponseSink(Protocol):
    """The receiver of a streamed response."""

    def written(self, exchange: Exchange) -> None:
        """Handle that a streamed request body has been written completely."""

    def begin(self, exchange: Exchange, head: Response) -> None:
        """Handle the head of a streamed response."""

    def part(self, data: bytes) -> None:
        """Handle a part of the body of a streamed response."""


class UpstreamConnection(Protocol):
    """The connection that an exchange uses."""

    def pause(self) -> None:
        """Stop reading the response."""

    def resume(self) -> None:
        """Continue reading the response."""

    def drop(self) -> None:
        """Close the connection at once."""


def outcome_of(answer: Response) -> io.Outcome:
    """Return the outcome of an attempt by its response; only a complete 200 is a success."""
    if answer.status == HTTPStatus.OK:
        return io.Outcome.OK
    if answer.status in REFUSED_STATUS and answer.headers.get(b"x-rejected") == b"1":
        return io.Outcome.FULL
    return io.Outcome.ERROR


class Exchange:
    """A request to a backend and its one outcome, which is reported through `on_end`.

    `may_send` is called again once a connection is open, right before the first byte: the backend may have
    begun to drain, or the client may have disconnected, while it was being opened. `judge` gives the outcome
    of a response, or None for a response to another request.
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
        self.ends = ends
        self.label = label  # response header with the request's id; empty if there is none
        self.connection: UpstreamConnection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.should_wait: Callable[[], bool] = lambda: False  # whether to wait for a stalled response
        self.streams = streams  # whether backends may begin to execute an incomplete request
        self.begun = False  # whether the first byte has been written
        self.written = False  # whether the last byte has been written
        self.ended = False
        self.reads_at_start = 0  # the pool's number of reads when the exchange began

    def end(self, outcome: io.Outcome, answer: Response | None = None) -> None:
        """Report the outcome; only the first call has an effect."""
        if self.ended:
            return
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        self.on_end(self, outcome, answer)

    @property
    def may_have_run(self) -> bool:
        """Whether the backend may have executed the request, by what has been written."""
        return self.written or (self.streams and self.begun)

    def named(self, answer: Response) -> bool:
        """Whether a response has the id of its request, by which a late duplicate is recognized."""
        return not self.label or self.label in answer.headers

    def end_upload(self) -> None:
        """Send no more of a streamed request body."""
        if self.upload is not None:
            self.upload.writer = None

    def begin(self, sink: ResponseSink, head: Response) -> None:
        """Begin a streamed response. From here on the exchange has no time limit."""
        if self.timer is not None:
            self.timer.cancel()
        sink.begin(self, head)

    def pause(self) -> None:
        """Stop reading the response while its receiver is slow."""
        if self.connection is not None:
            self.connection.pause()

    def resume(self) -> None:
        """Continue reading the response."""
        if self.connection is not None:
            self.connection.resume()

    def give_up(self, outcome: io.Outcome) -> None:
        """Stop waiting. The connection is closed first, so that a retry isn't a duplicate."""
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
