"""Bodies of requests and answers by which truncation and corruption are detected."""

from __future__ import annotations

import zlib


def body_of(attempt: str, most: int) -> bytes:
    """Return the body of an attempt: its id repeated, up to a length derived from the id."""
    return (attempt.encode() * (most // 16 + 1))[: int(attempt, 16) % (most + 1)] if most else b""


def seal(attempt: str, body: bytes) -> bytes:
    """Return the seal by which an answer's body is verified."""
    return b"%08x.%s" % (zlib.crc32(body), attempt.encode())
