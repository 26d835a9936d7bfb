"""Input events of the quota plane's state machines. Each docstring says when the event is raised.

The state machines are `QuotaClient` (at each proxy), `ShardOwner` (at each controller) and `ShardAssigner`
(at the leader of the core).
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple, Protocol

from gateway.quota.quota_pb2 import Message
from gateway.state_machine import Address


class Received(NamedTuple):
    """Raised when a message of the quota plane is received."""

    sender: Address
    message: Message


class Tick(NamedTuple):
    """Raised to advance timers.

    It is raised every 0.1 s for `ShardAssigner` and `ShardOwner`, and at `due()` for `QuotaClient`.
    """


class RateLimit(NamedTuple):
    """A tenant's limit: requests per second, and a burst in requests. A rate of 0 means no limit."""

    rate: float
    burst: float


class LimitedTenant(Protocol):
    """The part of a configured tenant that defines its limit."""

    @property
    def label(self) -> str:
        """The tenant's name."""

    @property
    def rate(self) -> float:
        """Units per second; 0 means no limit."""

    @property
    def burst(self) -> float:
        """Units that may be used beyond the rate."""


class Allowances(NamedTuple):
    """Raised when a configuration is applied; contains the tenants' limits by label."""

    tenants: Mapping[str, RateLimit]

    @classmethod
    def of(cls, tenants: Iterable[LimitedTenant]) -> Allowances:
        """The allowances of these tenants."""
        return cls({tenant.label: RateLimit(tenant.rate, tenant.burst) for tenant in tenants})


class ChargeRequest(NamedTuple):
    """Raised when a request asks for admission.

    `timeout_s` is the time to wait for the shard owner's verdict.
    """

    attempt_id: int
    tenant: str
    precedence: int
    timeout_s: float


class Refund(NamedTuple):
    """Raised when an admitted request has not run and never will, so that its unit is refunded."""

    attempt_id: int


class Leave(NamedTuple):
    """Raised when this quota client shuts down and all its requests have finished: it returns its shares."""


class ShardMapReceived(NamedTuple):
    """Raised when a serialized shard map published by the `ShardAssigner` is received."""

    data: bytes


class LeadershipChange(NamedTuple):
    """Raised when this process becomes the leader of the core in `term`, or ceases to lead (`term` 0).

    With `has_leader_lease`, no other leader exists any more. `leaderless_since` is set if this is the first
    leader since all processes of the core restarted, to the monotonic time at which the last of them started.
    Others may have owned shards before that time; from then until this term, nobody did. Otherwise it is
    None.
    """

    term: int
    has_leader_lease: bool
    leaderless_since: float | None = None


class LiveControllers(NamedTuple):
    """Raised when the set of live controllers changes.

    `members`, if known, contains every controller that may have a lease from an earlier leader.
    """

    addresses: Collection[Address]
    members: Collection[Address] = ()


class SetLeader(NamedTuple):
    """Raised when the leader that grants a shard owner its lease changes; None while there is no leader."""

    address: Address | None


ClientEvent = ChargeRequest | Received | Tick | Refund | ShardMapReceived | Allowances | Leave
OwnerEvent = Received | Tick | Allowances | SetLeader
AssignerEvent = Received | Tick | LeadershipChange | LiveControllers
