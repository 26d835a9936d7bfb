"""Whatever becomes of bytes on their way: each caller has its own answer or an honest break, nothing that may
not be repeated runs twice, and a promise is given only where nothing ran nor will."""

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
    PATIENCE_S,
    ArrivedRequest,
    Ask,
    BackendLink,
    ProxyHarness,
    body_of,
    public,
    seal,
)

FIRST = int(os.environ.get("CALLS_FIRST", "0"))
SEEDS = int(os.environ.get("CALLS_SEEDS", "100"))  # more where a long hunt is wanted
COMPILED_CONFIG = public()


def answer(
    link: BackendLink,
    a: ArrivedRequest,
    framing: int = 0,
    status: int = 200,
    name: str | None = "",
    sealed: bool = True,
    lines: bytes = b"",
) -> bytes:
    """A backend's answer to a request, framed by its length, in chunks, or by its connection's end."""
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


def away(link: BackendLink, a: ArrivedRequest, status: int = 503, named: bool = True) -> bytes:
    """The backend has not run it. Such answers need not tell to which request they belong."""
    a.turned_away = True
    return answer(link, a, status=status, lines=b"Not-Executed: 1\r\n", name="" if named else None)


def late(link: BackendLink) -> bytes:
    """A former answer once more."""
    return link.past[-1] if link.past else b"HTTP/1.1 200 OK\r\nAttempt-Id: a0\r\nContent-Length: 2\r\n\r\nno"


