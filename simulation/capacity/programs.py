"""Measurements of the real programs over loopback: start-up, memory by configuration size, added latency."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final

import numpy as np

from gateway.programs.paths import CONFIG
from simulation.capacity import documents
from simulation.capacity.samples import Sample
from simulation.loopback import http_clients
from simulation.loopback.local_cluster import FIRST_BACKEND_PORT, LocalCluster, LocalMachine
from simulation.spec import Service, Spec

STUDY = "programs"
AXIS = "tenants of real programs"
SIZES = (1_000, 5_500, 22_000)
QUICK_SIZES = (10, 20, 30)
ROUTES_PER_TENANT = 20
PORT: Final = 19_600
SERVICE: Final = "service-0"
WORK_S = 0.005
CAPACITY = 8
BACKENDS = 2
REQUESTS = 300
QUICK_REQUESTS = 2
BATCHES = 3
PACE_S: Final = 0.005
"""Seconds between two requests, so that none waits for another."""
WAIT_S = 30.0
POLL_S = 0.01
WARM_UP_S = 2.0
QUICK_WARM_UP_S = 0.2
KEY: Final = "key-of-the-caller"
MILLISECONDS: Final = 1000.0
CONTROLLER = "controller"
INGRESS = "proxy"


class ProgramsError(RuntimeError):
    """The programs didn't start, or didn't accept a configuration or a request."""


def settings(quick: bool) -> dict[str, Any]:
    """Return the description of the run that a recording contains."""
    return {
        "controllers": 3,
        "ingresses": 3,
        "backends": BACKENDS,
        "work_s": WORK_S,
        "requests": QUICK_REQUESTS if quick else REQUESTS,
        "batches": BATCHES,
    }


def measure(quick: bool) -> Iterator[list[Sample]]:
    """Measure a deployment to which configurations of increasing size are sent."""
    spec = Spec(
        zones=("zone-1", "zone-2", "zone-3"),
        proxies=(1, 1, 1),
        services=(Service(SERVICE, BACKENDS, CAPACITY),),
    )
    with tempfile.TemporaryDirectory() as folder:
        cluster = LocalCluster(spec, Path(folder), PORT)
        try:
            for machine in cluster.machines:
                machine.start()
            for _ in range(BACKENDS):
                cluster.launch(spec.services[0], WORK_S)
            generation = 0
            for size in QUICK_SIZES if quick else SIZES:
                found, generation = asyncio.run(measure_size(cluster, size, generation, quick))
                yield found
        finally:
            cluster.stop()


async def measure_size(
    cluster: LocalCluster, tenants: int, generation: int, quick: bool
) -> tuple[list[Sample], int]:
    """Apply a configuration, then measure memory, added latency and the start of an ingress."""
    generation = await put_config(cluster, tenants, generation)
    await until_ready(cluster.machines)
    await asyncio.sleep(QUICK_WARM_UP_S if quick else WARM_UP_S)
    direct, through = await added(cluster, QUICK_REQUESTS if quick else REQUESTS)
    found = []

    def add_sample(figure: str, unit: str, values: list[float]) -> None:
        found.append(Sample(AXIS, tenants, figure, unit, tuple(values)))

    for role, name in ((INGRESS, "ingress"), (CONTROLLER, "controller")):
        add_sample(
            f"{name}: memory", "MB", [resident_mb(machine.programs[role].pid) for machine in cluster.machines]
        )
        add_sample(
            f"{name}: memory at its peak",
            "MB",
            [resident_mb(machine.programs[role].pid, "VmHWM") for machine in cluster.machines],
        )
    for percent, name in ((50, "median"), (99, "99th percentile")):
        one, other = (np.percentile(times, percent, axis=1) for times in (through, direct))
        add_sample(f"request through an ingress, {name}", "ms", [float(v) for v in one])
        add_sample(f"request to a backend, {name}", "ms", [float(v) for v in other])
        add_sample(f"added time, {name}", "ms", [float(a - b) for a, b in zip(one, other, strict=True)])
    restarted = cluster.machines[:1] if quick else cluster.machines
    add_sample("ingress: start until ready", "s", [await restart(machine) for machine in restarted])
    return found, generation


async def put_config(cluster: LocalCluster, tenants: int, base: int) -> int:
    """Apply a configuration of this size, and return its generation."""
    document = documents.document(max(1, tenants // ROUTES_PER_TENANT), tenants, 1)
    caller = documents.tenant_entry(tenants, random.Random(1))
    caller["spec"] |= {"api-keys": [KEY], "rate-per-s": 10_000, "burst": 10_000}
    document["resource-list"].append(caller)
    document |= {"generation": base + 1, "base-version": base}
    body = json.dumps(document).encode()
    rng = random.Random(1)
    controls = [machine.address("control") for machine in cluster.core]
    ends = time.monotonic() + WAIT_S
    while time.monotonic() < ends:
        answer, _ = await http_clients.control(controls, "PUT", CONFIG, body, rng, WAIT_S)
        if answer.status == 200:
            return base + 1
        await asyncio.sleep(0.3)
    raise ProgramsError(f"a configuration of {tenants} tenants was answered {answer.status}")


async def until_ready(machines: list[LocalMachine]) -> None:
    """Wait until these ingresses are ready. Raises ProgramsError if they aren't in time."""
    ends = time.monotonic() + WAIT_S
    for machine in machines:
        while (
            await http_clients.call(machine.address("ready"), "GET", "/-/readiness", {}, b"", 0.9)
        ).status != 200:
            if time.monotonic() > ends:
                raise ProgramsError(f"{machine.name} isn't ready")
            await asyncio.sleep(POLL_S)


async def restart(machine: LocalMachine) -> float:
    """Kill an ingress and start it again; return the seconds from its start until it is ready."""
    program = machine.programs[INGRESS]
    program.send_signal(signal.SIGKILL)
    program.wait()
    began = time.monotonic()
    machine.start()
    await until_ready([machine])
    return time.monotonic() - began


async def added(cluster: LocalCluster, requests: int) -> tuple[list[list[float]], list[list[float]]]:
    """Return the times in ms of requests directly to a backend and through an ingress, by batches."""
    direct: list[list[float]] = []
    through: list[list[float]] = []
    for batch in range(BATCHES):
        machine = cluster.machines[batch % len(cluster.machines)]
        for times, address in (
            (direct, f"127.0.0.1:{FIRST_BACKEND_PORT}"),
            (through, machine.address("front")),
        ):
            times.append([await request(address, batch * requests + n) for n in range(requests)])
    return direct, through


async def request(address: str, number: int) -> float:
    """Make a request on a new connection, and return its time in ms."""
    await asyncio.sleep(PACE_S)
    headers = {
        "Host": "host-0.example",
        "Attempt-Id": f"{random.getrandbits(64):016x}",
        "Authorization": f"Token {KEY}",
        "Deadline-Ms": "2000",
    }
    began = time.perf_counter()
    answer = await http_clients.call(address, "GET", f"/area-0/item-0/{number}", headers, b"", 2.0)
    if answer.status != 200:
        raise ProgramsError(f"a request was answered {answer.status}")
    return MILLISECONDS * (time.perf_counter() - began)


def resident_mb(pid: int, field: str = "VmRSS") -> float:
    """Return the resident memory of a process in MB, now or at its peak (`VmHWM`)."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(field):
            return int(line.split()[1]) * 1024 / 1e6
    raise ProgramsError(f"process {pid} tells no {field}")
