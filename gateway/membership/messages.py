"""What goes into and comes out of the machines of this plane, besides messages to other processes."""

from __future__ import annotations

from typing import Any, NamedTuple

from gateway.state_machine import Address

CORE, CONFIG, SHARD_MAP, INGRESSES = 1, 2, 3, 4  # kinds of news of which there is one only: the newest
PROXY, CONTROLLER = 1, 2  # roles in a view

FencingToken = tuple[int, int]
"""Orders the news of one kind: (term, number); a configuration has (0, version)."""


class Backend(NamedTuple):
    """A backend under lease. Times are steady seconds of this process."""

    id: str
    service: str
    address: str
    zone: str
    generation: str
    capacity: int
    draining: bool = False
    cold_until: float = 0.0  # slow until then; 0.0 or past: warm
    seq: int = 0  # the `call-seq` of the beat that told so
    since: float = 0.0  # when this life was first heard of, anywhere


# Inputs.


class Received(NamedTuple):
    """A message of another process of this system (a `Note`)."""

    sender: Address
    note: Any


class Tick(NamedTuple):
    """Time goes on; due about every 50 ms."""


class SetCore(NamedTuple):
    """The core's members, by the addresses of their controllers."""

    addresses: tuple[Address, ...]


class SetSeeds(NamedTuple):
    """Other seeds than at the start, by the addresses of their controllers."""

    addresses: tuple[Address, ...]


class SetQuorate(NamedTuple):
    """Until when this controller is in touch with a majority of the core, unless it tells anew."""

    until: float


class Heartbeat(NamedTuple):
    """A beat of a backend, taken here. `token` comes back in `Acked` or `Refused`."""

    token: Any
    id: str
    service: str
    address: str
    zone: str
    generation: str
    capacity: int
    draining: bool
    cold_left: float  # seconds
    seq: int


class Deregistration(NamedTuple):
    """A backend says that it has ended. `token` comes back in `Acked` or `Refused`."""

    token: Any
    id: str


class Publish(NamedTuple):
    """Pass this on to all, unless something newer of its kind is known."""

    kind: int
    fencing_token: FencingToken
    data: bytes
    digest: bytes = b""


class ConfigApplied(NamedTuple):
    """The configuration that this process runs, how many findings it had, and the latest for the operator."""

    version: int
    digest: bytes
    findings: int = 0
    finding: str = ""


class FetchConfig(NamedTuple):
    """Ask for a configuration now: its holder, or ("") the core. `again`: though it is held."""

    version: int
    holder: Address
    again: bool = False


# Outputs.


class Acknowledged(NamedTuple):
    """Answer a backend's call with 200."""

    token: Any


class Rejected(NamedTuple):
    """Answer a backend's call with 503: it is to try another process."""

    token: Any


class BackendAdded(NamedTuple):
    """A backend that was not known."""

    backend: Backend


class BackendChanged(NamedTuple):
    """A known backend with something new about it, such as that it drains."""

    backend: Backend


class BackendRemoved(NamedTuple):
    """A backend to which nothing more may be sent."""

    id: str


class Update(NamedTuple):
    """The newest of a kind; it may come again, and skip some."""

    kind: int
    fencing_token: FencingToken
    data: bytes
    digest: bytes


class ConfigAdvertised(NamedTuple):
    """Somebody (`holder`, or "" for hearsay) holds this configuration; 8 bytes of its digest."""

    version: int
    digest: bytes
    holder: Address


class RunningConfig(NamedTuple):
    """A follower tells what it runs (8 bytes of the digest), its findings so far, and the latest."""

    node: Address
    version: int
    digest: bytes
    findings: int
    finding: str


class CoreMembers(NamedTuple):
    """Newer members of the core, as neighbours tell them."""

    members_version: FencingToken
    members: tuple[Address, ...]
