"""Reload of the settings file of a running program: polled every second, and on SIGHUP."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from result import Err

from gateway.runtime.log_ring import LogRing
from gateway.runtime.settings import Settings, SettingsFile
from gateway.runtime.ticker import Ticker
from gateway.state_machine import Address

CHECK_INTERVAL_S = 1.0
RELOADABLE = ("network.seeds",)
"""Fields that are applied while running; all others are applied at the next start."""

log = logging.getLogger("gateway.settings_reload")


class Reload:
    """Applies changed seeds by calling `seeds` with the addresses of their controllers.

    Other changes are logged, because they are applied at the next start. A file with faults changes nothing.
    """

    def __init__(
        self, settings: Settings, file: SettingsFile, seeds: Callable[[tuple[Address, ...]], object]
    ) -> None:
        self.settings = settings
        self.file = file
        self.seeds = seeds

    def check_file(self) -> None:
        """Read the file if it has changed since the last check."""
        if self.file.changed():
            self.read()

    def read(self) -> None:
        """Read the file and apply its changes; called on SIGHUP."""
        found = self.file.read()
        if isinstance(found, Err):
            for fault in found.err_value:
                log.warning("settings stay as they are: %s", fault)
            return
        previous = self.settings
        self.settings = found.ok_value
        changes = differences(previous, self.settings)
        if waiting := [name for name in changes if name not in RELOADABLE]:
            log.info("changed settings that need a restart: %s", ", ".join(waiting))
        if "network.seeds" in changes:
            log.info("seeds are now %s", ", ".join(self.settings.network.seeds))
            self.seeds(seed_addresses(self.settings))


def start_maintenance(loop: asyncio.AbstractEventLoop, reload: Reload, ring: LogRing) -> Ticker:
    """Start the maintenance that runs every second: checking the settings file, and writing pending logs."""

    def maintain(now: float) -> None:
        """Write pending logs, and check the settings file."""
        ring.tick()
        reload.check_file()

    return Ticker(loop, CHECK_INTERVAL_S, maintain)


def seed_addresses(settings: Settings) -> tuple[Address, ...]:
    """Addresses of the seeds' controllers for messages between processes."""
    return tuple(settings.controller_at(seed) for seed in settings.network.seeds)


def differences(former: object, later: object, place: str = "") -> list[str]:
    """Dotted names of the fields in which two settings differ; `place` is the prefix of the names."""
    names: tuple[str, ...] | None = getattr(former, "_fields", None)
    if names is None:
        return [] if former == later else [place]
    found = []
    for name in names:
        dotted = ("self" if name == "own" else name).replace("_", "-")
        found += differences(getattr(former, name), getattr(later, name), f"{place}.{dotted}".lstrip("."))
    return found
