"""Calls to `control` over HTTP: whole exchanges of operators and backends with a core of the tests'."""

from __future__ import annotations

import asyncio
import gc
import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from syrupy.assertion import SnapshotAssertion

from post.directory.orders import Held
from post.office import wicket as wickets
from post.office.control import PATIENCE_S, WAITING, Control
from post.office.wicket import QUIET, Asked, Wicket, WicketDesk
from post.rounds.messages import Beat, End
from roadspur.net.wire import Call
from tests.sockets import HOST, Client, run, until

CONFIG = "/-/config"


def config(generation: int, base: int, *labels: str, tries: int = 2) -> bytes:
    entries = [{"entry-kind": "services", "metadata": {"label": "s1"}, "spec": {"health-path": "/h",
                "max-conns": 9, "protocol": "h1", "tls": False}}]
    entries += [{"entry-kind": "route-table", "metadata": {"label": label}, "spec": {
        "hostname": "a.example", "path-prefix": f"/{label}/", "traffic-class": "safe", "deadline-s": 2,
        "target-latency-s": 1, "precedence": 1, "target": "s1", "max-tries": tries}} for label in labels]
    return json.dumps({"generation": generation, "base-version": base, "resource-list": entries}).encode()


class Office:
    """A wicket and its control. The core is the test's: who leads, and what becomes of proposals in turn, the
    last one for ever; time stands unless the test moves it."""

    def __init__(self, *outcomes: str | None) -> None:
        self.now, self.leader = 100.0, "me"
        self.member: str | None = None
        self.outcomes = list(outcomes or ["done"])
        self.version, self.held = 0, Held()
        self.out: list[tuple[int, bytes]] = []
        self.calls: list[Beat | End] = []
        self.said: list[str] = []
        self.control = Control(self, self.calls.append)
        self.loop = asyncio.get_running_loop()

    def leads(self, now: float) -> bool:
        return self.leader == "me"

    def leader_control(self) -> str | None:
        return self.leader if self.leader not in ("me", "") else None

    def taken_up(self) -> tuple[int, Held]:
        return self.version, self.held

    def member_control(self) -> str | None:
        return self.member

    def propose(self, token: int, value: bytes, expected: int) -> None:
        assert expected == self.version
        self.out.append((token, value))
        outcome = self.outcomes.pop(0) if len(self.outcomes) > 1 else self.outcomes[0]
        if outcome is not None:
            self.end(outcome)

    def end(self, outcome: str) -> None:
        """What becomes of the newest proposal."""
        token, value = self.out[-1]
        made = self.control.made(value)  # need not be read, and is as if it had been
        assert made is not None and self.control.made(value + b"x") is None
        assert (made.encode(), made.document.routes) == (value, Held.decode(value).document.routes)  # type: ignore
        if outcome == "done":
            self.version, self.held = self.version + 1, Held.decode(value, self.held)
        self.control.proposed(self.now, token, outcome)

    def tick(self, seconds: float) -> None:
        self.now += seconds
        self.control.proceed(self.now)

    async def open(self) -> Office:
        def answer(asked: Asked, reply: wickets.Reply) -> None:
            self.control.answer(self.now, asked, reply)

        self.wicket = Wicket(self.loop, answer)
        await self.wicket.listen(f"{HOST}:0")
        assert self.wicket.listener is not None
        self.port = self.wicket.listener.sockets[0].getsockname()[1]
        return self

    async def send(self, method: str, path: str, body: bytes = b"", *lines: str) -> Client:
        """Send a call and come back without its answer."""
        client = await Client.connect(self.port)
        head = "".join(f"{line}\r\n" for line in (f"Content-Length: {len(body)}", *lines))
        client.writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\n{head}\r\n".encode() + body)
        return client

    async def hear(self, client: Client, what: str) -> int:
        """Wait for a call's answer, and write both down."""
        status, headers, body = await client.answer()
        client.writer.close()
        lines = [f"{k}: {v}" for k, v in sorted(headers.items()) if k in ("location", "retry-after")]
        told = f"({len(body)} bytes)" if len(body) > 200 else body.decode()
        self.said.append(" ".join([what, "->", str(status), *lines, told]).rstrip())
        return status

    async def call(self, what: str, method: str, path: str, body: bytes = b"") -> int:
        return await self.hear(await self.send(method, path, body), f"{method} {path} {what}".rstrip())

    async def held_back(self, what: str, method: str, path: str, body: bytes = b"") -> asyncio.Task[int]:
        """A call that has come and has no answer yet."""
        before = len(self.wicket.calls.open)
        client = await self.send(method, path, body)
        await until(lambda: len(self.wicket.calls.open) > before)
        return self.loop.create_task(self.hear(client, f"{method} {path} {what}"))


