"""Messages between our own processes: short ones as datagrams, long ones over TCP links to the same port.

    port = PeerTransport(loop, "10.1.0.5:7660", {1: Plane(1, Message, on_message)})
    await port.open()
    port.send("10.2.0.3:7661", 1, Message(...))    # may be lost, delayed or duplicated

A message on the wire is one byte (version in the upper 3 bits, plane in the lower 5) and the serialised
protobuf. On a link each message is preceded by its length in 4 bytes, big endian; the first one is the
address of the process that opened the link.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Hashable, Mapping
from typing import Any, NamedTuple, Protocol

from gateway.runtime.address import host_port
from gateway.runtime.tcp_links import MAX_QUEUED_BYTES, InboundLink, TcpLinks, try_option
from gateway.runtime.ticker import Ticker
from gateway.state_machine import Address

VERSION = 1
VERSION_SHIFT = 5  # number of bits below the version in the first byte
PLANE_MASK = (1 << VERSION_SHIFT) - 1  # these bits contain the number of the plane
MAX_DATAGRAM_BYTES = 1150  # including the first byte; longer messages use TCP
MAX_READS_PER_WAKEUP = 32  # datagrams read before other events are handled
SOCKET_BYTES = 1 << 19  # receive buffer of the UDP socket
SWEEP_INTERVAL_S = 2.0  # interval of checks for idle links
MAX_CACHED_ADDRESSES = 1024  # number of cached parsed addresses

log = logging.getLogger("gateway.peer_transport")


class Message(Protocol):
    """The methods of a protobuf message that are used here."""

    def SerializeToString(self) -> bytes:  # noqa: N802
        """Serialize the message."""

    def ParseFromString(self, serialized: bytes) -> object:  # noqa: N802
        """Parse the message from bytes."""


class Plane(NamedTuple):
    """A plane: its number (0 to 31), the class of its messages, and the function that receives them.

    `slot` maps a message to a key: a later message in the same slot replaces an earlier one that is still
    queued for the same link. With None, the message is never replaced.
    """

    number: int
    message_class: Callable[[], Message]
    on_message: Callable[[Address, Any], object]
    slot: Callable[[Any], Hashable] = lambda _: None


class PlaneCounters:
    """Messages and bytes of one plane that were received and sent since the start."""

    __slots__ = ("bytes_in", "bytes_out", "messages_in", "messages_out")

    def __init__(self) -> None:
        self.messages_in = 0
        self.bytes_in = 0
        self.messages_out = 0
        self.bytes_out = 0


class PeerTransport:
    """The UDP and TCP port of a process. Only `open` raises an exception: OSError if the port can't be bound.

    `counts` is indexed by plane; `dropped` counts messages that couldn't be read or sent, by reason.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, address: Address, handlers: Mapping[int, Plane]
    ) -> None:
        self.loop = loop
        self.address = address
        self.handlers = dict(handlers)
        self.counts = {number: PlaneCounters() for number in self.handlers}
        self.dropped: dict[str, int] = {}
        self.links = TcpLinks(loop, address, self._drop)
        self.resolved: dict[Address, tuple[str, int]] = {}
        self.sender_names: dict[tuple[str, int], Address] = {}
        self.socket: socket.socket | None = None
        self.server: asyncio.Server | None = None
        self.sweeper: Ticker | None = None

    async def open(self) -> None:
        """Bind the port and start to receive messages."""
        host, port = host_port(self.address)
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            udp.setblocking(False)
            try_option(udp, socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BYTES)
            udp.bind((host, port))
            self.server = await self.loop.create_server(self._accept_link, host, port)
        except BaseException:
            udp.close()
            raise
        self.socket = udp
        self.loop.add_reader(udp.fileno(), self._read_datagrams)
        self.sweeper = Ticker(self.loop, SWEEP_INTERVAL_S, lambda now: self.links.sweep())

    def close(self) -> None:
        """Stop receiving and sending. Messages queued for links are lost."""
        if self.socket is not None and self.server is not None and self.sweeper is not None:
            self.loop.remove_reader(self.socket.fileno())
            self.socket.close()
            self.server.close()
            self.sweeper.stop()
            self.links.close()
            self.socket = None

    def send(self, to: Address, plane: int, message: Message) -> None:
        """Send a message to another process, or drop it and count that in `dropped`."""
        count = self.counts.get(plane)
        if count is None:
            count = self.counts[plane] = PlaneCounters()
        data = bytes((VERSION << VERSION_SHIFT | plane,)) + message.SerializeToString()
        count.messages_out += 1
        count.bytes_out += len(data)
        if self.socket is None:
            self._drop("port is closed")
            return
        target = self.resolved.get(to)
        if target is None:
            target = self._resolve(to)
            if target is None:
                self._drop("no address")
                return
        if len(data) > MAX_DATAGRAM_BYTES:
            handler = self.handlers.get(plane)
            slot = None if handler is None else handler.slot(message)
            self.links.send(to, target, data, None if slot is None else (plane, slot))
            return
        try:
            self.socket.sendto(data, target)
        except OSError:
            self._drop("socket is full")

    def _resolve(self, to: Address) -> tuple[str, int] | None:
        try:
            target = host_port(to)
        except ValueError:
            return None
        if len(self.resolved) >= MAX_CACHED_ADDRESSES:
            self.resolved.clear()
        self.resolved[to] = target
        return target

    def _drop(self, reason: str) -> None:
        self.dropped[reason] = self.dropped.get(reason, 0) + 1

    def _accept_link(self) -> InboundLink:
        return InboundLink(self.links, self._on_data, self._drop)

    def _read_datagrams(self) -> None:
        for _ in range(MAX_READS_PER_WAKEUP):
            if self.socket is None:  # a message handler has closed the port
                return
            try:
                data, source = self.socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:  # nothing left to read, or an ICMP error caused by an earlier datagram
                return
            name = self.sender_names.get(source)
            if name is None:
                if len(self.sender_names) >= MAX_CACHED_ADDRESSES:
                    self.sender_names.clear()
                name = self.sender_names[source] = f"{source[0]}:{source[1]}"
            self._on_data(name, data)

    def _on_data(self, sender: Address, data: bytes) -> None:
        plane = self.handlers.get(data[0] & PLANE_MASK) if data else None
        if plane is None:
            self._drop("unknown plane")
            return
        if data[0] >> VERSION_SHIFT != VERSION:
            self._drop("unknown version")
            return
        count = self.counts[plane.number]
        count.messages_in += 1
        count.bytes_in += len(data)
        message = plane.message_class()
        try:
            message.ParseFromString(data[1:])
        except Exception:
            self._drop("unreadable")
            return
        try:
            plane.on_message(sender, message)
        except Exception:
            log.exception("handling a message of plane %s from %s failed", plane.number, sender)


__all__ = ["MAX_DATAGRAM_BYTES", "MAX_QUEUED_BYTES", "Message", "PeerTransport", "Plane", "PlaneCounters"]
