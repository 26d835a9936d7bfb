"""An acknowledged DELETE is forgotten when the core is killed: a late heartbeat revives the backend."""

from __future__ import annotations

import asyncio
import os
import random
import sys
import tempfile
from pathlib import Path

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
    exchange,
    request_bytes,
    run_case,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BEAT_LATE_S = 3.4  # "A beat may come seconds late"
KILL_AFTER_S = 0.3  # the core is killed so long after the acknowledgement
DOWN_S = 0.6  # "They may return within a second"
SERVES_ON_S = 6.0  # after the acknowledgement: drain-s and a little longer, at times many seconds
MARGIN_S = 0.3  # machines count as in touch only this long after the rules say so
SERVICE = "kaba98a"
BACKENDS = 6
CLIENTS = 5  # for each machine; each sends one request after the other
WORK_S = 0.12  # as the mean of `balance-view`
LEAST_SERVED = 100  # with fewer requests served, the case couldn't run


class Relay:
    """Holds the bytes of one call back for a time, then passes them on to `control`."""

    def __init__(self, record: Record, target: str) -> None:
        self.record = record
        self.target = target

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection with one call."""
        data = await reader.readuntil(b"\r\n\r\n")
        length = int(data.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
        data += await reader.readexactly(length)
        await asyncio.sleep(BEAT_LATE_S)
        answer = await exchange(self.target, data, 1.0)
        self.record.write(f"the late heartbeat is answered {answer.status}")
        writer.close()


class Sent:
    """A request of a client: when and where it was sent."""

    def __init__(self, at: float, machine: Machine) -> None:
        self.at = at
        self.machine = machine


class Case:
    """The events, and what came of them."""

    def __init__(self, cluster: Cluster, record: Record) -> None:
        self.cluster = cluster
        self.record = record
        self.backends = [Backend(cluster, number, SERVICE, WORK_S) for number in range(BACKENDS)]
        self.leaving = self.backends[0]
        self.sent: dict[str, Sent] = {}
        self.in_touch_from = 0.0  # machines of the core count as in touch from here on

    async def client(self, machine: Machine) -> None:
        """Send requests to one machine, one after the other."""
        while True:
            attempt = f"{random.getrandbits(64):016x}"
            headers = {
                "Host": HOST,
                "Attempt-Id": attempt,
                "Deadline-Ms": "2500",
                "Authorization": f"Token {KEY}",
            }
            self.sent[attempt] = Sent(self.record.now(), machine)
            message = request_bytes("GET", "/view/7", headers)
            answer = await exchange(machine.address("front"), message, 2.5)
            self.record.write(f"client of {machine.name}: {attempt} answered {answer.status}")
            await asyncio.sleep(0.05)

    async def start(self) -> None:
        """Start everything, and wait until all machines are ready."""
        for machine in self.cluster.machines:
            machine.start()
        for backend in self.backends:
            await backend.start()
        await self.cluster.configure(configuration(SERVICE))
        await self.cluster.until_ready(self.cluster.machines)

    async def send_late_heartbeat(self) -> asyncio.Task[object]:
        """Send the last heartbeat before the DELETE; it arrives seconds late."""
        relay = Relay(self.record, self.cluster.core[0].address("control"))
        server = await asyncio.start_server(relay.serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        path = f"/-/backends/{self.leaving.id}"
        beat = request_bytes("PUT", path, {"Host": "control"}, self.leaving.heartbeat())
        text = f"backend {self.leaving.id} sends heartbeat {self.leaving.seq}"
        self.record.write(f"{text}, which is on its way for {BEAT_LATE_S} s")
        return asyncio.create_task(exchange(address, beat, BEAT_LATE_S + 3))

    async def kill_core(self) -> None:
        """Kill all processes of the core, and start them again."""
        await asyncio.sleep(KILL_AFTER_S)
        for machine in self.cluster.core:
            machine.kill()
        self.record.write("all processes of the core killed")
        await asyncio.sleep(DOWN_S)
        for machine in self.cluster.core:
            machine.start()
        self.record.write("all processes of the core started again, their disks are as they were")
        self.in_touch_from = self.record.now() + BOUNDS["contact-s"] + MARGIN_S

    async def play(self) -> int:
        """Play the events, and judge them; returns the exit code."""
        await self.start()
        machines = self.cluster.machines
        clients = [asyncio.create_task(self.client(machine)) for machine in machines for _ in range(CLIENTS)]
        await asyncio.sleep(4)
        self.leaving.stop_beating()
        late = await self.send_late_heartbeat() if TROUBLE else None
        await asyncio.sleep(1.0)  # there is no answer; the next call is the DELETE, at the next controller
        gone_at = await self.leaving.deregister()
        if gone_at is None:
            self.record.write("the DELETE was not acknowledged")
            return 2
        self.record.write(f"DELETE of {self.leaving.id} acknowledged")
        if TROUBLE:
            await self.kill_core()
        await asyncio.sleep(gone_at + SERVES_ON_S - self.record.now())
        await self.leaving.end()
        self.record.write(f"backend {self.leaving.id} ends")
        for task in clients:
            task.cancel()
        if late is not None:
            await late
        return self.judge(gone_at)

    def judge(self, gone_at: float) -> int:
        """Apply the rule DRAIN; returns the exit code."""
        broken = [
            (at, attempt)
            for at, attempt in self.leaving.arrivals
            if at > gone_at + BOUNDS["drain-s"] and self.sent[attempt].at >= self.in_touch_from
        ]
        for at, attempt in broken:
            sent = self.sent[attempt]
            text = f"DRAIN: {attempt}, sent at {sent.at:.3f} to {sent.machine.name}"
            later = at - gone_at
            self.record.write(
                f"{text}, reaches {self.leaving.id} at {at:.3f}, {later:.3f} s after the acknowledgement"
            )
        served = sum(len(backend.arrivals) for backend in self.backends)
        result = f"{served} requests run; {len(broken)} of them by the backend that is gone, too late"
        self.record.write(result)
        print(result)
        if served < LEAST_SERVED:
            return 2
        return 1 if broken else 0


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
