"""Links: their delay, loss, bandwidth and cuts, for datagrams and for connections."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from simulation.model.simulator import Simulator

DATAGRAM_BYTES = 1150  # longer messages go over a connection, which loses none
RESEND_S = 0.2  # until a connection sends once more what was lost
FULL_S = 0.5  # of waiting packets, beyond which a link loses datagrams

Address = str


class Location(NamedTuple):
    """Where something stands: its own name, and its zone."""

    name: str
    zone: str


class LinkProfile(NamedTuple):
    """One-way delays in seconds, and their spread (a part of them).

    Also the chance that a datagram is lost or comes twice, and the bytes a second of a machine's link.
    """

    within: float = 0.0003
    between: float = 0.0014
    client: float = 0.008
    spread: float = 0.1
    loss: float = 0.001
    twice: float = 0.0
    bandwidth: float = 125e6


class Network:
    """All links. A cut goes one way: from a name or zone to a name or zone ("*": any)."""

    def __init__(self, simulator: Simulator, ways: LinkProfile) -> None:
        self.simulator = simulator
        self.ways = ways
        self.rng = simulator.chance()
        self.cuts: dict[tuple[str, str], int] = {}
        self.loss: dict[str, float] = {}  # of single machines, on top
        self.slow: dict[str, float] = {}  # seconds added on both ways of single machines
        self.squeezed: dict[str, float] = {}  # bytes a second of single machines' links
        self.free: dict[str, float] = {}  # when a machine's link has sent what it was given
        self.sent = dict[str, list[int]]()  # by kind: messages, bytes, bytes between zones
        self.watch: Callable[[Location, Location, str, Any], None] | None = None

    # Troubles.

    def cut(self, source: str, to: str, on: bool = True) -> None:
        """Cut one way, or join it again; cuts on top of each other are counted."""
        count = self.cuts.get((source, to), 0) + (1 if on else -1)
        if count > 0:
            self.cuts[source, to] = count
        else:
            self.cuts.pop((source, to), None)

    def reaches(self, a: Location, b: Location) -> bool:
        """Whether anything gets from one place to another now."""
        cuts = self.cuts
        if not cuts or a.name == b.name:
            return True
        for source in (a.name, a.zone, "*"):
            for to in (b.name, b.zone, "*"):
                if (source, to) in cuts and (source != "*" or to != "*"):
                    return False
        return True

    # Ways.

    def delay(self, a: Location, b: Location, client: bool = False) -> float:
        """Seconds for one packet."""
        w = self.ways
        base = (
            w.client
            if client
            else 0.00005
            if a.name == b.name
            else w.within
            if a.zone == b.zone
            else w.between
        )
        delay = base * (1.0 + w.spread * self.rng.random())
        if self.slow:
            delay += self.slow.get(a.name, 0.0) + self.slow.get(b.name, 0.0)
        return delay

    def wait(self, a: Location, size: int) -> float:
        """Seconds until so many bytes have gone out at a machine, after what went before."""
        bandwidth = self.squeezed.get(a.name)
        if bandwidth is None:
            if size < 4096:
                return 0.0
            bandwidth = self.ways.bandwidth
        now = self.simulator.now
        free = self.free[a.name] = max(now, self.free.get(a.name, 0.0)) + size / bandwidth
        return free - now

    def lossy(self, a: Location, b: Location) -> float:
        """The chance that a datagram is lost."""
        loss = self.ways.loss
        if self.loss:
            loss = 1 - (1 - loss) * (1 - self.loss.get(a.name, 0.0)) * (1 - self.loss.get(b.name, 0.0))
        return loss

    def count_message(self, a: Location, b: Location, kind: str, size: int) -> None:
        """Count what is sent."""
        row = self.sent.get(kind)
        if row is None:
            row = self.sent[kind] = [0, 0, 0]
        row[0] += 1
        row[1] += size
        if a.zone != b.zone:
            row[2] += size

    def message(
        self, a: Location, b: Location, kind: str, size: int, arrive: Callable[..., Any], *args: Any
    ) -> None:
        """Send a message between two own processes: `arrive(*args)` is called there, unless it is lost."""
        self.count_message(a, b, kind, size)
        wait = self.wait(a, size)
        if (self.cuts and not self.reaches(a, b)) or (
            size <= DATAGRAM_BYTES
            and a.name != b.name
            and (wait > FULL_S or self.rng.random() < self.lossy(a, b))
        ):
            return
        delay = wait + self.delay(a, b)
        if size > DATAGRAM_BYTES:
            delay += self.delay(a, b) + self.delay(b, a)  # a connection that has to be opened
        self.simulator.after(delay, arrive, *args)
        if self.ways.twice and self.rng.random() < self.ways.twice:
            self.simulator.after(delay + self.delay(a, b), arrive, *args)
