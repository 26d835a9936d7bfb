"""Messages between own processes: small ones as datagrams, others over kept TCP links to the same port.

    port = Port(loop, "10.1.0.5:7660", {1: Plane(1, Note, on_note)})
    await port.open()
    port.send("10.2.0.3:7661", 1, Note(...))    # may be lost, come late, or come twice

A message on the wire is one byte (version in the upper 3 bits, plane in the lower 5) and the serialised
protobuf. On a link each message follows its length in 4 bytes; the first one is the opener's own address.
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
MAX_DATAGRAM_BYTES = 1150  # the longest message that goes as a datagram, its first byte counted
MAX_READS_PER_WAKEUP = 32  # datagrams that are read before others get their turn
SOCKET_BYTES = 1 << 19  # kept by the kernel for datagrams that aren't read yet
SWEEP_S = 2.0  # between two looks for idle links
MAX_CACHED_ADDRESSES = 1024  # addresses whose parts are kept

log = logging.getLogger("gateway.peer_transport")


class Message(Protocol):
    """What a protobuf message can do, as far as needed here."""

    def SerializeToString(self) -> bytes: ...  # noqa: N802
    def ParseFromString(self, serialized: bytes) -> Any: ...  # noqa: N802


class Plane(NamedTuple):
    """Who takes a plane's messages: its number (0 to 31), the messages' class, and the one who is told.

    `slot` tells of a message which later ones stand in for it: those with the same slot. None: none does.
    """

    number: int
    message_class: Callable[[], Any]
    on_message: Callable[[Address, Any], object]
    slot: Callable[[Any], Hashable] = lambda _: None


class PlaneCounters:
    """Messages and bytes of one plane, in and out, since the start."""

    __slots__ = ("bytes_in", "bytes_out", "messages_in", "messages_out")

    def __init__(self) -> None:
        self.messages_in = self.bytes_in = self.messages_out = self.bytes_out = 0


class PeerTransport:
    """A process's own port. `open` raises OSError if it can't be had; after that nothing here raises.

    `counts` is by plane; `bad` counts messages that were dropped because they can't be read or sent, by why.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, address: Address, handlers: Mapping[int, Plane]
    ) -> None:
        self.loop, self.address, self.handlers = loop, address, dict(handlers)
        self.counts = {number: PlaneCounters() for number in self.handlers}
        self.bad: dict[str, int] = {}
        self.links = TcpLinks(loop, address, self._lost)
        self.to: dict[Address, tuple[str, int]] = {}
        self.names: dict[tuple[str, int], Address] = {}
        self.socket: socket.socket | None = None
        self.server: asyncio.Server | None = None
        self.sweeper: Ticker | None = None

    async def open(self) -> None:
        """Take messages from now on."""
        host, port = host_port(self.address)
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            udp.setblocking(False)
            try_option(udp, socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BYTES)
            udp.bind((host, port))
            self.server = await self.loop.create_server(self._inbound, host, port)
        except BaseException:
            udp.close()
            raise
        self.socket = udp
        self.loop.add_reader(udp.fileno(), self._readable)
        self.sweeper = Ticker(self.loop, SWEEP_S, lambda now: self.links.sweep())

    def close(self) -> None:
        """Take and send no more. What waits on links is lost."""
        if self.socket is not None and self.server is not None and self.sweeper is not None:
            self.loop.remove_reader(self.socket.fileno())
            self.socket.close()
            self.server.close()
            self.sweeper.stop()
            self.links.close()
            self.socket = None

    def send(self, to: Address, plane: int, message: Message) -> None:
        """Send a message to another process's own port, or lose it."""
        count = self.counts.get(plane)
        if count is None:
            count = self.counts[plane] = PlaneCounters()
        data = bytes((VERSION << 5 | plane,)) + message.SerializeToString()
        count.messages_out += 1
        count.bytes_out += len(data)
        if self.socket is None:
            return self._lost("port is closed")
        target = self.to.get(to)
        if target is None:
            target = self._target(to)
            if target is None:
                return self._lost("no address")
        if len(data) > MAX_DATAGRAM_BYTES:
            known = self.handlers.get(plane)
            slot = None if known is None else known.slot(message)
            return self.links.send(to, target, data, None if slot is None else (plane, slot))
        try:
            self.socket.sendto(data, target)
        except OSError:
            self._lost("socket is full")

    def _target(self, to: Address) -> tuple[str, int] | None:
        try:
            target = host_port(to)
        except ValueError:
            return None
        if len(self.to) >= MAX_CACHED_ADDRESSES:
            self.to.clear()
        self.to[to] = target
        return target

    def _lost(self, why: str) -> None:
        self.bad[why] = self.bad.get(why, 0) + 1

    def _inbound(self) -> InboundLink:
        return InboundLink(self.links, self._take, self._lost)

    def _readable(self) -> None:
        for _ in range(MAX_READS_PER_WAKEUP):
            if self.socket is None:  # a message just read has closed the port
                return
            try:
                data, source = self.socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:  # nothing is left, or an earlier datagram was turned away by its host
                return
            name = self.names.get(source)
            if name is None:
                if len(self.names) >= MAX_CACHED_ADDRESSES:
                    self.names.clear()
                name = self.names[source] = f"{source[0]}:{source[1]}"
            self._take(name, data)

    def _take(self, sender: Address, data: bytes) -> None:
        plane = self.handlers.get(data[0] & 31) if data else None
        if plane is None:
            return self._lost("unknown plane")
        if data[0] >> 5 != VERSION:
            return self._lost("unknown version")
        count = self.counts[plane.number]
        count.messages_in += 1
        count.bytes_in += len(data)
        note = plane.message_class()
        try:
            note.ParseFromString(data[1:])
        except Exception:
            return self._lost("unreadable")
        try:
            plane.on_message(sender, note)
        except Exception:
            log.exception("a message of plane %s from %s could not be handled", plane.number, sender)


__all__ = ["MAX_DATAGRAM_BYTES", "MAX_QUEUED_BYTES", "PlaneCounters", "Message", "Plane", "PeerTransport"]
