"""Tests of streaming of large bodies: what each side receives, and how little is buffered."""

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
from tests.ingress.ingress_driver import actions_of_kind, single_action
from tests.ingress.socket_rig import Client, IngressRig, Peer, call, closed_port, in_turn, ok, run, until

LARGE = bytes(range(256)) * 4096  # 1 MiB


def chunks(body: bytes, size: int) -> bytes:
    parts = (body[i : i + size] for i in range(0, len(body), size))
    return b"".join(b"%x;a=b\r\n%s\r\n" % (len(p), p) for p in parts) + b"0\r\nX-Trail: 1\r\n\r\n"


async def read_answer(client: Client) -> tuple[dict[str, str], bytes]:
    """Return a 200 response in one of its framings."""
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
def test_response_of_any_size_and_framing_is_passed_on_unchanged(form):
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


def test_first_bytes_are_passed_on_at_once_and_the_stream_has_no_time_limit():
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


def test_truncated_response_ends_the_client_connection_and_counts_as_failed():
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


def test_truncated_response_is_reset_for_an_http_1_0_client():
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


def test_response_that_stalls_midway_is_abandoned(monkeypatch):
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


def test_slow_client_slows_its_backend_and_little_is_buffered():
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


def test_connection_closes_after_the_last_byte_for_a_slow_client(monkeypatch):
    monkeypatch.setattr(line_module, "LINGER_S", 0.0)

    async def main():
        body = LARGE * 2
        backend = await Peer.start(ok(body))
        rig = IngressRig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        await until(lambda: rig.server.connections)
        ours = next(iter(rig.server.connections)).transport.get_extra_info("socket")
        ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)  # the rest is buffered in this process
        client.writer.write(call(Connection="close"))
        assert (await read_answer(client))[1] == body
        assert await client.reader.read() == b""
        await until(lambda: not rig.server.connections)

    run(main())


def test_closed_connection_has_no_unsent_bytes():
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


def test_client_that_disconnects_midway_ends_its_attempt():
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


def test_http_1_0_client_gets_a_response_without_length_until_the_connection_ends():
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
    """A backend that reads requests of any size, and sends the answers of the test."""

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
def test_request_of_any_size_is_passed_on_unchanged(chunk):
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


def test_slow_backend_slows_its_client_and_little_is_buffered():
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


def test_deadline_starts_with_the_last_byte_of_a_body():
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


def test_refusal_is_sent_before_the_body_and_the_rest_is_discarded():
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
def test_malformed_or_stalled_body_is_answered_and_never_complete(monkeypatch, spoil, status):
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


def test_client_that_sends_much_and_then_nothing_times_out(monkeypatch):
    monkeypatch.setattr(connection_interfaces, "USUAL", connection_interfaces.Limits(slow=0.1))
    monkeypatch.setattr(client_module, "BODY_IDLE_TIMEOUT_S", 0.1)
    monkeypatch.setattr(server_module, "SWEEP_INTERVAL_S", 0.01)

    async def main():
        backend = await UploadBackend().listen()
        rig = IngressRig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        client.writer.write(post("r1", LARGE * 2)[:-5])  # as much as a slow body has in a minute
        assert (await client.answer())[0] == 408
        assert not backend.got

    run(main())


def test_request_of_a_client_that_disconnects_in_its_body_never_ran():
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


def test_attempt_that_ends_within_the_body_never_ran_and_is_not_retried():
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


def test_connection_isnt_reused_after_an_answer_before_the_end_of_the_body():
    async def main():
        bodies: list[bytes] = []  # bytes received on each connection
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


def test_body_is_kept_for_the_next_attempt_after_a_refused_connection():
    async def main():
        backend = await UploadBackend().listen()
        rig = IngressRig(in_turn("gone", "b0"))
        client = await rig.start(b0=backend.port, gone=closed_port())
        client.writer.write(post("r1", LARGE))
        assert (await client.answer())[0] == 200 and backend.got == [LARGE]
        assert [(e.outcome, e.spent) for e in rig.script.ends()][0] == (io.Outcome.CONNECT_FAILED, False)

    run(main())


def test_client_that_expects_100_continue_receives_it():
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


def test_absolute_form_target_is_accepted():
    async def main():
        backend = await Peer.start(ok())
        rig = IngressRig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        assert (await client.ask(call(path="HTTP://backend.local/api/000000000000000a?x=1")))[0] == 200
        assert backend.seen[0].line == "GET /api/000000000000000a?x=1 HTTP/1.1"

    run(main())


def test_bodies_are_buffered_while_there_is_room_and_room_is_released():
    async def main():
        backend = await UploadBackend().listen()
        rig = IngressRig(in_turn("b0"))
        rig.server.max_body_bytes = 500_000
        client = await rig.start(b0=backend.port)
        slow, gone = await Client.connect(rig.port), await Client.connect(rig.port)
        body = LARGE[:300_000]
        slow.writer.write(post("slow", body)[:-1])
        await until(lambda: rig.server.body_bytes == 300_000)
        assert not rig.ingress.pending  # an incomplete request isn't pending
        gone.writer.write(post("gone", LARGE[:150_000], 7000)[:-9])
        await until(lambda: rig.server.body_bytes > 440_000)
        gone.writer.close()
        await until(lambda: rig.server.body_bytes == 300_000)
        client.writer.write(post("second", body))  # no room: the body is streamed
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


# The decision module.


def test_incomplete_body_is_no_work_and_the_deadline_starts_at_its_end():
    g = Driven(backends=1)
    a = single_action(
        g.handle(io.Request("u1", "once", "basic", 7, 6.0, 1.0, 2, streams_body=True)), io.Attempt
    )
    assert g.gateway.limit.in_flight == 0
    assert (
        not actions_of_kind(g.advance(30.0), io.CancelAttempt)
        and not g.gateway.fleet.backends["b0"].ejected_until
    )
    g.handle(io.AttemptWritten("u1", 0, "b0"))
    assert g.gateway.limit.in_flight == 1 and g.gateway.active_requests["u1"].due_at == g.now + 2.0
    g.end(a)
    assert (
        g.gateway.limit.in_flight == 0 and not g.gateway.active_requests and g.gateway.latency["once"] < 1.0
    )


def test_request_whose_body_was_sent_is_not_retried():
    g = Driven(backends=3)
    a = single_action(
        g.handle(io.Request("u1", "once", "basic", 7, 6.0, 1.0, 2, streams_body=True)), io.Attempt
    )
    first = io.AttemptEnded("u1", 0, a.backend, io.Outcome.CONNECT_FAILED, 0.1, False)
    b = single_action(g.handle(first), io.Attempt)
    end = io.AttemptEnded("u1", 1, b.backend, io.Outcome.CONNECT_FAILED, 0.1, False, spent=True)
    single_action(g.handle(end), io.Refuse)


def test_streaming_response_releases_its_slot_and_does_not_count_as_hanging():
    g = Driven(backends=2)
    a = single_action(g.ask(), io.Attempt)
    g.now += 0.2
    g.handle(io.AttemptStarted(a.request, 0, a.backend, 0.2))
    assert g.gateway.limit.in_flight == 0 and not g.gateway.fleet.backends[a.backend].in_flight
    assert not actions_of_kind(g.advance(30.0), io.CancelAttempt)
    assert g.gateway.members(g.now) == (2, 0)
    g.end(a, elapsed=30.0)
    assert (
        not g.gateway.active_requests and g.gateway.limit.in_flight == 0 and g.gateway.latency["read"] < 1.0
    )
