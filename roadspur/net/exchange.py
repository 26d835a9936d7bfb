"""One request to a backend and its one outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple, Protocol

from roadspur import interface as io
from roadspur.net.http_messages import Address, Response, ResponseEnd
from roadspur.net.upload import Upload

REFUSED_STATUS = (503, 504)
PLAIN = ResponseEnd()


class Endpoint(NamedTuple):
    """Where a backend listens and since when."""

    address: Address
    born: float


class ResponseSink(Protocol):
    """Where a large answer goes as it comes."""

    def written(self, exchange: Exchange) -> None: ...

    def begin(self, exchange: Exchange, head: Response) -> None: ...

    def part(self, data: bytes) -> None: ...


class UpstreamConnection(Protocol):
    """The connection that an exchange is on."""

    def pause(self) -> None: ...

    def resume(self) -> None: ...

    def drop(self) -> None: ...


def outcome_of(answer: Response) -> io.Outcome:
    """What an answer says of the attempt; only a whole 200 is served."""
    if answer.status == 200:
        return io.Outcome.OK
    if answer.status in REFUSED_STATUS and answer.headers.get(b"x-rejected") == b"1":
        return io.Outcome.FULL
    return io.Outcome.ERROR


class Exchange:
    """One request to a backend and its one outcome, told through `on_end`.

    `may_send` is asked again once a connection stands, right before the first byte: the backend may have
    begun to drain, or the client may have gone, while it was being opened.
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
        self.backend, self.message, self.may_send, self.on_end = backend, message, may_send, on_end
        self.sink, self.upload, self.judge = sink, upload, judge  # None: the answer to another request
        self.ends, self.label = ends, label  # the header that names the request of an answer, if one does
        self.connection: UpstreamConnection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.streams = streams  # a backend may begin with a request before it has come whole
        self.begun = self.written = False  # its first byte has gone out, its last one
        self.ended = False
        self.heard = 0  # what the pool had heard at the start

    def end(self, outcome: io.Outcome, answer: Response | None = None) -> None:
        """Tell the outcome, the first time only."""
        if self.ended:
            return
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        self.on_end(self, outcome, answer)

    @property
    def may_have_run(self) -> bool:
        """Whether as much has gone out as a backend may run."""
        return self.written or (self.streams and self.begun)

    def named(self, answer: Response) -> bool:
        """Whether an answer names its request, so that a copy of it is known whenever it comes."""
        return not self.label or self.label in answer.headers

    def end_upload(self) -> None:
        """Nothing more of a large body goes out."""
        if self.upload is not None:
            self.upload.writer = None

    def begin(self, sink: ResponseSink, head: Response) -> None:
        """A large answer has begun: from here on it is not timed."""
        if self.timer is not None:
            self.timer.cancel()
        sink.begin(self, head)

    def pause(self) -> None:
        """Whoever reads the answer is behind."""
        if self.connection is not None:
            self.connection.pause()

    def resume(self) -> None:
        if self.connection is not None:
            self.connection.resume()

    def give_up(self, outcome: io.Outcome) -> None:
        """Stop waiting. The connection is ended first, so that what is sent next is no second copy."""
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
