"""Compares the rate limit windows in force in the quota plane with those of the document."""

from __future__ import annotations

from collections.abc import Mapping

from gateway.config.document import Document
from gateway.config.schema import Difference
from gateway.quota.window import Window, plan

Windows = Mapping[str, Window]
"""The window of each tenant by label; tenants without a limit have none."""


def expected_windows(document: Document, span_s: float) -> Windows:
    """The windows defined by the document; `span_s` is the span of the quota rule in seconds."""
    windows = {t.label: plan(t.rate, t.burst, span_s) for t in document.tenants.values()}
    return {label: window for label, window in windows.items() if window is not None}


def quota_differences(expected: Windows, running: Windows) -> list[Difference]:
    """The differences between the windows in force and the expected ones."""
    if expected == running:
        return []
    labels = sorted(expected.keys() | running.keys())
    return [
        Difference(f"quota {label}", _describe(running.get(label)), _describe(expected.get(label)))
        for label in labels
        if running.get(label) != expected.get(label)
    ]


def _describe(window: Window | None) -> str:
    return "no limit" if window is None else f"{window.allowance:g} in {window.length_s:g} s"
