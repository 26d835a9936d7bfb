"""Tests of messages between processes on loopback: short, long and malformed ones, and restarts of peers."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

import pytest
import uvloop

from gateway.runtime import tcp_links
from gateway.runtime.peer_transport import PeerTransport, Plane
from gateway.runtime.tcp_links import OutboundLink, TcpLinks


class FakeMessage:
    """A message with the interface of a protobuf message."""

    def __init__(self, body: bytes = b"") -> None:
        self.body = body

    def SerializeToString(self) -> bytes:  # noqa: N802
        return self.body

    def ParseFromString(self, serialized: bytes) -> None:  # noqa: N802
        if serialized.startswith(b"unreadable"):
            raise ValueError("no message")
        self.body = serialized


class End:
    """A port, and the messages received there."""

    def __init__(self, address: str) -> None:
        self.notes: asyncio.Queue[tuple[str, bytes]] = asyncio.Queue()
        self.port = PeerTransport(
            asyncio.get_running_loop(), address, {1: Plane(1, FakeMessage, self.on_message)}
        )

    def on_message(self, sender: str, note: Any) -> None:
        if note.body == b"unbearable":
            raise RuntimeError("cannot be borne")
        self.notes.put_nowait((sender, note.body))

    async def open(self) -> End:
        await self.port.open()
        return self

    async def next(self) -> tuple[str, bytes]:
        return await asyncio.wait_for(self.notes.get(), 5)


def free() -> str:
    """Return a loopback address with an unused port, for datagrams or connections."""
    with socket.socket() as tcp:
        tcp.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{tcp.getsockname()[1]}"


def with_two(story: Callable[[End, End], Awaitable[None]], loops: Any) -> None:
    """Run a scenario between two ports."""

    async def play() -> None:
        a, b = await End(free()).open(), await End(free()).open()
        try:
            await story(a, b)
        finally:
            a.port.close()
            b.port.close()

    with asyncio.Runner(loop_factory=loops) as runner:
        runner.run(play())


LOOPS = pytest.mark.parametrize("loops", [uvloop.new_event_loop, asyncio.new_event_loop])


@LOOPS
def test_short_and_long_messages_arrive_with_the_sender_address(loops: Any) -> None:
    async def story(a: End, b: End) -> None:
        for size in (0, 1149, 1150, 300_000, tcp_links.MAX_QUEUED_BYTES - 1):
            a.port.send(b.port.address, 1, FakeMessage(b"x" * size))
            assert await b.next() == (a.port.address, b"x" * size)
        b.port.send(a.port.address, 1, FakeMessage(b"back"))
        assert await a.next() == (b.port.address, b"back")
        assert len(a.port.links.outbound) == len(b.port.links.inbound) == 1
        out, come = a.port.counts[1], b.port.counts[1]
        assert (out.messages_out, out.bytes_out) == (come.messages_in, come.bytes_in)
        assert not a.port.dropped and not b.port.dropped

    with_two(story, loops)


@LOOPS
def test_malformed_messages_are_counted_and_ignored(loops: Any) -> None:
    async def story(a: End, b: End) -> None:
        host, port = b.port.address.split(":")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            for datagram in (b"", b"\x22", b"\x41", b"\x21unreadable", b"\x21unbearable", b"\xff" * 5000):
                stranger.sendto(datagram, (host, int(port)))
        for opening in (b"\xff\xff\xff\xff", b"\0\0\0\x07nowhere", b"\0\0\0"):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(opening)
            writer.write_eof()
            with pytest.raises(ConnectionError):
                raise ConnectionError(await asyncio.wait_for(reader.read(), 5))
            writer.close()
        a.port.send("nowhere", 1, FakeMessage())
        a.port.send(b.port.address, 1, FakeMessage(b"x" * tcp_links.MAX_QUEUED_BYTES))
        a.port.send(b.port.address, 1, FakeMessage(b"still here"))
        assert await b.next() == (a.port.address, b"still here")
        assert b.port.dropped == {
            "unknown plane": 3,
            "unknown version": 1,
            "unreadable": 1,
            "too long": 1,
            "no address": 1,
        }
        assert a.port.dropped == {"no address": 1, "too long": 1}

    with_two(story, loops)


@LOOPS
def test_restarted_peer_is_reached_over_a_new_link(loops: Any) -> None:
    async def story(a: End, b: End) -> None:
        a.port.send(b.port.address, 1, FakeMessage(b"x" * 2000))
        await b.next()
        b.port.close()
        while a.port.links.outbound:
            await asyncio.sleep(0)
        a.port.send(b.port.address, 1, FakeMessage(b"y" * 2000))
        while a.port.links.opening:
            await asyncio.sleep(0)
        assert a.port.dropped == {"no connection": 1, "link is gone": 1}
        again = await End(b.port.address).open()
        a.port.send(b.port.address, 1, FakeMessage(b"z" * 2000))
        assert await again.next() == (a.port.address, b"z" * 2000)
        again.port.close()

    with_two(story, loops)


@LOOPS
def test_reset_link_is_reopened_for_the_next_message(loops: Any) -> None:
    """Both processes keep running. Lost messages are requested again by their receiver."""

    async def story(a: End, b: End) -> None:
        for turn in range(3):
            a.port.send(b.port.address, 1, FakeMessage(b"%d" % turn * 2000))
            assert await b.next() == (a.port.address, b"%d" % turn * 2000)
            (link,) = b.port.links.inbound
            assert link.transport is not None
            link.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            link.close()
            async with asyncio.timeout(5):
                while a.port.links.outbound or b.port.links.inbound:
                    await asyncio.sleep(0)
        assert not b.port.dropped

    with_two(story, loops)


def test_messages_waiting_for_a_link_are_bounded_and_the_oldest_are_dropped() -> None:
    async def story(a: End, b: End) -> None:
        for letter in b"abcdef":
            a.port.send(b.port.address, 1, FakeMessage(bytes([letter]) * (1 << 20)))
        assert [(await b.next())[1][:1] for _ in range(3)] == [b"d", b"e", b"f"]
        assert a.port.dropped == {"link is full": 3}

    with_two(story, uvloop.new_event_loop)


def test_idle_links_are_closed_by_the_process_that_opened_them() -> None:
    async def story(a: End, b: End) -> None:
        a.port.send(b.port.address, 1, FakeMessage(b"x" * 2000))
        await b.next()
        a.port.links.sweep()
        (link,) = a.port.links.outbound.values()
        link.last_used_at -= tcp_links.OUTBOUND_IDLE_S + 1
        a.port.links.sweep()
        assert not a.port.links.outbound
        while b.port.links.inbound:
            await asyncio.sleep(0)

    with_two(story, uvloop.new_event_loop)


@LOOPS
def test_process_reaches_more_peers_than_its_link_limit(loops: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    """The value of a change is sent to many proxies in one burst, and again with the next change."""
    monkeypatch.setattr(tcp_links, "MAX_OUTBOUND_LINKS", 3)

    async def play() -> None:
        sender = await End(free()).open()
        receivers = [await End(free()).open() for _ in range(8)]
        try:
            for letter in (b"a", b"b"):
                for receiver in receivers:
                    sender.port.send(receiver.port.address, 1, FakeMessage(letter * 2000))
                    assert await receiver.next() == (sender.port.address, letter * 2000)
                    assert len(sender.port.links.outbound) <= 3
            assert not sender.port.dropped
        finally:
            for end in (sender, *receivers):
                end.port.close()

    with asyncio.Runner(loop_factory=loops) as runner:
        runner.run(play())


def test_link_with_undelivered_messages_is_not_closed_for_another_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(tcp_links, "MAX_OUTBOUND_LINKS", 1)

    async def story(a: End, b: End) -> None:
        a.port.send(b.port.address, 1, FakeMessage(b"x" * 2000))  # not connected yet
        a.port.send(free(), 1, FakeMessage(b"y" * 2000))
        assert await b.next() == (a.port.address, b"x" * 2000)
        assert a.port.dropped == {"too many links": 1}

    with_two(story, uvloop.new_event_loop)


@LOOPS
def test_idle_accepted_link_is_closed_for_a_new_one(loops: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(tcp_links, "MAX_INBOUND_LINKS", 1)

    async def story(a: End, b: End) -> None:
        third = await End(free()).open()
        a.port.send(b.port.address, 1, FakeMessage(b"x" * 2000))
        await b.next()
        third.port.send(b.port.address, 1, FakeMessage(b"y" * 2000))
        async with asyncio.timeout(5):
            while not b.port.dropped:  # the used link stays open
                await asyncio.sleep(0)
        assert b.port.dropped == {"too many links": 1}
        (link,) = b.port.links.inbound
        link.last_used_at -= tcp_links.EVICTABLE_AFTER_S
        async with asyncio.timeout(5):
            while third.port.links.outbound:
                await asyncio.sleep(0)
        third.port.send(b.port.address, 1, FakeMessage(b"z" * 2000))
        assert await b.next() == (third.port.address, b"z" * 2000)
        third.port.close()

    with_two(story, loops)


class Slow:
    """A transport with 21 KB per second and a buffer of 64 KB; it reports when the buffer is full."""

    RATE, MOST = 21_000, 65_536

    def __init__(self, link: OutboundLink) -> None:
        self.link, self.left, self.at = link, deque[bytes](), 0.0
        self.came: list[tuple[float, bytes]] = []
        self.full = False

    def get_extra_info(self, name: str) -> None:
        """Return no socket."""

    def write(self, data: bytes) -> None:
        self.left.append(data)
        self.look()

    def look(self) -> None:
        full = sum(map(len, self.left)) > self.MOST
        if full != self.full:
            self.full = full
            self.link.pause_writing() if full else self.link.resume_writing()

    def go(self, now: float) -> None:
        """Return the bytes delivered by now."""
        while self.left and self.at + len(self.left[0]) / self.RATE <= now:
            data = self.left.popleft()
            self.at += len(data) / self.RATE
            self.came.append((self.at, data))
            self.look()
        if not self.left:
            self.at = now


def test_slow_link_delivers_the_newest_value_not_all_values() -> None:
    """Entries of 400 KB take 19 s each and are sent every second, some of them twice.

    No delivered entry is older than the time of two, and the last one arrives soon after it was sent.
    """
    now, entry_s = 0.0, 400_000 / Slow.RATE
    loop: Any = SimpleNamespace(time=lambda: now)
    link = OutboundLink(TcpLinks(loop, "127.0.0.1:1", print), "127.0.0.1:2")
    link.connection_made(way := Slow(link))  # type: ignore[arg-type]
    for second in range(300):
        now = float(second)
        way.go(now)
        if second < 150:
            for _ in range(1 + second % 2):
                link.send(second.to_bytes(4, "big") + bytes(400_000), "entry")
        if second % 10 == 0:
            link.send(b"other" + bytes(2000), None)
    entries = [(at, int.from_bytes(data[4:8], "big")) for at, data in way.came if len(data) > 400_000]
    assert all(at - made <= 2 * entry_s + 5 for at, made in entries)
    assert entries[-1][1] == 149 and len(entries) < 150 / entry_s + 3
    assert sum(b"other" in data[:9] for _, data in way.came) == 30
