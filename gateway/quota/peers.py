"""How many quota clients may have a share, and until when, as shard owners and clients report it."""

from __future__ import annotations

from collections.abc import Iterable

from gateway.quota.interface import MARGIN_S, SHARE_S

LATER_S = 2.5  # by which another holder may have heard a quota client after the one that tells of it
FRESH_S = 1.5  # a quota client heard this lately is told without its silence
MOST_SILENT = 16  # quota clients whose silence is told; others pass for heard just now
LASTS_S = SHARE_S + MARGIN_S + LATER_S  # from when a quota client was heard until it has no share for sure


class Peers:
    """An upper bound that falls with time. Each pair says that until `end` there are at most so many, and
    bounds of several tellers stand together: the highest that hasn't ended counts."""

    def __init__(self) -> None:
        self.bounds: list[tuple[float, int]] = []  # end, quota clients: ends fall, numbers rise

    def count(self, now: float) -> int:
        """How many there are at most that may have a share."""
        while self.bounds and now >= self.bounds[-1][0]:
            self.bounds.pop()
        return self.bounds[-1][1] if self.bounds else 0

    def learn(self, now: float, total: int, silences_ms: Iterable[int]) -> None:
        """Somebody knows of so many; of those silent for a while, for how long."""
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
        """The same as `learn` takes it."""
        silences: list[int] = []
        before = 0
        for end, number in self.bounds:
            silence = now + LASTS_S - end
            if FRESH_S <= silence < LASTS_S:
                silences += [int(1000 * silence)] * (number - before)
            before = number
        return self.count(now), silences[-MOST_SILENT:]
