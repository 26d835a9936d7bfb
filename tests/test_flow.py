"""Large bodies flow through: what each side sees, and how little is held."""

from __future__ import annotations

import asyncio

import pytest

from roadspur import interface as io
from roadspur.net import upstream
from tests.helpers import Ingress as Driven
from tests.helpers import only, some
from tests.sockets import Client, Peer, Rig, call, in_turn, ok, run, until

LARGE = bytes(range(256)) * 4096  # 1 MiB


def chunks(body: bytes, size: int) -> bytes:
    parts = (body[i:i + size] for i in range(0, len(body), size))
    return b"".join(b"%x;a=b\r\n%s\r\n" % (len(p), p) for p in parts) + b"0\r\nX-Trail: 1\r\n\r\n"


async def read_answer(client: Client) -> tuple[dict[str, str], bytes]:
    """A 200 in any of its forms."""
    head = (await client.reader.readuntil(b"\r\n\r\n")).decode()
    line, *rest = head[:-4].split("\r\n")
    assert line == "HTTP/1.1 200 OK"
    headers = {k.lower(): v.strip() for k, _, v in (part.partition(":") for part in rest)}
    if "content-length" in headers:
        return headers, await client.reader.readexactly(int(headers["content-length"]))
    if "transfer-encoding" not in headers:
        return headers, await client.reader.read()
    body = b""
    while size := int(await client.reader.readline(), 16):
        body += await client.reader.readexactly(size)
        await client.reader.readexactly(2)
    await client.reader.readexactly(2)
    return headers, body


FORMS = {
    "length": ok(LARGE),
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked \r\n\r\n" + chunks(LARGE, 5000),
    "small chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(LARGE[:200_000], 3),
    "until the end": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + LARGE,
    "a little, until the end": b"HTTP/1.1 200 OK\r\nConnection: Close\r\n\r\nfew"}


@pytest.mark.parametrize("form", FORMS)
def test_an_answer_of_any_size_and_form_comes_through_unchanged(form):
    async def main():
        ends = b"" if form.endswith("the end") else None

        async def act(seen):
            seen.writer.write(FORMS[form])
            return ends

        backend = await Peer(act).listen()
        rig = Rig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        want = {"small chunks": LARGE[:200_000], "a little, until the end": b"few"}.get(form, LARGE)
        for n in (1, 2):
            client.writer.write(call(f"r{n}"))
            assert (await read_answer(client))[1] == want
        await until(lambda: len(rig.script.ends()) == 2)
        assert all(e.done and e.outcome is io.Outcome.OK for e in rig.script.ends())
        assert not rig.ingress.held and backend.connections == (1 if ends is None else 2)
        assert rig.ingress.tally.totals["completed.read"] == 2
    run(main())


def test_the_first_bytes_go_on_at_once_and_nothing_ends_the_rest_but_its_backend():
    async def main():
        go = asyncio.Event()

        async def act(seen):
            seen.writer.write(ok(LARGE)[:100_000])
            await go.wait()
            return ok(LARGE)[100_000:]

        backend = await Peer(act).listen()
        rig = Rig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        client.writer.write(call(budget="300m"))
        await client.reader.readuntil(b"\r\n\r\n")
        assert [e for e in rig.script.events if isinstance(e, io.AttemptStarted)] and not rig.script.ends()
        assert "pending=1" in rig.ingress.figures()
        held = next(iter(rig.ingress.held.values()))
        await until(lambda: asyncio.get_running_loop().time() > held.deadline + 0.05)
        go.set()
        assert await client.reader.readexactly(len(LARGE)) == LARGE
        await until(lambda: "pending=0" in rig.ingress.figures())
    run(main())


def test_an_answer_that_breaks_off_ends_the_clients_connection_and_has_failed():
    async def main():
        async def act(seen):
            seen.writer.write(ok(LARGE)[:100_000])
            return b""

        backend = await Peer(act).listen()
        rig = Rig(in_turn("b0", "b0"))
        client = await rig.start(b0=backend.port)
        client.writer.write(call())
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await read_answer(client)
        await until(rig.script.ends)
        assert [(e.outcome, e.done) for e in rig.script.ends()] == [(io.Outcome.RESET, True)]
        assert rig.ingress.tally.totals["failed.read"] == 1 and len(backend.seen) == 1
    run(main())


def test_an_answer_that_stands_still_in_the_middle_is_given_up(monkeypatch):
    monkeypatch.setattr(upstream, "FLOW_STALL_S", 0.1)

    async def main():
        backend = await Peer.start(ok(LARGE)[:100_000])
        rig = Rig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        client.writer.write(call())
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await read_answer(client)
        await until(lambda: not rig.ingress.held)
    run(main())


def test_a_client_that_reads_slowly_slows_its_backend_and_little_is_held():
    async def main():
        body = LARGE * 24

        async def act(seen):
            seen.writer.write(ok(body))
            return None

        backend = await Peer(act).listen()
        rig = Rig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        client.writer.write(call())
        await until(lambda: backend.seen and rig.upstream.connections)
        await until(lambda: next(iter(rig.upstream.connections)).paused)
        ours = next(c for c in rig.server.connections if c.source is not None)
        assert ours.transport.get_write_buffer_size() < 600_000
        assert backend.seen[0].writer.transport.get_write_buffer_size() > 10 * len(LARGE)
        assert (await read_answer(client))[1] == body
    run(main())


def test_a_client_that_leaves_in_the_middle_ends_its_attempt():
    async def main():
        backend = await Peer.start(ok(LARGE)[:100_000])
        rig = Rig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        client.writer.write(call())
        await client.reader.readuntil(b"\r\n\r\n")
        client.writer.transport.abort()
        await until(lambda: not rig.ingress.held)
        await until(backend.seen[0].ended)
        assert [e.done for e in rig.script.ends()] == [True]
    run(main())


def test_an_old_client_gets_an_answer_without_length_up_to_the_connections_end():
    async def main():
        backend = await Peer.start(FORMS["chunks"])
        rig = Rig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        client.writer.write(call().replace(b"HTTP/1.1", b"HTTP/1.0"))
        headers, body = await read_answer(client)
        assert body == LARGE and "transfer-encoding" not in headers
    run(main())


# What the module makes of it.


def test_an_answer_that_has_begun_frees_its_slot_and_is_not_hung():
    g = Driven(backends=2)
    a = only(g.ask(), io.Attempt)
    g.now += 0.2
    g.give(io.AttemptStarted(a.request, 0, a.backend, 0.2))
    assert g.gw.out == 0 and not g.gw.fleet.backends[a.backend].out
    assert not some(g.beat(30.0), io.CancelAttempt)
    assert g.gw.members(g.now) == (2, 0)
    g.end(a, elapsed=30.0)
    assert not g.gw.flights and g.gw.out == 0 and g.gw.latency["read"] < 1.0
