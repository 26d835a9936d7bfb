"""A complete HTTP call, as it is received by listeners and sent by clients."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

JSON = b"Content-Type: application/json\r\n"
"""Header line of a response with a JSON body."""


class HttpCall(NamedTuple):
    """A complete HTTP request: method, path with query, body."""

    method: str
    path: str
    body: bytes


Reply = Callable[[int, bytes, bytes], None]
"""Answers a call once with status, header lines and body. Does nothing if the caller has disconnected."""
