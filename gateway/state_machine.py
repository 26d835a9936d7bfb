"""Types shared by the state machines of all planes: process addresses, and the output `Send`."""

from __future__ import annotations

from typing import Any, NamedTuple

Address = str
"""`ip:port` of a process's own port, where it receives messages of other processes (UDP and TCP)."""


class Send(NamedTuple):
    """Send a protobuf message to another process. It may be lost, delayed or duplicated."""

    to: Address
    message: Any
