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

    Args:
        address: Of this controller.
        zone: The number of its zone.
        zone_numbers: The numbers of zones by the names that backends send.
        follower: Knows the other controllers.
        rng: Chooses among them.
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
            self._drop_oldest_suggestion()

    def choose(self, now: float, backend_id: str, zone: str, core: Collection[Address]) -> Address:
        """The member of the core that a backend of this zone should call from now on."""
        if self.in_contact_at is not None and now - self.in_contact_at >= OUT_OF_CONTACT_S:
            others = [member for member in core if member != self.address]
            return self.rng.choice(others) if others else self.address
        zone_number = self.zone_numbers.get(zone, self.zone)
        if zone_number == self.zone or backend_id in self.suggested:
            return self.address
        quorate = self.follower.quorate(now)
        in_zone = sorted(a for a in quorate if self.follower.in_zone(a, zone_number))
        if not in_zone:
            return self.address
        self._remember(now, backend_id)
        return in_zone[zlib.crc32(backend_id.encode()) % len(in_zone)]

    def _oldest_suggestion(self) -> float:
        return next(iter(self.suggested.values()))

    def _drop_oldest_suggestion(self) -> None:
        del self.suggested[next(iter(self.suggested))]

    def _remember(self, now: float, backend_id: str) -> None:
        if len(self.suggested) >= MAX_SUGGESTIONS:
            self._drop_oldest_suggestion()
        self.suggested[backend_id] = now
