"""Tests of the server for clients: malformed input, limits, time limits and drains."""

from __future__ import annotations

import asyncio
import socket

import pytest

from ingress import interface as io
from ingress.net import client as client_module
from ingress.net import connection_interfaces
from ingress.net import server as server_module
from ingress.net.process_state import State
from tests.ingress.socket_rig import (
    HOST,
    Client,
    IngressRig,
    Peer,
    call,
    entry,
    in_turn,
    listing,
    ok,
    run,
    until,
)

BODY = b"x" * (64 * 1024)


@pytest.mark.parametrize(
    "raw,status",
    [
        (b"no http at all\r\n\r\n", 400),
        (b"GET /api/000000000000000a HTTP/9.9\r\n\r\n", 400),
        (b"\x00\xff\x00\xff\r\n\r\n", 400),
        (call(Content_Length="-5"), 400),
        (call(Content_Length="5", Transfer_Encoding="chunked"), 400),
        # Input that an ingress and a backend could parse differently.
        (call(cls="pay", Transfer_Encoding="chunked", Content_Length="5"), 400),
        *(
            (call(cls="pay", Content_Length=None, Transfer_Encoding=t), 400)
            for t in (
                "identity",
                "gzip, chunked",
                "chunked, gzip",
                "xchunked",
                "\x0bchunked",
                "chunked, chunked",
            )
        ),
        *(
            (call(cls="pay", Content_Length=n), 400)
            for n in ("-1", "+5", "5, 5", "0x5", "1_0", "", "99999999999999999999999")
        ),
        (call(cls="pay", Content_Length="5\r\nContent-Length: 5"), 400),
        (call(cls="pay", Content_Length="63000000"), 413),
        (call(X_A="a\rb"), 400),
        (call(X_A="a\x00b"), 400),
        (call(X_A="a\r\n b"), 400),
        (call(X_A="a\x01"), 400),
        (call().replace(b"Host:", b"Host :"), 400),
        (call().replace(b"\r\n", b"\n"), 400),
        (call(X_Call_Id="r1\r\nX-Call-Id: r2"), 400),
        (call(Host="a"), 400),
        (call(cls="pay", Idempotency_Key="a\r\nIdempotency-Key: b"), 400),
        (call(Connection="upgrade", Upgrade="h2c"), 400),
        (b"CONNECT x:80 HTTP/1.1\r\n\r\n", 400),
        (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 400),
        (b"GET http://x/api/000000000000000a HTTP/1.1\r\n\r\n", 400),
        *(
            (call(cls="pay", Content_Length=None, Transfer_Encoding="chunked", body=b), 400)
            for b in (b"-5\r\nabcde\r\n0\r\n\r\n", b"fffffffffffffffffff\r\na", b"3\r\nabcde\r\n0\r\n\r\n")
        ),
        (call(X_Call_Id=None), 400),
        (call(X_Call_Id="x" * 65), 400),
        (call(X_Call_Id="a b"), 400),
        (call(X_Call_Class=None), 400),
        (call(X_Call_Class="unheard-of"), 400),
        (call(X_Tier=None), 400),
        (call(X_Tier="unheard-of"), 400),
        (call(X_Budget=None), 400),
        *(
            (call(budget=b), 400)
            for b in ("480", "0m", "-1m", "9999999999m", "99999999999999999999m", "nanm")
        ),
        *(
            (call(X_Call_Terms=t), 400)
            for t in (
                None,
                "units=nan,spread=1,first=0",
                "units=-1,spread=1,first=0",
                "units=5,spread=1,first=0",
                "units=1,spread=0,first=0",
                "units=1,spread=9,first=0",
                "units=1,spread=1,first=3",
                "units,spread,first",
                "",
                "units=0,spread=1,first=0",
                "units=1_0,spread=1,first=0",
                "units=1e0,spread=1,first=0",
                "units=1,spread=1.5,first=0",
                "units=1,spread=-1,first=0",
                "units=1,spread=1,first=-1",
                "units=1,units=2,spread=1,first=0",
                "units=inf,spread=1,first=0",
            )
        ),
        (call(cls="pay", Idempotency_Key=None), 400),
        (call(cls="pay").replace(b"POST", b"GET"), 400),
        (call().replace(b"GET", b"POST"), 400),
        (call().replace(b"GET", b"DELETE"), 400),
        (call(path="/api/0000000200000000"), 400),
        (call(path="/"), 404),
        (call(path="/api/12"), 404),
        (call(path="/api/000000000000000a/more"), 404),
        (call(path="/load"), 404),
        (call(path="/a\xe9\xff"), 400),
        (call(path="/" + "a" * 20_000), 431),
        (call(Other="x" * 20_000), 431),
        (call(**{f"Other_{i}": "x" for i in range(3000)}), 431),
    ],
)
def test_malformed_input_is_answered_and_the_next_request_served(raw, status):
    async def main():
        backend = await Peer.start()
        rig = IngressRig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        assert (await client.ask(raw))[0] == status
        assert not backend.seen and not rig.script.ends()
        other = await Client.connect(rig.port)
        assert (await other.ask(call("good")))[0] == 200

    run(main())


