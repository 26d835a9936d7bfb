"""The processes of a deployment on loopback. Each machine has its own address within 127/8."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

from simulation.spec import Service, Spec

ROOT = Path(__file__).resolve().parents[2]
STOP_TIMEOUT_S = 8.0  # time for a process to end after SIGTERM
FIRST_BACKEND_PORT = 20_000
Popen = subprocess.Popen[bytes]


class LocalMachine:
    """A machine with its address and its processes."""

    def __init__(self, cluster: LocalCluster, name: str, ip: str, zone: str, core: bool) -> None:
        self.cluster = cluster
        self.name = name
        self.ip = ip
        self.zone = zone
        self.roles = ("controller", "proxy") if core else ("proxy",)
        self.programs: dict[str, Popen] = {}
        self.fresh = True

    def address(self, what: str) -> str:
        """Return the address of `front`, `ready` or `control` on this machine."""
        return f"{self.ip}:{self.cluster.port + ('front', 'ready', 'control').index(what)}"

    def start(self) -> None:
        """Start all programs that don't run."""
        for role in self.roles:
            known = self.programs.get(role)
            if known is None or known.poll() is not None:
                self.programs[role] = self.cluster.spawn_program(self, role)
        self.fresh = False

    def signal(self, number: int) -> None:
        """Send a signal to all processes."""
        for program in self.programs.values():
            if program.poll() is None:
                program.send_signal(number)

    def ended(self) -> list[str]:
        """Return the roles whose process has ended."""
        return [role for role, program in self.programs.items() if program.poll() is not None]


class LocalCluster:
    """All machines and backends.

    `port` is the first port used on each machine's address; `recordings` is a folder for recordings of the
    programs, or None.
    """

    def __init__(self, spec: Spec, folder: Path, port: int, recordings: Path | None = None) -> None:
        self.spec = spec
        self.folder = folder
        self.port = port
        self.recordings = recordings
        self.machines: list[LocalMachine] = []
        self.backends: list[tuple[str, Service, Popen]] = []
        self.launched = 0
        for number, zone in enumerate(spec.zones, 1):
            for place in range(spec.proxies[number - 1]):
                core = place < spec.controllers[number - 1]
                ip = f"127.{number}.0.{place + 3}"
                self.machines.append(LocalMachine(self, f"{zone}-{place + 1}", ip, zone, core))
        self.core = sorted((h for h in self.machines if len(h.roles) == 2), key=lambda h: h.name[::-1])

    def settings(self, machine: LocalMachine, role: str) -> dict[str, Any]:
        """Return a program's settings as JSON, which is also YAML."""
        served = ("control",) if role == "controller" else ("front", "ready")
        bounds = {name.replace("_", "-"): value for name, value in vars(self.spec.bounds).items()}
        own: dict[str, Any] = {
            "node": machine.name,
            "role": role,
            "ip": machine.ip,
            "zone": machine.zone,
            "fresh-start": machine.fresh,
            "limits": {"max-fds": 1024, "memory-mb": 300},
        }
        if role == "controller":
            own["data-dir"] = str(self.folder / machine.name)
            Path(own["data-dir"]).mkdir(exist_ok=True)
        return {
            "self": own,
            "provider": {"beat-s": self.spec.beat_s},
            "network": {
                "listen": {what: machine.address(what) for what in served},
                "port-range": [self.port + 10, self.port + 25],
                "seeds": [h.address("control") for h in self.core[:3]],
                "zones": {zone: "region" for zone in self.spec.zones},
            },
            "terms": {"fault-budget": {"machines": self.spec.tolerance}, "bounds": bounds},
        }

    def spawn_program(self, machine: LocalMachine, role: str) -> Popen:
        """Start a program."""
        path = self.folder / f"{machine.name}-{role}.yaml"
        path.write_text(json.dumps(self.settings(machine, role)))
        environ = {**os.environ, "EIDERSTAGE_NODE_FILE": str(path), "PYTHONPATH": str(ROOT)}
        if self.recordings is not None:
            environ["SIMULATION_RECORDINGS"] = str(self.recordings)
        module = "gateway" if self.recordings is None else "simulation.recorded_program"
        with open(self.folder / f"{machine.name}-{role}.log", "ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", module, role],
                cwd=ROOT,
                env=environ,
                stderr=log,
                start_new_session=True,
            )

    def launch(self, service: Service, work_s: float) -> None:
        """Start a backend."""
        n = self.launched
        self.launched = self.launched + 1
        zone = self.spec.zones[n % len(self.spec.zones)]
        options = [
            "--id",
            f"i-{n:04x}",
            "--service",
            service.name,
            "--port",
            str(FIRST_BACKEND_PORT + n),
            "--zone",
            zone,
            "--capacity",
            str(service.capacity),
            "--work-ms",
            str(1000 * work_s),
            "--beat-s",
            str(self.spec.beat_s),
            "--drain-s",
            str(self.spec.bounds.drain_s),
        ]
        for machine in self.core:
            options += ["--control", machine.address("control")]
        process = subprocess.Popen(
            [sys.executable, str(ROOT / "examples" / "backend.py"), *options],
            cwd=ROOT,
            start_new_session=True,
            stderr=subprocess.DEVNULL,
        )
        self.backends.append((f"i-{n:04x}", service, process))

    def stop(self) -> None:
        """End all started processes."""
        groups = [[p for *_, p in self.backends], [p for h in self.machines for p in h.programs.values()]]
        for group in groups:
            for process in group:
                if process.poll() is None:
                    process.send_signal(signal.SIGCONT)
                    process.terminate()
            for process in group:
                try:
                    process.wait(STOP_TIMEOUT_S)
                except subprocess.TimeoutExpired:
                    process.kill()
                    process.wait()
