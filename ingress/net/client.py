"""The reading side of a client connection: HTTP/1.1 requests, which are answered in order, and /healthz."""

from __future__ import annotations

import re
from http import HTTPStatus

import httptools

from ingress.net.client_connection_base import FLOW_STALL_S
from ingress.net.connection_interfaces import ConnectionServer, ImmediateResponse
from ingress.net.errors import MalformedRequestError
from ingress.net.http_messages import BLANKS, HOP_BY_HOP, MAX_BUFFERED_BODY, ClientRequest
from ingress.net.response_queue import ResponseQueue
from ingress.net.upload import Upload

MAX_PIPELINED = 16  # largest number of requests read ahead on one connection
MIN_BODY_RATE = 32 * 1024  # bytes per second at which a request body has to arrive at least
BODY_IDLE_TIMEOUT_S = 1.5  # longest wait for the next part of a body, however much has arrived
LINGER_BYTES = 256 * 1024  # bytes that are read and discarded while a client reads the last response
ABSOLUTE_FORM_ORIGIN = re.compile(rb"(?i:https?)://[^/?#]*")  # scheme and authority of a target
DROPPED_REQUEST_HEADERS = HOP_BY_HOP | {b"expect", b"content-length"}  # not passed on to backends

HEAD_TOO_LONG = "the head is too long"


