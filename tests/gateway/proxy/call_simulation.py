"""A proxy in memory, between clients and backends that a schedule drives byte by byte.

Time is simulated and there are no sockets; the connections run the code of the proxy itself. A request that
was completely written to a backend runs there, also if its connection has ended since, unless the backend
has rejected it.
"""

from __future__ import annotations

import asyncio
import json
import random
import zlib
from collections import Counter, deque
from collections.abc import Callable
from typing import Any, NamedTuple, cast

from result import Ok

from gateway.config import document
from gateway.config.routing import CompiledConfig
from gateway.proxy import service as services
from gateway.proxy.decisions import Decisions
from gateway.proxy.events import PeersChanged
from gateway.proxy.ingress import ProxyIngress
from gateway.proxy.retry_budget import RetryBudget
from gateway.quota.quota_client import QuotaClient
from ingress import interface as io
from ingress.net import upstream as real
from simulation.model.proxy_sockets import SimulatedServer, SimulatedServerConnection
from simulation.model.simulator import Process, Simulator
from tests.gateway.proxy.proxy_fixture import entry, route

CONNECT_S, IDLE_S = 2.0, 10.0
CLIENT_TIMEOUT_S = 4.0
LARGE = 70_000  # bytes; more than the proxy buffers
PROMISES = (429, 503, 408, 421)
SERVICES = ("s1", "s2")


def public_routes() -> CompiledConfig:
    """Return routes of one service that need no API key: a safe and an unsafe one."""
    entries = [
        route("read", "safe", public=True),
        route("order", "unsafe", public=True),
        *(entry("services", s, health_path="/h", max_conns=99, protocol="h1", tls=False) for s in SERVICES),
    ]
    whole = {"generation": 1, "base-version": 0, "resource-list": entries}
    parsed = document.parse(json.dumps(whole).encode())
    assert isinstance(parsed, Ok), parsed
    return CompiledConfig(parsed.ok_value)


def body_of(attempt: str, large: bool = False) -> bytes:
    """Return the body of all responses to an attempt. It quotes another response."""
    head = b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nBackend-Seal: forged\r\nContent-Length: 6\r\n\r\n"
    return head % attempt.encode() + b"forged" + b"." * (LARGE if large else 9)


def seal(attempt: str, body: bytes) -> bytes:
    return b"%s.%08x" % (attempt.encode(), zlib.crc32(body))


