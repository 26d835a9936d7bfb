"""A simulation run: a deployment, its day and its disruptions, from one seed, and the resulting record."""

from __future__ import annotations

import logging
from time import perf_counter, process_time

from simulation.model import injected_bugs
from simulation.model.client_load import ClientLoad
from simulation.model.deployment import Deployment
from simulation.model.disruptions import DisruptionSchedule
from simulation.model.operators import OperatorPool
from simulation.model.processes import ControllerProcess, ProxyProcess
from simulation.model.record import Record
from simulation.model.simulator import Simulator
from simulation.spec import Disruption, Spec

READ_INTERVAL_S = 0.4  # of the operators' reads at the end
MAX_FAULTS = 200


class ErrorLogHandler(logging.Handler):
    """Records the errors that the programs log."""

    def __init__(self, simulator: Simulator, record: Record) -> None:
        super().__init__(logging.ERROR)
        self.simulator = simulator
        self.record = record

    def emit(self, entry: logging.LogRecord) -> None:
        """Record a log line of the code under test as a fault."""
        if len(self.record.faults) < MAX_FAULTS and entry.name.partition(".")[0] in ("gateway", "ingress"):
            why = f": {entry.exc_info[1]!r}" if entry.exc_info else ""
            self.record.faults.append(
                f"{self.simulator.now:.3f} {entry.name}: {entry.getMessage()[:300]}{why}"
            )


class Run:
    """A run in progress."""

    def __init__(self, spec: Spec, seed: int) -> None:
        self.spec = spec
        self.simulator = Simulator(seed)
        self.record = Record()
        self.record.bounds = spec.bounds
        self.record.until = spec.day.seconds
        self.deployment = Deployment(self.simulator, spec, self.record)
        self.operator_pool = OperatorPool(self.deployment)
        self.load = ClientLoad(self.deployment, self.operator_pool)
        self.disruptions = DisruptionSchedule(self.deployment, self.operator_pool, self.load)
        injected_bugs.inject_bug(spec.injected_bug, self.deployment)

    def play(self) -> Record:
        """Run the day to its end."""
        spec = self.spec
        day = self.spec.day
        simulator = self.simulator
        began = perf_counter()
        used = process_time()
        deployment = self.deployment
        deployment.start()
        for service in spec.services:
            for n in range(service.backends):
                simulator.at(0.5 + 0.02 * n, deployment.launch, service, spec.zones[n % len(spec.zones)])
        simulator.at(1.0, self.operator_pool.begin)
        if day.traffic:
            simulator.at(day.warm, self.load.begin)
        if day.config_changes:
            simulator.at(day.warm, self.change)
        self.disruptions.plan(spec.disruptions)
        if day.closing:
            simulator.at(day.closing, self.close)
        reading = max(day.seconds - spec.bounds.contact_s - 0.5, 0.0)
        simulator.at(reading, self.read, day.seconds - 0.2)
        errors = ErrorLogHandler(simulator, self.record)
        logging.getLogger().addHandler(errors)
        try:
            simulator.run(day.seconds)
        finally:
            logging.getLogger().removeHandler(errors)
        self.finish(perf_counter() - began, process_time() - used)
        return self.record

    def change(self) -> None:
        """Schedule changes of the configuration."""
        rng = self.operator_pool.rng
        if self.simulator.now < self.spec.day.seconds - 8.0:
            self.operator_pool.change(rng.choice(["add", "add", "remove", "move", "keys", "limit"]))
            self.simulator.after(rng.expovariate(1 / self.spec.day.config_changes), self.change)

    def close(self) -> None:
        """Cause the final fault right after an acknowledged change."""
        disruption = Disruption(
            kind=self.spec.day.closing_kind,
            at=self.simulator.now,
            lasts=1.0,
            which=self.operator_pool.rng.randrange(100),
        )

        def start_disruption(machine: object) -> None:
            self.record.closing = self.simulator.now
            self.disruptions.start_disruption(disruption)

        self.disruptions.after_next_ack.append((disruption, start_disruption))
        self.operator_pool.change("add")

    def read(self, until: float) -> None:
        """Read the configuration periodically."""
        self.operator_pool.operators[0].read()
        if self.simulator.now + READ_INTERVAL_S < until:
            self.simulator.after(READ_INTERVAL_S, self.read, until)

    def finish(self, seconds: float, processor: float) -> None:
        """Compute the totals of the record."""
        record = self.record
        deployment = self.deployment
        processes = [p for m in deployment.machines.values() for p in m.processes.values()]
        record.faults += [f"{p.name}: {fault}" for p in processes for fault in p.faults]
        nodes = sum(len(m.roles) for m in deployment.machines.values())
        sent = deployment.network.sent
        versions = [p.proxy_node.version for p in processes if isinstance(p, ProxyProcess)]
        leaders = sum(
            p.controller_node.raft.leader_role is not None
            for p in processes
            if isinstance(p, ControllerProcess)
        )
        record.figures = {
            "day_s": self.simulator.now,
            "wall_s": seconds,
            "processor_s": processor,
            "node_seconds_a_second": nodes * self.simulator.now / max(1e-9, processor),
            "times_real": self.simulator.now / max(1e-9, processor),
            "events": self.simulator.events,
            "messages": {kind: row[0] for kind, row in sent.items()},
            "bytes": {kind: row[1] for kind, row in sent.items()},
            "bytes_between_zones": sum(row[2] for row in sent.values()),
            "disk_saves": sum(m.disk.saves for m in deployment.machines.values()),
            "versions": sorted(set(versions)),
            "leaders": leaders,
        }


def play(spec: Spec, seed: int) -> Record:
    """Run a day, and return its record."""
    return Run(spec, seed).play()
