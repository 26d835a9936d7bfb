"""A proxy's traffic plane in memory, between clients and backends that a schedule drives byte by byte.

Simulated time, the programs' own code on both sides, no sockets. A request that was written whole to a
backend runs there unless that has said otherwise, also when its connection has ended since.
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
PATIENCE_S = 4.0  # of clients
LARGE = 70_000  # bytes, more than is held whole
PROMISES = (429, 503, 408, 421)
SERVICES = ("s1", "s2")


def public() -> CompiledConfig:
    """Routes of one service that need no key: what may be repeated, and what may not."""
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
    """The one body of a try's answers. It quotes an answer, which nobody may take for one."""
    head = b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nBackend-Seal: forged\r\nContent-Length: 6\r\n\r\n"
    return head % attempt.encode() + b"forged" + b"." * (LARGE if large else 9)


def seal(attempt: str, body: bytes) -> bytes:
    return b"%s.%08x" % (attempt.encode(), zlib.crc32(body))


class Ask(NamedTuple):
    """A client's request. `large`: it, if it has a body, and its answer are more than is held whole."""

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
            f"Deadline-Ms: {1000 * PATIENCE_S:.0f}",
            f"Content-Length: {len(body)}",
            "",
            "",
        ]
        return "\r\n".join(lines).encode() + body


class SimulatedTransport:
    """What both kinds of transport here have in common, and a socket as far as one is asked for."""

    pending, buffered = 0, ()

    def __init__(self, process: Process) -> None:
        self.process = process
        self.closed = self.reset = self.paused = False  # by the ingress
        self.receiver: Any = None
        self.lost = False

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self

    def fileno(self) -> int:
        raise OSError("no descriptor here")

    def shutdown(self, how: int) -> None:
        """The transport's end does that."""

    def setsockopt(self, level: int, option: int, value: Any) -> None:
        """An end that is not to look like one."""
        self.reset = True

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self.closed

    def write_eof(self) -> None:
        """Clients here see an end where all has ended."""

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.tell(None)

    abort = close

    def hand(self, call: Callable[..., Any], *args: Any) -> None:
        """Hand something to what is here; what it raises ends the connection, as in a loop, and is kept."""
        try:
            self.process.enter(call, *args)
        except Exception as error:
            self.process.fault(error)
            self.closed = True
            self.tell(error)

    def tell(self, error: Exception | None) -> None:
        if not self.lost:
            self.lost = True
            self.process.call_soon(self.receiver.connection_lost, error)


class BackendLink(SimulatedTransport):
    """A connection to a backend. `kernel` has what came and the ingress has not read: bytes, their end (b"")
    or a reset (None); `coming` what has yet to come."""

    def __init__(self, process: Process, lifetime: BackendLifetime) -> None:
        super().__init__(process)
        self.lifetime = lifetime
        self.kernel, self.coming = deque[bytes | None](), deque[bytes]()
        self.wrote = bytearray()
        self.asked = deque[ArrivedRequest]()  # whole requests that the backend has not answered
        self.past = list[bytes]()  # answers that were given
        self.forgotten = self.cut = False  # cut: nothing comes behind a part of an answer
        self.jammed = False  # the kernel takes nothing
        self.early: ArrivedRequest | None = None  # what was taken for whole before it was

    def write(self, data: bytes) -> None:
        if self.closed:
            return
        self.wrote += data
        if self.forgotten:
            self.kernel.append(None)
        while (arrived := read(self.wrote)) is not None and len(self.wrote) >= arrived.size:
            del self.wrote[: arrived.size]
            if self.early is None:
                self.take(arrived)
            self.early = None

    def take(self, arrived: ArrivedRequest) -> None:
        arrived.turned_away = arrived.target not in ("", self.lifetime.name)
        self.asked.append(arrived)
        self.lifetime.came.append(arrived)

    def hurry(self) -> None:
        """The backend takes a request for whole whose head has come, and answers before the rest does."""
        if self.early is None and (arrived := read(self.wrote)) is not None:
            self.early = arrived
            self.take(arrived)

    def get_write_buffer_size(self) -> int:
        return 1 if self.jammed else 0

    def recv(self, size: int, flags: int = 0) -> bytes:
        if not self.kernel:
            raise BlockingIOError
        return self.kernel[0] or b""

    def deliver(self, most: int = 1 << 30) -> None:
        """Something comes, and the ingress reads it, or up to so many bytes of it."""
        if self.coming:
            self.kernel.append(self.coming.popleft())
        if self.lost or self.paused or not self.kernel:
            return
        if data := self.kernel[0]:
            self.kernel.popleft()
            if data[most:]:
                self.kernel.appendleft(data[most:])
            self.hand(self.receiver.data_received, data[:most])
            return
        if self.kernel.popleft() is None:
            self.closed = True
            self.tell(ConnectionResetError("reset by the other side"))
        else:
            self.hand(self.receiver.eof_received)
            self.close()


