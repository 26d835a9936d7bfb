"""What the state machines of all planes share: addresses, and the one output that all of them have."""

from __future__ import annotations

from typing import Any, NamedTuple

Address = str
"""`ip:port` of a process's own port, where it takes messages of other processes."""


class Send(NamedTuple):
    """Send a protobuf message to another process. It may be lost, come late, or come twice."""

    to: Address
    message: Any
