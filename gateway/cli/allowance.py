"""Command `allowance`: whether all nodes agree on each tenant's remaining allowance.

The controllers report the counters that they own, and the view that each proxy has of them.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from gateway.cli.nodes import Row, ask_each, columns

DISAGREES = 1  # units: a view may deviate by this much from what its owner had said


class AllowanceReport(NamedTuple):
    """Tenants with their counters' owners (`holder`), each node's views, and seeds without an answer."""

    tenants: list[Row]
    views: list[Row]
    faults: list[tuple[str, str]]

    @property
    def well(self) -> bool:
        """Whether every seed answered and every tenant is in the state `agrees`."""
        return not self.faults and all(row["state"] == "agrees" for row in self.tenants)


def ask(seeds: Iterable[str]) -> AllowanceReport:
    """Ask each of these `control` addresses. Tenants that none of these controllers counts are missing."""
    return merge_answers(*ask_each(seeds))


def merge_answers(answers: list[Row], faults: list[tuple[str, str]]) -> AllowanceReport:
    """Merge the status answers into one list of tenants and one of views, both sorted by tenant."""
    tenants = []
    views = []
    for answer in answers:
        for count in answer.get("allowance", ()):
            remaining = count["remaining"]
            row = {"tenant": count["tenant"], "holder": answer["node"]}
            seen = [
                {**row, "remaining": remaining, **view, "differs": abs(int(remaining) - view["view"])}
                for view in count["views"]
            ]
            worst = max((v["beyond"] or 0 for v in seen), default=0)
            tenants.append(
                {
                    **row,
                    "allowance": count["allowance"],
                    "remaining": remaining,
                    "kept": count["kept"],
                    "nodes": len(seen),
                    "oldest-s": max((v["age-s"] for v in seen), default=None),
                    "differs": max((v["differs"] for v in seen), default=0),
                    "beyond": worst,
                    "state": "disagrees" if worst > DISAGREES else "agrees",
                }
            )
            views += seen
    held = [row["tenant"] for row in tenants]
    for row in tenants:
        if held.count(row["tenant"]) > 1:
            row["state"] = "held twice"
    tenants.sort(key=lambda row: (row["tenant"], row["holder"]))
    return AllowanceReport(tenants, sorted(views, key=lambda row: (row["tenant"], row["node"])), faults)


TENANTS = (
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
VIEWS = ("tenant", "holder", "remaining", "node", "view", "age-s", "differs", "beyond")


def lines(report: AllowanceReport, nodes: bool) -> list[str]:
    """A table for the terminal: one line a tenant, or with `nodes` one line a view."""
    names, rows = (VIEWS, report.views) if nodes else (TENANTS, report.tenants)
    return columns(names, [tuple(row[name] for name in names) for row in rows])
