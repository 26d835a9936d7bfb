"""Calls to `control`: the operator's orders and the backends' beats, handed to the machines that decide."""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from post.directory.orders import Held, decide
from post.machine import Address
from post.office import word
from post.office.address import host_port
from post.office.wicket import Asked, Reply
from post.rounds.messages import Beat, End

CONFIG, BACKENDS = "/-/config", "/-/backends/"
JSON = b"Content-Type: application/json\r\n"
PATIENCE_S = 0.7  # for a leader to be there, and for one order to be settled before the next
LONE_S = 1.5  # without a leader, after which none is awaited: an election takes less
LOST_S = 10.0  # without a word on what became of a proposal, which then counts as unknown
WAITING = 64  # orders at most
AT_ONCE = 128 * 1024  # bytes of orders that are judged in a row; the agreement's beats come between
LONGEST = 200  # characters of a name that a backend tells
COLDEST_S = 3600.0


class Core(Protocol):
    """What the calls need of the agreement."""

    def leads(self, now: float) -> bool:
        """Whether this process leads and is sure of it."""

    def leader_control(self) -> Address | None:
        """The `control` address of another process that leads."""

    def member_control(self) -> Address | None:
        """The `control` address of a member of the core, where this process is none and knows one."""

    def propose(self, token: int, value: bytes, expected: int) -> None:
        """Have a value agreed on."""

    def taken_up(self) -> tuple[int, Held]:
        """The version and what is in force."""


class Order(NamedTuple):
    """A call about the configuration."""

    asked: Asked
    reply: Reply
    came: float


class Out(NamedTuple):
    """An order that is being agreed on: its token, its answer, what it puts in force and the value for it."""

    token: int
    order: Order
    body: bytes
    held: Held
    value: bytes


