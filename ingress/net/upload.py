"""A large request body, streamed from the client to the attempt in flight."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class UploadWriter(Protocol):
    """The backend connection that an upload is written to."""

    def body(self, data: bytes) -> None:
        """Write a part of the body."""

    def uploaded(self) -> None:
        """Record that the last part has been written."""


class Upload:
    """Buffers only what is received before an attempt begins.

    From then on the client is read as fast as the backend accepts data.

    `hold(True)` suspends reading from the client and `hold(False)` resumes it. What has been sent isn't kept,
    so no further attempt is possible (`spent`). `length` is the Content-Length, or None for a chunked body.
    """

    def __init__(self, length: int | None, hold: Callable[[bool], None]) -> None:
        self.length = length
        self.hold = hold
        self.buffer = bytearray()
        self.writer: UploadWriter | None = None
        self.complete = False
        self.spent = False
        self.unwanted = False

    def feed(self, data: bytes) -> None:
        """Add a part of the body."""
        if self.unwanted:
            return
        if self.writer is None:
            self.buffer += data
            self.hold(True)
        else:
            self.writer.body(self.framed(data))

    def framed(self, data: bytes) -> bytes:
        """Return a part of the body as it is written: as a chunk if the body has no length."""
        return data if self.length is not None else b"%x\r\n%s\r\n" % (len(data), data)

    def finish(self) -> None:
        """End the body, which has been received completely."""
        self.complete = True
        if self.writer is not None:
            self.end(self.writer)

    def attach(self, writer: UploadWriter) -> None:
        """Begin an attempt: write the buffered part to its connection, and later the following parts."""
        self.writer = writer
        self.spent = True
        if self.buffer:
            writer.body(self.framed(bytes(self.buffer)))
            self.buffer.clear()
        if self.complete:
            self.end(writer)
        else:
            self.hold(False)

    def end(self, writer: UploadWriter) -> None:
        """Write the end of the body."""
        if self.length is None:
            writer.body(b"0\r\n\r\n")
        writer.uploaded()

    def drop(self) -> None:
        """Discard the rest of the body, as the request has its final response."""
        self.writer = None
        self.unwanted = True
        self.buffer.clear()
        self.hold(False)
