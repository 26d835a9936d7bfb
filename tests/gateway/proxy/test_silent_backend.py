"""Tests of unresponsive backends: the proxy waits for the response unless another backend can give it."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from ingress import interface as io
from ingress.net import upstream
from tests.gateway.proxy.proxy_fixture import ProxyFixture, answer, asked
from tests.gateway.proxy.test_message_ends import LARGE, head, read
from tests.gateway.proxy.test_proxy_startup import flight, service
from tests.ingress.socket_rig import Client, run, until

LENGTH = f"Content-Length: {len(LARGE)}"


async def stopped(plane: ProxyFixture) -> None:
    """Wait until a response has begun, and then until it counts as stalled."""
    await until(lambda: any(c.stall is not None for c in plane.upstream.connections))
    next(c for c in plane.upstream.connections if c.stall is not None).stalled()


@pytest.mark.parametrize(("path", "backends"), [("/order/1", 2), ("/read/1", 1)])
def test_stalled_response_is_waited_for_if_no_other_backend_can_give_it(path: str, backends: int) -> None:
    async def main() -> None:
        plane = ProxyFixture()
        client = await plane.start(lambda seen: head(seen, "Content-Length: 4") + b"fi", backends=backends)
        client.writer.write(asked(path, method="POST"))
        await stopped(plane)
        backend = next(peer for peer in plane.peers.values() if peer.seen)
        backend.seen[0].writer.write(b"ne")
        assert (await client.answer())[::2] == (200, b"fine")

    run(main())


def test_safe_request_is_retried_on_another_backend() -> None:
    async def main() -> None:
        plane = ProxyFixture()
        client = await plane.start(lambda seen: head(seen, "Content-Length: 4") + b"fi", answer(), backends=2)
        asking = asyncio.ensure_future(client.ask(asked()))
        await stopped(plane)
        assert (await asking)[::2] == (200, b"fine")
        assert len(plane.used_backends) == 2

    run(main())


async def half_of_a_large_answer(patience: int) -> tuple[ProxyFixture, Client]:
    """Return a client that has received the head of a large response whose second half doesn't arrive."""
    plane = ProxyFixture()
    client = await plane.start(lambda seen: head(seen, LENGTH) + LARGE[: len(LARGE) // 2])
    await read(client, asked(patience=patience))
    return plane, client


def test_stalled_large_response_is_waited_for_until_the_deadline() -> None:
    async def main() -> None:
        plane, client = await half_of_a_large_answer(4000)
        await stopped(plane)
        plane.peers["i1"].seen[0].writer.write(LARGE[len(LARGE) // 2 :])
        assert await client.reader.readexactly(len(LARGE)) == LARGE

    run(main())


def test_stalled_large_response_is_cut_at_the_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    for period in ("STALL_S", "FLOW_STALL_S"):
        monkeypatch.setattr(upstream, period, 0.01)

    async def main() -> None:
        plane, client = await half_of_a_large_answer(100)
        with pytest.raises(asyncio.IncompleteReadError):
            await client.reader.readexactly(len(LARGE))
        await until(lambda: not plane.ingress.pending)

    run(main())


@pytest.mark.parametrize(("left", "cancelled"), [(1, 0), (2, 1)])
def test_hanging_attempt_is_cancelled_only_if_there_is_another_backend(left: int, cancelled: int) -> None:
    s = service(lambda *_: None)
    cls = io.ClassSettings("read", io.Effect.SAFE, 60.0, 60.0)
    s.learn_route(cls, 2.0, "t1")
    s.budget.share_among(0.0, 1)
    f: Any = flight("r1", cls)
    f.req.context.route.tries = 2
    s.active_requests["r1"] = f
    s.send(0.0, f)
    backend = s.actions[0].backend
    others = [b for b in s.fleet.backends if b != backend]
    for name in others[left - 1 :]:
        entry = io.BackendEntry(name, io.Phase.DELETED, 4.0, zone="z1")
        s.apply_backend_list(0.0, io.ListUpdate(io.ListKind.CHANGE, 0, (entry,)))
    s.actions = []
    s.sweep(30.0)
    assert len([a for a in s.actions if isinstance(a, io.CancelAttempt)]) == cancelled
