"""Processor time of a datagram's system calls and event loop, which the simulated fleet doesn't include."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator
from time import process_time
from typing import Any

import uvloop

from simulation.capacity.samples import Sample

STUDY = "sockets"
AXIS = "bytes of a datagram"
SIZES = (40, 200, 1000)
DATAGRAMS = 20_000
QUICK_DATAGRAMS = 1_000
REPETITIONS = 5
LOOPBACK = "127.0.0.1"


def settings(quick: bool) -> dict[str, Any]:
    """Return the description of the run that a recording contains."""
    return {"datagrams": QUICK_DATAGRAMS if quick else DATAGRAMS, "repetitions": REPETITIONS}


def measure(quick: bool) -> Iterator[list[Sample]]:
    """Yield the processor time of sending, waking up for and reading a datagram, by its size."""
    for size in SIZES:
        seconds = [asyncio_run(size, QUICK_DATAGRAMS if quick else DATAGRAMS) for _ in range(REPETITIONS)]
        yield [Sample(AXIS, size, "processor time of a datagram, sent and received", "s", tuple(seconds))]


def asyncio_run(size: int, datagrams: int) -> float:
    """Return the processor time in seconds per datagram sent back and forth between two sockets."""
    return uvloop.run(_ping_pong(size, datagrams))


async def _ping_pong(size: int, datagrams: int) -> float:
    loop = asyncio.get_running_loop()
    done = loop.create_future()
    left = datagrams
    ends = [_bound(), _bound()]
    data = bytes(size)

    def readable(own: socket.socket, other: socket.socket) -> None:
        nonlocal left
        own.recvfrom(size + 1)
        left -= 1
        if left > 0:
            own.sendto(data, other.getsockname())
        elif not done.done():
            done.set_result(None)

    for own, other in (ends, ends[::-1]):
        loop.add_reader(own.fileno(), readable, own, other)
    began = process_time()
    ends[0].sendto(data, ends[1].getsockname())
    await done
    spent = process_time() - began
    for end in ends:
        loop.remove_reader(end.fileno())
        end.close()
    return spent / datagrams


def _bound() -> socket.socket:
    found = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    found.setblocking(False)
    found.bind((LOOPBACK, 0))
    return found
