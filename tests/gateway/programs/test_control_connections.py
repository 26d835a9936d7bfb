"""Tests of pipelined control API calls that complete in any order: each gets its own answer, or none."""

from __future__ import annotations

import json
import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gateway.config.changes import ConfigState
from gateway.programs.control_api import PROPOSAL_TIMEOUT_S, ControlApi
from gateway.programs.paths import CONFIG
from gateway.runtime.http_call import HttpCall, Reply
from gateway.runtime.http_listener import HttpListener
from simulation.model.proxy_sockets import SimulatedServerConnection
from simulation.model.simulator import Process, Simulator
from tests.gateway.programs.test_control_api import config
from tests.gateway.proxy.call_simulation import SimulatedClient, parse

BEAT = {"target": "s1", "address": "10.128.0.9:8080", "zone": "z", "phase": "draining", "call-seq": 4}
N = st.integers(0, 1 << 16)
WAYS = ["beat"] * 4 + ["order"] * 2 + ["ack"] * 4 + ["settle", "settle", "again", "read", "leave", "wait"]
STEPS = st.lists(st.tuples(st.sampled_from(WAYS), N, N), min_size=5, max_size=40)


class SimulatedController:
    """An HTTP listener, its control API, and callers.

    `told` has the answers that the control API gave to each call, by the last part of the call's path.
    """

    def __init__(self) -> None:
        self.process = Process(Simulator(1), "controller", 0.0, 100.0, 0.0)
        self.control = ControlApi(self, lambda call: self.tokens.append((call.token, call.id)))
        self.tokens = list[tuple[int, str]]()
        self.proposals = list[int]()
        self.told = dict[str, list[tuple[int, bytes]]]()
        self.replies = list[Reply]()
        self.http_listener = HttpListener(self.process.loop, self.answer)
        self.client_connections = [self.client_connection() for _ in range(3)]
        self.calls = 0

    def leads(self, now: float) -> bool:
        return True

    def leader_control(self) -> None:
        return None

    def member_control(self) -> None:
        return None

    def config_in_force(self) -> tuple[int, ConfigState]:
        return 0, ConfigState()

    def propose(self, token: int, value: bytes, expected: int) -> None:
        self.proposals.append(token)

    def answer(self, http_call: HttpCall, reply: Reply) -> None:
        told = self.told[http_call.path.rpartition("?")[2].rpartition("/")[2]] = []

        def tell(status: int, lines: bytes = b"", body: bytes = b"") -> None:
            told.append((status, body))
            self.replies.append(reply)
            reply(status, lines, body)

        self.control.answer(self.process.time(), http_call, tell)

    def client_connection(self) -> SimulatedClient:
        client_connection = SimulatedClient(self.process)
        client_connection.receiver = SimulatedServerConnection(self.http_listener)  # type: ignore[arg-type]
        client_connection.receiver.connection_made(client_connection)
        return client_connection

    def ask(self, client_connection: SimulatedClient, order: bool, method: str) -> None:
        """Send another call on a connection, which may have unanswered calls."""
        self.calls += 1
        name = f"c{self.calls}"
        path, body = (
            (f"{CONFIG}?{name}", config(self.calls, 0, "a"))
            if order
            else (f"/-/backends/{name}", json.dumps(BEAT).encode())
        )
        method = "PUT" if order else method
        client_connection.asks.append(name)  # type: ignore[arg-type]
        client_connection.send(
            f"{method} {path} HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
        )

    def step(self, what: str, i: int, n: int) -> None:
        client_connection = self.client_connections[i % len(self.client_connections)]
        if what in ("beat", "order"):
            self.ask(client_connection, what == "order", ("PUT", "DELETE")[n % 2])
        elif what == "ack" and self.tokens:  # possibly one that was acknowledged before
            token, name = self.tokens[n % len(self.tokens)]
            before = len(self.told[name])
            (self.control.acknowledge_call if i % 3 else self.control.reject_call)(token)
            assert len(self.told[name]) == max(before, 1)
        elif what == "settle" and self.proposals:
            self.control.on_proposal_outcome(
                self.process.time(),
                self.proposals[n % len(self.proposals)],
                ("committed", "rejected", "unknown")[i % 3],
            )
        elif what == "again" and self.replies:  # a second answer, which the control API never gives
            self.replies[n % len(self.replies)](500, b"", b"")
        elif what == "read":
            client_connection.call_receiver(
                client_connection.receiver.pause_writing
                if n % 2
                else client_connection.receiver.resume_writing
            )
        elif what == "leave":
            client_connection.gone = True
            client_connection.close()
            self.client_connections[i % len(self.client_connections)] = self.client_connection()
        elif what == "wait":
            self.process.simulator.run(self.process.simulator.now + (0.1, PROPOSAL_TIMEOUT_S + 1.0)[n % 2])
            self.control.proceed(self.process.time())
        self.process.simulator.run(self.process.simulator.now + 0.01)

    def check(self, client_connection: SimulatedClient) -> None:
        """Check that a caller received the answers to its calls, in order."""
        data = bytes(client_connection.received)
        for name in client_connection.asks:
            status, _, body, data = parse(data, False, False)
            if body is None:
                break
            assert [(status, body)] == self.told[str(name)], f"{name} hears {status} {body!r}"
        assert not data


def play(schedule: list[tuple[str, int, int]]) -> None:
    controller = SimulatedController()
    client_connections = list(controller.client_connections)
    for each in schedule:
        controller.step(*each)
        client_connections += [
            client_connection
            for client_connection in controller.client_connections
            if client_connection not in client_connections
        ]
    assert not controller.process.faults
    for client_connection in client_connections:
        controller.check(client_connection)


@settings(max_examples=150)
@given(STEPS)
def test_each_call_gets_its_own_answer_or_none(schedule: Any) -> None:
    play(schedule)


@pytest.mark.parametrize("fault", ["late", "order"])
def test_injected_fault_is_detected(monkeypatch: pytest.MonkeyPatch, fault: str) -> None:
    """Answer the call that waits on the connection by then, or the latest heartbeat."""

    def careless(self: Any, call: Any, client: Any) -> None:
        method, path = call.request.context
        self.answer(HttpCall(method, path, bytes(call.body)), client.reply)

    def newest(self: Any, token: Any) -> None:
        if self.pending_heartbeats:
            self.pending_heartbeats.popitem()[1](200, b"", b"")

    if fault == "late":
        monkeypatch.setattr("gateway.runtime.http_listener.HttpCallHandler.take", careless)
    else:
        monkeypatch.setattr("gateway.programs.control_api.ControlApi.acknowledge_call", newest)
    rng = random.Random(1)
    with pytest.raises(AssertionError):
        for _ in range(200):
            play([(rng.choice(WAYS), rng.randrange(99), rng.randrange(99)) for _ in range(30)])
