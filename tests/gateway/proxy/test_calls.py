"""Tests of the proxy on random schedules of delays, losses, resets and malformed responses.

Each client gets its own response or a visible failure, an unsafe request runs at most once, and a response
that promises that a request never runs is given only if that is true.
"""

from __future__ import annotations

import os
import random
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gateway.proxy.execution_status import ExecutionStatus
from simulation.model import injected_bugs
from tests.gateway.proxy.call_simulation import (
    CLIENT_TIMEOUT_S,
    ArrivedRequest,
    Ask,
    BackendLink,
    ProxyHarness,
    body_of,
    public_routes,
    seal,
)

FIRST_SEED = int(os.environ.get("CALLS_FIRST", "0"))
SEED_COUNT = int(os.environ.get("CALLS_SEEDS", "100"))  # may be set higher for a longer search
COMPILED_CONFIG = public_routes()


def answer(
    link: BackendLink,
    a: ArrivedRequest,
    framing: int = 0,
    status: int = 200,
    name: str | None = "",
    sealed: bool = True,
    lines: bytes = b"",
) -> bytes:
    """Return a backend's answer, framed by its length (0), in chunks (1), or by the connection's end (2)."""
    body = body_of(a.attempt, a.large) if status < 300 else b"no"
    head = b"HTTP/1.1 %d X\r\n" % status + lines
    if name is not None:
        head += b"Attempt-Id: %s\r\n" % (name or a.attempt).encode()
    if sealed and status < 300:
        head += b"Backend-Seal: %s\r\n" % seal(a.attempt, body)
    if a.method == "HEAD":
        return head + b"Content-Length: %d\r\n\r\n" % len(body)
    if framing == 1:
        cut = len(body) // 2
        chunks = b"%x\r\n%s\r\n%x\r\n%s\r\n0\r\n" % (cut, body[:cut], len(body) - cut, body[cut:])
        return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"Attempt-Id: a0\r\n\r\n"
    length = b"" if framing == 2 else b"Content-Length: %d\r\n" % len(body)
    return head + length + b"\r\n" + body


def not_executed(link: BackendLink, a: ArrivedRequest, status: int = 503, named: bool = True) -> bytes:
    """Return an answer that rejects a request before it runs. It need not name its request."""
    a.turned_away = True
    return answer(link, a, status=status, lines=b"Not-Executed: 1\r\n", name="" if named else None)


def earlier_answer(link: BackendLink) -> bytes:
    """Return a duplicate of an earlier answer."""
    return (
        link.earlier_answers[-1]
        if link.earlier_answers
        else b"HTTP/1.1 200 OK\r\nAttempt-Id: a0\r\nContent-Length: 2\r\n\r\nno"
    )


STRAY_BYTES: list[Callable[[BackendLink, bytes], bytes]] = [
    lambda link, own: own,
    lambda link, own: own,
    lambda link, own: earlier_answer(link),
    lambda link, own: b"\xff\x00noise\r\n\r\n",
    lambda link, own: b"HTTP/1.1 103 X\r\n\r\n",
    lambda link, own: b"HTTP/1.1 200 O",
    lambda link, own: b"HTTP/1.1 204 X\r\nAttempt-Id: a0\r\nBackend-Seal: forged\r\n\r\n",
    lambda link, own: b"\r\n",
]
TRAILING_BYTES = [
    *STRAY_BYTES,
    lambda link, own: b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    lambda link, own: b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n",
]
INVALID_ANSWERS: list[Callable[[BackendLink, ArrivedRequest], bytes]] = [
    lambda link, a: answer(link, a, name=None),
    lambda link, a: answer(link, a, name="a0"),
    lambda link, a: answer(link, a, sealed=False),
    lambda link, a: b"rubbish\r\n\r\n",
    lambda link, a: answer(link, a, lines=b"Content-Length: 5\r\n"),
    lambda link, a: answer(link, a, lines=b"Transfer-Encoding: chunked\r\n"),
    lambda link, a: answer(link, a, 1, lines=b"Content-Length: 5\r\n"),
    lambda link, a: answer(link, a, status=500),
    lambda link, a: answer(link, a, status=503),
    lambda link, a: answer(link, a, status=429, name=None),
    lambda link, a: answer(link, a, status=408),
    lambda link, a: b"HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    lambda link, a: answer(link, a, lines=b"Attempt-Id: a0\r\n"),
]
ANSWER_KIND_COUNT = 10  # kinds of answers in `answer_request`
STEP_KINDS = (
    ["ask"] * 5
    + ["say"] * 9
    + ["read"] * 2
    + ["wait", "idle", "reuse", "news", "leave", "push", "dial", "slow", "early", "drain"]
)
N = st.integers(0, 1 << 16)
STEPS = st.lists(st.tuples(st.sampled_from(STEP_KINDS), N, N, N), min_size=10, max_size=40)
Schedule = list[tuple[str, int, int, int]]


