"""A small listener for callers of the system's own interfaces: readiness, and the calls to control."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Iterator
from typing import NamedTuple

from roadspur import interface as io
from roadspur.net.client import ClientConnection
from roadspur.net.connection_interfaces import ImmediateResponse, Limits
from roadspur.net.http_messages import ClientRequest
from roadspur.net.pending_request import Client
from roadspur.net.request_statistics import RequestStatistics

SWEEP_INTERVAL_S = 0.5
MAX_BODY_BYTES = 16 * 1024 * 1024  # of a call
MAX_TOTAL_BODY_BYTES = 64 * 1024 * 1024  # of all calls that are coming in
MAX_CONNECTIONS = 1024
EMPTY_REQUEST = io.Request("", "", "", 0, 3600.0, 0.0)


class HttpCall(NamedTuple):
    """A call that has come whole."""

    method: str
    path: str
    body: bytes


Reply = Callable[[int, bytes, bytes], None]
"""Gives a call its answer, once: status, header lines, body. Does nothing once the caller has gone."""


class HttpCallHandler:
    """Hands calls to a function, and its answers back."""

    health_path: bytes | None = None
    withheld_headers: frozenset[bytes] = frozenset()

    def __init__(self, loop: asyncio.AbstractEventLoop, answer: Callable[[HttpCall, Reply], None]) -> None:
        self.statistics = RequestStatistics(loop)
        self.statistics.timer.cancel()
        self.answer = answer
        self.open: dict[int, Client] = {}

    def read(
        self, method: bytes, url: bytes, headers: list[tuple[bytes, bytes]]
    ) -> io.Request | ImmediateResponse:
        return EMPTY_REQUEST._replace(about=(method.decode("latin-1"), url.decode("latin-1")))

    def take(self, call: ClientRequest, client: Client) -> None:
        """Answer a call, now or later."""
        if call.upload is not None:  # no room for it among the bodies of other calls
            client.reply(503, b"Retry-After: 1\r\n", b"")
            return
        self.open[id(call)] = client

        def reply(status: int, lines: bytes = b"", body: bytes = b"") -> None:
            # It keeps the call, whose number no other one can have until then.
            if (waiting := self.open.pop(id(call), None)) is not None:
                waiting.reply(status, lines, body)

        method, path = call.request.about
        self.answer(HttpCall(method, path, bytes(call.body)), reply)

    def gone(self, call: ClientRequest) -> None:
        self.open.pop(id(call), None)

    def whole(self, call: ClientRequest) -> None:
        """A body that flows is answered before it has come."""

    def abort_request(self, call: ClientRequest, status: int) -> None:
        if (waiting := self.open.pop(id(call), None)) is not None:
            waiting.reply(status, b"", b"")

    def upload_stalled(self, call: ClientRequest) -> None:
        """Nothing goes further than here."""


class HttpListener:
    """Listens, and reads calls as the ingress reads requests."""

    draining = False

    def __init__(self, loop: asyncio.AbstractEventLoop, answer: Callable[[HttpCall, Reply], None]) -> None:
        self.loop, self.calls = loop, HttpCallHandler(loop, answer)
        self.connections: set[ClientConnection] = set()
        self.order: Iterator[int] = itertools.count()
        self.bodies = 0
        self.limits = Limits(body=MAX_BODY_BYTES, slow=5.0, idle=30.0, hold=MAX_BODY_BYTES)
        self.listener: asyncio.Server | None = None
        self.sweeper = loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    @property
    def request_handler(self) -> HttpCallHandler:
        """What takes the calls."""
        return self.calls

    async def listen(self, address: str) -> None:
        """Listen on `ip:port`; OSError where that can't be had."""
        host, _, port = address.rpartition(":")
        self.listener = await self.loop.create_server(
            lambda: ClientConnection(self), host, int(port), backlog=512
        )

    def connection_opened(self, connection: ClientConnection) -> None:
        self.connections.add(connection)
        if len(self.connections) > MAX_CONNECTIONS:
            connection.crowded = True

    def room(self, more: int) -> bool:
        """Whether so many more bytes of bodies may be held."""
        return self.bodies + more <= MAX_TOTAL_BODY_BYTES

    def healthy(self) -> bool:
        return True

    def sweep(self) -> None:
        """Close what is silent for too long."""
        now = self.loop.time()
        for connection in list(self.connections):
            connection.sweep(now)
        self.sweeper = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def close(self) -> None:
        """Listen no more, and end what is open."""
        self.sweeper.cancel()
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            connection.close()
