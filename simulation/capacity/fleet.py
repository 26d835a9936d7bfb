"""A fleet without traffic: the programs' state machines in one process, real messages, simulated links."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from gateway.quota import events as quota_events
from simulation.capacity import design
from simulation.capacity.meter import Counts, LinkNetwork, Meter
from simulation.model.deployment import Deployment
from simulation.model.machines import Machine
from simulation.model.network import LinkProfile, Location
from simulation.model.operators import OperatorPool
from simulation.model.processes import ControllerProcess, Program, ProxyProcess
from simulation.model.record import Record
from simulation.model.simulator import Simulator
from simulation.spec import Bounds, Kind, Links, Service, Spec, Tenants

CONTROLLER = "controller"
INGRESS = "proxy"
"""The two programs by their names in the settings."""
ZONES = tuple(f"zone-{n}" for n in range(1, design.ZONES + 1))
TWO_REGIONS = (0, 0, 0, 1, 1, 1)
"""The region of each zone."""
CHARGE_PATIENCE_S = 0.2
LAUNCH_S = 3.0
"""Seconds during which the backends start."""
CONFIGURE_AT_S = 1.5
READY_S = 30.0
POLL_S = 0.02


class FleetError(RuntimeError):
    """The fleet didn't start or recover in time."""


@dataclass(frozen=True)
class FleetSize:
    """The size of a fleet.

    `requests` are charges per second at each ingress, `members` the number of controllers in each zone,
    `regions` the region of each zone, and `region_delay_s` the one-way delay between zones of two regions.
    """

    ingresses: int = 30
    members: tuple[int, ...] = (2, 1, 1, 1, 1, 1)
    backends: int = 60
    services: int = 6
    tenants: int = 20
    requests: float = 4.0
    zone_delay_s: float = design.ZONE_DELAY_S
    region_delay_s: float = design.ZONE_DELAY_S
    regions: tuple[int, ...] = TWO_REGIONS

    def spec(self) -> Spec:
        """Return the simulator's specification of this fleet."""
        zones = len(ZONES)
        proxies = tuple(
            members + self.ingresses // zones + (n < self.ingresses % zones)
            for n, members in enumerate(self.members)
        )
        each, more = divmod(self.backends, self.services)
        services = tuple(Service(f"service-{n}", each + (n < more)) for n in range(self.services))
        kind = Kind(service="service-0", rate=3.0 * self.ingresses * max(self.requests, 1.0))
        bounds = Bounds(apply_s=design.APPLY_S)
        return Spec(
            name="hollow",
            zones=ZONES,
            controllers=self.members,
            proxies=proxies,
            tolerance=sum(self.members) // 2,
            beat_s=design.BACKEND_HEARTBEAT_S,
            cost_s=0.0,
            services=services,
            kinds=(kind,),
            tenants=Tenants(self.tenants, uneven=0.0),
            links=Links(between=self.zone_delay_s, loss=0.0),
            bounds=bounds,
        )


class RegionNetwork(LinkNetwork):
    """A network with longer delays between regions than between zones."""

    def __init__(self, simulator: Simulator, ways: LinkProfile, size: FleetSize) -> None:
        super().__init__(simulator, ways)
        self.region_delay_s = size.region_delay_s
        self.regions = dict(zip(ZONES, size.regions, strict=True))

    def delay(self, a: Location, b: Location, client: bool = False) -> float:
        """Return the delay of a packet in seconds."""
        regions = self.regions
        known = a.zone in regions and b.zone in regions
        if known and not client and regions[a.zone] != regions[b.zone]:
            return self.region_delay_s * (1.0 + self.profile.spread * self.rng.random())
        return super().delay(a, b, client)


