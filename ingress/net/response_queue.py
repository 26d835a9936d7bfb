"""The responses on a client connection, complete or streamed, in the order of its requests."""

from __future__ import annotations

from collections import deque
from http import HTTPStatus

from ingress.net.client_connection_base import ClientConnectionBase
from ingress.net.connection_interfaces import ConnectionServer, ImmediateResponse
from ingress.net.exchange import Exchange
from ingress.net.http_messages import ClientRequest

CHUNKED = b"Transfer-Encoding: chunked\r\n"


class ResponseQueue(ClientConnectionBase):
    """Has one request handled at a time. Requests that were read ahead (pipelined) wait."""

    def __init__(self, server: ConnectionServer) -> None:
        super().__init__(server)
        self.waiting: deque[tuple[ClientRequest | ImmediateResponse, bool]] = deque()
        self.call: ClientRequest | None = None  # the request being handled
        self.source: Exchange | None = None  # exchange of the response being streamed
        self.chunked = False  # whether the response is streamed in chunked encoding

    def regulate(self) -> None:
        """Pause or resume reading, by the number of waiting requests."""
        raise NotImplementedError

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the waiting requests of a closed connection, and report that its client has disconnected."""
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
        """Let further requests wait for a limited time, as the client doesn't read its responses."""
        self.unread_since = self.loop.time()
        if self.source is not None:
            self.source.pause()

    def resume_writing(self) -> None:
        """Go on with the waiting requests, as the client reads again."""
        self.unread_since = 0.0
        self.flowed = self.source is not None
        if self.source is not None:
            self.source.resume()
        self.proceed()

    def enqueue(self, item: ClientRequest | ImmediateResponse, keep: bool) -> None:
        """Add a request, or the response to one. With `keep`, the connection may stay open afterwards."""
        self.waiting.append((item, keep))
        self.regulate()
        if self.call is None:
            self.proceed()

    def proceed(self) -> None:
        """Process the requests read ahead, up to the next one that has to wait for its response."""
        while self.waiting and self.call is None and not self.closing and not self.unread_since:
            item, self.keep = self.waiting.popleft()
            self.queued_before_drain = max(0, self.queued_before_drain - 1)
            if isinstance(item, ClientRequest):
                self.call = item
                self.server.request_handler.take(item, self)
            else:
                lines = b"Retry-After: 1\r\n" if item.status == HTTPStatus.SERVICE_UNAVAILABLE else b""
                self.write(item.status, item.lines or lines, item.why.encode(), item.bodiless)
        if not self.discarding_input:
            self.regulate()

    def drain(self) -> None:
        """Begin to drain. The last response is the one to the last request read by now."""
        self.queued_before_drain = len(self.waiting)

    def reply(self, status: int, lines: bytes, body: bytes) -> None:
        """Send the complete final response to the current request."""
        call, self.call = self.call, None
        if call is not None:
            self.release(call)
        if status == HTTPStatus.BAD_REQUEST:  # the handler rejected a duplicate id
            self.discarding_input = True
            self.keep = False
        if call is not None and call.unfinished:
            self.keep = False
            call.drop_rest()
        self.write(status, lines, body, call is not None and call.bodiless)
        if self.waiting:  # deferred, as this may be called while an event is handled
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
        """Complete the streamed response, and go on with the next request, or close."""
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
        """Abort, so that the client sees that a streamed response is incomplete."""
        self.call = None
        self.source = None
        if self.transport is not None:
            self.cut()

    def release(self, call: ClientRequest) -> None:
        """Release a request's share of the buffer for bodies."""
        self.server.body_bytes -= call.reserved
        call.reserved = 0
