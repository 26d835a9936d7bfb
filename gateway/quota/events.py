"""Input events of the quota plane's state machines. Each docstring says when the event is raised.

The machines are `QuotaClient` (at each proxy), `ShardOwner` (at each controller) and `ShardAssigner` (at the
leader of the core).
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple, Protocol

from gateway.quota.quota_pb2 import Message
from gateway.state_machine import Address


class Received(NamedTuple):
    """Raised when a message of the quota plane has arrived."""

    sender: Address
    message: Message


class Tick(NamedTuple):
    """Raised when time has passed.

    Each 0.1 s for `ShardAssigner` and `ShardOwner`, at `due()` for `QuotaClient`.
    """


class RateLimit(NamedTuple):
    """A tenant's limit: requests a second, and a burst in requests. A rate of 0 means no limit."""

    rate: float
    burst: float


class LimitedTenant(Protocol):
    """A tenant of the configuration, as far as its limit goes."""

    @property
    def label(self) -> str:
        """Its name."""

    @property
    def rate(self) -> float:
        """Units a second; 0: no limit."""

    @property
    def burst(self) -> float:
        """Units beyond the rate."""


class Allowances(NamedTuple):
    """Raised when a configuration is applied: the tenants' limits by label."""

    tenants: Mapping[str, RateLimit]

    @classmethod
    def of(cls, tenants: Iterable[LimitedTenant]) -> Allowances:
        """The allowances of these tenants."""
        return cls({tenant.label: RateLimit(tenant.rate, tenant.burst) for tenant in tenants})


class ChargeRequest(NamedTuple):
    """Raised when a request wants to be admitted.

    `timeout_s` is how long to wait for the shard owner's verdict.
    """

    attempt_id: int
    tenant: str
    precedence: int
    timeout_s: float


class Refund(NamedTuple):
    """Raised when an admitted request has not run and never will: its unit is refunded."""

    attempt_id: int


class Leave(NamedTuple):
    """Raised when this quota client shuts down and all its requests are done: it returns its shares."""


class ShardMapReceived(NamedTuple):
    """Raised when a shard map published by the `ShardAssigner` has arrived, in serialized form."""

    data: bytes


class LeadershipChange(NamedTuple):
    """Raised when this process begins or ceases to lead the core, in `term` (0: it doesn't).

    With `has_leader_lease` nobody else leads by now. `leaderless_since` is given if this is the first leader
    since all processes of the core restarted, the last of them at that steady time: until then others may
    have owned shards, and from then until this term nobody did. Otherwise it is None.
    """

    term: int
    has_leader_lease: bool
    leaderless_since: float | None = None


class LiveControllers(NamedTuple):
    """Raised when the live controllers change.

    `members`, if known, are all that may have a lease from an earlier leader.
    """

    addresses: Collection[Address]
    members: Collection[Address] = ()


class SetLeader(NamedTuple):
    """Raised when the leader changes that grants a shard owner its lease; None while there is none."""

    address: Address | None


ClientEvent = ChargeRequest | Received | Tick | Refund | ShardMapReceived | Allowances | Leave
OwnerEvent = Received | Tick | Allowances | SetLeader
AssignerEvent = Received | Tick | LeadershipChange | LiveControllers
