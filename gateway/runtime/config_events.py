"""What is logged of the configuration: orders at the leader, versions where they come into force.

A few lines a minute, written at once; `python -m proving orders` reads them.
"""

from __future__ import annotations

import logging

from gateway.runtime.log_ring import NOTICE
from gateway.state_machine import Address

log = logging.getLogger("gateway.config_events")


def order_taken(version: int, generation: int) -> None:
    """An order is put to the core, to be this version."""
    log.log(NOTICE, "order taken", extra={"version": version, "generation": generation})


def order_acknowledged(version: int, generation: int, after_s: float) -> None:
    """It is agreed on, so many seconds after it came here, and answered."""
    log.log(
        NOTICE,
        "order acknowledged",
        extra={"version": version, "generation": generation, "after_s": round(after_s, 4)},
    )


def in_force(node: Address, version: int, generation: int, first: bool) -> None:
    """A version is in force at a node; `first`: of this process's life."""
    log.log(
        NOTICE, "in force", extra={"node": node, "version": version, "generation": generation, "first": first}
    )
