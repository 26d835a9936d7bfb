"""Calls to `control`: the operator's orders and the backends' beats, handed to the machines that decide."""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from gateway.config.orders import ConfigState, decide
from gateway.membership.messages import Deregistration, Heartbeat
from gateway.runtime import config_events
from gateway.runtime.address import host_port
from gateway.runtime.http_listener import HttpCall, Reply
from gateway.state_machine import Address

CONFIG, BACKENDS = "/-/config", "/-/backends/"
JSON = b"Content-Type: application/json\r\n"
ORDER_PATIENCE_S = 0.7  # for a leader to be there, and for one order to be settled before the next
NO_LEADER_TIMEOUT_S = 1.5  # without a leader, after which none is awaited: an election takes less
PROPOSAL_TIMEOUT_S = 10.0  # without an answer on what became of a proposal, which then counts as unknown
MAX_PENDING_ORDERS = 64  # orders at most
MAX_BATCH_BYTES = 128 * 1024  # bytes of orders that are judged in a row; the agreement's beats come between
MAX_NAME_LENGTH = 200  # characters of a name that a backend tells
MAX_COLD_START_S = 3600.0


class ConsensusCore(Protocol):
    """What the calls need of the agreement."""

    def leads(self, now: float) -> bool:
        """Whether this process leads and is sure of it."""

    def leader_control(self) -> Address | None:
        """The `control` address of another process that leads."""

    def propose(self, token: int, value: bytes, expected: int) -> None:
        """Have a value agreed on."""

    def config_in_force(self) -> tuple[int, ConfigState]:
        """The version and what is in force."""


class Order(NamedTuple):
    """A call about the configuration."""

    http_call: HttpCall
    reply: Reply
    came: float


class InFlightOrder(NamedTuple):
    """An order that is being agreed on: its token, its answer, what it puts in force and the value for it."""

    token: int
    order: Order
    body: bytes
    config_state: ConfigState
    value: bytes


