"""Input events of the drift state machines. Each docstring says when the event is raised.

Times are monotonic seconds, digests 64-bit integers.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from gateway.config.schema import Difference
from gateway.state_machine import Address


class Check(StrEnum):
    """Checks that find differences; findings contain their names."""

    REQUEST = "request"  # the route and the key used by a live request
    SAMPLE = "sample"  # a live request's decision, evaluated directly on the document
    SCAN = "round"  # the scan over all items, and the rate limits in force
    DIGEST = "digest"  # the digest of a version when it is applied


class VersionApplied(NamedTuple):
    """Raised when this node has applied a version.

    `running` is the digest of the running state, `acknowledged` the digest acknowledged by the core.
    """

    version: int
    running: int
    acknowledged: int


class VersionUnreadable(NamedTuple):
    """Raised when a received version can't be read."""

    version: int
    reason: str


class VersionSeen(NamedTuple):
    """Raised when a node is known to have a version.

    An empty `source` means that the version was reported by a node that doesn't have it.
    """

    version: int
    digest: int
    source: Address


class NewestConfirmed(NamedTuple):
    """Raised when a majority of the core has confirmed the newest version, at the time `at` or later."""

    version: int
    at: float


class DifferencesFound(NamedTuple):
    """Raised when a check finds that the running state differs from the document."""

    check: Check
    differences: tuple[Difference, ...]


class Tick(NamedTuple):
    """Raised about four times per second to advance timers."""


class NodeReport(NamedTuple):
    """Raised when a node reports what it runs.

    `findings` is its number of findings since its start; `finding` is occasionally the latest one.
    """

    node: Address
    version: int
    digest: int
    findings: int
    finding: str


class VersionAcknowledged(NamedTuple):
    """Raised when the core has acknowledged a version with this digest."""

    version: int
    digest: int


DetectorEvent = VersionApplied | VersionUnreadable | VersionSeen | NewestConfirmed | DifferencesFound | Tick
FleetEvent = NodeReport | VersionAcknowledged | Tick