def test_largest_body_is_accepted():
    async def main():
        backend = await Peer.start()
        rig = IngressRig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        assert (await client.ask(call(cls="pay", body=BODY)))[0] == 200
        assert backend.seen[0].body == BODY

    run(main())


def test_endless_head_is_rejected():
    async def main():
        rig = IngressRig(in_turn("b0"))
        client = await rig.start()
        client.writer.write(b"GET /api/000000000000000a HTTP/1.1\r\nX: ")
        for _ in range(20):
            client.writer.write(b"a" * 1024)
            await asyncio.sleep(0)
        assert (await client.answer())[0] == 431

    run(main())


@pytest.mark.parametrize("begun", [b"GET /api/0000", call(cls="pay", body=b"12345")[:-1]])
def test_incomplete_request_times_out(monkeypatch, begun):
    monkeypatch.setattr(connection_interfaces, "USUAL", connection_interfaces.Limits(slow=0.02))
    monkeypatch.setattr(server_module, "SWEEP_INTERVAL_S", 0.01)

    async def main():
        rig = IngressRig(in_turn("b0"))
        client = await rig.start()
        assert (await client.ask(begun))[0] == 408
        assert await client.reader.read() == b""

    run(main())


def test_idle_connections_are_closed(monkeypatch):
    """Clients that send nothing, or nothing after one request, would use up the file descriptors."""
    monkeypatch.setattr(connection_interfaces, "USUAL", connection_interfaces.Limits(slow=0.02, idle=0.04))
    monkeypatch.setattr(server_module, "SWEEP_INTERVAL_S", 0.01)

    async def main():
        backend = await Peer.start()
        rig = IngressRig(in_turn("b0"))
        silent = await rig.start(b0=backend.port)
        once = await Client.connect(rig.port)
        assert (await once.ask(call()))[0] == 200
        assert await silent.reader.read() == b"" and await once.reader.read() == b""
        await until(lambda: not rig.server.connections)

    run(main())


def test_connections_without_a_request_are_closed_before_used_ones():
    async def main():
        backend = await Peer.start()
        rig = IngressRig(in_turn("b0"))
        rig.server.max_connections = 2
        used = await rig.start(b0=backend.port)
        assert (await used.ask(call("r1")))[0] == 200
        silent = await Client.connect(rig.port)
        third = await Client.connect(rig.port)
        assert (await third.ask(call("r2")))[0] == 200
        assert await silent.reader.read() == b""
        assert (await used.ask(call("r3")))[0] == 200

    run(main())


def test_client_that_does_not_read_is_disconnected(monkeypatch):
    monkeypatch.setattr(connection_interfaces, "USUAL", connection_interfaces.Limits(slow=0.1))
    monkeypatch.setattr(server_module, "SWEEP_INTERVAL_S", 0.01)

    async def main():
        backend = await Peer.start(ok(BODY))
        rig = IngressRig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        client.writer.transport.pause_reading()
        for n in range(client_module.MAX_PIPELINED * 20):  # more than the kernel buffers
            client.writer.write(call(f"r{n}"))
        await until(lambda: not rig.server.connections)
        assert len(backend.seen) < client_module.MAX_PIPELINED * 20

    run(main())


