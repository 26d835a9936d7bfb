"""The server for client connections, with graceful draining."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Iterator

from ingress.net import connection_interfaces
from ingress.net.client import ClientConnection
from ingress.net.connection_interfaces import Limits
from ingress.net.ingress import Ingress
from ingress.net.reuseport import divert_new_connections

SWEEP_INTERVAL_S = 0.25  # of the checks of the connections' time limits
DRAIN_ACCEPT_S = 0.5  # new connections arrive until up to 0.4 s after a drain begins
DRAIN_IDLE_S = 0.3  # a drain closes connections that have had no request for this time


class Server:
    """Accepts client connections, and drains them.

    `max_connections` is the limit for this process and its siblings together; `max_body_bytes` the limit for
    all larger buffered bodies.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        ingress: Ingress,
        max_connections: int,
        max_body_bytes: int = 0,
        limits: Limits | None = None,
    ) -> None:
        self.loop = loop
        self.ingress = ingress
        self.max_connections = max_connections
        self.limits = limits or connection_interfaces.USUAL
        self.body_bytes = 0  # total size of the larger buffered bodies
        self.max_body_bytes = max_body_bytes
        self.connections: set[ClientConnection] = set()
        self.order: Iterator[int] = itertools.count()  # numbers all reads: the clock is too coarse
        self.draining = False  # whether a drain is in progress, which may be temporary
        self.leaving = False  # whether the process is draining in order to end
        self.drain_task: asyncio.Task[None] | None = None
        self.listener: asyncio.Server | None = None
        self.sweeper = loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    @property
    def request_handler(self) -> Ingress:
        """The handler of the requests."""
        return self.ingress

    async def listen(self, host: str, port: int) -> None:
        """Listen on this address, which sibling processes may share. Raises OSError if that fails."""
        self.listener = await self.loop.create_server(
            lambda: ClientConnection(self), host, port, backlog=1024, reuse_port=True
        )

    def ready(self) -> bool:
        """Whether a request can be served: the server isn't draining, and a backend is usable."""
        return not self.draining and any(map(self.ingress.open_to, self.ingress.serving))

    def healthy(self) -> bool:
        """Whether clients should send requests to this ingress.

        A leaving process says yes while a sibling takes over.
        """
        return self.ready() or (self.leaving and self.ingress.sibling_count > 0)

    def room(self, more: int) -> bool:
        """Whether `more` bytes of bodies may be buffered in addition; sibling processes divide the limit."""
        return self.body_bytes + more <= self.max_body_bytes // (1 + self.ingress.sibling_count)

    def connection_opened(self, connection: ClientConnection) -> None:
        """Register a connection.

        Beyond the limit, one that never sent anything, or else the one idle longest, is closed. If none is
        idle, the new one is marked `crowded` and its request gets a 503: if it were closed without a
        response, the request would be lost.
        """
        self.connections.add(connection)
        if len(self.connections) + self.ingress.sibling_clients > self.max_connections:
            for other in sorted(self.connections, key=lambda c: (c.used, c.last_read_order)):
                if other is not connection and other.idle():
                    other.close()
                    return
            connection.crowded = True

    def sweep(self) -> None:
        """Enforce the time limits of all connections; called periodically."""
        now = self.loop.time()
        for connection in list(self.connections):
            connection.sweep(now)
        self.sweeper = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def drain(self) -> None:
        """Fail health checks, and close every connection after its response or once it is idle."""
        if not self.draining:
            self.draining = True
            for connection in self.connections:
                connection.drain()
            self.drain_task = self.loop.create_task(self.release_connections())

    async def release_connections(self) -> None:
        """Close idle connections after `DRAIN_ACCEPT_S`, as one accepted last may still send a request."""
        await asyncio.sleep(DRAIN_ACCEPT_S)
        while True:
            idle_since = self.loop.time() - DRAIN_IDLE_S
            for connection in list(self.connections):
                if connection.since <= idle_since and connection.idle():
                    connection.close()
            await asyncio.sleep(0.02)

    def resume(self) -> bool:
        """End a drain and serve again; False, and no change, if this process is leaving."""
        if self.leaving:
            return False
        if self.drain_task is not None:
            self.drain_task.cancel()
        self.draining = False
        self.drain_task = None
        return True

    async def leave(self) -> None:
        """Drain and end: accept connections for `DRAIN_ACCEPT_S` if no sibling does, and wait for all."""
        self.leaving = True
        self.ingress.follow(len(self.connections))
        sockets = self.listener.sockets if self.listener is not None else ()
        for listener in sockets:
            divert_new_connections(listener.fileno())
        self.drain()
        await asyncio.sleep(DRAIN_ACCEPT_S)
        if self.listener is not None:
            self.listener.close()
        while self.connections:
            await asyncio.sleep(0.02)
        if self.drain_task is not None:
            self.drain_task.cancel()
        self.sweeper.cancel()
