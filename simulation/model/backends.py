"""Simulated backends: slots, a queue, a slow start, heartbeats, and faults."""

from __future__ import annotations

import json
import random
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

from gateway.http_status import is_success
from gateway.programs.paths import BACKENDS
from gateway.state_machine import Address
from ingress.net.http_messages import Response
from simulation.model.network import Location
from simulation.model.payloads import body_of, seal
from simulation.model.record import Arrived, BackendEvent, Record
from simulation.model.simulator import Simulator
from simulation.model.tcp import TcpEndpoint
from simulation.spec import Service, Spec

DEREGISTRATION_TIMEOUT_S = 4.0  # time to get an acknowledgement; then the backend ends without one
Done = Callable[[Response | None], Any]


class BackendRequest:
    """A request at a backend."""

    __slots__ = ("attempt", "deadline", "done", "fields", "over", "path", "running")

    def __init__(
        self, attempt: str, path: str, fields: dict[bytes, bytes], deadline: float, done: Done
    ) -> None:
        self.attempt = attempt
        self.path = path
        self.fields = fields
        self.deadline = deadline
        self.done = done
        self.running = False
        self.over = False


class BackendEnvironment(Protocol):
    """The part of the deployment that a backend uses."""

    listeners: dict[Address, Backend]

    @property
    def simulator(self) -> Simulator:
        """The simulated time."""

    @property
    def spec(self) -> Spec:
        """The experiment."""

    @property
    def record(self) -> Record:
        """The record of the run."""

    def some_control(self, place: Location, rng: random.Random) -> Address | None:
        """Return one of the addresses of `control`."""

    def call(
        self,
        place: Location,
        address: Address | None,
        method: str,
        path: str,
        body: bytes,
        wait_s: float,
        done: Callable[[int, str, bytes], Any],
    ) -> None:
        """Call `control` at an address: `done(status, machine, body)`."""

    def work_s(self, path: str, rng: random.Random) -> float:
        """Return the work of a request in seconds, at a backend of normal speed."""

    def spoil(self, backend: Backend, data: bytes) -> list[tuple[float, bytes | None]]:
        """Return the parts in which an answer is sent."""