async def orders(office: Office) -> None:
    """One operator, and another who is late."""
    await office.call("before any", "GET", CONFIG)
    await office.call("first", "PUT", CONFIG, config(3, 0, "a"))
    await office.call("first again", "PUT", CONFIG, config(3, 0, "a"))
    await office.call("another first", "PUT", CONFIG, config(4, 0, "b"))
    await office.call("no JSON", "PUT", CONFIG, b"{")
    await office.call("no tries", "PUT", CONFIG, config(5, 3, "b", tries=0))
    await office.call("generation not above", "PUT", CONFIG, config(3, 3, "b"))
    change = {"generation": 7, "base-version": 3, "remove": {"route-table": ["a"]}, "upsert": {
        "resource-list": json.loads(config(7, 3, "b"))["resource-list"]}}
    await office.call("one route by another", "PATCH", CONFIG, json.dumps(change).encode())
    await office.call("the change again", "PATCH", CONFIG, json.dumps(change).encode())
    await office.call("", "GET", CONFIG)
    assert list(office.held.document.routes) == ["b"] and office.version == 2  # type: ignore[union-attr]


async def elsewhere(office: Office) -> None:
    """Another process leads, then nobody, then this one."""
    office.leader = "10.0.0.4:8407"
    await office.call("", "GET", CONFIG)
    await office.call("first", "PUT", CONFIG + "?x=1", config(1, 0, "a"))
    office.leader = ""
    late = await office.held_back("while nobody leads", "PUT", CONFIG, config(1, 0, "a"))
    office.tick(PATIENCE_S + 0.01)
    await late
    soon = await office.held_back("while nobody leads yet", "PUT", CONFIG, config(1, 0, "a"))
    office.leader = "me"
    office.tick(0.1)
    await soon
    office.leader = ""
    again = await office.held_back("while nobody leads again", "GET", CONFIG)
    office.leader = "10.0.0.5:8407"
    office.tick(0.1)
    await again
    office.leader = ""
    for _ in range(800):  # cut off, by its ticks
        office.tick(0.025)
    await office.call("of 20 s without a leader", "GET", CONFIG)
    await office.call("of 20 s without a leader", "PUT", CONFIG, config(9, 1, "a"))
    office.leader = "me"
    await office.call("at once when one leads", "PUT", CONFIG, config(9, 1, "a"))
    assert office.version == 2


async def refusals(office: Office) -> None:
    """A proposal that came to nothing is made again a little later, on top of what is in force then."""
    task = await office.held_back("refused once", "PUT", CONFIG, config(2, 0, "a"))
    assert len(office.out) == 1
    office.tick(0.1)
    await task
    await office.call("of unknown end", "PUT", CONFIG, config(3, 2, "b"))
    await office.call("of unknown end, again", "PUT", CONFIG, config(3, 2, "b"))


async def hung(office: Office) -> None:
    """While an order's end is awaited, reads go on and other orders wait, not without end."""
    first = await office.held_back("first", "PUT", CONFIG, config(1, 0, "a"))
    await office.call("meanwhile", "GET", CONFIG)
    second = await office.held_back("second", "PUT", CONFIG, config(2, 0, "b"))
    for _ in range(WAITING - 1):
        await office.send("PUT", CONFIG, config(9, 9))
    await until(lambda: len(office.control.orders) == WAITING)
    await office.call("too many", "PUT", CONFIG, config(3, 0, "c"))
    office.outcomes = ["done"]
    office.end("done")
    await first
    await second
    office.outcomes = [None]
    lost = await office.held_back("whose end nobody tells", "PUT", CONFIG, config(4, 1, "b"))
    office.tick(9.9)
    assert not lost.done()
    office.tick(0.2)
    await lost