def test_too_large_body_is_rejected_by_its_head_and_not_read():
    async def main():
        rig = IngressRig(in_turn("b0"))
        client = await rig.start()
        status, headers, _ = await client.ask(call(cls="pay", Content_Length="63000000"))
        assert (status, headers["connection"]) == (413, "close")
        connection = next(iter(rig.server.connections))
        client.writer.write(b"x" * (4 * client_module.LINGER_BYTES))
        await until(lambda: connection.paused or not rig.server.connections)
        await until(lambda: not rig.server.connections)

    run(main())


def test_malformed_request_ends_its_connection():
    """A client that repeats it at once has to connect again each time."""

    async def main():
        rig = IngressRig(lambda event: [])
        first = await rig.start()
        first.writer.write(call("same"))
        await until(lambda: rig.ingress.pending)
        for raw in (call("r1", X_Tier="unheard-of"), call("same"), call(path="/nowhere")):
            client = await Client.connect(rig.port)
            status, headers, _ = await client.ask(raw)
            assert status in (400, 404) and headers["connection"] == "close"
            assert await client.reader.read() == b""

    run(main())


def test_request_is_not_held_longer_than_its_class_allows():
    async def main():
        rig = IngressRig(lambda event: [])
        client = await rig.start()
        client.writer.write(call(budget="3600000m"))
        await until(lambda: rig.script.events[1:])
        assert rig.script.events[-1].expires_in <= 6.0

    run(main())


def test_pipelined_requests_are_answered_in_order():
    async def main():
        go = asyncio.Event()

        async def act(seen):
            if seen.headers["x-call-id"] == "r0":
                await go.wait()
            return ok(seen.headers["x-call-id"].encode())

        backend = await Peer(act).listen()
        rig = IngressRig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        count = client_module.MAX_PIPELINED + 8
        client.writer.write(b"".join(call(f"r{i}") for i in range(count)) + b"rubbish\r\n\r\n")
        await until(lambda: backend.seen)
        go.set()
        for i in range(count):
            assert (await client.answer())[2] == f"r{i}".encode()
        assert (await client.answer())[0] == 400

    run(main())


def test_healthz_reports_whether_a_request_can_be_served():
    async def main():
        backend = await Peer.start()
        rig = IngressRig(in_turn("b0"))
        client = await rig.start()
        health = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
        assert (await client.ask(health))[0] == 503
        rig.ingress.apply_backend_list(listing(entry("b0", backend.port)))
        assert (await client.ask(health))[0] == 200

    run(main())


def test_longest_idle_client_is_closed_beyond_the_connection_limit():
    async def main():
        backend = await Peer.start()
        rig = IngressRig(in_turn("b0"))
        rig.server.max_connections = 2
        one = await rig.start(b0=backend.port)
        two = await Client.connect(rig.port)
        await one.ask(call("r1"))
        await two.ask(call("r2"))
        await one.ask(call("r3"))
        three = await Client.connect(rig.port)
        assert (await three.ask(call("r4")))[0] == 200
        assert await two.reader.read() == b""
        assert (await one.ask(call("r5")))[0] == 200

    run(main())


def test_client_beyond_the_limit_is_answered_if_none_is_idle():
    async def main():
        rig = IngressRig(lambda event: [])
        rig.server.max_connections = 1
        one = await rig.start()
        one.writer.write(call("r1"))
        await until(lambda: rig.ingress.pending)
        two = await Client.connect(rig.port)
        status, headers, _ = await two.ask(call("r2"))
        assert (status, headers["connection"]) == (503, "close") and float(headers["retry-after"]) > 0
        assert await two.reader.read() == b"" and list(rig.ingress.pending) == ["r1"]

    run(main())


def test_connection_accepted_during_shutdown_does_not_delay_the_exit(monkeypatch):
    monkeypatch.setattr(server_module, "DRAIN_ACCEPT_S", 0.0)

    async def main():
        backend = await Peer.start(None)
        rig = IngressRig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        client.writer.write(call("r1", budget="400m"))
        await until(lambda: backend.seen)
        leaving = asyncio.create_task(rig.server.leave())
        await until(lambda: rig.server.leaving)
        ours, theirs = socket.socketpair()
        loop = asyncio.get_running_loop()
        await loop.connect_accepted_socket(lambda: client_module.ClientConnection(rig.server), ours)
        await leaving
        assert (await client.answer())[1]["connection"] == "close"
        theirs.close()

    run(main())


HEALTH = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"