class Control:
    """Answers the calls; one order is out at a time."""

    def __init__(self, core: ConsensusCore, membership: Callable[[Heartbeat | Deregistration], None]) -> None:
        self.core, self.membership = core, membership
        self.orders: deque[Order] = deque()
        self.ahead: list[Order] = []  # those that build on a version which isn't in force yet
        self.ahead_of = 0  # the version that was, when they were put by
        self.out: InFlightOrder | None = None
        self.out_at = 0.0
        self.token = 0
        self.refused_at = float("-inf")  # the last proposal that was: the next one waits for a later time
        self.pending_heartbeats: dict[int, Reply] = {}
        self.led: float | None = None  # when there last was a leader, here or elsewhere
        self.completed = self.refused = 0

    def answer(self, now: float, http_call: HttpCall, reply: Reply) -> None:
        """Take a call."""
        path = http_call.path.partition("?")[0]
        if path == CONFIG and http_call.method in ("GET", "PUT", "PATCH"):
            order = Order(http_call, reply, now)
            if http_call.method == "GET" and self.core.leads(now):  # needs nobody's consent
                return self.process_order(now, order)
            if len(self.orders) + len(self.ahead) >= MAX_PENDING_ORDERS:
                return reply(503, b"Retry-After: 1\r\n", b"")
            self.orders.append(order)
            return self.proceed(now)
        if path.startswith(BACKENDS) and http_call.method in ("PUT", "DELETE"):
            return self.backend(path[len(BACKENDS) :], http_call, reply)
        reply(405 if path == CONFIG or path.startswith(BACKENDS) else 404, b"", b"")

    # The operator.

    def proceed(self, now: float) -> None:
        """Settle orders in turn: here if this process leads, else the caller is told who does.

        Where nobody has led for a while, none is awaited: this process is cut off, and the caller goes on.
        """
        leads, leader = self.core.leads(now), self.core.leader_control()
        if leads or leader is not None or self.led is None:
            self.led = now
        if self.out is not None and now - self.out_at > PROPOSAL_TIMEOUT_S:
            self.proposed(now, self.out.token, "unknown")
        if self.ahead:
            self.requeue_postponed(now)
        judged = 0
        while self.orders and self.out is None and now > self.refused_at and judged < MAX_BATCH_BYTES:
            order = self.orders[0]
            if self.core.leads(now):
                self.orders.popleft()
                judged += len(order.http_call.body)
                self.process_order(now, order)
            elif (leader := self.core.leader_control()) is not None:
                self.orders.popleft()
                where = b"Location: http://%s%s\r\n" % (
                    leader.encode(),
                    order.http_call.path.encode("latin-1"),
                )
                order.reply(307, where, b"")
            elif now - order.came > ORDER_PATIENCE_S or now - self.led > NO_LEADER_TIMEOUT_S:
                self.orders.popleft()
                order.reply(503, b"Retry-After: 0.5\r\n", b"")
            else:
                return

    def requeue_postponed(self, now: float) -> None:
        """Orders that were put by have their turn once a version has come, or their patience is over."""
        passed = self.core.config_in_force()[0] != self.ahead_of or not self.core.leads(now)
        waiting, self.ahead = self.ahead, []
        for order in waiting:
            (self.orders if passed or now - order.came > ORDER_PATIENCE_S else self.ahead).append(order)

    def process_order(self, now: float, order: Order) -> None:
        """Read, or decide on a change and have it agreed on."""
        version, config_state = self.core.config_in_force()
        if order.http_call.method == "GET":
            body = config_state.whole()
            return order.reply(200 if body else 404, JSON, body)
        decision = decide(config_state, order.http_call.method, order.http_call.body)
        if decision.ahead and now - order.came <= ORDER_PATIENCE_S:
            self.ahead.append(order)
            self.ahead_of = version
            return
        if decision.config_state is None:
            self.refused += decision.status != 200
            return order.reply(decision.status, JSON, decision.body)
        self.token += 1
        out = InFlightOrder(
            self.token, order, decision.body, decision.config_state, decision.config_state.encode()
        )
        self.out, self.out_at = out, now
        config_events.order_taken(version + 1, out.config_state.generation)
        self.core.propose(self.token, out.value, version)

    def own_value(self, value: bytes) -> ConfigState | None:
        """What this value puts in force, if it was made here just now: it need not be read again."""
        return self.out.config_state if self.out is not None and self.out.value == value else None

    def proposed(self, now: float, token: int, outcome: str) -> None:
        """What became of a proposal."""
        if self.out is None or self.out.token != token:
            return
        _, order, body, config_state, _ = self.out
        self.out = None
        if outcome == "done":
            self.completed += 1
            order.reply(200, JSON, body)
            config_events.order_acknowledged(
                self.core.config_in_force()[0], config_state.generation, now - order.came
            )
        elif outcome == "refused" and now - order.came <= ORDER_PATIENCE_S:
            self.refused_at = now
            self.orders.appendleft(order)
        else:  # it may be in force or not: who sends it again learns which
            order.reply(503, b"Retry-After: 0.2\r\n", b"")
        self.proceed(now)

    # Backends.

    def backend(self, name: str, http_call: HttpCall, reply: Reply) -> None:
        """A beat or an end."""
        self.token += 1
        call = (
            Deregistration(self.token, name)
            if http_call.method == "DELETE"
            else read_heartbeat(self.token, name, http_call.body)
        )
        if call is None or not 0 < len(name) <= MAX_NAME_LENGTH:
            return reply(400, b"", b"no beat: an object with target, address, zone, phase and call-seq")
        self.pending_heartbeats[self.token] = reply
        self.membership(call)

    def heartbeat_answered(self, token: Any, well: bool) -> None:
        """The machine has taken a beat in, or can't vouch for it."""
        reply = self.pending_heartbeats.pop(token, None)
        if reply is not None:
            reply(200 if well else 503, JSON if well else b"", b"{}" if well else b"")


def read_heartbeat(token: int, name: str, body: bytes) -> Heartbeat | None:
    """The beat in a call's body; None if it is none."""
    try:
        told = json.loads(body)
        beat = Heartbeat(
            token,
            name,
            str(told["target"]),
            str(told["address"]),
            str(told.get("zone", "")),
            str(told.get("generation", "")),
            int(told.get("capacity", 1)),
            told.get("phase", "standing") == "draining",
            float(told.get("cold-left-s", 0.0)),
            int(told.get("call-seq", 0)),
        )
        host_port(beat.address)
    except (ValueError, KeyError, TypeError, AttributeError, OverflowError):
        return None
    fits = (
        max(map(len, beat[2:6])) <= MAX_NAME_LENGTH
        and 0 < beat.capacity < 1 << 31
        and 0 <= beat.seq < 1 << 63
    )
    return beat if fits and 0 <= beat.cold_left < MAX_COLD_START_S else None
