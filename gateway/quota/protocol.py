"""Constants that the quota plane's state machines share, and numbers for labels and attempts on the wire."""

from __future__ import annotations

import zlib
from enum import IntEnum
from hashlib import blake2b

SHARDS = 64  # number of shards into which the tenants are divided
ALL_SHARDS = (1 << SHARDS) - 1  # as a bitmask
FULL_SHARE = 8192  # the size of a share that is the whole allowance
LOWEST_PRECEDENCE = 7  # lowest precedence that is distinguished; those beyond count as this one
LEASE_S = 1.5  # duration of a shard owner's lease, from when the owner requested it
LEASE_MARGIN_S = 0.25  # others take a lease or share for expired only this much later
LEASE_RENEW_S = 0.3  # interval between a shard owner's requests for its lease
SHARE_S = 12.0  # lifetime of a share, from when the charge was sent whose verdict granted or renewed it
CLIENT_HEARTBEAT_S = 0.2  # interval of a quota client's heartbeats to an owner that gets nothing else from it
CLIENT_TIMEOUT_S = 0.45  # a quota client not heard for this long is taken to admit by its shares
NEVER = 1e18  # a time that doesn't come, in seconds

_HEX_ATTEMPT_LENGTH = 16


class VerdictCode(IntEnum):
    """The result in a verdict. After those beyond `REJECTED`, the client decides by its share."""

    ADMITTED = 0
    REJECTED = 1  # the tenant is over its allowance
    NOT_OPEN = 2  # the count isn't open yet
    NOT_OWNER = 3  # the process doesn't own the tenant's shard, or has too many quota clients
    UNKNOWN_TENANT = 4  # the owner knows of no limit for the tenant


def tenant_number(label: str) -> int:
    """A label's number in messages, 32 bits; `shard_of` it is the tenant's shard."""
    return zlib.crc32(label.encode())


def shard_of(tenant: int) -> int:
    """The shard of a tenant, given by its number."""
    return tenant % SHARDS


def attempt_number(attempt_id: str) -> int:
    """An `Attempt-Id` as a number of 64 bits; one that isn't 16 hex digits is hashed."""
    if len(attempt_id) == _HEX_ATTEMPT_LENGTH:
        try:
            return int(attempt_id, 16) & 0xFFFFFFFFFFFFFFFF
        except ValueError:
            pass
    return int.from_bytes(blake2b(attempt_id.encode(), digest_size=8).digest(), "little")
