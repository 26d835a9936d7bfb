"""How many quota clients may have a share, and until when, as shard owners and clients report it."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from gateway.quota.protocol import LEASE_MARGIN_S, SHARE_S

OTHER_OWNER_DELAY_S = 2.5  # by which another owner may have heard a client after the owner that reports it
RECENT_S = 1.5  # a quota client heard this lately is reported without the time since
MAX_REPORTED_TIMES = 16  # quota clients whose time since is reported; others count as heard just now
SHARE_ENDS_AFTER_S = SHARE_S + LEASE_MARGIN_S + OTHER_OWNER_DELAY_S  # from when a client was last heard


class ClientCountReport(NamedTuple):
    """A number of quota clients, and how long ago some of them were last heard, in milliseconds."""

    total: int
    last_heard_ms: list[int]


class CountBound(NamedTuple):
    """Until `until` there are at most so many quota clients that may have a share."""

    until: float
    clients: int


class ClientCountBound:
    """An upper bound on the number of quota clients that may have a share, which falls with time.

    Bounds of several reporters are combined: the highest that hasn't ended counts.
    """

    def __init__(self) -> None:
        self.bounds: list[CountBound] = []  # times fall, counts rise

    def count(self, now: float) -> int:
        """The most quota clients that may have a share now."""
        while self.bounds and now >= self.bounds[-1].until:
            self.bounds.pop()
        return self.bounds[-1].clients if self.bounds else 0

    def update(self, now: float, total: int, last_heard_ms: Iterable[int]) -> None:
        """Take a report of `total` quota clients, and of how long ago some of them were last heard."""
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
        """The bound as a report, in the form that `update` takes."""
        last_heard_ms: list[int] = []
        before = 0
        for until, clients in self.bounds:
            seconds = now + SHARE_ENDS_AFTER_S - until
            if RECENT_S <= seconds < SHARE_ENDS_AFTER_S:
                last_heard_ms += [int(1000 * seconds)] * (clients - before)
            before = clients
        return ClientCountReport(self.count(now), last_heard_ms[-MAX_REPORTED_TIMES:])
