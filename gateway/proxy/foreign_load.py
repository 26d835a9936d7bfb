"""The load of other ingresses at a backend: reported in its responses, estimated in between."""

from __future__ import annotations

import math

# Time constants of a reported load going back to the backend's mean, and of that going back to the one that
# is usual for all backends.
REPORT_DECAY_S = 0.15
MEAN_DECAY_S = 8.0
MEAN_STEP = 0.2  # by which a report moves the backend's mean


class ForeignLoad:
    """The number of requests of other ingresses at one backend."""

    __slots__ = ("mean", "reported", "reported_at")

    def __init__(self, mean: float) -> None:
        self.mean = mean
        self.reported = mean
        self.reported_at = 0.0

    def on_report(self, now: float, reported: float) -> None:
        """Take a reported number of requests of other ingresses."""
        self.reported = reported
        self.reported_at = now
        self.mean += MEAN_STEP * (reported - self.mean)

    def estimate(self, now: float, usual: float) -> float:
        """The expected number now.

        The last report decays towards the backend's mean, and that towards `usual`, the mean of all backends.
        """
        age = now - self.reported_at
        mean = usual + (self.mean - usual) * math.exp(-age / MEAN_DECAY_S)
        return mean + (self.reported - mean) * math.exp(-age / REPORT_DECAY_S)


def expected_queue(own: int, foreign: float, slots: int) -> float:
    """The expected number of requests queued before one more.

    There are `own` requests of this ingress, and a Poisson distributed number of others, of mean `foreign`.
    """
    free_slots = slots - 1 - own
    expected = foreign - free_slots
    if free_slots > 0:
        probability = math.exp(-foreign)
        for count in range(free_slots):
            expected += (free_slots - count) * probability
            probability *= foreign / (count + 1)
    return max(0.0, expected)
