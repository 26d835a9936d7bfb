"""Outputs of the drift state machines."""

from __future__ import annotations

from typing import NamedTuple

from gateway.state_machine import Address


class FetchVersion(NamedTuple):
    """Fetch a version from `source` (empty: from the core). With `again`, even if it was fetched before."""

    version: int
    source: Address
    again: bool = False


class Rebuild(NamedTuple):
    """Rebuild the compiled configuration from the received value, because of `reason`."""

    reason: str


class ReadinessChanged(NamedTuple):
    """Whether the node is ready for new clients, as far as its configuration is concerned."""

    ready: bool


class RefusalChanged(NamedTuple):
    """Whether requests are rejected, and the reason."""

    refusing: bool
    reason: str


class Finding(NamedTuple):
    """A finding for the operator: a place such as `route r-1.max-tries`, the running and the set value.

    `how` names the check that produced it. The field names are those of the status page.
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


DetectorOutput = FetchVersion | Rebuild | ReadinessChanged | RefusalChanged | Finding
