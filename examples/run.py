"""The whole system on loopback: a controller, a proxy, two example backends, and a configuration.

python examples/run.py            # until Ctrl-C
python examples/run.py --once     # sends one request, prints the answer, ends
"""

from __future__ import annotations

import argparse
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from calls import NONE, Answer, call

HERE = Path(__file__).resolve().parent
PORTS = 40  # consecutive ports on loopback
START_S = 20.0  # time limit of each step until a request is served
STOP_S = 10.0  # time for a process to end after SIGTERM
HEADERS = {
    "Host": "parcels.example",
    "Attempt-Id": "9c41d07be2a35f68",
    "Deadline-Ms": "2500",
    "Authorization": "Token example-key",
}

Process = subprocess.Popen[bytes]


class Example:
    """All processes of the example. `port` is the first of `PORTS` used ports on loopback."""

    def __init__(self, port: int, folder: str) -> None:
        self.port = port
        self.folder = folder
        self.front, self.ready, self.control = (f"127.0.0.1:{port + i}" for i in range(3))
        self.programs: list[Process] = []
        self.backends: list[Process] = []

    def settings(self, program: str) -> dict[str, Any]:
        """Return the settings of a program as JSON, which is also YAML."""
        listen = {
            "proxy": {"front": self.front, "ready": self.ready},
            "controller": {"control": self.control},
        }
        own: dict[str, Any] = {
            "node": program,
            "role": program,
            "machine-class": "edge",
            "ip": "127.0.0.1",
            "zone": "zone-a",
            "region": "region-a",
            "counted": True,
            "fresh-start": True,
            "serves": ["edge" if program == "proxy" else "control"],
            "limits": {"cpu-share": 1, "cores": 1, "memory-mb": 300, "max-fds": 1024},
        }
        if program == "controller":
            own["data-dir"] = f"{self.folder}/data"
        return {
            "self": own,
            "provider": {"beat-s": 1},
            "terms": {"bounds": {"drain-s": 0.5}},
            "network": {
                "listen": listen[program],
                "port-range": [self.port + 10, self.port + 25],
                "seeds": [self.control],
                "zones": {"zone-a": "region-a"},
            },
        }

    def program(self, program: str) -> None:
        """Start `proxy` or `controller`."""
        path = Path(self.folder, f"{program}.yaml")
        path.write_text(json.dumps(self.settings(program), indent=1))
        environ = {**os.environ, "EIDERSTAGE_NODE_FILE": str(path)}
        self.programs.append(spawn(["-m", "gateway", program], environ))

    def backend(self, number: int) -> None:
        """Start a backend."""
        options = [
            "--id",
            f"i-{number}",
            "--service",
            "parcels",
            "--port",
            str(self.port + 30 + number),
            "--control",
            self.control,
        ]
        self.backends.append(spawn([str(HERE / "backend.py"), *options], dict(os.environ)))

    def start(self) -> None:
        """Start all processes, and wait until requests are served. Raises RuntimeError if they aren't."""
        Path(self.folder, "data").mkdir()
        self.program("controller")
        self.program("proxy")
        for number in range(2):
            self.backend(number)
        config = (HERE / "config.json").read_bytes()
        self.until("the configuration to be taken", lambda: call(self.control, "PUT", "/-/config", config))
        self.until("the proxy to be ready", lambda: call(self.ready, "GET", "/-/readiness"))

    def until(self, what: str, attempt: Callable[[], Answer]) -> Answer:
        """Call until the status is 200. Raises RuntimeError if it isn't in time, or a process has ended."""
        ends = time.monotonic() + START_S
        answer = NONE
        while time.monotonic() < ends and self.all_run():
            answer = attempt()
            if answer.status == 200:
                return answer
            time.sleep(0.2)
        raise RuntimeError(f"gave up waiting for {what}; last answer: {answer.status}, {answer.body!r}")

    def all_run(self) -> bool:
        """Whether all processes are running."""
        return all(process.poll() is None for process in [*self.programs, *self.backends])

    def request(self) -> Answer:
        """Send a request."""
        return call(self.front, "GET", "/read/7", headers=HEADERS, wait_s=3)

    def stop(self) -> None:
        """End all processes, the backends first."""
        for group in (self.backends, self.programs):
            for process in group:
                process.terminate()
            for process in group:
                try:
                    process.wait(STOP_S)
                except subprocess.TimeoutExpired:
                    process.kill()
                    process.wait()


def free_ports() -> int:
    """Return the first of `PORTS` consecutive unused ports. Raises RuntimeError if there are none."""
    for _ in range(100):
        first = random.randrange(10_000, 30_000, PORTS)
        if all(map(is_free, range(first, first + PORTS))):
            return first
    raise RuntimeError("no free ports")


def is_free(port: int) -> bool:
    """Whether a port is unused, for TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


def spawn(arguments: list[str], environ: dict[str, str]) -> Process:
    """Start a Python process that Ctrl-C doesn't reach, as it is ended later."""
    return subprocess.Popen(
        [sys.executable, *arguments], cwd=HERE.parent, env=environ, start_new_session=True
    )


def interrupted(number: int, frame: object) -> None:
    """Shut down once on Ctrl-C or SIGTERM."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    raise KeyboardInterrupt


def main() -> int:
    """Run the example; returns 0 if the request was served."""
    parser = argparse.ArgumentParser(description="The whole system on loopback.")
    parser.add_argument("--once", action="store_true", help="send one request and end")
    parser.add_argument("--port", type=int, default=18400, help="the first of 40 ports; 0: free ones")
    options = parser.parse_args()
    signal.signal(signal.SIGINT, interrupted)
    signal.signal(signal.SIGTERM, interrupted)
    with tempfile.TemporaryDirectory() as folder:
        example = Example(options.port or free_ports(), folder)
        try:
            example.start()
            if options.once:
                answer = example.until("a request to be served", example.request)
                print(answer.status, answer.body.decode(), end="")
                return 0
            shown = " ".join(f"-H '{name}: {value}'" for name, value in HEADERS.items())
            print(f"curl -i {shown} http://{example.front}/read/7", flush=True)
            while example.all_run():
                time.sleep(0.5)
            print("a process has ended", file=sys.stderr)
        except KeyboardInterrupt:
            return 0
        except RuntimeError as error:
            print(error, file=sys.stderr)
        finally:
            example.stop()
    return 1


if __name__ == "__main__":
    sys.exit(main())
