"""TCP links for long messages between our own processes; each link carries messages in one direction.

A link is opened when there is a message to send. Its opener closes it after 10 s without messages, or earlier
if a link to another process is needed: then the least recently used link that has passed all its messages to
the kernel is closed. The queue of a link is bounded, and the oldest message is dropped first. A later message
replaces an earlier queued one in the same slot, so that a slow link delivers the newest state instead of all
states. Nothing is retried here, because the state machines do that.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import Callable, Hashable
from typing import NamedTuple, cast

from gateway.runtime.address import host_port
from gateway.state_machine import Address

CONNECT_TIMEOUT_S = 1.0  # timeout for a connection attempt
OUTBOUND_IDLE_S = 10.0  # the opener closes a link after this time without a message
INBOUND_IDLE_S = 30.0  # the accepting side closes a link after this time without data
EVICTABLE_AFTER_S = 1.0  # an accepted link without data for this long may be closed in favour of a new one
MAX_QUEUED_BYTES = 4 << 20  # per link; also the maximum size of a message
MAX_OUTBOUND_LINKS = 64  # opened by this process
MAX_INBOUND_LINKS = 256  # opened by other processes
MAX_ADDRESS_BYTES = 64
LENGTH_BYTES = 4  # length prefix of each message, big endian
OPTIONS = (
    (socket.IPPROTO_TCP, "TCP_NODELAY", 1),
    (socket.IPPROTO_TCP, "TCP_USER_TIMEOUT", 1500),  # ms
    (socket.SOL_SOCKET, "SO_KEEPALIVE", 1),
    (socket.IPPROTO_TCP, "TCP_KEEPIDLE", 1),  # s
    (socket.IPPROTO_TCP, "TCP_KEEPINTVL", 1),  # s
    (socket.IPPROTO_TCP, "TCP_KEEPCNT", 2),
)


class QueuedMessage(NamedTuple):
    """A message that is queued for its link; a later one in the same slot (None: no slot) replaces it."""

    slot: Hashable
    data: bytes


class OutboundLink(asyncio.Protocol):
    """A link to another process. Messages are queued until it is connected, and while its buffer is full."""

    def __init__(self, links: TcpLinks, to: Address) -> None:
        self.links = links
        self.to = to
        self.queue: deque[QueuedMessage] = deque()
        self.queued_bytes = 0
        self.transport: asyncio.Transport | None = None
        self.paused = True
        self.last_used_at = links.loop.time()

    def send(self, data: bytes, slot: Hashable = None) -> None:
        """Write a message, or queue it until the link can accept it."""
        self.last_used_at = self.links.loop.time()
        if not self.paused and self.transport is not None:
            self.transport.write(_frame(data))
            return
        if slot is not None:
            for superseded in [queued for queued in self.queue if queued.slot == slot]:
                self.queue.remove(superseded)
                self.queued_bytes -= len(superseded.data)
        self.queue.append(QueuedMessage(slot, data))
        self.queued_bytes += len(data)
        while self.queued_bytes > MAX_QUEUED_BYTES:
            self.queued_bytes -= len(self.queue.popleft().data)
            self.links.on_drop("link is full")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the own address and then the queue over the new connection."""
        # uvloop's transports don't derive from asyncio.Transport
        self.transport = cast(asyncio.Transport, transport)
        set_options(transport)
        self.transport.write(_frame(self.links.address.encode()))
        self.resume_writing()

    def pause_writing(self) -> None:
        """Queue further messages, because the transport's buffer is full."""
        self.paused = True

    def resume_writing(self) -> None:
        """Write the queue, because the transport's buffer has space again."""
        self.paused = False
        while self.queue and not self.paused and self.transport is not None:
            queued = self.queue.popleft()
            self.queued_bytes -= len(queued.data)
            self.transport.write(_frame(queued.data))

    @property
    def has_delivered(self) -> bool:
        """Whether all messages were passed to the kernel."""
        return self.transport is not None and not self.queue and not self.transport.get_write_buffer_size()

    def connection_lost(self, error: Exception | None) -> None:
        """Remove the link after the end of its connection."""
        self.links.forget(self)

    def close(self) -> None:
        """Abort the connection."""
        if self.transport is not None:
            self.transport.abort()


