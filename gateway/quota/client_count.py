"""An upper bound on the number of quota clients that may have a share, as reported by owners and clients."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from gateway.quota.protocol import LEASE_MARGIN_S, SHARE_S

# Another owner may have had contact with a client this much later than the reporting owner.
OTHER_OWNER_DELAY_S = 2.5
RECENT_S = 1.5  # for clients with contact more recent than this, no time is reported
MAX_REPORTED_TIMES = 16  # clients whose time is reported; the others count as seen just now
SHARE_ENDS_AFTER_S = SHARE_S + LEASE_MARGIN_S + OTHER_OWNER_DELAY_S  # after the last contact with a client


class ClientCountReport(NamedTuple):
    """A number of quota clients, and the milliseconds since the last contact with some of them."""

    total: int
    last_heard_ms: list[int]


class CountBound(NamedTuple):
    """Before `until`, at most `clients` quota clients may have a share."""

    until: float
    clients: int


class ClientCountBound:
    """An upper bound on the number of quota clients that may have a share; it decreases with time.

    Bounds from several reporters are combined; the highest one that has not expired applies.
    """

    def __init__(self) -> None:
        self.bounds: list[CountBound] = []  # in order of decreasing times and increasing counts

    def count(self, now: float) -> int:
        """The maximum number of quota clients that may have a share now."""
        while self.bounds and now >= self.bounds[-1].until:
            self.bounds.pop()
        return self.bounds[-1].clients if self.bounds else 0

    def update(self, now: float, total: int, last_heard_ms: Iterable[int]) -> None:
        """Apply a report of `total` quota clients, some with the milliseconds since the last contact."""
        times = sorted(last_heard_ms)
        count = total - len(times)
        found = [CountBound(now + SHARE_ENDS_AFTER_S, count), *self.bounds]
        for milliseconds in times:
            count += 1
            found.append(CountBound(now - milliseconds / 1000 + SHARE_ENDS_AFTER_S, count))
        self.bounds = []
        for bound in sorted(found, reverse=True):
            if bound.clients > (self.bounds[-1].clients if self.bounds else 0) and bound.until > now:
                self.bounds.append(bound)

    def report(self, now: float) -> ClientCountReport:
        """The bound as a report in the form that `update` accepts."""
        last_heard_ms: list[int] = []
        before = 0
        for until, clients in self.bounds:
            seconds = now + SHARE_ENDS_AFTER_S - until
            if RECENT_S <= seconds < SHARE_ENDS_AFTER_S:
                last_heard_ms += [int(1000 * seconds)] * (clients - before)
            before = clients
        return ClientCountReport(self.count(now), last_heard_ms[-MAX_REPORTED_TIMES:])
