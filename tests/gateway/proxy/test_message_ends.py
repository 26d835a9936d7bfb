"""Tests of the end of responses: without a body, without a length, and truncated."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Any

import pytest

from ingress import interface as io
from tests.gateway.proxy.proxy_fixture import Act, ProxyFixture, answer, asked
from tests.ingress.socket_rig import HOST, Client, Seen, run, until

LARGE = bytes(range(256)) * 1024  # more than the proxy buffers
RESET = struct.pack("ii", 1, 0)  # SO_LINGER value with which a close sends a reset


def head(seen: Seen, *lines: str, status: str = "1.1 200") -> bytes:
    """Return a sealed response head for this request."""
    return "\r\n".join(
        [
            f"HTTP/{status} X",
            f"Attempt-Id: {seen.headers['attempt-id']}",
            "Backend-Seal: 3e1b.07",
            *lines,
            "\r\n",
        ]
    ).encode()


def ending(body: bytes, *lines: str, status: str = "1.1 200") -> Act:
    """Return an answer that ends with its connection."""

    def act(seen: Seen) -> bytes:
        seen.writer.write(head(seen, *lines, status=status) + body)
        return b""

    return act


def beginning(body: bytes) -> Act:
    """Return an answer without a length on a connection that stays open."""
    return lambda seen: head(seen) + body


def reset(seen: Seen) -> None:
    """Reset a backend's connection."""
    with seen.socket() as s:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    seen.writer.transport.abort()


async def read(client: Client, raw: bytes) -> tuple[str, dict[str, str]]:
    """Send a request, and read the head of the response."""
    client.writer.write(raw)
    line, *rest = (await client.reader.readuntil(b"\r\n\r\n")).decode()[:-4].split("\r\n")
    return line, {k.lower(): v.strip() for k, _, v in (part.partition(":") for part in rest)}


@pytest.mark.parametrize(
    ("method", "lines", "status", "length"),
    [
        ("HEAD", ["Content-Length: 1000"], "1.1 200", "1000"),
        ("HEAD", ["Content-Length: 99999999"], "1.1 200", "99999999"),
        ("HEAD", ["Transfer-Encoding: chunked"], "1.1 200", None),
        ("HEAD", [], "1.1 200", None),
        ("HEAD", ["Content-Length: 7"], "1.1 404", "7"),
        ("HEAD", ["Content-Length: 7"], "1.1 500", None),
        ("HEAD", ["Content-Length: 7"], "1.1 304", "7"),
        ("GET", [], "1.1 204", None),
        ("GET", [], "1.1 304", None),
        ("GET", ["Content-Length: 1000"], "1.1 304", None),
    ],
)
def test_response_without_body_ends_with_its_head(
    method: str, lines: list[str], status: str, length: str | None
):
    async def main():
        plane = ProxyFixture()
        client = await plane.start(lambda seen: head(seen, *lines, status=status), answer())
        line, headers = await read(client, asked(method=method))
        assert line.split()[1] == status.split()[1] and headers.get("content-length") == length
        assert (await client.ask(asked(name="a2")))[::2] == (200, b"fine")  # no bytes were left over
        if lines:
            assert plane.peers["i1"].connections == 1

    run(main())


@pytest.mark.parametrize(
    ("raw", "status"),
    [(asked(method="HEAD", path="/none/1"), "404"), (asked(method="HEAD", path="/empty/1"), "503")],
)
def test_error_response_to_head_has_no_body(raw: bytes, status: str):
    async def main():
        client = await ProxyFixture().start(answer())
        assert (await read(client, raw))[0].split()[1] == status
        assert (await client.ask(asked(name="a2")))[::2] == (200, b"fine")

    run(main())


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (asked(method="HEAD").replace(b"Content", b"Con tent"), "400"),
        (asked(method="HEAD", name=None), "400"),
        (asked(method="HEAD", path="/read/" + "x" * 20_000), "431"),
    ],
    ids=["malformed", "no id", "too long"],
)
def test_error_response_to_an_unreadable_head_request_has_no_body(raw: bytes, status: str):
    async def main():
        client = await ProxyFixture().start(answer())
        assert (await read(client, raw))[0].split()[1] == status
        assert await client.reader.read() == b""

    run(main())


