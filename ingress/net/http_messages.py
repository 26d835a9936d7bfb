"""HTTP types that the ingress shares: addresses, client requests and backend responses."""

from __future__ import annotations

import asyncio
import fcntl
import sys
import termios
from dataclasses import dataclass
from http import HTTPStatus
from typing import NamedTuple

import httptools

from ingress import interface as io
from ingress.net.errors import MalformedResponseError
from ingress.net.upload import Upload

MAX_BUFFERED_BODY = 64 * 1024  # bytes; a larger body is streamed
MAX_BODY = 40 * 1024 * 1024  # bytes
MAX_HEAD = 16 * 1024  # bytes
BLANKS = b" \t"  # optional whitespace around a header's value
FRAMING = (b"content-length", b"transfer-encoding")
UNIQUE_HEADERS = (*FRAMING, b"attempt-id", b"backend-seal")  # response headers that may occur once
HOP_BY_HOP = frozenset(  # headers that apply to one connection only (RFC 9110, 7.6.1)
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade")
)
BODILESS_STATUSES = (204, 304)  # responses with these statuses have no body, whatever their headers say

MAX_PORT = 65535

Address = tuple[str, int]


def read_address(text: str) -> Address:
    """Parse `host:port`.

    Raises:
        ValueError: The text has another form.
    """
    host, sep, port = text.rpartition(":")
    if not sep or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"expected host:port, got {text!r}")
    return host.strip("[]"), int(port)


def unsent(transport: asyncio.Transport) -> int:
    """Return the number of unacknowledged bytes, buffered here and in the kernel; 0 if it is closed."""
    queued = bytearray(4)
    try:
        fcntl.ioctl(transport.get_extra_info("socket").fileno(), termios.TIOCOUTQ, queued)
    except (OSError, ValueError):
        return 0
    return transport.get_write_buffer_size() + int.from_bytes(queued, sys.byteorder)


@dataclass(slots=True)
class ClientRequest:
    """A valid client request, which is complete unless its body is streamed."""

    request: io.Request
    start: bytes  # request line, and the headers passed on unchanged
    body: bytes | bytearray
    received_at: float  # loop time of the last byte
    chunks: bool = True  # whether the client supports chunked encoding
    reserved: int = 0  # bytes reserved in the buffer that all bodies share
    upload: Upload | None = None  # the streamed body, if any; `body` is then empty
    bodiless: bool = False  # whether the response has no body (HEAD)

    @property
    def unfinished(self) -> bool:
        """Whether part of the body hasn't been received yet."""
        return self.upload is not None and not self.upload.complete

    def drop_rest(self) -> None:
        """Discard the rest of the body. It is still read, so that the client reads the response."""
        if self.upload is not None and not self.upload.complete:
            self.upload.drop()

    def message(self, lines: bytes) -> bytes:
        """Return the request as sent to a backend, with further header lines."""
        length = len(self.body) if self.upload is None else self.upload.length
        framing = b"Transfer-Encoding: chunked" if length is None else b"Content-Length: %d" % length
        return b"%s%s%s\r\n\r\n%s" % (self.start, lines, framing, self.body)


class Response(NamedTuple):
    """A complete response, or the head of a streamed one."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    keep: bool  # whether the connection may carry another request
    length: int | None = None  # Content-Length of a streamed response, or of one without a body


class ResponseEnd(NamedTuple):
    """How a response ends, where its head doesn't say so."""

    bodiless: bool = False  # whether it ends with its head, as the response to a HEAD does
    # Without a length it ends with the connection, even if it has no Connection: close.
    read_until_close: bool = False


