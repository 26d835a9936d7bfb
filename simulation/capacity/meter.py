"""Counts messages, bytes and processor time of a process without traffic; messages are serialized."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from time import thread_time
from typing import Any, Final, NamedTuple

from gateway.consensus.consensus_pb2 import Kind
from gateway.consensus.consensus_pb2 import Message as ConsensusMessage
from gateway.membership.membership_pb2 import Message as MembershipMessage
from gateway.programs.startup import CONSENSUS, MEMBERSHIP, QUOTA
from gateway.quota.quota_pb2 import Message as QuotaMessage
from gateway.runtime.peer_transport import MAX_DATAGRAM_BYTES
from gateway.runtime.tcp_links import MAX_OUTBOUND_LINKS, OUTBOUND_IDLE_S
from gateway.state_machine import Address
from simulation.model.network import Location, Network
from simulation.model.processes import ControllerProcess, Program, ProxyProcess
from simulation.planes import PLANE_NAMES

MESSAGE_CLASSES: Final[dict[int, Any]] = {
    CONSENSUS: ConsensusMessage,
    MEMBERSHIP: MembershipMessage,
    QUOTA: QuotaMessage,
}
PLANES: Final = {CONSENSUS: "agreement", MEMBERSHIP: "membership", QUOTA: "quota"}
"""Message planes by their names on the page."""
TIMERS: Final = "timers"
REQUESTS: Final = "requests"
"""The charges that replace clients' requests, until their messages are sent."""
BACKENDS: Final = "backends"
"""Calls of backends over HTTP. Only the work of the state machine is counted, not the parsing of HTTP."""
HTTP_HEADERS: Final = 220
"""Approximate bytes of a call's head and its segment's headers."""
DATAGRAM_HEADERS: Final = 28
"""Bytes of IPv4 and UDP."""
SEGMENT_HEADERS = 52
SEGMENT_BYTES = 1448
FRAME_BYTES = 4
"""Bytes of IPv4 and TCP with timestamps, of a segment's content, and of the length before a message."""


class Flow(NamedTuple):
    """A kind of message in one direction."""

    direction: str
    plane: str
    kind: str


class Counts:
    """The counts since the last reset."""

    def __init__(self) -> None:
        self.messages: Counter[Flow] = Counter()
        self.bytes: Counter[Flow] = Counter()
        self.processor: Counter[str] = Counter()
        self.links: dict[Address, float] = {}
        self.most_links = 0
        self.lost = 0  # messages lost for lack of a link

    def total_bytes(self) -> int:
        """Return the bytes on the wire in both directions."""
        return sum(self.bytes.values())

    def total_processor(self) -> float:
        """Return the processor time in seconds."""
        return float(sum(self.processor.values()))


class LinkNetwork(Network):
    """A network that keeps links between processes open, as the programs do."""

    def over_link(
        self, a: Location, b: Location, kind: str, size: int, arrive: Callable[..., Any], *args: Any
    ) -> None:
        """Send a message over an open link, without a handshake."""
        self.count_message(a, b, kind, size)
        wait = self.wait(a, size)
        if self.reaches(a, b):
            self.simulator.after(wait + self.delay(a, b), arrive, *args)


class Meter:
    """Counts between a process and the simulated network."""

    def __init__(self, process: Program, network: LinkNetwork) -> None:
        self.process = process
        self.network = network
        self.counts = Counts()
        self.taking = self.take
        self.give: Callable[[Address, int, Any], None] = process.take
        self.acting: Callable[[Any, Any], None] = process.act
        process.send = self.send  # type: ignore[method-assign]
        process.take = self.taking  # type: ignore[method-assign, assignment]
        process.act = self.act  # type: ignore[method-assign]

    def reset(self) -> None:
        """Start a new measuring window. Open links stay open."""
        links = self.counts.links
        self.counts = Counts()
        self.counts.links = links
        self.counts.most_links = len(links)

    def act(self, call: Callable[..., Any], args: tuple[Any, ...]) -> None:
        """Execute a call of the process, and charge its processor time to a plane."""
        label = self._label(call, args)
        began = thread_time()
        self.acting(call, args)
        self.counts.processor[label] += thread_time() - began  # type: ignore[assignment]

    def _label(self, call: Callable[..., Any], args: tuple[Any, ...]) -> str:
        """Return the plane of an event. Calls to a controller are counted when they arrive."""
        if call is self.taking:
            return PLANES[args[1]]
        if isinstance(self.process, ControllerProcess) and call == self.process.answer:
            flow = Flow("received", BACKENDS, "heartbeat")
            self.counts.messages[flow] += 1
            self.counts.bytes[flow] += len(args[0].body) + HTTP_HEADERS
            return BACKENDS
        if isinstance(self.process, ProxyProcess) and call == self.process.proxy_node.handle_quota:
            return REQUESTS
        return TIMERS

    def send(self, to: Address, plane: int, message: Any) -> None:
        """Serialize a message and pass it to the network; a long one uses a link that stays open."""
        data = message.SerializeToString()
        size = len(data) + 1
        self._count("sent", plane, message, size)
        process = self.process
        used = self.counts.links.get(to, -OUTBOUND_IDLE_S)
        is_open = process.simulator.now - used < OUTBOUND_IDLE_S
        target = process.machine.deployment.ports.get(to)
        if target is None or (size > MAX_DATAGRAM_BYTES and not self._link(to)):
            return
        carry = self.network.over_link if is_open and size > MAX_DATAGRAM_BYTES else self.network.message
        carry(process.place, target, PLANE_NAMES[plane], size, process.arrive, to, plane, data)

    def take(self, sender: Address, plane: int, data: bytes) -> None:
        """Parse a message and pass it to the process."""
        message = MESSAGE_CLASSES[plane].FromString(data)
        self._count("received", plane, message, len(data) + 1)
        self.give(sender, plane, message)

    def _count(self, direction: str, plane: int, message: Any, size: int) -> None:
        kind = (
            Kind.Name(message.kind).lower() if plane == CONSENSUS else message.WhichOneof("kind") or "empty"
        )
        flow = Flow(direction, PLANES[plane], kind)
        self.counts.messages[flow] += 1
        self.counts.bytes[flow] += wire_bytes(size)

    def _link(self, to: Address) -> bool:
        """Whether there is a TCP link to a process, or another one may be opened.

        A program opens at most `MAX_OUTBOUND_LINKS`, and loses messages that need a further one.
        """
        now = self.process.simulator.now
        links = self.counts.links
        for address in [a for a, used in links.items() if a != to and now - used > OUTBOUND_IDLE_S]:
            del links[address]
        if to not in links and len(links) >= MAX_OUTBOUND_LINKS:
            self.counts.lost += 1
            return False
        links[to] = now
        self.counts.most_links = max(self.counts.most_links, len(links))
        return True


def wire_bytes(size: int) -> int:
    """Return the bytes of a message on the wire, including headers."""
    if size <= MAX_DATAGRAM_BYTES:
        return size + DATAGRAM_HEADERS
    segments = -(-(size + FRAME_BYTES) // SEGMENT_BYTES)
    return size + FRAME_BYTES + segments * SEGMENT_HEADERS