def random_schedule(seed: int) -> Schedule:
    """Return a longer schedule of uniformly distributed numbers."""
    rng = random.Random(seed)
    return [
        (rng.choice(STEP_KINDS), rng.randrange(1 << 16), rng.randrange(1 << 16), rng.randrange(1 << 16))
        for _ in range(rng.randrange(10, 60))
    ]


def answer_request(link: BackendLink, n: int, m: int) -> None:
    """Let a backend answer the first request on a connection."""
    a = link.unanswered.popleft()
    how, framing = n % ANSWER_KIND_COUNT, n // ANSWER_KIND_COUNT % 3
    until_end = framing == 2 and a.method != "HEAD"  # such an answer has no end before the connection's
    if until_end or how == 8:
        link.body_cut = True
        link.in_transit.clear()
    if a.turned_away or how in (3, 4):
        own = not_executed(link, a, 421 if a.turned_away else (503, 429, 421)[m % 3], m % 2 == 0)
    else:
        own = answer(link, a, framing)
    if how == 5 and not until_end:
        link.socket_buffer.append(own + TRAILING_BYTES[m % len(TRAILING_BYTES)](link, own))
    elif how in (3, 6) and not until_end:
        link.socket_buffer.append(own)
        link.in_transit.append(STRAY_BYTES[m % len(STRAY_BYTES)](link, own))
    elif how == 7:
        link.socket_buffer.append(earlier_answer(link) + own)
    elif how == 8 and not until_end:
        link.socket_buffer += [own[: 40503 * m % len(own)], *([None], [b""], [])[m % 3]]
    elif how == 9 and not a.turned_away:
        link.socket_buffer.append(INVALID_ANSWERS[m % len(INVALID_ANSWERS)](link, a))
    else:
        link.socket_buffer += [own, *([b""] if until_end and how != 4 else [])]
    link.earlier_answers.append(own)


def step(harness: ProxyHarness, what: str, i: int, n: int, m: int) -> None:
    """Execute one step of a schedule."""
    links = [link for link in harness.links if not link.lost]
    link = links[i % len(links)] if links else None
    busy = [x for x in harness.links if x.unanswered]
    client_connections = [
        client_connection
        for client_connection in harness.client_connections
        if not (client_connection.closed or client_connection.gone)
    ]
    client_connection = client_connections[i % len(client_connections)] if client_connections else None
    addresses = sorted(harness.lifetimes)
    if what == "ask":
        kind = n % 8
        method = ("GET", "POST", "POST", "GET", "POST", "HEAD", "POST", "GET")[kind]
        ask = Ask(
            f"a{len(harness.asks) + 1}", kind in (0, 3, 5), method, m % 5 == 0, "1.0" if m % 7 == 0 else "1.1"
        )
        harness.ask(
            client_connection if client_connection is not None and i % 3 else harness.client_connection(),
            ask,
            m % 40 if m % 4 == 0 else 0,
        )
        harness.run(0.002)
    elif what == "say" and busy:
        chosen = busy[i % len(busy)]
        answer_request(chosen, n, m)
        if i % 4:
            chosen.deliver()
    elif what == "read" and link is not None:
        link.deliver(1 + n if n % 3 else 1 << 30)
    elif what == "wait":
        harness.run((0.01, 0.3, 1.0, CLIENT_TIMEOUT_S, 0.06, 6.0)[n % 6])
    elif what == "idle" and link is not None:
        disturb_connection(link, n, m)
    elif what == "early":
        for other in links:
            other.accept_incomplete_request()
    elif what == "drain" and n % 4:
        harness.drain_backend(addresses[i % len(addresses)])
    elif what == "drain":  # the ingress drains
        harness.server.draining = True
    elif what == "reuse":
        harness.replace_backend(addresses[i % len(addresses)], n % 2 == 0)
    elif what == "news" and harness.pending_backend_events:
        harness.pending_backend_events.popleft()()
    elif what == "leave" and client_connection is not None:
        harness.disconnect(client_connection)
    elif what == "push" and client_connection is not None:
        harness.send_rest(client_connection)
    elif what == "dial":
        harness.connect_results[addresses[i % len(addresses)]] = ("refused", "silent")[n % 2]
    elif what == "slow" and client_connection is not None and not client_connection.receiver.unread_since:
        client_connection.call_receiver(client_connection.receiver.pause_writing)
    harness.run(0.001)


