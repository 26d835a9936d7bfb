"""What a client's connection needs of the program that it is a part of."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from typing import Any, NamedTuple, Protocol

from roadspur import interface as io
from roadspur.net.http_messages import MAX_BODY, MAX_HEAD, ClientRequest
from roadspur.net.pending_request import Client
from roadspur.net.request_statistics import RequestStatistics


class ImmediateResponse(NamedTuple):
    """An answer that no decision is needed for."""

    status: int
    why: str
    close: bool = False  # who repeats the request has to connect anew
    lines: bytes = b""
    bodiless: bool = False  # to HEAD


class Limits(NamedTuple):
    """What a client may send, in bytes, and how long it may take or remain idle, in seconds."""

    head: int = MAX_HEAD
    body: int = MAX_BODY
    slow: float = 2.5  # for a first byte, for a head, and for a client to read its answers
    idle: float = 5.0  # between requests
    hold: int = 1024 * 1024  # bytes of a body that is held whole where there is room


USUAL = Limits()


class RequestHandler(Protocol):
    """Takes the requests that have come."""

    statistics: RequestStatistics
    health_path: bytes | None
    withheld_headers: frozenset[bytes]

    def read(
        self, method: bytes, url: bytes, headers: list[tuple[bytes, bytes]]
    ) -> io.Request | ImmediateResponse: ...

    def take(self, call: ClientRequest, client: Client) -> None: ...

    def gone(self, call: ClientRequest) -> None: ...

    def whole(self, call: ClientRequest) -> None: ...

    def abort_request(self, call: ClientRequest, status: int) -> None: ...

    def upload_stalled(self, call: ClientRequest) -> None: ...


class ConnectionServer(Protocol):
    """The listener that a connection came in by."""

    loop: asyncio.AbstractEventLoop
    connections: set[Any]
    order: Iterator[int]
    bodies: int
    draining: bool
    limits: Limits

    @property
    def request_handler(self) -> RequestHandler:
        """What takes the requests."""

    def connection_opened(self, connection: Any) -> None: ...

    def room(self, more: int) -> bool: ...

    def healthy(self) -> bool: ...
