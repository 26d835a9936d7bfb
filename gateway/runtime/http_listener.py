"""HTTP server for the system's own interfaces: readiness, status, metrics, and calls to `control`.

It reuses the connection handling of `ingress`; each complete call is passed to one function.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Iterator
from http import HTTPStatus

from gateway.runtime.http_call import HttpCall, Reply
from ingress import interface as io
from ingress.net.client import ClientConnection
from ingress.net.connection_interfaces import ImmediateResponse, Limits
from ingress.net.http_messages import ClientRequest
from ingress.net.pending_request import Client
from ingress.net.request_statistics import RequestStatistics

SWEEP_INTERVAL_S = 0.5
MAX_BODY_BYTES = 16 * 1024 * 1024  # maximum per call
MAX_TOTAL_BODY_BYTES = 64 * 1024 * 1024  # maximum of all calls that are being received
MAX_CONNECTIONS = 1024
EMPTY_REQUEST = io.Request("", "", "", 0, 3600.0, 0.0)


class HttpCallHandler:
    """Passes complete calls to a function, and its answers to the callers.

    It implements the request handler interface of `ClientConnection`.
    """

    health_path: bytes | None = None
    withheld_headers: frozenset[bytes] = frozenset()

    def __init__(self, loop: asyncio.AbstractEventLoop, answer: Callable[[HttpCall, Reply], None]) -> None:
        self.statistics = RequestStatistics(loop)
        self.statistics.timer.cancel()
        self.answer = answer
        self.pending: dict[int, Client] = {}

    def read(
        self, method: bytes, url: bytes, headers: list[tuple[bytes, bytes]]
    ) -> io.Request | ImmediateResponse:
        """Accept any request head; method and URL are stored for `take`."""
        return EMPTY_REQUEST._replace(context=(method.decode("latin-1"), url.decode("latin-1")))

    def take(self, call: ClientRequest, client: Client) -> None:
        """Pass on a complete call, which may be answered later."""
        if call.upload is not None:  # its body exceeds the memory for bodies
            client.reply(HTTPStatus.SERVICE_UNAVAILABLE, b"Retry-After: 1\r\n", b"")
            return
        self.pending[id(call)] = client

        def reply(status: int, lines: bytes = b"", body: bytes = b"") -> None:
            """Answer the call, unless its caller has disconnected."""
            # The closure keeps the call alive, so no other call gets the same id() until then.
            if (caller := self.pending.pop(id(call), None)) is not None:
                caller.reply(status, lines, body)

        method, path = call.request.context
        self.answer(HttpCall(method, path, bytes(call.body)), reply)

    def gone(self, call: ClientRequest) -> None:
        """Handle a disconnected caller: its answer will be dropped."""
        self.pending.pop(id(call), None)

    def upload_received(self, call: ClientRequest) -> None:
        """Handle a received streamed body; nothing to do, because `take` has rejected such calls."""

    def abort_request(self, call: ClientRequest, status: int) -> None:
        """Answer a call that was aborted or too slow with this status."""
        if (caller := self.pending.pop(id(call), None)) is not None:
            caller.reply(status, b"", b"")

    def upload_stalled(self, call: ClientRequest) -> None:
        """Handle a stalled streamed body; nothing to do, because bodies are not forwarded."""


class HttpListener:
    """Accepts connections and reads calls with the same parser and limits as the ingress.

    `answer` receives each complete call and a function to reply with.
    """

    draining = False

    def __init__(self, loop: asyncio.AbstractEventLoop, answer: Callable[[HttpCall, Reply], None]) -> None:
        self.loop = loop
        self.call_handler = HttpCallHandler(loop, answer)
        self.connections: set[ClientConnection] = set()
        self.order: Iterator[int] = itertools.count()
        self.body_bytes = 0
        self.limits = Limits(body=MAX_BODY_BYTES, slow=5.0, idle=30.0, hold=MAX_BODY_BYTES)
        self.listener: asyncio.Server | None = None
        self.sweeper = loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    @property
    def request_handler(self) -> HttpCallHandler:
        """The handler of complete calls."""
        return self.call_handler

    async def listen(self, address: str) -> None:
        """Listen on `ip:port`.

        Raises:
            OSError: The address can't be bound.
        """
        host, _, port = address.rpartition(":")
        self.listener = await self.loop.create_server(
            lambda: ClientConnection(self), host, int(port), backlog=512
        )

    def connection_opened(self, connection: ClientConnection) -> None:
        """Handle an accepted connection; beyond `MAX_CONNECTIONS`, it is closed after its first answer."""
        self.connections.add(connection)
        if len(self.connections) > MAX_CONNECTIONS:
            connection.crowded = True

    def room(self, more: int) -> bool:
        """Whether this many more bytes of bodies may be buffered."""
        return self.body_bytes + more <= MAX_TOTAL_BODY_BYTES

    def healthy(self) -> bool:
        """Part of the connection interface; this listener has no health of its own."""
        return True

    def sweep(self) -> None:
        """Close connections that exceed their timeouts; reschedules itself."""
        now = self.loop.time()
        for connection in list(self.connections):
            connection.sweep(now)
        self.sweeper = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def close(self) -> None:
        """Stop listening and close all connections."""
        self.sweeper.cancel()
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            connection.close()