def disturb_connection(link: BackendLink, n: int, m: int) -> None:
    """Disturb a connection, whether or not a request is in flight on it."""
    kind = n % 4
    if kind == 0:
        link.closed_by_backend = True
    elif kind == 1 and not link.body_cut:
        link.in_transit.append(STRAY_BYTES[m % len(STRAY_BYTES)](link, earlier_answer(link)))
    else:
        link.closed_by_backend = True
        link.socket_buffer.append(b"" if kind == 2 else None)


def run_schedule(schedule: Schedule, inject_fault: Callable[[ProxyHarness], None] | None = None) -> None:
    harness = ProxyHarness(COMPILED_CONFIG, inject_fault)
    for each in schedule:
        step(harness, *each)
    harness.settle()
    harness.check()


@settings(max_examples=100)
@given(STEPS)
def test_each_client_gets_its_own_response_or_a_visible_failure(schedule: Schedule) -> None:
    run_schedule(schedule)


def test_longer_random_schedules() -> None:
    for seed in range(FIRST_SEED, FIRST_SEED + SEED_COUNT):
        try:
            run_schedule(random_schedule(seed))
        except AssertionError as error:
            raise AssertionError(f"schedule {seed}: {error}") from error


def test_request_is_served() -> None:
    harness = ProxyHarness(COMPILED_CONFIG)
    order(harness)
    link = harness.links[0]
    link.socket_buffer.append(answer(link, link.unanswered.popleft()))
    link.deliver()
    assert harness.client_connections[0].received.startswith(b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n")
    harness.settle()
    harness.check()


def reuses_any_connection(harness: ProxyHarness) -> None:
    """Reuse connections whatever arrived on them, and take early bytes for the next answer."""
    connect = harness.upstream.connect

    async def spoilt(pool: Any) -> Any:
        connection: Any = await connect(pool)
        answered, send, received = connection.answered, connection.send, connection.data_received
        early = list[bytes]()

        def keeps(told: Any, clean: bool) -> None:
            connection.exchange.label = b""
            answered(told, True)

        def later(data: bytes) -> None:
            if connection.exchange is None:
                early.append(data)
            else:
                received(data)

        def sends(exchange: Any) -> None:
            send(exchange)
            while early and connection.exchange is not None:
                received(early.pop(0))

        connection.answered, connection.send, connection.data_received = keeps, sends, later
        return connection

    harness.upstream.connect = spoilt  # type: ignore[method-assign]


def always_reports_never_ran(harness: ProxyHarness) -> None:
    """Report of every request that it never ran."""
    harness.ingress.execution_status = lambda held: ExecutionStatus.NEVER_RAN  # type: ignore[method-assign]
    give_up = harness.decisions.give_up

    def refuse(now: float, f: Any, wait: float) -> None:
        f.ran_at = None
        give_up(now, f, wait)

    harness.decisions.give_up = refuse  # type: ignore[method-assign]


def model_bug(name: str) -> Callable[[ProxyHarness], None]:
    """Return a fault that the simulation can inject as well."""
    return lambda harness: injected_bugs.PROXY_BUGS[name](
        SimpleNamespace(proxy_node=SimpleNamespace(ingress=harness.ingress))
    )  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("fault", "found", "first"),
    [
        (model_bug("believes_all"), "is answered with", 0),
        (model_bug("repeats"), "runs 2 times", 0),
        (always_reports_never_ran, "not to run", 0),
        (model_bug("no_target"), "at another service", 0),
        (reuses_any_connection, "not to run", 640),
    ],  # the last one is found by 21 of 4,000 seeds
    ids=["believes_all", "repeats", "always_reports_never_ran", "no_target", "reuses_any_connection"],
)
def test_injected_fault_is_detected(fault: Callable[[ProxyHarness], None], found: str, first: int) -> None:
    with pytest.raises(AssertionError, match=found):
        for seed in range(first, first + 200):
            run_schedule(random_schedule(seed), fault)


def order(harness: ProxyHarness, large: bool = False, kept: int = 0) -> Ask:
    """Send an unsafe request from a new client."""
    ask = Ask(f"a{len(harness.asks) + 1}", False, "POST", large, "1.1")
    harness.ask(harness.client_connection(), ask, kept)
    harness.run(0.002)
    return ask


