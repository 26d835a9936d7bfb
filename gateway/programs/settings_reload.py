"""The settings file while a program runs: looked at each second and on SIGHUP, for what may change then."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from result import Err

from gateway.runtime.log_ring import LogRing
from gateway.runtime.settings import Settings, SettingsFile
from gateway.runtime.ticker import Ticker
from gateway.state_machine import Address

CHECK_INTERVAL_S = 1.0
RELOADABLE = ("network.seeds",)
"""What a running program takes up; all else waits for its next start."""

log = logging.getLogger("gateway.settings_reload")


class Reload:
    """Tells of new seeds, as the own ports of their controllers. A file with faults changes nothing.

    What else has changed is logged, as it counts from the next start on.
    """

    def __init__(
        self, settings: Settings, file: SettingsFile, seeds: Callable[[tuple[Address, ...]], object]
    ) -> None:
        self.settings, self.file, self.seeds = settings, file, seeds

    def look(self) -> None:
        """Read the file if it is another one than at the last look."""
        if self.file.changed():
            self.read()

    def read(self) -> None:
        """Read the file: somebody says that it has changed."""
        found = self.file.read()
        if isinstance(found, Err):
            for fault in found.err_value:
                log.warning("settings stay as they are: %s", fault)
            return
        former, self.settings = self.settings, found.ok_value
        changes = differences(former, self.settings)
        if waiting := [name for name in changes if name not in RELOADABLE]:
            log.info("changed settings that need a restart: %s", ", ".join(waiting))
        if "network.seeds" in changes:
            log.info("seeds are now %s", ", ".join(self.settings.network.seeds))
            self.seeds(seed_addresses(self.settings))


def start_maintenance(loop: asyncio.AbstractEventLoop, reload: Reload, ring: LogRing) -> Ticker:
    """What a program does each second: it looks at its settings file, and writes the logs that are owed."""

    def second(now: float) -> None:
        ring.tick()
        reload.look()

    return Ticker(loop, CHECK_INTERVAL_S, second)


def seed_addresses(settings: Settings) -> tuple[Address, ...]:
    """The own ports of the seeds' controllers."""
    return tuple(settings.controller_at(seed) for seed in settings.network.seeds)


def differences(former: Any, later: Any, place: str = "") -> list[str]:
    """Dotted names of the fields in which two settings differ."""
    if not hasattr(former, "_fields"):
        return [] if former == later else [place]
    found = []
    for name in former._fields:
        dotted = ("self" if name == "own" else name).replace("_", "-")
        found += differences(getattr(former, name), getattr(later, name), f"{place}.{dotted}".lstrip("."))
    return found
