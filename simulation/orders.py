"""Times of configuration orders, from the log lines of a day: to the acknowledgement, and to each node.

Lines are recognized by their JSON object (`gateway.runtime.config_events`); they may have any prefix, such
as a time and a node's name.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from statistics import median
from typing import Any, NamedTuple

from gateway.runtime.config_events import CHANGE_ACKNOWLEDGED, CONFIG_IN_FORCE, LOGGER
from simulation.log_lines import objects

NUMBER = re.compile(r"\d+(?:\.\d+)?")
SKEW_S = 0.5  # by which clocks of machines may differ


class LogLine(NamedTuple):
    """A log line: its time in seconds, its message, and its object."""

    at: float
    what: str
    entry: dict[str, Any]


@dataclass
class Order:
    """An order that was accepted. `came` is its time; other times are in seconds after that.

    `nodes` has, for each node, when it put the order in force.
    """

    version: int
    generation: int
    came: float
    ack_s: float | None = None
    nodes: dict[str, float] = field(default_factory=dict)
    anew: int = 0  # nodes that started with it afterwards
    missing: int = 0  # nodes that were running and haven't logged it


def read(lines: Iterable[str], by_prefix: bool) -> list[LogLine]:
    """The lines about orders, sorted by time: the first number in the prefix, or the object's own time."""
    found = []
    for before, entry in objects(lines, LOGGER):
        number = NUMBER.search(before)
        if by_prefix and number is None:
            continue
        at = float(number[0]) if by_prefix and number else float(entry["time"])
        found.append(LogLine(at, entry["message"], entry))
    return sorted(found, key=lambda line: line.at)


def orders(lines: list[LogLine]) -> list[Order]:
    """All orders that were accepted, with their times."""
    found: dict[tuple[int, int], Order] = {}
    forces: list[LogLine] = []
    for line in lines:
        if line.what == CONFIG_IN_FORCE:
            forces.append(line)
            continue
        key = line.entry["version"], line.entry["generation"]
        order = found.setdefault(key, Order(*key, line.at))
        if line.what == CHANGE_ACKNOWLEDGED:
            order.ack_s = line.entry["after_s"]
            order.came = line.at - line.entry["after_s"]
    for order in found.values():
        if order.ack_s is not None:
            _spread(order, forces)
    return list(found.values())


def _spread(order: Order, forces: list[LogLine]) -> None:
    """Set when each node put the order, or a later one, in force."""
    known = set[str]()
    reported = set[str]()
    for line in forces:
        node = line.entry["node"]
        version = line.entry["version"]
        if version < order.version:
            known.add(node)
        elif node not in reported and line.at >= order.came - SKEW_S:
            reported.add(node)
            if line.entry["first"]:
                order.anew += version == order.version
            else:
                order.nodes[node] = max(0.0, line.at - order.came)
    order.missing = len(known - reported)


def table(found: list[Order]) -> list[str]:
    """A text table: one line for each order, then the median and the worst of all."""
    rows = [("generation", "version", "acknowledged-s", "nodes", "median-s", "last-s", "anew", "missing")]
    for o in found:
        times = list(o.nodes.values())
        rows.append(
            (
                str(o.generation),
                str(o.version),
                "no" if o.ack_s is None else f"{o.ack_s:.3f}",
                str(len(times)),
                _cell(times, median),
                _cell(times, max),
                str(o.anew),
                str(o.missing),
            )
        )
    acks = [o.ack_s for o in found if o.ack_s is not None]
    spreads = [list(o.nodes.values()) for o in found if o.nodes]
    mids = [median(s) for s in spreads]
    lasts = [max(s) for s in spreads]
    for name, summarize in (("median", median), ("worst", max)):
        rows.append(
            (name, "", _cell(acks, summarize), "", _cell(mids, summarize), _cell(lasts, summarize), "", "")
        )
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    return ["  ".join(c.rjust(w) for c, w in zip(row, widths, strict=True)).rstrip() for row in rows]


def _cell(times: list[float], summarize: Any) -> str:
    return f"{summarize(times):.3f}" if times else ""
