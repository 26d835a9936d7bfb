"""The proxy's own connections to clients and backends, over simulated links."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Mapping
from typing import Any, Protocol, cast

from gateway.state_machine import Address
from ingress.net import upstream as real
from ingress.net.client import ClientConnection
from ingress.net.server import Server
from ingress.net.upstream import Pool
from simulation.model.network import Location, Network
from simulation.model.simulator import Process
from simulation.model.tcp import TcpEndpoint, connect


class ConnectionListener(Protocol):
    """A listener at an address."""

    @property
    def place(self) -> Location:
        """The place of the listener."""

    def accept(self, end: TcpEndpoint) -> bool | None:
        """Accept or refuse a connection, or (None) don't answer."""


class ConnectionEnvironment(Protocol):
    """The part of the deployment that connections use."""

    @property
    def network(self) -> Network:
        """All links."""

    @property
    def listeners(self) -> Mapping[Address, ConnectionListener]:
        """The listeners by address."""

    def vacant(self, ip: str) -> bool:
        """Whether no machine answers at an address, not even with a reset."""


class Upstream(real.Upstream):
    """The proxy's connections to backends, which are opened over simulated links."""

    def __init__(
        self, process: Process, place: Location, environment: ConnectionEnvironment, *args: Any
    ) -> None:
        super().__init__(process.loop, *args)
        self.process = process
        self.place = place
        self.environment = environment

    async def connect(self, pool: Pool) -> real.Connection:
        """Open a simulated connection to a backend."""
        process = self.process
        environment = self.environment
        ip, port = pool.endpoint.address
        backend = environment.listeners.get(f"{ip}:{port}")
        future = process.create_future()

        def made(end: TcpEndpoint | None) -> None:
            if future.done():
                if end is not None:
                    end.abort()
            elif end is None:
                future.set_exception(ConnectionRefusedError())
            else:
                future.set_result(end)

        if backend is not None:
            connect(
                environment.network,
                self.place,
                process,
                backend.place,
                False,
                self.silent or None,
                backend.accept,
                made,
            )
        elif not environment.vacant(ip):
            process.call_later(0.001, made, None)
        async with asyncio.timeout(self.connect_timeout):
            end = await future
        connection = real.Connection(pool, cast(socket.socket, end))
        end.receiver = connection
        process.ends[end] = None
        self.connections.add(connection)
        connection.connection_made(cast(asyncio.Transport, end))
        return connection


class SimulatedServerConnection(ClientConnection):
    """A client connection that detects unread bytes without a file descriptor."""

    def unread(self) -> bool:
        """Whether unread bytes have arrived."""
        end = cast(TcpEndpoint, self.transport)
        return bool(end.pending or end.buffered)


class ListeningSocket:
    """Replaces the listening socket."""

    sockets = ()

    def __init__(self) -> None:
        self.open = True

    def close(self) -> None:
        """Stop accepting connections."""
        self.open = False


class SimulatedServer(Server):
    """The proxy's own server for clients."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.listening_socket = ListeningSocket()
        self.listener = cast(asyncio.Server, self.listening_socket)

    def accept(self, process: Process, end: TcpEndpoint) -> bool:
        """Accept a connection at once in the kernel, and in the process as soon as it is free."""
        if process.ended or not self.listening_socket.open:
            return False
        end.process = process
        process.ends[end] = None
        connection = end.receiver = SimulatedServerConnection(self)
        process.enter(connection.connection_made, end)
        return True
