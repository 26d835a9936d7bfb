"""Operators that retry configuration changes, and a simulated cluster of controllers that accepts them.

Requests and responses are lost or delayed. Every response is checked when it is sent, even if it is lost.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from typing import Any

from gateway.config.changes import ConfigState
from gateway.consensus import events, outputs
from gateway.programs.control_api import ControlApi
from gateway.programs.paths import CONFIG
from gateway.runtime.http_call import HttpCall
from tests.gateway.consensus.consensus_cluster import (
    ConsensusCluster,
    FaultInjector,
    InvariantViolation,
    Node,
)

CALL_TIMEOUT_S = 1.0  # after which a caller sends its call again
MAX_PENDING_CALLS = 8
LABELS = 4  # approximate number of services in a configuration

Labels = tuple[str, ...]


class Order:
    """A configuration change, which several operators may send, and its outcome."""

    def __init__(self, method: str, raw: dict[str, Any], valid: bool) -> None:
        self.method, self.valid, self.body = method, valid, json.dumps(raw).encode()
        self.generation, self.base = raw["generation"], raw["base-version"]
        self.upsert: Labels = tuple(
            e["metadata"]["label"]
            for e in (raw["resource-list"] if method == "PUT" else raw["upsert"]["resource-list"])
        )
        self.version = 0  # version in which it was accepted; 0 if it wasn't
        self.refused = self.acknowledged = False

    def makes(self, base: Labels) -> Labels:
        """Return the services after the change."""
        return self.upsert if self.method == "PUT" else base + self.upsert


class SimulatedController:
    """The control API of a controller; the simulated cluster replaces consensus."""

    def __init__(self, core: ControllerCluster, node: Node) -> None:
        self.core, self.node, self.version, self.config_state = core, node, 0, ConfigState()
        self.control = ControlApi(self, lambda call: None)

    def leads(self, now: float) -> bool:
        return self.node.machine.has_leader_lease(now)

    def leader_control(self) -> str | None:
        leader = self.node.machine.leader
        return None if leader == self.node.address else leader

    def member_control(self) -> str | None:
        return None

    def propose(self, token: int, value: bytes, expected: int) -> None:
        self.core.deliver(self.node, events.Propose(token, value, expected))

    def config_in_force(self) -> tuple[int, ConfigState]:
        return self.version, self.config_state


class ControllerCluster(ConsensusCluster):
    """A cluster of controllers and its callers. `under_way` are the calls without a definite answer."""

    def __init__(
        self, count: int, seed: int, controller: type[SimulatedController] = SimulatedController
    ) -> None:
        self.controller, self.controllers, self.giving = controller, {}, None
        self.orders: list[Order] = []
        self.taken: list[tuple[Order | None, Labels]] = [(None, ())]  # indexed by version
        self.under_way: list[OperatorCall] = []
        self.newest: Order | None = None  # the newest acknowledged change
        self.chance = random.Random(f"callers {seed}")
        self.unheard, self.late = self.chance.choice([0.0, 0.1, 0.4]), self.chance.choice([0.0, 0.1])
        self.busy = True
        super().__init__(count, seed, (count - 1) // 2)
        self.at(0.3, self._go_on)

    # The cluster.

    def start(self, address: str, fresh: bool = False) -> None:
        self.controllers[address] = self.controller(self, self.nodes[address])
        super().start(address, fresh)

    def deliver(self, node: Node, event: Any) -> None:
        outer, self.giving = self.giving, node
        super().deliver(node, event)
        self.giving = outer
        if isinstance(event, events.Tick) and self.now >= node.frozen_until:
            self.controllers[node.address].control.proceed(self.now)

    def propose(self, node: Node, expected: int) -> int:
        """Start an operator's call, to any controller."""
        self.begin()
        return len(self.orders) - 1

    def _proposed(self, output: outputs.Proposed) -> None:
        controller = self.controllers[self.giving.address]
        if output.outcome == "committed":
            self.acknowledged[controller.version] = self.committed[controller.version]
        controller.control.on_proposal_outcome(self.now, output.token, output.outcome)

    def _committed(self, node: Node, output: outputs.Committed) -> None:
        super()._committed(node, output)
        controller = self.controllers[node.address]
        controller.config_state = controller.control.own_value(output.value) or ConfigState.decode(
            output.value, controller.config_state
        )
        controller.version = output.version
        if output.version == len(self.taken):
            self._take(controller.config_state)
        elif output.version > len(self.taken):
            raise InvariantViolation(f"version {output.version} came before {len(self.taken)}")

    def _take(self, config_state: ConfigState) -> None:
        """Record a new version. It must be the result of a change that may be accepted."""
        former, labels = self.taken[-1]
        told, found = config_state.generation, tuple(config_state.document.services)
        base = former.generation if former else 0
        for order in self.orders:
            if (order.generation, order.base) == (told, base) and order.makes(labels) == found:
                break
        else:
            raise InvariantViolation(f"generation {told} on top of {base} was never sent")
        if order.version or order.refused or not order.valid:
            raise InvariantViolation(f"generation {told} is taken: {vars(order)}")
        order.version = len(self.taken)
        self.taken.append((order, found))

    # The callers.

    def begin(self) -> None:
        """Send a new change, or repeat an earlier one, possibly as another operator."""
        known, chance = self.newest, self.chance
        if len(self.under_way) >= MAX_PENDING_CALLS:
            return
        again = chance.random()
        if again > 0.95:
            return Read(self).send()
        if self.orders and again < 0.3:
            waits = [call.order for call in self.under_way]
            self.send(chance.choice(waits if waits and again < 0.15 else self.orders))
            return
        if self.under_way and again < 0.4:
            known = chance.choice(self.under_way).order  # as base, though not definite
        base, labels = (known.generation, known.makes(())) if known else (0, ())
        number = len(self.orders)
        raw: dict[str, Any] = {"generation": base + chance.randrange(1, 4), "base-version": base}
        valid = chance.random() < 0.9
        if not valid and chance.random() < 0.5:
            raw["generation"] = base
        services = [
            service(label, valid or raw["generation"] == base) for label in (*labels[-LABELS:], f"s{number}")
        ]
        method = chance.choice(["PUT", "PATCH"])
        raw |= (
            {"resource-list": services} if method == "PUT" else {"upsert": {"resource-list": services[-1:]}}
        )
        self.orders.append(Order(method, raw, valid))
        self.send(self.orders[-1])

    def send(self, order: Order) -> None:
        """Start another call with a change."""
        self.under_way.append(OperatorCall(self, order))
        self.under_way[-1].send()

    def _go_on(self) -> None:
        if self.busy:
            self.begin()
            self.at(self.chance.choice([0.01, 0.1, 0.5]) * self.chance.random(), self._go_on)

    def ask(
        self,
        address: str,
        http_call: HttpCall,
        told: Callable[[int, bytes, bytes], None],
        check: Callable[[int, bytes], None],
    ) -> None:
        """Make an HTTP call. `told` receives the response unless it is lost."""
        delay = self.chance.uniform(*((0.5, 4.0) if self.chance.random() < self.late else self.delay_s))

        def come() -> None:
            node = self.nodes.get(address)
            if node is not None and node.machine is not None:
                arrive(node, node.incarnation)

        def arrive(node: Node, incarnation: int) -> None:
            if self.now < node.frozen_until:
                self.at(
                    node.frozen_until - self.now,
                    lambda: node.incarnation == incarnation and arrive(node, incarnation),
                )
                return

            def reply(status: int, lines: bytes, body: bytes) -> None:
                if node.incarnation == incarnation:
                    check(status, body)
                    if self.chance.random() >= self.unheard:
                        self.at(self.chance.uniform(*self.delay_s), lambda: told(status, lines, body))

            self.controllers[node.address].control.answer(self.now, http_call, reply)

        if self.chance.random() >= self.unheard:
            self.at(delay, come)

    def check(self, order: Order, status: int, body: bytes) -> None:
        """Check a response to a change when it is sent."""
        about = f"answered {status} {body.decode()}: {vars(order)}"
        if status == 200:
            if not order.version:
                raise InvariantViolation(f"not taken, {about}")
            if not order.acknowledged:
                self.outcomes[self.orders.index(order)] = "done"
            order.acknowledged = True
            if self.newest is None or order.version > self.newest.version:
                self.newest = order
        elif 400 <= status < 500:
            if order.version:
                raise InvariantViolation(f"taken, {about}")
            # A 412 is not final if the base is still to come.
            order.refused |= status != 412 or json.loads(body)["generation"] >= order.base
        elif status not in (307, 503):
            raise InvariantViolation(f"odd, {about}")


