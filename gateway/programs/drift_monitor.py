"""The drift detector's place in a proxy: what it is told, and what becomes of what it says."""

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
from gateway.programs.fleet_monitor import JSON, METRICS, STATUS
from gateway.programs.quota_report import QUOTA_METRIC_PREFIX, QuotaReport
from gateway.runtime.http_listener import HttpCall, Reply
from gateway.runtime.settings import Bounds
from gateway.state_machine import Address

CHECK_INTERVAL_S = 0.25  # between two looks for the last contact with the core, and at what else time brings
QUOTA_CHECK_INTERVAL_S = 1.0  # between two looks at the quotas and limits in force
MAX_FINDING_LENGTH = 200  # letters of a finding that are told to the core

log = logging.getLogger("gateway.drift")


class Node(Protocol):
    """What the drift detector needs of the proxy around it."""

    compiled_config: CompiledConfig | None

    def clock(self) -> float:
        """Steady seconds."""

    def confirmed(self, now: float) -> tuple[int, float] | None:
        """The version that most of the core says is the newest, and since when that is sure."""

    def fetch(self, version: int, holder: str, again: bool) -> None:
        """Ask for a version."""

    def rebuild(self, version: int, value: bytes) -> None:
        """Build what requests use anew, from the value of a version and nothing else."""

    def holds(self, version: int, digest: int, findings: int, finding: str) -> None:
        """Tell the core and the neighbours what runs here."""

    def in_force(self, document: Document) -> list[Difference]:
        """Where quotas and limits that are handed on aren't those of the document."""


class DriftMonitor:
    """Connects the drift detector to a proxy. `apply_s` as in the rules; `closed_s` is how old the last contact with the core
    may be where requests are then to be turned back, else None."""

    def __init__(self, me: Address, node: Node, bounds: Bounds) -> None:
        self.me, self.node = me, node
        self.drift_detector = DriftDetector(bounds.apply_s, bounds.revoke_s if bounds.revoke_closed else None)
        self.live: LiveCheck | None = None
        self.value = b""
        self.ready, self.refusing = True, ""
        self.refetching = False  # the version that is held has been asked for again
        self.turned_back = 0
        self.look_at = self.quotas_at = 0.0

    # What the proxy tells.

    def request(
        self, host: bytes, path: bytes, key: bytes, route_decision: RouteDecision
    ) -> RouteDecision | None:
        """A decision on a live request, seen through: as it was or as it is after a repair; None where the
        request is to be turned back."""
        if self.live is None:
            return route_decision
        if self.refusing:
            self.turned_back += 1
            return None
        try:
            seen = self.live.check(self.node.clock(), host, path, key, route_decision)
        except Exception as error:  # of what is looked at: that must not end the request
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
        """A version is in force here; `acknowledged` is its digest as the core told it."""
        self.value, self.refetching = value, False
        self.live = LiveCheck(document, expected, compiled_config, self.live)
        running = running_digest(compiled_config, expected)
        self.node.holds(version, running, self.drift_detector.found, self.latest())
        self.handle_drift(drift_messages.VersionApplied(version, running, acknowledged or expected.total))

    def unreadable(self, version: int, why: str) -> None:
        self.handle_drift(drift_messages.VersionUnreadable(version, why))

    def heard(self, version: int, digest: bytes, holder: str) -> None:
        self.handle_drift(drift_messages.VersionSeen(version, int.from_bytes(digest), holder))

    def tick(self) -> None:
        """Time goes on."""
        now = self.node.clock()
        if now < self.look_at <= now + CHECK_INTERVAL_S and not self.drift_detector.core_not_heard:
            return
        self.look_at = now + CHECK_INTERVAL_S
        if (sure := self.node.confirmed(now)) is not None:
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

    # What the drift detector says.

    def handle_drift(self, event: Any) -> None:
        """An input of the drift detector."""
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
        """The latest finding, cut short."""
        return (
            str(self.drift_detector.findings[-1])[:MAX_FINDING_LENGTH] if self.drift_detector.findings else ""
        )

    # For operators.

    def answer(self, http_call: HttpCall, reply: Reply, quota_report: QuotaReport) -> bool:
        """Answer a call that is about this; whether it is. `counting` adds what the quota plane tells."""
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
        """What `GET /-/status` answers."""
        i, live = self.drift_detector, self.live
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
        """What is worth an alert."""
        i, live = self.drift_detector, self.live
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
