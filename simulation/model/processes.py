"""The two programs as simulated processes: their own code, on simulated networks and disks."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from gateway.consensus import events as consensus_events
from gateway.consensus.entry import PersistentState
from gateway.membership import events as membership_events
from gateway.programs import proxy_node as proxy_node_module
from gateway.programs.controller_node import ControllerNode
from gateway.programs.proxy import BACKEND_IDLE_S, BODY_MEMORY_DIVISOR, RESERVED_DESCRIPTORS, SILENT_S
from gateway.programs.proxy_node import ProxyNode
from gateway.programs.startup import CONSENSUS, MEMBERSHIP, QUOTA
from gateway.runtime.http_call import HttpCall
from gateway.runtime.settings import Settings
from gateway.state_machine import Address
from ingress.net.connection_interfaces import Limits
from simulation.model.disk import Disk
from simulation.model.network import Location, Network
from simulation.model.proxy_sockets import ConnectionEnvironment, SimulatedServer, Upstream
from simulation.model.record import Record
from simulation.model.simulator import Process, Simulator
from simulation.planes import PLANE_NAMES
from simulation.recording import Recording, RecordingHeader

CONTROLLER_TICK_S = 0.025
PROXY_TICK_S = 0.05
TICK = membership_events.Tick()


class ProcessEnvironment(ConnectionEnvironment, Protocol):
    """The part of the deployment that a process uses."""

    @property
    def rng(self) -> random.Random:
        """The random numbers of the deployment."""

    @property
    def record(self) -> Record:
        """The record of the run."""

    @property
    def recordings(self) -> list[tuple[str, Recording]] | None:
        """The recordings of all processes by name, if requested."""

    @property
    def ports(self) -> Mapping[Address, Location]:
        """The places of all ports, including those of ended processes."""

    @property
    def at_port(self) -> Mapping[Address, Program]:
        """The running processes by their ports."""


class ProcessHost(Protocol):
    """The part of a machine that a process uses."""

    name: str
    place: Location
    cost: float
    speed: float

    @property
    def deployment(self) -> ProcessEnvironment:
        """The deployment around the machine."""

    @property
    def simulator(self) -> Simulator:
        """The simulated time."""

    @property
    def network(self) -> Network:
        """All links."""

    @property
    def disk(self) -> Disk:
        """The machine's disk."""

    def end(self, process: Program) -> None:
        """Handle the exit of a process."""


class Program(Process):
    """The common base of both programs: place, messages, ticks and signals."""

    kind = ""

    def __init__(self, machine: ProcessHost, settings: Settings, rng: random.Random) -> None:
        simulator = machine.simulator
        super().__init__(
            simulator,
            f"{self.kind} {machine.name}",
            machine.cost,
            rng.uniform(1e3, 1e5),
            rng.uniform(-2e-5, 2e-5),
        )
        self.machine: ProcessHost = machine
        self.settings = settings
        self.rng = rng
        self.place: Location = machine.place
        self.me: Address = settings.own_address(self.kind)
        self.speed = machine.speed
        self.message_handlers: dict[int, Callable[[Address, Any], None]] = {}
        self.leaving = False
        self.tick_s = CONTROLLER_TICK_S if self.kind == "controller" else PROXY_TICK_S

    def attach_recording(self, role: str, stored: PersistentState | None) -> None:
        """Start a recording, if requested."""
        self.recording: Recording | None = None
        recordings = self.machine.deployment.recordings
        if recordings is not None:
            self.recording = Recording(
                RecordingHeader(role, self.settings, stored, self.rng.getstate(), self.time())
            )
            recordings.append((self.name, self.recording))

    def begin(self) -> None:
        """Start the ticks."""
        self.simulator.after(self.machine.deployment.rng.uniform(0.0, self.tick_s), self.enter, self.tick)

    def tick(self) -> None:
        """Tick, as the ticker of the program does."""
        self.simulator.after(self.tick_s, self.enter, self.tick)
        try:
            self.ticked()
        except Exception as error:
            self.fault(error)

    def ticked(self) -> None:
        """Pass a tick to the state machines."""

    def send(self, to: Address, plane: int, message: Any) -> None:
        """Send a message."""
        target = self.machine.deployment.ports.get(to)
        size = 1 + message.ByteSize()
        if target is None:
            return
        network = self.machine.network
        network.message(self.place, target, PLANE_NAMES[plane], size, self.arrive, to, plane, message)

    def arrive(self, to: Address, plane: int, message: Any) -> None:
        """Deliver a message to the process on a port, if there is one."""
        process = self.machine.deployment.at_port.get(to)
        if process is not None and plane in process.message_handlers:
            if (observer := self.machine.network.observer) is not None:
                observer(self.place, process.place, PLANE_NAMES[plane], message)
            process.enter(process.take, self.me, plane, message)

    def take(self, sender: Address, plane: int, message: Any) -> None:
        """Handle a received message."""
        try:
            self.message_handlers[plane](sender, message)
        except Exception as error:
            self.fault(error)

    def seeds(self, addresses: tuple[Address, ...]) -> None:
        """Apply new seeds of the settings file."""

    def stop(self, grace_s: float) -> None:
        """Handle SIGTERM: shut down; the process is killed after the grace period."""
        self.leaving = True


