"""Connections to backends: pools, attempts and probes, each with exactly one outcome."""

from __future__ import annotations

import asyncio
import logging
import math
import socket
from typing import cast

from ingress import interface as io
from ingress.net.exchange import Endpoint, Exchange
from ingress.net.http_messages import Response, ResponseReader

log = logging.getLogger(__name__)

IDLE_TIMEOUT_FRACTION = 0.5  # of the backends' idle timeout; a connection idle for longer isn't used
SWEEP_INTERVAL_S = 1.0  # of the checks for idle connections
STALL_S = 0.25  # the rest of a response that stalls midway for this time isn't waited for
FLOW_STALL_S = 5.0  # the same for a streamed response, which can't be replaced by another one


class Connection(asyncio.Protocol):
    """A connection to a backend, which carries one exchange at a time."""

    def __init__(self, pool: Pool, sock: socket.socket) -> None:
        self.pool = pool
        self.sock = sock
        self.transport: asyncio.Transport | None = None
        self.reader = ResponseReader(streams_body=True)
        self.exchange: Exchange | None = None
        self.idle_since = 0.0
        self.closed = False
        self.streaming = False
        self.paused = False
        self.saw_foreign_answer = False  # whether a response to another request was received
        self.stall: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the open connection."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's isn't a subclass

    def stale(self) -> bool:
        """Whether the backend has closed the connection, or has sent bytes that weren't read yet."""
        if self.closed:
            return True
        try:
            return self.unread()
        except OSError:
            return True

    def unread(self) -> bool:
        """Whether unread bytes or a close have arrived. Raises OSError if the connection was reset."""
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        return True

    def send(self, exchange: Exchange) -> None:
        """Write the request. A failure after its last byte counts as a reset: the backend may have it all."""
        assert self.transport is not None
        self.exchange = exchange
        exchange.connection = self
        self.reader.expect(exchange.ends)
        exchange.begun = True
        exchange.written = exchange.upload is None
        self.transport.write(exchange.message())
        if exchange.upload is not None:
            exchange.upload.attach(self)

    def sent(self) -> bool:
        """Whether the kernel has accepted all that was written."""
        return self.transport is not None and not self.transport.get_write_buffer_size()

    def body(self, data: bytes) -> None:
        """Write a part of a streamed request body."""
        if self.transport is not None and not self.closed:
            self.transport.write(data)

    def uploaded(self) -> None:
        """Record that the last part of the request body has been written."""
        if self.exchange is not None and self.exchange.sink is not None:
            self.exchange.end_upload()
            self.exchange.written = True
            self.exchange.sink.written(self.exchange)

    def pause_writing(self) -> None:
        """Suspend the upload, as the backend accepts the body more slowly than it arrives."""
        if self.exchange is not None and self.exchange.upload is not None:
            self.exchange.upload.hold(True)

    def resume_writing(self) -> None:
        """Resume the upload, as the backend accepts data again."""
        if self.exchange is not None and self.exchange.upload is not None:
            self.exchange.upload.hold(False)

    def data_received(self, data: bytes) -> None:
        """Parse the bytes of one read. Only the first response belongs to the exchange.

        The connection is reused only after the whole read has been examined: what follows the response, a
        duplicate of it or garbage, would be taken for the response to the next request.
        """
        self.pool.read_count += 1
        if self.stall is not None:
            self.stall.cancel()
        if self.exchange is None:
            self.drop()
            return
        self.read(self.reader.feed(data))

    def eof_received(self) -> None:
        """Handle the end of the input, which may complete a response."""
        if self.exchange is not None:
            self.read(self.reader.end())

    def read(self, answers: list[Response]) -> None:
        """Act on the result of parsing a read."""
        if self.reader.head is not None:
            self.flow(self.reader.head, bool(answers))
        elif (mine := self.mine(answers)) is not None:
            clean = len(answers) == 1 and not self.reader.partial and not self.reader.broken
            self.answered(mine, clean and not self.saw_foreign_answer)
        elif self.reader.broken:
            self.corrupt(self.reader.broken)
        elif self.reader.partial:
            self.stall = self.pool.loop.call_later(STALL_S, self.stalled)

    def mine(self, answers: list[Response]) -> Response | None:
        """Return the response to the exchange's request; responses to other requests may precede it."""
        for answer in answers:
            if self.exchange is not None and self.exchange.judge(answer) is not None:
                return answer
            self.saw_foreign_answer = True
        return None

    def flow(self, head: Response, surplus: bool) -> None:
        """Pass on the received part of a streamed response.

        One that isn't a success, or that nobody receives (a health check's), ends the connection. `surplus`:
        complete responses came in the same read.
        """
        exchange = self.exchange
        reader = self.reader
        if exchange is None or exchange.sink is None or exchange.judge(head) is not io.Outcome.OK:
            self.corrupt("the body is too large")
            return
        if not self.streaming:
            self.streaming = True
            exchange.begin(exchange.sink, head)
        if (part := reader.take()) and not self.closed:
            exchange.sink.part(part)
        if self.closed:  # the client has disconnected
            return
        if reader.done:
            self.answered(head, not (surplus or reader.partial or reader.broken))
        elif reader.broken:
            self.corrupt(reader.broken)
        elif not self.paused:
            self.stall = self.pool.loop.call_later(FLOW_STALL_S, self.stalled)

    def pause(self) -> None:
        """Stop reading while the receiver of a streamed response is slow."""
        if not self.paused and not self.closed and self.transport is not None:
            self.paused = True
            self.transport.pause_reading()
            if self.stall is not None:
                self.stall.cancel()

    def resume(self) -> None:
        """Continue reading."""
        if self.paused and not self.closed and self.transport is not None:
            self.paused = False
            self.transport.resume_reading()
            self.stall = self.pool.loop.call_later(FLOW_STALL_S, self.stalled)

    def answered(self, answer: Response, clean: bool) -> None:
        """End the exchange, whose response is complete, and keep the connection if it is `clean`."""
        exchange, self.exchange = self.exchange, None
        assert exchange is not None
        exchange.connection = None
        exchange.end_upload()
        clean = clean and exchange.written and exchange.named(answer) and self.sent()
        self.streaming = False
        self.resume()
        if self.stall is not None:
            self.stall.cancel()
        if clean and answer.keep and not self.closed:
            self.pool.keep(self)
        else:
            self.drop()
        exchange.end(exchange.judge(answer) or io.Outcome.RESET, answer)

    def stalled(self) -> None:
        """Handle a response that has stalled midway.

        Wait only if the client can't get another response (`Exchange.should_wait`), or if there are unread
        bytes, in which case this process has paused the reading.
        """
        should_wait = self.exchange is not None and self.exchange.should_wait()
        try:
            goes_on = not self.closed and (self.unread() or should_wait)
        except OSError:  # reported only once: the next read sees a plain close, which might end the response
            goes_on = False
        if goes_on:
            self.stall = self.pool.loop.call_later(STALL_S, self.stalled)
        else:
            self.corrupt("the answer stops midway")

    def corrupt(self, why: str) -> None:
        """End the exchange without a usable response. The request may have run."""
        exchange = self.exchange
        self.drop()
        if exchange is not None:
            log.debug("backend %s: %s", self.pool.backend, why)
            exchange.end_upload()
            exchange.end(io.Outcome.RESET if exchange.may_have_run else io.Outcome.CONNECT_FAILED)

    def drop(self) -> None:
        """Close at once. The kernel has the close before anything else is written to any connection."""
        if self.closed:
            return
        self.closed = True
        self.exchange = None
        if self.stall is not None:
            self.stall.cancel()
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError as error:
            log.debug("backend %s: shutdown: %s", self.pool.backend, error)
        if self.transport is not None:
            self.transport.abort()
        self.pool.forget(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle that the connection is closed."""
        self.corrupt("the connection ended")


class Pool:
    """The connections to one backend. The newest idle one is used first, so that the others can expire."""

    def __init__(
        self, backend: str, endpoint: Endpoint, loop: asyncio.AbstractEventLoop, connections: set[Connection]
    ) -> None:
        self.backend = backend
        self.endpoint = endpoint
        self.loop = loop
        self.idle: list[Connection] = []
        self.connections = connections  # of all pools, also of retired ones, as each takes a descriptor
        self.retired = False  # whether the backend has moved or restarted: no connection is kept for reuse
        self.read_count = 0  # used to order events, as the loop's clock is too coarse

    def take(self, oldest: float) -> Connection | None:
        """Return the newest idle connection that is open and became idle at `oldest` (loop time) or later.

        None if there is none. The other connections are closed.
        """
        while self.idle:
            connection = self.idle.pop()
            if connection.idle_since >= oldest and not connection.stale():
                return connection
            connection.drop()
        return None

    def keep(self, connection: Connection) -> None:
        """Keep a connection for reuse, unless the pool is retired."""
        if self.retired:
            connection.drop()
            return
        connection.idle_since = self.loop.time()
        self.idle.append(connection)

    def forget(self, connection: Connection) -> None:
        """Remove a closed connection."""
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def close_idle(self, before: float | None = None) -> None:
        """Close the connections idle since before this loop time, or (None) all idle ones."""
        for connection in [c for c in self.idle if before is None or c.idle_since < before]:
            connection.drop()


class Upstream:
    """The pools of all backends.

    `max_connections` is the limit for this process and its siblings together. Times are in seconds; `idle` is
    the backends' idle timeout.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connect_timeout: float,
        idle: float,
        max_connections: int,
        silent: float = 0.0,
    ) -> None:
        self.loop = loop
        self.connect_timeout = connect_timeout
        self.max_connections = max_connections
        self.silent = silent  # TCP user timeout in seconds; 0: the system's default
        self.idle = IDLE_TIMEOUT_FRACTION * idle
        self.pools: dict[str, Pool] = {}
        self.connections: set[Connection] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.opening = 0
        self.sibling_connections = 0  # connections of sibling processes of this ingress
        self.sweeper = loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def update(self, backend: str, endpoint: Endpoint | None) -> None:
        """Set a backend's endpoint, or remove it (None). Old connections aren't used after a change."""
        pool = self.pools.get(backend)
        if pool is not None and pool.endpoint != endpoint:
            pool.close_idle()
            pool.retired = True  # connections in use aren't kept afterwards
            del self.pools[backend]
            pool = None
        if pool is None and endpoint is not None:
            self.pools[backend] = Pool(backend, endpoint, self.loop, self.connections)

    def send(self, exchange: Exchange, timeout: float) -> None:
        """Carry out an exchange within `timeout` seconds. It may have ended when this returns."""
        pool = self.pools.get(exchange.backend)
        if pool is None or not exchange.may_send():
            exchange.end(io.Outcome.NOT_SENT)
            return
        exchange.reads_at_start = pool.read_count
        if timeout < math.inf:
            exchange.timer = self.loop.call_later(max(0.0, timeout), self.expire, exchange)
        connection = pool.take(self.loop.time() - self.idle)
        if connection is not None:
            connection.send(exchange)
        elif not self.room():
            log.warning("no socket is left for backend %s", exchange.backend)
            exchange.end(io.Outcome.CONNECT_FAILED)
        else:
            task = self.loop.create_task(self.open(pool, exchange))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def expire(self, exchange: Exchange) -> None:
        """End an exchange that has timed out."""
        self.give_up(exchange, io.Outcome.TIMEOUT)

    def cancel(self, exchange: Exchange) -> None:
        """Cancel an exchange."""
        self.give_up(exchange, io.Outcome.CANCELLED)

    def give_up(self, exchange: Exchange, outcome: io.Outcome) -> None:
        """End an exchange.

        If nothing at all was received from the backend since its start, the idle connections count as dead
        too, and are closed.
        """
        pool = self.pools.get(exchange.backend)
        if pool is not None and exchange.written and pool.read_count == exchange.reads_at_start:
            pool.close_idle()
        exchange.give_up(outcome)

    async def open(self, pool: Pool, exchange: Exchange) -> None:
        """Open a connection for an exchange, and send the request on it.

        The end of the exchange doesn't cancel this: once a transport owns the descriptor, closing it here too
        would close whatever has the same number by then.
        """
        self.opening += 1
        try:
            connection = await self.connect(pool)
        except (OSError, TimeoutError) as error:
            log.debug("backend %s: connect: %r", pool.backend, error)
            exchange.end(io.Outcome.CONNECT_FAILED)
            return
        finally:
            self.opening -= 1
        if connection.closed:
            exchange.end(io.Outcome.CONNECT_FAILED)
        elif exchange.ended:
            pool.keep(connection)
        elif pool.retired or not exchange.may_send():
            # The backend began to drain or moved, or the client disconnected meanwhile: send nothing.
            connection.drop()
            exchange.end(io.Outcome.NOT_SENT)
        else:
            connection.send(exchange)

    async def connect(self, pool: Pool) -> Connection:
        """Open a connection. Raises OSError or TimeoutError if that fails."""
        sock = socket.socket(socket.AF_INET6 if ":" in pool.endpoint.address[0] else socket.AF_INET)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self.silent:
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(1000 * self.silent))
            async with asyncio.timeout(self.connect_timeout):
                await self.loop.sock_connect(sock, pool.endpoint.address)
        except BaseException:
            sock.close()
            raise
        connection = Connection(pool, sock)
        self.connections.add(connection)
        try:
            await self.loop.create_connection(lambda: connection, sock=sock)
        except BaseException:
            connection.drop()
            raise
        return connection

    def room(self) -> bool:
        """Whether one more socket may be opened. If necessary, closes the connection idle longest."""
        if self.opening + len(self.connections) + self.sibling_connections < self.max_connections:
            return True
        idle = [p.idle[0] for p in self.pools.values() if p.idle]
        if idle:
            min(idle, key=lambda c: c.idle_since).drop()
        return bool(idle)

    def close_idle(self, backend: str) -> None:
        """Close all idle connections to a backend."""
        if backend in self.pools:
            self.pools[backend].close_idle()

    def sweep(self) -> None:
        """Close idle connections before the backend does, as a request that crosses its close is reset."""
        oldest = self.loop.time() - self.idle
        for pool in self.pools.values():
            pool.close_idle(oldest)
        self.sweeper = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def close(self) -> None:
        """Close all connections when the process ends."""
        self.sweeper.cancel()
        for connection in list(self.connections):
            connection.drop()
