"""What several sides of the ingress share of HTTP: addresses, a client's call, whole answers."""

from __future__ import annotations

import asyncio
import fcntl
import sys
import termios
from dataclasses import dataclass
from typing import NamedTuple

import httptools

from roadspur import interface as io
from roadspur.net.upload import Upload

MAX_WHOLE = 64 * 1024  # of a body that is held whole; a larger one flows through
MAX_BODY = 40 * 1024 * 1024
MAX_HEAD = 16 * 1024
BLANKS = b" \t"  # that may stand round a header's value
FRAMING = (b"content-length", b"transfer-encoding")
SINGLE = (*FRAMING, b"attempt-id", b"backend-seal")  # headers of answers of which two mean nothing
EMPTY = (204, 304)  # statuses of answers that have no body, whatever their heads say

Address = tuple[str, int]


def read_address(text: str) -> Address:
    """`host:port` with a numeric host; ValueError for anything else."""
    host, sep, port = text.rpartition(":")
    if not sep or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"expected host:port, got {text!r}")
    return host.strip("[]"), int(port)


def unsent(transport: asyncio.Transport) -> int:
    """Bytes that the other side has not taken in, here and in the kernel; none if it is gone."""
    queued = bytearray(4)
    try:
        fcntl.ioctl(transport.get_extra_info("socket").fileno(), termios.TIOCOUTQ, queued)
    except (OSError, ValueError):
        return 0
    return transport.get_write_buffer_size() + int.from_bytes(queued, sys.byteorder)


@dataclass(slots=True)
class ClientRequest:
    """A client's request once it has come whole and has been found sound."""

    request: io.Request
    start: bytes  # request line and the headers that go on unchanged
    body: bytes | bytearray
    came: float  # loop time of its last byte
    chunks: bool = True  # whether the client reads chunks
    reserved: int = 0  # bytes of the body that count against what all bodies may take
    upload: Upload | None = None  # a large body, of which `body` then holds nothing
    bodiless: bool = False  # its answer has no body: it is a HEAD

    @property
    def unfinished(self) -> bool:
        """Whether a part of its body is yet to come."""
        return self.upload is not None and not self.upload.whole

    def drop_rest(self) -> None:
        """It has been answered: the rest of its body is read, so that the answer is, and thrown away."""
        if self.upload is not None and not self.upload.whole:
            self.upload.drop()

    def message(self, lines: bytes) -> bytes:
        """The request as a backend gets it, with further header lines."""
        length = len(self.body) if self.upload is None else self.upload.length
        framing = b"Transfer-Encoding: chunked" if length is None else b"Content-Length: %d" % length
        return b"%s%s%s\r\n\r\n%s" % (self.start, lines, framing, self.body)