async def ahead(office: Office) -> None:
    """Orders that build on one which isn't in force yet wait a little, and hold up no other."""
    later = await office.held_back("on top of what comes next", "PUT", CONFIG, config(5, 3, "b"))
    never = await office.held_back("on top of what never comes", "PUT", CONFIG, config(9, 8, "b"))
    office.tick(0.3)
    await office.call("what comes next", "PUT", CONFIG, config(3, 0, "a"))
    await later
    office.tick(PATIENCE_S - 0.31)
    assert not never.done() and office.version == 2
    office.tick(0.02)
    await never
    office.outcomes = [None]
    first = await office.held_back("whose end takes long", "PUT", CONFIG, config(6, 5, "c"))
    second = await office.held_back("on top of it", "PUT", CONFIG, config(7, 6, "d"))
    office.tick(PATIENCE_S + 0.1)
    assert not second.done()
    office.outcomes = ["done"]
    office.end("done")
    await first
    await second
    gone = await office.held_back("and then another leads", "PUT", CONFIG, config(20, 15, "b"))
    office.leader = "10.0.0.4:8407"
    office.tick(0.1)
    await gone


async def gone(office: Office) -> None:
    """Callers who leave: with half of an order sent, or while it waits behind another; it is then taken."""
    whole = config(2, 0, "a")
    client = await Client.connect(office.port)
    client.writer.write(f"PUT {CONFIG} HTTP/1.1\r\nContent-Length: {len(whole)}\r\n\r\n".encode())
    client.writer.write(whole[:50])
    await until(lambda: len(office.wicket.connections) == 1)
    client.writer.close()
    await until(lambda: not office.wicket.connections)
    assert not office.out
    first = await office.held_back("cut short, sent again", "PUT", CONFIG, whole)
    second = await office.send("PUT", CONFIG, config(5, 2, "a", "b"))
    await until(lambda: len(office.control.orders) == 1)
    second.writer.close()
    await until(lambda: len(office.wicket.connections) == 1)
    office.outcomes = ["done"]
    office.end("done")
    await first
    assert office.version == 2
    await office.call("that was left, sent again", "PUT", CONFIG, config(5, 2, "a", "b"))
    assert office.version == 2
    both = await Client.connect(office.port)
    office.outcomes = [None]
    both.writer.write(f"PUT {CONFIG} HTTP/1.1\r\nContent-Length: {len(config(7, 5))}\r\n\r\n".encode())
    both.writer.write(config(7, 5) + f"GET {CONFIG} HTTP/1.1\r\nConnection: close\r\n\r\n".encode())
    await until(lambda: len(office.out) == 3)
    office.end("done")
    said = [await both.answer(), await both.answer()]
    assert [json.loads(body)["generation"] for _, _, body in said] == [7, 7]  # in turn
    both.writer.close()


async def beats(office: Office) -> None:
    """Backends: what is taken, what is none, and what the machine can't vouch for."""
    beat = {"target": "s1", "address": "10.128.0.9:8080", "zone": "z", "generation": "v1", "capacity": 4,
            "phase": "draining", "cold-left-s": 0.5, "call-seq": 4}
    path = "/-/backends/i-1"
    for well, method, body in ((True, "PUT", json.dumps(beat).encode()), (False, "DELETE", b"")):
        task = await office.held_back("taken" if well else "not vouched for", method, path, body)
        office.control.acked(office.calls[-1].token, well)
        await task
    for wrong in ({"address": "10.128.0.9"}, {"call-seq": "x"}, {"cold-left-s": -1}, {"capacity": 1 << 40}):
        await office.call(str(wrong), "PUT", path, json.dumps({**beat, **wrong}).encode())
    await office.call("no object", "PUT", path, b"[]")
    await office.call("no id", "PUT", "/-/backends/", json.dumps(beat).encode())
    await office.call("", "POST", path)
    await office.call("", "DELETE", CONFIG)
    await office.call("", "GET", "/-/other")
    office.said += [str(tuple(call)) for call in office.calls]