STRAY: list[Callable[[BackendLink, bytes], bytes]] = [
    lambda link, own: own,
    lambda link, own: own,
    lambda link, own: late(link),
    lambda link, own: b"\xff\x00noise\r\n\r\n",
    lambda link, own: b"HTTP/1.1 103 X\r\n\r\n",
    lambda link, own: b"HTTP/1.1 200 O",
    lambda link, own: b"HTTP/1.1 204 X\r\nAttempt-Id: a0\r\nBackend-Seal: forged\r\n\r\n",
    lambda link, own: b"\r\n",
]
BEHIND = [
    *STRAY,
    lambda link, own: b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    lambda link, own: b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n",
]
SPOILT: list[Callable[[BackendLink, ArrivedRequest], bytes]] = [
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
SAID = 10  # ways in which a backend answers
WAYS = (
    ["ask"] * 5
    + ["say"] * 9
    + ["read"] * 2
    + ["wait", "idle", "reuse", "news", "leave", "push", "dial", "slow", "early", "drain"]
)
N = st.integers(0, 1 << 16)
STEPS = st.lists(st.tuples(st.sampled_from(WAYS), N, N, N), min_size=10, max_size=40)
Schedule = list[tuple[str, int, int, int]]


def by_chance(seed: int) -> Schedule:
    """A longer schedule, all of whose numbers are equally likely."""
    rng = random.Random(seed)
    return [
        (rng.choice(WAYS), rng.randrange(1 << 16), rng.randrange(1 << 16), rng.randrange(1 << 16))
        for _ in range(rng.randrange(10, 60))
    ]


def say(link: BackendLink, n: int, m: int) -> None:
    """A backend answers the first request that it has on a connection."""
    a = link.asked.popleft()
    how, framing = n % SAID, n // SAID % 3
    until_end = framing == 2 and a.method != "HEAD"  # what is behind such an answer is a part of it
    if until_end or how == 8:
        link.cut = True
        link.coming.clear()
    if a.turned_away or how in (3, 4):
        own = away(link, a, 421 if a.turned_away else (503, 429, 421)[m % 3], m % 2 == 0)
    else:
        own = answer(link, a, framing)
    if how == 5 and not until_end:
        link.kernel.append(own + BEHIND[m % len(BEHIND)](link, own))
    elif how in (3, 6) and not until_end:
        link.kernel.append(own)
        link.coming.append(STRAY[m % len(STRAY)](link, own))
    elif how == 7:
        link.kernel.append(late(link) + own)
    elif how == 8 and not until_end:
        link.kernel += [own[: 40503 * m % len(own)], *([None], [b""], [])[m % 3]]
    elif how == 9 and not a.turned_away:
        link.kernel.append(SPOILT[m % len(SPOILT)](link, a))
    else:
        link.kernel += [own, *([b""] if until_end and how != 4 else [])]
    link.past.append(own)


def step(harness: ProxyHarness, what: str, i: int, n: int, m: int) -> None:
    """One step of a schedule."""
    links = [link for link in harness.links if not link.lost]
    link = links[i % len(links)] if links else None
    busy = [x for x in harness.links if x.asked]
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
        say(chosen, n, m)
        if i % 4:
            chosen.deliver()
    elif what == "read" and link is not None:
        link.deliver(1 + n if n % 3 else 1 << 30)
    elif what == "wait":
        harness.run((0.01, 0.3, 1.0, PATIENCE_S, 0.06, 6.0)[n % 6])
    elif what == "idle" and link is not None:
        idle(link, n, m)
    elif what == "early":
        for other in links:
            other.hurry()
    elif what == "drain" and n % 4:
        harness.stop(addresses[i % len(addresses)])
    elif what == "drain":  # the ingress is told to end
        harness.server.draining = True
    elif what == "reuse":
        harness.reuse(addresses[i % len(addresses)], n % 2 == 0)
    elif what == "news" and harness.news:
        harness.news.popleft()()
    elif what == "leave" and client_connection is not None:
        harness.leave(client_connection)
    elif what == "push" and client_connection is not None:
        harness.push(client_connection)
    elif what == "dial":
        harness.dials[addresses[i % len(addresses)]] = ("refused", "silent")[n % 2]
    elif what == "slow" and client_connection is not None and not client_connection.receiver.unread_since:
        client_connection.hand(client_connection.receiver.pause_writing)
    harness.run(0.001)


def idle(link: BackendLink, n: int, m: int) -> None:
    """Something becomes of a connection while nothing is asked for, or while something is."""
    kind = n % 4
    if kind == 0:
        link.forgotten = True
    elif kind == 1 and not link.cut:
        link.coming.append(STRAY[m % len(STRAY)](link, late(link)))
    else:
        link.forgotten = True
        link.kernel.append(b"" if kind == 2 else None)


def play(schedule: Schedule, spoil: Callable[[ProxyHarness], None] | None = None) -> None:
    harness = ProxyHarness(COMPILED_CONFIG, spoil)
    for each in schedule:
        step(harness, *each)
    harness.settle()
    harness.check()


@settings(max_examples=100)
@given(STEPS)
def test_each_caller_has_its_own_answer_or_an_honest_break(schedule: Schedule) -> None:
    play(schedule)


def test_the_same_on_longer_schedules_by_chance() -> None:
    for seed in range(FIRST, FIRST + SEEDS):
        try:
            play(by_chance(seed))
        except AssertionError as error:
            raise AssertionError(f"schedule {seed}: {error}") from error


def test_a_plain_call_is_served() -> None:
    harness = ProxyHarness(COMPILED_CONFIG)
    order(harness)
    link = harness.links[0]
    link.kernel.append(answer(link, link.asked.popleft()))
    link.deliver()
    assert harness.client_connections[0].said.startswith(b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n")
    harness.settle()
    harness.check()


def keeps_spoilt(harness: ProxyHarness) -> None:
    """Uses a connection again whatever came on it, and takes what comes meanwhile for the next answer."""
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


def always_promises(harness: ProxyHarness) -> None:
    """Promises that nothing has run, whatever is known."""
    harness.ingress.execution_status = lambda held: ExecutionStatus.NEVER_RAN  # type: ignore[method-assign]
    give_up = harness.decisions.give_up

    def refuse(now: float, f: Any, wait: float) -> None:
        f.ran_at = None
        give_up(now, f, wait)

    harness.decisions.give_up = refuse  # type: ignore[method-assign]


def of_model(name: str) -> Callable[[ProxyHarness], None]:
    """A fault that is planted in the model's processes as well."""
    return lambda harness: injected_bugs.PROXY_BUGS[name](
        SimpleNamespace(proxy_node=SimpleNamespace(ingress=harness.ingress))
    )  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("fault", "found", "first"),
    [
        (of_model("believes_all"), "is answered with", 0),
        (of_model("repeats"), "runs 2 times", 0),
        (always_promises, "not to run", 0),
        (of_model("no_target"), "at another service", 0),
        (keeps_spoilt, "not to run", 640),
    ],  # 21 of 4,000 find it
    ids=["believes_all", "repeats", "always_promises", "no_target", "keeps_spoilt"],
)
def test_planted_fault_is_found(fault: Callable[[ProxyHarness], None], found: str, first: int) -> None:
    with pytest.raises(AssertionError, match=found):
        for seed in range(first, first + 200):
            play(by_chance(seed), fault)


def order(harness: ProxyHarness, large: bool = False, kept: int = 0) -> Ask:
    """A request that may not be repeated, from a new client."""
    ask = Ask(f"a{len(harness.asks) + 1}", False, "POST", large, "1.1")
    harness.ask(harness.client_connection(), ask, kept)
    harness.run(0.002)
    return ask


def test_a_connection_with_an_answer_that_names_no_request_is_not_used_again() -> None:
    """A copy of such an answer would be believed of whatever is sent next, which then runs twice."""
    harness = ProxyHarness(COMPILED_CONFIG)
    order(harness)
    first = harness.links[0]
    nameless = away(first, first.asked.popleft(), 503, False)
    first.kernel.append(nameless)
    first.deliver()
    harness.run(0.002)
    assert len(harness.links) == 2, "it goes on to another"
    for lifetime in harness.all[:3]:
        if lifetime is not first.lifetime:
            harness.reuse(lifetime.address, True)
    while harness.news:
        harness.news.popleft()()
    order(harness)
    first.kernel.append(nameless)
    first.deliver()
    harness.settle()
    harness.check()


@pytest.mark.parametrize(
    ("becomes", "status"),
    [("the client stops", 400), ("the backend resets", 502), ("the backend fails", 500)],
)
def test_what_was_sent_in_part_brings_no_promise(becomes: str, status: int) -> None:
    """A backend may begin with a body before it has come whole."""
    harness = ProxyHarness(COMPILED_CONFIG)
    order(harness, large=True, kept=9)
    link = harness.links[0]
    link.hurry()
    a = link.asked.popleft()
    if becomes == "the backend resets":
        link.kernel.append(None)
    elif becomes == "the backend fails":
        link.kernel.append(answer(link, a, status=500))
    link.deliver()
    harness.run(4.0)
    assert harness.client_connections[0].said.startswith(b"HTTP/1.1 %d " % status)
    assert len(harness.links) == 1
    harness.settle()
    harness.check()


def test_a_connection_with_a_request_that_has_not_gone_out_is_not_used_again() -> None:
    """What is left of it would stand before the next one."""
    harness = ProxyHarness(COMPILED_CONFIG)
    order(harness)
    link = harness.links[0]
    link.jammed = True
    link.kernel.append(answer(link, link.asked.popleft()))
    link.deliver()
    harness.run(0.01)
    assert link.lost and harness.client_connections[0].said.startswith(b"HTTP/1.1 200 ")


@pytest.mark.parametrize("framing", [0, 1])
def test_a_large_answer_before_the_request_is_whole_lets_its_client_go_on(framing: int) -> None:
    harness = ProxyHarness(COMPILED_CONFIG)
    order(harness, large=True, kept=9)
    link, client_connection = harness.links[0], harness.client_connections[0]
    link.hurry()
    link.kernel.append(answer(link, link.asked.popleft(), framing))
    link.deliver()
    harness.push(client_connection)
    harness.run(0.01)
    assert (
        client_connection.closed
        and not client_connection.paused
        and b"Connection: close" in client_connection.said
    )
    harness.settle()
    harness.check()


def test_a_break_does_not_look_like_an_end_to_an_old_client() -> None:
    """It knows the end of an answer without a length by its connection's only."""
    harness = ProxyHarness(COMPILED_CONFIG)
    client_connection = harness.client_connection()
    harness.ask(client_connection, Ask("a1", True, "GET", True, "1.0"), 0)
    harness.run(0.002)
    link = harness.links[0]
    link.kernel.append(answer(link, link.asked.popleft(), 1)[:-99])
    link.deliver()
    assert (
        b"Content-Length" not in client_connection.said.partition(b"\r\n\r\n")[0]
        and not client_connection.closed
    )
    link.kernel.append(None)
    link.deliver()
    harness.settle()
    assert client_connection.closed and client_connection.reset
    harness.check()


def test_nothing_is_sent_on_from_behind_the_last_answer() -> None:
    """A client that is told that its connection ends takes what it has sent behind that for unread."""
    harness = ProxyHarness(COMPILED_CONFIG)
    harness.server.draining = True
    order(harness)
    harness.ask(harness.client_connections[0], Ask("a2", False, "POST", True, "1.1"), 9)
    link = harness.links[0]
    link.kernel.append(answer(link, link.asked.popleft()))
    link.deliver()
    assert (
        b"Connection: close" in harness.client_connections[0].said
        and harness.client_connections[0].receiver.closing
    )
    harness.settle()
    assert not harness.runs()["a2"]
    harness.check()