def service(label: str, valid: bool = True) -> dict[str, Any]:
    spec = {} if valid else {"max-conns": -1}
    return {"entry-kind": "services", "metadata": {"label": label}, "spec": spec}


def located(lines: bytes) -> str:
    """Return the address to which a 307 redirects."""
    return lines.decode().partition("http://")[2].partition("/")[0]


class OperatorCall:
    """An operator's call, which repeats a change until it has a definite answer."""

    def __init__(self, core: ControllerCluster, order: Order) -> None:
        self.core, self.order, self.sent, self.hops, self.pause = core, order, 0, 0, 0.1
        self.status = 0

    def send(self, address: str = "") -> None:
        """Send the change, to a random controller if no address is given."""
        core, order = self.core, self.order
        self.sent, self.hops = self.sent + 1, self.hops + 1 if address else 0
        turn = self.sent
        core.ask(
            address or core.chance.choice(list(core.nodes)),
            HttpCall(order.method, CONFIG, order.body),
            lambda status, lines, body: self.told(turn, status, lines),
            lambda status, body: core.check(order, status, body),
        )
        core.at(CALL_TIMEOUT_S, lambda: self.told(turn, 0, b""))

    def told(self, turn: int, status: int, lines: bytes) -> None:
        """Handle an answer or a time-out (status 0)."""
        if turn != self.sent or self.status:
            return
        if status == 307 and self.hops < 2:
            self.send(located(lines))
        elif status in (200, 400, 412):
            self.status = status
            self.core.under_way.remove(self)
        else:
            self.sent += 1
            self.core.at(self.pause * self.core.chance.uniform(0.8, 1.2), self.send)
            self.pause = min(1.5, 1.5 * self.pause)