async def too_large(office: Office) -> None:
    """More than a call may hold, and more than there is room for now."""
    await office.hear(await office.send("PUT", CONFIG, b"", "Content-Length: 9"), "two lengths")
    client = await Client.connect(office.port)
    client.writer.write(f"PUT {CONFIG} HTTP/1.1\r\nContent-Length: {wickets.MOST_BODY + 1}\r\n\r\n".encode())
    await office.hear(client, "too large")
    office.wicket.bodies = wickets.MOST_BODIES
    await office.call("without room", "PUT", CONFIG, bytes(100_000))


STORIES: dict[Callable[[Office], Awaitable[None]], tuple[str | None, ...]] = {
    orders: ("done",), elsewhere: ("done",), refusals: ("refused", "done", "unknown", "done"), hung: (None,),
    ahead: ("done",), gone: (None,), beats: ("done",), too_large: ("done",)}


@pytest.mark.parametrize("story", STORIES, ids=lambda story: story.__name__)
def test_calls(story: Any, snapshot: SnapshotAssertion) -> None:
    async def main() -> None:
        office = await Office(*STORIES[story]).open()
        await story(office)
        assert "\n".join(office.said) == snapshot
        office.wicket.close()

    run(main())


def test_who_is_no_member_sends_backends_on_to_one() -> None:
    async def main() -> None:
        office = await Office().open()
        office.member = "10.0.0.4:8407"
        await office.call("at no member", "DELETE", "/-/backends/i-1")
        assert office.said == [
            "DELETE /-/backends/i-1 at no member -> 307 location: http://10.0.0.4:8407/-/backends/i-1"]
        assert not office.calls
        office.wicket.close()

    run(main())


def test_large_orders_leave_time_between_them() -> None:
    async def main() -> None:
        office, said = Office(None), []
        large = [config(3, 0, *[f"{n}-{label}" for n in range(900)]) for label in "abcdefgh"]

        def send(body: bytes) -> None:
            asked = Asked("PUT", CONFIG, body)
            office.control.answer(office.now, asked, lambda status, *_: said.append(status))

        send(large[0])
        for body in large[1:] + large[:1]:
            send(body)
        office.end("done")
        turns = [len(said)]
        while len(said) < 9:
            office.tick(0.025)
            turns.append(len(said) - sum(turns))
        assert max(turns) <= 2 and sorted(said) == [200, 200] + [412] * 7
        for generation in range(5, 25):  # small ones all at once
            send(config(generation, 0))
        assert said[9:] == [412] * 20

    run(main())


class Caller:
    """A client that notes its answers."""

    def __init__(self) -> None:
        self.answers: list[int] = []

    def reply(self, status: int, lines: bytes, body: bytes) -> None:
        self.answers.append(status)


def test_an_answer_never_goes_to_another_caller() -> None:
    replies: list[Any] = []

    async def main() -> None:
        desk = WicketDesk(asyncio.get_running_loop(), lambda asked, reply: replies.append(reply))

        def call() -> Call:
            return Call(QUIET._replace(about=("PUT", CONFIG)), b"", b"", 0.0)

        early = call()
        desk.take(early, Caller())  # type: ignore[arg-type]
        desk.gone(early)
        del early
        gc.collect()
        calls, callers = [call() for _ in range(2000)], [Caller() for _ in range(2000)]
        for each, caller in zip(calls, callers, strict=True):  # one may have the memory of the early one
            desk.take(each, caller)  # type: ignore[arg-type]
        replies[0](200, b"", b"")
        assert not any(caller.answers for caller in callers)
        replies[7](200, b"", b"")
        replies[7](503, b"", b"")
        assert [caller.answers for caller in callers if caller.answers] == [[200]]

    run(main())
