"""Election timeouts adapted to measured round trips: as in `Tuning` on fast links, a multiple on slow ones.

The multiple is the `stretch`. A leader requests it of its followers with each heartbeat, and counts for its
lease only what a follower has promised in its response. So members needn't agree on it, nor on round trips.
"""

from __future__ import annotations

from collections import deque

from gateway.consensus import consensus_pb2 as pb
from gateway.consensus.records import NEVER
from gateway.consensus.replica import Replica

STRETCHES = (1.0, 2.0, 3.0, 5.3)  # few, as each increase is written to every disk
PER_ROUND_TRIP = 2.5  # election timeouts in round trips: one each for the pre-vote, the vote and a disk
SAMPLES = 4  # the shortest of these counts: a queue or a paused process delays single responses
FRESH_S = 3.0  # a member that hasn't responded for so long isn't counted
# for which a change must have been indicated
RISE_S = 0.2
FALL_S = 1.0
LONGEST_S = 10.0  # a longer round trip belongs to an earlier process


class Timing:
    """One member's measured round trips, its stretch, and its `election_deadline`: when it becomes a
    candidate. Times are seconds of this process's clock."""

    def __init__(self, replica: Replica, now: float) -> None:
        self.replica = replica
        self.samples: dict[str, deque[float]] = {}
        self.heard: dict[str, float] = {}
        self.measured = 1.0  # stretch by this member's own round trips
        self.asked = 1.0  # stretch that the latest leader has requested
        self.wanted = 1.0
        self.since = now
        self.election_deadline = now

    @property
    def stretch(self) -> float:
        """The factor by which election timeouts are longer than on fast links."""
        return max(self.measured, self.asked)

    def reset_election_timer(self, now: float, leaving: bool = False) -> None:
        """Begin a random election timeout. A member that is leaving waits longer, so that those that stay
        become candidates first."""
        shortest = self.replica.tuning.election_min_s
        longest = self.replica.tuning.election_max_s
        timeout = self.replica.rng.uniform(shortest, longest) + (longest if leaving else 0.0)
        self.election_deadline = now + self.stretch * timeout

    def follow(self, asked: float) -> None:
        """Adopt the stretch that a leader requests: a leader measures all the time, a follower doesn't."""
        self.measured = 1.0
        self.wanted = 1.0
        self.asked = asked

    def lead(self) -> None:
        """As a new leader, keep the stretch that was in force until measurements say otherwise."""
        self.measured = self.wanted = self.stretch
        self.asked = 1.0

    def observe(self, now: float, message: pb.Message) -> None:
        """Take a round-trip sample from a member's message, if it is a response that echoes when its request
        was sent."""
        answers = message.kind in (pb.APPEND_RESPONSE, pb.PRE_VOTE_RESPONSE)
        if answers and message.sent and 0.0 <= now - message.sent < LONGEST_S:
            self.samples.setdefault(message.disk, deque(maxlen=SAMPLES)).append(now - message.sent)
            self.heard[message.disk] = now

    def update(self, now: float) -> None:
        """Recompute the measured stretch; a change has to last for `RISE_S` or `FALL_S` to take effect."""
        wanted = self._fitting(now)
        if wanted == self.measured or wanted is None:
            self.wanted = self.measured
        elif wanted != self.wanted:
            self.wanted = wanted
            self.since = now
        elif now >= self.since + (RISE_S if wanted > self.measured else FALL_S):
            self.measured = wanted

    def _fitting(self, now: float) -> float | None:
        """The stretch for the round trip to a quorum; None if that isn't known."""
        replica = self.replica
        voters = {member.disk for member in replica.entry.voters()}
        self.heard = {d: at for d, at in self.heard.items() if d in voters and now < at + FRESH_S}
        self.samples = {d: s for d, s in self.samples.items() if d in self.heard}
        times = {disk: -min(samples) for disk, samples in self.samples.items()}
        round_trip = -replica.entry.latest_quorum_time({**times, replica.disk: 0.0})
        if not voters or round_trip >= -NEVER:
            return None
        timeout = PER_ROUND_TRIP * round_trip
        return next((s for s in STRETCHES if timeout <= s * replica.tuning.election_min_s), STRETCHES[-1])
