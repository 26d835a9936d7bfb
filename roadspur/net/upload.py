"""A request's large body, on its way from the client to the attempt that is out."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class UploadWriter(Protocol):
    """The connection that an upload goes out on."""

    def body(self, data: bytes) -> None: ...

    def uploaded(self) -> None: ...


class Upload:
    """Holds what came before an attempt was out, and nothing after: the client waits while the backend does.

    `hold(True)` stops the client's side and `hold(False)` lets it go on. What has gone out is not kept, so
    no further attempt can be made with it.
    """

    def __init__(self, length: int | None, hold: Callable[[bool], None]) -> None:
        self.length, self.hold = length, hold
        self.kept = bytearray()
        self.writer: UploadWriter | None = None
        self.whole = self.spent = self.unwanted = False

    def feed(self, data: bytes) -> None:
        """More of the body has come."""
        if self.unwanted:
            return
        if self.writer is None:
            self.kept += data
            self.hold(True)
        else:
            self.writer.body(self.framed(data))

    def framed(self, data: bytes) -> bytes:
        return data if self.length is not None else b"%x\r\n%s\r\n" % (len(data), data)

    def finish(self) -> None:
        """The body has come whole."""
        self.whole = True
        if self.writer is not None:
            self.end(self.writer)

    def attach(self, writer: UploadWriter) -> None:
        """An attempt is out: its connection takes what there is, and what follows."""
        self.writer, self.spent = writer, True
        if self.kept:
            writer.body(self.framed(bytes(self.kept)))
            self.kept.clear()
        if self.whole:
            self.end(writer)
        else:
            self.hold(False)

    def end(self, writer: UploadWriter) -> None:
        if self.length is None:
            writer.body(b"0\r\n\r\n")
        writer.uploaded()

    def drop(self) -> None:
        """The request has its final answer: the rest is read, and thrown away."""
        self.writer, self.unwanted = None, True
        self.kept.clear()
        self.hold(False)