class ArrivedRequest:
    """A request that was written whole. It runs unless the backend turns it away."""

    def __init__(self, size: int, attempt: str, target: str, method: str, large: bool) -> None:
        self.size, self.attempt, self.target, self.method, self.large = size, attempt, target, method, large
        self.turned_away = False


def read(wrote: bytearray) -> ArrivedRequest | None:
    """The first request of what was written, as soon as its head is whole."""
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
    """A backend from its start to its end, and what arrived there."""

    def __init__(self, name: str, service: str, address: tuple[str, int]) -> None:
        self.name, self.service, self.address = name, service, address
        self.came = list[ArrivedRequest]()
        self.links = list[BackendLink]()
        self.known = False  # to the ingress
        self.before: set[str] | None = None  # tries that had begun to come when it was told to leave


class Upstream(real.Upstream):
    """Connections to backends; only how one is opened is the schedule's."""

    def __init__(self, harness: ProxyHarness, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop, CONNECT_S, IDLE_S, 100)
        self.harness = harness

    async def connect(self, pool: real.Pool) -> real.Connection:
        harness, future = self.harness, self.harness.process.create_future()
        lifetime = harness.lifetimes.get(pool.endpoint.address)
        how = harness.dials.pop(pool.endpoint.address, "taken")
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
    """A client's connection. `asks` are those that have begun to come to the ingress, `said` all answers."""

    def __init__(self, process: Process) -> None:
        super().__init__(process)
        self.asks = list[Ask]()
        self.whole = 0  # of these, that have come whole
        self.left = bytearray()  # of a request, that is yet to come
        self.said = bytearray()
        self.gone = False  # the client

    def write(self, data: bytes) -> None:
        if not self.closed:
            self.said += data

    def ended(self) -> bool:
        """Whether the client sees what looks like an end in order."""
        return self.closed and not (self.reset or self.gone)

    def send(self, data: bytes) -> None:
        if not (self.closed or self.gone):
            self.hand(self.receiver.data_received, data)


