"""TCP connections between two places: bytes in order, ends, resets, and what a cut makes of them."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from simulation.model.network import RESEND_S, Location, Network
from simulation.model.simulator import Process


class StreamProtocol(Protocol):
    """What is at an end: as asyncio's protocols."""

    def connection_made(self, transport: Any) -> None:
        """The connection is established."""

    def data_received(self, data: bytes) -> None:
        """Bytes have arrived."""

    def eof_received(self) -> Any:
        """The other side has ended its sending."""

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""


DATA = 0
EOF = 1
RESET = 2


class TcpEndpoint:
    """One end of a connection, and the transport of what is there.

    `patience` is how long bytes may go unacknowledged, in seconds; None: for ever. What arrives for a
    process waits until that gets round to it, anything else takes it at once.
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
        self.waiting = deque[tuple[int, bytes]]()  # that a cut holds up
        self.buffered = deque[tuple[int, bytes]]()  # that has come while reading is paused
        self.stuck_at: float | None = None
        self.free_at = 0.0
        self.pending = 0
        self.taken_bytes = 0
        self.closed = False  # by this side
        self.over = False  # the other side has ended its sending, or all
        self.lost = False  # its taker was told
        # silent: its machine is without power
        self.paused = False
        self.silent = False

    # As a transport.

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
        """Keep what arrives from now on."""
        self.paused = True

    def resume_reading(self) -> None:
        """Pass on what was kept, and what arrives."""
        self.paused = False
        while self.buffered and not self.paused:
            self.give(*self.buffered.popleft())

    # As a socket.

    def fileno(self) -> int:
        """Part of a socket's interface: there is no descriptor."""
        raise OSError("no descriptor in the model")

    def shutdown(self, how: int) -> None:
        """The transport's end does that."""

    def setsockopt(self, level: int, option: int, value: Any) -> None:
        """A break is always a reset here."""

    def recv(self, size: int, flags: int = 0) -> bytes:
        """A look at what has come and isn't read, as `MSG_PEEK` gives it."""
        if self.over:
            return b""
        if self.pending or self.buffered:
            return b"?"
        raise BlockingIOError

    # Ways.

    def push(self, kind: int, data: bytes) -> None:
        """Send on, in order."""
        self.waiting.append((kind, data))
        if self.stuck_at is None:
            self.pump()

    def pump(self) -> None:
        """Send what is queued, as far as the network allows."""
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
        """Packets that a cut took are sent once more, as long as there is patience."""
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
        """Something has come over the link."""
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
        """A part of what the other side sent has arrived."""
        self.pending -= 1
        try:
            self.take(kind, data)
        except Exception as error:
            if self.process is None:
                raise
            self.process.fault(error)

    def take(self, kind: int, data: bytes) -> None:
        """Something has arrived: pass it on, unless reading is paused."""
        if self.paused and kind != RESET:
            self.buffered.append((kind, data))
        else:
            self.give(kind, data)

    def give(self, kind: int, data: bytes) -> None:
        """Hand something to what is here."""
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
        """This side is over: its taker is told, not from within its own call."""
        if self.lost or self.receiver is None:
            return
        self.lost = True
        if self.process is None:
            self.network.simulator.after(0.0, self.receiver.connection_lost, error)
        else:
            self.process.ends.pop(self, None)
            self.process.call_soon(self.receiver.connection_lost, error)

    def die(self, power: bool) -> None:
        """The process here ends: its kernel resets what is open, unless that has lost power too."""
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

    `accept(end)` is asked at the other side: True if it takes it (it sets the end's taker), False for a
    refusal, None for silence. `made(end)` is called here, with None for a refusal.
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
            delay += 1.0  # an opening packet is sent again after a second
        simulator.after(delay, arrived)
