"""The proxy program: forwards clients' requests according to the configuration and backends it follows."""

from __future__ import annotations

import asyncio
import os
import random

from google.protobuf.message import Message

from gateway.membership import events as membership_events
from gateway.membership.membership_pb2 import Message as MembershipMessage
from gateway.programs import startup
from gateway.programs.proxy_node import CONNECT_TIMEOUT_S, ProxyNode
from gateway.programs.settings_reload import Reload, start_maintenance
from gateway.programs.startup import MEMBERSHIP, QUOTA
from gateway.quota.quota_pb2 import Message as QuotaMessage
from gateway.runtime.clock import steady
from gateway.runtime.http_call import HttpCall, Reply
from gateway.runtime.http_listener import HttpListener
from gateway.runtime.log_ring import LogRing
from gateway.runtime.peer_transport import PeerTransport, Plane
from gateway.runtime.settings import Settings, SettingsFile
from gateway.runtime.ticker import Ticker
from gateway.state_machine import Address
from ingress.net.connection_interfaces import Limits
from ingress.net.http_messages import read_address
from ingress.net.server import Server
from ingress.net.upstream import Upstream

TICK_S = 0.05
SILENT_S = 2.0  # TCP user timeout towards backends
BACKEND_IDLE_S = 10.0  # backends close connections that have been idle for this long
BODY_MEMORY_DIVISOR = 8  # all large bodies together may use this fraction of the memory
RESERVED_DESCRIPTORS = 300  # file descriptors not used for clients and backends


class ProxyServer:
    """Connects the state machines and the ingress of a `ProxyNode` to the network."""

    def __init__(self, loop: asyncio.AbstractEventLoop, settings: Settings, rng: random.Random) -> None:
        max_connections = max(32, (settings.own.limits.max_fds - RESERVED_DESCRIPTORS) // 2)
        self.upstream = Upstream(loop, CONNECT_TIMEOUT_S, BACKEND_IDLE_S, max_connections, SILENT_S)
        self.proxy_node = ProxyNode(self, loop, steady, settings, self.upstream, rng)
        memory = int(1e6 * settings.own.limits.memory_mb)
        self.server = Server(loop, self.proxy_node.ingress, max_connections, memory // BODY_MEMORY_DIVISOR)
        self.port = PeerTransport(
            loop,
            self.proxy_node.me,
            {
                MEMBERSHIP: Plane(
                    MEMBERSHIP,
                    MembershipMessage,
                    self.proxy_node.on_membership_message,
                    startup.membership_slot,
                ),
                QUOTA: Plane(QUOTA, QuotaMessage, self.proxy_node.on_quota_message),
            },
        )

    def send(self, to: Address, plane: int, message: Message) -> None:
        """Send a message of a plane to another process, or drop it."""
        self.port.send(to, plane, message)

    def limit(self, limits: Limits) -> None:
        """Apply these limits to clients from now on."""
        self.server.limits = limits

    def limits(self) -> Limits:
        """The limits on clients in force."""
        return self.server.limits

    def ready(self, http_call: HttpCall, reply: Reply) -> None:
        """Answer readiness checks, and calls for status and metrics."""
        if not self.proxy_node.drift_monitor.answer(http_call, reply, self.proxy_node.client_report):
            reply(200 if self.proxy_node.ready() else 503, b"", b"")


async def serve(settings: Settings, ring: LogRing, file: SettingsFile) -> None:
    """Serve until a stop signal, then drain: finish open requests and exit."""
    loop = asyncio.get_running_loop()
    proxy = ProxyServer(loop, settings, random.Random(int.from_bytes(os.urandom(8))))
    await proxy.port.open()
    reload = Reload(settings, file, proxy.proxy_node.set_seeds)
    stop = startup.stop_on_signal(loop, reload.read)
    maintenance = start_maintenance(loop, reload, ring)
    ticker = Ticker(
        loop,
        TICK_S,
        lambda now: proxy.proxy_node.handle_membership(membership_events.Tick()),
        first_after_s=0.0,
    )
    http_listener = HttpListener(loop, proxy.ready)
    listen = settings.network.listen
    if listen.ready is not None:
        await http_listener.listen(listen.ready)
    if listen.front is not None:
        await proxy.server.listen(*read_address(listen.front))
    await stop.wait()
    proxy.proxy_node.leaving = True
    await proxy.server.leave()
    await proxy.proxy_node.leave_quota()
    ticker.stop()
    proxy.proxy_node.client_report.report(steady())
    maintenance.stop()
    http_listener.close()
    proxy.upstream.close()
    proxy.port.close()


def main() -> int:
    """Run the program; returns its exit code."""
    return startup.run("proxy", serve)
