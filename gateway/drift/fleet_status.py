"""The configuration that each node runs, as known to a controller, and the nodes that are behind."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import NamedTuple, assert_never

from gateway.drift.events import FleetEvent, NodeReport, Tick, VersionAcknowledged
from gateway.drift.outputs import Finding
from gateway.state_machine import Address

MAX_NODES = 4096  # further nodes are ignored
NODE_RETENTION_S = 120.0  # a node is removed after this time without a report
CONTACT_GAP_S = 2.5  # maximum interval of reports of a node in contact
CHECK_INTERVAL_S = 0.5  # interval of searches for nodes that are behind
MAX_VERSIONS = 32  # number of acknowledged versions with a stored time
MAX_FINDINGS = 32  # number of stored findings
MAX_TEXT_LENGTH = 400  # maximum characters of a finding


class AcknowledgedVersion(NamedTuple):
    """The time at which a version was acknowledged, and its digest."""

    at: float
    digest: int


class LagReported(NamedTuple):
    """A finding was reported that a node lacks this version."""

    version: int


class DigestReported(NamedTuple):
    """A finding was reported that a node runs another digest of this version than the acknowledged one."""

    version: int
    digest: int


class Node:
    """A node's latest report, and the last finding about it."""

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
        self.in_touch_since = now  # start of the contact without a gap
        self.last_contact_at = 0.0
        self.version = 0
        self.digest = 0
        self.findings = 0  # number of the node's own findings
        self.finding = ""  # latest of the node's own findings
        self.last_found: LagReported | DigestReported | None = None


class NodeRow(NamedTuple):
    """A node as displayed: `heard_s` since its last report, `lag_s` since it lacks a version (0: none)."""

    node: Address
    version: int
    digest: int
    lag_s: float
    heard_s: float
    findings: int
    finding: str


class FleetStatus:
    """State machine at a controller.

    It reports one finding for each node and version that the node lacks, for each digest that differs from
    the acknowledged one, and for each finding reported by a node.

    Attributes:
        spread_s: The time from the acknowledgement of the newest version to the latest report of a node in
            contact that this version is in force.
    """

    def __init__(self, apply_s: float) -> None:
        """`apply_s` is the time in seconds within which a version must be in force."""
        self.apply_s = apply_s
        self.nodes: OrderedDict[Address, Node] = OrderedDict()
        self.version = 0  # the newest acknowledged version
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
        """Remove nodes without reports, and find those that are behind."""
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
        """Report a node with another digest than the acknowledged one, unless that was its last finding."""
        acknowledged = self.acknowledged.get(report.version)
        found = DigestReported(report.version, report.digest)
        if acknowledged is None or acknowledged.digest == report.digest or node.last_found == found:
            return []
        node.last_found = found
        running = f"digest {report.digest:016x}"
        expected = f"digest {acknowledged.digest:016x}"
        return [Finding(f"node {report.node}", running, expected, report.version, "its digest")]

    def _lag_finding(self, now: float, address: Address, node: Node) -> list[Finding]:
        """Report a node in contact that has lacked a version for longer than `apply_s`."""
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
        """Seconds since the acknowledgement of the first version that the node lacks; 0 if there is none."""
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
