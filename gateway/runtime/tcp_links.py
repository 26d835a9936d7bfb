"""Kept TCP links that carry the longer messages between own processes, each in one direction.

A link is opened when there is something to send, and closed by its opener after 10 s without. What waits for
it is bounded; the oldest is dropped first. A later message of one slot takes the place of an earlier one that
waits: over a way that is slower than they are made, the newest comes, not each. Whoever sends asks again, so
nothing is sent anew here.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable, Hashable
from typing import cast

from gateway.runtime.address import host_port
from gateway.state_machine import Address

CONNECT_TIMEOUT_S = 1.0  # to come up
OUTBOUND_IDLE_S = 10.0  # without a message, until the opener closes
INBOUND_IDLE_S = 30.0  # without a byte, until the other side closes
MAX_QUEUED_BYTES = 4 << 20  # that wait for one link, and of one message
MAX_OUTBOUND_LINKS = 64  # outward, at most
MAX_INBOUND_LINKS = 256  # inward, at most
MAX_ADDRESS_BYTES = 64
OPTIONS = (
    (socket.IPPROTO_TCP, "TCP_NODELAY", 1),
    (socket.IPPROTO_TCP, "TCP_USER_TIMEOUT", 1500),  # ms
    (socket.SOL_SOCKET, "SO_KEEPALIVE", 1),
    (socket.IPPROTO_TCP, "TCP_KEEPIDLE", 1),  # s
    (socket.IPPROTO_TCP, "TCP_KEEPINTVL", 1),  # s
    (socket.IPPROTO_TCP, "TCP_KEEPCNT", 2),
)


class OutboundLink(asyncio.Protocol):
    """A link to another process: waits for the connection, then for the other side to read."""

    def __init__(self, links: TcpLinks, to: Address) -> None:
        self.links, self.to = links, to
        self.waiting: deque[tuple[Hashable, bytes]] = deque()
        self.bytes = 0
        self.transport: asyncio.Transport | None = None
        self.paused = True
        self.used = links.loop.time()

    def send(self, data: bytes, slot: Hashable = None) -> None:
        self.used = self.links.loop.time()
        if not self.paused and self.transport is not None:
            return self.transport.write(_frame(data))
        if slot is not None:
            for waits in [w for w in self.waiting if w[0] == slot]:
                self.waiting.remove(waits)
                self.bytes -= len(waits[1])
        self.waiting.append((slot, data))
        self.bytes += len(data)
        while self.bytes > MAX_QUEUED_BYTES:
            self.bytes -= len(self.waiting.popleft()[1])
            self.links.lost("link is full")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is of no common class
        set_options(transport)
        self.transport.write(_frame(self.links.address.encode()))
        self.resume_writing()

    def pause_writing(self) -> None:
        self.paused = True

    def resume_writing(self) -> None:
        self.paused = False
        while self.waiting and not self.paused and self.transport is not None:
            _, data = self.waiting.popleft()
            self.bytes -= len(data)
            self.transport.write(_frame(data))

    def connection_lost(self, error: Exception | None) -> None:
        self.links.gone(self)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class InboundLink(asyncio.Protocol):
    """A link that another process has opened. Whatever makes no sense closes it."""

    def __init__(
        self, links: TcpLinks, take: Callable[[Address, bytes], None], lost: Callable[[str], None]
    ) -> None:
        self.links, self.take, self.lost = links, take, lost
        self.sender: Address | None = None
        self.buffer = bytearray()
        self.transport: asyncio.Transport | None = None
        self.used = links.loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        set_options(transport)
        self.links.inbound.add(self)
        if len(self.links.inbound) > MAX_INBOUND_LINKS:
            self._drop("too many links")

    def data_received(self, data: bytes) -> None:
        self.used = self.links.loop.time()
        self.buffer += data
        start, have = 0, len(self.buffer)
        while self.transport is not None and have - start >= 4:
            length = int.from_bytes(self.buffer[start : start + 4], "big")
            if length > (MAX_QUEUED_BYTES if self.sender is not None else MAX_ADDRESS_BYTES):
                return self._drop("too long")
            if have - start - 4 < length:
                break
            frame = bytes(self.buffer[start + 4 : start + 4 + length])
            start += 4 + length
            self._frame(frame)
        if start:
            del self.buffer[:start]

    def _frame(self, frame: bytes) -> None:
        if self.sender is not None:
            return self.take(self.sender, frame)
        try:
            address = frame.decode("ascii")
            host_port(address)
        except ValueError:
            return self._drop("no address")
        self.sender = address

    def _drop(self, why: str) -> None:
        self.lost(why)
        self.close()

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self.links.inbound.discard(self)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()
            self.transport = None


class TcpLinks:
    """All links of one process."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, address: Address, lost: Callable[[str], None]
    ) -> None:
        self.loop, self.address, self.lost = loop, address, lost
        self.outbound: dict[Address, OutboundLink] = {}
        self.inbound: set[InboundLink] = set()
        self.opening: set[asyncio.Task[None]] = set()

    def send(self, to: Address, target: tuple[str, int], data: bytes, slot: Hashable = None) -> None:
        """Send over the link to a process, which is opened if need be. None: no other takes its place."""
        if len(data) > MAX_QUEUED_BYTES:
            return self.lost("too long")
        link = self.outbound.get(to)
        if link is None:
            if len(self.outbound) >= MAX_OUTBOUND_LINKS:
                return self.lost("too many links")
            link = self.outbound[to] = OutboundLink(self, to)
            task = self.loop.create_task(self._open(link, target))
            self.opening.add(task)
            task.add_done_callback(self.opening.discard)
        link.send(data, slot)

    async def _open(self, link: OutboundLink, target: tuple[str, int]) -> None:
        try:
            await asyncio.wait_for(self.loop.create_connection(lambda: link, *target), CONNECT_TIMEOUT_S)
        except OSError:
            self.lost("no connection")
            self.gone(link)
            link.close()

    def gone(self, link: OutboundLink) -> None:
        """A link has ended; the next message opens another."""
        if self.outbound.get(link.to) is link:
            del self.outbound[link.to]
        for _ in link.waiting:
            self.lost("link is gone")
        link.waiting.clear()

    def sweep(self) -> None:
        """Close what is idle."""
        now = self.loop.time()
        for link in [x for x in self.outbound.values() if now - x.used > OUTBOUND_IDLE_S]:
            self.gone(link)
            link.close()
        for inbound_link in [x for x in self.inbound if now - x.used > INBOUND_IDLE_S]:
            inbound_link.close()

    def close(self) -> None:
        """End all links at once."""
        for task in self.opening:
            task.cancel()
        for link in self.outbound.values():
            link.close()
        for inbound_link in list(self.inbound):
            inbound_link.close()
        self.outbound.clear()
        self.inbound.clear()


def set_options(transport: asyncio.BaseTransport) -> None:
    """Make a dead far side show within seconds; what the system can't do is left out."""
    sock = transport.get_extra_info("socket")
    for level, name, value in OPTIONS:
        if sock is not None and hasattr(socket, name):
            try_option(sock, level, getattr(socket, name), value)


def try_option(sock: socket.socket, level: int, option: int, value: int) -> None:
    """Set a socket's option, or leave it."""
    try:
        sock.setsockopt(level, option, value)
    except OSError:
        pass


def _frame(data: bytes) -> bytes:
    return len(data).to_bytes(4, "big") + data