class Response(NamedTuple):
    """A whole answer, or the head of one that flows."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    keep: bool  # the connection may carry another request
    length: int | None = None  # of the body, where the head of one that flows, or that has none, tells it


class ResponseEnd(NamedTuple):
    """What the head of an answer does not tell of its end."""

    bodiless: bool = False  # it ends with its head, as the answer to HEAD does
    read_until_close: bool = (
        False  # one without a length ends with its connection, also where its head does not say so
    )


class BadResponse(Exception):
    """What came is no HTTP answer, or a larger one than is taken."""


class ResponseReader:
    """Gathers whole answers, and lets a large one flow where that is wanted: `head`, parts, `done`.

    One that the end of the connection ends counts only if its head or `ends` says so, and answers may flow.
    What a peer sends may be spoilt at any point, also right behind an answer that is good: whole answers are
    handed over first, and `broken` then says why nothing more can be read here.
    """

    def __init__(self, flows: bool = False) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.flows, self.ends = flows, ResponseEnd()
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()
        self.answers: list[Response] = []
        self.broken = ""
        self.partial = False  # an answer has begun and has not come whole
        self.in_head = self.until_end = self.done = self.over = False  # over: it has ended with its head
        self.head: Response | None = None  # of the answer that flows
        self.size = 0  # of its body so far
        self.fed = 0  # since a body was last heard of

    def expect(self, ends: ResponseEnd) -> None:
        """A request goes out: what comes next is the answer to it."""
        self.ends, self.head, self.done = ends, None, False

    def feed(self, data: bytes) -> list[Response]:
        """Take bytes in; returns the answers that are whole with them."""
        if not self.broken:
            self.fed += len(data)
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserError as error:
                self.broken = str(error.__context__ or error)
            except httptools.HttpParserUpgrade:
                self.broken = "no other protocol is spoken here"
            if self.over and not self.partial:  # the parser waits for a body yet
                self.parser, self.over = httptools.HttpResponseParser(self), False
            if self.fed > MAX_WHOLE + MAX_HEAD:  # a head without end is held in the parser's memory
                self.broken = self.broken or "the head is too long"
        answers, self.answers = self.answers, []
        return answers

    def end(self) -> list[Response]:
        """The other side has ended its sending: so it has the answer, if its head said that it would."""
        if self.partial and self.until_end and not self.broken:
            self.on_message_complete()
        answers, self.answers = self.answers, []
        return answers

    def take(self) -> bytes:
        """What has come of the flowing answer's body since the last time."""
        part = bytes(self.body)
        self.body.clear()
        return part

    def on_message_begin(self) -> None:
        if self.done:  # its last part has not been taken yet
            raise BadResponse("more behind a large answer")
        self.headers, self.body, self.partial, self.in_head = {}, bytearray(), True, True
        self.until_end = self.done = self.over = False
        self.head, self.size = None, 0

    def on_header(self, name: bytes, value: bytes) -> None:
        key = name.lower()
        if not self.in_head:  # a trailer
            return
        if key in SINGLE and key in self.headers:
            raise BadResponse(f"{key.decode()}: more than one")
        self.headers[key] = value.strip(BLANKS)

    def on_headers_complete(self) -> None:
        """How long the answer is must be clear from its head, else its end could be taken for another's."""
        self.fed, self.in_head = 0, False
        status = self.parser.get_status_code()
        if status < 200:
            return
        length, coding = (self.headers.get(key) for key in FRAMING)
        if self.ends.bodiless:
            self.over, self.partial = True, False
            self.hand_over(b"", int(length) if length is not None else None)
            return
        if status in EMPTY:
            return
        closes = self.ends.read_until_close or self.headers.get(b"connection", b"").lower() == b"close"
        self.until_end = self.flows and closes and length is None and coding is None
        if (length is None) == (coding is None) and not self.until_end:
            raise BadResponse("expected one of content-length and transfer-encoding")
        if coding is not None and coding.lower() != b"chunked":
            raise BadResponse("transfer-encoding: expected chunked")
        if length is not None and int(length) > MAX_WHOLE:
            self.flow(int(length))

    def flow(self, length: int | None) -> None:
        """The answer is too large to be held."""
        status = self.parser.get_status_code()
        if not self.flows or status != 200 or (length or 0) > MAX_BODY:
            raise BadResponse("the body is too large")
        keep = self.parser.should_keep_alive() and not self.until_end
        self.head = Response(status, self.headers, b"", keep, length)

    def on_body(self, data: bytes) -> None:
        self.fed = 0
        if self.over:  # what comes behind it is no answer
            self.partial = True
            return
        self.size += len(data)
        if self.head is None and self.size > MAX_WHOLE:
            self.flow(None)
        if self.size > MAX_BODY:
            raise BadResponse("the body is too large")
        self.body += data

    def on_message_complete(self) -> None:
        if self.over:
            return
        self.partial = False
        self.fed = 0
        if self.parser.get_status_code() < 200:  # an interim answer
            if self.answers:
                self.broken = "an interim answer behind the last one"
            return
        if self.head is not None:
            self.done = True
            return
        self.hand_over(bytes(self.body))

    def hand_over(self, body: bytes, length: int | None = None) -> None:
        """The answer has come whole."""
        keep = self.parser.should_keep_alive() and not self.until_end
        self.answers.append(Response(self.parser.get_status_code(), self.headers, body, keep, length))
