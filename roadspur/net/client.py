"""The reading side of a client's connection: HTTP/1.1 requests in, each for one answer, and /healthz."""

from __future__ import annotations

import re

import httptools

from roadspur.net.client_connection_base import FLOW_STALL_S
from roadspur.net.connection_interfaces import ConnectionServer, ImmediateResponse
from roadspur.net.http_messages import BLANKS, MAX_WHOLE, ClientRequest
from roadspur.net.request_parser import BadRequest
from roadspur.net.response_queue import ResponseQueue
from roadspur.net.upload import Upload

PIPELINE = 16  # requests read ahead on one connection
SLOW_RATE = 32 * 1024  # bytes a second of a body that come at least
LAG_S = 1.5  # for more of a body, however much of it has come
LINGER_BYTES = 256 * 1024  # that are read, and thrown away, while a client reads the last answer
ABSOLUTE = re.compile(rb"(?i:https?)://[^/?#]*")  # what a client may write before the path
HOP_BY_HOP = {
    b"connection",
    b"keep-alive",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"expect",
    b"content-length",
}


class ClientConnection(ResponseQueue):
    """One client's connection; requests on it are answered in turn."""

    def __init__(self, server: ConnectionServer) -> None:
        super().__init__(server)
        self.parser = httptools.HttpRequestParser(self)
        self.upload_call: ClientRequest | None = None  # the one whose body is still coming
        self.reserved = 0  # bytes for the body that is coming in, of those that all share
        self.held_since = 0.0  # of not reading its body; 0 if it is read
        self.paused = self.crowded = False
        self.heard = next(server.order)
        self.used = False  # a request has come
        self.due = 0.0  # by when more of it is to come
        self.began = 0.0  # when the request that is now coming in began; 0 between requests
        self.reset()

    def reset(self) -> None:
        """Ready for the next request's bytes."""
        self.url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = bytearray()
        self.size, self.in_head, self.fresh = 0, True, True
        self.length: int | None = None  # of the body, as the head tells it
        self.got = 0  # of it

    # From the socket.

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.bodies -= self.reserved
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        if self.discarding_input:  # the rest of a request that was turned away unread
            self.size += len(data)
            if self.size > LINGER_BYTES and self.transport is not None and not self.paused:
                self.paused = True
                self.transport.pause_reading()
            return
        self.heard = next(self.server.order)
        if not self.began:
            self.begin_request()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, BadRequest):
                self.fault(int(cause.args[0]), str(cause.args[1]))
            else:
                self.fault(400, "malformed HTTP")
            return
        if self.in_head and self.began:  # the parser itself would take in a head that never ends
            self.size += 0 if self.fresh else len(data)
            self.fresh = False
            if self.size > self.server.limits.head:
                self.fault(431, "the head is too long")

    def begin_request(self) -> None:
        self.began = self.loop.time()
        self.due = self.began + self.server.limits.slow

    def fault(self, status: int, why: str) -> None:
        """Answer what cannot be read on, after what came before it, and close."""
        self.discarding_input, self.size, self.body = True, 0, bytearray()
        self.server.bodies, self.reserved = self.server.bodies - self.reserved, 0
        call, self.upload_call = self.upload_call, None
        if call is None:
            self.server.request_handler.statistics.counts[f"turned away {status}"] += 1
            self.enqueue(ImmediateResponse(status, why, bodiless=self.is_head()), keep=False)
        elif call is self.call:  # its first part has been taken
            self.server.request_handler.abort_request(call, status)
        elif any(call is item for item, _ in self.waiting):
            self.waiting.pop()
            self.enqueue(ImmediateResponse(status, why), keep=False)
        else:  # it has been answered
            self.close()

    def is_head(self) -> bool:
        """Whether what is coming in is a HEAD, as far as it can be told: its answer has no body."""
        return bool(self.url) and self.parser.get_method() == b"HEAD"

    # From the parser.

    def on_message_begin(self) -> None:
        self.reset()
        self.begin_request()

    def on_url(self, url: bytes) -> None:
        self.url += url
        if len(self.url) > self.server.limits.head:
            raise BadRequest(431, "the head is too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.in_head:  # and not in a trailer, behind a chunked body
            self.headers.append((name, value.strip(BLANKS)))  # the parser leaves those behind a value

    def on_headers_complete(self) -> None:
        """What the head tells already is turned down before any body comes.

        The parser refuses both framings at once, two lengths, and lengths that are no plain number.
        """
        self.in_head = False
        for name, value in self.headers:
            key = name.lower()
            if key == b"content-length":
                self.length = int(value)
                if self.length > self.server.limits.body:
                    raise BadRequest(413, f"a body holds at most {self.server.limits.body} bytes")
            if key == b"transfer-encoding" and value.lower() != b"chunked":
                raise BadRequest(400, "transfer-encoding: expected chunked")
        if self.parser.should_upgrade():
            raise BadRequest(400, "no other protocol is spoken here")
        if len(self.url) + sum(len(n) + len(v) + 4 for n, v in self.headers) > self.server.limits.head:
            raise BadRequest(431, "the head is too long")
        if self.transport is not None and self.expects():
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if self.length is not None and not self.may_buffer(self.length):
            self.may_stream()

    def expects(self) -> bool:
        """Whether the client waits to be told to send its body; one with answers before it waits in vain."""
        told = any(n.lower() == b"expect" and v.lower() == b"100-continue" for n, v in self.headers)
        return told and self.call is None and not self.waiting

    def may_stream(self) -> None:
        """The body is too large to be held: the request is decided on before it has come."""
        item = self.read()
        if isinstance(item, ImmediateResponse):
            raise BadRequest(item.status, item.why)
        item.upload, item.body = Upload(self.length, self.hold), b""
        self.release(item)
        self.upload_call = item
        self.enqueue(item, self.parser.should_keep_alive())
        if self.body:
            item.upload.feed(bytes(self.body))
            self.body = bytearray()

    def may_buffer(self, size: int) -> bool:
        """Whether a body of so many bytes is held whole; beyond a little, all bodies share what there is."""
        if size <= max(MAX_WHOLE, self.reserved):
            return True
        more = size - self.reserved
        if size > self.server.limits.hold or not self.server.room(more):
            return False
        self.server.bodies += more
        self.reserved = size
        return True

    def on_body(self, data: bytes) -> None:
        self.got += len(data)
        ahead = min(self.loop.time() + LAG_S, self.due + len(data) / SLOW_RATE)
        self.due = max(self.due, ahead)  # what has come fast does not excuse a long silence
        if self.got > self.server.limits.body:
            raise BadRequest(413, f"a body holds at most {self.server.limits.body} bytes")
        if self.upload_call is None and not self.may_buffer(self.got):
            self.may_stream()
        if self.upload_call is not None and self.upload_call.upload is not None:
            self.upload_call.upload.feed(data)
        else:
            self.body += data

    def on_message_complete(self) -> None:
        self.began, self.in_head, self.used = 0.0, True, True
        call, self.upload_call = self.upload_call, None
        if call is not None and call.upload is not None:
            self.hold(False)
            self.server.request_handler.whole(call)
            call.upload.finish()
            if call.upload.unwanted:  # answered before
                self.close()
            return
        item = self.read()
        if isinstance(item, ImmediateResponse):
            item = item._replace(bodiless=self.is_head())
        if isinstance(item, ImmediateResponse) and item.close:
            self.fault(item.status, item.why)
        else:
            self.enqueue(item, self.parser.should_keep_alive() and not self.crowded)

    def hold(self, on: bool) -> None:
        """Stop reading, or go on: a body's next hop is behind, or there is none yet."""
        if on and not self.held_since:
            self.held_since = self.loop.time()
        elif not on and self.held_since:
            self.due += self.loop.time() - self.held_since  # what it could not send is not its fault
            self.held_since = 0.0
        self.regulate()

    def regulate(self) -> None:
        """Read, or do not, as the requests read ahead and a body on its way allow."""
        want = self.discarding_input or not (self.held_since or len(self.waiting) > PIPELINE)
        if self.transport is None or self.closing or want is not self.paused:
            return
        self.paused = not want
        if want:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()

    def read(self) -> ClientRequest | ImmediateResponse:
        """The request that has come, or the answer to one that is none of ours."""
        url = ABSOLUTE.sub(b"", self.url, 1) if self.url[:1] != b"/" else self.url
        request_handler = self.server.request_handler
        if url.partition(b"?")[0] == request_handler.health_path:
            return ImmediateResponse(200 if self.server.healthy() else 503, "")
        method = self.parser.get_method()
        request = request_handler.read(method, url, self.headers)
        if isinstance(request, ImmediateResponse):
            return request
        if self.crowded:
            self.server.request_handler.statistics.totals[f"rejected.{request.class_name}"] += 1
            return ImmediateResponse(503, "too many connections")
        start = [b"%s %s HTTP/1.1\r\n" % (method, url)]
        start += [
            b"%s: %s\r\n" % (n, v)
            for n, v in self.headers
            if (key := n.lower()) not in HOP_BY_HOP and key not in request_handler.withheld_headers
        ]
        call = ClientRequest(
            request,
            b"".join(start),
            self.body,
            self.loop.time(),
            self.parser.get_http_version() != "1.0",
            reserved=self.reserved,
            bodiless=method == b"HEAD",
        )
        self.reserved = 0
        return call

    # Time.

    def close(self) -> None:
        """Close, unless the rest of a body is to be read first, so that its answer is."""
        if any(item is self.upload_call for item, _ in self.waiting):  # it is behind the last answer
            self.upload_call, self.held_since, self.discarding_input, self.size = None, 0.0, True, 0
            self.regulate()
        if self.upload_call is None:
            super().close()

    def idle(self) -> bool:
        """Between requests, with nothing unread: closing it can at most cross a request."""
        if self.call is not None or self.waiting or self.began or self.closing or self.transport is None:
            return False
        return not self.unread()

    def sweep(self, now: float) -> None:
        """Nothing is waited for without end: a first byte, the rest of a request, the next one, a reader."""
        if self.closing or self.transport is None:
            return
        if self.full_since:
            if not self.reads(now):
                self.cut()
        elif self.began:
            self.close_when_idle(now)
        else:
            limits = self.server.limits
            if now - self.since > (limits.idle if self.used else limits.slow) and self.idle():
                self.close()

    def close_when_idle(self, now: float) -> None:
        """A request comes whole in time: its head, and then its body no slower than any client sends."""
        if self.held_since:
            if now - self.held_since > FLOW_STALL_S and self.upload_call is not None:
                self.server.request_handler.upload_stalled(self.upload_call)
        elif now > self.due and not self.discarding_input and not self.unread():
            self.fault(408, "the request did not come whole in time")
