"""Drift watch at a controller: which configuration all nodes run, and the quotas in force here."""

from __future__ import annotations

import json
import logging
from collections.abc import Callable
from typing import Any

from gateway.config.document import Document
from gateway.drift import messages as drift_messages
from gateway.drift.detector import DriftDetector
from gateway.drift.fleet_status import FleetStatus
from gateway.drift.metrics import CONTENT_TYPE, Metric, render_metrics
from gateway.drift.quota_windows import Windows, expected_windows, quota_differences
from gateway.programs.quota_report import QUOTA_METRIC_PREFIX, QuotaReport
from gateway.runtime.http_listener import HttpCall, Reply
from gateway.state_machine import Address

STATUS = "/-/status"
METRICS = "/-/metrics"
JSON = b"Content-Type: application/json\r\n"
CHECK_INTERVAL_S = 1.0  # between two checks of the quotas in force
MAX_NODES_SHOWN = 1024  # nodes in one answer

log = logging.getLogger("gateway.drift")


class FleetMonitor:
    """Connects the fleet status, and the drift detector of this process's own quotas, to a controller.

    `push_allowances` passes the document's quotas to the quota plane again. `apply_s` is the time in seconds
    in which a version has to be in force, `span_s` the span of the quota rule.
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
        self.look_at = 0.0

    def runs(
        self, now: float, node: Address, version: int, digest: bytes, findings: int, finding: str
    ) -> None:
        """A node reports which version and digest it runs, and its findings."""
        told = drift_messages.NodeReport(node, version, int.from_bytes(digest), findings, finding)
        self.handle_outputs(self.fleet.handle(now, told))

    def heard(self, now: float, version: int, digest: bytes, holder: Address) -> None:
        """A version was advertised by `holder`."""
        self.handle_outputs(
            self.drift_detector.handle(
                now, drift_messages.VersionSeen(version, int.from_bytes(digest), holder)
            )
        )

    def config_applied(self, now: float, version: int, digest: int, document: Document) -> None:
        """A version was acknowledged and applied here."""
        self.quota_windows = expected_windows(document, self.span_s)
        self.handle_outputs(self.fleet.handle(now, drift_messages.VersionAcknowledged(version, digest)))
        self.handle_outputs(
            self.drift_detector.handle(now, drift_messages.VersionApplied(version, digest, digest))
        )

    def tick(self, now: float, quorate: bool, windows: Callable[[], Windows]) -> None:
        """Time has passed. `windows` returns the rate limit windows in force here."""
        if now < self.look_at:
            return
        self.look_at = now + CHECK_INTERVAL_S
        self.handle_outputs(self.fleet.handle(now, drift_messages.Tick()))
        if not self.drift_detector.version:
            return
        if quorate and not self.drift_detector.lag():
            self.drift_detector.handle(now, drift_messages.NewestConfirmed(self.drift_detector.version, now))
        self.handle_outputs(self.drift_detector.handle(now, drift_messages.Tick()))
        if found := quota_differences(self.quota_windows, windows()):
            self.handle_outputs(
                self.drift_detector.handle(now, drift_messages.DifferencesFound("round", tuple(found)))
            )

    def handle_outputs(self, outputs: list[Any]) -> None:
        """Carry out outputs: log findings, repair the quotas."""
        for out in outputs:
            if isinstance(out, drift_messages.Finding):
                log.warning("drift: %s", out)
            elif isinstance(out, drift_messages.Rebuild):
                self.push_allowances()

    # Status and metrics.

    def answer(
        self, now: float, http_call: HttpCall, reply: Reply, more: dict[str, Any], quota_report: QuotaReport
    ) -> bool:
        """Answer a call for status or metrics; False if it is another call. `more` is added to the status,
        `quota_report` to both."""
        path = http_call.path.partition("?")[0]
        if http_call.method != "GET" or path not in (STATUS, METRICS):
            return False
        if path == METRICS:
            reply(
                200,
                CONTENT_TYPE,
                render_metrics(self.metrics(now))
                + render_metrics(quota_report.metrics(now), QUOTA_METRIC_PREFIX),
            )
        else:
            reply(200, JSON, json.dumps({**self.status(now), **more, **quota_report.status(now)}).encode())
        return True

    def status(self, now: float) -> dict[str, Any]:
        """The JSON object of `GET /-/status`: all known nodes, and findings reported or made here."""
        port = self.me.rpartition(":")[2]
        i = self.drift_detector
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
            for n in self.fleet.seen(now)[:MAX_NODES_SHOWN]
        ]
        return {
            "node": self.me,
            "role": "controller",
            "version": i.version,
            "digest": f"{i.running:016x}",
            "spread-s": round(self.fleet.spread_s, 3),
            "found": i.found + self.fleet.found,
            "findings": [*map(str, i.findings), *self.fleet.findings],
            "nodes": nodes,
        }

    def metrics(self, now: float) -> list[Metric]:
        """The metrics of `GET /-/metrics`."""
        nodes = self.fleet.seen(now)
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
                self.drift_detector.found + self.fleet.found,
            ),
        ]
