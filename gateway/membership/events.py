"""Input events of the membership state machines. Each docstring says when the event is raised."""

from __future__ import annotations

from typing import NamedTuple

from gateway.membership.membership_pb2 import Message
from gateway.membership.types import CallToken
from gateway.state_machine import Address, FencingToken


class Received(NamedTuple):
    """Raised when a message from another process is received."""

    sender: Address
    message: Message


class Tick(NamedTuple):
    """Raised about every 50 ms to advance timers."""


class SetCore(NamedTuple):
    """Raised when the members of the core change; contains the addresses of their controllers."""

    addresses: tuple[Address, ...]


class SetSeeds(NamedTuple):
    """Raised when the settings name other seeds; contains the addresses of their controllers."""

    addresses: tuple[Address, ...]


class SetQuorumContact(NamedTuple):
    """Raised when the end of this controller's quorum contact changes."""

    until: float


class Heartbeat(NamedTuple):
    """Raised when a backend's heartbeat is received. The answer is `Acknowledged` or `Rejected`."""

    token: CallToken
    id: str
    service: str
    address: Address
    zone: str
    generation: str
    capacity: int
    draining: bool
    slow_start_left_s: float
    seq: int  # its `call-seq`


class Deregistration(NamedTuple):
    """Raised when a backend reports that it has ended. The answer is `Acknowledged` or `Rejected`."""

    token: CallToken
    id: str


class Publish(NamedTuple):
    """Raised to publish a value to all processes, unless a newer one is known.

    `kind` is a `ValueKind`, or a kind that only a later release knows.
    """

    kind: int
    fencing_token: FencingToken
    data: bytes
    digest: bytes = b""


class ConfigApplied(NamedTuple):
    """Raised when this process applies another configuration, or has a new drift finding.

    `findings` is the total number of findings, `finding` the latest one.
    """

    version: int
    digest: bytes
    findings: int = 0
    finding: str = ""


class FetchConfig(NamedTuple):
    """Raised to request a configuration immediately, from `source` or, if that is "", from the core.

    With `again`, it is requested even if it has been received already.
    """

    version: int
    source: Address
    again: bool = False


ControllerEvent = (
    Received
    | Tick
    | SetCore
    | SetSeeds
    | SetQuorumContact
    | Heartbeat
    | Deregistration
    | Publish
    | ConfigApplied
)
ProxyEvent = Received | Tick | SetCore | SetSeeds | ConfigApplied | FetchConfig
