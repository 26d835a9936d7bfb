"""Attempts of clients, each a request to one ingress, and the connections that carry them."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Protocol

from gateway.http_status import is_success
from ingress.net.http_messages import ResponseReader
from simulation.model.client_requests import Request
from simulation.model.machines import Machine
from simulation.model.network import Location, Network
from simulation.model.payloads import body_of, seal
from simulation.model.processes import ProxyProcess
from simulation.model.record import Record
from simulation.model.simulator import Simulator
from simulation.model.tcp import TcpEndpoint, connect
from simulation.spec import Spec

CONNECT_S = 1.0


def read_after(lines: bytes) -> float:
    """Return the Retry-After of an answer."""
    _, found, rest = lines.partition(b"Retry-After: ")
    return float(rest.partition(b"\r\n")[0]) if found else 0.0


def judge(status: int, lines: bytes, body: bytes, attempt: str) -> str:
    """Return the error that a client can detect in an answer; empty if there is none."""
    if not is_success(status):
        return ""
    lower = lines.lower()
    if b"attempt-id: " + attempt.encode() not in lower:
        return "the answer to another request"
    _, found, rest = lower.partition(b"backend-seal: ")
    if not found:
        return "no seal"
    return "" if rest.partition(b"\r\n")[0] == seal(attempt, body) else "not the whole body"


class AttemptOwner(Protocol):
    """The part of the clients that an attempt and its connection use."""

    idle: dict[tuple[str, int], SimulatedClientConnection]

    @property
    def simulator(self) -> Simulator:
        """The simulated time."""

    @property
    def network(self) -> Network:
        """All links."""

    @property
    def spec(self) -> Spec:
        """The experiment."""

    @property
    def record(self) -> Record:
        """The record of the run."""

    @property
    def places(self) -> Mapping[str, Location]:
        """The places of the clients, by zone."""

    def over(
        self,
        request: Request,
        attempt: str,
        machine: Machine,
        status: int,
        after: float,
        fault: str,
        read: bool,
    ) -> None:
        """Handle the outcome of an attempt."""


class SimulatedClientConnection:
    """A client's connection to an ingress, which carries one attempt at a time."""

    def __init__(self, owner: AttemptOwner, machine: Machine, slot: tuple[str, int]) -> None:
        self.owner = owner
        self.machine = machine
        self.slot = slot
        self.end: TcpEndpoint | None = None
        self.reader = ResponseReader(streams_body=True)
        self.current: ClientAttempt | None = None
        self.open = False

    def connection_made(self, transport: Any) -> None:
        """Do nothing: requests are written when they arrive."""

    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""
        answers = self.reader.feed(data)
        if self.current is None:
            if answers or self.reader.partial or self.reader.broken:
                self.stray(data)
            return
        current = self.current
        if self.reader.broken and not answers:
            self.current = None
            current.end(0, 0.0, f"no answer: {self.reader.broken}")
            self.drop()
            return
        for answer in answers:
            self.current = None
            lines = b"".join(b"%s: %s\r\n" % (n.title(), v) for n, v in answer.headers.items())
            current.end(
                answer.status, read_after(lines), judge(answer.status, lines, answer.body, current.attempt)
            )
            if answer.keep and len(answers) == 1:
                self.owner.idle[self.slot] = self
            else:
                self.drop()
            return

    def stray(self, data: bytes) -> None:
        """Handle unexpected bytes, which are a fault only if they look like a success."""
        if b" 200 " in data[:20]:
            self.owner.record.faults.append(f"MIXED: a success on an idle connection at {self.machine.name}")

    def eof_received(self) -> bool:
        """Close, as the server has ended its sending."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle that the server has closed the connection."""
        self.open = False
        if self.owner.idle.get(self.slot) is self:
            del self.owner.idle[self.slot]
        current, self.current = self.current, None
        if current is not None:
            current.end(0, 0.0, "", current.was_read())

    def drop(self) -> None:
        """Close the connection; it isn't used again."""
        self.open = False
        if self.owner.idle.get(self.slot) is self:
            del self.owner.idle[self.slot]
        if self.end is not None:
            self.end.close()


class ClientAttempt:
    """An attempt of a request at one ingress, over an idle or a new connection."""

    def __init__(self, owner: AttemptOwner, request: Request, attempt: str, machine: Machine) -> None:
        self.owner = owner
        self.request = request
        self.attempt = attempt
        self.machine = machine
        self.simulator = owner.simulator
        self.network = owner.network
        self.place = owner.places[request.zone]
        self.ended = False
        self.read_before = 0

    def process(self) -> ProxyProcess | None:
        """The process at the ingress."""
        found = self.machine.processes.get("proxy")
        return found if isinstance(found, ProxyProcess) else None

    def end(self, status: int, after: float = 0.0, fault: str = "", read: bool = True) -> None:
        """Record the outcome."""
        if not self.ended:
            self.ended = True
            self.owner.over(self.request, self.attempt, self.machine, status, after, fault, read)

    def begin(self) -> None:
        """Use an idle connection, or open one."""
        r = self.request
        slot = (r.zone, r.hashed)
        self.simulator.at(r.ends, self.give_up)
        known = self.owner.idle.get(slot)
        if known is not None and known.machine is self.machine and known.open and not r.tried_ingresses:
            del self.owner.idle[slot]
            self.connection = known
            self.write()
            return
        self.connection = SimulatedClientConnection(self.owner, self.machine, slot)
        self.simulator.after(CONNECT_S, self.no_connection)
        connect(self.network, self.place, None, self.machine.place, True, None, self.accept, self.made)

    def accept(self, end: TcpEndpoint) -> bool | None:
        """Return whether the server accepts the connection; None if nothing answers."""
        process = self.process()
        if process is None:
            return False if self.machine.power else None
        return process.server.accept(process, end)

    def made(self, end: TcpEndpoint | None) -> None:
        """Handle an established connection, or (None) a refused one."""
        if end is None:
            self.end(0, 0.0, "", False)
            return
        if self.ended:
            end.abort()
            return
        self.connection.end = end
        end.receiver = self.connection
        self.connection.open = True
        self.write()

    def no_connection(self) -> None:
        """Give up a connection that wasn't established in time."""
        if not self.connection.open and self.connection.end is None:
            self.end(0, 0.0, "no connection", False)

    def write(self) -> None:
        """Send the request."""
        r = self.request
        connection = self.connection
        assert connection.end is not None
        connection.current = self
        self.read_before = connection.end.peer.taken_bytes
        left = max(1, int(1000 * (r.ends - self.simulator.now)))
        body = b"" if r.kind.safe else body_of(self.attempt, self.owner.spec.day.bodies)
        length = b"" if r.kind.safe else b"Content-Length: %d\r\n" % len(body)
        connection.end.write(
            b"%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n"
            b"Authorization: Token %s\r\n%s\r\n%s"
            % (
                b"GET" if r.kind.safe else b"POST",
                r.path.encode(),
                r.host.encode(),
                self.attempt.encode(),
                left,
                r.key.encode(),
                length,
                body,
            )
        )

    def was_read(self) -> bool:
        """Whether the ingress has read any of the request."""
        end = self.connection.end
        return end is not None and end.peer.taken_bytes > self.read_before

    def give_up(self) -> None:
        """Give up, as the client has no time left."""
        if not self.ended:
            self.end(-1)
            if self.connection.current is self:
                self.connection.current = None
                self.connection.drop()
