"""Large bodies flow through: what each side sees, and how little is held."""

from __future__ import annotations

import asyncio
import socket

import pytest

from ingress import interface as io
from ingress.net import client as client_module
from ingress.net import client_connection_base as line_module
from ingress.net import connection_interfaces, upstream
from ingress.net import server as server_module
from ingress.net.http_messages import unsent
from tests.ingress.ingress_driver import GatewayDriver as Driven
from tests.ingress.ingress_driver import only, some
from tests.ingress.socket_rig import Client, IngressRig, Peer, call, closed_port, in_turn, ok, run, until

LARGE = bytes(range(256)) * 4096  # 1 MiB


def chunks(body: bytes, size: int) -> bytes:
    parts = (body[i : i + size] for i in range(0, len(body), size))
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
    "a little, until the end": b"HTTP/1.1 200 OK\r\nConnection: Close\r\n\r\nfew",
}


@pytest.mark.parametrize("form", FORMS)
def test_an_answer_of_any_size_and_form_comes_through_unchanged(form):
    async def main():
        ends = b"" if form.endswith("the end") else None

        async def act(seen):
            seen.writer.write(FORMS[form])
            return ends

        backend = await Peer(act).listen()
        rig = IngressRig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        want = {"small chunks": LARGE[:200_000], "a little, until the end": b"few"}.get(form, LARGE)
        for n in (1, 2):
            client.writer.write(call(f"r{n}"))
            assert (await read_answer(client))[1] == want
        await until(lambda: len(rig.script.ends()) == 2)
        assert all(e.done and e.outcome is io.Outcome.OK for e in rig.script.ends())
        assert not rig.ingress.pending and backend.connections == (1 if ends is None else 2)
        assert rig.ingress.statistics.totals["completed.read"] == 2

    run(main())


def test_the_first_bytes_go_on_at_once_and_nothing_ends_the_rest_but_its_backend():
    async def main():
        go = asyncio.Event()

        async def act(seen):
            seen.writer.write(ok(LARGE)[:100_000])
            await go.wait()
            return ok(LARGE)[100_000:]

        backend = await Peer(act).listen()
        rig = IngressRig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        client.writer.write(call(budget="300m"))
        await client.reader.readuntil(b"\r\n\r\n")
        assert [e for e in rig.script.events if isinstance(e, io.AttemptStarted)] and not rig.script.ends()
        assert "pending=1" in rig.ingress.figures()
        held = next(iter(rig.ingress.pending.values()))
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
        rig = IngressRig(in_turn("b0", "b0"))
        client = await rig.start(b0=backend.port)
        client.writer.write(call())
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await read_answer(client)
        await until(rig.script.ends)
        assert [(e.outcome, e.done) for e in rig.script.ends()] == [(io.Outcome.RESET, True)]
        assert rig.ingress.statistics.totals["failed.read"] == 1 and len(backend.seen) == 1

    run(main())


def test_a_break_does_not_look_like_an_end_to_an_old_client():
    async def main():
        async def act(seen):
            seen.writer.write(FORMS["chunks"][:100_000])
            return b""

        backend = await Peer(act).listen()
        rig = IngressRig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        client.writer.write(call().replace(b"HTTP/1.1", b"HTTP/1.0"))
        with pytest.raises(ConnectionError):
            await client.reader.read()

    run(main())


def test_an_answer_that_stands_still_in_the_middle_is_given_up(monkeypatch):
    monkeypatch.setattr(upstream, "FLOW_STALL_S", 0.1)

    async def main():
        backend = await Peer.start(ok(LARGE)[:100_000])
        rig = IngressRig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        client.writer.write(call())
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await read_answer(client)
        await until(lambda: not rig.ingress.pending)

    run(main())


def test_a_client_that_reads_slowly_slows_its_backend_and_little_is_held():
    async def main():
        body = LARGE * 24

        async def act(seen):
            seen.writer.write(ok(body))

        backend = await Peer(act).listen()
        rig = IngressRig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        client.writer.write(call())
        await until(lambda: backend.seen and rig.upstream.connections)
        await until(lambda: next(iter(rig.upstream.connections)).paused)
        ours = next(c for c in rig.server.connections if c.source is not None)
        assert ours.transport.get_write_buffer_size() < 600_000
        assert backend.seen[0].writer.transport.get_write_buffer_size() > 10 * len(LARGE)
        assert (await read_answer(client))[1] == body

    run(main())