def test_body_of_a_head_response_is_not_taken_for_the_next_response():
    async def main():
        plane = ProxyFixture()
        client = await plane.start(lambda seen: answer()(seen) * 2, answer(body=b"right"))
        assert (await read(client, asked(method="HEAD")))[1]["content-length"] == "4"
        assert (await client.ask(asked(name="a2")))[2] == b"right"
        assert plane.peers["i1"].connections == 2

    run(main())


@pytest.mark.parametrize("body", [b"few", LARGE])
@pytest.mark.parametrize(
    ("lines", "status"), [([], "1.1 200"), (["Connection: close"], "1.1 200"), ([], "1.0 200")]
)
def test_response_without_length_ends_with_its_connection(lines: list[str], status: str, body: bytes):
    async def main():
        client = await ProxyFixture().start(ending(body, *lines, status=status), answer())
        _, headers = await read(client, asked())
        assert await rest(client, headers) == body
        assert (await client.ask(asked(name="a2")))[::2] == (200, b"fine")

    run(main())


async def rest(client: Client, headers: dict[str, Any]) -> bytes:
    """Read a body, by its length or in chunks."""
    if "content-length" in headers:
        return await client.reader.readexactly(int(headers["content-length"]))
    body = b""
    while size := int(await client.reader.readuntil(b"\r\n"), 16):
        body += (await client.reader.readexactly(size + 2))[:-2]
    await client.reader.readexactly(2)
    return body


def test_truncated_response_without_length_is_reset():
    async def main():
        plane = ProxyFixture()
        client = await plane.start(beginning(b"few"), beginning(LARGE))
        asking = asyncio.ensure_future(read(client, asked("/order/1", method="POST")))
        await until(lambda: any(c.reader.partial for c in plane.upstream.connections))
        reset(plane.peers["i1"].seen[-1])
        assert (await asking)[0].split()[1] == "502"
        _, headers = await read(client, asked(name="a2"))
        reset(plane.peers["i1"].seen[-1])
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await rest(client, headers)
        await until(lambda: not plane.ingress.pending)

    run(main())


def test_reset_that_a_stall_check_sees_first_is_passed_on():
    async def main():
        plane, loop = ProxyFixture(), asyncio.get_running_loop()
        client = await plane.start(answer())
        with socket.create_server((HOST, 0)) as listener:
            listener.setblocking(False)
            plane.ingress.backend("i1", "s1", listener.getsockname(), io.Phase.RUNNING, 0.0)
            asking = asyncio.ensure_future(read(client, asked("/order/1", method="POST")))
            backend, _ = await loop.sock_accept(listener)
        await loop.sock_recv(backend, 4096)
        backend.send(b"HTTP/1.1 200 X\r\nAttempt-Id: a1\r\nBackend-Seal: 3e1b.07\r\n\r\nfew")
        await until(lambda: any(c.reader.partial for c in plane.upstream.connections))
        backend.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        backend.close()
        next(iter(plane.upstream.connections)).stalled()  # the stall timer expires before the loop reads
        assert (await asking)[0].split()[1] == "502"

    run(main())


@pytest.mark.parametrize(
    "line", ["Host: b.example", "attempt-id: a2", "Authorization: Token k0", "Deadline-Ms: 9"]
)
def test_request_with_a_repeated_header_is_rejected(line: str):
    """The backend could use another of the values than the ingress does."""

    async def main():
        plane = ProxyFixture()
        client = await plane.start(answer())
        raw = asked("/order/1", method="POST").replace(b"X-More", line.encode() + b"\r\nX-More")
        assert (await read(client, raw))[0].split()[1] == "400"
        assert not plane.peers["i1"].seen

    run(main())
