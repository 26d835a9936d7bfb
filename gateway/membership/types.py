"""Types shared by the state machines of the membership package."""

from __future__ import annotations

from collections.abc import Hashable
from enum import IntEnum
from typing import NamedTuple

from gateway.state_machine import Address


class ValueKind(IntEnum):
    """Kinds of published values; only the newest value of each kind counts."""

    CORE = 1  # the core's members, and the leader
    CONFIG = 2  # the configuration
    SHARD_MAP = 3  # the owners of the quota shards
    INGRESSES = 4  # the proxies and their zones


class Role(IntEnum):
    """The role of a process in a peer view."""

    PROXY = 1
    CONTROLLER = 2


CallToken = Hashable
"""Identifies a backend's call for its caller; it is returned with the answer."""


class Backend(NamedTuple):
    """A backend under lease. Times are in seconds of this process's monotonic clock."""

    id: str
    service: str
    address: Address
    zone: str
    generation: str
    capacity: int
    draining: bool = False
    slow_start_until: float = 0.0  # it is warm if this is 0.0 or has passed
    seq: int = 0  # the `call-seq` of its newest heartbeat
    first_heard_at: float = 0.0  # when any process first received a heartbeat of this instance
