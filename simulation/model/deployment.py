"""Machines and their processes, the platform that routes clients to ingresses, and calls to `control`."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from gateway.runtime import settings as files
from gateway.runtime.http_call import HttpCall
from gateway.runtime.settings import Settings
from gateway.state_machine import Address
from simulation import spec as specs
from simulation.model.backends import Backend
from simulation.model.machines import Machine
from simulation.model.network import LinkProfile, Location, Network
from simulation.model.processes import ControllerProcess, Program, ProxyProcess
from simulation.model.record import Record
from simulation.model.simulator import Simulator
from simulation.recording import Recording

FRONT = 8405
READY = 8406
FIRST = 7660
LAST = 7675
MAX_MISSES = 2  # an ingress with this many failed readiness checks gets no new connections

Answer = Callable[[int, str, bytes], Any]


class Deployment:
    """All machines, backends and links of a run."""

    def __init__(self, simulator: Simulator, spec: specs.Spec, record: Record) -> None:
        self.simulator = simulator
        self.spec = spec
        self.record = record
        links = spec.links
        self.network = Network(
            simulator,
            LinkProfile(
                links.within, links.between, links.client, 0.1, links.loss, links.twice, links.mbps * 125_000
            ),
        )
        self.rng = simulator.random_generator()
        self.machines: dict[str, Machine] = {}
        self.ports: dict[Address, Location] = {}
        self.at_port: dict[Address, Program] = {}
        self.by_ip: dict[str, Machine] = {}
        self.listeners: dict[Address, Backend] = {}
        self.backends: list[Backend] = []
        self.works: dict[str, float] = {}  # seconds of work, by the first segment of a path
        self.seeds: tuple[Address, ...] = ()
        self.controls: list[Address] = []  # the operator's current list
        self.control_lists: list[tuple[float, tuple[Address, ...]]] = []  # its versions, by time
        self.turned = 0
        self.misses: dict[str, int] = {}
        self.isready: dict[str, bool] = {}
        self.processor = 0.0
        self.recordings: list[tuple[str, Recording]] | None = None  # of all processes, if requested
        self.process_hooks: list[Callable[[Program], None]] = []
        self.modes: dict[str, tuple[str, float]] = {}  # fault of a service's answers, and its probability
        for zone, number in zip(spec.zones, range(1, 99), strict=False):
            for place in range(spec.proxies[number - 1]):
                self._machine(zone, number, place, place < spec.controllers[number - 1])
        core = sorted(
            (m for m in self.machines.values() if m.core),
            key=lambda m: (m.name.rpartition("-")[2], m.place.zone),
        )
        self.seeds = tuple(m.control for m in core[:3])
        self.list_controls()

    def _machine(self, zone: str, number: int, place: int, core: bool) -> Machine:
        name = f"{zone}-{place + 1}"
        roles = ("controller", "proxy") if core else ("proxy",)
        ip = f"10.{number}.{place // 200}.{place % 200 + 3}"
        machine = Machine(self, name, ip, zone, roles, True)
        self.machines[name] = self.by_ip[machine.ip] = machine
        return machine

    def add(self, zone: str, roles: tuple[str, ...]) -> Machine:
        """Add a machine with an empty disk and a new address."""
        number = self.spec.zones.index(zone) + 1
        n = sum(m.place.zone == zone for m in self.machines.values())
        ip = f"10.{number}.{100 + n // 200}.{n % 200 + 3}"
        machine = Machine(self, f"{zone}-new{n}", ip, zone, roles, False)
        self.machines[machine.name] = self.by_ip[machine.ip] = machine
        return machine

    def start(self) -> None:
        """Start the whole system for the first time."""
        for machine in self.machines.values():
            self.simulator.after(self.rng.uniform(0.0, 0.3), machine.start)
        self.simulator.after(1.0, self.look)

    def list_controls(self) -> None:
        """Update the operator's list of `control` addresses."""
        self.controls = [m.control for m in self.machines.values() if m.core and not m.removed]
        if self.controls:
            turned = self.turned % len(self.controls)
            self.controls = self.controls[turned:] + self.controls[:turned]
        self.control_lists.append((self.simulator.now, tuple(self.controls)))
        self.control_lists = self.control_lists[-20:]
        if len(self.control_lists) > 1:
            for machine in self.machines.values():
                self.simulator.after(
                    self.rng.uniform(0.0, 2 * self.spec.bounds.seed_staleness_s), machine.reseed
                )

    def turn_seeds(self) -> None:
        """Rotate the list, from whose start the seeds are taken."""
        self.turned += 3
        self.list_controls()

    def listed(self) -> tuple[Address, ...]:
        """Return the list that callers use."""
        until = self.simulator.now - self.spec.bounds.seed_staleness_s
        known = [controls for at, controls in self.control_lists if at <= until]
        return known[-1] if known else self.control_lists[0][1]

    def settings(self, machine: Machine, role: str) -> Settings:
        """Return the settings of a process."""
        spec = self.spec
        listen = (
            {"control": machine.control}
            if role == "controller"
            else {"front": f"{machine.ip}:{FRONT}", "ready": f"{machine.ip}:{READY}"}
        )
        seeds = self.seeds if machine.fresh else tuple(self.listed()[:3])
        bounds = {name.replace("_", "-"): value for name, value in vars(spec.bounds).items()}
        document = {
            "self": {
                "node": machine.name,
                "role": role,
                "ip": machine.ip,
                "zone": machine.place.zone,
                "fresh-start": machine.fresh,
                "data-dir": "/data" if role == "controller" else "",
                "limits": {"max-fds": 4100, "memory-mb": 300},
            },
            "network": {
                "listen": listen,
                "port-range": [FIRST, LAST],
                "seeds": list(seeds),
                "zones": {zone: "region" for zone in spec.zones},
            },
            "provider": {"beat-s": spec.beat_s},
            "terms": {"fault-budget": {"machines": spec.tolerance}, "bounds": bounds},
        }
        return files.read_document(document).unwrap()

    def started(self, process: Program) -> None:
        """Register a new process, and inject the chosen bug."""
        process.tick_s *= self.spec.tick_factor
        for spoil in self.process_hooks:
            spoil(process)

    def account(self, process: Program) -> None:
        """Remove a process that has ended, and record its usage."""
        self.processor += process.used

    def vacant(self, ip: str) -> bool:
        """Whether no machine answers at an address, not even with a reset."""
        return ip not in self.by_ip

    # The platform.

    def look(self) -> None:
        """Check the readiness of all ingresses every second."""
        self.simulator.after(1.0, self.look)
        for machine in self.machines.values():
            process = machine.processes.get("proxy")
            well = (
                isinstance(process, ProxyProcess)
                and not process.frozen
                and process.ready()
                and self.network.reaches(machine.place, CLIENTS)
            )
            self.misses[machine.name] = 0 if well else self.misses.get(machine.name, 0) + 1
            ready = well or (self.isready.get(machine.name, False) and self.misses[machine.name] < MAX_MISSES)
            if ready != self.isready.get(machine.name, False):
                self.isready[machine.name] = ready
                self.record.ready.append((self.simulator.now, machine.name, ready))

    def ingress(self, zone: str, hashed: int, but: set[str]) -> Machine | None:
        """Select an ingress for a client of a zone. Retries go to another ingress if there is one."""
        for group in self._groups(zone):
            others = [m for m in group if m.name not in but] or group
            if others:
                return others[hashed % len(others)]
        return None

    def _groups(self, zone: str) -> list[list[Machine]]:
        """Return the zone's ingresses in service, or all if these are less than half, then the others."""
        found = []
        zones = [zone, *(z for z in self.spec.zones if z != zone)]
        for each in zones:
            all_of = [
                m
                for m in self.machines.values()
                if m.place.zone == each and not m.removed and "proxy" in m.roles
            ]
            known = [m for m in all_of if self.isready.get(m.name)]
            if known:
                found.append(known if 2 * len(known) >= len(all_of) else all_of)
        return found

    # Calls to `control`.

    def some_control(self, place: Location, rng: random.Random) -> Address | None:
        """Return one of the `control` addresses in the callers' list."""
        known = self.listed()
        return rng.choice(known) if known else None

    def call(
        self,
        place: Location,
        address: Address | None,
        method: str,
        path: str,
        body: bytes,
        wait_s: float,
        done: Answer,
        hops: int = 2,
    ) -> None:
        """Call `control` at an address.

        `done(status, machine, body)` gets status 0 after a timeout or a broken call. A 307 is followed twice.
        """
        simulator = self.simulator
        network = self.network
        machine = self.by_ip.get((address or "").partition(":")[0])
        state = [False]

        def over(status: int, by: str, answer: bytes) -> None:
            if not state[0]:
                state[0] = True
                done(status, by, answer)

        simulator.after(wait_s, over, 0, "", b"")
        if machine is None or not network.reaches(place, machine.place):
            return
        target: Machine = machine

        def answered(status: int, lines: bytes, answer: bytes) -> None:
            if network.reaches(target.place, place):
                simulator.after(network.delay(target.place, place), back, status, lines, answer)

        def back(status: int, lines: bytes, answer: bytes) -> None:
            if state[0]:
                return
            if status == 307 and hops:
                state[0] = True
                where = lines.partition(b"http://")[2].partition(b"/")[0].decode()
                self.call(place, where, method, path, body, wait_s, done, hops - 1)
            else:
                over(status, target.name, answer)

        def arrive() -> None:
            process = target.processes.get("controller")
            if isinstance(process, ControllerProcess):
                process.enter(process.answer, HttpCall(method, path, body), answered)
            elif target.power:  # refused, as nothing listens there
                simulator.after(network.delay(target.place, place), over, 0, target.name, b"")

        simulator.after(3 * network.delay(place, machine.place), arrive)

    # Backends.

    def launch(self, service: specs.Service, zone: str, cold_s: float = 0.0, address: str = "") -> Backend:
        """Start a new backend."""
        n = len(self.backends)
        number = self.spec.zones.index(zone) + 1
        name = f"i-{self.rng.getrandbits(32):08x}"
        place = Location(name, zone)
        pace = max(0.3, self.rng.gauss(1.0, service.spread))
        backend = Backend(
            self, service, name, address or f"10.{100 + number}.{n // 250}.{n % 250 + 1}:8080", place, pace
        )
        self.backends.append(backend)
        backend.start(cold_s)
        return backend

    def alive(self, service: str = "") -> list[Backend]:
        """Return the backends that run and don't drain."""
        return [
            b
            for b in self.backends
            if not b.ended and not b.draining and (not service or b.service.name == service)
        ]

    def work_s(self, path: str, rng: random.Random) -> float:
        """Return the work of a request in seconds, at a backend of normal speed."""
        usual = self.works.get(path.split("/", 2)[1], 0.05)
        return usual * rng.lognormvariate(-0.03, 0.25)

    def spoil(self, backend: Backend, data: bytes) -> list[tuple[float, bytes | None]]:
        """Return the parts in which an answer is sent: delay, and bytes or None for a broken connection."""
        mode, often = self.modes.get(backend.service.name, ("", 0.0))
        if not mode or self.rng.random() >= often:
            return [(0.0, data)]
        if mode == "lost":
            return [(0.0, None)]
        if mode == "double":
            return [(0.0, data + data)]
        if mode == "late":  # a duplicate arrives in place of the next answer
            return [(0.0, data), (self.rng.uniform(0.0, 0.3), data)]
        cut = self.rng.randrange(1, len(data))
        if mode == "short":
            return [(0.0, data[:cut]), (0.01, None)]
        return [(0.0, b"\x00" + data[cut:] if self.rng.random() < 0.5 else data + b"garble" + data[cut:])]


CLIENTS = Location("clients", "clients")
"""The place of the platform in the network."""
