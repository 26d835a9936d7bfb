"""Statistics of the quota plane over a day, read from the log lines that programs write with `--counts`.

Lines may have a prefix with a time and a machine's name; other lines of a file are ignored. A `Table` is a
list of rows of cells, the first of which is the header.
"""

from __future__ import annotations

import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from gateway.cli.table import format_table
from gateway.programs.quota_report import QUOTA_LOGGER
from gateway.quota.decision_statistics import BUCKET_EDGES, DECISION_LABELS, LATENCY_LABELS, DecisionKind
from simulation.log_lines import objects

TIME = re.compile(r"(?<![\w.])(\d+(?:\.\d+)?)(?![\w.])")
NAME = re.compile(r"[A-Za-z][\w.-]*")


class LogLine(NamedTuple):
    """A log line: its time in seconds, by its prefix or else by the process, the process, and its object."""

    at: float
    node: str
    entry: dict[str, Any]


class View(NamedTuple):
    """A tenant's count as logged by its shard owner, compared with the views of the quota clients.

    `kept` are reserved units; `views` is the number of views, `differs` the largest difference of one in
    units, `beyond` the most units by which one lies outside what was replied, `oldest` the greatest age in s.
    """

    at: float
    node: str
    tenant: str
    allowance: float
    remaining: float
    reserved: float
    views: int
    differs: float
    beyond: int
    oldest: float


class Day(NamedTuple):
    """The aggregated lines of a day.

    `decided` has, by tenant and precedence, a counter for each of `DECISION_LABELS`; `times`, by the names in
    `LATENCY_LABELS`, histograms of decision times; `course`, by steps of 5 s, counters for `DECISION_LABELS`;
    `back`, likewise, refunded units.
    """

    decided: dict[tuple[str, int], list[int]]
    times: dict[str, list[int]]
    course: dict[int, list[int]]
    back: Counter[int]
    views: list[View]
    parts: list[tuple[float, str, int, int]]  # time, owner, shards gained, shards lost
    moves: list[tuple[float, str, str, str]]  # time, tenant, old owner, new owner


Table = list[tuple[str, ...]]
STEP_S = 5


