"""The control plane's program: the operator's word, the core, backends under lease, and who counts whom."""

from __future__ import annotations

import asyncio
import os
import random
from typing import Any

from post.franking.franking_pb2 import Note as FrankingNote
from post.machine import Address
from post.office import program
from post.office.clock import BEGAN, steady
from post.office.core import Post
from post.office.disk import DiskThread
from post.office.program import FRANKING, REGISTER, ROUNDS
from post.office.reload import Reload, upkeep
from post.office.ring import Ring
from post.office.settings import Settings, SettingsFile
from post.office.ticker import Ticker
from post.office.wicket import Wicket
from post.office.wire import Plane, Port
from post.register import api as register
from post.register.disk import Store
from post.register.records import Stored
from post.register.register_pb2 import Note as RegisterNote
from post.rounds.rounds_pb2 import Note as RoundsNote

TICK_S = 0.025


class Postmaster:
    """Connects a postmaster's machines to the disk and to the wire."""

    def __init__(self, loop: asyncio.AbstractEventLoop, settings: Settings, store: Store,
                 rng: random.Random) -> None:
        self.post = Post(self, steady, settings, store.load(), rng, BEGAN)
        self.disk = DiskThread(loop, store.save, self.post.written, self.post.write_failed)
        self.port = Port(loop, self.post.me, {
            REGISTER: Plane(REGISTER, RegisterNote, self.post.register_note, program.register_slot),
            ROUNDS: Plane(ROUNDS, RoundsNote, self.post.rounds_note, program.rounds_slot),
            FRANKING: Plane(FRANKING, FrankingNote, self.post.franking_note)})

    def send(self, to: Address, plane: int, message: Any) -> None:
        self.port.send(to, plane, message)

    def write(self, token: int, record: Stored) -> None:
        self.disk.write(token, record)

    def tick(self, now: float) -> None:
        self.post.tick(now)
        self.disk.look(now)


async def serve(settings: Settings, ring: Ring, file: SettingsFile) -> None:
    """Serve until told to stop; then hand over what this process leads or holds."""
    loop = asyncio.get_running_loop()
    rng = random.Random(int.from_bytes(os.urandom(8)))
    store = Store(os.path.join(settings.own.data_dir or "/tmp", "register"))
    postmaster = Postmaster(loop, settings, store, rng)
    post = postmaster.post
    await postmaster.port.open()
    reload = Reload(settings, file, post.seeds)
    stop = program.until_told(loop, reload.read)
    second = upkeep(loop, reload, ring)
    ticker = Ticker(loop, TICK_S, postmaster.tick)
    wicket = Wicket(loop, post.answer)
    if settings.network.listen.control is not None:
        await wicket.listen(settings.network.listen.control)
    await stop.wait()
    post.agree(register.Leave())
    left = steady() + 0.5 * settings.terms.bounds.grace_s
    while steady() < left and not post.agreement.left:
        await asyncio.sleep(0.05)
    ticker.stop()
    second.stop()
    wicket.close()
    await asyncio.sleep(0.1)
    postmaster.port.close()
    postmaster.disk.stop(0.5)


def main() -> int:
    """Run; the exit code."""
    return program.run("postmaster", serve)
