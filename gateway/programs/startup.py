"""Code shared by both programs: reading settings at startup, plane numbers, signals, and exit codes."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
from collections.abc import Awaitable, Callable

import uvloop
from result import Err

from gateway.consensus import consensus_pb2
from gateway.membership import membership_pb2
from gateway.programs.quota_report import QUOTA_LOGGER
from gateway.runtime import settings as files
from gateway.runtime.log_ring import LogRing
from gateway.runtime.settings import Settings, SettingsFile

CONSENSUS = 1
MEMBERSHIP = 2
QUOTA = 3
"""Numbers of the planes in messages."""

COUNTS = "--counts"
"""Option to write quota records immediately, for `python -m simulation allowance`."""

log = logging.getLogger("gateway.startup")


def consensus_slot(message: consensus_pb2.Message) -> int | None:
    """Queue slot of a message: an entry is the complete state, so a later one replaces an earlier one."""
    return consensus_pb2.APPEND_ENTRIES if message.kind == consensus_pb2.APPEND_ENTRIES else None


def membership_slot(message: membership_pb2.Message) -> tuple[str, int] | None:
    """Queue slot of a message: later replies include earlier ones, and only the newest value counts."""
    match message.WhichOneof("kind"):
        case "value":
            return "value", message.value.kind
        case "follow_reply":
            return "follow_reply", 0
    return None


def zone_numbers(settings: Settings) -> dict[str, int]:
    """The index of each zone among all zones in order of their names, which is the same on every machine."""
    return {zone: number for number, zone in enumerate(sorted(settings.network.zones))}


def zone_number(settings: Settings) -> int:
    """The index of this process's zone; 0 if unknown."""
    return zone_numbers(settings).get(settings.own.zone, 0)


def stop_on_signal(loop: asyncio.AbstractEventLoop, reload: Callable[[], None]) -> asyncio.Event:
    """Create an event that SIGTERM or SIGINT sets; SIGHUP calls `reload`."""
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload)
    return stop


def run(program: str, serve: Callable[[Settings, LogRing, SettingsFile], Awaitable[None]]) -> int:
    """Run a program with the settings file named by the environment; returns the exit code.

    Faults in the file and addresses that can't be bound are printed to standard error, with exit code 2.
    """
    file = files.SettingsFile(os.environ)
    found = file.read()
    if isinstance(found, Err):
        for fault in found.err_value:
            print(f"{program}: {fault}", file=sys.stderr)
        return 2
    ring = LogRing.install(immediate_logger=QUOTA_LOGGER if COUNTS in sys.argv else "")
    log.info("%s begins", program)  # marks the start of a process in the ring
    gc.freeze()  # objects created at startup are never collected
    try:
        uvloop.run(serve(found.ok_value, ring, file))  # type: ignore[arg-type]
    except OSError as error:
        print(f"{program}: {error}", file=sys.stderr)
        return 2
    finally:
        ring.flush()
    return 0
