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
    """Raised about every 25 ms to advance timers."""


class WriteCompleted(NamedTuple):
    """Raised when the write with this token has become durable."""

    token: int


class WriteFailed(NamedTuple):
    """Raised when the write with this token has failed; `RaftNode` retries it."""

    token: int
    reason: str


class Propose(NamedTuple):
    """Raised to replace the value of version `expected_version` by a new one.

    Only a leader accepts a proposal. The result is `outputs.Proposed` with the same token.
    """

    token: int
    value: bytes
    expected_version: int


class Leave(NamedTuple):
    """Raised when this process is about to shut down.

    The node transfers leadership and has its disk removed from the members.
    """


class KnownAddresses(NamedTuple):
    """Raised when core addresses become known from outside the consensus group.

    A disk that is not a member sends its join requests to these addresses.
    """

    addresses: tuple[Address, ...]


Event = Received | Tick | WriteCompleted | WriteFailed | Propose | Leave | KnownAddresses
