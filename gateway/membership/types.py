"""Types that the membership's state machines share."""

from __future__ import annotations

from collections.abc import Hashable
from enum import IntEnum
from typing import NamedTuple

from gateway.state_machine import Address


class ValueKind(IntEnum):
    """Kinds of published values, of each of which only the newest counts."""

    CORE = 1  # the core's members, and the leader
    CONFIG = 2  # the configuration
    SHARD_MAP = 3  # the owners of the quota shards
    INGRESSES = 4  # the proxies and their zones


class Role(IntEnum):
    """What a process is, in a peer view."""

    PROXY = 1
    CONTROLLER = 2


CallToken = Hashable
"""Identifies a backend's call to whoever passes it in; it comes back with the answer."""


class Backend(NamedTuple):
    """A backend under lease. Times are in seconds of this process's steady clock."""

    id: str
    service: str
    address: Address
    zone: str
    generation: str
    capacity: int
    draining: bool = False
    slow_start_until: float = 0.0  # 0.0 or past: it is warm
    seq: int = 0  # the `call-seq` of its newest heartbeat
    first_heard_at: float = 0.0  # when this instance was first heard, by any process
