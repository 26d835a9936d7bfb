"""Tests of complete exchanges through a proxy: client, charge, backends, and the one final response."""

from __future__ import annotations

import asyncio
from typing import Any, NamedTuple

import pytest
from syrupy.assertion import SnapshotAssertion

from gateway.proxy import service as services
from gateway.proxy.execution_status import ExecutionStatus
from gateway.proxy.retry_budget import RetryBudget
from gateway.quota import quota_pb2 as pb
from gateway.quota.events import Received
from gateway.quota.protocol import VerdictCode
from ingress import interface as io
from tests.gateway.proxy.proxy_fixture import HOLDER, Act, ProxyFixture, answer, asked, full, reset, silent
from tests.ingress.socket_rig import HOST, Client, run, until

OVER = pb.Verdict(code=VerdictCode.REJECTED, window_ends_in_ms=700)


def strange(seen: Any) -> bytes:
    """Send an answer to another request before the right one."""
    return answer(body=b"another's", Attempt_Id="a0")(seen) + answer()(seen)


def stop(seen: Any) -> bytes:
    """Send less of the body than the head announces, and keep the connection open."""
    return answer(body=b"0123456789")(seen)[:-4]


def cut(seen: Any) -> bytes:
    """Send less of the body than the head announces, and close the connection."""
    seen.writer.write(stop(seen))
    return b""


def cut_large(seen: Any) -> bytes:
    """Truncate an answer that is too large to be buffered, so that the client has received its beginning."""
    seen.writer.write(answer(body=bytes(99_999))(seen)[:-9])
    return b""


def twice(seen: Any) -> bytes:
    """Send the answer, and then bytes that belong to no request."""
    return answer()(seen) * 2


class Scenario(NamedTuple):
    """A request, and what backends do in the order in which they are used; the last action is repeated."""

    asks: list[bytes]
    actions: list[Act]
    backends: int = 1
    terms: dict[str, Any] = {}
    configured: bool = True


