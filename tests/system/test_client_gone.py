"""A client that closes its connection: nothing more is sent for it, and repeatable work is cancelled."""

from __future__ import annotations

import asyncio

import pytest

from tests.sockets import Client, run, until
from tests.system.sorting import Plane, answer, asked, silent


@pytest.mark.parametrize("half", [False, True], ids=["closed", "only its sending side closed"])
def test_a_safe_request_is_cancelled_at_its_backend(half: bool) -> None:
    async def main() -> None:
        plane = Plane()
        client = await plane.start(silent)
        client.writer.write(asked())
        await until(lambda: plane.peers["i1"].seen)
        client.writer.write_eof() if half else client.writer.close()
        await until(plane.peers["i1"].seen[0].ended)
        await until(lambda: not plane.ingress.held)
        assert plane.ingress.tally.counts["attempt cancelled"] == 1  # and didn't end with its deadline
        assert not plane.decisions.homes and plane.decisions.services["s1"].out == 0

    run(main())


def test_an_unsafe_request_that_was_sent_is_finished() -> None:
    async def main() -> None:
        plane = Plane()
        client = await plane.start(silent)
        client.writer.write(asked("/order/1", method="POST"))
        await until(lambda: plane.peers["i1"].seen)
        client.writer.close()
        await until(lambda: not plane.server.connections)
        assert plane.ingress.held and not plane.peers["i1"].seen[0].ended()

    run(main())


def test_idle_connections_are_kept_though_a_client_left_before_anything_came() -> None:
    """That a backend says nothing for a moment doesn't mean that its other connections are dead."""

    async def main() -> None:
        plane = Plane()
        first = await plane.start(answer(), answer(), silent, answer())
        second = await Client.connect(plane.port)
        both = asyncio.gather(plane.ask(asked(name="a1"), first), plane.ask(asked(name="a2"), second))
        assert await both == [200, 200]
        connections = plane.peers["i1"].connections
        first.writer.write(asked(name="a3"))
        await until(lambda: len(plane.peers["i1"].seen) == 3)
        first.writer.close()
        await until(lambda: not plane.ingress.held)
        assert await plane.ask(asked(name="a4"), second) == 200
        assert connections == 2 and plane.peers["i1"].connections == 2

    run(main())
