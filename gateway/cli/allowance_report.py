"""Command `allowance`: whether all nodes agree on the remaining allowance of each tenant.

The controllers report the counts that they own, and each proxy's view of them.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from gateway.cli.status_client import CallFailure, Row, StatusAnswers, fetch_all
from gateway.cli.table import format_table
from gateway.state_machine import Address

TOLERATED_DIFFERENCE = 1  # units by which a view may be outside of what the count's owner reported
TENANT_COLUMNS = (
    "tenant",
    "holder",
    "allowance",
    "remaining",
    "kept",
    "nodes",
    "oldest-s",
    "differs",
    "beyond",
    "state",
)
VIEW_COLUMNS = ("tenant", "holder", "remaining", "node", "view", "age-s", "differs", "beyond")


class TenantState(StrEnum):
    """State of a tenant in the report; the values are printed."""

    AGREES = "agrees"
    DISAGREES = "disagrees"  # a node's view is outside of what the owner reported
    DUPLICATE_OWNER = "held twice"  # two controllers count the tenant


class AllowanceReport(NamedTuple):
    """Tenants with the owners of their counts (`holder`), each node's views, and seeds without an answer.

    The field names are those of the output with `--json`.
    """

    tenants: list[Row]
    views: list[Row]
    faults: list[CallFailure]

    @property
    def is_healthy(self) -> bool:
        """Whether every seed answered and all nodes agree on every tenant."""
        return not self.faults and all(row["state"] == TenantState.AGREES for row in self.tenants)


def fetch_report(seeds: Iterable[Address]) -> AllowanceReport:
    """Fetch the status of these `control` addresses and merge the answers.

    Tenants that none of these controllers counts are missing.
    """
    return merge_answers(fetch_all(seeds))


def merge_answers(fetched: StatusAnswers) -> AllowanceReport:
    """Merge the answers into one list of tenants and one of views, both sorted by tenant."""
    tenants = []
    views = []
    for answer in fetched.answers:
        for counter in answer.get("allowance", ()):
            counter_views = _view_rows(answer["node"], counter)
            tenants.append(_tenant_row(answer["node"], counter, counter_views))
            views += counter_views
    owners = Counter(row["tenant"] for row in tenants)
    for row in tenants:
        if owners[row["tenant"]] > 1:
            row["state"] = TenantState.DUPLICATE_OWNER
    tenants.sort(key=lambda row: (row["tenant"], row["holder"]))
    views.sort(key=lambda row: (row["tenant"], row["node"]))
    return AllowanceReport(tenants, views, fetched.failures)


def _view_rows(owner: str, counter: Row) -> list[Row]:
    """One row for each node's view of a count."""
    remaining = counter["remaining"]
    return [
        {
            "tenant": counter["tenant"],
            "holder": owner,
            "remaining": remaining,
            **view,
            "differs": abs(int(remaining) - view["view"]),
        }
        for view in counter["views"]
    ]


def _tenant_row(owner: str, counter: Row, views: list[Row]) -> Row:
    """The row of a count, with the largest differences of its views."""
    outside_by = max((view["beyond"] or 0 for view in views), default=0)
    agrees = outside_by <= TOLERATED_DIFFERENCE
    return {
        "tenant": counter["tenant"],
        "holder": owner,
        "allowance": counter["allowance"],
        "remaining": counter["remaining"],
        "kept": counter["kept"],
        "nodes": len(views),
        "oldest-s": max((view["age-s"] for view in views), default=None),
        "differs": max((view["differs"] for view in views), default=0),
        "beyond": outside_by,
        "state": TenantState.AGREES if agrees else TenantState.DISAGREES,
    }


def lines(report: AllowanceReport, by_node: bool) -> list[str]:
    """A table for the terminal: one line per tenant, or with `by_node` one line per view."""
    names = VIEW_COLUMNS if by_node else TENANT_COLUMNS
    rows = report.views if by_node else report.tenants
    return format_table(names, [tuple(row[name] for name in names) for row in rows])