READ, ORDER, AGAIN = asked(), asked("/order/1", method="POST", body=b"one"), asked(name="a2")
SCENARIOS = {
    "a request goes on under its tenant's name": Scenario(
        [asked("/read/1?q=2"), asked("/open/x", key=None, name="a2"), asked("/open/x", key="k0", name="a3")],
        [answer()],
    ),
    "what no configuration allows": Scenario(
        [asked("/none/1"), asked(host="b.example"), asked(key=None), asked(key="k0"), asked(name=None)],
        [answer()],
    ),
    "no configuration yet": Scenario([READ], [answer()], configured=False),
    "no backend": Scenario([READ, asked("/empty/1")], [answer()], 0),
    "over quota": Scenario([ORDER], [answer()], 1, {"verdict": OVER}),
    "another's answer": Scenario([READ], [strange]),
    "another's answer alone": Scenario([asked("/order/1", patience=300)], [answer(Attempt_Id="a0")]),
    "a success without seal": Scenario([ORDER, AGAIN], [answer(Backend_Seal=None)]),
    "not executed": Scenario([ORDER], [full, answer()], 2),
    "not executed, more often than may be tried": Scenario([ORDER], [full, full, answer()], 3),
    "another instance": Scenario([ORDER], [answer(421, b"", Not_Executed="1"), answer()], 2),
    "a break after an unsafe one was sent": Scenario([ORDER], [reset, answer()], 2),
    "a break, and a safe one": Scenario([READ], [reset, answer()], 2),
    "breaks without end": Scenario([READ], [reset, reset, answer()], 3),
    "a break beyond the budget": Scenario([READ], [reset, answer()], 2, {"slack": 0.0}),
    "not executed beyond the budget": Scenario([ORDER], [full, answer()], 2, {"slack": 0.0}),
    "a failure of the backend's own": Scenario([ORDER, AGAIN], [answer(500, b"broken", X_Why="bug")]),
    "a failure, and another that has not run it": Scenario([READ], [answer(500, b"broken"), full], 2),
    "promises that a backend can't make": Scenario(
        [asked("/order/1", name=f"a{i}") for i in range(4)],
        [answer(503, b"x"), answer(429, b"x"), answer(408, b"x"), answer(404, b"x")],
    ),
    "an answer cut short": Scenario([ORDER], [cut]),
    "an answer that stops": Scenario([asked("/order/1", patience=200)], [stop]),
    "a large answer cut short": Scenario([ORDER], [cut_large]),
    "no answer in the protocol": Scenario([ORDER], [lambda seen: b"rubbish"]),
    "bytes behind an answer": Scenario([READ, AGAIN], [twice, answer(body=b"mine")]),
    "silence until the deadline": Scenario([asked("/order/1", patience=200)], [silent]),
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_exchange(name: str, snapshot: SnapshotAssertion) -> None:
    story = SCENARIOS[name]

    async def main() -> None:
        plane = ProxyFixture(**story.terms)
        client = await plane.start(*story.actions, backends=story.backends, configured=story.configured)
        for raw in story.asks:
            await plane.ask(raw, client)
        assert "\n".join(plane.transcript) == snapshot
        assert (
            not plane.ingress.pending
            and not plane.decisions.service_by_request
            and not plane.decisions.charged_requests
        )

    run(main())


def test_draining_or_removed_backend_gets_no_requests() -> None:
    async def main() -> None:
        plane = ProxyFixture()
        client = await plane.start(answer(), backends=2)
        for phase in (io.Phase.STOPPING, io.Phase.DELETED):
            plane.ingress.backend("i1", "s1", (HOST, plane.peers["i1"].port), phase, 0.0)
            seen = len(plane.peers["i1"].seen)
            for i in range(8):
                assert await plane.ask(asked(name=f"{phase.value}{i}"), client) == 200
            assert len(plane.peers["i1"].seen) == seen

    run(main())


def test_charge_is_refunded_if_the_client_disconnects_before_the_request_is_sent() -> None:
    async def main() -> None:
        plane = ProxyFixture()
        await plane.start(silent)
        plane.owner_is_silent = True
        client = await Client.connect(plane.port)
        client.writer.write(asked())
        await until(lambda: plane.charges)
        client.writer.close()
        await until(lambda: not plane.ingress.pending)
        plane.ingress.handle_quota(Received(HOLDER, pb.Message(verdict=pb.Verdict(id=plane.charges[0]))))
        assert plane.transcript == ["count  charge: go", "count  one given back"]
        assert not plane.peers["i1"].seen and not plane.decisions.pending_charges

    run(main())


def test_charge_stands_if_the_client_disconnects_after_the_request_was_sent() -> None:
    async def main() -> None:
        plane = ProxyFixture()
        client = await plane.start(silent)
        client.writer.write(asked("/order/1"))
        await until(lambda: plane.peers["i1"].seen)
        client.writer.close()
        await until(lambda: not plane.server.connections)
        assert not any("given back" in line for line in plane.transcript)

    run(main())


def test_evicting_routes_does_not_affect_requests_in_flight() -> None:
    async def main() -> None:
        plane = ProxyFixture()
        go = asyncio.Event()
        await plane.start(answer())
        act = plane.peers["i1"].act

        async def waits(seen: Any) -> bytes | None:
            await go.wait()
            return await act(seen)

        plane.peers["i1"].act = waits
        asks = asyncio.gather(*(plane.ask(asked(name=f"{i}")) for i in range(9)))  # above the limit
        await until(lambda: plane.peers["i1"].seen)
        service = plane.decisions.services["s1"]
        for i in range(2 * services.MAX_REJECTION_KEYS):
            service.learn_route(io.ClassSettings(f"r{i}", io.Effect.SAFE, 1.0, 1.0), 1.0, "")
        assert len(service.rejection_share) <= services.MAX_REJECTION_KEYS + 1
        go.set()
        assert set(await asks) == {200}

    run(main())


def test_exception_after_a_verdict_ends_its_request_at_once(caplog: pytest.LogCaptureFixture) -> None:
    async def main() -> None:
        plane = ProxyFixture()
        client = await plane.start(answer())
        assert await plane.ask(asked(), client) == 200
        service = plane.decisions.services["s1"]
        send, service.send = service.send, lambda now, f: 1 / 0  # type: ignore[method-assign]
        assert await plane.ask(asked(name="a2"), client) == 503
        service.send = send  # type: ignore[method-assign]
        assert await plane.ask(asked(name="a3"), client) == 200
        assert not plane.ingress.pending and "could not forward request a2" in caplog.text

    run(main())


def test_retry_budget_is_a_sliding_window_and_a_new_process_has_half_the_slack() -> None:
    budget = RetryBudget(0.2, 8.0, 10.0, 2)
    budget.share_among(99.0, 1)  # the other proxy may be unreachable
    budget.share_among(99.1, 1)
    assert budget.allows(100.0)
    for _ in range(2):
        budget.count(100.0, True)
    assert not budget.allows(100.5)
    for _ in range(10):
        budget.count(101.0, False)
    assert budget.allows(101.0)
    budget.count(101.0, True)
    assert not budget.allows(109.0) and budget.allows(112.0)
    assert len(budget.seconds) <= 12
    budget.share_among(170.0, 1)
    assert budget.ingresses == 1


@pytest.mark.parametrize("told", [(), (10, 40, 100)])
def test_new_processes_share_the_slack_before_all_are_counted(told: tuple[int, ...]) -> None:
    budgets = [RetryBudget(0.2, 64.0, 10.0, 12) for _ in range(100)]
    spent, now = 0, 100.0
    for step in range(30):
        now += 0.1
        for budget in budgets:
            if step % 5 == 0 and step // 5 < len(told):
                budget.share_among(now, told[step // 5])
            while budget.allows(now):
                budget.count(now, True)
                spent += 1
    assert spent <= 64


def test_what_a_verdict_allows() -> None:
    assert [
        v.allows_refusal
        for v in (ExecutionStatus.NEVER_RAN, ExecutionStatus.MAY_HAVE_RAN, ExecutionStatus.RAN)
    ] == [True, False, False]
    assert ExecutionStatus.NEVER_RAN.repeatable(False) and not ExecutionStatus.MAY_HAVE_RAN.repeatable(False)
    assert ExecutionStatus.MAY_HAVE_RAN.repeatable(True)
