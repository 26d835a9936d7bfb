"""The simulated network: delay, loss, bandwidth and cuts of links, for datagrams and connections."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from simulation.model.simulator import Simulator

DATAGRAM_BYTES = 1150  # longer messages are sent over a connection, which loses none
RESEND_S = 0.2  # time until a connection retransmits lost data
MAX_QUEUE_S = 0.5  # a link drops datagrams if its queue is longer than this

Address = str


class Location(NamedTuple):
    """A place in the network: a name and a zone."""

    name: str
    zone: str


class LinkProfile(NamedTuple):
    """One-way delays in seconds, and their spread as a fraction.

    Also the probability that a datagram is lost or duplicated, and the bandwidth of a machine in bytes/s.
    """

    within: float = 0.0003
    between: float = 0.0014
    client: float = 0.008
    spread: float = 0.1
    loss: float = 0.001
    duplicates: float = 0.0
    bandwidth: float = 125e6


class Network:
    """All links. A cut has one direction, from a name or zone to a name or zone ("*": any)."""

    def __init__(self, simulator: Simulator, profile: LinkProfile) -> None:
        self.simulator = simulator
        self.profile = profile
        self.rng = simulator.random_generator()
        self.cuts: dict[tuple[str, str], int] = {}
        self.loss: dict[str, float] = {}  # additional loss of single machines
        self.slow: dict[str, float] = {}  # seconds added in both directions of single machines
        self.reduced_bandwidth: dict[str, float] = {}  # reduced bandwidth of single machines, in bytes/s
        self.idle_at: dict[str, float] = {}  # time at which a machine's link is idle again
        self.sent = dict[str, list[int]]()  # per kind: messages, bytes, bytes between zones
        self.observer: Callable[[Location, Location, str, Any], None] | None = None

    # Disruptions.

    def cut(self, source: str, to: str, on: bool = True) -> None:
        """Cut one direction, or restore it. It is restored once all cuts of it have ended."""
        count = self.cuts.get((source, to), 0) + (1 if on else -1)
        if count > 0:
            self.cuts[source, to] = count
        else:
            self.cuts.pop((source, to), None)

    def reaches(self, a: Location, b: Location) -> bool:
        """Whether packets get from one place to another now."""
        cuts = self.cuts
        if not cuts or a.name == b.name:
            return True
        for source in (a.name, a.zone, "*"):
            for to in (b.name, b.zone, "*"):
                if (source, to) in cuts and (source != "*" or to != "*"):
                    return False
        return True

    # Transmission.

    def delay(self, a: Location, b: Location, client: bool = False) -> float:
        """Return the delay of a packet in seconds."""
        profile = self.profile
        base = (
            profile.client
            if client
            else 0.00005
            if a.name == b.name
            else profile.within
            if a.zone == b.zone
            else profile.between
        )
        delay = base * (1.0 + profile.spread * self.rng.random())
        if self.slow:
            delay += self.slow.get(a.name, 0.0) + self.slow.get(b.name, 0.0)
        return delay

    def wait(self, a: Location, size: int) -> float:
        """Queue bytes on a machine's link, and return the seconds until they have been sent."""
        bandwidth = self.reduced_bandwidth.get(a.name)
        if bandwidth is None:
            if size < 4096:
                return 0.0
            bandwidth = self.profile.bandwidth
        now = self.simulator.now
        free = self.idle_at[a.name] = max(now, self.idle_at.get(a.name, 0.0)) + size / bandwidth
        return free - now

    def lossy(self, a: Location, b: Location) -> float:
        """Return the probability that a datagram is lost."""
        loss = self.profile.loss
        if self.loss:
            loss = 1 - (1 - loss) * (1 - self.loss.get(a.name, 0.0)) * (1 - self.loss.get(b.name, 0.0))
        return loss

    def count_message(self, a: Location, b: Location, kind: str, size: int) -> None:
        """Count a sent message."""
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
        """Send a message between two processes. `arrive(*args)` is called there unless it is lost."""
        self.count_message(a, b, kind, size)
        wait = self.wait(a, size)
        if (self.cuts and not self.reaches(a, b)) or (
            size <= DATAGRAM_BYTES
            and a.name != b.name
            and (wait > MAX_QUEUE_S or self.rng.random() < self.lossy(a, b))
        ):
            return
        delay = wait + self.delay(a, b)
        if size > DATAGRAM_BYTES:
            delay += self.delay(a, b) + self.delay(b, a)  # for opening a connection
        self.simulator.after(delay, arrive, *args)
        if self.profile.duplicates and self.rng.random() < self.profile.duplicates:
            self.simulator.after(delay + self.delay(a, b), arrive, *args)
