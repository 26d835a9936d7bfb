"""Election timeouts that adapt to measured round trips: a multiple of those in `Tuning` on slow links.

The multiple is called the timeout scale. A leader requests a scale from its followers with each heartbeat,
and relies for its lease only on the scale that a follower grants in its response. Members therefore need not
agree on the scale, nor on round-trip times.
"""

from __future__ import annotations

from collections import deque

from gateway.consensus import consensus_pb2 as pb
from gateway.consensus.replica import Replica
from gateway.state_machine import LONG_AGO

TIMEOUT_SCALES = (1.0, 2.0, 3.0, 5.3)  # few steps, because each increase is written to every disk
ROUND_TRIPS_PER_TIMEOUT = 2.5  # one each for the pre-vote, the vote and a disk write, which partly overlap
MAX_SAMPLES = 4  # the shortest one is used: queues and paused processes delay single responses
SAMPLE_MAX_AGE_S = 3.0  # a member that hasn't responded for longer is ignored
SCALE_UP_DELAY_S = 0.2  # a higher scale takes effect once it has been indicated for this long
SCALE_DOWN_DELAY_S = 1.0  # a lower scale takes effect once it has been indicated for this long
MAX_ROUND_TRIP_S = 10.0  # a longer round trip must belong to an earlier process


class ElectionTimer:
    """The timeout scale of one member, and the `deadline` at which it becomes a candidate.

    Times are seconds of this process's clock.
    """

    def __init__(self, replica: Replica, now: float) -> None:
        self.replica = replica
        self.round_trips_s: dict[str, deque[float]] = {}  # newest samples by disk
        self.sampled_at: dict[str, float] = {}  # by disk
        self.measured_scale = 1.0  # derived from this member's own round trips
        self.requested_scale = 1.0  # requested by the latest leader
        self.indicated_scale = 1.0  # derived from the newest samples; becomes `measured_scale` if it persists
        self.indicated_since = now
        self.deadline = now

    @property
    def timeout_scale(self) -> float:
        """The factor by which election timeouts are longer than on fast links."""
        return max(self.measured_scale, self.requested_scale)

    def reset(self, now: float, leaving: bool = False) -> None:
        """Start a random election timeout (Raft, 5.2).

        A member that is leaving uses a longer timeout, so that remaining members become candidates first.
        """
        shortest = self.replica.tuning.election_min_s
        longest = self.replica.tuning.election_max_s
        timeout = self.replica.rng.uniform(shortest, longest) + (longest if leaving else 0.0)
        self.deadline = now + self.timeout_scale * timeout

    def adopt_requested_scale(self, requested: float) -> None:
        """Adopt the scale that a leader requests, because only a leader measures continuously."""
        self.measured_scale = 1.0
        self.indicated_scale = 1.0
        self.requested_scale = requested

    def become_leader(self) -> None:
        """As a new leader, keep the scale in force until measurements indicate another one."""
        self.measured_scale = self.timeout_scale
        self.indicated_scale = self.measured_scale
        self.requested_scale = 1.0

    def record_round_trip(self, now: float, message: pb.Message) -> None:
        """Record a round trip if the message is a response that echoes the send time of its request."""
        is_response = message.kind in (pb.APPEND_RESPONSE, pb.PRE_VOTE_RESPONSE)
        if is_response and message.sent_at and 0.0 <= now - message.sent_at < MAX_ROUND_TRIP_S:
            samples = self.round_trips_s.setdefault(message.disk, deque(maxlen=MAX_SAMPLES))
            samples.append(now - message.sent_at)
            self.sampled_at[message.disk] = now

    def update(self, now: float) -> None:
        """Recompute the measured scale; a change takes effect once it has been indicated for long enough."""
        indicated = self._scale_for_quorum(now)
        if indicated == self.measured_scale or indicated is None:
            self.indicated_scale = self.measured_scale
        elif indicated != self.indicated_scale:
            self.indicated_scale = indicated
            self.indicated_since = now
        else:
            delay = SCALE_UP_DELAY_S if indicated > self.measured_scale else SCALE_DOWN_DELAY_S
            if now >= self.indicated_since + delay:
                self.measured_scale = indicated

    def _scale_for_quorum(self, now: float) -> float | None:
        """The scale that suits the round trip to a quorum; None if that is unknown."""
        replica = self.replica
        voters = {member.disk for member in replica.entry.voters()}
        self.sampled_at = {
            disk: at for disk, at in self.sampled_at.items() if disk in voters and now < at + SAMPLE_MAX_AGE_S
        }
        self.round_trips_s = {
            disk: samples for disk, samples in self.round_trips_s.items() if disk in self.sampled_at
        }
        # `latest_quorum_time` prefers larger values, but here the shortest round trips count: negate them.
        times = {disk: -min(samples) for disk, samples in self.round_trips_s.items()}
        round_trip = -replica.entry.latest_quorum_time({**times, replica.disk: 0.0})
        if not voters or round_trip >= -LONG_AGO:
            return None
        timeout = ROUND_TRIPS_PER_TIMEOUT * round_trip
        shortest = replica.tuning.election_min_s
        return next((scale for scale in TIMEOUT_SCALES if timeout <= scale * shortest), TIMEOUT_SCALES[-1])