class Ask(NamedTuple):
    """A client's request. With `large`, its body (if any) and its response are too large to be buffered."""

    attempt: str
    safe: bool
    method: str
    large: bool
    version: str

    def raw(self) -> bytes:
        body = b"" if self.method != "POST" else self.attempt.encode() * (LARGE // 2 if self.large else 3)
        path = f"/{'read' if self.safe else 'order'}/{'large' if self.large else 'small'}"
        lines = [
            f"{self.method} {path} HTTP/{self.version}",
            "Host: a.example",
            f"Attempt-Id: {self.attempt}",
            f"Deadline-Ms: {1000 * CLIENT_TIMEOUT_S:.0f}",
            f"Content-Length: {len(body)}",
            "",
            "",
        ]
        return "\r\n".join(lines).encode() + body


class SimulatedTransport:
    """The common base of both transports, which also stands in for the socket of the connection."""

    pending, buffered = 0, ()

    def __init__(self, process: Process) -> None:
        self.process = process
        self.closed = self.reset = self.paused = False  # set by the ingress
        self.receiver: Any = None
        self.lost = False

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self

    def fileno(self) -> int:
        raise OSError("no descriptor here")

    def shutdown(self, how: int) -> None:
        """Do nothing: closing the transport shuts the socket down."""

    def setsockopt(self, level: int, option: int, value: Any) -> None:
        """Record SO_LINGER, with which a close sends a reset."""
        self.reset = True

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self.closed

    def write_eof(self) -> None:
        """Do nothing: simulated clients only see the end of the whole connection."""

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.report_connection_lost(None)

    abort = close

    def call_receiver(self, call: Callable[..., Any], *args: Any) -> None:
        """Call the receiver. As in an event loop, an exception ends the connection; it is also recorded."""
        try:
            self.process.enter(call, *args)
        except Exception as error:
            self.process.fault(error)
            self.closed = True
            self.report_connection_lost(error)

    def report_connection_lost(self, error: Exception | None) -> None:
        if not self.lost:
            self.lost = True
            self.process.call_soon(self.receiver.connection_lost, error)


class BackendLink(SimulatedTransport):
    """A connection to a backend.

    `socket_buffer` has what has arrived but the ingress has not read: bytes, the end of the stream (b"") or a
    reset (None). `in_transit` has what has not arrived yet.
    """

    def __init__(self, process: Process, lifetime: BackendLifetime) -> None:
        super().__init__(process)
        self.lifetime = lifetime
        self.socket_buffer, self.in_transit = deque[bytes | None](), deque[bytes]()
        self.written = bytearray()
        self.unanswered = deque[ArrivedRequest]()  # complete requests without an answer
        self.earlier_answers = list[bytes]()  # answers that the backend has given
        self.closed_by_backend = False
        self.body_cut = False  # whether an answer was sent in part, so that nothing may follow it
        self.write_blocked = False  # whether the kernel accepts no more bytes
        self.early_request: ArrivedRequest | None = None  # request accepted before it was complete

    def write(self, data: bytes) -> None:
        if self.closed:
            return
        self.written += data
        if self.closed_by_backend:
            self.socket_buffer.append(None)
        while (arrived := read(self.written)) is not None and len(self.written) >= arrived.size:
            del self.written[: arrived.size]
            if self.early_request is None:
                self.accept_request(arrived)
            self.early_request = None

    def accept_request(self, arrived: ArrivedRequest) -> None:
        arrived.turned_away = arrived.target not in ("", self.lifetime.name)
        self.unanswered.append(arrived)
        self.lifetime.arrived.append(arrived)

    def accept_incomplete_request(self) -> None:
        """Accept a request whose head has arrived, to be answered before the rest arrives."""
        if self.early_request is None and (arrived := read(self.written)) is not None:
            self.early_request = arrived
            self.accept_request(arrived)

    def get_write_buffer_size(self) -> int:
        return 1 if self.write_blocked else 0

    def recv(self, size: int, flags: int = 0) -> bytes:
        if not self.socket_buffer:
            raise BlockingIOError
        return self.socket_buffer[0] or b""

    def deliver(self, most: int = 1 << 30) -> None:
        """Let bytes arrive, of which the ingress reads at most `most`."""
        if self.in_transit:
            self.socket_buffer.append(self.in_transit.popleft())
        if self.lost or self.paused or not self.socket_buffer:
            return
        if data := self.socket_buffer[0]:
            self.socket_buffer.popleft()
            if data[most:]:
                self.socket_buffer.appendleft(data[most:])
            self.call_receiver(self.receiver.data_received, data[:most])
            return
        if self.socket_buffer.popleft() is None:
            self.closed = True
            self.report_connection_lost(ConnectionResetError("reset by the other side"))
        else:
            self.call_receiver(self.receiver.eof_received)
            self.close()


class ArrivedRequest:
    """A request that was completely written. It runs unless the backend rejects it."""

    def __init__(self, size: int, attempt: str, target: str, method: str, large: bool) -> None:
        self.size, self.attempt, self.target, self.method, self.large = size, attempt, target, method, large
        self.turned_away = False


def read(wrote: bytearray) -> ArrivedRequest | None:
    """Parse the first request of the written bytes; None until its head is complete."""
    head, found, rest = bytes(wrote[:4096]).partition(b"\r\n\r\n")
    if not found:
        return None
    line, *lines = head.decode().split("\r\n")
    fields = {k.lower(): v.strip() for k, _, v in (part.partition(":") for part in lines)}
    size = len(head) + 4 + int(fields.get("content-length", 0))
    method, path, _ = line.split(" ")
    return ArrivedRequest(
        size, fields["attempt-id"], fields.get("target-instance", ""), method, "large" in path
    )


class BackendLifetime:
    """A backend process from its start to its end, and the requests that arrived there."""

    def __init__(self, name: str, service: str, address: tuple[str, int]) -> None:
        self.name, self.service, self.address = name, service, address
        self.arrived = list[ArrivedRequest]()
        self.links = list[BackendLink]()
        self.known_to_ingress = False
        self.attempts_before_drain: set[str] | None = None  # that had begun to arrive when the drain began


class Upstream(real.Upstream):
    """The connections to backends. The schedule decides how opening one ends."""

    def __init__(self, harness: ProxyHarness, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop, CONNECT_S, IDLE_S, 100)
        self.harness = harness

    async def connect(self, pool: real.Pool) -> real.Connection:
        harness, future = self.harness, self.harness.process.create_future()
        lifetime = harness.lifetimes.get(pool.endpoint.address)
        how = harness.connect_results.pop(pool.endpoint.address, "taken")
        if lifetime is not None and how != "silent":
            harness.process.call_later(0.001, lambda: future.done() or future.set_result(how))
        async with asyncio.timeout(self.connect_timeout):
            if await future == "refused" or lifetime is None:
                raise ConnectionRefusedError
        link = BackendLink(harness.process, lifetime)
        connection = link.receiver = real.Connection(pool, cast(Any, link))
        lifetime.links.append(link)
        harness.links.append(link)
        self.connections.add(connection)
        connection.connection_made(cast(asyncio.Transport, link))
        return connection


class SimulatedClient(SimulatedTransport):
    """A client's connection.

    `asks` are the requests that have begun to arrive at the ingress, `received` the bytes of all responses.
    """

    def __init__(self, process: Process) -> None:
        super().__init__(process)
        self.asks = list[Ask]()
        self.complete_count = 0  # number of requests that have arrived completely
        self.unsent = bytearray()  # rest of the last request
        self.received = bytearray()
        self.gone = False  # whether the client has disconnected

    def write(self, data: bytes) -> None:
        if not self.closed:
            self.received += data

    def ended(self) -> bool:
        """Whether the connection looks properly closed to the client."""
        return self.closed and not (self.reset or self.gone)

    def send(self, data: bytes) -> None:
        if not (self.closed or self.gone):
            self.call_receiver(self.receiver.data_received, data)


class ProxyHarness:
    """An ingress, three backends, and clients. `inject_fault` may change the ingress before it starts."""

    def __init__(self, compiled_config: Any, spoil: Callable[[ProxyHarness], None] | None = None) -> None:
        self.simulator = Simulator(1)
        self.process = Process(self.simulator, "proxy", 0.0, 100.0, 0.0)
        loop, rng = self.process.loop, random.Random(1)
        self.lifetimes: dict[tuple[str, int], BackendLifetime] = {}
        self.all_lifetimes = list[BackendLifetime]()
        self.connect_results: dict[tuple[str, int], str] = {}
        self.links = list[BackendLink]()
        self.pending_backend_events = deque[Callable[[], None]]()  # not reported to the ingress yet
        self.client_connections = list[SimulatedClient]()
        self.asks = dict[str, Ask]()
        terms = services.settings(1, CONNECT_S, "z1")
        self.decisions = Decisions(
            QuotaClient(5.0, rng), terms, lambda n: RetryBudget(0.2, 1000.0, 10.0, n), rng
        )
        self.decisions.handle(self.process.time() - 9.0, PeersChanged(1, 0, 0))
        self.upstream = Upstream(self, loop)
        self.ingress = ProxyIngress(loop, terms, self.decisions, self.upstream, print, self.process.time)
        self.ingress.compiled_config = compiled_config
        self.server = SimulatedServer(loop, self.ingress, 50)
        if spoil is not None:
            spoil(self)
        for n, service in enumerate(("s1", "s1", "s2")):
            self.start_backend(service, ("10.0.0.1", 8000 + n))()

    # Backends.

    def start_backend(self, service: str, address: tuple[str, int]) -> Callable[[], None]:
        """Start a backend. Returns a function that reports it to the ingress."""
        lifetime = self.lifetimes[address] = BackendLifetime(f"i{len(self.all_lifetimes)}", service, address)
        self.all_lifetimes.append(lifetime)

        def tell() -> None:
            lifetime.known_to_ingress = True
            self.ingress.backend(lifetime.name, service, address, io.Phase.RUNNING, 0.0, 2)

        return tell

    def replace_backend(self, address: tuple[str, int], silent: bool) -> None:
        """End a backend, and start one of the other service on its address.

        Both changes are reported to the ingress later, in this order.
        """
        old = self.lifetimes[address]
        for link in old.links:
            link.closed_by_backend = True
            if not silent and not link.lost:
                link.socket_buffer.append(None)
        self.pending_backend_events.append(
            lambda: self.ingress.backend(old.name, old.service, address, io.Phase.DELETED, 0.0)
        )
        self.pending_backend_events.append(self.start_backend(SERVICES[old.service == "s1"], address))

    def drain_backend(self, address: tuple[str, int]) -> None:
        """Report to the ingress that a backend drains: no new request may be sent to it."""
        lifetime = self.lifetimes[address]
        if lifetime.known_to_ingress and lifetime.attempts_before_drain is None and lifetime.service == "s1":
            self.ingress.backend(lifetime.name, lifetime.service, address, io.Phase.STOPPING, 0.0)
            begun = [read(link.written) for link in lifetime.links]
            lifetime.attempts_before_drain = {a.attempt for a in (*lifetime.arrived, *begun) if a is not None}

    def run(self, seconds: float) -> None:
        self.simulator.run(self.simulator.now + seconds)

    # Clients.

    def client_connection(self) -> SimulatedClient:
        """Open a new client connection."""
        client_connection = SimulatedClient(self.process)
        client_connection.receiver = SimulatedServerConnection(self.server)
        client_connection.receiver.connection_made(client_connection)
        self.client_connections.append(client_connection)
        return client_connection

    def ask(self, client_connection: SimulatedClient, ask: Ask, kept: int) -> None:
        """Send a request without its last `kept` bytes."""
        self.send_rest(client_connection)
        if client_connection.closed or client_connection.gone:
            return
        raw = ask.raw()
        kept = min(kept, len(raw) - 1)
        self.asks[ask.attempt] = ask
        client_connection.asks.append(ask)
        client_connection.unsent = bytearray(raw[len(raw) - kept :])
        client_connection.send(raw[: len(raw) - kept])
        if not client_connection.unsent:
            client_connection.complete_count = len(client_connection.asks)

    def send_rest(self, client_connection: SimulatedClient) -> None:
        """Send the rest of the last request, and read responses again."""
        if client_connection.unsent:
            left, client_connection.unsent = bytes(client_connection.unsent), bytearray()
            client_connection.complete_count = len(client_connection.asks)
            client_connection.send(left)
        if client_connection.receiver.unread_since and not client_connection.lost:
            client_connection.call_receiver(client_connection.receiver.resume_writing)

    def disconnect(self, client_connection: SimulatedClient) -> None:
        """Close a client connection from the client's side."""
        client_connection.gone, client_connection.unsent = True, bytearray()
        client_connection.close()

    # The final checks.

    def settle(self) -> None:
        """Let all bytes in transit arrive, and all timers expire."""
        for _ in range(4):
            while self.pending_backend_events:
                self.pending_backend_events.popleft()()
            for client_connection in self.client_connections:
                self.send_rest(client_connection)
            for link in self.links:
                while (link.socket_buffer or link.in_transit) and not (link.lost or link.paused):
                    link.deliver()
            self.run(3.5)

    def runs(self) -> Counter[str]:
        """Return how often each attempt has run, or may still run."""
        return Counter(
            a.attempt for lifetime in self.all_lifetimes for a in lifetime.arrived if not a.turned_away
        )

    def check(self) -> None:
        """Check that each client has its own answer or a visible failure, and that nothing runs wrongly.

        An unsafe request must not run twice, nor after a response that promises that it never runs.
        """
        assert not self.process.faults, self.process.faults
        runs = self.runs()
        for lifetime in self.all_lifetimes:
            for request in lifetime.arrived:
                assert (
                    lifetime.attempts_before_drain is None
                    or request.attempt in lifetime.attempts_before_drain
                ), "is sent to a draining backend"
                assert (
                    request.turned_away or lifetime.service == "s1"
                ), f"{request.attempt} runs at another service"
        for name, ask in self.asks.items():
            assert ask.safe or runs[name] <= 1, f"{name} runs {runs[name]} times"
        for client_connection in self.client_connections:
            self.check_client(client_connection, runs)
        assert not self.ingress.pending and not self.decisions.service_by_request
        assert not any(s.active_requests or s.limit.in_flight for s in self.decisions.services.values())

    def check_client(self, client_connection: SimulatedClient, runs: Counter[str]) -> None:
        """Check the responses that a client has received."""
        data = bytes(client_connection.received)
        for n, ask in enumerate(client_connection.asks):
            status, fields, body, data = parse(data, ask.method == "HEAD", client_connection.ended())
            if body is None:
                assert (
                    client_connection.closed or n >= client_connection.complete_count
                ), f"{ask.attempt}: no answer, and no end"
                assert not data
                break
            if status < 300:
                assert fields.get("attempt-id") == ask.attempt, f"{ask.attempt} is answered with {fields}"
                wanted = body_of(ask.attempt, ask.large)
                assert fields.get("backend-seal", "").encode() == seal(ask.attempt, wanted)
                assert ask.method == "HEAD" or body == wanted, f"{ask.attempt}: {len(body)} of {len(wanted)}"
                assert runs[ask.attempt], f"{ask.attempt} has never run"
            if status in PROMISES and not ask.safe:
                assert not runs[ask.attempt], f"{ask.attempt} was promised by {status} not to run"
            if fields.get("connection") == "close":
                assert not data, "bytes behind the last answer"
        else:
            assert not data, "bytes that belong to no request"


def parse(data: bytes, bodiless: bool, ended: bool) -> tuple[int, dict[str, str], bytes | None, bytes]:
    """Parse the first response: status, headers, body and the bytes after it.

    The body is None if it is incomplete; then all remaining bytes belong to it. `ended` is whether the
    connection looks properly closed.
    """
    head, found, rest = data.partition(b"\r\n\r\n")
    if not found:
        assert b"HTTP/1.1 ".startswith(head[:9])
        return 0, {}, None, b""
    line, *lines = head.decode("latin-1").split("\r\n")
    status = int(line.split(" ")[1])
    if status < 200:
        return parse(rest, bodiless, ended)
    fields = {k.lower(): v.strip() for k, _, v in (part.partition(":") for part in lines)}
    if bodiless or status in (204, 304):
        return status, fields, b"", rest
    if "content-length" in fields:
        length = int(fields["content-length"])
        return status, fields, rest[:length] if len(rest) >= length else None, rest[length:]
    if fields.get("transfer-encoding") != "chunked":
        return status, fields, rest if ended else None, b""
    body = b""
    while True:
        size, found, rest = rest.partition(b"\r\n")
        if not found or len(rest) < int(size, 16) + 2:
            return status, fields, None, b""
        body, rest = body + rest[: int(size, 16)], rest[int(size, 16) + 2 :]
        if not int(size, 16):
            return status, fields, body, rest
