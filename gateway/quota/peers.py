"""How many quota clients may have a share, and until when, as shard owners and clients report it."""

from __future__ import annotations

from collections.abc import Iterable

from gateway.quota.interface import MARGIN_S, SHARE_S

LATER_S = 2.5  # by which another owner may have heard a quota client after the owner that reports it
FRESH_S = 1.5  # a quota client heard this lately is reported without its silence
MOST_SILENT = 16  # quota clients whose silence is reported; others pass for heard just now
LASTS_S = SHARE_S + MARGIN_S + LATER_S  # from when a quota client was heard until it surely has no share


class Peers:
    """An upper bound on the number of quota clients that may have a share, which falls with time.

    Each pair says that until `end` there are at most so many. Bounds of several reporters are combined: the
    highest that hasn't ended counts.
    """

    def __init__(self) -> None:
        self.bounds: list[tuple[float, int]] = []  # (end, quota clients): ends fall, numbers rise

    def count(self, now: float) -> int:
        """The most quota clients that may have a share now."""
        while self.bounds and now >= self.bounds[-1][0]:
            self.bounds.pop()
        return self.bounds[-1][1] if self.bounds else 0

    def learn(self, now: float, total: int, silences_ms: Iterable[int]) -> None:
        """Take a report of `total` quota clients, and of how long some of them have been silent (ms)."""
        silences = sorted(silences_ms)
        count = total - len(silences)
        found = [(now + LASTS_S, count), *self.bounds]
        for silence in silences:
            count += 1
            found.append((now - silence / 1000 + LASTS_S, count))
        self.bounds = []
        for end, number in sorted(found, reverse=True):
            if number > (self.bounds[-1][1] if self.bounds else 0) and end > now:
                self.bounds.append((end, number))

    def told(self, now: float) -> tuple[int, list[int]]:
        """The bound as a report, in the form that `learn` takes: total, and silences in ms."""
        silences: list[int] = []
        before = 0
        for end, number in self.bounds:
            silence = now + LASTS_S - end
            if FRESH_S <= silence < LASTS_S:
                silences += [int(1000 * silence)] * (number - before)
            before = number
        return self.count(now), silences[-MOST_SILENT:]
