"""Command `nodes`: which configuration each node runs, merged from the status of several controllers.

`ask_each` and `columns` also serve the other report commands.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from http.client import HTTPConnection, HTTPException
from typing import Any, NamedTuple

from gateway.programs.fleet_monitor import STATUS
from gateway.runtime.address import host_port

PATIENCE_S = 2.0  # timeout of one call
MOST_BYTES = 4 * 1024 * 1024  # limit of one answer's body
SILENT_S = 10.0  # without a report for so long, a node is in the state `silent`
Row = dict[str, Any]


class FleetReport(NamedTuple):
    """The newest version that a controller knows, all nodes, drift findings, and seeds without an answer."""

    version: int
    nodes: list[Row]
    findings: list[str]
    faults: list[tuple[str, str]]

    @property
    def well(self) -> bool:
        """Whether every seed answered, there are no findings, and every node is in the state `well`."""
        return not (self.faults or self.findings or any(n["state"] != "well" for n in self.nodes))


def status(address: str, path: str = STATUS) -> Row:
    """The JSON object at `path` of a program. Raises OSError or ValueError if there is no valid answer."""
    host, port = host_port(address)
    connection = HTTPConnection(host, port, timeout=PATIENCE_S)
    try:
        connection.request("GET", path)
        answer = connection.getresponse()
        body = answer.read(MOST_BYTES)
        if answer.status != 200:
            raise ValueError(f"answered {answer.status}")
        report = json.loads(body)
        if not isinstance(report, dict):
            raise ValueError("answered no object")
        return report
    except HTTPException as error:
        raise ValueError(f"answered {type(error).__name__}") from error
    finally:
        connection.close()


def ask_each(seeds: Iterable[str], path: str = STATUS) -> tuple[list[Row], list[tuple[str, str]]]:
    """The answers of these `control` addresses, and the failures as pairs of address and reason."""
    answers = []
    faults = []
    for seed in seeds:
        try:
            answers.append(status(seed, path))
        except (OSError, ValueError) as error:
            faults.append((seed, str(error) or type(error).__name__))
    return answers, faults


def ask(seeds: Iterable[str]) -> FleetReport:
    """Ask each of these `control` addresses and merge what they report."""
    return merge_answers(*ask_each(seeds))


def merge_answers(answers: list[Row], faults: list[tuple[str, str]]) -> FleetReport:
    """One report from several answers: for each node the one that was heard from it last."""
    version = max((a["version"] for a in answers), default=0)
    latest: dict[str, Row] = {}
    for a in answers:
        own = {
            "node": a["node"],
            "role": a["role"],
            "version": a["version"],
            "digest": a["digest"],
            "lag-s": 0.0,
            "heard-s": 0.0,
            "found": a["found"],
            "finding": "",
        }
        for row in (own, *a["nodes"]):
            known = latest.get(row["node"])
            if known is None or row["heard-s"] < known["heard-s"]:
                latest[row["node"]] = dict(row)
    digests = {a["digest"] for a in answers if a["version"] == version}
    for row in latest.values():
        row["state"] = _state(row, version, digests)
    findings = dict.fromkeys(f for a in answers for f in a["findings"])
    return FleetReport(version, [latest[n] for n in sorted(latest)], list(findings), faults)


def _state(row: Row, version: int, digests: set[str]) -> str:
    if row["heard-s"] > SILENT_S:
        return "silent"
    if row["version"] < version:
        return "behind"
    if row["version"] == version and row["digest"] not in digests:
        return "differs"
    return "well"


COLUMNS = ("node", "role", "version", "digest", "lag-s", "heard-s", "found", "state")


def lines(report: FleetReport) -> list[str]:
    """Lines for the terminal: a table of the nodes, then the findings."""
    table = columns(COLUMNS, [tuple(n[c] for c in COLUMNS) for n in report.nodes])
    return [*table, *(f"finding: {f}" for f in report.findings)]


def columns(names: tuple[str, ...], rows: Iterable[tuple[Any, ...]]) -> list[str]:
    """Format rows as a table with aligned columns; the first line has the names."""
    cells = [names, *(tuple(map(_cell, row)) for row in rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(names))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    ]


def _cell(value: Any) -> str:
    return f"{value:.1f}" if isinstance(value, float) else "-" if value is None else str(value)
