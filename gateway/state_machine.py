"""Types shared by the state machines of all planes: addresses, fencing tokens, and the output `Send`."""

from __future__ import annotations

from typing import NamedTuple

from google.protobuf.message import Message

Address = str
"""`ip:port` of a process's own port, where it receives messages of other processes (UDP and TCP)."""


LONG_AGO = -1e9
"""A time before any reading of a process's monotonic clock, in seconds."""


class FencingToken(NamedTuple):
    """Orders what successive leaders publish and grant: by term, then by number within the term.

    A configuration has term 0, and its version as the number.
    """

    term: int
    number: int


class Send(NamedTuple):
    """Send a protobuf message to another process. It may be lost, delayed or duplicated."""

    to: Address
    message: Message
