"""Constants shared by the quota plane's state machines, and numbers for labels and attempts."""

from __future__ import annotations

import zlib
from enum import IntEnum
from hashlib import blake2b

SHARDS = 64  # number of shards that the tenants are divided into
ALL_SHARDS = (1 << SHARDS) - 1  # as a bitmask
FULL_SHARE = 8192  # the size of a share that equals the complete allowance
LOWEST_PRECEDENCE = 7  # lower precedences are treated as this one
LEASE_S = 1.5  # duration of a shard owner's lease, starting when the owner requested it
LEASE_MARGIN_S = 0.25  # other processes treat a lease or share as expired only after this additional time
LEASE_RENEW_S = 0.3  # interval between a shard owner's requests for its lease
SHARE_S = 12.0  # lifetime of a share, starting when the charge was sent whose verdict granted or renewed it
# Interval of heartbeats to an owner that receives nothing else from the quota client.
CLIENT_HEARTBEAT_S = 0.2
# After this time without a message, a quota client is assumed to admit requests by its shares.
CLIENT_TIMEOUT_S = 0.45
NEVER = 1e18  # a time that is never reached, in seconds

_HEX_ATTEMPT_LENGTH = 16


class VerdictCode(IntEnum):
    """The result in a verdict. With codes after `REJECTED`, the client decides by its share."""

    ADMITTED = 0
    REJECTED = 1  # the tenant is over its allowance
    NOT_OPEN = 2  # the count isn't open yet
    NOT_OWNER = 3  # this process doesn't own the tenant's shard, or has too many quota clients
    UNKNOWN_TENANT = 4  # the owner knows of no limit for this tenant


def tenant_number(label: str) -> int:
    """The 32-bit number that represents a label in messages; `shard_of` maps it to the tenant's shard."""
    return zlib.crc32(label.encode())


def shard_of(tenant: int) -> int:
    """The shard of a tenant, given the tenant's number."""
    return tenant % SHARDS


def attempt_number(attempt_id: str) -> int:
    """An `Attempt-Id` as a 64-bit number; an id that isn't 16 hexadecimal digits is hashed."""
    if len(attempt_id) == _HEX_ATTEMPT_LENGTH:
        try:
            return int(attempt_id, 16) & 0xFFFFFFFFFFFFFFFF
        except ValueError:
            pass
    return int.from_bytes(blake2b(attempt_id.encode(), digest_size=8).digest(), "little")