class ProxyHarness:
    """One ingress, three backends, and clients. `spoil` may plant a fault in it before it begins."""

    def __init__(self, compiled_config: Any, spoil: Callable[[ProxyHarness], None] | None = None) -> None:
        self.simulator = Simulator(1)
        self.process = Process(self.simulator, "proxy", 0.0, 100.0, 0.0)
        loop, rng = self.process.loop, random.Random(1)
        self.lifetimes: dict[tuple[str, int], BackendLifetime] = {}
        self.all = list[BackendLifetime]()
        self.dials: dict[tuple[str, int], str] = {}
        self.links = list[BackendLink]()
        self.news = deque[Callable[[], None]]()  # that the ingress has not heard yet
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
            self.begin(service, ("10.0.0.1", 8000 + n))()

    # Backends.

    def begin(self, service: str, address: tuple[str, int]) -> Callable[[], None]:
        """A backend starts; returns what tells the ingress of it."""
        lifetime = self.lifetimes[address] = BackendLifetime(f"i{len(self.all)}", service, address)
        self.all.append(lifetime)

        def tell() -> None:
            lifetime.known = True
            self.ingress.backend(lifetime.name, service, address, io.Phase.RUNNING, 0.0, 2)

        return tell

    def reuse(self, address: tuple[str, int], silent: bool) -> None:
        """A backend ends, and one of the other service has its address. Told of, in this order, later."""
        old = self.lifetimes[address]
        for link in old.links:
            link.forgotten = True
            if not silent and not link.lost:
                link.kernel.append(None)
        self.news.append(lambda: self.ingress.backend(old.name, old.service, address, io.Phase.DELETED, 0.0))
        self.news.append(self.begin(SERVICES[old.service == "s1"], address))

    def stop(self, address: tuple[str, int]) -> None:
        """The ingress is told that a backend leaves: nothing new goes there."""
        lifetime = self.lifetimes[address]
        if lifetime.known and lifetime.before is None and lifetime.service == "s1":
            self.ingress.backend(lifetime.name, lifetime.service, address, io.Phase.STOPPING, 0.0)
            begun = [read(link.wrote) for link in lifetime.links]
            lifetime.before = {a.attempt for a in (*lifetime.came, *begun) if a is not None}

    def run(self, seconds: float) -> None:
        self.simulator.run(self.simulator.now + seconds)

    # Clients.

    def client_connection(self) -> SimulatedClient:
        """A client's new connection."""
        client_connection = SimulatedClient(self.process)
        client_connection.receiver = SimulatedServerConnection(self.server)
        client_connection.receiver.connection_made(client_connection)
        self.client_connections.append(client_connection)
        return client_connection

    def ask(self, client_connection: SimulatedClient, ask: Ask, kept: int) -> None:
        """Send a request, but for its last bytes."""
        self.push(client_connection)
        if client_connection.closed or client_connection.gone:
            return
        raw = ask.raw()
        kept = min(kept, len(raw) - 1)
        self.asks[ask.attempt] = ask
        client_connection.asks.append(ask)
        client_connection.left = bytearray(raw[len(raw) - kept :])
        client_connection.send(raw[: len(raw) - kept])
        if not client_connection.left:
            client_connection.whole = len(client_connection.asks)

    def push(self, client_connection: SimulatedClient) -> None:
        """Send what was kept back, and read on."""
        if client_connection.left:
            left, client_connection.left = bytes(client_connection.left), bytearray()
            client_connection.whole = len(client_connection.asks)
            client_connection.send(left)
        if client_connection.receiver.unread_since and not client_connection.lost:
            client_connection.hand(client_connection.receiver.resume_writing)

    def leave(self, client_connection: SimulatedClient) -> None:
        """A client goes."""
        client_connection.gone, client_connection.left = True, bytearray()
        client_connection.close()

    # The end.

    def settle(self) -> None:
        """All that is under way arrives, and all times run out."""
        for _ in range(4):
            while self.news:
                self.news.popleft()()
            for client_connection in self.client_connections:
                self.push(client_connection)
            for link in self.links:
                while (link.kernel or link.coming) and not (link.lost or link.paused):
                    link.deliver()
            self.run(3.5)

    def runs(self) -> Counter[str]:
        """How often each try has run, or may yet."""
        return Counter(a.attempt for lifetime in self.all for a in lifetime.came if not a.turned_away)

    def check(self) -> None:
        """Each caller has its own answer or an honest break; nothing runs twice, nor after a promise."""
        assert not self.process.faults, self.process.faults
        runs = self.runs()
        for lifetime in self.all:
            for came in lifetime.came:
                assert (
                    lifetime.before is None or came.attempt in lifetime.before
                ), "goes to a backend that leaves"
                assert came.turned_away or lifetime.service == "s1", f"{came.attempt} runs at another service"
        for name, ask in self.asks.items():
            assert ask.safe or runs[name] <= 1, f"{name} runs {runs[name]} times"
        for client_connection in self.client_connections:
            self.heard(client_connection, runs)
        assert not self.ingress.pending and not self.decisions.service_by_request
        assert not any(s.active_requests or s.limit.in_flight for s in self.decisions.services.values())

    def heard(self, client_connection: SimulatedClient, runs: Counter[str]) -> None:
        """What a client makes of its answers."""
        data = bytes(client_connection.said)
        for n, ask in enumerate(client_connection.asks):
            status, fields, body, data = parse(data, ask.method == "HEAD", client_connection.ended())
            if body is None:
                assert (
                    client_connection.closed or n >= client_connection.whole
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
    """The first answer: status, headers, body and what is behind it; the body is None if it isn't whole, and
    then all that is left is a part of it. `ended`: the connection has come to what looks like its end."""
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
