"""Drift watch at a proxy: connects the drift detector to live requests and the membership plane."""

from __future__ import annotations

import json
import logging
from typing import Any, Protocol

from gateway.config.digest import ExpectedDigests
from gateway.config.document import Document
from gateway.config.routing import CompiledConfig, RouteDecision
from gateway.config.schema import Difference
from gateway.drift import messages as drift_messages
from gateway.drift.detector import CORE_NOT_HEARD, SAMPLE, DriftDetector
from gateway.drift.live_check import CheckResult, LiveCheck, running_digest
from gateway.drift.metrics import CONTENT_TYPE, Metric, render_metrics
from gateway.membership.log_follower import ConfirmedConfig
from gateway.programs.fleet_monitor import JSON, METRICS, STATUS
from gateway.programs.quota_report import QUOTA_METRIC_PREFIX, QuotaReport
from gateway.runtime.http_listener import HttpCall, Reply
from gateway.runtime.settings import Bounds
from gateway.state_machine import Address

CHECK_INTERVAL_S = 0.25  # between two inputs of the time and of the last confirmation by the core
QUOTA_CHECK_INTERVAL_S = 1.0  # between two checks of the quotas and limits in force
MAX_FINDING_LENGTH = 200  # characters of a finding that are sent to the core

log = logging.getLogger("gateway.drift")


class Node(Protocol):
    """What the drift monitor needs of the proxy."""

    compiled_config: CompiledConfig | None

    def clock(self) -> float:
        """Monotonic seconds."""

    def confirmed_config(self, now: float) -> ConfirmedConfig | None:
        """The newest version by a majority of the core, and when that was confirmed; or None."""

    def fetch(self, version: int, holder: str, again: bool) -> None:
        """Fetch a version from `holder` (empty: the core); `again`: even if it is held already."""

    def rebuild(self, version: int, value: bytes) -> None:
        """Rebuild the compiled configuration from the value of a version, reusing nothing."""

    def holds(self, version: int, digest: int, findings: int, finding: str) -> None:
        """Report to the core and the neighbours what runs here."""

    def in_force(self, document: Document) -> list[Difference]:
        """Where the quotas and limits in force differ from the document."""