class Read:
    """A read, repeated until it succeeds. It must not be older than the newest acknowledged change."""

    def __init__(self, core: ControllerCluster) -> None:
        self.core, self.least, self.found = core, core.newest, 0

    def send(self) -> None:
        """Ask a random controller, and follow its redirect."""
        self.ask(self.core.chance.choice(list(self.core.nodes)))
        self.core.at(CALL_TIMEOUT_S, lambda: self.found or self.send())

    def ask(self, address: str) -> None:
        def told(status: int, lines: bytes, body: bytes) -> None:
            if status == 307 and not self.found:
                self.ask(located(lines))

        self.core.ask(address, HttpCall("GET", CONFIG, b""), told, self.check)

    def check(self, status: int, body: bytes) -> None:
        """Check a response when it is sent."""
        if status == 200:
            raw = json.loads(body)
            self.found = raw["generation"]
            labels = tuple(e["metadata"]["label"] for e in raw["resource-list"])
            of = [(o, own_value) for o, own_value in self.core.taken if o and o.generation == self.found]
            if not of or of[0][1] != labels or self.least and of[0][0].version < self.least.version:
                raise InvariantViolation(
                    f"read {raw}, acknowledged was {vars(self.least) if self.least else None}"
                )
        elif status == 404 and self.least:
            raise InvariantViolation("nothing is read")


def explore(
    count: int, seed: int, controller: type[SimulatedController] = SimulatedController, clear_s: float = 25.0
) -> ControllerCluster:
    """Make changes during random faults, then end the faults and check the answers.

    All changes must get a definite answer in time, and acknowledged changes must be acknowledged again. With
    `clear_s` 0 the run ends with the faults.
    """
    core = ControllerCluster(count, seed, controller)
    fault_injector = FaultInjector(core, random.Random(f"trouble {seed}"))
    core.run(core.chance.uniform(0.3, 3.0))
    reads = [Read(core)]
    for _ in range(3):
        reads[-1].send()
        fault_injector.inject_random_faults()
        reads.append(Read(core))
    fault_injector.end_faults()
    core.unheard = core.late = 0.0
    core.busy = False
    if not clear_s:
        return core
    if not core.run(clear_s, lambda: not core.under_way):
        raise InvariantViolation(f"no clear answer: {[vars(call.order) for call in core.under_way]}")
    for order in [o for o in core.orders if o.acknowledged]:
        core.send(order)
    reads.append(Read(core))
    reads[-1].send()
    if not core.run(clear_s, lambda: not core.under_way and bool(reads[-1].found)):
        raise InvariantViolation(f"acknowledged, and then: {[vars(call.order) for call in core.under_way]}")
    return core
