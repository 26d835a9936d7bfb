"""Inputs and outputs of the quota plane's machines, and the figures that its parts agree on."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import NamedTuple

from gateway.quota.quota_pb2 import Message
from gateway.state_machine import Address

SHARDS = 64  # into which the tenants are cut
ALL_SHARDS = (1 << SHARDS) - 1
FULL_SHARE = 8192  # parts of an allowance that can be leased as shares
LOWEST_PRECEDENCE = 7  # precedence that is told apart; lower ones are the same
LEASE_S = 1.5  # of a holder, from when it asked
MARGIN_S = 0.25  # a lease or share is surely over only this much later
LEASE_RENEW_S = 0.3  # between a holder's requests for its lease
SHARE_S = 12.0  # of a share, from when the charge was sent whose verdict brought or kept it
CLIENT_HEARTBEAT_S = 0.2  # a quota client silent towards a holder for this long says that it is there
SILENT_S = 0.45  # a quota client unheard for this long is held to go by its shares


class Code:
    """What a verdict says: `NOT_YET` to `UNKNOWN` send the quota client to its share."""

    ADMITTED, OVER, NOT_YET, NOT_MINE, UNKNOWN = range(5)


class Received(NamedTuple):
    """A message of the plane has come from the process at an address."""

    frm: Address
    note: Message


class Tick(NamedTuple):
    """Time has passed: wanted each 0.1 s by `Duties` and `Holder`, at `due()` by `Quota client`."""


class Allowances(NamedTuple):
    """Tenants by label, with requests a second and burst; a rate of 0 is no limit."""

    tenants: Mapping[str, tuple[float, float]]


OVER_ALLOWANCE = "over the allowance"  # why a request is refused, where that is its tenant's doing


class ChargeRequest(NamedTuple):
    """May this request go on? `patience_s` is how long the holder may take."""

    id: int
    tenant: str
    precedence: int
    patience_s: float


class Refund(NamedTuple):
    """A request that was let go has not run and never will: its unit is given back."""

    id: int


class Leave(NamedTuple):
    """This quota client ends, and all its requests are done: it returns its shares."""


class ChargeDecision(NamedTuple):
    """The answer to an `Ask`: 'go', or 'over' with the time after which to come back and the reason."""

    id: int
    verdict: str
    wait_s: float
    why: str = ""


class ShardMap(NamedTuple):
    """The table of holders, as `Duties` has published it, has reached this quota client."""

    data: bytes


class PublishShardMap(NamedTuple):
    """A new table for all quota clients, newer than any of a lower fence (term, number)."""

    fencing_token: tuple[int, int]
    data: bytes


class LeadershipChange(NamedTuple):
    """This process leads the core in `term` (0: it doesn't), and is `sure` that nobody else does by now.

    It is the first leader since all processes of the core began anew, the last of them at `unled_since` (a
    steady time): until then others may have held parts, and from then until this term nobody. Else None.
    """

    term: int
    has_leader_lease: bool
    leaderless_since: float | None = None


class LiveControllers(NamedTuple):
    """Controllers that live now; `members`, if known, are all that may hold an earlier leader's lease."""

    addresses: Collection[Address]
    members: Collection[Address] = ()


class SetLeader(NamedTuple):
    """Where this holder asks for its lease; None while nobody leads."""

    address: Address | None
