"""Log records on configuration changes: orders at the leader, and versions that come into force at a node.

A few lines a minute, at level NOTICE, so written at once; `python -m simulation orders` reads them.
"""

from __future__ import annotations

import logging

from gateway.runtime.log_ring import NOTICE
from gateway.state_machine import Address

log = logging.getLogger("gateway.config_events")


def order_taken(version: int, generation: int) -> None:
    """The leader proposes an order to the consensus group; once committed it is this version."""
    log.log(NOTICE, "order taken", extra={"version": version, "generation": generation})


def order_acknowledged(version: int, generation: int, after_s: float) -> None:
    """The order is committed and answered, `after_s` seconds after the leader received it."""
    log.log(
        NOTICE,
        "order acknowledged",
        extra={"version": version, "generation": generation, "after_s": round(after_s, 4)},
    )


def in_force(node: Address, version: int, generation: int, first: bool) -> None:
    """A version is in force at a node; `first`: it is the first one since the process started."""
    log.log(
        NOTICE, "in force", extra={"node": node, "version": version, "generation": generation, "first": first}
    )
