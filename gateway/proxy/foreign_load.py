"""The load that other proxies cause at a backend: reported in its responses, and estimated in between."""

from __future__ import annotations

import math

# Time constant with which a reported load decays to the backend's mean.
REPORT_DECAY_S = 0.15
# Time constant with which a backend's mean decays to the usual load of all backends.
MEAN_DECAY_S = 8.0
MEAN_STEP = 0.2  # weight of a new report in the backend's mean


class ForeignLoad:
    """The number of requests of other proxies at one backend."""

    __slots__ = ("mean", "reported", "reported_at")

    def __init__(self, mean: float) -> None:
        self.mean = mean
        self.reported = mean
        self.reported_at = 0.0

    def on_report(self, now: float, reported: float) -> None:
        """Apply a reported number of requests of other proxies."""
        self.reported = reported
        self.reported_at = now
        self.mean += MEAN_STEP * (reported - self.mean)

    def estimate(self, now: float, usual: float) -> float:
        """The expected number of requests now.

        The last report decays to the backend's mean, which in turn decays to `usual`, the mean of all
        backends.
        """
        age = now - self.reported_at
        mean = usual + (self.mean - usual) * math.exp(-age / MEAN_DECAY_S)
        return mean + (self.reported - mean) * math.exp(-age / REPORT_DECAY_S)


def expected_queue(own: int, foreign: float, slots: int) -> float:
    """The expected number of queued requests ahead of a new one.

    The backend has `own` requests of this proxy and a Poisson distributed number of others with mean
    `foreign`.
    """
    free_slots = slots - 1 - own
    expected = foreign - free_slots
    if free_slots > 0:
        probability = math.exp(-foreign)
        for count in range(free_slots):
            expected += (free_slots - count) * probability
            probability *= foreign / (count + 1)
    return max(0.0, expected)
