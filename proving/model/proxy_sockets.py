"""The proxy's connections to clients and backends: the program's own, over the model's links."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Any, cast

from proving.model.tcp import TcpEndpoint, connect
from roadspur.net import upstream as real
from roadspur.net.client import ClientConnection
from roadspur.net.server import Server
from roadspur.net.upstream import Pool

if TYPE_CHECKING:
    from proving.model.processes import ProxyProcess


class Upstream(real.Upstream):
    """Connections to backends; only how one is opened is the model's."""

    def __init__(self, process: ProxyProcess, *args: Any) -> None:
        super().__init__(process.loop, *args)
        self.process = process

    async def connect(self, pool: Pool) -> real.Connection:
        process = self.process
        ip, port = pool.endpoint.address
        backend = process.machine.deployment.listeners.get(f"{ip}:{port}")
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
                process.machine.network,
                process.place,
                process,
                backend.place,
                False,
                self.silent or None,
                backend.accept,
                made,
            )
        elif not process.machine.deployment.vacant(ip):
            process.call_later(0.001, made, None)
        async with asyncio.timeout(self.connect_timeout):
            end = await future
        connection = real.Connection(pool, cast(socket.socket, end))
        end.receiver = connection
        process.ends.add(end)
        self.connections.add(connection)
        connection.connection_made(cast(asyncio.Transport, end))
        return connection


class SimulatedServerConnection(ClientConnection):
    """A client's connection; what has come and isn't read is known without a descriptor."""

    def unread(self) -> bool:
        end = cast(TcpEndpoint, self.transport)
        return bool(end.pending or end.held)


class ListeningSocket:
    """Stands in for the listening socket."""

    sockets = ()

    def __init__(self) -> None:
        self.open = True

    def close(self) -> None:
        self.open = False


class SimulatedServer(Server):
    """The proxy's own listener for clients."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.listening_socket = ListeningSocket()
        self.listener = cast(asyncio.Server, self.listening_socket)

    def accept(self, process: ProxyProcess, end: TcpEndpoint) -> bool:
        """A client connects: taken by the kernel, and by the program once it gets round to it."""
        if process.ended or not self.listening_socket.open:
            return False
        end.process = process
        process.ends.add(end)
        connection = end.receiver = SimulatedServerConnection(self)
        process.enter(connection.connection_made, end)
        return True
