"""Drift detection at a proxy: connects the drift detector to live requests and the membership plane."""

from __future__ import annotations

import logging
from typing import Protocol, assert_never

from gateway.config.digest import ExpectedDigests
from gateway.config.document import Document
from gateway.config.routing import CompiledConfig, RouteDecision
from gateway.config.schema import Difference
from gateway.drift import events as drift_events
from gateway.drift import outputs as drift_outputs
from gateway.drift.detector import CORE_NOT_HEARD, DriftDetector
from gateway.drift.events import Check
from gateway.drift.live_check import CheckResult, LiveCheck, running_digest
from gateway.drift.metrics import Metric
from gateway.membership.log_follower import ConfirmedConfig
from gateway.membership.outputs import ConfigAdvertised
from gateway.programs.quota_report import QuotaReport
from gateway.programs.status_endpoint import answer_status_call
from gateway.runtime.http_call import HttpCall, Reply
from gateway.runtime.settings import Bounds
from gateway.state_machine import Address

CHECK_INTERVAL_S = 0.25  # interval at which the detector receives the time and the core's last confirmation
QUOTA_CHECK_INTERVAL_S = 1.0  # interval of checks of the quotas and limits in force
MAX_FINDING_LENGTH = 200  # maximum characters of a finding that is sent to the core

log = logging.getLogger("gateway.drift")


class Node(Protocol):
    """The parts of a proxy that the drift monitor uses."""

    compiled_config: CompiledConfig | None

    def clock(self) -> float:
        """Monotonic time in seconds."""

    def confirmed_config(self, now: float) -> ConfirmedConfig | None:
        """The newest version according to a majority of the core, and when that was confirmed; or None."""

    def fetch(self, version: int, source: Address, again: bool) -> None:
        """Fetch a version from `source` (empty: the core); with `again`, even if it was fetched before."""

    def rebuild(self, version: int, value: bytes) -> None:
        """Rebuild the compiled configuration from the value of a version, without reusing anything."""

    def report_running_config(self, version: int, digest: int, findings: int, finding: str) -> None:
        """Report the running configuration to the core and to peers."""

    def limit_differences(self, document: Document) -> list[Difference]:
        """The differences between the quotas and limits in force and the document."""


