"""Which configuration each node runs, as a controller knows it, and which nodes are behind."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import Any, NamedTuple

from gateway.drift.messages import Finding, NodeReport, VersionAcknowledged
from gateway.state_machine import Address

MAX_NODES = 4096  # further ones are ignored
SILENT_S = 10.0  # without a report for so long a node is shown as silent,
FORGET_AFTER_S = 120.0  # and then forgotten
CONTACT_GAP_S = 2.5  # between two reports of a node that counts as in touch
MAX_VERSIONS = 32  # acknowledged versions whose time is remembered
# findings kept, characters of one
MAX_FINDINGS = 32
MAX_TEXT_LENGTH = 400


class Node:
    """What a node has reported of itself."""

    __slots__ = ("heard", "since", "version", "digest", "findings", "finding", "told")

    def __init__(self, now: float) -> None:
        self.since = now  # in touch since then, without a gap
        self.heard = 0.0
        self.version = 0
        self.digest = 0
        self.findings = 0
        self.finding = ""
        self.told = (0, 0)  # version and digest of the last finding about it


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
    """State machine. Inputs: `NodeReport`, `VersionAcknowledged`, `Tick`. Outputs: `Finding`, once for each
    node and version that it lacks, for each digest that isn't the acknowledged one, and for each finding that
    a node reports.

    `apply_s` is the time in seconds in which a version has to be in force. `spread_s` is the time from the
    newest version's acknowledgement to the last report, so far, of a node in touch that it is in force."""

    def __init__(self, apply_s: float) -> None:
        self.apply_s = apply_s
        self.nodes: OrderedDict[Address, Node] = OrderedDict()
        self.version = 0
        # by version: time of its acknowledgement, and digest
        self.times: OrderedDict[int, tuple[float, int]] = OrderedDict()
        self.findings: deque[str] = deque(maxlen=MAX_FINDINGS)
        self.found = 0
        self.checked_at = 0.0
        self.spread_s = 0.0

    def handle(self, now: float, event: Any) -> list[Finding]:
        """Handle an input; returns new findings."""
        if isinstance(event, NodeReport):
            return self._runs(now, event)
        if isinstance(event, VersionAcknowledged):
            if event.version > self.version:
                self.version = event.version
                self.spread_s = 0.0
                self.times[event.version] = now, event.digest
                if len(self.times) > MAX_VERSIONS:
                    self.times.popitem(last=False)
            return []
        if now - self.checked_at < 0.5:
            return []
        self.checked_at = now
        for address in [a for a, n in self.nodes.items() if now - n.heard > FORGET_AFTER_S]:
            del self.nodes[address]
        return [
            f for a, n in self.nodes.items() if n.version < self.version for f in self._lag_finding(now, a, n)
        ]

    def _runs(self, now: float, e: NodeReport) -> list[Finding]:
        node = self.nodes.get(e.node)
        if node is None:
            if len(self.nodes) >= MAX_NODES:
                return []
            node = self.nodes[e.node] = Node(now)
        out = []
        if e.finding and (e.findings, e.finding) != (node.findings, node.finding):
            out.append(Finding(f"node {e.node}", e.finding[:MAX_TEXT_LENGTH], "", e.version, "its own word"))
        if now - node.heard > CONTACT_GAP_S:
            node.since = now
        elif node.version < self.version <= e.version:
            self.spread_s = now - self.times[self.version][0]
        node.heard = now
        node.version = e.version
        node.digest = e.digest
        node.findings = e.findings
        node.finding = e.finding[:MAX_TEXT_LENGTH]
        acknowledged = self.times.get(e.version)
        if acknowledged is not None and acknowledged[1] != e.digest and node.told != (e.version, e.digest):
            node.told = e.version, e.digest
            out.append(
                Finding(
                    f"node {e.node}",
                    f"digest {e.digest:016x}",
                    f"digest {acknowledged[1]:016x}",
                    e.version,
                    "its digest",
                )
            )
        return self._record_findings(out)

    def _lag_finding(self, now: float, address: Address, node: Node) -> list[Finding]:
        """A finding if a node in touch has reported for longer than `apply_s` that it lacks a version."""
        late = node.heard - max(node.since, now - self.lag(now, node)) > self.apply_s
        if not late or node.told[0] == -self.version:
            return []
        node.told = -self.version, 0
        return self._record_findings(
            [
                Finding(
                    f"node {address}",
                    f"version {node.version}",
                    f"version {self.version}",
                    self.version,
                    f"for {self.lag(now, node):.1f} s",
                )
            ]
        )

    def _record_findings(self, found: list[Finding]) -> list[Finding]:
        self.found += len(found)
        self.findings.extend(map(str, found))
        return found

    def lag(self, now: float, node: Node) -> float:
        """Seconds since the acknowledgement of the first version that the node lacks; 0: none."""
        return next((now - at for version, (at, _) in self.times.items() if version > node.version), 0.0)

    def seen(self, now: float) -> list[NodeRow]:
        """All known nodes, sorted by address."""
        return [
            NodeRow(a, n.version, n.digest, self.lag(now, n), now - n.heard, n.findings, n.finding)
            for a, n in sorted(self.nodes.items())
        ]