class ClientConnection(ResponseQueue):
    """A client connection. It reads the requests; the base classes write the responses in order."""

    def __init__(self, server: ConnectionServer) -> None:
        super().__init__(server)
        self.parser = httptools.HttpRequestParser(self)
        self.upload_call: ClientRequest | None = None  # the request whose body is being streamed
        self.reserved = 0  # bytes reserved in the shared buffer for the body being received
        self.reading_suspended_at = 0.0  # when reading of the body was suspended; 0 while it is read
        self.paused = False
        self.crowded = False
        self.last_read_order = next(server.order)
        self.used = False  # a request has been received
        self.due = 0.0  # loop time by which more of the current request has to arrive
        self.began = 0.0  # when the request being received began; 0 between requests
        self.reset()

    def reset(self) -> None:
        """Clear the parser's results for the next request."""
        self.url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = bytearray()
        self.size = 0
        self.in_head = True
        self.fresh = True
        self.length: int | None = None  # Content-Length of the body
        self.got = 0  # bytes of the body received

    # Transport callbacks.

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is closed: release its share of the buffer."""
        self.server.body_bytes -= self.reserved
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse the bytes received; malformed HTTP is answered with an error."""
        if self.discarding_input:  # the rest of a request that was rejected before it was read
            self.size += len(data)
            if self.size > LINGER_BYTES and self.transport is not None and not self.paused:
                self.paused = True
                self.transport.pause_reading()
            return
        self.last_read_order = next(self.server.order)
        if not self.began:
            self.begin_request()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, MalformedRequestError):
                self.fault(cause.status, str(cause))
            else:
                self.fault(400, "malformed HTTP")
            return
        if self.in_head and self.began:  # the parser itself has no limit for the head
            self.size += 0 if self.fresh else len(data)
            self.fresh = False
            if self.size > self.server.limits.head:
                self.fault(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, HEAD_TOO_LONG)

    def begin_request(self) -> None:
        """Start the time limit for receiving a request."""
        self.began = self.loop.time()
        self.due = self.began + self.server.limits.slow

    def fault(self, status: int, why: str) -> None:
        """Answer a request that can't be read further with an error, after all earlier ones, and close."""
        self.discarding_input = True
        self.size = 0
        self.body = bytearray()
        self.server.body_bytes = self.server.body_bytes - self.reserved
        self.reserved = 0
        call = self.upload_call
        self.upload_call = None
        if call is None:
            self.server.request_handler.statistics.counts[f"turned away {status}"] += 1
            self.enqueue(ImmediateResponse(status, why, bodiless=self.is_head()), keep=False)
        elif call is self.call:  # the request is already being handled
            self.server.request_handler.abort_request(call, status)
        elif any(call is item for item, _ in self.waiting):
            self.waiting.pop()
            self.enqueue(ImmediateResponse(status, why), keep=False)
        else:  # the request has already been answered
            self.close()

    def is_head(self) -> bool:
        """Whether the request being received is known to be a HEAD, whose response has no body."""
        return bool(self.url) and self.parser.get_method() == b"HEAD"

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Start a new request."""
        self.reset()
        self.begin_request()

    def on_url(self, url: bytes) -> None:
        """Add a part of the request target. Raises MalformedRequestError if the target is too long."""
        self.url += url
        if len(self.url) > self.server.limits.head:
            raise MalformedRequestError(HEAD_TOO_LONG, HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field."""
        if self.in_head:  # not a trailer field after a chunked body
            self.headers.append((name, value.strip(BLANKS)))  # the parser leaves trailing blanks

    def on_headers_complete(self) -> None:
        """Reject an invalid head (with MalformedRequestError) before any of the body is received.

        The parser itself rejects both framings at once, two lengths, and lengths that aren't plain numbers.
        """
        self.in_head = False
        for name, value in self.headers:
            key = name.lower()
            if key == b"content-length":
                self.length = int(value)
                if self.length > self.server.limits.body:
                    raise MalformedRequestError(
                        f"a body holds at most {self.server.limits.body} bytes",
                        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                    )
            if key == b"transfer-encoding" and value.lower() != b"chunked":
                raise MalformedRequestError("transfer-encoding: expected chunked")
        if self.parser.should_upgrade():
            raise MalformedRequestError("no other protocol is spoken here")
        if len(self.url) + sum(len(n) + len(v) + 4 for n, v in self.headers) > self.server.limits.head:
            raise MalformedRequestError(HEAD_TOO_LONG, HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        if self.transport is not None and self.expects():
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if self.length is not None and not self.may_buffer(self.length):
            self.may_stream()

    def expects(self) -> bool:
        """Whether to send 100 Continue: the client expects it, and no earlier request is unanswered."""
        is_expected = any(n.lower() == b"expect" and v.lower() == b"100-continue" for n, v in self.headers)
        return is_expected and self.call is None and not self.waiting

    def may_stream(self) -> None:
        """Stream a body that is too large to be buffered. The request is handled before it is complete."""
        item = self.read()
        if isinstance(item, ImmediateResponse):
            raise MalformedRequestError(item.why, item.status)
        item.upload = Upload(self.length, self.hold)
        item.body = b""
        self.release(item)
        self.upload_call = item
        self.enqueue(item, self.parser.should_keep_alive())
        if self.body:
            item.upload.feed(bytes(self.body))
            self.body = bytearray()

    def may_buffer(self, size: int) -> bool:
        """Whether a body of `size` bytes may be buffered; all larger bodies share one limit."""
        if size <= max(MAX_BUFFERED_BODY, self.reserved):
            return True
        more = size - self.reserved
        if size > self.server.limits.hold or not self.server.room(more):
            return False
        self.server.body_bytes += more
        self.reserved = size
        return True

    def on_body(self, data: bytes) -> None:
        """Add a part of the body. Raises MalformedRequestError if the body is too large."""
        self.got += len(data)
        ahead = min(self.loop.time() + BODY_IDLE_TIMEOUT_S, self.due + len(data) / MIN_BODY_RATE)
        self.due = max(self.due, ahead)  # fast data doesn't extend the time limit beyond BODY_IDLE_TIMEOUT_S
        if self.got > self.server.limits.body:
            raise MalformedRequestError(
                f"a body holds at most {self.server.limits.body} bytes", HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            )
        if self.upload_call is None and not self.may_buffer(self.got):
            self.may_stream()
        if self.upload_call is not None and self.upload_call.upload is not None:
            self.upload_call.upload.feed(data)
        else:
            self.body += data

    def on_message_complete(self) -> None:
        """Queue the request, which has been received completely."""
        self.began = 0.0
        self.in_head = True
        self.used = True
        call = self.upload_call
        self.upload_call = None
        if call is not None and call.upload is not None:
            self.hold(False)
            self.server.request_handler.upload_received(call)
            call.upload.finish()
            if call.upload.unwanted:  # the request has already been answered
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
        """Suspend reading (`on`) while the backend is slow or not chosen yet, or resume it."""
        if on and not self.reading_suspended_at:
            self.reading_suspended_at = self.loop.time()
        elif not on and self.reading_suspended_at:
            self.due += self.loop.time() - self.reading_suspended_at  # the client couldn't send meanwhile
            self.reading_suspended_at = 0.0
        self.regulate()

    def regulate(self) -> None:
        """Pause or resume reading, by the number of requests read ahead and the state of the upload."""
        want = self.discarding_input or not (self.reading_suspended_at or len(self.waiting) > MAX_PIPELINED)
        if self.transport is None or self.closing or want is not self.paused:
            return
        self.paused = not want
        if want:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()

    def read(self) -> ClientRequest | ImmediateResponse:
        """Return the received request, or the immediate response to a request that isn't to be handled."""
        url = ABSOLUTE_FORM_ORIGIN.sub(b"", self.url, 1) if self.url[:1] != b"/" else self.url
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
            if (key := n.lower()) not in DROPPED_REQUEST_HEADERS
            and key not in request_handler.withheld_headers
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

    # Closing and time limits.

    def close(self) -> None:
        """Close, unless the rest of a body must be read first so that the client can read its response."""
        if any(item is self.upload_call for item, _ in self.waiting):  # its response is the last one
            self.upload_call = None
            self.reading_suspended_at = 0.0
            self.discarding_input = True
            self.size = 0
            self.regulate()
        if self.upload_call is None:
            super().close()

    def idle(self) -> bool:
        """Whether the connection is between requests and has no unread bytes, so that it can be closed."""
        if self.call is not None or self.waiting or self.began or self.closing or self.transport is None:
            return False
        return not self.unread()

    def sweep(self, now: float) -> None:
        """Enforce the time limits for a first byte, a request's rest, the next request and slow readers."""
        if self.closing or self.transport is None:
            return
        if self.paused and self.hung_up():  # a close isn't noticed while reading is paused
            self.transport.abort()
        elif self.unread_since:
            if not self.reads(now):
                self.cut()
        elif self.began:
            self.close_when_idle(now)
        else:
            limits = self.server.limits
            if now - self.since > (limits.idle if self.used else limits.slow) and self.idle():
                self.close()

    def close_when_idle(self, now: float) -> None:
        """Enforce the time limit of a request head, or the least rate of a request body."""
        if self.reading_suspended_at:
            if now - self.reading_suspended_at > FLOW_STALL_S and self.upload_call is not None:
                self.server.request_handler.upload_stalled(self.upload_call)
        elif now > self.due and not self.discarding_input and not self.unread():
            self.fault(408, "the request did not come whole in time")