class Backend:
    """A backend process, which sends heartbeats after `start`."""

    def __init__(
        self,
        deployment: BackendEnvironment,
        service: Service,
        name: str,
        address: str,
        place: Location,
        pace: float,
    ) -> None:
        self.deployment = deployment
        self.service = service
        self.id = name
        self.address = address
        self.place = place
        self.simulator = deployment.simulator
        self.rng = deployment.simulator.random_generator()
        self.pace = pace  # factor on the usual work of a request
        self.began = self.simulator.now
        self.slow_start_until = 0.0
        self.running = 0
        self.queue = deque[BackendRequest]()
        self.connections = 0
        self.ends: dict[TcpEndpoint, None] = {}  # in the order in which they were opened
        self.draining = False
        self.ended = False
        self.silenced = False  # whether the machine is lost, so that nothing is sent
        self.calls = 0
        self.target: str | None = None  # from an acknowledgement; reset when a call there fails
        self.served = 0

    # Start and end.

    def start(self, cold_s: float) -> None:
        """Begin to serve and to send heartbeats."""
        self.slow_start_until = self.simulator.now + cold_s if cold_s else 0.0
        self.deployment.listeners[self.address] = self
        self.tell("starts", "")
        self.simulator.after(self.rng.uniform(0.0, 0.3), self.send_heartbeat)

    def tell(self, what: str, by: str) -> None:
        """Record an event of this backend's registration."""
        self.deployment.record.backend_events.append(
            BackendEvent(self.simulator.now, what, self.id, self.service.name, self.address, by)
        )

    def send_heartbeat(self) -> None:
        """Send a heartbeat, and schedule the next one."""
        if self.ended or self.draining or self.silenced:
            return
        self.call("PUT", self.on_heartbeat_response)

    def on_heartbeat_response(self, status: int, by: str, body: bytes) -> None:
        """Handle the answer to a heartbeat, and schedule the next one."""
        if is_success(status):
            self.simulator.after(
                self.deployment.spec.beat_s * self.rng.uniform(0.95, 1.05), self.send_heartbeat
            )
            target = json.loads(body or b"{}").get("beat-target")
            if target:
                self.target = target
        else:
            self.target = None
            self.simulator.after(0.2, self.send_heartbeat)

    def call(self, method: str, done: Callable[[int, str, bytes], None]) -> None:
        """Call the controller named by an acknowledgement, or any controller."""
        self.calls += 1
        to = self.target or self.deployment.some_control(self.place, self.rng)
        body = b""
        if method == "PUT":
            body = json.dumps(
                {
                    "target": self.service.name,
                    "address": self.address,
                    "zone": self.place.zone,
                    "generation": "v1",
                    "capacity": self.service.capacity,
                    "call-seq": self.calls,
                    "phase": "draining" if self.draining else "standing",
                    "cold-left-s": max(0.0, self.slow_start_until - self.simulator.now),
                }
            ).encode()
        self.deployment.call(self.place, to, method, f"{BACKENDS}{self.id}", body, 1.0, done)

    def leave(self, drain_s: float) -> None:
        """Shut down: announce the drain until it is acknowledged, serve during the drain, then deregister."""
        if self.draining or self.ended:
            return
        self.draining = True
        give_up = self.simulator.now + DEREGISTRATION_TIMEOUT_S

        def on_response(status: int, by: str, body: bytes) -> None:
            if is_success(status):
                self.tell("draining", by)
                self.simulator.after(drain_s + 0.3, last)
            elif self.simulator.now < give_up:
                self.target = None
                self.simulator.after(0.2, self.call, "PUT", on_response)
            else:
                self.simulator.after(1.0, self.end)

        def last() -> None:
            self.call("DELETE", over)

        def over(status: int, by: str, body: bytes) -> None:
            if is_success(status):
                self.tell("gone", by)
            self.simulator.after(0.5, self.end)

        self.call("PUT", on_response)

    def end(self) -> None:
        """End the process; requests in progress are lost."""
        if self.ended:
            return
        self.ended = True
        self.tell("ends", "")
        if self.deployment.listeners.get(self.address) is self:
            del self.deployment.listeners[self.address]
        for work in list(self.queue):
            work.over = True
        self.queue.clear()
        for end in list(self.ends):
            end.abort()

    def lose_host(self) -> None:
        """Handle the loss of the machine: no connection is closed or answered any more."""
        for end in self.ends:
            end.die(True)
        self.ends.clear()
        self.end()

    # Connections.

    def accept(self, end: TcpEndpoint) -> bool | None:
        """Accept a connection."""
        full = len(self.queue) >= self.service.queue and self.service.when_full == "reset"
        if self.ended or self.connections >= self.service.max_conns or full:
            return False
        self.connections += 1
        self.ends[end] = None
        end.receiver = BackendConnection(self, end)
        return True

    # Requests.

    def take(self, head: list[bytes], body: bytes, done: Done) -> BackendRequest | None:
        """Reject, queue or start a request. `done` receives the answer, or None for a broken connection."""
        fields = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(b":") for line in head[1:] if line)
        }
        path = head[0].split(b" ")[1].decode()
        attempt = fields.get(b"attempt-id", b"").decode()
        wanted = self.deployment.spec.day.bodies if head[0].startswith(b"POST ") else 0
        if attempt and body != body_of(attempt, wanted):
            path += " with another body"
        meant = fields.get(b"target-instance", self.id.encode()).decode()
        left = float(fields.get(b"deadline-ms", b"60000")) / 1000
        work = BackendRequest(attempt, path, fields, self.simulator.now + left, done)
        if meant != self.id:
            self.reject(work, 421, "another is meant")
            return None
        if not attempt:
            self.reject(work, 400, "no id")
            return None
        if self.running >= self.service.capacity and len(self.queue) >= self.service.queue:
            if self.service.when_full == "silent":
                self.record_arrival(work, False, "full, silent")
                return None
            if self.service.when_full == "reset":
                self.record_arrival(work, False, "full, reset")
                done(None)
                return None
            self.reject(work, 503, "full")
            return None
        self.queue.append(work)
        self.proceed()
        return work

    def record_arrival(self, work: BackendRequest, ran: bool, why: str = "") -> None:
        """Record the arrival of a request, and whether it runs."""
        tenant = work.fields.get(b"tenant", b"").decode()
        self.deployment.record.arrived.append(
            Arrived(self.simulator.now, work.attempt, self.id, self.service.name, tenant, work.path, ran, why)
        )

    def reject(self, work: BackendRequest, status: int, why: str) -> None:
        """Reject a request without running it."""
        self.record_arrival(work, False, why)
        work.done(
            Response(
                status,
                {b"attempt-id": work.attempt.encode(), b"not-executed": b"1", **self.load()},
                b"",
                True,
            )
        )

    def proceed(self) -> None:
        """Start queued requests while slots are free."""
        while self.queue and self.running < self.service.capacity:
            work = self.queue.popleft()
            if work.over:
                continue
            if self.simulator.now >= work.deadline:
                self.reject(work, 503, "its time is over")
                continue
            self.running += 1
            work.running = True
            self.record_arrival(work, True)
            took = self.deployment.work_s(work.path, self.rng) * self.pace
            if self.simulator.now < self.slow_start_until:
                took *= 2.0
            if self.service.slow_when_full and self.running >= self.service.capacity:
                took *= self.service.slow_when_full
            self.simulator.after(min(took, work.deadline - self.simulator.now), self.finish, work, took)

    def finish(self, work: BackendRequest, took: float) -> None:
        """End a request whose work is done or whose time limit has passed."""
        if not work.running:
            return
        work.running = False
        self.running -= 1
        if self.ended:
            return
        self.served += 1
        late = self.simulator.now >= work.deadline - 1e-9
        work.over = True
        if late:
            work.done(Response(504, {b"attempt-id": work.attempt.encode(), **self.load()}, b"", True))
        else:
            body = f"{self.id} ran {work.path} for {work.attempt}\n".encode()
            headers = {b"attempt-id": work.attempt.encode(), b"backend-seal": seal(work.attempt, body)}
            work.done(Response(200, {**headers, **self.load()}, body, True))
        self.proceed()

    def drop(self, work: BackendRequest) -> None:
        """Drop a request whose caller has disconnected."""
        work.over = True
        if work.running:
            work.running = False
            self.running -= 1
            self.proceed()

    def load(self) -> dict[bytes, bytes]:
        """Return the header that reports this backend's load."""
        if not self.service.tells_load:
            return {}
        return {b"backend-load": b"%d,%d,%d" % (self.running, len(self.queue), self.service.capacity)}


