"""Drift detection at a controller: the configurations of all nodes, and the quotas in force here."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping, Sequence

from gateway.config.document import Document
from gateway.drift import events as drift_events
from gateway.drift.detector import DriftDetector
from gateway.drift.fleet_status import FleetStatus
from gateway.drift.metrics import Metric
from gateway.drift.outputs import DetectorOutput, Finding, Rebuild
from gateway.drift.quota_windows import Windows, expected_windows, quota_differences
from gateway.membership.outputs import ConfigAdvertised, RunningConfig
from gateway.programs.quota_report import QuotaReport
from gateway.programs.status_endpoint import answer_status_call
from gateway.runtime.http_call import HttpCall, Reply
from gateway.state_machine import Address

CHECK_INTERVAL_S = 1.0  # interval of checks of the quotas in force
MAX_NODES_SHOWN = 1024  # maximum number of nodes in one answer

log = logging.getLogger("gateway.drift")


class FleetMonitor:
    """Connects a controller to the fleet status and to the drift detector of this process's own quotas.

    `push_allowances` passes the document's quotas to the quota plane again. `apply_s` is the time in seconds
    within which a version must be in force, and `span_s` the span of the quota rule.
    """

    def __init__(
        self, me: Address, apply_s: float, span_s: float, push_allowances: Callable[[], None]
    ) -> None:
        self.me = me
        self.span_s = span_s
        self.push_allowances = push_allowances
        self.fleet = FleetStatus(apply_s)
        self.drift_detector = DriftDetector(apply_s)
        self.quota_windows: Windows = {}
        self.next_check_at = 0.0

    def on_running_config(self, now: float, config: RunningConfig) -> None:
        """Handle a node's report of its running version and digest, and of its findings."""
        digest = int.from_bytes(config.digest)
        report = drift_events.NodeReport(config.node, config.version, digest, config.findings, config.finding)
        self._carry_out(self.fleet.handle(now, report))

    def on_config_advertised(self, now: float, config: ConfigAdvertised) -> None:
        """Handle a version advertised by a node."""
        digest = int.from_bytes(config.digest)
        self._handle_drift(now, drift_events.VersionSeen(config.version, digest, config.source))

    def config_applied(self, now: float, version: int, digest: int, document: Document) -> None:
        """Handle a version that was acknowledged and applied here."""
        self.quota_windows = expected_windows(document, self.span_s)
        self._carry_out(self.fleet.handle(now, drift_events.VersionAcknowledged(version, digest)))
        self._handle_drift(now, drift_events.VersionApplied(version, digest, digest))

    def tick(self, now: float, quorate: bool, windows: Callable[[], Windows]) -> None:
        """Advance the timers. `windows` returns the rate limit windows in force here."""
        if now < self.next_check_at:
            return
        self.next_check_at = now + CHECK_INTERVAL_S
        self._carry_out(self.fleet.handle(now, drift_events.Tick()))
        if not self.drift_detector.version:
            return
        if quorate and not self.drift_detector.lag():
            confirmed = drift_events.NewestConfirmed(self.drift_detector.version, now)
            self.drift_detector.handle(now, confirmed)
        self._handle_drift(now, drift_events.Tick())
        if differences := quota_differences(self.quota_windows, windows()):
            found = drift_events.DifferencesFound(drift_events.Check.SCAN, tuple(differences))
            self._handle_drift(now, found)

    def _handle_drift(self, now: float, event: drift_events.DetectorEvent) -> None:
        """Pass an event to the drift detector, and carry out its outputs."""
        self._carry_out(self.drift_detector.handle(now, event))

    def _carry_out(self, outputs: Sequence[DetectorOutput]) -> None:
        """Log findings and restore the quotas; other outputs don't concern a controller."""
        for output in outputs:
            if isinstance(output, Finding):
                log.warning("drift: %s", output)
            elif isinstance(output, Rebuild):
                self.push_allowances()

    # Status and metrics.

    def answer(
        self,
        now: float,
        http_call: HttpCall,
        reply: Reply,
        more: Mapping[str, object],
        quota_report: QuotaReport,
    ) -> bool:
        """Answer a call for status or metrics; False for any other call.

        `more` is added to the status, `quota_report` to both.
        """
        return answer_status_call(
            now,
            http_call,
            reply,
            lambda: {**self.status(now), **more},
            lambda: self.metrics(now),
            quota_report,
        )

    def status(self, now: float) -> dict[str, object]:
        """The JSON object of `GET /-/status`: all known nodes, and findings made here or reported."""
        port = self.me.rpartition(":")[2]
        detector = self.drift_detector
        nodes = [
            {
                "node": n.node,
                "role": "controller" if n.node.rpartition(":")[2] == port else "proxy",
                "version": n.version,
                "digest": f"{n.digest:016x}",
                "lag-s": round(n.lag_s, 3),
                "heard-s": round(n.heard_s, 3),
                "found": n.findings,
                "finding": n.finding,
            }
            for n in self.fleet.rows(now)[:MAX_NODES_SHOWN]
        ]
        return {
            "node": self.me,
            "role": "controller",
            "version": detector.version,
            "digest": f"{detector.running_digest:016x}",
            "spread-s": round(self.fleet.spread_s, 3),
            "found": detector.finding_count + self.fleet.finding_count,
            "findings": [*map(str, detector.findings), *self.fleet.findings],
            "nodes": nodes,
        }

    def metrics(self, now: float) -> list[Metric]:
        """The metrics of `GET /-/metrics`."""
        nodes = self.fleet.rows(now)
        return [
            Metric("version", "Version acknowledged, as known here.", self.drift_detector.version),
            Metric("nodes", "Nodes that have told what they run.", len(nodes)),
            Metric(
                "nodes_lagging",
                "Nodes beyond their time to put a version in force.",
                sum(n.lag_s > self.fleet.apply_s for n in nodes),
            ),
            Metric(
                "worst_lag_seconds",
                "Longest time that a node lacks an acknowledged version.",
                max((n.lag_s for n in nodes), default=0.0),
            ),
            Metric(
                "spread_seconds",
                "Time in which the newest version came into force at the last node.",
                self.fleet.spread_s,
            ),
            Metric(
                "worst_silence_seconds",
                "Longest time that a node has told nothing.",
                max((n.heard_s for n in nodes), default=0.0),
            ),
            Metric(
                "findings_total",
                "Findings made here and told by nodes.",
                self.drift_detector.finding_count + self.fleet.finding_count,
            ),
        ]
