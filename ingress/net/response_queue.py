"""The responses on a client's connection, in the order of its requests: each complete, or streamed."""

from __future__ import annotations

from collections import deque
from http import HTTPStatus

from ingress.net.client_connection_base import ClientConnectionBase
from ingress.net.connection_interfaces import ConnectionServer, ImmediateResponse
from ingress.net.exchange import Exchange
from ingress.net.http_messages import ClientRequest

CHUNKED = b"Transfer-Encoding: chunked\r\n"


class ResponseQueue(ClientConnectionBase):
    """Has one request handled at a time; those that were read ahead (pipelined) wait."""

    def __init__(self, server: ConnectionServer) -> None:
        super().__init__(server)
        self.waiting: deque[tuple[ClientRequest | ImmediateResponse, bool]] = deque()
        self.call: ClientRequest | None = None  # the one that is being handled
        self.source: Exchange | None = None  # of a response that is being streamed
        self.chunked = False  # whether it is streamed in chunked encoding

    def regulate(self) -> None:
        """Pause or resume reading, by the requests that wait."""
        raise NotImplementedError

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is closed: drop waiting requests, and report the client gone for the present one."""
        super().connection_lost(exc)
        for item, _ in self.waiting:
            if isinstance(item, ClientRequest):
                self.release(item)
        self.waiting.clear()
        call, self.call = self.call, None
        if call is not None:
            self.release(call)
            self.server.request_handler.gone(call)

    def pause_writing(self) -> None:
        """The client doesn't read its responses: its further requests wait, for a limited time."""
        self.full_since = self.loop.time()
        if self.source is not None:
            self.source.pause()

    def resume_writing(self) -> None:
        """The client reads again."""
        self.full_since = 0.0
        self.flowed = self.source is not None
        if self.source is not None:
            self.source.resume()
        self.proceed()

    def enqueue(self, item: ClientRequest | ImmediateResponse, keep: bool) -> None:
        """Add a request, or the response to one; `keep`: the connection may stay open after it."""
        self.waiting.append((item, keep))
        self.regulate()
        if self.call is None:
            self.proceed()

    def proceed(self) -> None:
        """Process what has been read ahead, up to the next request that has to wait for its response."""
        while self.waiting and self.call is None and not self.closing and not self.full_since:
            item, self.keep = self.waiting.popleft()
            self.owed = max(0, self.owed - 1)
            if isinstance(item, ClientRequest):
                self.call = item
                self.server.request_handler.take(item, self)
            else:
                lines = b"Retry-After: 1\r\n" if item.status == HTTPStatus.SERVICE_UNAVAILABLE else b""
                self.write(item.status, item.lines or lines, item.why.encode(), item.bodiless)
        if not self.discarding_input:
            self.regulate()

    def drain(self) -> None:
        """Begin to drain: the response to the last request that has been read by now is the last one."""
        self.owed = len(self.waiting)

    def reply(self, status: int, lines: bytes, body: bytes) -> None:
        """Send the complete final response to the present request."""
        call, self.call = self.call, None
        if call is not None:
            self.release(call)
        if status == HTTPStatus.BAD_REQUEST:  # rejected only by the handler, for a duplicate id
            self.discarding_input = True
            self.keep = False
        if call is not None and call.unfinished:
            self.keep = False
            call.drop_rest()
        self.write(status, lines, body, call is not None and call.bodiless)
        if self.waiting:  # not from here: this may be deep inside an event
            self.loop.call_soon(self.proceed)

    def begin(self, lines: bytes, length: int | None, source: Exchange) -> None:
        """Send the head of a streamed final response; its Content-Length is `length`, if known."""
        assert self.call is not None
        assert self.transport is not None
        self.release(self.call)
        self.keep = self.keep and not self.call.unfinished
        self.chunked = length is None and self.call.chunks
        self.endless = length is None and not self.chunked
        self.keep = self.keep and not self.endless
        self.source = source
        self.flowed = True
        lines += b"Content-Length: %d\r\n" % length if length is not None else CHUNKED * self.chunked
        self.write_head(200, lines)

    def part(self, data: bytes) -> None:
        """Send a part of the streamed body."""
        if self.transport is not None and not self.closing:
            self.transport.write(b"%x\r\n%s\r\n" % (len(data), data) if self.chunked else data)

    def finish(self) -> None:
        """The streamed response is complete: go on with the next request, or close."""
        if self.call is not None:
            self.call.drop_rest()
        self.call = None
        self.source = None
        if self.transport is None or self.closing:
            return
        if self.chunked:
            self.transport.write(b"0\r\n\r\n")
        self.since = self.loop.time()
        if not self.keep:
            self.close()
        elif self.waiting:
            self.loop.call_soon(self.proceed)

    def break_off(self) -> None:
        """The rest of a streamed response is lost: abort, so that the client sees that it is incomplete."""
        self.call = None
        self.source = None
        if self.transport is not None:
            self.cut()

    def release(self, call: ClientRequest) -> None:
        """Release a request's share of the buffer for bodies."""
        self.server.bodies -= call.reserved
        call.reserved = 0
