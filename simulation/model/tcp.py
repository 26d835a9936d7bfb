"""Simulated TCP connections: ordered bytes, ends, resets, and the effect of cuts."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from simulation.model.network import RESEND_S, Location, Network
from simulation.model.simulator import Process


class StreamProtocol(Protocol):
    """The receiver at an end of a connection, with the interface of asyncio's protocols."""

    def connection_made(self, transport: Any) -> None:
        """Handle that the connection is established."""

    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""

    def eof_received(self) -> Any:
        """Handle that the other side has ended its sending."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle that the connection has ended."""


DATA = 0
EOF = 1
RESET = 2


class TcpEndpoint:
    """One end of a connection, and the transport of its receiver.

    `patience` is how long bytes may stay unacknowledged, in seconds; None: without limit. Bytes for a process
    wait until it is free; any other receiver gets them at once.
    """

    __slots__ = (
        "buffered",
        "client",
        "closed",
        "free_at",
        "lost",
        "network",
        "over",
        "patience",
        "paused",
        "peer",
        "pending",
        "place",
        "process",
        "receiver",
        "silent",
        "stuck_at",
        "taken_bytes",
        "waiting",
    )

    def __init__(
        self, network: Network, place: Location, process: Process | None, client: bool, patience: float | None
    ) -> None:
        self.network = network
        self.place = place
        self.process = process
        self.client = client
        self.patience = patience
        self.peer: TcpEndpoint
        self.receiver: StreamProtocol | None = None
        self.waiting = deque[tuple[int, bytes]]()  # packets that wait for the end of a cut
        self.buffered = deque[tuple[int, bytes]]()  # packets received while reading is paused
        self.stuck_at: float | None = None
        self.free_at = 0.0
        self.pending = 0
        self.taken_bytes = 0
        self.closed = False  # whether this side has closed
        self.over = False  # whether the other side has ended its sending or the connection
        self.lost = False  # whether the receiver knows that the connection has ended
        self.paused = False
        self.silent = False  # whether the machine has no power

    # The transport interface.

    def write(self, data: bytes) -> None:
        """Send bytes."""
        if not self.closed and data:
            self.push(DATA, bytes(data))

    def write_eof(self) -> None:
        """End the sending."""
        if not self.closed:
            self.push(EOF, b"")

    def close(self) -> None:
        """Close; with unread bytes the other side gets a reset."""
        if not self.closed:
            self.closed = True
            self.push(RESET if self.pending or self.buffered else EOF, b"")
            self.tell(None)

    def abort(self) -> None:
        """Close with a reset."""
        if not self.closed:
            self.closed = True
            self.waiting.clear()
            self.push(RESET, b"")
            self.tell(None)

    def is_closing(self) -> bool:
        """Whether this side has closed."""
        return self.closed

    def get_write_buffer_size(self) -> int:
        """Part of a transport's interface: writes are never buffered here."""
        return 0

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Part of a transport's interface: this is its own socket."""
        return self

    def pause_reading(self) -> None:
        """Buffer received bytes from now on."""
        self.paused = True

    def resume_reading(self) -> None:
        """Pass on buffered and further bytes."""
        self.paused = False
        while self.buffered and not self.paused:
            self.give(*self.buffered.popleft())

    # The socket interface.

    def fileno(self) -> int:
        """Part of a socket's interface: there is no descriptor."""
        raise OSError("no descriptor in the model")

    def shutdown(self, how: int) -> None:
        """Do nothing: closing the transport shuts the connection down."""

    def setsockopt(self, level: int, option: int, value: Any) -> None:
        """Do nothing: an aborted connection is always reset."""

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Return the first unread byte, as with `MSG_PEEK`."""
        if self.over:
            return b""
        if self.pending or self.buffered:
            return b"?"
        raise BlockingIOError

    # Transmission.

    def push(self, kind: int, data: bytes) -> None:
        """Queue a packet, in order."""
        self.waiting.append((kind, data))
        if self.stuck_at is None:
            self.pump()

    def pump(self) -> None:
        """Send queued packets, as far as the network allows."""
        network = self.network
        simulator = self.network.simulator
        while self.waiting:
            if self.silent or self.peer.silent or not network.reaches(self.place, self.peer.place):
                if self.stuck_at is None:
                    self.stuck_at = simulator.now
                simulator.after(RESEND_S, self.again)
                return
            self.stuck_at = None
            kind, data = self.waiting.popleft()
            if data and not (self.client or self.peer.client):
                network.count_message(self.place, self.peer.place, "requests", len(data))
            delay = network.delay(self.place, self.peer.place, self.client or self.peer.client)
            if network.loss and network.rng.random() < network.lossy(self.place, self.peer.place):
                delay += RESEND_S
            when = max(self.free_at, simulator.now + delay + network.wait(self.place, len(data)))
            self.free_at = when
            simulator.at(when, self.peer.arrive, kind, data)

    def again(self) -> None:
        """Retransmit packets that a cut has blocked, until `patience` is exceeded."""
        now = self.network.simulator.now
        if self.silent or self.stuck_at is None:
            return
        if self.patience is not None and now - self.stuck_at > self.patience:
            self.waiting.clear()
            self.stuck_at = None
            self.closed = True
            self.tell(TimeoutError("nothing is acknowledged"))
        elif now - self.stuck_at < 60.0:
            self.pump()

    def arrive(self, kind: int, data: bytes) -> None:
        """Handle a packet that has arrived over the link."""
        if self.silent:
            return
        if self.closed:
            if kind == DATA:
                self.push(RESET, b"")
            return
        if kind != DATA:
            self.over = True
        if self.process is None:
            self.take(kind, data)
        elif not self.process.ended:
            self.pending += 1
            self.process.enter(self.taken, kind, data)

    def taken(self, kind: int, data: bytes) -> None:
        """Handle bytes that have arrived, in order."""
        self.pending -= 1
        try:
            self.take(kind, data)
        except Exception as error:
            if self.process is None:
                raise
            self.process.fault(error)

    def take(self, kind: int, data: bytes) -> None:
        """Pass arrived bytes on, unless reading is paused."""
        if self.paused and kind != RESET:
            self.buffered.append((kind, data))
        else:
            self.give(kind, data)

    def give(self, kind: int, data: bytes) -> None:
        """Call the receiver."""
        if self.receiver is None or self.lost:
            return
        if kind == DATA:
            if not self.closed:
                self.taken_bytes += len(data)
                self.receiver.data_received(data)
        elif kind == EOF:
            if not self.closed and not self.receiver.eof_received():
                self.close()
        else:
            self.closed = True
            self.tell(ConnectionResetError("reset by the other side"))

    def tell(self, error: Exception | None) -> None:
        """End this side, and notify the receiver outside of its own call."""
        if self.lost or self.receiver is None:
            return
        self.lost = True
        if self.process is None:
            self.network.simulator.after(0.0, self.receiver.connection_lost, error)
        else:
            self.process.ends.pop(self, None)
            self.process.call_soon(self.receiver.connection_lost, error)

    def die(self, power: bool) -> None:
        """Handle the end of the process: the kernel resets the connection unless it has lost power."""
        self.lost = True
        if power:
            self.silent = True
        elif not self.closed:
            self.closed = True
            self.push(RESET, b"")


def connect(
    network: Network,
    place: Location,
    process: Process | None,
    target: Location,
    client: bool,
    patience: float | None,
    accept: Callable[[TcpEndpoint], bool | None],
    made: Callable[[TcpEndpoint | None], Any],
) -> None:
    """Open a connection.

    `accept(end)` is called at the other side: True to accept (it sets the receiver of the end), False to
    refuse, None for no answer. `made(end)` is called here, with None after a refusal.
    """
    simulator = network.simulator
    mine = TcpEndpoint(network, place, process, client, patience)
    theirs = TcpEndpoint(network, target, None, False, None)
    mine.peer = theirs
    theirs.peer = mine

    def arrived() -> None:
        if not network.reaches(target, place):
            return
        answer = accept(theirs)
        if answer is not None:
            simulator.after(network.delay(target, place, client), answered, answer)

    def answered(taken: bool) -> None:
        if process is None:
            made(mine if taken else None)
        else:
            process.enter(made, mine if taken else None)

    if network.reaches(place, target):
        delay = network.delay(place, target, client)
        if network.loss and network.rng.random() < network.lossy(place, target):
            delay += 1.0  # a lost SYN is retransmitted after 1 s
        simulator.after(delay, arrived)
