"""Whether all nodes agree on each tenant's remaining allowance, as the controllers that count it tell."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from gateway.cli.nodes import Row, ask_each, columns

DISAGREES = 1  # units beyond what was said in a view's time that are let pass


class AllowanceReport(NamedTuple):
    """Tenants with their holders, each node's views, and seeds that gave no answer."""

    tenants: list[Row]
    views: list[Row]
    faults: list[tuple[str, str]]

    @property
    def well(self) -> bool:
        """Whether nothing calls for an operator."""
        return not self.faults and all(row["state"] == "agrees" for row in self.tenants)


def ask(seeds: Iterable[str]) -> AllowanceReport:
    """Ask each of these `control` addresses; tenants that none of them counts are not known."""
    return merge_answers(*ask_each(seeds))


def merge_answers(answers: list[Row], faults: list[tuple[str, str]]) -> AllowanceReport:
    """One list of tenants, one of views."""
    tenants, views = [], []
    for answer in answers:
        for count in answer.get("allowance", ()):
            remaining, row = count["remaining"], {"tenant": count["tenant"], "holder": answer["node"]}
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
    """A table of the tenants, or of each node's views."""
    names, rows = (VIEWS, report.views) if nodes else (TENANTS, report.tenants)
    return columns(names, [tuple(row[name] for name in names) for row in rows])
