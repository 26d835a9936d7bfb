"""What goes into and comes out of the machines of this plane, besides messages to other processes."""

from __future__ import annotations

from typing import Any, NamedTuple

from post.machine import Address

CORE, CONFIG, DUTIES, INGRESSES = 1, 2, 3, 4  # kinds of news of which there is one only: the newest
SORTER, POSTMASTER = 1, 2  # roles in a view

Fence = tuple[int, int]
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
    """The core's members, by the addresses of their postmasters."""

    addresses: tuple[Address, ...]


class SetSeeds(NamedTuple):
    """Other seeds than at the start, by the addresses of their postmasters."""

    addresses: tuple[Address, ...]


class SetQuorate(NamedTuple):
    """Until when this postmaster is in touch with a majority of the core, unless it tells anew."""

    until: float


class Beat(NamedTuple):
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


class End(NamedTuple):
    """A backend says that it has ended. `token` comes back in `Acked` or `Refused`."""

    token: Any
    id: str


class Put(NamedTuple):
    """Pass this on to all, unless something newer of its kind is known."""

    kind: int
    fence: Fence
    data: bytes
    digest: bytes = b""


class Holds(NamedTuple):
    """The configuration that this process runs, how many findings it had, and the latest for the operator."""

    version: int
    digest: bytes
    findings: int = 0
    finding: str = ""


class Fetch(NamedTuple):
    """Ask for a configuration now: its holder, or ("") the core. `again`: though it is held."""

    version: int
    holder: Address
    again: bool = False


# Outputs.


class Acked(NamedTuple):
    """Answer a backend's call with 200."""

    token: Any


class Refused(NamedTuple):
    """Answer a backend's call with 503: it is to try another process."""

    token: Any


class Came(NamedTuple):
    """A backend that was not known."""

    backend: Backend


class Changed(NamedTuple):
    """A known backend with something new about it, such as that it drains."""

    backend: Backend


class Gone(NamedTuple):
    """A backend to which nothing more may be sent."""

    id: str


class News(NamedTuple):
    """The newest of a kind; it may come again, and skip some."""

    kind: int
    fence: Fence
    data: bytes
    digest: bytes


class Heard(NamedTuple):
    """Somebody (`holder`, or "" for hearsay) holds this configuration; 8 bytes of its digest."""

    version: int
    digest: bytes
    holder: Address


class Runs(NamedTuple):
    """A follower tells what it runs (8 bytes of the digest), its findings so far, and the latest."""

    node: Address
    version: int
    digest: bytes
    findings: int
    finding: str


class Core(NamedTuple):
    """Newer members of the core, as neighbours tell them."""

    order: Fence
    members: tuple[Address, ...]
