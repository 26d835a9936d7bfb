"""The interfaces through which a client connection uses its server and the request handler."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from typing import Any, NamedTuple, Protocol

from ingress import interface as io
from ingress.net.http_messages import MAX_BODY, MAX_HEAD, ClientRequest
from ingress.net.pending_request import Client
from ingress.net.request_statistics import RequestStatistics


class ImmediateResponse(NamedTuple):
    """A response that needs no decision. `why` is the body; `lines` are header lines."""

    status: int
    why: str
    close: bool = False  # whether the connection is closed after the response
    lines: bytes = b""
    bodiless: bool = False  # whether the response answers a HEAD


class Limits(NamedTuple):
    """Limits for clients: sizes in bytes, times in seconds."""

    head: int = MAX_HEAD
    body: int = MAX_BODY
    slow: float = 2.5  # to send a first byte, to send a head, and to read responses
    idle: float = 5.0  # longest time between requests
    hold: int = 1024 * 1024  # largest body that is buffered if the shared buffer has room


USUAL = Limits()


class RequestHandler(Protocol):
    """Handles the requests that connections have received."""

    statistics: RequestStatistics
    health_path: bytes | None
    withheld_headers: frozenset[bytes]

    def read(
        self, method: bytes, url: bytes, headers: list[tuple[bytes, bytes]]
    ) -> io.Request | ImmediateResponse:
        """Return the request for the decision module, or the immediate response to an invalid one."""

    def take(self, call: ClientRequest, client: Client) -> None:
        """Handle a request. `client` receives its one final response."""

    def gone(self, call: ClientRequest) -> None:
        """Cancel a request whose client has disconnected before the response was complete."""

    def upload_received(self, call: ClientRequest) -> None:
        """Record that the streamed body of a request has been received completely."""

    def abort_request(self, call: ClientRequest, status: int) -> None:
        """Answer with this status: the rest of a streamed body will not arrive or can't be read."""

    def upload_stalled(self, call: ClientRequest) -> None:
        """Time an attempt out: the backend has accepted nothing of a streamed body for too long."""


class ConnectionServer(Protocol):
    """The server that accepted a connection. `body_bytes` is the total size of all larger buffered bodies."""

    loop: asyncio.AbstractEventLoop
    connections: set[Any]
    order: Iterator[int]
    body_bytes: int
    draining: bool
    limits: Limits

    @property
    def request_handler(self) -> RequestHandler:
        """The handler of the requests."""

    def connection_opened(self, connection: Any) -> None:  # noqa: ANN401  its class imports this module
        """Register a new connection."""

    def room(self, more: int) -> bool:
        """Whether `more` bytes of bodies may be buffered in addition."""

    def healthy(self) -> bool:
        """Whether a health check succeeds."""
