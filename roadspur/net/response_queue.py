"""The answers on a client's connection, in the order of its requests: each at once, or in parts."""

from __future__ import annotations

from collections import deque

from roadspur.net.client_connection_base import ClientConnectionBase
from roadspur.net.connection_interfaces import ConnectionServer, ImmediateResponse
from roadspur.net.exchange import Exchange
from roadspur.net.http_messages import ClientRequest

CHUNKED = b"Transfer-Encoding: chunked\r\n"


class ResponseQueue(ClientConnectionBase):
    """Has one request at a time decided on; those that were read ahead wait."""

    def __init__(self, server: ConnectionServer) -> None:
        super().__init__(server)
        self.waiting: deque[tuple[ClientRequest | ImmediateResponse, bool]] = deque()
        self.call: ClientRequest | None = None  # the one that is being decided on
        self.source: Exchange | None = None  # of an answer that is on its way in parts
        self.chunked = False  # as which they go

    def regulate(self) -> None:
        """Read, or do not, as what waits allows."""
        raise NotImplementedError

    def connection_lost(self, exc: Exception | None) -> None:
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
        """The client does not read its answers: what it asks for further waits, and not for long."""
        self.full_since = self.loop.time()
        if self.source is not None:
            self.source.pause()

    def resume_writing(self) -> None:
        self.full_since, self.flowed = 0.0, self.source is not None
        if self.source is not None:
            self.source.resume()
        self.proceed()

    def enqueue(self, item: ClientRequest | ImmediateResponse, keep: bool) -> None:
        self.waiting.append((item, keep))
        self.regulate()
        if self.call is None:
            self.proceed()

    def proceed(self) -> None:
        """Go on with what has been read ahead, until there is one that must wait for its answer."""
        while self.waiting and self.call is None and not self.closing and not self.full_since:
            item, self.keep = self.waiting.popleft()
            if isinstance(item, ClientRequest):
                self.call = item
                self.server.request_handler.take(item, self)
            else:
                lines = b"Retry-After: 1\r\n" if item.status == 503 else b""
                self.write(item.status, item.lines or lines, item.why.encode(), item.bodiless)
        if not self.discarding_input:
            self.regulate()

    def reply(self, status: int, lines: bytes, body: bytes) -> None:
        """The final answer to the present request."""
        call, self.call = self.call, None
        if call is not None:
            self.release(call)
        if status == 400:  # found to be bad only there: an id that another holds
            self.discarding_input, self.keep = True, False
        if call is not None and call.unfinished:
            self.keep = False
            call.drop_rest()
        self.write(status, lines, body, call is not None and call.bodiless)
        if self.waiting:  # not from here: this may be deep inside an event
            self.loop.call_soon(self.proceed)

    def begin(self, lines: bytes, length: int | None, source: Exchange) -> None:
        """The head of a final answer whose body follows in parts."""
        assert self.call is not None and self.transport is not None
        self.release(self.call)
        self.keep = self.keep and not self.call.unfinished
        self.chunked = length is None and self.call.chunks
        self.endless = length is None and not self.chunked
        self.keep = self.keep and not self.endless
        self.source, self.flowed = source, True
        lines += b"Content-Length: %d\r\n" % length if length is not None else CHUNKED * self.chunked
        self.write_head(200, lines)

    def part(self, data: bytes) -> None:
        if self.transport is not None and not self.closing:
            self.transport.write(b"%x\r\n%s\r\n" % (len(data), data) if self.chunked else data)

    def finish(self) -> None:
        """The last part has been passed on."""
        if self.call is not None:
            self.call.drop_rest()
        self.call = self.source = None
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
        """The rest cannot be had: the client is to see that its answer is not whole."""
        self.call = self.source = None
        if self.transport is not None:
            self.cut()

    def release(self, call: ClientRequest) -> None:
        """A request has its final answer: its body is held no more."""
        self.server.bodies -= call.reserved
        call.reserved = 0
