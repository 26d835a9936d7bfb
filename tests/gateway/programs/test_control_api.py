"""Tests of the control API over HTTP: exchanges of operators and backends with a simulated controller."""

from __future__ import annotations

import asyncio
import gc
import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from syrupy.assertion import SnapshotAssertion

from gateway.config.changes import ConfigState
from gateway.membership.events import Deregistration, Heartbeat
from gateway.programs.control_api import CALL_TIMEOUT_S, MAX_PENDING_CALLS, ControlApi
from gateway.runtime import http_listener as http_listener_module
from gateway.runtime.http_call import HttpCall, Reply
from gateway.runtime.http_listener import EMPTY_REQUEST, HttpCallHandler, HttpListener
from ingress.net.http_messages import ClientRequest
from tests.ingress.socket_rig import HOST, Client, run, until

CONFIG = "/-/config"


def config(generation: int, base: int, *labels: str, tries: int = 2) -> bytes:
    entries = [
        {
            "entry-kind": "services",
            "metadata": {"label": "s1"},
            "spec": {"health-path": "/h", "max-conns": 9, "protocol": "h1", "tls": False},
        }
    ]
    entries += [
        {
            "entry-kind": "route-table",
            "metadata": {"label": label},
            "spec": {
                "hostname": "a.example",
                "path-prefix": f"/{label}/",
                "traffic-class": "safe",
                "deadline-s": 2,
                "target-latency-s": 1,
                "precedence": 1,
                "target": "s1",
                "max-tries": tries,
            },
        }
        for label in labels
    ]
    return json.dumps({"generation": generation, "base-version": base, "resource-list": entries}).encode()


class SimulatedController:
    """An HTTP listener and its control API.

    The test sets the leader and the outcomes of proposals in their order; the last outcome is repeated. Time
    passes only when the test advances it.
    """

    def __init__(self, *outcomes: str | None) -> None:
        self.now, self.leader = 100.0, "me"
        self.member: str | None = None
        self.outcomes = list(outcomes or ["committed"])
        self.version, self.config_state = 0, ConfigState()
        self.out: list[tuple[int, bytes]] = []
        self.calls: list[Heartbeat | Deregistration] = []
        self.transcript: list[str] = []
        self.control = ControlApi(self, self.calls.append)
        self.loop = asyncio.get_running_loop()

    def leads(self, now: float) -> bool:
        return self.leader == "me"

    def leader_control(self) -> str | None:
        return self.leader if self.leader not in ("me", "") else None

    def config_in_force(self) -> tuple[int, ConfigState]:
        return self.version, self.config_state

    def member_control(self) -> str | None:
        return self.member

    def propose(self, token: int, value: bytes, expected: int) -> None:
        assert expected == self.version
        self.out.append((token, value))
        outcome = self.outcomes.pop(0) if len(self.outcomes) > 1 else self.outcomes[0]
        if outcome is not None:
            self.end(outcome)

    def end(self, outcome: str) -> None:
        """Report the outcome of the latest proposal."""
        token, value = self.out[-1]
        own_value = self.control.own_value(value)  # equal to the decoded value
        assert own_value is not None and self.control.own_value(value + b"x") is None
        assert (own_value.encode(), own_value.document.routes) == (
            value,
            ConfigState.decode(value).document.routes,
        )  # type: ignore
        if outcome == "committed":
            self.version, self.config_state = self.version + 1, ConfigState.decode(value, self.config_state)
        self.control.on_proposal_outcome(self.now, token, outcome)

    def tick(self, seconds: float) -> None:
        self.now += seconds
        self.control.proceed(self.now)

    async def open(self) -> SimulatedController:
        def answer(http_call: HttpCall, reply: Reply) -> None:
            self.control.answer(self.now, http_call, reply)

        self.http_listener = HttpListener(self.loop, answer)
        await self.http_listener.listen(f"{HOST}:0")
        assert self.http_listener.listener is not None
        self.port = self.http_listener.listener.sockets[0].getsockname()[1]
        return self

    async def send(self, method: str, path: str, body: bytes = b"", *lines: str) -> Client:
        """Send a call without waiting for the answer."""
        client = await Client.connect(self.port)
        head = "".join(f"{line}\r\n" for line in (f"Content-Length: {len(body)}", *lines))
        client.writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\n{head}\r\n".encode() + body)
        return client

    async def hear(self, client: Client, what: str) -> int:
        """Wait for the answer to a call, and record both."""
        status, headers, body = await client.answer()
        client.writer.close()
        lines = [f"{k}: {v}" for k, v in sorted(headers.items()) if k in ("location", "retry-after")]
        told = f"({len(body)} bytes)" if len(body) > 200 else body.decode()
        self.transcript.append(" ".join([what, "->", str(status), *lines, told]).rstrip())
        return status

    async def call(self, what: str, method: str, path: str, body: bytes = b"") -> int:
        return await self.hear(await self.send(method, path, body), f"{method} {path} {what}".rstrip())

    async def held_back(self, what: str, method: str, path: str, body: bytes = b"") -> asyncio.Task[int]:
        """Send a call that stays pending."""
        before = len(self.http_listener.call_handler.pending)
        client = await self.send(method, path, body)
        await until(lambda: len(self.http_listener.call_handler.pending) > before)
        return self.loop.create_task(self.hear(client, f"{method} {path} {what}"))


