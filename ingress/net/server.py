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

SWEEP_S = 0.25  # between checks of the connections' time limits
NOTICE_S = 0.5  # after a drain begins, during which new connections still arrive for up to 0.4 s
DRAIN_IDLE_S = 0.3  # without a request, after which a drain closes a connection


class Server:
    """Accepts client connections, at most `most` together with sibling processes, and drains them.

    `bodies_most` is the limit in bytes for all larger buffered bodies.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        ingress: Ingress,
        most: int,
        bodies_most: int = 0,
        limits: Limits | None = None,
    ) -> None:
        self.loop = loop
        self.ingress = ingress
        self.most = most
        self.limits = limits or connection_interfaces.USUAL
        # bytes of larger buffered bodies
        self.bodies = 0
        self.bodies_most = bodies_most
        self.connections: set[ClientConnection] = set()
        self.order: Iterator[int] = itertools.count()  # for the order of last reads: the clock is too coarse
        # temporarily; and for the end of the process
        self.draining = False
        self.leaving = False
        self.drain_task: asyncio.Task[None] | None = None
        self.listener: asyncio.Server | None = None
        self.sweeper = loop.call_later(SWEEP_S, self.sweep)

    @property
    def request_handler(self) -> Ingress:
        """What handles the requests."""
        return self.ingress

    async def listen(self, host: str, port: int) -> None:
        """Listen on this address, which sibling processes may share. Raises OSError if that fails."""
        self.listener = await self.loop.create_server(
            lambda: ClientConnection(self), host, port, backlog=1024, reuse_port=True
        )

    def ready(self) -> bool:
        """Whether a request could be served: the server isn't draining, and there is a usable backend."""
        return not self.draining and any(map(self.ingress.open_to, self.ingress.serving))

    def healthy(self) -> bool:
        """Whether clients should send requests to this ingress.

        A leaving process says yes while a sibling takes over.
        """
        return self.ready() or (self.leaving and self.ingress.beside > 0)

    def room(self, more: int) -> bool:
        """Whether so many more bytes of bodies may be buffered; sibling processes divide the limit."""
        return self.bodies + more <= self.bodies_most // (1 + self.ingress.beside)

    def connection_opened(self, connection: ClientConnection) -> None:
        """Register a connection.

        Beyond the limit, one that never sent anything, or else the one idle longest, is closed. If none is
        idle, the new one is marked `crowded` and its request gets a 503: if it were closed without a
        response, the request would be lost.
        """
        self.connections.add(connection)
        if len(self.connections) + self.ingress.sibling_clients > self.most:
            for other in sorted(self.connections, key=lambda c: (c.used, c.heard)):
                if other is not connection and other.idle():
                    other.close()
                    return
            connection.crowded = True

    def sweep(self) -> None:
        """Enforce the time limits of all connections, periodically."""
        now = self.loop.time()
        for connection in list(self.connections):
            connection.sweep(now)
        self.sweeper = self.loop.call_later(SWEEP_S, self.sweep)

    def drain(self) -> None:
        """Fail health checks, and close all connections, each after its response or once it is idle."""
        if not self.draining:
            self.draining = True
            for connection in self.connections:
                connection.drain()
            self.drain_task = self.loop.create_task(self.release_connections())

    async def release_connections(self) -> None:
        """Close idle connections after `NOTICE_S`: one accepted last may send its request only then."""
        await asyncio.sleep(NOTICE_S)
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
        """Drain for good: accept connections for `NOTICE_S`, unless a sibling does; wait for all to end."""
        self.leaving = True
        self.ingress.follow(len(self.connections))
        sockets = self.listener.sockets if self.listener is not None else ()
        for listener in sockets:
            divert_new_connections(listener.fileno())
        self.drain()
        await asyncio.sleep(NOTICE_S)
        if self.listener is not None:
            self.listener.close()
        while self.connections:
            await asyncio.sleep(0.02)
        if self.drain_task is not None:
            self.drain_task.cancel()
        self.sweeper.cancel()
