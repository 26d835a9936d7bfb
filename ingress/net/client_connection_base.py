"""The writing side of a client connection: responses, an orderly close, and slow readers."""

from __future__ import annotations

import asyncio
import http
import select
import socket
import struct
from typing import cast

from ingress.net.connection_interfaces import ConnectionServer
from ingress.net.http_messages import BODILESS_STATUSES, unsent

FLOW_STALL_S = 10.0  # longest time in which a client reads nothing of a large response
CLOSE = b"Connection: close\r\n"
LINGER_S = 0.5  # time that a client gets to read the last response
RESET = struct.pack("ii", 1, 0)  # SO_LINGER value with which a close sends a reset
PHRASES = {s.value: s.phrase.encode() for s in http.HTTPStatus}


class ClientConnectionBase(asyncio.Protocol):
    """Writes responses, and closes the connection in a way that lets the client read the last one."""

    def __init__(self, server: ConnectionServer) -> None:
        self.server = server
        self.loop = server.loop
        self.transport: asyncio.Transport | None = None
        self.keep = True  # whether the connection stays open after the current response
        self.queued_before_drain = 0  # requests read before a drain began that still wait
        self.closing = False
        self.discarding_input = False  # whether received bytes are discarded
        self.since = self.loop.time()  # when it became idle
        self.unread_since = 0.0  # since when the client hasn't read; 0 if it reads
        self.unread_size = 0  # unread bytes at the last check
        self.endless = False  # the current response ends with the connection
        self.flowed = False  # whether unwritten bytes may belong to a streamed response

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the new connection with the server."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's isn't a subclass
        self.server.connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the closed connection from the server."""
        self.closing = True
        self.server.connections.discard(self)

    def write(self, status: int, lines: bytes, body: bytes, bodiless: bool) -> None:
        """Write a complete response. With `bodiless`, Content-Length is sent only if `lines` has it."""
        if self.transport is None or self.closing:
            return
        self.since = self.loop.time()
        if bodiless or status in BODILESS_STATUSES:
            self.write_head(status, lines)
        else:
            self.write_head(status, b"%sContent-Length: %d\r\n" % (lines, len(body)), body)
        if not self.keep:
            self.close()

    def write_head(self, status: int, lines: bytes, body: bytes = b"") -> None:
        """Write the head of a response with these header lines, and the given part of its body."""
        assert self.transport is not None
        self.keep = self.keep and not (self.server.draining and not self.queued_before_drain)
        self.transport.write(
            b"HTTP/1.1 %d %s\r\n%s%s\r\n%s"
            % (status, PHRASES.get(status, b"-"), lines, b"" if self.keep else CLOSE, body)
        )

    def close(self) -> None:
        """Close the connection. A client that is still sending gets `LINGER_S` to read the response.

        A reset would discard the response before the client reads it.
        """
        if self.closing or self.transport is None:
            return
        self.closing = True
        if self.discarding_input:
            self.transport.write_eof()
        else:
            self.transport.close()
        self.unread_since = self.loop.time()
        self.unread_size = unsent(self.transport)
        self.loop.call_later(LINGER_S, self.linger)

    def linger(self) -> None:
        """Wait until the rest of a response is written, as long as the client reads, then abort."""
        if self.transport is None or self not in self.server.connections:
            return
        if not self.transport.get_write_buffer_size():
            self.transport.abort()
        elif self.reads(self.loop.time()):
            self.loop.call_later(LINGER_S, self.linger)
        else:
            self.cut()

    def cut(self) -> None:
        """Abort in the middle of a response, with a reset if a plain close would look like its end."""
        assert self.transport is not None
        self.closing = True
        if self.endless and (self.transport.get_write_buffer_size() or not self.transport.is_closing()):
            self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.transport.abort()

    def reads(self, now: float) -> bool:
        """Whether a slow client has read more of its response recently. `now` is loop time."""
        assert self.transport is not None
        size = self.unread_size
        self.unread_size = unsent(self.transport)
        if self.unread_size < size:
            self.unread_since = now
        return now - self.unread_since <= (FLOW_STALL_S if self.flowed else self.server.limits.slow)

    def hung_up(self) -> bool:
        """Whether the client has closed, as far as that shows without reading what it sent before."""
        assert self.transport is not None
        poll = select.poll()
        try:
            poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        except (OSError, ValueError):  # this side has already closed the descriptor
            return False
        return bool(poll.poll(0))

    def unread(self) -> bool:
        """Whether bytes have arrived that this process hasn't read yet."""
        assert self.transport is not None
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))
