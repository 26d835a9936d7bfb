"""Inputs and outputs of the drift state machines. Times are monotonic seconds, digests 64 bit integers."""

from __future__ import annotations

from typing import NamedTuple

from gateway.config.schema import Difference
from gateway.state_machine import Address

# Inputs.


class VersionApplied(NamedTuple):
    """This node has applied a version: the digest of what it runs, and the one that the core acknowledged."""

    version: int
    running: int
    acknowledged: int


class VersionUnreadable(NamedTuple):
    """A version was received that can't be read here, and why."""

    version: int
    why: str


class VersionSeen(NamedTuple):
    """A node has this version; with an empty `source`, one that doesn't have it has heard of it."""

    version: int
    digest: int
    source: Address


class NewestConfirmed(NamedTuple):
    """A majority of the core confirmed that this is the newest version, at the time `at` or later."""

    version: int
    at: float


class DifferencesFound(NamedTuple):
    """What runs differs from the document. `how` names the check that found it."""

    how: str
    differences: tuple[Difference, ...]


class Tick(NamedTuple):
    """Time has passed; due about four times a second."""


class NodeReport(NamedTuple):
    """A node reports what it runs, its number of findings since its start, and at times the latest one."""

    node: Address
    version: int
    digest: int
    findings: int
    finding: str


class VersionAcknowledged(NamedTuple):
    """The core has acknowledged a version with this digest."""

    version: int
    digest: int


# Outputs.


class FetchVersion(NamedTuple):
    """Fetch a version from `source` (empty: from the core). `again`: even if it is held already."""

    version: int
    source: Address
    again: bool = False


class Rebuild(NamedTuple):
    """Rebuild the compiled configuration from the value as it was received."""

    why: str


class ReadinessChanged(NamedTuple):
    """Whether the node is ready for new clients, as far as the configuration goes."""

    well: bool


class RefusalChanged(NamedTuple):
    """Whether requests are rejected, and why."""

    refuse: bool
    why: str


class Finding(NamedTuple):
    """A finding for the operator: a place such as `route r-1.max-tries`, the running and the set value.

    `how` names the check that found it.
    """

    place: str
    running: str
    set: str
    version: int
    how: str

    def __str__(self) -> str:
        if not self.set:  # reported by another node
            return f"{self.place}: {self.running}"
        return f"{self.place}: is {self.running}, should be {self.set} (version {self.version}, {self.how})"
