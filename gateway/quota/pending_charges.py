"""Charges of a quota client that wait for a verdict, or were decided lately."""

from __future__ import annotations

from enum import Enum, auto

from gateway.quota.local_quota import LocalQuota
from gateway.quota.owner_links import OwnerLink

MAX_WAITING = 8192  # charges waiting for a verdict at once
MAX_REMEMBERED = 32768  # charges in one generation
DECIDED_RETENTION_S = 4.0  # a decided charge is remembered at least this long


class ChargeState(Enum):
    """What became of a charge."""

    WAITING = auto()
    ADMITTED_BY_OWNER = auto()
    ADMITTED_BY_SHARE = auto()
    REJECTED = auto()


class PendingCharge:
    """A charge that waits for a verdict, or was decided lately."""

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
        self.link = link  # to the owner; None: the shard has none
        self.sent_at = now
        self.timeout_s = timeout_s
        self.precedence = precedence
        self.requests = 1  # that wait for this charge, each of which gets a decision
        self.attempts = 1  # how often it was sent, or decided without an answer
        self.state = ChargeState.WAITING


class PendingCharges:
    """The charges by attempt, in two generations; the older one is dropped as a whole."""

    def __init__(self) -> None:
        self.newer: dict[int, PendingCharge] = {}
        self.older: dict[int, PendingCharge] = {}
        self.rotate_at = 0.0
        self.waiting = 0  # number of charges that wait for a verdict

    def get(self, attempt_id: int) -> PendingCharge | None:
        """The charge of an attempt, if it is remembered."""
        return self.newer.get(attempt_id) or self.older.get(attempt_id)

    def get_recent(self, attempt_id: int) -> PendingCharge | None:
        """The charge of an attempt, if it is in the newer generation."""
        return self.newer.get(attempt_id)

    def add(self, now: float, attempt_id: int, charge: PendingCharge) -> None:
        """Remember a charge."""
        if now >= self.rotate_at or len(self.newer) >= MAX_REMEMBERED:
            self._rotate(now)
        self.newer[attempt_id] = charge

    def has_room(self) -> bool:
        """Whether one more charge may wait for a verdict."""
        return self.waiting < MAX_WAITING

    def _rotate(self, now: float) -> None:
        """Start a new generation of charges, which drops those decided long ago."""
        still_waiting = {
            attempt_id: charge
            for attempt_id, charge in self.older.items()
            if charge.state is ChargeState.WAITING
        }
        self.older = self.newer
        self.newer = still_waiting
        self.rotate_at = now + DECIDED_RETENTION_S
