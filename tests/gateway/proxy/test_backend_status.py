"""Tests of the status of failed responses, and of the remaining time that backends receive."""

from __future__ import annotations

import asyncio

import pytest

from tests.gateway.proxy.proxy_fixture import ProxyFixture, answer, asked, reset
from tests.ingress.socket_rig import run, until

EARLIER_MS = 60  # time between the first and the second attempt


@pytest.mark.parametrize("status", [301, 400, 404, 408, 421, 429, 500, 502, 503, 504])
def test_status_of_a_sealed_failure_is_passed_on(status: int) -> None:
    async def main() -> None:
        plane = ProxyFixture()
        client = await plane.start(answer(status, b"no", Backend_Seal="3e1b.07"))
        got, headers, _ = await client.ask(asked("/order/1", method="POST"))
        assert got >= 300 and ("backend-seal" not in headers or got == status)

    run(main())


def test_second_attempt_has_the_remaining_deadline() -> None:
    async def main() -> None:
        plane, loop = ProxyFixture(), asyncio.get_running_loop()
        told: list[int] = []
        client = await plane.start(reset, answer(), backends=2)

        def record(act):  # type: ignore[no-untyped-def]
            async def wait(seen):  # type: ignore[no-untyped-def]
                told.append(int(seen.headers["deadline-ms"]))
                ends = loop.time() + EARLIER_MS / 1000
                await until(lambda: loop.time() >= ends)
                return await act(seen)

            return wait

        for peer in plane.peers.values():
            peer.act = record(peer.act)
        assert (await client.ask(asked(patience=1000)))[0] == 200
        assert len(told) == 2 and told[0] <= 1000 and 0 < told[1] <= told[0] - EARLIER_MS

    run(main())


def test_request_without_deadline_has_that_of_its_route() -> None:
    async def main() -> None:
        plane = ProxyFixture()
        client = await plane.start(answer())
        raw = asked().replace(b"Deadline-Ms: 4000\r\n", b"")
        assert (await client.ask(raw))[0] == 200
        assert 0 < int(plane.peers["i1"].seen[0].headers["deadline-ms"]) <= 5000

    run(main())