class BackendConnection:
    """A connection at a backend, which carries one request at a time."""

    def __init__(self, backend: Backend, end: TcpEndpoint) -> None:
        self.backend = backend
        self.end = end
        self.buffer = b""
        self.work: BackendRequest | None = None
        self.busy = False
        self.used = backend.simulator.now
        backend.simulator.after(backend.service.idle_s, self.rest)

    def connection_made(self, transport: Any) -> None:
        """Send nothing before a request."""

    def eof_received(self) -> bool:
        """Close, as the client has ended its sending."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the request in progress, as the client has closed the connection."""
        self.backend.connections -= 1
        self.backend.ends.pop(self.end, None)
        if self.work is not None and not self.work.over:
            self.backend.drop(self.work)

    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""
        self.buffer += data
        if not self.busy:
            self.proceed()

    def proceed(self) -> None:
        """Handle the next complete request in the buffer."""
        head, found, rest = self.buffer.partition(b"\r\n\r\n")
        if not found or self.backend.ended:
            if self.backend.ended:
                self.end.abort()
            return
        lines = head.split(b"\r\n")
        length = next((int(line[15:]) for line in lines if line[:15].lower() == b"content-length:"), 0)
        if len(rest) < length:
            return
        self.buffer = rest[length:]
        self.busy = True
        self.work = self.backend.take(lines, rest[:length], self.answer)

    def rest(self) -> None:
        """Close the connection after its idle timeout."""
        idle_s = self.backend.service.idle_s
        now = self.backend.simulator.now
        if self.end.closed or self.end.lost:
            return
        if self.busy or now - self.used < idle_s:
            self.backend.simulator.after(idle_s if self.busy else self.used + idle_s - now + 0.01, self.rest)
        else:
            self.end.close()

    def answer(self, answer: Response | None) -> None:
        """Send an answer, possibly changed by a fault."""
        backend = self.backend
        self.busy = False
        self.used = backend.simulator.now
        if answer is None or backend.ended:
            self.end.abort()
            return
        closes = backend.draining or backend.rng.random() < backend.service.closes
        data = write(answer, closes)
        sent = backend.deployment.spoil(backend, data)
        for delay, part in sent:
            call = self.end.abort if part is None else partial(self.end.write, part)
            if delay:
                backend.simulator.after(delay, call)
            else:
                call()
        if closes and len(sent) == 1:
            self.end.close()
        elif self.buffer:
            self.proceed()


def write(answer: Response, close: bool = False) -> bytes:
    """Return an answer as bytes."""
    lines = b"".join(b"%s: %s\r\n" % (name.title(), value) for name, value in answer.headers.items())
    return b"HTTP/1.1 %d X\r\n%s%sContent-Length: %d\r\n\r\n%s" % (
        answer.status,
        lines,
        b"Connection: close\r\n" if close else b"",
        len(answer.body),
        answer.body,
    )
