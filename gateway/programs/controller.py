"""The controller program: consensus on the configuration, backends under lease, and quota shards."""

from __future__ import annotations

import asyncio
import os
import random

from google.protobuf.message import Message

from gateway.consensus import events as consensus_events
from gateway.consensus.consensus_pb2 import Message as ConsensusMessage
from gateway.consensus.entry import PersistentState
from gateway.consensus.store import Store
from gateway.membership.membership_pb2 import Message as MembershipMessage
from gateway.programs import startup
from gateway.programs.controller_node import ControllerNode
from gateway.programs.settings_reload import Reload, start_maintenance
from gateway.programs.startup import CONSENSUS, MEMBERSHIP, QUOTA
from gateway.quota.quota_pb2 import Message as QuotaMessage
from gateway.runtime.clock import PROCESS_START, steady
from gateway.runtime.disk_thread import DiskThread
from gateway.runtime.http_listener import HttpListener
from gateway.runtime.log_ring import LogRing
from gateway.runtime.peer_transport import PeerTransport, Plane
from gateway.runtime.settings import Settings, SettingsFile
from gateway.runtime.ticker import Ticker
from gateway.state_machine import Address

TICK_S = 0.025


class ControllerServer:
    """Connects the state machines of a `ControllerNode` to the disk and to the network."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, settings: Settings, store: Store, rng: random.Random
    ) -> None:
        self.controller_node = ControllerNode(self, steady, settings, store.load(), rng, PROCESS_START)
        self.disk: DiskThread[PersistentState] = DiskThread(
            loop, store.save, self.controller_node.written, self.controller_node.write_failed
        )
        self.port = PeerTransport(
            loop,
            self.controller_node.me,
            {
                CONSENSUS: Plane(
                    CONSENSUS,
                    ConsensusMessage,
                    self.controller_node.on_consensus_message,
                    startup.consensus_slot,
                ),
                MEMBERSHIP: Plane(
                    MEMBERSHIP,
                    MembershipMessage,
                    self.controller_node.on_membership_message,
                    startup.membership_slot,
                ),
                QUOTA: Plane(QUOTA, QuotaMessage, self.controller_node.on_quota_message),
            },
        )

    def send(self, to: Address, plane: int, message: Message) -> None:
        """Send a message of a plane to another process, or drop it."""
        self.port.send(to, plane, message)

    def write(self, token: int, record: PersistentState) -> None:
        """Save a record on the disk thread."""
        self.disk.write(token, record)

    def tick(self, now: float) -> None:
        """Advance the timers, and check whether the disk is stalled."""
        self.controller_node.tick(now)
        self.disk.check_stall(now)


async def serve(settings: Settings, ring: LogRing, file: SettingsFile) -> None:
    """Serve until a stop signal, then transfer leadership and leave the consensus group."""
    loop = asyncio.get_running_loop()
    rng = random.Random(int.from_bytes(os.urandom(8)))
    store = Store(os.path.join(settings.own.data_dir or "/tmp", "register"))
    controller = ControllerServer(loop, settings, store, rng)
    controller_node = controller.controller_node
    await controller.port.open()
    reload = Reload(settings, file, controller_node.set_seeds)
    stop = startup.stop_on_signal(loop, reload.read)
    maintenance = start_maintenance(loop, reload, ring)
    ticker = Ticker(loop, TICK_S, controller.tick)
    http_listener = HttpListener(loop, controller_node.answer)
    if settings.network.listen.control is not None:
        await http_listener.listen(settings.network.listen.control)
    await stop.wait()
    controller_node.handle_consensus(consensus_events.Leave())
    deadline = steady() + 0.5 * settings.terms.bounds.grace_s
    while steady() < deadline and not controller_node.raft.has_left:
        await asyncio.sleep(0.05)
    ticker.stop()
    maintenance.stop()
    http_listener.close()
    await asyncio.sleep(0.1)
    controller.port.close()
    controller.disk.stop(0.5)


def main() -> int:
    """Run the program; returns its exit code."""
    return startup.run("controller", serve)
