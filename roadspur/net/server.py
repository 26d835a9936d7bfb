"""Listens for clients, and lets them go in order."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Iterator

from roadspur.net import connection_interfaces
from roadspur.net.client import ClientConnection
from roadspur.net.connection_interfaces import Limits
from roadspur.net.ingress import Ingress
from roadspur.net.reuseport import divert_new_connections

SWEEP_S = 0.25
NOTICE_S = 0.5  # after a drain begins, in which new connections go on coming for up to 0.4 s
DRAIN_IDLE_S = 0.3  # without a request, after which a drain closes a connection


class Server:
    """Listens for clients, and leaves in order."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        ingress: Ingress,
        most: int,
        bodies_most: int = 0,
        limits: Limits | None = None,
    ) -> None:
        self.loop, self.ingress, self.most, self.limits = (
            loop,
            ingress,
            most,
            limits or connection_interfaces.USUAL,
        )
        self.bodies, self.bodies_most = 0, bodies_most  # bytes of larger bodies that are held
        self.connections: set[ClientConnection] = set()
        self.order: Iterator[int] = itertools.count()  # who was heard last: the clock is too coarse
        self.draining = self.leaving = False  # for a time, for good
        self.drain_task: asyncio.Task[None] | None = None
        self.listener: asyncio.Server | None = None
        self.sweeper = loop.call_later(SWEEP_S, self.sweep)

    @property
    def request_handler(self) -> Ingress:
        """What takes the requests."""
        return self.ingress

    async def listen(self, host: str, port: int) -> None:
        self.listener = await self.loop.create_server(
            lambda: ClientConnection(self), host, port, backlog=1024, reuse_port=True
        )

    def ready(self) -> bool:
        """Whether a request could be served: there is a backend to send it to, and this is no goodbye."""
        return not self.draining and any(map(self.ingress.open_to, self.ingress.serving))

    def healthy(self) -> bool:
        """Whether the ingress is to be sent requests: in an upgrade the process taking over serves them."""
        return self.ready() or (self.leaving and self.ingress.beside > 0)

    def room(self, more: int) -> bool:
        """Whether so many more bytes of bodies may be held; during an upgrade each process has its part."""
        return self.bodies + more <= self.bodies_most // (1 + self.ingress.beside)

    def connection_opened(self, connection: ClientConnection) -> None:
        """Room for one more is made by closing one that never sent anything, or has been idle longest.

        Where none is idle, the new one is told so: ended without an answer, its request would be lost.
        """
        self.connections.add(connection)
        if len(self.connections) + self.ingress.sibling_clients > self.most:
            for other in sorted(self.connections, key=lambda c: (c.used, c.heard)):
                if other is not connection and other.idle():
                    other.close()
                    return
            connection.crowded = True

    def sweep(self) -> None:
        now = self.loop.time()
        for connection in list(self.connections):
            connection.sweep(now)
        self.sweeper = self.loop.call_later(SWEEP_S, self.sweep)

    def drain(self) -> None:
        """Say no to health checks and let all connections go, each after its answer or once it is idle."""
        if not self.draining:
            self.draining = True
            self.drain_task = self.loop.create_task(self.release_connections())

    async def release_connections(self) -> None:
        """Close what is idle once the notice is over; one that was accepted last may come only then."""
        await asyncio.sleep(NOTICE_S)
        while True:
            idle_since = self.loop.time() - DRAIN_IDLE_S
            for connection in list(self.connections):
                if connection.since <= idle_since and connection.idle():
                    connection.close()
            await asyncio.sleep(0.02)

    def resume(self) -> bool:
        """Serve again as before the drain, unless this process is ending."""
        if self.leaving:
            return False
        if self.drain_task is not None:
            self.drain_task.cancel()
        self.draining, self.drain_task = False, None
        return True

    async def leave(self) -> None:
        """Drain for good: accept for the notice, unless another process does, and wait for what is held."""
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
