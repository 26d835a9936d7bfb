"""The traffic plane's program: clients' requests, by what the core tells of routes and backends."""

from __future__ import annotations

import asyncio
import os
import random
from typing import Any

from post.franking.franking_pb2 import Note as FrankingNote
from post.machine import Address
from post.office import program
from post.office.clock import steady
from post.office.hall import CONNECT_S, Hall
from post.office.program import FRANKING, ROUNDS
from post.office.reload import Reload, upkeep
from post.office.ring import Ring
from post.office.settings import Settings, SettingsFile
from post.office.ticker import Ticker
from post.office.wicket import Asked, Reply, Wicket
from post.office.wire import Plane, Port
from post.rounds import messages as rounds
from post.rounds.rounds_pb2 import Note as RoundsNote
from roadspur.net.door import Limits
from roadspur.net.server import Server
from roadspur.net.upstream import Upstream
from roadspur.net.wire import read_address

TICK_S = 0.05
SILENT_S = 2.0  # of a far end that acknowledges nothing
BACKEND_IDLE_S = 10.0  # after which backends close idle connections
BODIES_SHARE = 8  # of the memory, the part that larger bodies may take together
SPARE = 300  # descriptors that are neither clients' nor backends'


class Sorter:
    """Connects a sorter's machines and its ingress to the wire."""

    def __init__(self, loop: asyncio.AbstractEventLoop, settings: Settings, rng: random.Random) -> None:
        half = max(32, (settings.own.limits.max_fds - SPARE) // 2)
        self.upstream = Upstream(loop, CONNECT_S, BACKEND_IDLE_S, half, SILENT_S)
        self.hall = Hall(self, loop, steady, settings, self.upstream, rng)
        memory = int(1e6 * settings.own.limits.memory_mb)
        self.server = Server(loop, self.hall.ingress, half, memory // BODIES_SHARE)
        self.port = Port(loop, self.hall.me, {
            ROUNDS: Plane(ROUNDS, RoundsNote, self.hall.rounds_note, program.rounds_slot),
            FRANKING: Plane(FRANKING, FrankingNote, self.hall.franking_note)})

    def send(self, to: Address, plane: int, message: Any) -> None:
        self.port.send(to, plane, message)

    def limit(self, limits: Limits) -> None:
        self.server.limits = limits

    def limits(self) -> Limits:
        return self.server.limits

    def ready(self, asked: Asked, reply: Reply) -> None:
        """Answer the platform, and whoever asks what runs here."""
        if not self.hall.watching.answer(asked, reply, self.hall.charging):
            reply(200 if self.hall.ready() else 503, b"", b"")


async def serve(settings: Settings, ring: Ring, file: SettingsFile) -> None:
    """Serve until told to stop, then leave in order."""
    loop = asyncio.get_running_loop()
    sorter = Sorter(loop, settings, random.Random(int.from_bytes(os.urandom(8))))
    await sorter.port.open()
    reload = Reload(settings, file, sorter.hall.seeds)
    stop = program.until_told(loop, reload.read)
    second = upkeep(loop, reload, ring)
    ticker = Ticker(loop, TICK_S, lambda now: sorter.hall.turn(rounds.Tick()), first=0.0)
    wicket = Wicket(loop, sorter.ready)
    listen = settings.network.listen
    if listen.ready is not None:
        await wicket.listen(listen.ready)
    if listen.front is not None:
        await sorter.server.listen(*read_address(listen.front))
    await stop.wait()
    sorter.hall.leaving = True
    await sorter.server.leave()
    ticker.stop()
    sorter.hall.charging.tell(steady())
    second.stop()
    wicket.close()
    sorter.upstream.close()
    sorter.port.close()


def main() -> int:
    """Run; the exit code."""
    return program.run("sorter", serve)
