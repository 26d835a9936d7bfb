"""What goes into and comes out of the machines of this plane. Times are steady seconds, digests 64 bit."""

from __future__ import annotations

from typing import NamedTuple

from gateway.config.schema import Difference
from gateway.state_machine import Address

# Inputs.


class VersionApplied(NamedTuple):
    """This node runs a version: the digest of what requests use, and the one that the core acknowledged."""

    version: int
    running: int
    acknowledged: int


class VersionUnreadable(NamedTuple):
    """A version has come that can't be read here, and why."""

    version: int
    why: str


class VersionSeen(NamedTuple):
    """Somebody holds this version, or ("" as the source) somebody has heard of it."""

    version: int
    digest: int
    source: Address


class NewestConfirmed(NamedTuple):
    """Most of the core said that this is the newest version, to a question of the time `at` or later."""

    version: int
    at: float


class DifferencesFound(NamedTuple):
    """Something that runs is not as it is set. `how` tells by what it was found."""

    how: str
    differences: tuple[Difference, ...]


class Tick(NamedTuple):
    """Time goes on; due about four times a second."""


class NodeReport(NamedTuple):
    """A node tells what it runs, how many findings it has had in its life, and at times the latest."""

    node: Address
    version: int
    digest: int
    findings: int
    finding: str


class VersionAcknowledged(NamedTuple):
    """A version has been acknowledged, with its digest."""

    version: int
    digest: int


# Outputs.


class FetchVersion(NamedTuple):
    """Ask for a version now, of who has it, or ("" as the source) of the core. `again`: though it is held."""

    version: int
    source: Address
    again: bool = False


class Rebuild(NamedTuple):
    """Build what requests use anew from the configuration as it came."""

    why: str


class ReadinessChanged(NamedTuple):
    """Whether new clients may come as far as the configuration goes."""

    well: bool


class RefusalChanged(NamedTuple):
    """Whether requests are turned back, and why."""

    refuse: bool
    why: str


class Finding(NamedTuple):
    """For the operator, once: a place such as `route r-1.max-tries`, what runs there, and what is set."""

    place: str
    running: str
    set: str
    version: int
    how: str

    def __str__(self) -> str:
        if not self.set:  # told by another
            return f"{self.place}: {self.running}"
        return f"{self.place}: is {self.running}, should be {self.set} (version {self.version}, {self.how})"