class ResponseReader:
    """Parses complete responses and, with `streams_body`, large ones as streams (`head`, `take`, `done`).

    A response that is ended by the end of the connection is accepted only if its head or `ends` says so, and
    only with `streams_body`. The data may be malformed at any point, also right after a valid response.
    Complete responses are returned first; `broken` is then the reason why nothing more can be read.
    """

    def __init__(self, streams_body: bool = False) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.streams_body = streams_body
        self.ends = ResponseEnd()
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()
        self.answers: list[Response] = []
        self.broken = ""
        self.partial = False  # whether a response has begun and isn't complete
        self.in_head = False
        self.until_end = False
        self.done = False
        self.over = False  # whether the response has ended with its head
        self.head: Response | None = None  # head of the streamed response
        self.size = 0  # bytes of the body received so far
        self.fed = 0  # bytes received since the last bytes of a body

    def expect(self, ends: ResponseEnd) -> None:
        """Expect the response to a request that is sent now. The response ends as given."""
        self.ends = ends
        self.head = None
        self.done = False

    def feed(self, data: bytes) -> list[Response]:
        """Parse bytes and return the responses that they complete."""
        if not self.broken:
            self.fed += len(data)
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserError as error:
                self.broken = str(error.__context__ or error)
            except httptools.HttpParserUpgrade:
                self.broken = "no other protocol is spoken here"
            if self.over and not self.partial:  # the parser still expects a body
                self.parser = httptools.HttpResponseParser(self)
                self.over = False
            if self.fed > MAX_BUFFERED_BODY + MAX_HEAD:  # the parser would buffer an endless head
                self.broken = self.broken or "the head is too long"
        answers, self.answers = self.answers, []
        return answers

    def end(self) -> list[Response]:
        """Handle the end of the input, which completes a response whose head allows that."""
        if self.partial and self.until_end and not self.broken:
            self.on_message_complete()
        answers, self.answers = self.answers, []
        return answers

    def take(self) -> bytes:
        """Return the part of the streamed body received since the last call."""
        part = bytes(self.body)
        self.body.clear()
        return part

    def on_message_begin(self) -> None:
        """Parser callback at the start of a response. Raises MalformedResponseError after a streamed one."""
        if self.done:  # the last part hasn't been taken yet
            raise MalformedResponseError("more behind a large answer")
        self.headers = {}
        self.body = bytearray()
        self.partial = True
        self.in_head = True
        self.until_end = False
        self.done = False
        self.over = False
        self.head = None
        self.size = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback for a header field. Raises MalformedResponseError for a forbidden repetition."""
        key = name.lower()
        if not self.in_head:  # a trailer
            return
        if key in UNIQUE_HEADERS and key in self.headers:
            raise MalformedResponseError(f"{key.decode()}: more than one")
        self.headers[key] = value.strip(BLANKS)

    def on_headers_complete(self) -> None:
        """Parser callback at the end of the head.

        Raises:
            MalformedResponseError: The head leaves the response's length open, so that a part of it could be
                taken for another response.
        """
        self.fed = 0
        self.in_head = False
        status = self.parser.get_status_code()
        if status < HTTPStatus.OK:
            return
        length, coding = (self.headers.get(key) for key in FRAMING)
        if self.ends.bodiless:
            self.over = True
            self.partial = False
            self.deliver(b"", int(length) if length is not None else None)
            return
        if status in BODILESS_STATUSES:
            return
        closes = self.ends.read_until_close or self.headers.get(b"connection", b"").lower() == b"close"
        self.until_end = self.streams_body and closes and length is None and coding is None
        if (length is None) == (coding is None) and not self.until_end:
            raise MalformedResponseError("expected one of content-length and transfer-encoding")
        if coding is not None and coding.lower() != b"chunked":
            raise MalformedResponseError("transfer-encoding: expected chunked")
        if length is not None and int(length) > MAX_BUFFERED_BODY:
            self.flow(int(length))

    def flow(self, length: int | None) -> None:
        """Begin to stream a response that is too large to be buffered.

        Raises:
            MalformedResponseError: That isn't allowed, or the response exceeds `MAX_BODY`.
        """
        status = self.parser.get_status_code()
        if not self.streams_body or status != HTTPStatus.OK or (length or 0) > MAX_BODY:
            raise MalformedResponseError("the body is too large")
        keep = self.parser.should_keep_alive() and not self.until_end
        self.head = Response(status, self.headers, b"", keep, length)

    def on_body(self, data: bytes) -> None:
        """Parser callback for a part of the body. Raises MalformedResponseError if it is too large."""
        self.fed = 0
        if self.over:  # bytes after a response without a body aren't a response
            self.partial = True
            return
        self.size += len(data)
        if self.head is None and self.size > MAX_BUFFERED_BODY:
            self.flow(None)
        if self.size > MAX_BODY:
            raise MalformedResponseError("the body is too large")
        self.body += data

    def on_message_complete(self) -> None:
        """Parser callback at the end of a response."""
        if self.over:
            return
        self.partial = False
        self.fed = 0
        if self.parser.get_status_code() < HTTPStatus.OK:  # an interim response
            if self.answers:
                self.broken = "an interim answer behind the last one"
            return
        if self.head is not None:
            self.done = True
            return
        self.deliver(bytes(self.body))

    def deliver(self, body: bytes, length: int | None = None) -> None:
        """Add a complete response to those to be returned."""
        keep = self.parser.should_keep_alive() and not self.until_end
        self.answers.append(Response(self.parser.get_status_code(), self.headers, body, keep, length))