def read(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the lines of the quota logger among others."""
    for before, entry in objects(lines, QUOTA_LOGGER):
        time = TIME.search(before)
        name = NAME.search(before)
        at = float(time[1]) if time else float(entry.get("time", 0.0))
        yield LogLine(at, f"{name[0]} {entry['node']}" if name else str(entry.get("node", "")), entry)


def gather(lines: Iterable[LogLine]) -> Day:
    """Aggregate the lines of a day; times that are Unix times become relative to the first line's."""
    found = sorted(lines, key=lambda line: line.at)
    begin = found[0].at if found and found[0].at > 1e6 else 0.0
    day = Day(
        {},
        {name: [0] * (len(BUCKET_EDGES) + 1) for name in LATENCY_LABELS},
        defaultdict(lambda: [0] * len(DECISION_LABELS)),
        Counter(),
        [],
        [],
        [],
    )
    holders: dict[str, str] = {}
    for at, node, entry in (line._replace(at=line.at - begin) for line in found):
        if "charged" in entry:
            _charged(day, at, entry)
        if "held" in entry:
            _read_views(day, at, node, entry, holders)
    return day


def _charged(day: Day, at: float, entry: dict[str, Any]) -> None:
    step = int((at - STEP_S / 2) // STEP_S) * STEP_S  # a line tells of the time before it
    for tenant, levels in entry["charged"].items():
        for level, counts in levels.items():
            for total in (
                day.decided.setdefault((tenant, int(level)), [0] * len(DECISION_LABELS)),
                day.course[step],
            ):
                for n, count in enumerate(counts):
                    total[n] += count
    for split, buckets in entry["times"].items():
        for bucket, count in buckets.items():
            day.times[split][int(bucket)] += count
    day.back[step] += entry["back"]


def _read_views(day: Day, at: float, node: str, entry: dict[str, Any], holders: dict[str, str]) -> None:
    for tenant, (allowance, remaining, reserved, views, differs, beyond, oldest) in entry["held"].items():
        day.views.append(
            View(at, node, tenant, allowance, remaining, reserved, views, differs, beyond, oldest)
        )
        before = holders.get(tenant)
        holders[tenant] = node
        if before not in (None, node):
            day.moves.append((at, tenant, str(before), node))
    if entry["gained"] or entry["lost"]:
        day.parts.append((at, node, entry["gained"], entry["lost"]))


def quantile(counts: list[int], part: float) -> float:
    """A quantile in seconds of a histogram, interpolated within its bucket; 0 if it is empty."""
    wanted = part * sum(counts)
    passed = 0
    for bucket, count in enumerate(counts):
        if count and passed + count >= wanted:
            low = BUCKET_EDGES[bucket - 1] if bucket else 0.0
            high = BUCKET_EDGES[bucket] if bucket < len(BUCKET_EDGES) else BUCKET_EDGES[-1]
            return low + (high - low) * (wanted - passed) / count
        passed += count
    return 0.0


def table(day: Day) -> Table:
    """Requests asked, admitted and refused, by tenant and precedence, with late retries apart."""
    rows: Table = [
        ("tenant", "precedence", "asked", "admitted", "refused early", "in part", *DECISION_LABELS)
    ]
    for (tenant, level), counts in sorted(day.decided.items()):
        requested = sum(counts)
        admitted = counts[DecisionKind.ADMITTED_BY_OWNER] + counts[DecisionKind.ADMITTED_BY_SHARE]
        rows.append(
            (
                tenant,
                f"{level // 2}{' late' if level % 2 else ''}",
                str(requested),
                str(admitted),
                str(requested - admitted),
                f"{1 - admitted / requested:.4f}",
                *map(str, counts),
            )
        )
    return rows


def added(day: Day) -> Table:
    """Quantiles of the time that a charge takes, in ms, by how it was decided."""
    rows: Table = [("decided by", "requests", "median ms", "99th ms", "99.9th ms")]
    every = [sum(column) for column in zip(*day.times.values(), strict=True)]
    for name, counts in [*day.times.items(), ("all", every)]:
        within = (f"{1000 * quantile(counts, part):.2f}" for part in (0.5, 0.99, 0.999))
        rows.append((name, str(sum(counts)), *within))
    return rows


def agreement(day: Day) -> Table:
    """By tenant: allowance, number of log lines, owners, and the worst of its views."""
    rows: Table = [
        (
            "tenant",
            "allowance",
            "looks",
            "holders",
            "largest difference",
            "beyond what was said",
            "oldest view s",
            "most kept back",
        )
    ]
    for tenant in sorted({v.tenant for v in day.views}):
        own = [v for v in day.views if v.tenant == tenant]
        rows.append(
            (
                tenant,
                f"{own[-1].allowance:g}",
                str(len(own)),
                str(len({v.node for v in own})),
                f"{max(v.differs for v in own):g}",
                str(max(v.beyond for v in own)),
                f"{max(v.oldest for v in own):.1f}",
                f"{max(v.reserved for v in own):g}",
            )
        )
    return rows


def hands(day: Day) -> Table:
    """Shards gained and lost, and tenants whose owner has changed."""
    rows: Table = [
        (f"{at:.1f}", node, f"{gained} parts gained, {lost} lost") for at, node, gained, lost in day.parts
    ]
    rows += [
        (f"{at:.1f}", to, f"{tenant}, counted by {before} until then") for at, tenant, before, to in day.moves
    ]
    return [("from second", "at", "what"), *sorted(rows, key=lambda row: float(row[0]))]


def render_day(day: Day) -> str:
    """All tables as text for a terminal."""
    parts = [
        ("asked, admitted, refused early", table(day)),
        ("time that the charge adds", added(day)),
        ("agreement", agreement(day)),
        ("keys that changed hands", hands(day)),
    ]
    text = []
    for head, (names, *rows) in parts:
        text.append("\n".join([head, *format_table(names, rows)]))
    return "\n\n".join([*text, f"units given back: {day.back.total()}"])