async def orders(controller: SimulatedController) -> None:
    """One operator, and another one with an outdated base."""
    await controller.call("before any", "GET", CONFIG)
    await controller.call("first", "PUT", CONFIG, config(3, 0, "a"))
    await controller.call("first again", "PUT", CONFIG, config(3, 0, "a"))
    await controller.call("another first", "PUT", CONFIG, config(4, 0, "b"))
    await controller.call("no JSON", "PUT", CONFIG, b"{")
    await controller.call("no tries", "PUT", CONFIG, config(5, 3, "b", tries=0))
    await controller.call("generation not above", "PUT", CONFIG, config(3, 3, "b"))
    change = {
        "generation": 7,
        "base-version": 3,
        "remove": {"route-table": ["a"]},
        "upsert": {"resource-list": json.loads(config(7, 3, "b"))["resource-list"]},
    }
    await controller.call("one route by another", "PATCH", CONFIG, json.dumps(change).encode())
    await controller.call("the change again", "PATCH", CONFIG, json.dumps(change).encode())
    await controller.call("", "GET", CONFIG)
    assert list(controller.config_state.document.routes) == ["b"] and controller.version == 2  # type: ignore[union-attr]


async def elsewhere(controller: SimulatedController) -> None:
    """Another process leads, then none, then this one."""
    controller.leader = "10.0.0.4:8407"
    await controller.call("", "GET", CONFIG)
    await controller.call("first", "PUT", CONFIG + "?x=1", config(1, 0, "a"))
    controller.leader = ""
    late = await controller.held_back("while nobody leads", "PUT", CONFIG, config(1, 0, "a"))
    controller.tick(CALL_TIMEOUT_S + 0.01)
    await late
    soon = await controller.held_back("while nobody leads yet", "PUT", CONFIG, config(1, 0, "a"))
    controller.leader = "me"
    controller.tick(0.1)
    await soon
    controller.leader = ""
    again = await controller.held_back("while nobody leads again", "GET", CONFIG)
    controller.leader = "10.0.0.5:8407"
    controller.tick(0.1)
    await again
    controller.leader = ""
    for _ in range(800):  # the controller finds no leader for 20 s
        controller.tick(0.025)
    await controller.call("of 20 s without a leader", "GET", CONFIG)
    await controller.call("of 20 s without a leader", "PUT", CONFIG, config(9, 1, "a"))
    controller.leader = "me"
    await controller.call("at once when one leads", "PUT", CONFIG, config(9, 1, "a"))
    assert controller.version == 2


async def refusals(controller: SimulatedController) -> None:
    """A rejected proposal is retried after a short wait, based on the configuration then in force."""
    task = await controller.held_back("refused once", "PUT", CONFIG, config(2, 0, "a"))
    assert len(controller.out) == 1
    controller.tick(0.1)
    await task
    await controller.call("of unknown end", "PUT", CONFIG, config(3, 2, "b"))
    await controller.call("of unknown end, again", "PUT", CONFIG, config(3, 2, "b"))


async def hung(controller: SimulatedController) -> None:
    """While a change is in progress, reads are served and other changes wait for a limited time."""
    first = await controller.held_back("first", "PUT", CONFIG, config(1, 0, "a"))
    await controller.call("meanwhile", "GET", CONFIG)
    second = await controller.held_back("second", "PUT", CONFIG, config(2, 0, "b"))
    for _ in range(MAX_PENDING_CALLS - 1):
        await controller.send("PUT", CONFIG, config(9, 9))
    await until(lambda: len(controller.control.queue) == MAX_PENDING_CALLS)
    await controller.call("too many", "PUT", CONFIG, config(3, 0, "c"))
    controller.outcomes = ["committed"]
    controller.end("committed")
    await first
    await second
    controller.outcomes = [None]
    lost = await controller.held_back("whose end nobody tells", "PUT", CONFIG, config(4, 1, "b"))
    controller.tick(9.9)
    assert not lost.done()
    controller.tick(0.2)
    await lost