class DriftMonitor:
    """Connects the drift detector to a proxy.

    Of `bounds` it uses `apply_s`, and with `revoke_closed` also `revoke_s`: requests are then rejected once
    the last contact with the core is older than that.
    """

    def __init__(self, me: Address, node: Node, bounds: Bounds) -> None:
        self.me = me
        self.node = node
        self.drift_detector = DriftDetector(bounds.apply_s, bounds.revoke_s if bounds.revoke_closed else None)
        self.live: LiveCheck | None = None
        self.value = b""
        self.ready = True
        self.refusing = ""
        self.refetching = False  # the held version is being fetched again
        self.turned_back = 0
        self.look_at = 0.0
        self.quotas_at = 0.0

    # Events of the proxy.

    def request(
        self, host: bytes, path: bytes, key: bytes, route_decision: RouteDecision
    ) -> RouteDecision | None:
        """Check the decision on a live request: returns it, or the decision after a repair; None: reject the
        request."""
        if self.live is None:
            return route_decision
        if self.refusing:
            self.turned_back += 1
            return None
        try:
            seen = self.live.check(self.node.clock(), host, path, key, route_decision)
        except Exception as error:  # caused by corrupt state: it must not break the request
            told = f"{type(error).__name__}: {error}"
            seen = CheckResult(SAMPLE, [Difference("a look", told, "possible")])
        if not seen.differences:
            return route_decision
        self.handle_drift(drift_messages.DifferencesFound(seen.how, tuple(seen.differences)))
        if seen.how != "request" or self.node.compiled_config is None:
            return (
                route_decision
                if self.node.compiled_config is None
                else self.node.compiled_config.resolve_request(host, path, key)
            )
        route_decision = self.node.compiled_config.resolve_request(host, path, key)
        if self.live.check(self.node.clock(), host, path, key, route_decision).differences:
            self.turned_back += 1
            return None
        return route_decision

    def config_applied(
        self,
        version: int,
        value: bytes,
        acknowledged: int,
        document: Document,
        expected: ExpectedDigests,
        compiled_config: CompiledConfig,
    ) -> None:
        """A version was applied here; `acknowledged` is its digest by the core (0: unknown)."""
        self.value = value
        self.refetching = False
        self.live = LiveCheck(document, expected, compiled_config, self.live)
        running = running_digest(compiled_config, expected)
        self.node.holds(version, running, self.drift_detector.found, self.latest())
        self.handle_drift(drift_messages.VersionApplied(version, running, acknowledged or expected.total))

    def unreadable(self, version: int, why: str) -> None:
        """A version was received that can't be read, and why."""
        self.handle_drift(drift_messages.VersionUnreadable(version, why))

    def heard(self, version: int, digest: bytes, holder: str) -> None:
        """A version was advertised; `holder` is empty if its sender doesn't have it."""
        self.handle_drift(drift_messages.VersionSeen(version, int.from_bytes(digest), holder))

    def tick(self) -> None:
        """Time has passed: feed the detector and run the periodic checks."""
        now = self.node.clock()
        if now < self.look_at <= now + CHECK_INTERVAL_S and not self.drift_detector.core_not_heard:
            return
        self.look_at = now + CHECK_INTERVAL_S
        if (sure := self.node.confirmed_config(now)) is not None:
            self.handle_drift(drift_messages.NewestConfirmed(*sure))
        self.handle_drift(drift_messages.Tick())
        if self.live is None:
            return
        found = self.live.idle(now)
        if not found and not now < self.quotas_at <= now + QUOTA_CHECK_INTERVAL_S:
            self.quotas_at = now + QUOTA_CHECK_INTERVAL_S
            found = self.node.in_force(self.live.document)
        if found:
            self.handle_drift(drift_messages.DifferencesFound("round", tuple(found)))

    # Outputs of the drift detector.

    def handle_drift(self, event: Any) -> None:
        """Pass an input to the drift detector and carry out its outputs."""
        found = self.drift_detector.found
        for out in self.drift_detector.handle(self.node.clock(), event):
            if isinstance(out, drift_messages.Finding):
                log.warning("drift: %s", out)
            elif isinstance(out, drift_messages.Rebuild):
                self.node.rebuild(self.drift_detector.version, self.value)
            elif isinstance(out, drift_messages.FetchVersion):
                self.refetching = self.refetching or out.again
                self.node.fetch(*out)
            elif isinstance(out, drift_messages.ReadinessChanged):
                self.ready = out.well
                log.info("new clients: %s", out.well)
            elif isinstance(out, drift_messages.RefusalChanged):
                usual = CORE_NOT_HEARD in (out.why, self.refusing)
                self.refusing = out.why
                log.log(
                    logging.INFO if usual else logging.WARNING,
                    "drift: requests turned back: %s",
                    out.why or "no longer",
                )
        if self.drift_detector.found != found:
            i = self.drift_detector
            self.node.holds(i.version, i.running, i.found, self.latest())

    def latest(self) -> str:
        """The latest finding, truncated; empty if there is none."""
        return (
            str(self.drift_detector.findings[-1])[:MAX_FINDING_LENGTH] if self.drift_detector.findings else ""
        )

    # Status and metrics.

    def answer(self, http_call: HttpCall, reply: Reply, quota_report: QuotaReport) -> bool:
        """Answer a call for status or metrics, with those of `quota_report`; False if it is another call."""
        path = http_call.path.partition("?")[0]
        if http_call.method != "GET" or path not in (STATUS, METRICS):
            return False
        if path == METRICS:
            reply(
                200,
                CONTENT_TYPE,
                render_metrics(self.metrics())
                + render_metrics(quota_report.metrics(self.node.clock()), QUOTA_METRIC_PREFIX),
            )
        else:
            told = {**self.status(), **quota_report.status(self.node.clock())}
            reply(200, JSON, json.dumps(told).encode())
        return True

    def status(self) -> dict[str, Any]:
        """The JSON object of `GET /-/status`. Times are seconds."""
        i = self.drift_detector
        live = self.live
        return {
            "node": self.me,
            "role": "proxy",
            "version": i.version,
            "newest": max(i.newest, i.version),
            "digest": f"{i.running:016x}",
            "acknowledged": f"{i.acknowledged:016x}",
            "lag-s": round(i.lag(), 3),
            "confirmed-s": i.confirmation_age(),
            "ready": self.ready,
            "refusing": self.refusing,
            "turned-back": self.turned_back,
            "requests": live.requests if live else 0,
            "sampled": live.sampled if live else 0,
            "found": i.found,
            "findings": [f._asdict() for f in i.findings],
        }

    def metrics(self) -> list[Metric]:
        """The metrics of `GET /-/metrics`."""
        i = self.drift_detector
        live = self.live
        return [
            Metric("version", "Version in force.", i.version),
            Metric("newest_version", "Newest version that is known of.", max(i.newest, i.version)),
            Metric("lag_seconds", "Time since when a newer version is known of.", i.lag()),
            Metric(
                "confirmed_seconds",
                "Age of the last contact with the core that the version is the newest.",
                i.confirmation_age(),
            ),
            Metric("ready", "Whether new clients may come, as far as the configuration goes.", self.ready),
            Metric("refusing", "Whether requests are turned back for a newer version.", bool(self.refusing)),
            Metric("turned_back_total", "Requests turned back so.", self.turned_back),
            Metric("requests_total", "Requests looked at.", live.requests if live else 0),
            Metric("sampled_total", "Requests also decided by a plain reading.", live.sampled if live else 0),
            Metric("findings_total", "Findings.", i.found),
        ]
