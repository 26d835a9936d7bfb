"""The interfaces through which a client's connection uses its server and the request handler."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from typing import Any, NamedTuple, Protocol

from ingress import interface as io
from ingress.net.http_messages import MAX_BODY, MAX_HEAD, ClientRequest
from ingress.net.pending_request import Client
from ingress.net.request_statistics import RequestStatistics


class ImmediateResponse(NamedTuple):
    """A response that needs no decision. `why` is its body; `lines` are header lines."""

    status: int
    why: str
    close: bool = False  # the connection is closed after it
    lines: bytes = b""
    bodiless: bool = False  # it answers a HEAD


class Limits(NamedTuple):
    """Limits for clients: of sizes in bytes, and of times in seconds."""

    head: int = MAX_HEAD
    body: int = MAX_BODY
    slow: float = 2.5  # for a first byte, for a head, and for a client to read its responses
    idle: float = 5.0  # between requests
    hold: int = 1024 * 1024  # largest body that is buffered if there is room


USUAL = Limits()


class RequestHandler(Protocol):
    """Handles the requests that connections receive."""

    statistics: RequestStatistics
    health_path: bytes | None
    withheld_headers: frozenset[bytes]

    def read(
        self, method: bytes, url: bytes, headers: list[tuple[bytes, bytes]]
    ) -> io.Request | ImmediateResponse:
        """The request for the decisions, or the immediate response if it can't be one."""

    def take(self, call: ClientRequest, client: Client) -> None:
        """Handle a request; its one final response goes to `client`."""

    def gone(self, call: ClientRequest) -> None:
        """The client has disconnected before its response was complete."""

    def upload_received(self, call: ClientRequest) -> None:
        """The streamed body of a request has been received completely."""

    def abort_request(self, call: ClientRequest, status: int) -> None:
        """The rest of a streamed body will not arrive or can't be read; answer with this status."""

    def upload_stalled(self, call: ClientRequest) -> None:
        """The backend has accepted nothing of a streamed body for too long."""


class ConnectionServer(Protocol):
    """The server that accepted a connection. `bodies` is the size in bytes of all larger buffered bodies."""

    loop: asyncio.AbstractEventLoop
    connections: set[Any]
    order: Iterator[int]
    bodies: int
    draining: bool
    limits: Limits

    @property
    def request_handler(self) -> RequestHandler:
        """What handles the requests."""

    def connection_opened(self, connection: Any) -> None:  # noqa: ANN401  its class imports this module
        """Register a new connection."""

    def room(self, more: int) -> bool:
        """Whether so many more bytes of bodies may be buffered."""

    def healthy(self) -> bool:
        """Whether a health check succeeds."""