async def ahead(controller: SimulatedController) -> None:
    """Changes whose base isn't in force yet wait for a limited time, and don't delay other changes."""
    later = await controller.held_back("on top of what comes next", "PUT", CONFIG, config(5, 3, "b"))
    never = await controller.held_back("on top of what never comes", "PUT", CONFIG, config(9, 8, "b"))
    controller.tick(0.3)
    await controller.call("what comes next", "PUT", CONFIG, config(3, 0, "a"))
    await later
    controller.tick(CALL_TIMEOUT_S - 0.31)
    assert not never.done() and controller.version == 2
    controller.tick(0.02)
    await never
    controller.outcomes = [None]
    first = await controller.held_back("whose end takes long", "PUT", CONFIG, config(6, 5, "c"))
    second = await controller.held_back("on top of it", "PUT", CONFIG, config(7, 6, "d"))
    controller.tick(CALL_TIMEOUT_S + 0.1)
    assert not second.done()
    controller.outcomes = ["committed"]
    controller.end("committed")
    await first
    await second
    gone = await controller.held_back("and then another leads", "PUT", CONFIG, config(20, 15, "b"))
    controller.leader = "10.0.0.4:8407"
    controller.tick(0.1)
    await gone


async def gone(controller: SimulatedController) -> None:
    """Callers that disconnect while they send a change, or while it is queued; a queued change is applied."""
    whole = config(2, 0, "a")
    client = await Client.connect(controller.port)
    client.writer.write(f"PUT {CONFIG} HTTP/1.1\r\nContent-Length: {len(whole)}\r\n\r\n".encode())
    client.writer.write(whole[:50])
    await until(lambda: len(controller.http_listener.connections) == 1)
    client.writer.close()
    await until(lambda: not controller.http_listener.connections)
    assert not controller.out
    first = await controller.held_back("cut short, sent again", "PUT", CONFIG, whole)
    second = await controller.send("PUT", CONFIG, config(5, 2, "a", "b"))
    await until(lambda: len(controller.control.queue) == 1)
    second.writer.close()
    await until(lambda: len(controller.http_listener.connections) == 1)
    controller.outcomes = ["committed"]
    controller.end("committed")
    await first
    assert controller.version == 2
    await controller.call("that was left, sent again", "PUT", CONFIG, config(5, 2, "a", "b"))
    assert controller.version == 2
    both = await Client.connect(controller.port)
    controller.outcomes = [None]
    both.writer.write(f"PUT {CONFIG} HTTP/1.1\r\nContent-Length: {len(config(7, 5))}\r\n\r\n".encode())
    both.writer.write(config(7, 5) + f"GET {CONFIG} HTTP/1.1\r\nConnection: close\r\n\r\n".encode())
    await until(lambda: len(controller.out) == 3)
    controller.end("committed")
    said = [await both.answer(), await both.answer()]
    assert [json.loads(body)["generation"] for _, _, body in said] == [7, 7]  # in turn
    both.writer.close()


async def beats(controller: SimulatedController) -> None:
    """Heartbeats of backends: valid, invalid, and valid ones that the fleet rejects."""
    beat = {
        "target": "s1",
        "address": "10.128.0.9:8080",
        "zone": "z",
        "generation": "v1",
        "capacity": 4,
        "phase": "draining",
        "cold-left-s": 0.5,
        "call-seq": 4,
    }
    path = "/-/backends/i-1"
    for well, method, body in ((True, "PUT", json.dumps(beat).encode()), (False, "DELETE", b"")):
        task = await controller.held_back("taken" if well else "not vouched for", method, path, body)
        target = "10.2.0.3:8407" if well else ""
        if well:
            controller.control.acknowledge_call(controller.calls[-1].token, target)
        else:
            controller.control.reject_call(controller.calls[-1].token)
        await task
    for wrong in ({"address": "10.128.0.9"}, {"call-seq": "x"}, {"cold-left-s": -1}, {"capacity": 1 << 40}):
        await controller.call(str(wrong), "PUT", path, json.dumps({**beat, **wrong}).encode())
    await controller.call("no object", "PUT", path, b"[]")
    await controller.call("no id", "PUT", "/-/backends/", json.dumps(beat).encode())
    await controller.call("", "POST", path)
    await controller.call("", "DELETE", CONFIG)
    await controller.call("", "GET", "/-/other")
    controller.transcript += [str(tuple(call)) for call in controller.calls]


