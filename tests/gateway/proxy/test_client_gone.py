"""Tests of clients that disconnect: nothing more is sent, and safe requests are cancelled."""

from __future__ import annotations

import asyncio
import socket

import pytest

from ingress import interface as io
from tests.gateway.proxy.proxy_fixture import ProxyFixture, answer, asked, silent
from tests.gateway.proxy.test_message_ends import RESET
from tests.ingress.socket_rig import HOST, Client, run, until

LARGE_BODY = 8 * 1024 * 1024  # more than all socket buffers can hold
PIPELINED = 40  # more than the proxy reads ahead


@pytest.mark.parametrize("half", [False, True], ids=["closed", "only its sending side closed"])
def test_safe_request_is_cancelled_at_its_backend(half: bool) -> None:
    async def main() -> None:
        plane = ProxyFixture()
        client = await plane.start(silent)
        client.writer.write(asked())
        await until(lambda: plane.peers["i1"].seen)
        client.writer.write_eof() if half else client.writer.close()
        await until(plane.peers["i1"].seen[0].ended)
        await until(lambda: not plane.ingress.pending)
        assert plane.ingress.statistics.counts["attempt cancelled"] == 1  # not ended by its deadline
        assert not plane.decisions.service_by_request and plane.decisions.services["s1"].limit.in_flight == 0

    run(main())


def test_unsafe_request_that_was_sent_is_finished() -> None:
    async def main() -> None:
        plane = ProxyFixture()
        client = await plane.start(silent)
        client.writer.write(asked("/order/1", method="POST"))
        await until(lambda: plane.peers["i1"].seen)
        client.writer.close()
        await until(lambda: not plane.server.connections)
        assert plane.ingress.pending and not plane.peers["i1"].seen[0].ended()

    run(main())


def test_disconnect_before_a_response_keeps_idle_backend_connections() -> None:
    """A backend that hasn't answered for a moment may have other connections that work."""

    async def main() -> None:
        plane = ProxyFixture()
        first = await plane.start(answer(), answer(), silent, answer())
        second = await Client.connect(plane.port)
        both = asyncio.gather(plane.ask(asked(name="a1"), first), plane.ask(asked(name="a2"), second))
        assert await both == [200, 200]
        connections = plane.peers["i1"].connections
        first.writer.write(asked(name="a3"))
        await until(lambda: len(plane.peers["i1"].seen) == 3)
        first.writer.close()
        await until(lambda: not plane.ingress.pending)
        assert await plane.ask(asked(name="a4"), second) == 200
        assert connections == 2 and plane.peers["i1"].connections == 2

    run(main())


@pytest.mark.parametrize("half", [False, True], ids=["closed", "only its sending side closed"])
def test_close_after_unread_requests_is_detected(half: bool) -> None:
    async def main() -> None:
        plane = ProxyFixture()
        client = await plane.start(silent)
        client.writer.write(b"".join(asked(name=f"a{n}") for n in range(PIPELINED)))
        await until(lambda: plane.peers["i1"].seen and any(c.paused for c in plane.server.connections))
        client.writer.write_eof() if half else client.writer.close()
        await until(lambda: not plane.server.connections)
        assert plane.ingress.statistics.counts["t1 gone"] == 1  # not answered at its deadline
        assert not plane.ingress.pending and len(plane.peers["i1"].seen) == 1

    run(main())


def test_reset_after_a_body_that_the_backend_doesnt_read_is_detected() -> None:
    """A plain close can't be detected: the client's kernel queues it after data that the window blocks."""

    async def main() -> None:
        plane = ProxyFixture()
        client = await plane.start(answer())
        heads: list[bytes] = []

        async def read_head_only(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            heads.append(await reader.readuntil(b"\r\n\r\n"))
            await asyncio.Event().wait()

        backend = await asyncio.start_server(read_head_only, HOST, 0, limit=4096)
        address = (HOST, backend.sockets[0].getsockname()[1])
        plane.ingress.backend("i1", "s1", address, io.Phase.RUNNING, 0.0)
        client.writer.write(asked("/order/1", method="POST", body=bytes(LARGE_BODY)))
        await until(lambda: heads and any(c.paused for c in plane.server.connections))
        reset_on_close = client.writer.get_extra_info("socket").setsockopt
        reset_on_close(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        client.writer.transport.abort()
        await until(lambda: not plane.server.connections)
        assert plane.ingress.statistics.counts["t1 gone"] == 1
        assert not plane.ingress.pending and not plane.upstream.connections

    run(main())