def test_drain_fails_health_checks_closes_connections_and_can_be_undone(monkeypatch):
    monkeypatch.setattr(server_module, "DRAIN_ACCEPT_S", 0.1)

    async def main():
        go = asyncio.Event()

        async def act(seen):
            await go.wait()
            return ok()

        backend = await Peer(act).listen()
        rig = IngressRig(in_turn("b0"))
        idle = await rig.start(b0=backend.port)
        busy, used = await Client.connect(rig.port), await Client.connect(rig.port)
        assert (await used.ask(HEALTH))[0] == 200
        busy.writer.write(call("r1"))
        await until(lambda: backend.seen)
        rig.server.drain()
        rig.server.drain()  # a second call has no effect
        status, headers, _ = await used.ask(HEALTH)
        assert status == 503 and headers["connection"] == "close"
        assert await idle.reader.read() == b""
        late = await Client.connect(rig.port)  # health checks are still answered
        assert (await late.ask(HEALTH))[0] == 503
        go.set()
        status, headers, _ = await busy.answer()
        assert status == 200 and headers["connection"] == "close"
        assert await busy.reader.read() == b""
        await until(lambda: not rig.server.connections)
        assert rig.server.resume() and rig.server.resume()
        kept = await Client.connect(rig.port)
        for _ in range(2):
            status, headers, _ = await kept.ask(HEALTH)
            assert status == 200 and "connection" not in headers

    run(main())


def test_drain_closes_a_connection_after_its_last_read_request():
    async def main():
        go = asyncio.Event()

        async def act(seen):
            await go.wait()
            return ok(seen.headers["x-call-id"].encode())

        backend = await Peer(act).listen()
        rig = IngressRig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        client.writer.write(b"".join(call(f"r{n}") for n in range(3)))
        await until(lambda: any(len(c.waiting) == 2 for c in rig.server.connections))
        rig.server.drain()
        go.set()
        for n in range(3):
            status, headers, body = await client.answer()
            assert (status, body) == (200, b"r%d" % n)
            assert ("connection" in headers) is (n == 2)
        assert await client.reader.read() == b""

    run(main())


def test_drain_cannot_be_undone_while_the_process_ends():
    async def main():
        rig = IngressRig(in_turn("b0"))
        await rig.start()
        leaving = asyncio.create_task(rig.server.leave())
        await until(lambda: rig.server.draining)
        assert not rig.server.resume() and rig.server.draining
        await leaving

    run(main())


def test_during_an_upgrade_health_is_shared_and_the_new_process_gets_new_connections(tmp_path):
    async def main():
        old, new = IngressRig(in_turn("b0")), IngressRig(in_turn("b0"))
        state = State(str(tmp_path))
        state.siblings = lambda: [(0, 0)]
        old.ingress.state = state
        client = await old.start(b0=1)
        await new.start(b0=1)
        await new.server.listen(HOST, old.port)
        leaving = asyncio.create_task(old.server.leave())
        await until(lambda: old.server.draining)
        status, headers, _ = await client.ask(HEALTH)
        assert status == 200 and headers["connection"] == "close"
        before = len(new.server.connections)
        clients = [await Client.connect(old.port) for _ in range(20)]
        await until(lambda: len(new.server.connections) == before + 20)
        for c in clients:
            assert (await c.ask(HEALTH))[0] == 200
        await leaving
        assert (await (await Client.connect(old.port)).ask(HEALTH))[0] == 200

    run(main())


def test_whitespace_around_header_values_is_ignored():
    async def main():
        backend = await Peer.start(ok(b"fine", b"X-Cost-Units:  3 \t"))
        rig = IngressRig(in_turn("b0"))
        client = await rig.start(b0=backend.port)
        raw = call(budget="6000m \t").replace(b"read\r\n", b" \tread \r\n").replace(b"basic", b"basic ")
        assert (await client.ask(raw))[0] == 200
        request = next(e for e in rig.script.events if isinstance(e, io.Request))
        assert (request.class_name, request.plan) == ("read", "basic")
        assert rig.script.ends()[0].true_units == 3

    run(main())


def test_short_retry_after_is_not_rounded_to_zero():
    async def main():
        rig = IngressRig(lambda e: [io.Refuse(e.id, 0.0001)] if isinstance(e, io.Request) else [])
        client = await rig.start()
        status, headers, _ = await client.ask(call())
        assert status == 429 and float(headers["retry-after"]) > 0

    run(main())
