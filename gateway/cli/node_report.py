"""Command `nodes`: the configuration that each node runs, merged from the status of several controllers."""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from gateway.cli.status_client import CallFailure, Row, StatusAnswers, fetch_all
from gateway.cli.table import format_table
from gateway.state_machine import Address

SILENT_AFTER_S = 10.0  # after this time without a report, a node is in the state `silent`
COLUMNS = ("node", "role", "version", "digest", "lag-s", "heard-s", "found", "state")


class NodeState(StrEnum):
    """State of a node in the report; the values are printed."""

    UP_TO_DATE = "well"
    SILENT = "silent"  # no recent report
    BEHIND = "behind"  # it runs an older version
    DIFFERENT = "differs"  # it runs the newest version with another digest


class FleetReport(NamedTuple):
    """The newest version known to a controller, all nodes, drift findings, and seeds without an answer.

    The field names are those of the output with `--json`.
    """

    version: int
    nodes: list[Row]
    findings: list[str]
    faults: list[CallFailure]

    @property
    def is_healthy(self) -> bool:
        """Whether every seed answered, there are no findings, and every node is up to date."""
        all_current = all(node["state"] == NodeState.UP_TO_DATE for node in self.nodes)
        return all_current and not self.faults and not self.findings


def fetch_report(seeds: Iterable[Address]) -> FleetReport:
    """Fetch the status of these `control` addresses and merge the answers."""
    return merge_answers(fetch_all(seeds))


def merge_answers(fetched: StatusAnswers) -> FleetReport:
    """Merge several answers into one report that contains the most recent report of each node."""
    answers = fetched.answers
    version = max((answer["version"] for answer in answers), default=0)
    latest: dict[str, Row] = {}
    for answer in answers:
        for row in (_own_row(answer), *answer["nodes"]):
            previous = latest.get(row["node"])
            if previous is None or row["heard-s"] < previous["heard-s"]:
                latest[row["node"]] = dict(row)
    digests = {answer["digest"] for answer in answers if answer["version"] == version}
    for row in latest.values():
        row["state"] = _state(row, version, digests)
    findings = dict.fromkeys(finding for answer in answers for finding in answer["findings"])
    nodes = [latest[node] for node in sorted(latest)]
    return FleetReport(version, nodes, list(findings), fetched.failures)


def _own_row(answer: Row) -> Row:
    """The row of the controller that answered."""
    return {
        "node": answer["node"],
        "role": answer["role"],
        "version": answer["version"],
        "digest": answer["digest"],
        "lag-s": 0.0,
        "heard-s": 0.0,
        "found": answer["found"],
        "finding": "",
    }


def _state(row: Row, version: int, digests: set[str]) -> NodeState:
    if row["heard-s"] > SILENT_AFTER_S:
        return NodeState.SILENT
    if row["version"] < version:
        return NodeState.BEHIND
    if row["version"] == version and row["digest"] not in digests:
        return NodeState.DIFFERENT
    return NodeState.UP_TO_DATE


def lines(report: FleetReport) -> list[str]:
    """Lines for the terminal: a table of the nodes, then the findings."""
    table = format_table(COLUMNS, [tuple(node[c] for c in COLUMNS) for node in report.nodes])
    return [*table, *(f"finding: {finding}" for finding in report.findings)]