class Control:
    """Answers the calls; one order is out at a time."""

    def __init__(self, core: Core, rounds: Callable[[Beat | End], None]) -> None:
        self.core, self.rounds = core, rounds
        self.orders: deque[Order] = deque()
        self.ahead: list[Order] = []  # those that build on a version which isn't in force yet
        self.ahead_of = 0  # the version that was, when they were put by
        self.out: Out | None = None
        self.out_at = 0.0
        self.token = 0
        self.refused_at = float("-inf")  # the last proposal that was: the next one waits for a later time
        self.beats: dict[int, Reply] = {}
        self.led: float | None = None  # when there last was a leader, here or elsewhere
        self.settled = self.refused = 0

    def answer(self, now: float, asked: Asked, reply: Reply) -> None:
        """Take a call."""
        path = asked.path.partition("?")[0]
        if path == CONFIG and asked.method in ("GET", "PUT", "PATCH"):
            order = Order(asked, reply, now)
            if asked.method == "GET" and self.core.leads(now):  # needs nobody's consent
                return self.settle(now, order)
            if len(self.orders) + len(self.ahead) >= WAITING:
                return reply(503, b"Retry-After: 1\r\n", b"")
            self.orders.append(order)
            return self.proceed(now)
        if path.startswith(BACKENDS) and asked.method in ("PUT", "DELETE"):
            return self.backend(path[len(BACKENDS):], asked, reply)
        reply(405 if path == CONFIG or path.startswith(BACKENDS) else 404, b"", b"")

    # The operator.

    def proceed(self, now: float) -> None:
        """Settle orders in turn: here if this process leads, else the caller is told who does.

        Where nobody has led for a while, none is awaited: this process is cut off, and the caller goes on.
        """
        leads, leader = self.core.leads(now), self.core.leader_control()
        if leads or leader is not None or self.led is None:
            self.led = now
        if self.out is not None and now - self.out_at > LOST_S:
            self.proposed(now, self.out.token, "unknown")
        if self.ahead:
            self.take_up_again(now)
        judged = 0
        while self.orders and self.out is None and now > self.refused_at and judged < AT_ONCE:
            order = self.orders[0]
            if self.core.leads(now):
                self.orders.popleft()
                judged += len(order.asked.body)
                self.settle(now, order)
            elif (leader := self.core.leader_control()) is not None:
                self.orders.popleft()
                send_on(leader, order.asked, order.reply)
            elif now - order.came > PATIENCE_S or now - self.led > LONE_S:
                self.orders.popleft()
                order.reply(503, b"Retry-After: 0.5\r\n", b"")
            else:
                return

    def take_up_again(self, now: float) -> None:
        """Orders that were put by have their turn once a version has come, or their patience is over."""
        passed = self.core.taken_up()[0] != self.ahead_of or not self.core.leads(now)
        waiting, self.ahead = self.ahead, []
        for order in waiting:
            (self.orders if passed or now - order.came > PATIENCE_S else self.ahead).append(order)

    def settle(self, now: float, order: Order) -> None:
        """Read, or decide on a change and have it agreed on."""
        version, held = self.core.taken_up()
        if order.asked.method == "GET":
            body = held.whole()
            return order.reply(200 if body else 404, JSON, body)
        decision = decide(held, order.asked.method, order.asked.body)
        if decision.ahead and now - order.came <= PATIENCE_S:
            self.ahead.append(order)
            self.ahead_of = version
            return
        if decision.held is None:
            self.refused += decision.status != 200
            return order.reply(decision.status, JSON, decision.body)
        self.token += 1
        out = Out(self.token, order, decision.body, decision.held, decision.held.encode())
        self.out, self.out_at = out, now
        word.taken(version + 1, out.held.generation)
        self.core.propose(self.token, out.value, version)

    def made(self, value: bytes) -> Held | None:
        """What this value puts in force, if it was made here just now: it need not be read again."""
        return self.out.held if self.out is not None and self.out.value == value else None

    def proposed(self, now: float, token: int, outcome: str) -> None:
        """What became of a proposal."""
        if self.out is None or self.out.token != token:
            return
        _, order, body, held, _ = self.out
        self.out = None
        if outcome == "done":
            self.settled += 1
            order.reply(200, JSON, body)
            word.acknowledged(self.core.taken_up()[0], held.generation, now - order.came)
        elif outcome == "refused" and now - order.came <= PATIENCE_S:
            self.refused_at = now
            self.orders.appendleft(order)
        else:  # it may be in force or not: who sends it again learns which
            order.reply(503, b"Retry-After: 0.2\r\n", b"")
        self.proceed(now)

    # Backends.

    def backend(self, name: str, asked: Asked, reply: Reply) -> None:
        """A beat or an end. Who is no member of the core can't vouch for it, and names one that can."""
        if (member := self.core.member_control()) is not None:
            return send_on(member, asked, reply)
        self.token += 1
        call = End(self.token, name) if asked.method == "DELETE" else read_beat(self.token, name, asked.body)
        if call is None or not 0 < len(name) <= LONGEST:
            return reply(400, b"", b"no beat: an object with target, address, zone, phase and call-seq")
        self.beats[self.token] = reply
        self.rounds(call)

    def acked(self, token: Any, well: bool) -> None:
        """The machine has taken a beat in, or can't vouch for it."""
        reply = self.beats.pop(token, None)
        if reply is not None:
            reply(200 if well else 503, JSON if well else b"", b"{}" if well else b"")


def send_on(to: Address, asked: Asked, reply: Reply) -> None:
    """Send a caller on to another process with the same call."""
    reply(307, b"Location: http://%s%s\r\n" % (to.encode(), asked.path.encode("latin-1")), b"")


def read_beat(token: int, name: str, body: bytes) -> Beat | None:
    """The beat in a call's body; None if it is none."""
    try:
        told = json.loads(body)
        beat = Beat(token, name, str(told["target"]), str(told["address"]), str(told.get("zone", "")),
                    str(told.get("generation", "")), int(told.get("capacity", 1)),
                    told.get("phase", "standing") == "draining", float(told.get("cold-left-s", 0.0)),
                    int(told.get("call-seq", 0)))
        host_port(beat.address)
    except (ValueError, KeyError, TypeError, AttributeError, OverflowError):
        return None
    fits = max(map(len, beat[2:6])) <= LONGEST and 0 < beat.capacity < 1 << 31 and 0 <= beat.seq < 1 << 63
    return beat if fits and 0 <= beat.cold_left < COLDEST_S else None
