"""A client's connection as a line to write on: answers out, an orderly end, and whether the client reads."""

from __future__ import annotations

import asyncio
import http
import select
import socket
import struct
from typing import cast

from roadspur.net.connection_interfaces import ConnectionServer
from roadspur.net.http_messages import EMPTY, unsent

FLOW_STALL_S = 10.0  # for a client to read any more of a large answer
CLOSE = b"Connection: close\r\n"
LINGER_S = 0.5  # for a client to read the last answer
RESET = struct.pack("ii", 1, 0)  # of SO_LINGER
PHRASES = {s.value: s.phrase.encode() for s in http.HTTPStatus}


class ClientConnectionBase(asyncio.Protocol):
    """Writes answers, and ends the connection so that the last one is read."""

    def __init__(self, server: ConnectionServer) -> None:
        self.server = server
        self.loop = server.loop
        self.transport: asyncio.Transport | None = None
        self.keep = True  # whether the connection stays open after the present answer
        self.closing = self.discarding_input = False  # deaf: what comes is thrown away
        self.since = self.loop.time()  # of being idle
        self.full_since = 0.0  # of a client that does not read; 0 if it does
        self.full_size = 0  # of what it has not read, when last looked at
        self.endless = False  # only the connection's end tells the end of the present answer
        self.flowed = False  # whether what is still to be written may be of a large answer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # no subclass of it under uvloop
        self.server.connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closing = True
        self.server.connections.discard(self)

    def write(self, status: int, lines: bytes, body: bytes, bodiless: bool) -> None:
        """An answer, whole; one without a body tells no length but what its lines tell."""
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
        assert self.transport is not None
        self.keep = self.keep and not self.server.draining
        self.transport.write(
            b"HTTP/1.1 %d %s\r\n%s%s\r\n%s"
            % (status, PHRASES.get(status, b"-"), lines, b"" if self.keep else CLOSE, body)
        )

    def close(self) -> None:
        """Close. A client still sending gets a moment to read the answer, which a reset would destroy."""
        if self.closing or self.transport is None:
            return
        self.closing = True
        if self.discarding_input:
            self.transport.write_eof()
        else:
            self.transport.close()
        self.full_since, self.full_size = self.loop.time(), unsent(self.transport)
        self.loop.call_later(LINGER_S, self.linger)

    def linger(self) -> None:
        """Wait for the rest of an answer to go out, as long as the client reads; then it is the end."""
        if self.transport is None or self not in self.server.connections:
            return
        if not self.transport.get_write_buffer_size():
            self.transport.abort()
        elif self.reads(self.loop.time()):
            self.loop.call_later(LINGER_S, self.linger)
        else:
            self.cut()

    def cut(self) -> None:
        """End it in the middle of an answer, so that this does not look like the answer's end."""
        assert self.transport is not None
        self.closing = True
        if self.endless and (self.transport.get_write_buffer_size() or not self.transport.is_closing()):
            self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.transport.abort()

    def reads(self, now: float) -> bool:
        """Whether a client that is behind has read any more of its answer lately."""
        assert self.transport is not None
        size, self.full_size = self.full_size, unsent(self.transport)
        if self.full_size < size:
            self.full_since = now
        return now - self.full_since <= (FLOW_STALL_S if self.flowed else self.server.limits.slow)

    def unread(self) -> bool:
        """Whether bytes have come that this program has not got round to reading."""
        assert self.transport is not None
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))
