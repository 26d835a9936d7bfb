"""Tests of the operator console over loopback sockets, and of its statistics."""

from __future__ import annotations

import asyncio

import pytest

from ingress import interface as io
from ingress.net import console as door
from ingress.net.console import Console, ConsoleCommand
from ingress.net.errors import CommandRejectedError
from tests.ingress.socket_rig import HOST, IngressRig, Peer, call, in_turn, ok, run, until


class ConsoleFixture:
    """A console with test commands; `held` is the state that they change."""

    def __init__(self) -> None:
        self.held: list[str] = []
        self.console = Console(
            asyncio.get_running_loop(),
            {
                "health": ConsoleCommand(lambda: ["done"]),
                "cordon": ConsoleCommand(self.cordon, 1),
                "fault": ConsoleCommand(lambda: [1 / 0]),
            },
        )

    def cordon(self, backend: str) -> list[str]:
        if backend != "b1":
            raise CommandRejectedError("no such backend")
        self.held.append(backend)
        return ["done"]

    async def start(self) -> ConsoleFixture:
        await self.console.listen(HOST, 0)
        self.port = self.console.listener.sockets[0].getsockname()[1]
        return self

    async def ask(self, line: bytes) -> bytes:
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(line)
        answer = await reader.read()
        writer.close()
        return answer


NO_CALLS = [
    b"\n",
    b"healthy\n",
    b"HEALTH\n",
    b"health now\n",
    b"cordon\n",
    b"cordon b1 b2\n",
    b"cordon b9\n",
    b"cordon \xff\xfe\n",
    b"fault\n",
    b"cordon b" + b"1" * 5000 + b"\n",
    b"\x00" * 300,
]


@pytest.mark.parametrize("line", NO_CALLS)
def test_invalid_command_gets_an_error_and_changes_nothing(line):
    async def main():
        d = await ConsoleFixture().start()
        answer = await d.ask(line)
        assert answer.startswith(b"error ") and answer.count(b"\n") == 1 and not d.held
        assert await d.ask(b"cordon b1\r\n") == b"done\n" and d.held == ["b1"]

    run(main())


def test_line_without_newline_is_not_executed():
    async def main():
        d = await ConsoleFixture().start()
        reader, writer = await asyncio.open_connection(HOST, d.port)
        writer.write(b"cordon b1")
        writer.write_eof()
        assert (await reader.read()).startswith(b"error ") and not d.held

    run(main())


def test_line_in_several_segments_is_one_command():
    async def main():
        d = await ConsoleFixture().start()
        reader, writer = await asyncio.open_connection(HOST, d.port)
        for byte in b"health\n":
            writer.write(bytes([byte]))
            await asyncio.sleep(0)
        assert await reader.read() == b"done\n"

    run(main())


def test_idle_callers_are_limited_and_block_nobody():
    async def main():
        d = await ConsoleFixture().start()
        idle = [await asyncio.open_connection(HOST, d.port) for _ in range(door.MAX_CONNECTIONS)]
        await until(lambda: len(d.console.callers) == door.MAX_CONNECTIONS)
        assert await d.ask(b"health\n") == b"done\n"
        assert await idle[0][0].read() == b""  # the oldest connection was closed
        assert len(d.console.callers) <= door.MAX_CONNECTIONS

    run(main())


def test_caller_without_a_command_gets_an_error_and_is_disconnected(monkeypatch):
    monkeypatch.setattr(door, "IDLE_S", 0.05)

    async def main():
        d = await ConsoleFixture().start()
        reader, _ = await asyncio.open_connection(HOST, d.port)
        assert (await reader.read()).startswith(b"error ")
        await until(lambda: not d.console.callers)

    run(main())


def figures(rig: IngressRig) -> dict[str, int]:
    return {name: int(value) for name, value in (line.split("=") for line in rig.ingress.figures())}


def test_statistics_count_each_request_and_each_attempt_once():
    async def main():
        go = asyncio.Event()

        async def act(seen):
            if seen.headers["x-call-id"] == "held":
                await go.wait()
            return b"" if seen.headers["x-call-id"] == "cut" else ok()

        backend = await Peer(act).listen()
        rig = IngressRig(in_turn("b0", "b0"))
        client = await rig.start(b0=backend.port)
        assert (await client.ask(call("r1")))[0] == 200
        assert (await client.ask(call("cut")))[0] == 503  # two attempts, then refused
        client.writer.write(call("held", cls="once"))
        await until(lambda: len(backend.seen) == 4)
        now = figures(rig)
        assert (now["pending"], now["upstream_requests"], now["completed.once"]) == (1, 4, 0)
        go.set()
        assert (await client.answer())[0] == 200
        assert figures(rig) == {
            "completed.read": 1,
            "rejected.read": 1,
            "failed.read": 0,
            "completed.once": 1,
            "rejected.once": 0,
            "failed.once": 0,
            "completed.pay": 0,
            "rejected.pay": 0,
            "failed.pay": 0,
            "upstream_requests": 4,
            "members": 3,
            "members_unavailable": 1,
            "pending": 0,
        }

    run(main())


def test_failed_request_counts_as_failed():
    async def main():
        rig = IngressRig(lambda e: [io.Fail(e.id)] if isinstance(e, io.Request) else [])
        client = await rig.start()
        assert (await client.ask(call("r1", cls="once")))[0] == 502
        assert figures(rig)["failed.once"] == 1 and figures(rig)["pending"] == 0

    run(main())