def test_a_connection_closes_behind_the_last_byte_of_a_slow_readers_answer(monkeypatch):
    monkeypatch.setattr(line_module, "LINGER_S", 0.0)

    async def main():
        body = LARGE * 2
        backend = await Peer.start(ok(body))
        rig = IngressRig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        await until(lambda: rig.server.connections)
        ours = next(iter(rig.server.connections)).transport.get_extra_info("socket")
        ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)  # the rest waits in the program
        client.writer.write(call(Connection="close"))
        assert (await read_answer(client))[1] == body
        assert await client.reader.read() == b""
        await until(lambda: not rig.server.connections)

    run(main())


def test_nothing_is_unsent_on_a_connection_that_is_gone():
    async def main():
        backend = await Peer.start(ok())
        rig = IngressRig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        await until(lambda: rig.server.connections)
        ours = next(iter(rig.server.connections))
        assert unsent(ours.transport) == 0
        client.writer.close()
        await until(lambda: not rig.server.connections)
        assert unsent(ours.transport) == 0

    run(main())


def test_a_client_that_leaves_in_the_middle_ends_its_attempt():
    async def main():
        backend = await Peer.start(ok(LARGE)[:100_000])
        rig = IngressRig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        client.writer.write(call())
        await client.reader.readuntil(b"\r\n\r\n")
        client.writer.transport.abort()
        await until(lambda: not rig.ingress.pending)
        await until(backend.seen[0].ended)
        assert [e.done for e in rig.script.ends()] == [True]

    run(main())


def test_an_old_client_gets_an_answer_without_length_up_to_the_connections_end():
    async def main():
        backend = await Peer.start(FORMS["chunks"])
        rig = IngressRig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        client.writer.write(call().replace(b"HTTP/1.1", b"HTTP/1.0"))
        headers, body = await read_answer(client)
        assert body == LARGE and "transfer-encoding" not in headers

    run(main())


# Requests.


def post(name: str, body: bytes, chunk: int = 0, **headers: str | None) -> bytes:
    if not chunk:
        return call(name, cls="once", body=body, **headers)
    head = call(name, cls="once", Content_Length=None, Transfer_Encoding="chunked ", **headers)
    return head + chunks(body, chunk)


