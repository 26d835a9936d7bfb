"""An example backend on loopback, which sends heartbeats to the system and serves requests.

    python examples/backend.py --id i-1 --service parcels --port 18430 --control 127.0.0.1:18402

On SIGTERM it announces its drain, keeps serving for a while, deregisters, and exits.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import hashlib
import json
import signal

from calls import Answer, call

QUEUE = 4  # requests that wait for a slot
DEREGISTRATION_TIMEOUT_S = 2.0  # then it exits without an acknowledgement
REASONS = {
    200: "OK",
    400: "Bad Request",
    421: "Misdirected Request",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class Request:
    """A complete request. Header names are in lower case."""

    def __init__(self, method: str, path: str, headers: dict[str, str], body: bytes) -> None:
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read the next request. Raises IncompleteReadError at the end, ValueError if it is malformed."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    method, path, _ = first.split(" ")
    fields = (line.partition(":") for line in lines)
    headers = {name.strip().lower(): value.strip() for name, _, value in fields}
    if "chunked" in headers.get("transfer-encoding", ""):
        return Request(method, path, headers, await read_chunks(reader))
    return Request(method, path, headers, await reader.readexactly(int(headers.get("content-length", 0))))


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a chunked body."""
    body = bytearray()
    while size := int((await reader.readline()).split(b";")[0], 16):
        body += (await reader.readexactly(size + 2))[:-2]
    while (await reader.readline()).strip():
        pass
    return bytes(body)


class Backend:
    """A backend process."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.o = options
        self.running = 0
        self.waiting = 0
        self.slots = asyncio.Semaphore(options.capacity)
        self.draining = asyncio.Event()
        self.calls = 0
        self.controls: list[str] = options.control

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection, one request at a time."""
        with contextlib.suppress(asyncio.IncompleteReadError, ValueError, OSError):
            while True:
                request = await read_request(reader)
                status, headers, body = await self.answer(request)
                headers["Content-Length"] = str(len(body))
                if self.draining.is_set():
                    headers["Connection"] = "close"
                lines = [f"HTTP/1.1 {status} {REASONS[status]}", *(f"{k}: {v}" for k, v in headers.items())]
                writer.write("\r\n".join([*lines, "", ""]).encode("latin-1"))
                writer.write(b"" if request.method == "HEAD" else body)
                await writer.drain()
                if self.draining.is_set():
                    break
        writer.close()

    async def answer(self, request: Request) -> tuple[int, dict[str, str], bytes]:
        """Return status, headers and body for a request."""
        attempt = request.headers.get("attempt-id", "")
        headers = {"Attempt-Id": attempt} if attempt else {}
        if request.path == self.o.health:
            status = 503 if self.draining.is_set() else 200
            return status, {"Instance-Id": self.o.id, "Backend-Load": self.load()}, b""
        if request.headers.get("target-instance", self.o.id) != self.o.id:
            return 421, headers | {"Not-Executed": "1", "Instance-Id": self.o.id}, b""
        if not attempt:
            return 400, {"Not-Executed": "1"}, b"an Attempt-Id is needed\n"
        left = float(request.headers.get("deadline-ms", "60000")) / 1000
        status = await self.work(left)
        headers["Backend-Load"] = self.load()
        if status == 503:
            headers["Not-Executed"] = "1"
        if status != 200:
            return status, headers, b""
        seal = hashlib.sha256(f"{self.o.id} {attempt}".encode()).hexdigest()
        body = f"{self.o.id} ran {request.method} {request.path} with {len(request.body)} bytes\n".encode()
        return 200, headers | {"Backend-Seal": seal[:24]}, body

    async def work(self, left: float) -> int:
        """Wait for a slot and do the work, within the remaining time of the request in seconds."""
        if self.running >= self.o.capacity and self.waiting >= QUEUE:
            return 503
        self.waiting += 1
        began = asyncio.get_running_loop().time()
        try:
            await asyncio.wait_for(self.slots.acquire(), left)
        except TimeoutError:
            return 503
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            left -= asyncio.get_running_loop().time() - began
            await asyncio.sleep(min(left, self.o.work_ms / 1000))
            return 200 if left >= self.o.work_ms / 1000 else 504
        finally:
            self.running -= 1
            self.slots.release()

    def load(self) -> str:
        """Return the numbers of running and waiting requests, and of slots."""
        return f"{self.running},{self.waiting},{self.o.capacity}"

    async def tell(self, method: str) -> bool:
        """Send a heartbeat or deregister, and return whether it was acknowledged.

        If it wasn't, the next call goes to another address.
        """
        self.calls += 1
        beat = {
            "target": self.o.service,
            "address": f"127.0.0.1:{self.o.port}",
            "zone": self.o.zone,
            "generation": "v1",
            "capacity": self.o.capacity,
            "cold-left-s": 0,
            "call-seq": self.calls,
            "phase": "draining" if self.draining.is_set() else "standing",
        }
        body = json.dumps(beat).encode() if method == "PUT" else None
        path = f"/-/backends/{self.o.id}"
        answer: Answer = await asyncio.to_thread(call, self.controls[0], method, path, body)
        if not 200 <= answer.status < 300:
            self.controls = [*self.controls[1:], self.controls[0]]
            return False
        with contextlib.suppress(ValueError, AttributeError):
            target = json.loads(answer.body or b"{}").get("beat-target")
            if target and target != self.controls[0]:
                self.controls = [target, *self.o.control]
        return True

    async def beat(self) -> None:
        """Send heartbeats until the drain."""
        while not self.draining.is_set():
            taken = await self.tell("PUT")
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.draining.wait(), self.o.beat_s if taken else 0.2)

    async def insist(self, method: str) -> None:
        """Repeat a call until it is acknowledged or the time is over."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DEREGISTRATION_TIMEOUT_S):
                while not await self.tell(method):
                    await asyncio.sleep(0.2)

    async def live(self) -> None:
        """Run from the first heartbeat to the last request."""
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, self.draining.set)
        await asyncio.start_server(self.serve, "127.0.0.1", self.o.port)
        await self.beat()
        await self.insist("PUT")
        await asyncio.sleep(self.o.drain_s)
        await self.insist("DELETE")


def read_options() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description="A stand-in backend on loopback.")
    parser.add_argument("--id", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--control", action="append", required=True, help="ip:port, may be given again")
    parser.add_argument("--zone", default="zone-a")
    parser.add_argument("--health", default="/health", help="path")
    parser.add_argument("--capacity", type=int, default=2)
    parser.add_argument("--work-ms", type=float, default=20)
    parser.add_argument("--beat-s", type=float, default=1)
    parser.add_argument("--drain-s", type=float, default=0.5)
    return parser.parse_args()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(Backend(read_options()).live())
