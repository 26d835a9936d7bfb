"""Runs an experiment's day over loopback, and compares it with the simulation."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import tempfile
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import numpy as np

from gateway.http_status import is_success
from gateway.programs.paths import CONFIG
from simulation.loopback import http_clients
from simulation.loopback.local_cluster import LocalCluster, LocalMachine
from simulation.measurements import measure
from simulation.model.operators import HOST, OperatorPool, first_document, shares
from simulation.model.record import Answered, Order, Read, Record, Sent
from simulation.model.record import Disruption as RecordedDisruption
from simulation.model.simulation_run import play
from simulation.spec import Disruption, Kind, Spec

PROMISES = (429, 503, 408, 421)
FINAL = (400, 401, 404, 413, 431)
START_S = 30.0  # limit for the first configuration to be accepted and all ingresses to be ready
KINDS = (
    "node_kill",
    "core_kill",
    "herd_kill",
    "all_kill",
    "freeze",
    "core_freeze",
    "stop",
    "srv_crash",
    "scale_in",
    "hot_tenant",
    "config_change",
)
"""Disruptions that are possible over loopback."""


def alike(spec: Spec) -> Spec:
    """Return the day as it is possible over loopback.

    All requests of a service take the same work, all backends are equal, and no delay is added to those of
    loopback. The simulation runs the same day.
    """
    works = {s.name: _work(spec, s.name) for s in spec.services}
    kinds = tuple(replace(k, work_s=works[k.service], also="") for k in spec.kinds)
    services = tuple(replace(s, spread=0.0, cold_s=0.0, queue=4) for s in spec.services)
    links = replace(spec.links, within=0.0001, between=0.0001, client=0.0002, loss=0.0)
    return replace(
        spec,
        kinds=kinds,
        services=services,
        links=links,
        disruptions=tuple(t for t in spec.disruptions if t.kind in KINDS),
    )


def _work(spec: Spec, service: str) -> float:
    kinds = [k for k in spec.kinds if k.service == service]
    return sum(k.rate * k.work_s for k in kinds) / max(1e-9, sum(k.rate for k in kinds)) if kinds else 0.05


class DeploymentStub:
    """The part of a deployment that the simulation's operators use, over loopback."""

    def __init__(self, spec: Spec, seed: int) -> None:
        self.spec = spec
        self.works = dict[str, float]()
        self.simulator: Any = type(
            "Generators", (), {"random_generator": staticmethod(lambda: random.Random(seed))}
        )


