"""Input events of `RaftNode`. Each docstring says when the event is raised."""

from __future__ import annotations

from typing import NamedTuple

from gateway.consensus import consensus_pb2 as pb
from gateway.state_machine import Address


class Received(NamedTuple):
    """Raised when a message has arrived from the network."""

    sender: Address
    message: pb.Message


class Tick(NamedTuple):
    """Raised about every 25 ms: time has passed."""


class WriteCompleted(NamedTuple):
    """Raised when the write with this token is durable."""

    token: int


class WriteFailed(NamedTuple):
    """Raised when the write with this token has failed; `RaftNode` retries it."""

    token: int
    reason: str


class Propose(NamedTuple):
    """Raised when the value of version `expected_version` is to be replaced by this one.

    Only a leader accepts it. It is answered by `outputs.Proposed` with the same token.
    """

    token: int
    value: bytes
    expected_version: int


class Leave(NamedTuple):
    """Raised when this process ends soon.

    It transfers leadership and has its disk removed from the members.
    """


class KnownAddresses(NamedTuple):
    """Raised when addresses of the core are learned elsewhere.

    A disk that isn't a member sends them its join requests.
    """

    addresses: tuple[Address, ...]


Event = Received | Tick | WriteCompleted | WriteFailed | Propose | Leave | KnownAddresses
