"""The lease under which a process owns shards: requests, grants and expiry.

All times are seconds of the owner's monotonic clock; sets of shards are bitmasks.
"""

from __future__ import annotations

from typing import NamedTuple

from gateway.quota.protocol import LEASE_RENEW_S, LEASE_S, SHARDS
from gateway.quota.quota_pb2 import LeaseGrant, LeaseRequest, Message
from gateway.state_machine import Address, FencingToken, Send

LEASE_RETRY_S = 0.1  # delay before the next request if no grant has been received


class OwnershipChange(NamedTuple):
    """Shards whose ownership was lost, and shards whose ownership was gained."""

    lost: int
    gained: int


class ShardLease:
    """The shards that this process owns, and the time at which its lease expires."""

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.leader: Address | None = None
        self.shards = 0
        self.expires_at = 0.0
        # By shard: latest time at which an earlier owner may have counted.
        self.last_counted_at = [0.0] * SHARDS
        self.began_at = [0.0] * SHARDS  # by shard: start of its lease
        self.ever_owned = 0
        self.fencing_token = FencingToken(0, 0)
        self.requested_at = -LEASE_RENEW_S
        self.was_granted = True  # whether the newest request was granted

    def owns(self, shard: int) -> bool:
        """Whether a shard is owned, as of the last call of `expire`."""
        return bool(self.shards >> shard & 1)

    def set_leader(self, now: float, leader: Address | None) -> bool:
        """Set the leader that grants the lease; a request to a new leader is due at once.

        Returns:
            Whether the leader has changed.
        """
        if leader == self.leader:
            return False
        self.leader = leader
        self.requested_at = now - LEASE_RENEW_S
        return True

    def request_if_due(self, now: float) -> list[Send]:
        """Request the lease if a request is due."""
        interval_s = LEASE_RENEW_S if self.was_granted else LEASE_RETRY_S
        if self.leader is None or now < self.requested_at + interval_s:
            return []
        self.requested_at = now
        self.was_granted = False
        request = LeaseRequest(
            incarnation=self.incarnation,
            sent_at=now,
            term=self.fencing_token.term,
            number=self.fencing_token.number,
            shards=self.shards,
        )
        return [Send(self.leader, Message(lease_request=request))]

    def expire(self, now: float) -> OwnershipChange | None:
        """Give up all shards if the lease has expired."""
        if self.shards and now >= self.expires_at:
            return self._own(now, 0)
        return None

    def accepts(self, now: float, sender: Address, grant: LeaseGrant) -> bool:
        """Whether a grant is newer, unexpired, from the current leader and for this incarnation."""
        return (
            grant.incarnation == self.incarnation
            and FencingToken(grant.term, grant.number) > self.fencing_token
            and sender == self.leader
            and now < grant.request_sent_at + LEASE_S
        )

    def adopt(self, now: float, grant: LeaseGrant) -> OwnershipChange | None:
        """Apply a grant; must be called after `expire`."""
        self.fencing_token = FencingToken(grant.term, grant.number)
        self.was_granted = True
        self.expires_at = max(self.expires_at, grant.request_sent_at + LEASE_S)
        return self._own(now, grant.shards, grant.idle_shards, grant.idle_ms / 1000)

    def _own(
        self, now: float, shards: int, idle_shards: int = 0, idle_s: float = 0.0
    ) -> OwnershipChange | None:
        """Set the owned shards.

        According to the leader, only this owner has counted the idle shards during the last `idle_s` seconds.
        """
        change = OwnershipChange(lost=self.shards & ~shards, gained=shards & ~self.shards)
        self.shards = shards
        if not change.lost and not change.gained:
            return None
        for shard in range(SHARDS):
            if change.gained >> shard & 1:
                is_idle = idle_shards & ~self.ever_owned & 1 << shard
                self.began_at[shard] = now
                self.last_counted_at[shard] = now - idle_s if is_idle else now
        self.ever_owned |= shards
        return change