async def too_large(controller: SimulatedController) -> None:
    """Bodies above the limit of a call, and above the limit of all calls together."""
    await controller.hear(await controller.send("PUT", CONFIG, b"", "Content-Length: 9"), "two lengths")
    client = await Client.connect(controller.port)
    client.writer.write(
        f"PUT {CONFIG} HTTP/1.1\r\nContent-Length: {http_listener_module.MAX_BODY_BYTES + 1}\r\n\r\n".encode()
    )
    await controller.hear(client, "too large")
    controller.http_listener.body_bytes = http_listener_module.MAX_TOTAL_BODY_BYTES
    await controller.call("without room", "PUT", CONFIG, bytes(100_000))


SCENARIOS: dict[Callable[[SimulatedController], Awaitable[None]], tuple[str | None, ...]] = {
    orders: ("committed",),
    elsewhere: ("committed",),
    refusals: ("rejected", "committed", "unknown", "committed"),
    hung: (None,),
    ahead: ("committed",),
    gone: (None,),
    beats: ("committed",),
    too_large: ("committed",),
}


@pytest.mark.parametrize("story", SCENARIOS, ids=lambda story: story.__name__)
def test_calls(story: Any, snapshot: SnapshotAssertion) -> None:
    async def main() -> None:
        controller = await SimulatedController(*SCENARIOS[story]).open()
        await story(controller)
        assert "\n".join(controller.transcript) == snapshot
        controller.http_listener.close()

    run(main())


def test_process_that_is_no_member_redirects_backends() -> None:
    async def main() -> None:
        controller = await SimulatedController().open()
        controller.member = "10.0.0.4:8407"
        await controller.call("at no member", "DELETE", "/-/backends/i-1")
        assert controller.transcript == [
            "DELETE /-/backends/i-1 at no member -> 307 location: http://10.0.0.4:8407/-/backends/i-1"
        ]
        assert not controller.calls
        controller.http_listener.close()

    run(main())


def test_large_changes_are_spaced_out() -> None:
    async def main() -> None:
        controller, said = SimulatedController(None), []
        large = [config(3, 0, *[f"{n}-{label}" for n in range(900)]) for label in "abcdefgh"]

        def send(body: bytes) -> None:
            http_call = HttpCall("PUT", CONFIG, body)
            controller.control.answer(controller.now, http_call, lambda status, *_: said.append(status))

        send(large[0])
        for body in large[1:] + large[:1]:
            send(body)
        controller.end("committed")
        turns = [len(said)]
        while len(said) < 9:
            controller.tick(0.025)
            turns.append(len(said) - sum(turns))
        assert max(turns) <= 2 and sorted(said) == [200, 200] + [412] * 7
        for generation in range(5, 25):  # small changes without a wait
            send(config(generation, 0))
        assert said[9:] == [412] * 20

    run(main())


class Caller:
    """A client that records its answers."""

    def __init__(self) -> None:
        self.answers: list[int] = []

    def reply(self, status: int, lines: bytes, body: bytes) -> None:
        self.answers.append(status)


def test_answer_never_goes_to_another_caller() -> None:
    replies: list[Any] = []

    async def main() -> None:
        desk = HttpCallHandler(asyncio.get_running_loop(), lambda http_call, reply: replies.append(reply))

        def call() -> ClientRequest:
            return ClientRequest(EMPTY_REQUEST._replace(context=("PUT", CONFIG)), b"", b"", 0.0)

        early = call()
        desk.take(early, Caller())  # type: ignore[arg-type]
        desk.gone(early)
        del early
        gc.collect()
        calls, callers = [call() for _ in range(2000)], [Caller() for _ in range(2000)]
        for each, caller in zip(calls, callers, strict=True):  # may reuse the early one's address
            desk.take(each, caller)  # type: ignore[arg-type]
        replies[0](200, b"", b"")
        assert not any(caller.answers for caller in callers)
        replies[7](200, b"", b"")
        replies[7](503, b"", b"")
        assert [caller.answers for caller in callers if caller.answers] == [[200]]

    run(main())
