"""HTTP calls to `control`: the operator's orders and the backends' heartbeats.

An order is a `GET`, `PUT` or `PATCH` of the configuration. Only a leader with its lease decides on one; the
others redirect. Heartbeats are passed to the membership plane, which answers by `heartbeat_answered`.
"""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from gateway.config.orders import ConfigState, decide
from gateway.consensus.outputs import ProposalOutcome
from gateway.membership.events import Deregistration, Heartbeat
from gateway.runtime import config_events
from gateway.runtime.address import host_port
from gateway.runtime.http_listener import HttpCall, Reply
from gateway.state_machine import Address

CONFIG = "/-/config"
BACKENDS = "/-/backends/"
JSON = b"Content-Type: application/json\r\n"
ORDER_PATIENCE_S = 0.7  # how long an order waits for a leader, for its base, and for another attempt
NO_LEADER_TIMEOUT_S = 1.5  # without a leader for so long orders don't wait: an election takes less
PROPOSAL_TIMEOUT_S = 10.0  # after which the outcome of a proposal counts as unknown
MAX_PENDING_ORDERS = 64  # queued and postponed
MAX_BATCH_BYTES = 128 * 1024  # bytes of orders decided in a row, so that heartbeats aren't delayed
MAX_NAME_LENGTH = 200  # characters of a name in a heartbeat
MAX_COLD_START_S = 3600.0


class ConsensusCore(Protocol):
    """What `Control` needs of the consensus plane."""

    def leads(self, now: float) -> bool:
        """Whether this process leads and has its leader lease."""

    def leader_control(self) -> Address | None:
        """The `control` address of the leader, if that is another process; else None."""

    def member_control(self) -> Address | None:
        """The `control` address of a member of the core, where this process is none and knows one."""

    def propose(self, token: int, value: bytes, expected: int) -> None:
        """Propose a value to replace the version `expected`; `proposed` is called with the outcome."""

    def config_in_force(self) -> tuple[int, ConfigState]:
        """The version and the state in force."""


class Order(NamedTuple):
    """A call about the configuration, and when it was received."""

    http_call: HttpCall
    reply: Reply
    came: float


class InFlightOrder(NamedTuple):
    """The order that is being committed: its token, its answer, and the resulting state and value."""

    token: int
    order: Order
    body: bytes
    config_state: ConfigState
    value: bytes


class Control:
    """Answers the calls; one order is in flight at a time."""

    def __init__(self, core: ConsensusCore, membership: Callable[[Heartbeat | Deregistration], None]) -> None:
        self.core = core
        self.membership = membership
        self.orders: deque[Order] = deque()
        self.ahead: list[Order] = []  # postponed: their base isn't in force yet
        self.ahead_of = 0  # the version in force when they were postponed
        self.out: InFlightOrder | None = None
        self.out_at = 0.0
        self.token = 0
        self.refused_at = float("-inf")  # last refused proposal: the next one waits for a later `now`
        self.pending_heartbeats: dict[int, Reply] = {}
        self.led: float | None = None  # when a leader was last known, here or elsewhere
        self.completed = 0
        self.refused = 0

    def answer(self, now: float, http_call: HttpCall, reply: Reply) -> None:
        """Handle a call; it may be answered later."""
        path = http_call.path.partition("?")[0]
        if path == CONFIG and http_call.method in ("GET", "PUT", "PATCH"):
            order = Order(http_call, reply, now)
            # a read under the leader lease needs no commit
            if http_call.method == "GET" and self.core.leads(now):
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
        """Handle queued orders in turn: decide them if this process leads, else redirect them to the leader.

        Without a leader for a while they get 503 at once: this process may be cut off.
        """
        leads = self.core.leads(now)
        leader = self.core.leader_control()
        if leads or leader is not None or self.led is None:
            self.led = now
        if self.out is not None and now - self.out_at > PROPOSAL_TIMEOUT_S:
            self.proposed(now, self.out.token, ProposalOutcome.UNKNOWN)
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
                redirect(leader, order.http_call, order.reply)
            elif now - order.came > ORDER_PATIENCE_S or now - self.led > NO_LEADER_TIMEOUT_S:
                self.orders.popleft()
                order.reply(503, b"Retry-After: 0.5\r\n", b"")
            else:
                return

    def requeue_postponed(self, now: float) -> None:
        """Queue postponed orders again once a version was committed, or after `ORDER_PATIENCE_S`."""
        passed = self.core.config_in_force()[0] != self.ahead_of or not self.core.leads(now)
        waiting = self.ahead
        self.ahead = []
        for order in waiting:
            (self.orders if passed or now - order.came > ORDER_PATIENCE_S else self.ahead).append(order)

    def process_order(self, now: float, order: Order) -> None:
        """Answer a read, or decide on a change and propose the result."""
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
        self.out = out
        self.out_at = now
        config_events.order_taken(version + 1, out.config_state.generation)
        self.core.propose(self.token, out.value, version)

    def own_value(self, value: bytes) -> ConfigState | None:
        """The state of a committed value if it is that of the order in flight: it needn't be decoded."""
        return self.out.config_state if self.out is not None and self.out.value == value else None

    def proposed(self, now: float, token: int, outcome: ProposalOutcome) -> None:
        """The outcome of a proposal."""
        if self.out is None or self.out.token != token:
            return
        _, order, body, config_state, _ = self.out
        self.out = None
        if outcome == ProposalOutcome.COMMITTED:
            self.completed += 1
            order.reply(200, JSON, body)
            config_events.order_acknowledged(
                self.core.config_in_force()[0], config_state.generation, now - order.came
            )
        elif outcome == ProposalOutcome.REJECTED and now - order.came <= ORDER_PATIENCE_S:
            self.refused_at = now
            self.orders.appendleft(order)
        else:  # it may be in force or not: a retry finds out
            order.reply(503, b"Retry-After: 0.2\r\n", b"")
        self.proceed(now)

    # Backends.

    def backend(self, name: str, http_call: HttpCall, reply: Reply) -> None:
        """A heartbeat (PUT) or deregistration (DELETE) of a backend.

        A process that is no member of the core can't acknowledge it, and redirects to a member.
        """
        if (member := self.core.member_control()) is not None:
            return redirect(member, http_call, reply)
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

    def heartbeat_answered(self, token: Any, well: bool, target: Address = "") -> None:
        """The membership plane has accepted a call of a backend, or can't acknowledge it.

        `target` is the `control` address for the backend's later heartbeats ("": any).
        """
        reply = self.pending_heartbeats.pop(token, None)
        if reply is None:
            return
        if well:
            reply(200, JSON, json.dumps({"beat-target": target} if target else {}).encode())
        else:
            reply(503, b"", b"")


def redirect(to: Address, http_call: HttpCall, reply: Reply) -> None:
    """Redirect a caller to another process with the same call (307)."""
    reply(307, b"Location: http://%s%s\r\n" % (to.encode(), http_call.path.encode("latin-1")), b"")


def read_heartbeat(token: int, name: str, body: bytes) -> Heartbeat | None:
    """Parse the heartbeat in a call's body; None if it is invalid."""
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
    return beat if fits and 0 <= beat.slow_start_left_s < MAX_COLD_START_S else None
