"""Input events of `Decisions` in addition to those of `ingress.interface`."""

from __future__ import annotations

from typing import NamedTuple

from gateway.quota import events as quota_events
from ingress import interface as io


class BackendsChanged(NamedTuple):
    """Raised when backends of a service have been added, changed or removed."""

    service: str
    entries: tuple[io.BackendEntry, ...]


class PeersChanged(NamedTuple):
    """Raised when the set of proxies has changed.

    `index_in_zone` is this proxy's index among the `zone_ingresses` proxies of its zone; -1: not in the list
    yet.
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
