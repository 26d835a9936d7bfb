"""Calls to `control` on shared connections, settled in any order: each caller has its own answer, or none."""

from __future__ import annotations

import json
import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from post.directory.orders import Held
from post.office.control import CONFIG, LOST_S, Control
from post.office.wicket import Asked, Reply, Wicket
from proving.model.wire import FrontConnection
from proving.model.world import Process, World
from tests.system.calls import Seat, parse
from tests.system.test_control import config

BEAT = {"target": "s1", "address": "10.128.0.9:8080", "zone": "z", "phase": "draining", "call-seq": 4}
N = st.integers(0, 1 << 16)
WAYS = ["beat"] * 4 + ["order"] * 2 + ["ack"] * 4 + ["settle", "settle", "again", "read", "leave", "wait"]
STEPS = st.lists(st.tuples(st.sampled_from(WAYS), N, N), min_size=5, max_size=40)


class Office:
    """A wicket, its control, and callers. `told` has the answers that control gave to each call, by its name,
    which is the last part of its path."""

    def __init__(self) -> None:
        self.process = Process(World(1), "postmaster", 0.0, 100.0, 0.0)
        self.control = Control(self, lambda call: self.tokens.append((call.token, call.id)))
        self.tokens = list[tuple[int, str]]()
        self.proposals = list[int]()
        self.told = dict[str, list[tuple[int, bytes]]]()
        self.replies = list[Reply]()
        self.wicket = Wicket(self.process.loop, self.answer)
        self.seats = [self.seat() for _ in range(3)]
        self.calls = 0

    def leads(self, now: float) -> bool:
        return True

    def leader_control(self) -> None:
        return None

    def member_control(self) -> None:
        return None

    def taken_up(self) -> tuple[int, Held]:
        return 0, Held()

    def propose(self, token: int, value: bytes, expected: int) -> None:
        self.proposals.append(token)

    def answer(self, asked: Asked, reply: Reply) -> None:
        told = self.told[asked.path.rpartition("?")[2].rpartition("/")[2]] = []

        def tell(status: int, lines: bytes = b"", body: bytes = b"") -> None:
            told.append((status, body))
            self.replies.append(reply)
            reply(status, lines, body)

        self.control.answer(self.process.time(), asked, tell)

    def seat(self) -> Seat:
        seat = Seat(self.process)
        seat.taker = FrontConnection(self.wicket)  # type: ignore[arg-type]
        seat.taker.connection_made(seat)
        return seat

    def ask(self, seat: Seat, order: bool, method: str) -> None:
        """One more call, behind those that have no answer yet."""
        self.calls += 1
        name = f"c{self.calls}"
        path, body = (f"{CONFIG}?{name}", config(self.calls, 0, "a")) if order else (
            f"/-/backends/{name}", json.dumps(BEAT).encode())
        method = "PUT" if order else method
        seat.asks.append(name)  # type: ignore[arg-type]
        seat.send(f"{method} {path} HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)

    def step(self, what: str, i: int, n: int) -> None:
        seat = self.seats[i % len(self.seats)]
        if what in ("beat", "order"):
            self.ask(seat, what == "order", ("PUT", "DELETE")[n % 2])
        elif what == "ack" and self.tokens:  # also one that was before
            token, name = self.tokens[n % len(self.tokens)]
            before = len(self.told[name])
            self.control.acked(token, i % 3 > 0)
            assert len(self.told[name]) == max(before, 1)
        elif what == "settle" and self.proposals:
            self.control.proposed(self.process.time(), self.proposals[n % len(self.proposals)],
                                  ("done", "refused", "unknown")[i % 3])
        elif what == "again" and self.replies:  # control itself answers once
            self.replies[n % len(self.replies)](500, b"", b"")
        elif what == "read":
            seat.hand(seat.taker.pause_writing if n % 2 else seat.taker.resume_writing)
        elif what == "leave":
            seat.gone = True
            seat.close()
            self.seats[i % len(self.seats)] = self.seat()
        elif what == "wait":
            self.process.world.run(self.process.world.now + (0.1, LOST_S + 1.0)[n % 2])
            self.control.proceed(self.process.time())
        self.process.world.run(self.process.world.now + 0.01)

    def check(self, seat: Seat) -> None:
        """What a caller has heard is what was told to its calls, in their order."""
        data = bytes(seat.said)
        for name in seat.asks:
            status, _, body, data = parse(data, False, False)
            if body is None:
                break
            assert [(status, body)] == self.told[str(name)], f"{name} hears {status} {body!r}"
        assert not data


def play(schedule: list[tuple[str, int, int]]) -> None:
    office = Office()
    seats = list(office.seats)
    for each in schedule:
        office.step(*each)
        seats += [seat for seat in office.seats if seat not in seats]
    assert not office.process.faults
    for seat in seats:
        office.check(seat)


@settings(max_examples=150)
@given(STEPS)
def test_each_call_has_its_own_answer_or_none(schedule: Any) -> None:
    play(schedule)


@pytest.mark.parametrize("fault", ["late", "order"])
def test_planted_fault_is_found(monkeypatch: pytest.MonkeyPatch, fault: str) -> None:
    """Answers to whoever waits on the connection by then, and to whichever beat came last."""
    def careless(self: Any, call: Any, client: Any) -> None:
        method, path = call.request.about
        self.answer(Asked(method, path, bytes(call.body)), client.reply)

    def newest(self: Any, token: Any, well: bool) -> None:
        if self.beats:
            self.beats.popitem()[1](200 if well else 503, b"", b"")

    if fault == "late":
        monkeypatch.setattr("post.office.wicket.WicketDesk.take", careless)
    else:
        monkeypatch.setattr("post.office.control.Control.acked", newest)
    rng = random.Random(1)
    with pytest.raises(AssertionError):
        for _ in range(200):
            play([(rng.choice(WAYS), rng.randrange(99), rng.randrange(99)) for _ in range(30)])
