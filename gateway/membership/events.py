"""Input events of the membership state machines. Each docstring says when the event is raised."""

from __future__ import annotations

from typing import NamedTuple

from gateway.membership.membership_pb2 import Message
from gateway.membership.types import CallToken
from gateway.state_machine import Address, FencingToken


class Received(NamedTuple):
    """Raised when a message of another process has arrived."""

    sender: Address
    message: Message


class Tick(NamedTuple):
    """Raised about every 50 ms: time has passed."""


class SetCore(NamedTuple):
    """Raised when the core's members change: the addresses of their controllers."""

    addresses: tuple[Address, ...]


class SetSeeds(NamedTuple):
    """Raised when the settings name other seeds: the addresses of their controllers."""

    addresses: tuple[Address, ...]


class SetQuorumContact(NamedTuple):
    """Raised when it changes until when this controller is in contact with a majority of the core."""

    until: float


class Heartbeat(NamedTuple):
    """Raised when a backend's heartbeat has arrived. It is answered by `Acknowledged` or `Rejected`."""

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
    """Raised when a backend says that it has ended. It is answered by `Acknowledged` or `Rejected`."""

    token: CallToken
    id: str


class Publish(NamedTuple):
    """Raised when a value is to be published to all processes, unless a newer one is known.

    `kind` is a `ValueKind`, or one that only a later release knows.
    """

    kind: int
    fencing_token: FencingToken
    data: bytes
    digest: bytes = b""


class ConfigApplied(NamedTuple):
    """Raised when this process runs another configuration, or has made another drift finding.

    `findings` is the number of findings so far, `finding` the latest one.
    """

    version: int
    digest: bytes
    findings: int = 0
    finding: str = ""


class FetchConfig(NamedTuple):
    """Raised when a configuration is to be requested now, from `source` or (if that is "") from the core.

    `again`: even if it is there already.
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
