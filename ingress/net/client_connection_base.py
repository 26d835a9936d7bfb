"""The writing side of a client's connection: responses, an orderly close, and slow readers."""

from __future__ import annotations

import asyncio
import http
import select
import socket
import struct
from typing import cast

from ingress.net.connection_interfaces import ConnectionServer
from ingress.net.http_messages import EMPTY, unsent

FLOW_STALL_S = 10.0  # for a client to read any more of a large response
CLOSE = b"Connection: close\r\n"
LINGER_S = 0.5  # for a client to read the last response
RESET = struct.pack("ii", 1, 0)  # value of SO_LINGER with which a close sends a reset
PHRASES = {s.value: s.phrase.encode() for s in http.HTTPStatus}


class ClientConnectionBase(asyncio.Protocol):
    """Writes responses, and closes the connection so that the last one can be read."""

    def __init__(self, server: ConnectionServer) -> None:
        self.server = server
        self.loop = server.loop
        self.transport: asyncio.Transport | None = None
        self.keep = True  # whether the connection stays open after the present response
        self.owed = 0  # requests that were read before a drain began and wait behind the present one
        # the latter: bytes received are thrown away
        self.closing = False
        self.discarding_input = False
        self.since = self.loop.time()  # when it became idle
        self.full_since = 0.0  # since when the client hasn't read; 0 if it does
        self.full_size = 0  # unread bytes when last checked
        self.endless = False  # the present response ends with the connection
        self.flowed = False  # whether unwritten bytes may belong to a streamed response

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open: register it with the server."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's isn't a subclass
        self.server.connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is closed."""
        self.closing = True
        self.server.connections.discard(self)

    def write(self, status: int, lines: bytes, body: bytes, bodiless: bool) -> None:
        """Write a complete response; a `bodiless` one has no Content-Length but that in `lines`."""
        if self.transport is None or self.closing:
            return
        self.since = self.loop.time()
        if bodiless or status in EMPTY:
            self.write_head(status, lines)
        else:
            self.write_head(status, b"%sContent-Length: %d\r\n" % (lines, len(body)), body)
        if not self.keep:
            self.close()

    def write_head(self, status: int, lines: bytes, body: bytes = b"") -> None:
        """Write the head of a response with these header lines, and what is given of its body."""
        assert self.transport is not None
        self.keep = self.keep and not (self.server.draining and not self.owed)
        self.transport.write(
            b"HTTP/1.1 %d %s\r\n%s%s\r\n%s"
            % (status, PHRASES.get(status, b"-"), lines, b"" if self.keep else CLOSE, body)
        )

    def close(self) -> None:
        """Close. A client that is still sending gets `LINGER_S` to read the response.

        A reset would destroy it.
        """
        if self.closing or self.transport is None:
            return
        self.closing = True
        if self.discarding_input:
            self.transport.write_eof()
        else:
            self.transport.close()
        self.full_since = self.loop.time()
        self.full_size = unsent(self.transport)
        self.loop.call_later(LINGER_S, self.linger)

    def linger(self) -> None:
        """Wait until the rest of a response is written, as long as the client reads; then abort."""
        if self.transport is None or self not in self.server.connections:
            return
        if not self.transport.get_write_buffer_size():
            self.transport.abort()
        elif self.reads(self.loop.time()):
            self.loop.call_later(LINGER_S, self.linger)
        else:
            self.cut()

    def cut(self) -> None:
        """Abort in the middle of a response, with a reset where a plain close would look like its end."""
        assert self.transport is not None
        self.closing = True
        if self.endless and (self.transport.get_write_buffer_size() or not self.transport.is_closing()):
            self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.transport.abort()

    def reads(self, now: float) -> bool:
        """Whether a client that is behind has read more of its response lately. `now` is loop time."""
        assert self.transport is not None
        size = self.full_size
        self.full_size = unsent(self.transport)
        if self.full_size < size:
            self.full_since = now
        return now - self.full_since <= (FLOW_STALL_S if self.flowed else self.server.limits.slow)

    def hung_up(self) -> bool:
        """Whether the client has closed, as far as that is visible without reading what it sent before."""
        assert self.transport is not None
        poll = select.poll()
        try:
            poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        except (OSError, ValueError):  # this side has closed the descriptor already
            return False
        return bool(poll.poll(0))

    def unread(self) -> bool:
        """Whether bytes have arrived that this process hasn't read yet."""
        assert self.transport is not None
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))
