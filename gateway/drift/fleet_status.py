"""Which configuration each node runs, as a controller knows it, and which nodes are behind."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import NamedTuple, assert_never

from gateway.drift.events import FleetEvent, NodeReport, Tick, VersionAcknowledged
from gateway.drift.outputs import Finding
from gateway.state_machine import Address

MAX_NODES = 4096  # further ones are ignored
NODE_RETENTION_S = 120.0  # without a report for so long a node is forgotten
CONTACT_GAP_S = 2.5  # between two reports of a node that counts as in touch
CHECK_INTERVAL_S = 0.5  # between two searches for nodes that are behind
MAX_VERSIONS = 32  # acknowledged versions whose time is remembered
MAX_FINDINGS = 32  # findings kept
MAX_TEXT_LENGTH = 400  # characters of one


class AcknowledgedVersion(NamedTuple):
    """When a version was acknowledged, and its digest."""

    at: float
    digest: int


class LagReported(NamedTuple):
    """It was found that a node lacks this version."""

    version: int


class DigestReported(NamedTuple):
    """It was found that a node runs another digest than the acknowledged one of this version."""

    version: int
    digest: int


class Node:
    """What a node has reported of itself, and what was last found about it."""

    __slots__ = (
        "digest",
        "finding",
        "findings",
        "in_touch_since",
        "last_contact_at",
        "last_found",
        "version",
    )

    def __init__(self, now: float) -> None:
        self.in_touch_since = now  # without a gap
        self.last_contact_at = 0.0
        self.version = 0
        self.digest = 0
        self.findings = 0  # number of its own findings
        self.finding = ""  # the latest of them
        self.last_found: LagReported | DigestReported | None = None


class NodeRow(NamedTuple):
    """A node as shown: `heard_s` since its last report, `lag_s` since it lacks a version (0: none)."""

    node: Address
    version: int
    digest: int
    lag_s: float
    heard_s: float
    findings: int
    finding: str


class FleetStatus:
    """State machine at a controller.

    A finding comes out once for each node and version that it lacks, for each digest that isn't the
    acknowledged one, and for each finding that a node reports.

    Attributes:
        spread_s: The time from the newest version's acknowledgement to the last report, so far, of a node in
            touch that it is in force.
    """

    def __init__(self, apply_s: float) -> None:
        """`apply_s` is the time in seconds in which a version has to be in force."""
        self.apply_s = apply_s
        self.nodes: OrderedDict[Address, Node] = OrderedDict()
        self.version = 0  # the newest acknowledged one
        self.acknowledged: OrderedDict[int, AcknowledgedVersion] = OrderedDict()  # by version
        self.findings: deque[str] = deque(maxlen=MAX_FINDINGS)
        self.finding_count = 0
        self.checked_at = 0.0
        self.spread_s = 0.0

    def handle(self, now: float, event: FleetEvent) -> list[Finding]:
        """Handle an event; returns new findings."""
        match event:
            case NodeReport():
                return self._on_node_report(now, event)
            case VersionAcknowledged():
                self._on_version_acknowledged(now, event)
                return []
            case Tick():
                return self._tick(now)
            case _:
                assert_never(event)

    def _on_version_acknowledged(self, now: float, event: VersionAcknowledged) -> None:
        if event.version <= self.version:
            return
        self.version = event.version
        self.spread_s = 0.0
        self.acknowledged[event.version] = AcknowledgedVersion(now, event.digest)
        if len(self.acknowledged) > MAX_VERSIONS:
            self.acknowledged.popitem(last=False)

    def _tick(self, now: float) -> list[Finding]:
        """Forget silent nodes, and find those that are behind."""
        if now - self.checked_at < CHECK_INTERVAL_S:
            return []
        self.checked_at = now
        for address, node in list(self.nodes.items()):
            if now - node.last_contact_at > NODE_RETENTION_S:
                del self.nodes[address]
        findings: list[Finding] = []
        for address, node in self.nodes.items():
            if node.version < self.version:
                findings += self._lag_finding(now, address, node)
        return findings

    def _on_node_report(self, now: float, report: NodeReport) -> list[Finding]:
        node = self.nodes.get(report.node)
        if node is None:
            if len(self.nodes) >= MAX_NODES:
                return []
            node = Node(now)
            self.nodes[report.node] = node
        findings = []
        if report.finding and (report.findings, report.finding) != (node.findings, node.finding):
            text = report.finding[:MAX_TEXT_LENGTH]
            findings.append(Finding(f"node {report.node}", text, "", report.version, "its own word"))
        if now - node.last_contact_at > CONTACT_GAP_S:
            node.in_touch_since = now
        elif node.version < self.version <= report.version:
            self.spread_s = now - self.acknowledged[self.version].at
        node.last_contact_at = now
        node.version = report.version
        node.digest = report.digest
        node.findings = report.findings
        node.finding = report.finding[:MAX_TEXT_LENGTH]
        return self._record_findings([*findings, *self._digest_finding(node, report)])

    def _digest_finding(self, node: Node, report: NodeReport) -> list[Finding]:
        """A finding if a node runs another digest than the acknowledged one, unless it was the last one."""
        acknowledged = self.acknowledged.get(report.version)
        found = DigestReported(report.version, report.digest)
        if acknowledged is None or acknowledged.digest == report.digest or node.last_found == found:
            return []
        node.last_found = found
        running = f"digest {report.digest:016x}"
        expected = f"digest {acknowledged.digest:016x}"
        return [Finding(f"node {report.node}", running, expected, report.version, "its digest")]

    def _lag_finding(self, now: float, address: Address, node: Node) -> list[Finding]:
        """A finding if a node in touch has reported for longer than `apply_s` that it lacks a version."""
        lag = self.lag(now, node)
        is_late = node.last_contact_at - max(node.in_touch_since, now - lag) > self.apply_s
        found = LagReported(self.version)
        if not is_late or node.last_found == found:
            return []
        node.last_found = found
        finding = Finding(
            f"node {address}",
            f"version {node.version}",
            f"version {self.version}",
            self.version,
            f"for {lag:.1f} s",
        )
        return self._record_findings([finding])

    def _record_findings(self, findings: list[Finding]) -> list[Finding]:
        self.finding_count += len(findings)
        self.findings.extend(map(str, findings))
        return findings

    def lag(self, now: float, node: Node) -> float:
        """Seconds since the acknowledgement of the first version that the node lacks; 0: none."""
        missing = (now - known.at for version, known in self.acknowledged.items() if version > node.version)
        return next(missing, 0.0)

    def rows(self, now: float) -> list[NodeRow]:
        """All known nodes, sorted by address."""
        return [
            NodeRow(
                address,
                node.version,
                node.digest,
                self.lag(now, node),
                now - node.last_contact_at,
                node.findings,
                node.finding,
            )
            for address, node in sorted(self.nodes.items())
        ]
