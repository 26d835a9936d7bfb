"""Answers calls for status and metrics at both programs."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from http import HTTPStatus

from gateway.drift.metrics import CONTENT_TYPE, Metric, render_metrics
from gateway.programs.paths import METRICS, STATUS
from gateway.programs.quota_report import QUOTA_METRIC_PREFIX, QuotaReport
from gateway.runtime.http_call import JSON, HttpCall, Reply


def answer_status_call(
    now: float,
    http_call: HttpCall,
    reply: Reply,
    status: Callable[[], Mapping[str, object]],
    metrics: Callable[[], list[Metric]],
    quota_report: QuotaReport,
) -> bool:
    """Answer a call for status or metrics, including those of `quota_report`; False for any other call."""
    path = http_call.path.partition("?")[0]
    if http_call.method != "GET":
        return False
    if path == METRICS:
        own_metrics = render_metrics(metrics())
        quota_metrics = render_metrics(quota_report.metrics(now), QUOTA_METRIC_PREFIX)
        reply(HTTPStatus.OK, CONTENT_TYPE, own_metrics + quota_metrics)
        return True
    if path == STATUS:
        fields = {**status(), **quota_report.status(now)}
        reply(HTTPStatus.OK, JSON, json.dumps(fields).encode())
        return True
    return False