def test_connection_isnt_reused_after_an_answer_without_request_id() -> None:
    """A duplicate of such an answer would be taken for the answer to the next request, which runs twice."""
    harness = ProxyHarness(COMPILED_CONFIG)
    order(harness)
    first = harness.links[0]
    nameless = not_executed(first, first.unanswered.popleft(), 503, False)
    first.socket_buffer.append(nameless)
    first.deliver()
    harness.run(0.002)
    assert len(harness.links) == 2, "the request is sent to another backend"
    for lifetime in harness.all_lifetimes[:3]:
        if lifetime is not first.lifetime:
            harness.replace_backend(lifetime.address, True)
    while harness.pending_backend_events:
        harness.pending_backend_events.popleft()()
    order(harness)
    first.socket_buffer.append(nameless)
    first.deliver()
    harness.settle()
    harness.check()


@pytest.mark.parametrize(
    ("becomes", "status"),
    [("the client stops", 400), ("the backend resets", 502), ("the backend fails", 500)],
)
def test_partially_sent_request_is_not_reported_as_never_run(becomes: str, status: int) -> None:
    """A backend may begin to execute a request before its body is complete."""
    harness = ProxyHarness(COMPILED_CONFIG)
    order(harness, large=True, kept=9)
    link = harness.links[0]
    link.accept_incomplete_request()
    a = link.unanswered.popleft()
    if becomes == "the backend resets":
        link.socket_buffer.append(None)
    elif becomes == "the backend fails":
        link.socket_buffer.append(answer(link, a, status=500))
    link.deliver()
    harness.run(4.0)
    assert harness.client_connections[0].received.startswith(b"HTTP/1.1 %d " % status)
    assert len(harness.links) == 1
    harness.settle()
    harness.check()


def test_connection_with_an_unsent_request_isnt_reused() -> None:
    """The unsent rest of the request would precede the next request."""
    harness = ProxyHarness(COMPILED_CONFIG)
    order(harness)
    link = harness.links[0]
    link.write_blocked = True
    link.socket_buffer.append(answer(link, link.unanswered.popleft()))
    link.deliver()
    harness.run(0.01)
    assert link.lost and harness.client_connections[0].received.startswith(b"HTTP/1.1 200 ")


@pytest.mark.parametrize("framing", [0, 1])
def test_client_can_send_on_after_a_large_response_to_an_incomplete_request(framing: int) -> None:
    harness = ProxyHarness(COMPILED_CONFIG)
    order(harness, large=True, kept=9)
    link, client_connection = harness.links[0], harness.client_connections[0]
    link.accept_incomplete_request()
    link.socket_buffer.append(answer(link, link.unanswered.popleft(), framing))
    link.deliver()
    harness.send_rest(client_connection)
    harness.run(0.01)
    assert (
        client_connection.closed
        and not client_connection.paused
        and b"Connection: close" in client_connection.received
    )
    harness.settle()
    harness.check()


def test_truncated_response_ends_with_a_reset_for_an_http_1_0_client() -> None:
    """An HTTP/1.0 client knows the end of a response without a length only by the end of the connection."""
    harness = ProxyHarness(COMPILED_CONFIG)
    client_connection = harness.client_connection()
    harness.ask(client_connection, Ask("a1", True, "GET", True, "1.0"), 0)
    harness.run(0.002)
    link = harness.links[0]
    link.socket_buffer.append(answer(link, link.unanswered.popleft(), 1)[:-99])
    link.deliver()
    assert (
        b"Content-Length" not in client_connection.received.partition(b"\r\n\r\n")[0]
        and not client_connection.closed
    )
    link.socket_buffer.append(None)
    link.deliver()
    harness.settle()
    assert client_connection.closed and client_connection.reset
    harness.check()


def test_request_after_the_last_response_is_not_forwarded() -> None:
    """A client assumes that requests after a `Connection: close` response were not read."""
    harness = ProxyHarness(COMPILED_CONFIG)
    harness.server.draining = True
    order(harness)
    harness.ask(harness.client_connections[0], Ask("a2", False, "POST", True, "1.1"), 9)
    link = harness.links[0]
    link.socket_buffer.append(answer(link, link.unanswered.popleft()))
    link.deliver()
    assert (
        b"Connection: close" in harness.client_connections[0].received
        and harness.client_connections[0].receiver.closing
    )
    harness.settle()
    assert not harness.runs()["a2"]
    harness.check()