class Day:
    """A day over loopback."""

    def __init__(self, spec: Spec, seed: int, cluster: LocalCluster) -> None:
        self.spec = spec
        self.cluster = cluster
        self.rng = random.Random(seed)
        self.numbers = np.random.default_rng(seed)
        self.record = Record()
        self.record.bounds = spec.bounds
        self.record.until = spec.day.seconds
        self.began = 0.0
        self.ready: set[str] = set()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.operator_pool = OperatorPool(DeploymentStub(spec, seed))  # type: ignore[arg-type]
        self.controls = [h.address("control") for h in cluster.core]
        self.tenants = shares(spec.tenants.count, spec.tenants.uneven)
        self.count = 0
        self.stopped_machines: set[str] = set()  # machines that aren't restarted at once

    def now(self) -> float:
        """Return the time of the day in seconds."""
        return time.monotonic() - self.began

    def do(self, what: Any) -> None:
        """Run a coroutine concurrently."""
        task = asyncio.ensure_future(what)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def play(self) -> Record:
        """Run the day."""
        spec = self.spec
        for machine in self.cluster.machines:
            machine.start()
        for service in spec.services:
            for _ in range(service.backends):
                self.cluster.launch(service, _work(spec, service.name))
        self.began = time.monotonic()
        document = first_document(self.operator_pool.deployment)
        await asyncio.wait_for(self.order(document), START_S)
        self.operator_pool.generation = 1
        self.operator_pool.newest = document
        self.do(self.look())
        ends = time.monotonic() + START_S
        while len(self.ready) < len(self.cluster.machines) and time.monotonic() < ends:
            await asyncio.sleep(0.1)
        self.began = time.monotonic() - spec.day.warm
        for kind in spec.kinds:
            self.do(self.come(kind, 1.0, None))
        for disruption in spec.disruptions:
            self.do(self.start_disruption(disruption))
        await asyncio.sleep(max(0.0, spec.day.seconds - self.now()))
        await self.read()
        for task in list(self.tasks):
            task.cancel()
        return self.record

    # The platform and the operator.

    async def look(self) -> None:
        """Check the readiness of all ingresses every second, and restart processes that have ended."""
        while True:
            await asyncio.gather(*(self.look_at(machine) for machine in self.cluster.machines))
            await asyncio.sleep(1.0)

    async def look_at(self, machine: LocalMachine) -> None:
        """Restart a machine whose processes have exited, and check its readiness."""
        if machine.ended() and machine.name not in self.stopped_machines:
            machine.start()
        answer = await http_clients.call(machine.address("ready"), "GET", "/-/readiness", {}, b"", 0.9)
        (self.ready.add if answer.status == 200 else self.ready.discard)(machine.name)

    async def order(self, document: dict[str, Any]) -> None:
        """Send a configuration until there is a definite answer."""
        sent = self.now()
        while True:
            body = json.dumps(document).encode()
            answer, by = await http_clients.control(self.controls, "PUT", CONFIG, body, self.rng, 2.0)
            if answer.status in (200, 400, 409, 412, 413, 422):
                break
            await asyncio.sleep(0.3)
        self.record.orders.append(
            Order(
                sent,
                self.now(),
                document["generation"],
                document["base-version"],
                True,
                answer.status,
                by,
                "first",
                document,
            )
        )
        if answer.status == 200:
            self.operator_pool.newest = document

    async def read(self) -> None:
        """Read the configuration."""
        answer, by = await http_clients.control(self.controls, "GET", CONFIG, b"", self.rng, 2.0)
        found = http_clients.generation(answer)
        self.record.reads.append(Read(self.now(), answer.status, found, found > 0, by))

    # Clients.

    async def come(self, kind: Kind, factor: float, tenant: int | None, until: float = 1e9) -> None:
        """Send requests of a kind at random times."""
        rate = kind.rate * self.spec.day.load * factor
        while rate > 0 and self.now() < min(until, self.spec.day.seconds - 1.0):
            await asyncio.sleep(self.numbers.exponential(1 / rate))
            chosen = int(self.numbers.choice(len(self.tenants), p=self.tenants)) if tenant is None else tenant
            self.do(self.request(kind, chosen, self.rng.choice(self.spec.zones)))

    async def request(self, kind: Kind, tenant: int, zone: str) -> None:
        """Send a request, with its attempts."""
        self.count += 1
        number = self.count
        began = self.now()
        path = f"/{kind.name}/{self.count:x}"
        client = self.rng.randrange(self.spec.day.clients)
        tried = set[str]()
        left = kind.repeats
        self.record.wanted.append((began, kind.name, kind.worth, f"tenant-{tenant}"))
        while True:
            machine = self.ingress(zone, client, tried)
            tried.add(machine.name)
            attempt = f"{self.rng.getrandbits(64):016x}"
            ends = began + kind.deadline_s
            key = f"key-{tenant}-{'ab'[number % 2]}"
            self.record.sent.append(
                Sent(
                    self.now(),
                    attempt,
                    number,
                    kind.name,
                    HOST,
                    path,
                    key,
                    f"tenant-{tenant}",
                    zone,
                    machine.name,
                    kind.safe,
                    False,
                )
            )
            headers = {
                "Host": HOST,
                "Attempt-Id": attempt,
                "Authorization": f"Token {key}",
                "Deadline-Ms": str(max(1, int(1000 * (ends - self.now())))),
            }
            answer = await http_clients.call(
                machine.address("front"), "GET", path, headers, b"", ends - self.now()
            )
            after = float(answer.headers.get("retry-after", 0.0))
            self.record.answered[attempt] = Answered(
                self.now(), attempt, answer.status, http_clients.verify_body(answer, attempt), after
            )
            if is_success(answer.status):
                self.record.served.append((began, kind.name, f"tenant-{tenant}", zone, self.now() - began))
                return
            again = kind.safe or answer.status in PROMISES
            if answer.status in FINAL or left <= 0 or not again or self.now() > ends - 0.05:
                return
            left -= 1
            await asyncio.sleep(min(after, (ends - self.now()) / 3) if after else 0.02)

    def ingress(self, zone: str, client: int, but: set[str]) -> LocalMachine:
        """Select the ingress for a client."""
        near = [h for h in self.cluster.machines if h.zone == zone]
        known = [h for h in near if h.name in self.ready]
        group = (
            (known if 2 * len(known) >= len(near) else near)
            if known
            else [h for h in self.cluster.machines if h.name in self.ready] or self.cluster.machines
        )
        others = [h for h in group if h.name not in but] or group
        return others[client % len(others)]

    # Disruptions.

    async def start_disruption(self, t: Disruption) -> None:
        """Execute a disruption at its time."""
        await asyncio.sleep(max(0.0, t.at - self.now()))
        machines = self.cluster.machines
        one = machines[t.which % len(machines)]
        core = self.cluster.core[t.which % len(self.cluster.core)]
        actions_by_kind: dict[str, Callable[[], Any]] = {
            "node_kill": lambda: self.kill([one], t),
            "core_kill": lambda: self.kill([core], t),
            "all_kill": lambda: self.kill(machines, t),
            "herd_kill": lambda: self.kill(
                [*machines, *machines][t.which % len(machines) :][
                    : max(1, round(min(1.0, t.much) * len(machines)))
                ],
                t,
            ),
            "freeze": lambda: self.freeze(one, t),
            "core_freeze": lambda: self.freeze(core, t),
            "stop": lambda: self.end(one, t),
            "srv_crash": lambda: self.crash(t),
            "scale_in": lambda: self.scale_in(t),
            "hot_tenant": lambda: self.press(t),
            "config_change": lambda: self.change(),
        }
        await actions_by_kind[t.kind]()

    def record_disruption(
        self, t: Disruption, machines: list[LocalMachine], lasts: float, planned: bool = False
    ) -> None:
        """Record a disruption and the affected machines."""
        names = tuple(h.name for h in machines)
        self.record.disruptions.append(
            RecordedDisruption(
                self.now(),
                self.now() + lasts,
                t.kind,
                names,
                any(len(h.roles) == 2 for h in machines),
                t.kind,
                planned,
            )
        )

    async def kill(self, machines: list[LocalMachine], t: Disruption) -> None:
        """Kill machines, and start them again."""
        for machine in machines:
            self.stopped_machines.add(machine.name)
            machine.signal(signal.SIGKILL)
        self.record_disruption(t, machines, 1.0)
        await asyncio.sleep(0.8)
        for machine in machines:
            self.stopped_machines.discard(machine.name)
            machine.start()

    async def freeze(self, machine: LocalMachine, t: Disruption) -> None:
        """Suspend a machine's processes for a while."""
        machine.signal(signal.SIGSTOP)
        self.record_disruption(t, [machine], t.lasts)
        await asyncio.sleep(t.lasts)
        machine.signal(signal.SIGCONT)

    async def end(self, machine: LocalMachine, t: Disruption) -> None:
        """Shut a machine down, and start it again."""
        self.stopped_machines.add(machine.name)
        machine.signal(signal.SIGTERM)
        self.record_disruption(t, [machine], self.spec.bounds.grace_s + 0.5, planned=True)
        await asyncio.sleep(self.spec.bounds.grace_s)
        machine.signal(signal.SIGKILL)
        await asyncio.sleep(0.5)
        self.stopped_machines.discard(machine.name)
        machine.start()

    async def crash(self, t: Disruption) -> None:
        """Kill a backend; another one starts after a while."""
        alive = [(n, s, p) for n, s, p in self.cluster.backends if p.poll() is None]
        _, service, process = alive[t.which % len(alive)]
        process.kill()
        await asyncio.sleep(self.spec.bounds.addr_reuse_s)
        self.cluster.launch(service, _work(self.spec, service.name))

    async def scale_in(self, t: Disruption) -> None:
        """Stop a quarter of a service's backends."""
        service = self.spec.services[t.which % len(self.spec.services)]
        alive = [p for _, s, p in self.cluster.backends if p.poll() is None and s.name == service.name]
        for process in alive[: max(1, len(alive) // 4)]:
            process.terminate()
            await asyncio.sleep(0.3)

    async def press(self, t: Disruption) -> None:
        """Raise one tenant's load for a while."""
        tenant = t.which % len(self.tenants)
        self.record_disruption(t, [], t.lasts)
        factor = (1.0 + 6.0 * t.much) * self.tenants[tenant]
        for kind in self.spec.kinds:
            self.do(self.come(kind, factor, tenant, self.now() + t.lasts))

    async def change(self) -> None:
        """Make one configuration change."""
        document = self.operator_pool.next(self.operator_pool.newest)
        self.operator_pool._add(document["resource-list"])
        await self.order(document)


def compare(spec: Spec, seed: int, port: int, recordings: Path | None = None) -> tuple[dict[str, float], ...]:
    """Run the same day over loopback and in the simulation, and return the figures of both."""
    day = alike(spec)
    with tempfile.TemporaryDirectory() as folder:
        cluster = LocalCluster(day, Path(folder), port, recordings)
        try:
            real = asyncio.run(Day(day, seed, cluster).play())
        finally:
            cluster.stop()
    real.figures = {
        "day_s": day.day.seconds,
        "times_real": 1.0,
        "node_seconds_a_second": 0.0,
        "disk_saves": 0,
        "bytes_between_zones": 0,
        "messages": {},
        "bytes": {},
    }
    return measure(real, day), measure(play(day, seed), day)