class InboundLink(asyncio.Protocol):
    """A link that was opened by another process. Invalid framing closes it.

    `on_message` receives the sender's address and each message, `on_drop` the reason for each dropped
    message.
    """

    def __init__(
        self,
        links: TcpLinks,
        on_message: Callable[[Address, bytes], None],
        on_drop: Callable[[str], None],
    ) -> None:
        self.links = links
        self.on_message = on_message
        self.on_drop = on_drop
        self.sender: Address | None = None
        self.buffer = bytearray()
        self.transport: asyncio.Transport | None = None
        self.last_used_at = links.loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle an accepted connection. At the limit, an idle link is closed, or else this one."""
        self.transport = cast(asyncio.Transport, transport)
        set_options(transport)
        if not self.links.make_inbound_room():
            self._drop("too many links")
            return
        self.links.inbound.add(self)

    def data_received(self, data: bytes) -> None:
        """Split received data into frames and pass them on."""
        self.last_used_at = self.links.loop.time()
        self.buffer += data
        start = 0
        received = len(self.buffer)
        while self.transport is not None and received - start >= LENGTH_BYTES:
            length = int.from_bytes(self.buffer[start : start + LENGTH_BYTES], "big")
            if length > (MAX_QUEUED_BYTES if self.sender is not None else MAX_ADDRESS_BYTES):
                self._drop("too long")
                return
            if received - start - LENGTH_BYTES < length:
                break
            body_start = start + LENGTH_BYTES
            start = body_start + length
            self._on_frame(bytes(self.buffer[body_start:start]))
        if start:
            del self.buffer[:start]

    def _on_frame(self, frame: bytes) -> None:
        if self.sender is not None:
            self.on_message(self.sender, frame)
            return
        try:
            address = frame.decode("ascii")
            host_port(address)
        except ValueError:
            self._drop("no address")
            return
        self.sender = address

    def _drop(self, reason: str) -> None:
        self.on_drop(reason)
        self.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Remove the link after the end of its connection."""
        self.transport = None
        self.links.inbound.discard(self)

    def close(self) -> None:
        """Abort the connection."""
        if self.transport is not None:
            self.transport.abort()
            self.transport = None


class TcpLinks:
    """All links of one process, by the address of the other process."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, address: Address, on_drop: Callable[[str], None]
    ) -> None:
        self.loop = loop
        self.address = address
        self.on_drop = on_drop
        self.outbound: dict[Address, OutboundLink] = {}
        self.inbound: set[InboundLink] = set()
        self.opening: set[asyncio.Task[None]] = set()

    def send(self, to: Address, target: tuple[str, int], data: bytes, slot: Hashable = None) -> None:
        """Send a message over the link to a process, opening it if necessary; see `QueuedMessage`."""
        if len(data) > MAX_QUEUED_BYTES:
            self.on_drop("too long")
            return
        link = self.outbound.get(to)
        if link is None:
            if not self._make_outbound_room():
                self.on_drop("too many links")
                return
            link = self.outbound[to] = OutboundLink(self, to)
            task = self.loop.create_task(self._open(link, target))
            self.opening.add(task)
            task.add_done_callback(self.opening.discard)
        link.send(data, slot)

    def _make_outbound_room(self) -> bool:
        """Whether another link may be opened; at the limit, the least recently used idle one is closed."""
        if len(self.outbound) < MAX_OUTBOUND_LINKS:
            return True
        idle = [link for link in self.outbound.values() if link.has_delivered]
        if not idle:
            return False
        oldest = min(idle, key=lambda link: link.last_used_at)
        self.forget(oldest)
        oldest.close()
        return True

    def make_inbound_room(self) -> bool:
        """Whether another link may be accepted; at the limit, the least recently used idle one is closed."""
        if len(self.inbound) < MAX_INBOUND_LINKS:
            return True
        oldest = min(self.inbound, key=lambda link: link.last_used_at)
        if self.loop.time() - oldest.last_used_at < EVICTABLE_AFTER_S:
            return False
        self.inbound.discard(oldest)
        oldest.close()
        return True

    async def _open(self, link: OutboundLink, target: tuple[str, int]) -> None:
        try:
            await asyncio.wait_for(self.loop.create_connection(lambda: link, *target), CONNECT_TIMEOUT_S)
        except OSError:
            self.on_drop("no connection")
            self.forget(link)
            link.close()

    def forget(self, link: OutboundLink) -> None:
        """Remove a link and drop its queue; the next message opens another link."""
        if self.outbound.get(link.to) is link:
            del self.outbound[link.to]
        for _ in link.queue:
            self.on_drop("link is gone")
        link.queue.clear()

    def sweep(self) -> None:
        """Close idle links."""
        now = self.loop.time()
        for link in [x for x in self.outbound.values() if now - x.last_used_at > OUTBOUND_IDLE_S]:
            self.forget(link)
            link.close()
        for inbound_link in [x for x in self.inbound if now - x.last_used_at > INBOUND_IDLE_S]:
            inbound_link.close()

    def close(self) -> None:
        """Abort all links."""
        for task in self.opening:
            task.cancel()
        for link in self.outbound.values():
            link.close()
        for inbound_link in list(self.inbound):
            inbound_link.close()
        self.outbound.clear()
        self.inbound.clear()


def set_options(transport: asyncio.BaseTransport) -> None:
    """Set socket options that detect a dead peer within seconds; unsupported ones are skipped."""
    sock = transport.get_extra_info("socket")
    for level, name, value in OPTIONS:
        if sock is not None and hasattr(socket, name):
            try_option(sock, level, getattr(socket, name), value)


def try_option(sock: socket.socket, level: int, option: int, value: int) -> None:
    """Set a socket option; errors are ignored."""
    with contextlib.suppress(OSError):
        sock.setsockopt(level, option, value)


def _frame(data: bytes) -> bytes:
    return len(data).to_bytes(LENGTH_BYTES, "big") + data
