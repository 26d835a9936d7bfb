"""Input events and outputs of the membership state machines, besides messages to other processes."""

from __future__ import annotations

from typing import Any, NamedTuple

from gateway.state_machine import Address

# kinds of values of which only the newest counts
CORE = 1
CONFIG = 2
SHARD_MAP = 3
INGRESSES = 4
# roles in a peer view
PROXY = 1
CONTROLLER = 2

FencingToken = tuple[int, int]
"""Orders the values of one kind: (term, number); a configuration has (0, version)."""


class Backend(NamedTuple):
    """A backend under lease. Times are in seconds of this process's steady clock."""

    id: str
    service: str
    address: str
    zone: str
    generation: str
    capacity: int
    draining: bool = False
    cold_until: float = 0.0  # end of its slow start; 0.0 or past: warm
    seq: int = 0  # the `call-seq` of its newest heartbeat
    since: float = 0.0  # when this instance was first heard, by any process


# Inputs.


class Received(NamedTuple):
    """A message of another process: `note` is a `membership_pb2.Message`."""

    sender: Address
    note: Any


class Tick(NamedTuple):
    """Time has passed; expected about every 50 ms."""


class SetCore(NamedTuple):
    """The core's members, by the addresses of their controllers."""

    addresses: tuple[Address, ...]


class SetSeeds(NamedTuple):
    """New seeds in place of the earlier ones, by the addresses of their controllers."""

    addresses: tuple[Address, ...]


class SetQuorate(NamedTuple):
    """Until when this controller is in contact with a majority of the core, unless this input is renewed."""

    until: float


class Heartbeat(NamedTuple):
    """A backend's heartbeat, received by this process. `token` comes back in `Acknowledged` or `Rejected`."""

    token: Any
    id: str
    service: str
    address: str
    zone: str
    generation: str
    capacity: int
    draining: bool
    cold_left: float  # seconds left of its slow start
    seq: int  # its `call-seq`


class Deregistration(NamedTuple):
    """A backend says that it has ended. `token` comes back in `Acknowledged` or `Rejected`."""

    token: Any
    id: str


class Publish(NamedTuple):
    """Publish a value to all processes, unless a newer one of its kind is known."""

    kind: int
    fencing_token: FencingToken
    data: bytes
    digest: bytes = b""


class ConfigApplied(NamedTuple):
    """The configuration that this process runs, the number of findings so far, and the latest finding."""

    version: int
    digest: bytes
    findings: int = 0
    finding: str = ""


class FetchConfig(NamedTuple):
    """Request a configuration now from its holder, or (if that is "") from the core; `again`: even if it is
    held already."""

    version: int
    holder: Address
    again: bool = False


# Outputs.


class Acknowledged(NamedTuple):
    """Answer a backend's call with 200, and name the controller for its later heartbeats ("": none)."""

    token: Any
    target: Address = ""


class Rejected(NamedTuple):
    """Answer a backend's call with 503: it is to try another controller."""

    token: Any


class BackendAdded(NamedTuple):
    """A backend that was not known."""

    backend: Backend


class BackendChanged(NamedTuple):
    """A known backend has changed significantly, for example has begun to drain."""

    backend: Backend


class BackendRemoved(NamedTuple):
    """A backend is gone: no more requests may be sent to it."""

    id: str


class Update(NamedTuple):
    """The newest value of a kind. It may be repeated, and versions may be skipped."""

    kind: int
    fencing_token: FencingToken
    data: bytes
    digest: bytes


class ConfigAdvertised(NamedTuple):
    """The process `holder` holds this configuration ("": known to exist, holder unknown). `digest` has 8
    bytes."""

    version: int
    digest: bytes
    holder: Address


class RunningConfig(NamedTuple):
    """A follower reports the configuration that it runs (8 bytes of the digest), the number of its findings
    so far, and the latest one."""

    node: Address
    version: int
    digest: bytes
    findings: int
    finding: str


class CoreMembers(NamedTuple):
    """Newer members of the core, learned by gossip from peers."""

    members_version: FencingToken
    members: tuple[Address, ...]