class UploadBackend:
    """A backend that reads requests of any size, and answers what the test says."""

    def __init__(self, answer: bytes = ok(), early: int | None = None) -> None:
        self.answer, self.early, self.got, self.heads = answer, early, list[bytes](), list[bytes]()
        self.go, self.lost = asyncio.Event(), 0
        self.go.set()

    async def listen(self) -> UploadBackend:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 16)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                self.heads.append(await reader.readuntil(b"\r\n\r\n"))
                await self.go.wait()
                if self.early is not None:
                    await reader.readexactly(self.early)
                else:
                    self.got.append(await self.body(reader, self.heads[-1].lower()))
                writer.write(self.answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.lost += 1
        writer.close()

    async def body(self, reader: asyncio.StreamReader, head: bytes) -> bytes:
        if b"content-length: " in head:
            return await reader.readexactly(int(head.split(b"content-length: ")[1].split(b"\r\n")[0]))
        body = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
        return body


@pytest.mark.parametrize("chunk", [0, 7000])
def test_a_request_of_any_size_comes_through_unchanged(chunk):
    async def main():
        backend = await UploadBackend().listen()
        rig = IngressRig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        for n in (1, 2):
            client.writer.write(post(f"r{n}", LARGE * 3, chunk))
            assert (await client.answer())[0] == 200
        assert backend.got == [LARGE * 3] * 2 and not rig.ingress.pending
        assert [e.streams_body for e in rig.script.events if isinstance(e, io.Request)] == [True, True]
        assert len([e for e in rig.script.events if isinstance(e, io.AttemptWritten)]) == 2
        assert rig.ingress.statistics.totals["upstream_requests"] == 2

    run(main())


def test_a_slow_backend_slows_its_client_and_little_is_held():
    async def main():
        backend = await UploadBackend().listen()
        backend.go.clear()
        rig = IngressRig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        client.writer.write(post("r1", LARGE * 24))
        await until(lambda: backend.heads and any(c.reading_suspended_at for c in rig.server.connections))
        theirs = next(iter(rig.upstream.connections)).transport
        assert theirs.get_write_buffer_size() < 1_000_000
        assert client.writer.transport.get_write_buffer_size() > 8 * len(LARGE)
        backend.go.set()
        assert (await client.answer())[0] == 200 and backend.got == [LARGE * 24]

    run(main())


def test_time_runs_from_the_last_byte_of_a_body():
    async def main():
        backend = await UploadBackend().listen()
        rig = IngressRig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        raw = post("r1", LARGE, budget="100m")
        client.writer.write(raw[:300_000])
        await until(lambda: backend.heads)
        began = asyncio.get_running_loop().time()
        await until(lambda: asyncio.get_running_loop().time() > began + 0.2)
        client.writer.write(raw[300_000:])
        assert (await client.answer())[0] == 200 and backend.got == [LARGE]

    run(main())


def test_a_refusal_comes_before_the_body_and_the_rest_is_read_and_thrown_away():
    async def main():
        rig = IngressRig(lambda e: [io.Refuse(e.id, 0.5)] if isinstance(e, io.Request) else [])
        client = await rig.start()
        raw = post("r1", LARGE * 8)
        client.writer.write(raw[:100_000])
        status, headers, _ = await client.answer()
        assert (status, headers["connection"]) == (429, "close")
        client.writer.write(raw[100_000:])
        await client.writer.drain()
        assert await client.reader.read() == b""
        assert not rig.ingress.pending

    run(main())


@pytest.mark.parametrize("spoil,status", [(b"zz\r\n", 400), (b"", 408)])
def test_a_body_that_cannot_be_read_on_or_stops_is_answered_and_never_whole(monkeypatch, spoil, status):
    monkeypatch.setattr(connection_interfaces, "USUAL", connection_interfaces.Limits(slow=0.1))
    monkeypatch.setattr(client_module, "MIN_BODY_RATE", 1 << 20)
    monkeypatch.setattr(server_module, "SWEEP_INTERVAL_S", 0.01)

    async def main():
        backend = await UploadBackend().listen()
        rig = IngressRig(in_turn("b0", "b0"))
        client = await rig.start(b0=backend.port)
        client.writer.write(post("r1", LARGE, 7000)[: -len(b"0\r\nX-Trail: 1\r\n\r\n")] + spoil)
        got, headers, _ = await client.answer()
        assert (got, headers["connection"]) == (status, "close")
        await until(lambda: backend.lost == 1)
        assert not backend.got and not rig.ingress.pending
        assert [e.outcome for e in rig.script.ends()] == [io.Outcome.NOT_SENT]

    run(main())


def test_a_client_that_sends_much_and_then_nothing_is_not_waited_for(monkeypatch):
    monkeypatch.setattr(connection_interfaces, "USUAL", connection_interfaces.Limits(slow=0.1))
    monkeypatch.setattr(client_module, "MAX_BODY_SILENCE_S", 0.1)
    monkeypatch.setattr(server_module, "SWEEP_INTERVAL_S", 0.01)

    async def main():
        backend = await UploadBackend().listen()
        rig = IngressRig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        client.writer.write(post("r1", LARGE * 2)[:-5])  # a minute's worth of a slow body
        assert (await client.answer())[0] == 408
        assert not backend.got

    run(main())


def test_a_client_that_leaves_in_the_middle_of_its_body_has_sent_nothing():
    async def main():
        backend = await UploadBackend().listen()
        rig = IngressRig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        client.writer.write(post("r1", LARGE)[:-5])
        await until(lambda: backend.heads)
        client.writer.close()
        await until(lambda: backend.lost == 1 and not rig.ingress.pending)
        assert not backend.got and [e.outcome for e in rig.script.ends()] == [io.Outcome.NOT_SENT]

    run(main())


def test_an_attempt_that_ends_before_the_body_is_whole_never_ran_and_cannot_be_made_again():
    async def main():
        full = b"HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        backend = await UploadBackend(full, early=1000).listen()
        rig = IngressRig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        raw = post("r1", LARGE)
        client.writer.write(raw[:200_000])
        assert (await client.answer())[0] == 503
        assert [(e.outcome, e.spent) for e in rig.script.ends()] == [(io.Outcome.FULL, True)]

    run(main())


def test_a_connection_whose_backend_answered_before_the_body_was_sent_gets_nothing_else():
    async def main():
        bodies: list[bytes] = []  # of each connection, up to its end
        go = asyncio.Event()

        async def answer_early(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(ok())
            await go.wait()
            bodies.append(await reader.read())
            writer.close()

        backend = await asyncio.start_server(answer_early, "127.0.0.1", 0)
        rig = IngressRig(in_turn("b0"))
        client = await rig.start(b0=backend.sockets[0].getsockname()[1])
        raw = post("r1", LARGE)
        client.writer.write(raw[:200_000])
        assert (await client.answer())[0] == 200
        other = await Client.connect(rig.port)
        assert (await other.ask(post("r2", b"own")))[0] == 200
        rig.upstream.close_idle("b0")
        client.writer.write(raw[200_000:])
        assert await client.reader.read() == b""
        go.set()
        await until(lambda: len(bodies) == 2)
        assert sorted(LARGE.startswith(body) for body in bodies) == [False, True] and b"own" in bodies

    run(main())


def test_a_connection_refused_leaves_the_body_for_the_next_attempt():
    async def main():
        backend = await UploadBackend().listen()
        rig = IngressRig(in_turn("gone", "b0"))
        client = await rig.start(b0=backend.port, gone=closed_port())
        client.writer.write(post("r1", LARGE))
        assert (await client.answer())[0] == 200 and backend.got == [LARGE]
        assert [(e.outcome, e.spent) for e in rig.script.ends()][0] == (io.Outcome.CONNECT_FAILED, False)

    run(main())


def test_a_client_that_waits_to_be_told_is_told_to_send_its_body():
    async def main():
        backend = await UploadBackend().listen()
        rig = IngressRig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        for n, body in enumerate((b"small", LARGE)):
            raw = post(f"r{n}", body, Expect="100-continue")
            head, _, rest = raw.partition(b"\r\n\r\n")
            client.writer.write(head + b"\r\n\r\n")
            assert await client.reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
            client.writer.write(rest)
            assert (await client.answer())[0] == 200 and backend.got[n] == body

    run(main())


def test_the_address_of_this_ingress_may_stand_before_the_path():
    async def main():
        backend = await Peer.start(ok())
        rig = IngressRig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        assert (await client.ask(call(path="HTTP://backend.local/api/000000000000000a?x=1")))[0] == 200
        assert backend.seen[0].line == "GET /api/000000000000000a?x=1 HTTP/1.1"

    run(main())


def test_bodies_are_held_whole_while_they_fit_and_room_comes_back():
    async def main():
        backend = await UploadBackend().listen()
        rig = IngressRig(in_turn("b0"))
        rig.server.max_body_bytes = 500_000
        client = await rig.start(b0=backend.port)
        slow, gone = await Client.connect(rig.port), await Client.connect(rig.port)
        body = LARGE[:300_000]
        slow.writer.write(post("slow", body)[:-1])
        await until(lambda: rig.server.body_bytes == 300_000)
        assert not rig.ingress.pending  # it takes nobody's place before it is whole
        gone.writer.write(post("gone", LARGE[:150_000], 7000)[:-9])
        await until(lambda: rig.server.body_bytes > 440_000)
        gone.writer.close()
        await until(lambda: rig.server.body_bytes == 300_000)
        client.writer.write(post("second", body))  # no room: it flows
        assert (await client.answer())[0] == 200
        slow.writer.write(body[-1:])
        assert (await slow.answer())[0] == 200
        assert [(e.id, e.streams_body) for e in rig.script.events if isinstance(e, io.Request)] == [
            ("second", True),
            ("slow", False),
        ]
        assert rig.server.body_bytes == 0 and backend.got == [body, body]
        assert rig.server.room(500_000)
        rig.ingress.sibling_count = 1
        assert rig.server.room(250_000) and not rig.server.room(250_001)

    run(main())


# What the module makes of it.


def test_a_body_on_its_way_is_no_work_yet_and_time_runs_from_its_end():
    g = Driven(backends=1)
    a = only(g.give(io.Request("u1", "once", "basic", 7, 6.0, 1.0, 2, streams_body=True)), io.Attempt)
    assert g.gw.limit.in_flight == 0
    assert not some(g.beat(30.0), io.CancelAttempt) and not g.gw.fleet.backends["b0"].ejected_until
    g.give(io.AttemptWritten("u1", 0, "b0"))
    assert g.gw.limit.in_flight == 1 and g.gw.active_requests["u1"].due_at == g.now + 2.0
    g.end(a)
    assert g.gw.limit.in_flight == 0 and not g.gw.active_requests and g.gw.latency["once"] < 1.0


def test_a_body_that_is_gone_is_not_tried_again():
    g = Driven(backends=3)
    a = only(g.give(io.Request("u1", "once", "basic", 7, 6.0, 1.0, 2, streams_body=True)), io.Attempt)
    first = io.AttemptEnded("u1", 0, a.backend, io.Outcome.CONNECT_FAILED, 0.1, False)
    b = only(g.give(first), io.Attempt)
    end = io.AttemptEnded("u1", 1, b.backend, io.Outcome.CONNECT_FAILED, 0.1, False, spent=True)
    only(g.give(end), io.Refuse)


def test_an_answer_that_has_begun_frees_its_slot_and_is_not_hung():
    g = Driven(backends=2)
    a = only(g.ask(), io.Attempt)
    g.now += 0.2
    g.give(io.AttemptStarted(a.request, 0, a.backend, 0.2))
    assert g.gw.limit.in_flight == 0 and not g.gw.fleet.backends[a.backend].in_flight
    assert not some(g.beat(30.0), io.CancelAttempt)
    assert g.gw.members(g.now) == (2, 0)
    g.end(a, elapsed=30.0)
    assert not g.gw.active_requests and g.gw.limit.in_flight == 0 and g.gw.latency["read"] < 1.0