class DriftMonitor:
    """Connects the drift detector to a proxy.

    It uses `apply_s` of `bounds` and, if `revoke_closed` is set, also `revoke_s`: requests are rejected once
    the last contact with the core is older than that.
    """

    def __init__(self, me: Address, node: Node, bounds: Bounds) -> None:
        self.me = me
        self.node = node
        self.drift_detector = DriftDetector(bounds.apply_s, bounds.revoke_s if bounds.revoke_closed else None)
        self.live: LiveCheck | None = None
        self.value = b""
        self.ready = True
        self.refusal_reason = ""  # why requests are rejected; empty if they aren't
        self.refetching = False  # the stored version is being fetched again
        self.rejected_requests = 0
        self.next_check_at = 0.0
        self.next_quota_check_at = 0.0

    # Events of the proxy.

    def request(
        self, host: bytes, path: bytes, key: bytes, route_decision: RouteDecision
    ) -> RouteDecision | None:
        """Check the decision on a live request.

        Returns:
            The decision, or another one after a repair; None means that the request is rejected.
        """
        if self.live is None:
            return route_decision
        if self.refusal_reason:
            self.rejected_requests += 1
            return None
        try:
            result = self.live.check(self.node.clock(), host, path, key, route_decision)
        except Exception as error:  # due to corrupt state, which must not fail the request
            reason = f"{type(error).__name__}: {error}"
            result = CheckResult(Check.SAMPLE, [Difference("a look", reason, "possible")])
        if not result.differences:
            return route_decision
        self._handle(drift_events.DifferencesFound(result.check, tuple(result.differences)))
        if self.node.compiled_config is None:
            return route_decision
        repaired = self.node.compiled_config.resolve_request(host, path, key)
        if result.check is not Check.REQUEST:
            return repaired
        if self.live.check(self.node.clock(), host, path, key, repaired).differences:
            self.rejected_requests += 1
            return None
        return repaired

    def config_applied(
        self,
        version: int,
        value: bytes,
        acknowledged: int,
        document: Document,
        expected: ExpectedDigests,
        compiled_config: CompiledConfig,
    ) -> None:
        """Handle an applied version; `acknowledged` is its digest according to the core (0: unknown)."""
        self.value = value
        self.refetching = False
        self.live = LiveCheck(document, expected, compiled_config, self.live)
        running = running_digest(compiled_config, expected)
        self._report_running_config(version, running)
        self._handle(drift_events.VersionApplied(version, running, acknowledged or expected.total))

    def config_unreadable(self, version: int, reason: str) -> None:
        """Handle a received version that can't be read."""
        self._handle(drift_events.VersionUnreadable(version, reason))

    def on_config_advertised(self, config: ConfigAdvertised) -> None:
        """Handle an advertised version; its source is empty if the sender doesn't have it."""
        digest = int.from_bytes(config.digest)
        self._handle(drift_events.VersionSeen(config.version, digest, config.source))

    def tick(self) -> None:
        """Advance the detector and run the periodic checks."""
        now = self.node.clock()
        is_early = now < self.next_check_at <= now + CHECK_INTERVAL_S
        if is_early and not self.drift_detector.core_not_heard:
            return
        self.next_check_at = now + CHECK_INTERVAL_S
        if (confirmed := self.node.confirmed_config(now)) is not None:
            self._handle(drift_events.NewestConfirmed(confirmed.version, confirmed.at))
        self._handle(drift_events.Tick())
        if self.live is None:
            return
        differences = self.live.idle(now)
        if not differences and not now < self.next_quota_check_at <= now + QUOTA_CHECK_INTERVAL_S:
            self.next_quota_check_at = now + QUOTA_CHECK_INTERVAL_S
            differences = self.node.limit_differences(self.live.document)
        if differences:
            self._handle(drift_events.DifferencesFound(Check.SCAN, tuple(differences)))

    # Outputs of the drift detector.

    def _handle(self, event: drift_events.DetectorEvent) -> None:
        """Pass an event to the drift detector, and carry out its outputs."""
        detector = self.drift_detector
        findings_before = detector.finding_count
        for output in detector.handle(self.node.clock(), event):
            self._carry_out(output)
        if detector.finding_count != findings_before:
            self._report_running_config(detector.version, detector.running_digest)

    def _carry_out(self, output: drift_outputs.DetectorOutput) -> None:
        match output:
            case drift_outputs.Finding():
                log.warning("drift: %s", output)
            case drift_outputs.Rebuild():
                self.node.rebuild(self.drift_detector.version, self.value)
            case drift_outputs.FetchVersion(version, source, again):
                self.refetching = self.refetching or again
                self.node.fetch(version, source, again)
            case drift_outputs.ReadinessChanged(ready):
                self.ready = ready
                log.info("ready for new clients: %s", ready)
            case drift_outputs.RefusalChanged(_, reason):
                self._set_refusal_reason(reason)
            case _:
                assert_never(output)

    def _set_refusal_reason(self, reason: str) -> None:
        is_usual = CORE_NOT_HEARD in (reason, self.refusal_reason)  # shortly after a start
        self.refusal_reason = reason
        level = logging.INFO if is_usual else logging.WARNING
        log.log(level, "drift: requests rejected: %s", reason or "no longer")

    def _report_running_config(self, version: int, digest: int) -> None:
        self.node.report_running_config(version, digest, self.drift_detector.finding_count, self.latest())

    def latest(self) -> str:
        """The latest finding, truncated; empty if there is none."""
        findings = self.drift_detector.findings
        return str(findings[-1])[:MAX_FINDING_LENGTH] if findings else ""

    # Status and metrics.

    def answer(self, http_call: HttpCall, reply: Reply, quota_report: QuotaReport) -> bool:
        """Answer a call for status or metrics, including `quota_report`'s; False for any other call."""
        now = self.node.clock()
        return answer_status_call(now, http_call, reply, self.status, self.metrics, quota_report)

    def status(self) -> dict[str, object]:
        """The JSON object of `GET /-/status`. Times are seconds."""
        detector = self.drift_detector
        live = self.live
        return {
            "node": self.me,
            "role": "proxy",
            "version": detector.version,
            "newest": max(detector.newer_version, detector.version),
            "digest": f"{detector.running_digest:016x}",
            "acknowledged": f"{detector.acknowledged_digest:016x}",
            "lag-s": round(detector.lag(), 3),
            "confirmed-s": detector.confirmation_age(),
            "ready": self.ready,
            "refusing": self.refusal_reason,
            "turned-back": self.rejected_requests,
            "requests": live.requests if live else 0,
            "sampled": live.sampled if live else 0,
            "found": detector.finding_count,
            "findings": [f._asdict() for f in detector.findings],
        }

    def metrics(self) -> list[Metric]:
        """The metrics of `GET /-/metrics`."""
        detector = self.drift_detector
        live = self.live
        return [
            Metric("version", "Version in force.", detector.version),
            Metric(
                "newest_version",
                "Newest version that is known of.",
                max(detector.newer_version, detector.version),
            ),
            Metric("lag_seconds", "Time since when a newer version is known of.", detector.lag()),
            Metric(
                "confirmed_seconds",
                "Age of the last contact with the core that the version is the newest.",
                detector.confirmation_age(),
            ),
            Metric("ready", "Whether new clients may come, as far as the configuration goes.", self.ready),
            Metric(
                "refusing", "Whether requests are turned back for a newer version.", bool(self.refusal_reason)
            ),
            Metric("turned_back_total", "Requests turned back so.", self.rejected_requests),
            Metric("requests_total", "Requests looked at.", live.requests if live else 0),
            Metric("sampled_total", "Requests also decided by a plain reading.", live.sampled if live else 0),
            Metric("findings_total", "Findings.", detector.finding_count),
        ]