class ControllerProcess(Program):
    """A controller."""

    kind = "controller"

    def __init__(self, machine: ProcessHost, settings: Settings, rng: random.Random) -> None:
        super().__init__(machine, settings, rng)
        self.attach_recording("controller", machine.disk.stored)
        self.controller_node = ControllerNode(self, self.time, settings, machine.disk.stored, rng)
        controller_node = self.controller_node
        if self.recording is not None:
            self.recording.attach(controller_node)
        self.message_handlers = {
            CONSENSUS: controller_node.on_consensus_message,
            MEMBERSHIP: controller_node.on_membership_message,
            QUOTA: controller_node.on_quota_message,
        }

    def ticked(self) -> None:
        """Pass a tick to the node."""
        self.controller_node.tick(self.time())

    def write(self, token: int, record: PersistentState) -> None:
        """Save a record."""
        self.machine.disk.save(
            self,
            record,
            lambda: self.controller_node.written(token),
            lambda why: self.controller_node.write_failed(token, why),
        )

    def seeds(self, addresses: tuple[Address, ...]) -> None:
        """Apply new seeds."""
        self.controller_node.set_seeds(addresses)

    def answer(self, http_call: HttpCall, reply: Callable[[int, bytes, bytes], None]) -> None:
        """Handle a call to `control`."""
        try:
            self.controller_node.answer(http_call, reply)
        except Exception as error:
            self.fault(error)

    def stop(self, grace_s: float) -> None:
        """Shut down within `grace_s` seconds."""
        super().stop(grace_s)
        until = self.simulator.now + 0.5 * grace_s

        def look() -> None:
            if self.simulator.now < until and not self.controller_node.raft.has_left:
                self.simulator.after(0.05, self.enter, look)
            else:
                self.simulator.after(0.1, self.machine.end, self)

        self.enter(self.controller_node.handle_consensus, consensus_events.Leave())
        self.enter(look)


class ProxyProcess(Program):
    """A proxy."""

    kind = "proxy"

    def __init__(self, machine: ProcessHost, settings: Settings, rng: random.Random) -> None:
        super().__init__(machine, settings, rng)
        half = max(32, (settings.own.limits.max_fds - RESERVED_DESCRIPTORS) // 2)
        self.attach_recording("proxy", None)
        self.upstream = Upstream(
            self,
            self.place,
            machine.deployment,
            proxy_node_module.CONNECT_TIMEOUT_S,
            BACKEND_IDLE_S,
            half,
            SILENT_S,
        )
        self.proxy_node = ProxyNode(self, self.loop, self.time, settings, self.upstream, rng)
        if self.recording is not None:
            self.recording.attach(self.proxy_node)
        memory = int(1e6 * settings.own.limits.memory_mb)
        self.server = SimulatedServer(self.loop, self.proxy_node.ingress, half, memory // BODY_MEMORY_DIVISOR)
        self.message_handlers = {
            MEMBERSHIP: self.proxy_node.on_membership_message,
            QUOTA: self.proxy_node.on_quota_message,
        }

    def ticked(self) -> None:
        """Pass a tick to the node."""
        self.proxy_node.handle_membership(TICK)

    def seeds(self, addresses: tuple[Address, ...]) -> None:
        """Apply new seeds."""
        self.proxy_node.set_seeds(addresses)

    def limit(self, limits: Limits) -> None:
        """Apply a configuration and its limits for clients."""
        self.server.limits = limits
        compiled_config = self.proxy_node.compiled_config
        if compiled_config is not None:
            taken = self.simulator.now, self.machine.name, compiled_config.generation
            self.machine.deployment.record.taken.append(taken)

    def limits(self) -> Limits:
        """The limits for clients."""
        return self.server.limits

    def ready(self) -> bool:
        """Return the answer to the platform's readiness check."""
        return self.proxy_node.ready()

    def stop(self, grace_s: float) -> None:
        """Shut down within `grace_s` seconds."""
        super().stop(grace_s)
        self.enter(self.leave)

    def leave(self) -> None:
        """Finish open requests, then end."""
        self.proxy_node.leaving = True
        task = self.create_task(self.finish())
        task.add_done_callback(lambda _: self.machine.end(self))

    async def finish(self) -> None:
        """Finish open requests, then return the quota shares."""
        await self.server.leave()
        await self.proxy_node.leave_quota()
