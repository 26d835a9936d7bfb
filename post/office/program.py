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

from post.office import settings as files
from post.office.counting import ALLOWANCE
from post.office.ring import Ring
from post.office.settings import Settings, SettingsFile
from post.register import register_pb2

REGISTER, ROUNDS, FRANKING = 1, 2, 3
"""Planes' numbers on the wire."""

COUNTS = "--counts"
"""The option with which a program writes its lines of counts at once, for a day's report."""

log = logging.getLogger("post.program")


def register_slot(note: Any) -> int | None:
    """An entry is the whole state, so a later one will do."""
    return register_pb2.APPEND if note.kind == register_pb2.APPEND else None


def rounds_slot(note: Any) -> tuple[str, int] | None:
    """A later answer builds on a place that is confirmed, and a value is the newest of its kind."""
    kind = note.WhichOneof("kind")
    return (kind, note.value.kind) if kind == "value" else (kind, 0) if kind == "answer" else None


def zone_number(settings: Settings) -> int:
    """A zone's place among all zones, the same on every machine."""
    zones = sorted(settings.network.zones)
    return zones.index(settings.own.zone) if settings.own.zone in zones else 0


def until_told(loop: asyncio.AbstractEventLoop, reload: Callable[[], None]) -> asyncio.Event:
    """Set by SIGTERM or SIGINT; SIGHUP calls `reload`."""
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload)
    return stop


def run(program: str, serve: Callable[[Settings, Ring, SettingsFile], Awaitable[None]]) -> int:
    """Run a program by its settings file; faults of that are told with their places, and the code is 2."""
    file = files.SettingsFile(os.environ)
    found = file.read()
    if isinstance(found, Err):
        for fault in found.err_value:
            print(f"{program}: {fault}", file=sys.stderr)
        return 2
    ring = Ring.install(aloud=ALLOWANCE if COUNTS in sys.argv else "")
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
