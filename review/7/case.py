"""A quota gets a low rate beside a large burst: the owner of the count can't answer, and all is refused."""

from __future__ import annotations

import asyncio
import json
import os
import random
import sys
import tempfile
from http import HTTPStatus
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "4"))  # the stand-ins of this review

from cluster import (
    BOUNDS,
    HOST,
    KEY,
    Backend,
    Cluster,
    Machine,
    Record,
    configuration,
    control_call,
    exchange,
    request_bytes,
    route,
    run_case,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE = "kaba98a"
LATER_KEY = "s989anu6wsjnbanfqasn"
LATER_TENANT = "puhu251"
BURST = 100_000  # of the tenant on the later route, before and after the change of its quota
RATE_BEFORE = 100.0  # requests a second
RATE_AFTER = 0.01  # some 860 a day
BACKENDS = 6
WORK_S = 0.02
INTERVAL_S = 0.2  # between requests of a kind at a machine
CALM_S = 5.0  # before the change of the quota
WATCH_S = 12.0  # after `apply-s` past its acknowledgement
LEAST_RATIO = 0.25  # the rule: a quarter
LEAST_REQUESTS = 20  # the rule: 20 or more


class Kind:
    """A kind of request: its path and key, and how many were sent and served in the time that is judged."""

    def __init__(self, path: str, key: str) -> None:
        self.path = path
        self.key = key
        self.sent = 0
        self.served = 0


class Case:
    """The events, and what came of them."""

    def __init__(self, cluster: Cluster, record: Record) -> None:
        self.cluster = cluster
        self.record = record
        self.backends = [Backend(cluster, number, SERVICE, WORK_S) for number in range(BACKENDS)]
        self.first = Kind("/view/7", KEY)
        self.later = Kind("/later/7", LATER_KEY)
        self.judged_from = float("inf")

    def tenant(self, rate: float) -> dict[str, Any]:
        """The tenant on the later route."""
        spec = {"api-keys": [LATER_KEY], "precedence": 1, "rate-per-s": rate, "burst": BURST}
        return {"entry-kind": "tenants", "metadata": {"label": LATER_TENANT}, "spec": spec}

    async def change(self, generation: int, base_version: int, entries: list[dict[str, Any]]) -> None:
        """Send a change until it is acknowledged. Raises TimeoutError."""
        change = {
            "generation": generation,
            "base-version": base_version,
            "upsert": {"resource-list": entries},
            "remove": {},
        }
        body = json.dumps(change).encode()
        async with asyncio.timeout(20):
            while True:
                answer = await control_call(self.cluster.controls, "PATCH", "/-/config", body)
                if answer.status == HTTPStatus.OK:
                    break
                await asyncio.sleep(0.2)
        self.record.write(f"change {generation} acknowledged: {json.dumps(entries)}")

    async def client(self, machine: Machine, kind: Kind) -> None:
        """Send requests of a kind to one machine, one after the other."""
        while True:
            attempt = f"{random.getrandbits(64):016x}"
            headers = {
                "Host": HOST,
                "Attempt-Id": attempt,
                "Deadline-Ms": "2500",
                "Authorization": f"Token {kind.key}",
            }
            counts = self.record.now() >= self.judged_from
            message = request_bytes("GET", kind.path, headers)
            answer = await exchange(machine.address("front"), message, 2.5)
            self.record.write(f"client of {machine.name}: {kind.path} {attempt} answered {answer.status}")
            if counts:
                kind.sent += 1
                kind.served += answer.status == HTTPStatus.OK
            await asyncio.sleep(INTERVAL_S)

    async def play(self) -> int:
        """Play the events, and judge them; returns the exit code."""
        machines = self.cluster.machines
        for machine in machines:
            machine.start()
        for backend in self.backends:
            await backend.start()
        await self.cluster.configure(configuration(SERVICE))
        await self.cluster.until_ready(machines)
        await asyncio.sleep(BOUNDS["contact-s"])
        await self.change(2, 1, [route("later", "safe", SERVICE), self.tenant(RATE_BEFORE)])
        await asyncio.sleep(BOUNDS["apply-s"])
        clients = [
            asyncio.create_task(self.client(machine, kind))
            for machine in machines
            for kind in (self.first, self.later)
        ]
        await asyncio.sleep(CALM_S)
        if TROUBLE:
            await self.change(3, 2, [self.tenant(RATE_AFTER)])
        await asyncio.sleep(BOUNDS["apply-s"])
        self.judged_from = self.record.now()
        await asyncio.sleep(WATCH_S)
        for task in clients:
            task.cancel()
        return self.judge()

    def judge(self) -> int:
        """Apply the rule CONFIG; returns the exit code."""
        first, later = self.first, self.later
        result = f"first route: {first.served} of {first.sent} served; "
        result += f"later route: {later.served} of {later.sent}, with a burst of {BURST}"
        self.record.write(result)
        print(result)
        if later.sent < LEAST_REQUESTS or not first.served:
            return 2
        return 1 if later.served / later.sent < LEAST_RATIO * first.served / first.sent else 0


async def main() -> int:
    """Run the case; returns its exit code."""
    record = Record(Path(__file__).with_name("record.txt"))
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(Path(folder), record, others=1)
        try:
            return await Case(cluster, record).play()
        finally:
            cluster.stop()


if __name__ == "__main__":
    run_case(main)
