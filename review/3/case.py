"""A machine gets SIGTERM while one of its requests is being worked on, and the other backends are full."""

from __future__ import annotations

import asyncio
import itertools
import os
import signal
import sys
from pathlib import Path
from typing import NamedTuple

from standins import configuration
from standins.backend import Backend
from standins.http import NO_ANSWER, Message, call
from standins.platform import BEAT_S, BOUNDS, Machine, Platform, Record
from standins.runner import run

HERE = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

SERVICE = "capview"
REPORT = "imbalance-report"  # safe
ORDER = "nom-submit"  # unsafe
SAFE = {REPORT: True, ORDER: False}
DEADLINE_S = 6.0
SHORT_S = 0.05  # work of most requests
LONG_S = 2.0  # work of a few
LONG = "long"  # last segment of their paths
BACKENDS = 3
CAPACITY = 2
QUEUE = 2
PLACES = BACKENDS * (CAPACITY + QUEUE)
ORDERS = PLACES + 4  # long orders, sent at the same time as a long report

WARM_UP_S = 4.0
WARM_UP_INTERVAL_S = 0.05
FILL_AFTER_S = 0.03  # the orders follow the report after this time
SIGTERM_AFTER_S = 0.2  # the SIGTERM follows the report after this time
RESTART_S = 8.0  # from the report to the start of the machine's programs
NO_SEAL = ""


class Report(NamedTuple):
    """A long report: its attempt, when it was sent and answered, and the status and seal of the answer."""

    attempt: str
    sent_at: float
    answered_at: float
    status: int
    seal: str


class Case:
    """The run of the case."""

    def __init__(self, platform: Platform, record: Record) -> None:
        self.platform = platform
        self.record = record
        self.ids = itertools.count(1)
        self.backends: list[Backend] = []

    async def start(self) -> None:
        """Start the deployment and its backends, and wait until it is ready."""
        for machine in self.platform.machines:
            self.platform.start(machine)
        routes = [configuration.route(kind, safe, DEADLINE_S, SERVICE) for kind, safe in SAFE.items()]
        await self.platform.configure(configuration.whole([configuration.service(SERVICE), *routes]))
        for place in range(BACKENDS):
            backend = Backend(
                f"i-{place}",
                SERVICE,
                f"127.100.0.{place + 1}:{self.platform.port}",
                self.platform.zones[place],
                self.platform.controls,
                CAPACITY,
                QUEUE,
                BEAT_S,
                work,
                self.record.write,
            )
            self.backends.append(backend)
            await backend.start()
        await self.platform.until_ready()
        await asyncio.sleep(BEAT_S)

    async def send(self, machine: Machine, kind: str, path: str) -> Report:
        """Send a request to a machine, and wait for its answer."""
        attempt = f"{next(self.ids):016x}"
        headers = {
            "Host": configuration.HOST,
            "Attempt-Id": attempt,
            "Deadline-Ms": str(int(1000 * DEADLINE_S)),
            "Authorization": f"Token {configuration.KEY}",
        }
        method = "GET" if SAFE[kind] else "POST"
        front = self.platform.address(machine, "front")
        sent_at = self.record.now()
        answer = await call(front, method, f"/{kind}/{path}", headers, b"", DEADLINE_S)
        status = answer.status if answer is not None else NO_ANSWER
        seal = answer.headers.get("backend-seal", NO_SEAL) if answer is not None else NO_SEAL
        self.record.write(f"{kind} {path} {attempt} at {machine.name}: {status}, seal {seal or 'none'}")
        return Report(attempt, sent_at, self.record.now(), status, seal)

    async def warm_up(self, machine: Machine) -> None:
        """Send short reports, one after the other, so that the machine knows the usual time of one."""
        ends = self.record.now() + WARM_UP_S
        while self.record.now() < ends:
            await self.send(machine, REPORT, "short")
            await asyncio.sleep(WARM_UP_INTERVAL_S)

    async def stop_at_work(self, machine: Machine) -> bool:
        """Stop a machine while it waits for a long report; returns whether the rule held."""
        others = itertools.cycle(m for m in self.platform.machines if m is not machine)
        report = asyncio.create_task(self.send(machine, REPORT, LONG))
        await asyncio.sleep(FILL_AFTER_S)
        orders = [asyncio.create_task(self.send(next(others), ORDER, LONG)) for _ in range(ORDERS)]
        await asyncio.sleep(SIGTERM_AFTER_S - FILL_AFTER_S)
        stopped_at = self.record.now()
        if TROUBLE:
            for role in machine.roles:
                self.platform.signal(machine, signal.SIGTERM, role)
        answered = await report
        await asyncio.gather(*orders)
        held = self.judge(answered, stopped_at)
        await asyncio.sleep(max(0.0, stopped_at + RESTART_S - self.record.now()))
        self.platform.start(machine)
        await self.platform.until_ready()
        await asyncio.sleep(BOUNDS["contact-s"])
        return held

    def judge(self, report: Report, stopped_at: float) -> bool:
        """Whether a report was not broken off by its machine, after a SIGTERM, in the place of a backend.

        Excused are an answer of a backend, the deadline, and the second half of `grace-s`.
        """
        was_at_work = any(report.attempt in backend.dropped for backend in self.backends)
        excused_at = min(report.sent_at + DEADLINE_S, stopped_at + BOUNDS["grace-s"] / 2)
        is_early = stopped_at < report.answered_at < excused_at
        if not (TROUBLE and was_at_work and is_early and report.seal == NO_SEAL):
            return True
        self.record.write(
            f"LOST: report {report.attempt} was broken off {report.answered_at - stopped_at:.3f} s after the"
            f" SIGTERM, with {report.status}"
        )
        return False

    async def run(self) -> bool:
        """Play the day; returns whether the rule held."""
        await self.start()
        held = True
        for machine in self.platform.machines:
            await self.warm_up(machine)
            held = await self.stop_at_work(machine) and held
        return held


def work(request: Message) -> float:
    """The seconds of work of a request."""
    path = request.first.split(" ")[1]
    return LONG_S if path.endswith(f"/{LONG}") else SHORT_S


async def play(platform: Platform, record: Record) -> bool:
    """Play the case; returns whether the rule held."""
    return await Case(platform, record).run()


if __name__ == "__main__":
    sys.exit(run(HERE, play))