class Fleet:
    """A fleet without client traffic, and the operations on it."""

    def __init__(self, size: FleetSize, seed: int) -> None:
        self.size = size
        self.spec = size.spec()
        self.simulator = Simulator(seed)
        self.rng = random.Random(seed)
        self.record = Record()
        self.record.bounds = self.spec.bounds
        self.deployment = Deployment(self.simulator, self.spec, self.record)
        self.operator_pool = OperatorPool(self.deployment)
        self.meters: dict[Program, Meter] = {}
        self.charges = 0
        self.refused: dict[str, int] = {}
        network = self.network = RegionNetwork(self.simulator, self.deployment.network.profile, size)
        self.deployment.network = network
        for machine in self.deployment.machines.values():
            machine.network = network
            machine.roles = (CONTROLLER,) if machine.core else (INGRESS,)
        self.deployment.process_hooks.append(self._started)

    def _started(self, process: Program) -> None:
        self.meters[process] = Meter(process, self.network)
        if isinstance(process, ProxyProcess) and self.size.requests:
            self.simulator.after(self.rng.expovariate(self.size.requests), self._request, process)

    def _request(self, process: ProxyProcess) -> None:
        if process.ended:
            return
        self.simulator.after(self.rng.expovariate(self.size.requests), self._request, process)
        if process.proxy_node.compiled_config is not None:
            self.charges += 1
            tenant = f"tenant-{self.rng.randrange(self.size.tenants)}"
            charge = quota_events.ChargeRequest(self.rng.getrandbits(63), tenant, 1, CHARGE_PATIENCE_S)
            process.enter(process.proxy_node.handle_quota, charge)

    # Running.

    def begin(self) -> None:
        """Start all processes and backends, and wait until all ingresses are ready."""
        self.deployment.start()
        launches = [
            (service, ZONES[n % len(ZONES)])
            for service in self.spec.services
            for n in range(service.backends)
        ]
        for n, (service, zone) in enumerate(launches):
            self.simulator.at(0.5 + LAUNCH_S * n / len(launches), self.deployment.launch, service, zone)
        self.simulator.at(CONFIGURE_AT_S, self.operator_pool.begin)
        self.simulator.run(LAUNCH_S + 1.0)
        self.until(lambda: all(i.ready() for i in self.ingresses()), READY_S)

    def until(self, condition: Callable[[], bool], most_s: float, poll_s: float = POLL_S) -> float:
        """Run until a condition holds, and return the seconds. Raises FleetError if it doesn't in time."""
        began = self.simulator.now
        while not condition():
            if self.simulator.now - began > most_s:
                raise FleetError(f"not within {most_s:g} s")
            self.simulator.run(self.simulator.now + poll_s)
        return self.simulator.now - began

    def window(self, seconds: float) -> None:
        """Measure for some seconds."""
        for meter in self.meters.values():
            meter.reset()
        self.simulator.run(self.simulator.now + seconds)

    # Processes.

    def ingresses(self) -> list[ProxyProcess]:
        """Return all running ingresses."""
        return [p for p in self._processes() if isinstance(p, ProxyProcess)]

    def controllers(self) -> list[ControllerProcess]:
        """Return all running controllers."""
        return [p for p in self._processes() if isinstance(p, ControllerProcess)]

    def leader(self) -> ControllerProcess | None:
        """Return the controller that has the leader lease."""
        for process in self.controllers():
            if process.controller_node.raft.has_leader_lease(process.time()):
                return process
        return None

    def counts(self, processes: Iterable[Program]) -> list[Counts]:
        """Return the counts of these processes in the last window."""
        return [self.meters[p].counts for p in processes]

    def region(self, zone: str) -> int:
        """Return the index of a zone's region."""
        return self.size.regions[ZONES.index(zone)]

    def region_name(self, zone: str) -> str:
        """Return the name of a zone's region."""
        return f"region {self.region(zone) + 1}"

    def region_names(self) -> list[str]:
        """Return all regions."""
        return list(dict.fromkeys(map(self.region_name, ZONES)))

    def cut(self, these: Sequence[int], those: Sequence[int], on: bool) -> None:
        """Partition regions from others, or end the partition."""
        for a in (z for z in ZONES if self.region(z) in these):
            for b in (z for z in ZONES if self.region(z) in those):
                self.deployment.network.cut(a, b, on)
                self.deployment.network.cut(b, a, on)

    def machine(self, process: Program) -> Machine:
        """Return the machine on which a process runs."""
        return self.deployment.machines[process.machine.name]

    def machines(self, processes: Sequence[Program]) -> list[Machine]:
        """Return the machines of these processes."""
        return [self.machine(process) for process in processes]

    def _processes(self) -> list[Program]:
        return [p for m in self.deployment.machines.values() for p in m.processes.values()]
