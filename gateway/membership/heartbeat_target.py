"""Which controller a backend should send its next heartbeats to.

A backend that picks another controller for each heartbeat moves its lease each time: one log releases it,
another one takes it up, and both changes go to every follower. A backend that stays costs its followers
nothing. So each acknowledgement names a target: a live member of the core in the backend's own zone, or else
the controller that received the heartbeat.
"""

from __future__ import annotations

import random
import zlib
from collections.abc import Collection, Mapping

from gateway.membership.log_follower import LogFollower
from gateway.state_machine import Address

OUT_OF_CONTACT_S = 1.0  # without contact to a majority of the core; more than an ordinary election takes
SUGGEST_AGAIN_S = 30.0  # a backend that comes back stays for so long: it may not reach the other controller
MAX_SUGGESTIONS = 10_000  # remembered at most


class HeartbeatTargets:
    """Chooses targets for the backends that call one controller.

    `zone` is the number of its zone, `zone_numbers` the numbers by the names that backends tell.
    """

    def __init__(
        self,
        address: Address,
        zone: int,
        zone_numbers: Mapping[str, int],
        follower: LogFollower,
        rng: random.Random,
    ) -> None:
        self.address = address
        self.zone = zone
        self.zone_numbers = zone_numbers
        self.follower = follower
        self.rng = rng
        self.in_contact_at: float | None = None  # when this was last so, or the first tick
        self.suggested: dict[str, float] = {}  # by backend: when it was sent elsewhere; the oldest first

    def tick(self, now: float, quorate: bool) -> None:
        """Note whether this process is in contact with a majority of the core."""
        if quorate or self.in_contact_at is None:
            self.in_contact_at = now
        while self.suggested and self._oldest_suggestion() <= now - SUGGEST_AGAIN_S:
            del self.suggested[next(iter(self.suggested))]

    def choose(self, now: float, id: str, zone: str, core: Collection[Address]) -> Address:
        """The member of the core that a backend of this zone should call from now on."""
        if self.in_contact_at is not None and now - self.in_contact_at >= OUT_OF_CONTACT_S:
            others = [member for member in core if member != self.address]
            return self.rng.choice(others) if others else self.address
        number = self.zone_numbers.get(zone, self.zone)
        if number == self.zone or id in self.suggested:
            return self.address
        near = sorted(a for a in self.follower.quorate(now) if self.follower.in_zone(a, number))
        if not near:
            return self.address
        self._remember(now, id)
        return near[zlib.crc32(id.encode()) % len(near)]

    def _oldest_suggestion(self) -> float:
        return next(iter(self.suggested.values()))

    def _remember(self, now: float, id: str) -> None:
        if len(self.suggested) >= MAX_SUGGESTIONS:
            del self.suggested[next(iter(self.suggested))]
        self.suggested[id] = now
