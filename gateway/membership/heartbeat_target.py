"""Selects the controller to which a backend should send its next heartbeats.

If a backend selects another controller for each heartbeat, its lease moves every time: one log releases it
and another one adds it, and every follower receives both changes. A backend that stays at one controller
causes no changes. Each acknowledgement therefore names a target: a live member of the core in the backend's
own zone, or else the controller that received the heartbeat.
"""

from __future__ import annotations

import random
import zlib
from collections.abc import Collection, Mapping

from gateway.membership.log_follower import LogFollower
from gateway.state_machine import Address

OUT_OF_CONTACT_S = 1.0  # without contact to a majority of the core; longer than a normal election
SUGGEST_AGAIN_S = 30.0  # a backend that returns earlier stays, because it may not reach the other controller
MAX_SUGGESTIONS = 10_000  # maximum number of stored suggestions


class HeartbeatTargets:
    """Selects targets for the backends that call one controller.

    Args:
        address: Address of this controller.
        zone: Number of its zone.
        zone_numbers: Zone numbers by the zone names that backends send.
        follower: Provides the state of the other controllers.
        rng: Used to select one of them.
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
        self.in_contact_at: float | None = None  # last time of contact, or the first tick
        self.suggested: dict[str, float] = {}  # by backend, when another target was suggested; oldest first

    def tick(self, now: float, quorate: bool) -> None:
        """Record whether this process is in contact with a majority of the core."""
        if quorate or self.in_contact_at is None:
            self.in_contact_at = now
        while self.suggested and self._oldest_suggestion() <= now - SUGGEST_AGAIN_S:
            self._drop_oldest_suggestion()

    def choose(self, now: float, backend_id: str, zone: str, core: Collection[Address]) -> Address:
        """The member of the core that a backend in this zone should call next."""
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
