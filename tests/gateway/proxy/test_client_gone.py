"""A client that closes its connection: nothing more is sent for it, and repeatable work is cancelled."""

from __future__ import annotations

import asyncio
import socket

import pytest

from ingress import interface as io
from tests.gateway.proxy.proxy_fixture import ProxyFixture, answer, asked, silent
from tests.gateway.proxy.test_message_ends import RESET
from tests.ingress.socket_rig import HOST, Client, run, until

LARGE_BODY = 8 * 1024 * 1024  # more than all socket buffers on the way hold
PIPELINED = 40  # more than are read ahead


@pytest.mark.parametrize("half", [False, True], ids=["closed", "only its sending side closed"])
def test_a_safe_request_is_cancelled_at_its_backend(half: bool) -> None:
    async def main() -> None:
        plane = ProxyFixture()
        client = await plane.start(silent)
        client.writer.write(asked())
        await until(lambda: plane.peers["i1"].seen)
        client.writer.write_eof() if half else client.writer.close()
        await until(plane.peers["i1"].seen[0].ended)
        await until(lambda: not plane.ingress.pending)
        assert plane.ingress.statistics.counts["attempt cancelled"] == 1  # and didn't end with its deadline
        assert not plane.decisions.service_by_request and plane.decisions.services["s1"].limit.in_flight == 0

    run(main())


def test_an_unsafe_request_that_was_sent_is_finished() -> None:
    async def main() -> None:
        plane = ProxyFixture()
        client = await plane.start(silent)
        client.writer.write(asked("/order/1", method="POST"))
        await until(lambda: plane.peers["i1"].seen)
        client.writer.close()
        await until(lambda: not plane.server.connections)
        assert plane.ingress.pending and not plane.peers["i1"].seen[0].ended()

    run(main())


def test_idle_connections_are_kept_though_a_client_left_before_anything_came() -> None:
    """That a backend says nothing for a moment doesn't mean that its other connections are dead."""

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
def test_a_close_behind_requests_that_are_not_read_yet_is_noticed(half: bool) -> None:
    async def main() -> None:
        plane = ProxyFixture()
        client = await plane.start(silent)
        client.writer.write(b"".join(asked(name=f"a{n}") for n in range(PIPELINED)))
        await until(lambda: plane.peers["i1"].seen and any(c.paused for c in plane.server.connections))
        client.writer.write_eof() if half else client.writer.close()
        await until(lambda: not plane.server.connections)
        assert plane.ingress.statistics.counts["t1 gone"] == 1  # and not answered at its deadline
        assert not plane.ingress.pending and len(plane.peers["i1"].seen) == 1

    run(main())


def test_a_reset_behind_a_body_that_its_backend_does_not_read_is_noticed() -> None:
    """A plain close can't be: it waits in the client's kernel behind what the closed window keeps there."""

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
