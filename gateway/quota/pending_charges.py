"""A quota client's charges that are waiting for a verdict or were decided recently."""

from __future__ import annotations

from enum import Enum, auto

from gateway.quota.local_quota import LocalQuota
from gateway.quota.owner_links import OwnerLink

MAX_WAITING = 8192  # maximum number of charges waiting for a verdict
MAX_REMEMBERED = 32768  # maximum number of charges in one generation
DECIDED_RETENTION_S = 4.0  # minimum time for which a decided charge is remembered


class ChargeState(Enum):
    """The state of a charge."""

    WAITING = auto()
    ADMITTED_BY_OWNER = auto()
    ADMITTED_BY_SHARE = auto()
    REJECTED = auto()


class PendingCharge:
    """A charge that is waiting for a verdict or was decided recently."""

    __slots__ = ("attempts", "link", "local_quota", "precedence", "requests", "sent_at", "state", "timeout_s")

    def __init__(
        self,
        local_quota: LocalQuota,
        link: OwnerLink | None,
        now: float,
        timeout_s: float,
        precedence: int,
    ) -> None:
        self.local_quota = local_quota
        self.link = link  # link to the owner; None if the shard has no owner
        self.sent_at = now
        self.timeout_s = timeout_s
        self.precedence = precedence
        self.requests = 1  # requests waiting for this charge, each of which gets a decision
        self.attempts = 1  # number of times the charge was sent, or decided without a verdict
        self.state = ChargeState.WAITING


class PendingCharges:
    """Charges by attempt in two generations, of which the older one is discarded as a whole."""

    def __init__(self) -> None:
        self.newer: dict[int, PendingCharge] = {}
        self.older: dict[int, PendingCharge] = {}
        self.rotate_at = 0.0
        self.waiting = 0  # number of charges waiting for a verdict

    def get(self, attempt_id: int) -> PendingCharge | None:
        """The charge of an attempt, if it is still remembered."""
        return self.newer.get(attempt_id) or self.older.get(attempt_id)

    def get_recent(self, attempt_id: int) -> PendingCharge | None:
        """The charge of an attempt, if it is in the newer generation."""
        return self.newer.get(attempt_id)

    def add(self, now: float, attempt_id: int, charge: PendingCharge) -> None:
        """Store a charge."""
        if now >= self.rotate_at or len(self.newer) >= MAX_REMEMBERED:
            self._rotate(now)
        self.newer[attempt_id] = charge

    def has_room(self) -> bool:
        """Whether another charge may wait for a verdict."""
        return self.waiting < MAX_WAITING

    def _rotate(self, now: float) -> None:
        """Start a new generation of charges; those decided long ago are discarded."""
        still_waiting = {
            attempt_id: charge
            for attempt_id, charge in self.older.items()
            if charge.state is ChargeState.WAITING
        }
        self.older = self.newer
        self.newer = still_waiting
        self.rotate_at = now + DECIDED_RETENTION_S
