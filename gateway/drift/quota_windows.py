"""Quotas as they were handed on to the plane that counts, against those of the document."""

from __future__ import annotations

from collections.abc import Mapping

from gateway.config.document import Document
from gateway.config.schema import Difference
from gateway.quota.window import Window, plan

Windows = Mapping[str, Window]
"""By a tenant's label, how it is counted; one without a limit isn't in it."""


def expected_windows(document: Document, span_s: float) -> Windows:
    """How tenants are to be counted; `span_s` is that of the quota rule, in seconds."""
    windows = {t.label: plan(t.rate, t.burst, span_s) for t in document.tenants.values()}
    return {label: window for label, window in windows.items() if window is not None}


def quota_differences(quota_windows: Windows, windows: Windows) -> list[Difference]:
    """Where tenants are counted otherwise than they are to be."""
    if quota_windows == windows:
        return []
    labels = sorted(quota_windows.keys() | windows.keys())
    return [
        Difference(f"quota {label}", _told(windows.get(label)), _told(quota_windows.get(label)))
        for label in labels
        if windows.get(label) != quota_windows.get(label)
    ]


def _told(window: Window | None) -> str:
    return "no limit" if window is None else f"{window.allowance:g} in {window.length_s:g} s"
