"""Simulated machines: their place, their processes, and how these end."""

from __future__ import annotations

import random
from typing import Protocol

from gateway.runtime.settings import Settings
from gateway.state_machine import Address
from simulation.model.disk import Disk
from simulation.model.network import Location, Network
from simulation.model.processes import ControllerProcess, ProcessEnvironment, Program, ProxyProcess
from simulation.model.simulator import Simulator
from simulation.spec import Spec

CONTROL = 8407  # port of `control`
RESTART_S = 0.8  # time until the platform restarts a process that has ended
START_S = 0.25  # time from the start of a process until its first action


class MachineEnvironment(ProcessEnvironment, Protocol):
    """The part of the deployment that a machine uses."""

    ports: dict[Address, Location]
    at_port: dict[Address, Program]

    @property
    def simulator(self) -> Simulator:
        """The simulated time."""

    @property
    def spec(self) -> Spec:
        """The experiment."""

    def settings(self, machine: Machine, role: str) -> Settings:
        """Return the settings of a process."""

    def listed(self) -> tuple[Address, ...]:
        """Return the `control` addresses in the callers' list."""

    def started(self, process: Program) -> None:
        """Register a new process."""

    def account(self, process: Program) -> None:
        """Remove a process that has ended."""


class Machine:
    """A machine with its place, its address, its processes, and a disk if it belongs to the core."""

    def __init__(
        self,
        deployment: MachineEnvironment,
        name: str,
        ip: str,
        zone: str,
        roles: tuple[str, ...],
        fresh: bool,
    ) -> None:
        self.deployment = deployment
        self.name = name
        self.ip = ip
        self.roles = roles
        self.fresh = fresh
        self.simulator: Simulator = deployment.simulator
        self.network: Network = deployment.network
        self.place: Location = Location(name, zone)
        self.cost: float = deployment.spec.cost_s
        self.speed: float = 1.0
        self.disk: Disk = Disk(deployment.spec.disk_s)
        self.processes: dict[str, Program] = {}
        self.power = True
        self.removed = False
        self.starts = 0

    @property
    def core(self) -> bool:
        """Whether the machine belongs to the core."""
        return "controller" in self.roles

    @property
    def control(self) -> Address:
        """The address of `control`, if the machine serves it."""
        return f"{self.ip}:{CONTROL}"

    def start(self) -> None:
        """Start all processes that don't run."""
        if not self.power or self.removed:
            return
        for role in self.roles:
            if role not in self.processes:
                self._start(role)
        self.fresh = False

    def _start(self, role: str) -> None:
        deployment = self.deployment
        rng = random.Random(self.simulator.random_generator().random())
        settings = deployment.settings(self, role)
        kind = ControllerProcess if role == "controller" else ProxyProcess
        process = self.processes[role] = kind(self, settings, rng)
        self.starts += 1
        deployment.at_port[process.me] = process
        deployment.ports[process.me] = self.place
        deployment.started(process)
        process.begin()

    def reseed(self) -> None:
        """Write the current seeds to the settings of all processes."""
        for process in self.processes.values():
            ports = tuple(process.settings.controller_at(a) for a in self.deployment.listed()[:3])
            process.enter(process.seeds, ports)

    def end(self, process: Program, power: bool = False) -> None:
        """End a process, after it has exited or by killing it."""
        if process.ended:
            return
        process.end(power)
        self.processes.pop(process.kind, None)
        deployment = self.deployment
        deployment.record.faults += [f"{process.name}: {fault}" for fault in process.faults]
        if deployment.at_port.get(process.me) is process:
            del deployment.at_port[process.me]
        deployment.account(process)

    def kill(self, power: bool = False, wipe: bool = False) -> None:
        """Kill all processes. Without power, the machine doesn't answer any more."""
        if power:
            self.power = False
        if wipe:
            self.disk.wipe()
        for process in list(self.processes.values()):
            self.end(process, power)
        if power:
            self.disk.lose_power(self.deployment.rng)

    def back(self, after: float = RESTART_S) -> None:
        """Start the processes again after some seconds."""

        def start() -> None:
            self.power = True
            self.start()

        self.simulator.after(after + START_S, start)

    def stop(self) -> None:
        """Send SIGTERM to all processes, and kill the remaining ones after the grace period."""
        grace = self.deployment.spec.bounds.grace_s
        for process in list(self.processes.values()):
            process.stop(grace)
        stopped = list(self.processes.values())

        def kill() -> None:
            for process in stopped:
                self.end(process)

        self.simulator.after(grace, kill)
