"""Input events of `Decisions` besides those of `ingress.interface`. Each docstring says when it is raised."""

from __future__ import annotations

from typing import NamedTuple

from gateway.quota import events as quota_events
from ingress import interface as io


class BackendsChanged(NamedTuple):
    """Raised when backends of a service were added, changed or removed."""

    service: str
    entries: tuple[io.BackendEntry, ...]


class PeersChanged(NamedTuple):
    """Raised when the set of ingresses has changed.

    `index_in_zone` is this ingress's index among the `zone_ingresses` of its zone; -1: it isn't listed yet.
    """

    ingresses: int
    index_in_zone: int
    zone_ingresses: int


class QuotaEvent(NamedTuple):
    """Raised for each event of the quota client's state machine."""

    event: quota_events.ClientEvent


Event = (
    io.Request
    | io.AttemptStarted
    | io.AttemptWritten
    | io.AttemptEnded
    | io.ClientGone
    | io.TimerFired
    | BackendsChanged
    | PeersChanged
    | QuotaEvent
)
