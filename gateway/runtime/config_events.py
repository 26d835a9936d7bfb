"""Log records of configuration changes at the leader, and of versions that come into force at a node.

There are a few per minute, at level NOTICE, so they are written immediately; `python -m simulation orders`
reads them.
"""

from __future__ import annotations

import logging

from gateway.runtime.log_ring import NOTICE
from gateway.state_machine import Address

LOGGER = "gateway.config_events"
CHANGE_PROPOSED = "configuration change proposed"
CHANGE_ACKNOWLEDGED = "configuration change acknowledged"
CONFIG_IN_FORCE = "configuration in force"

log = logging.getLogger(LOGGER)


def change_proposed(version: int, generation: int) -> None:
    """The leader has proposed a change; once committed it becomes this version."""
    log.log(NOTICE, CHANGE_PROPOSED, extra={"version": version, "generation": generation})


def change_acknowledged(version: int, generation: int, after_s: float) -> None:
    """The change is committed and answered, `after_s` seconds after the leader received it."""
    log.log(
        NOTICE,
        CHANGE_ACKNOWLEDGED,
        extra={"version": version, "generation": generation, "after_s": round(after_s, 4)},
    )


def config_in_force(node: Address, version: int, generation: int, first: bool) -> None:
    """A version is in force at a node; `first`: it is the first one since the process started."""
    log.log(
        NOTICE,
        CONFIG_IN_FORCE,
        extra={"node": node, "version": version, "generation": generation, "first": first},
    )
