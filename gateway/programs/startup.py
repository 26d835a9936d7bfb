"""What both programs share: settings at the start, their own port, signals, and the end."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import uvloop
from result import Err

from gateway.consensus import consensus_pb2
from gateway.programs.quota_report import QUOTA_LOGGER
from gateway.runtime import settings as files
from gateway.runtime.log_ring import LogRing
from gateway.runtime.settings import Settings, SettingsFile

CONSENSUS, MEMBERSHIP, QUOTA = 1, 2, 3
"""Planes' numbers on the wire."""

COUNTS = "--counts"
"""The option with which a program writes its lines of counts at once, for a day's report."""

log = logging.getLogger("gateway.startup")


def consensus_slot(note: Any) -> int | None:
    """An entry is the whole state, so a later one will do."""
    return consensus_pb2.APPEND_ENTRIES if note.kind == consensus_pb2.APPEND_ENTRIES else None


def membership_slot(note: Any) -> tuple[str, int] | None:
    """A later answer builds on a place that is confirmed, and a value is the newest of its kind."""
    kind = note.WhichOneof("kind")
    return (kind, note.value.kind) if kind == "value" else (kind, 0) if kind == "answer" else None


def zone_number(settings: Settings) -> int:
    """A zone's place among all zones, the same on every machine."""
    zones = sorted(settings.network.zones)
    return zones.index(settings.own.zone) if settings.own.zone in zones else 0


def stop_on_signal(loop: asyncio.AbstractEventLoop, reload: Callable[[], None]) -> asyncio.Event:
    """Set by SIGTERM or SIGINT; SIGHUP calls `reload`."""
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload)
    return stop


def run(program: str, serve: Callable[[Settings, LogRing, SettingsFile], Awaitable[None]]) -> int:
    """Run a program by its settings file; faults of that are told with their places, and the code is 2."""
    file = files.SettingsFile(os.environ)
    found = file.read()
    if isinstance(found, Err):
        for fault in found.err_value:
            print(f"{program}: {fault}", file=sys.stderr)
        return 2
    ring = LogRing.install(immediate_logger=QUOTA_LOGGER if COUNTS in sys.argv else "")
    log.info("%s begins", program)  # so that the ring tells a new life from a long silence
    gc.freeze()  # what start-up made is never garbage
    try:
        uvloop.run(serve(found.ok_value, ring, file))  # type: ignore[arg-type]
    except OSError as error:
        print(f"{program}: {error}", file=sys.stderr)
        return 2
    finally:
        ring.flush()
    return 0
