"""Metrics of a simulation run: requests served, latency, worth earned, impact of disruptions, messages."""

from __future__ import annotations

from typing import Any, NamedTuple

import numpy as np
from hdrh.histogram import HdrHistogram

from gateway.http_status import is_success
from simulation.model.record import Record, Sent
from simulation.planes import byte_rate, message_rate
from simulation.spec import Kind, Spec

MAX_LATENCY_MS = 120_000  # upper bound of the latency histogram
IN_FLIGHT_S = 2.0  # requests of the last seconds of a day may still be in flight
WINDOW_S = 4  # length of the windows of worth, of which the worst two count
AFFECTED_BELOW = 0.9  # a second is affected if less than this part of the usual fraction is served


class SecondCounts(NamedTuple):
    """By second of the day: requests sent by clients, those served, and those served within the objective."""

    wanted: np.ndarray[Any, Any]
    served: np.ndarray[Any, Any]
    timely: np.ndarray[Any, Any]


def seconds(record: Record, spec: Spec) -> SecondCounts:
    """Count the requests by the second in which they were first sent, and their outcomes."""
    n = int(record.until) + 1
    aims = {kind.name: kind.aim_s for kind in spec.kinds}
    wanted = np.bincount([int(at) for at, *_ in record.wanted], minlength=n)
    served = np.bincount([int(at) for at, *_ in record.served], minlength=n)
    timely = np.bincount(
        [int(at) for at, route, _, _, took in record.served if took <= aims[route]], minlength=n
    )
    return SecondCounts(wanted, served, timely)


def owed(record: Record, spec: Spec) -> np.ndarray[Any, Any]:
    """An array of three rows by second of the day: worth owed, earned, and earned if lateness cost nothing.

    What a tenant requests beyond its rate within a second isn't owed.
    """
    kinds = {kind.name: kind for kind in spec.kinds}
    limits = {
        e["metadata"]["label"]: e["spec"]["rate-per-s"] or 1e9
        for o in record.orders[:1]
        for e in o.document["resource-list"]
        if e["entry-kind"] == "tenants"
    }
    requested = dict[tuple[str, int], list[float]]()
    earned = dict[tuple[str, int], list[tuple[float, float]]]()
    for at, _, worth, tenant in record.wanted:
        if at >= record.until - IN_FLIGHT_S:
            continue
        requested.setdefault((tenant, int(at)), []).append(worth)
    for tries in tries_of(record):
        first = tries[0]
        last = tries[-1]
        if (answer := record.answered.get(last.attempt)) and is_success(answer.status) and not answer.fault:
            kind = kinds[first.route]
            key = first.tenant, int(first.at)
            earned.setdefault(key, []).append((earns(kind, tries, record), kind.worth))
    found = np.zeros((3, int(record.until) + 1))
    for key, worths in requested.items():
        due = sum(worths) * min(1.0, limits.get(key[0], 1e9) / len(worths))
        got = np.sum(earned.get(key, [(0.0, 0.0)]), axis=0)
        found[:, key[1]] += due, min(due, got[0]), min(due, got[1])
    return found


def tries_of(record: Record) -> list[list[Sent]]:
    """Return the attempts of each request in order, without probes."""
    found: dict[int, list[Sent]] = {}
    for sent in record.sent:
        if not sent.is_config_check:
            found.setdefault(sent.request, []).append(sent)
    return list(found.values())


def earns(kind: Kind, tries: list[Sent], record: Record) -> float:
    """The worth that a served request earns.

    Less if it was late, and the mean of both if it was refused early and its last try was in time.
    """
    begun = record.answered[tries[0].attempt]
    ended = record.answered[tries[-1].attempt].at
    if ended <= tries[0].at + kind.aim_s:
        return kind.worth
    soon = begun.status in (429, 503) and begun.at <= tries[0].at + kind.aim_s / 4
    if soon and ended <= tries[-1].at + kind.aim_s:
        return (kind.worth + kind.late) / 2
    return kind.late


def worst_windows(by: np.ndarray[Any, Any]) -> float:
    """The fraction of worth earned, as a mean of the two worst windows of `WINDOW_S` that don't overlap."""
    due, got = (np.convolve(row, np.ones(WINDOW_S), "valid") for row in by[:2])
    parts = np.divide(got, due, out=np.ones_like(due), where=due > 0.25 * due.max(initial=0.0))
    first = int(parts.argmin())
    rest = np.abs(np.arange(len(parts)) - first) >= WINDOW_S
    return float((parts[first] + parts[rest].min(initial=1.0)) / 2)


def unserved(record: Record) -> tuple[int, int]:
    """The number of requests that were refused at last, and of those that failed in other ways.

    The latter perhaps because there was no ingress to send them to.
    """
    lasts = [record.answered.get(tries[-1].attempt) for tries in tries_of(record)]
    refused = sum(last is not None and last.status in (429, 503) for last in lasts)
    under_way = sum(last is None for last in lasts)
    return refused, len(record.wanted) - len(record.served) - refused - under_way


def histogram(record: Record) -> HdrHistogram:
    """Histogram of the latency of served requests, in ms."""
    found = HdrHistogram(1, MAX_LATENCY_MS, 3)
    for *_, took in record.served:
        found.record_value(max(1, int(1000 * took)))
    return found


def felt(by: SecondCounts, begins: float, ends: float) -> tuple[int, float]:
    """The number of seconds in a span with less served than usual, and the fraction lost in the worst one."""
    wanted = by.wanted
    served = by.served
    total = wanted.sum()
    usual = served.sum() / total if total else 1.0
    lost = 0
    worst = 0.0
    for second in range(int(begins), min(int(ends) + 1, len(wanted))):
        if wanted[second] >= 4:
            part = served[second] / wanted[second]
            lost += part < AFFECTED_BELOW * usual
            worst = max(worst, 1 - part / max(usual, 1e-9))
    return lost, worst


def spread(record: Record) -> list[float]:
    """For each configuration change, the seconds from its acknowledgement until the last ingress has it.

    Changes that were superseded before aren't counted.
    """
    found = []
    orders = [o for o in record.orders if o.status == 200]
    for order, after in zip(orders, [*orders[1:], None], strict=True):
        until = after.sent if after is not None else record.until
        taken: dict[str, float] = {}
        for at, machine, generation in record.taken:
            if generation >= order.generation and order.sent <= at < until:
                taken.setdefault(machine, at)
        if taken and order.at < until - 1.0:
            found.append(max(0.0, max(taken.values()) - order.at))
    return found


def measure(record: Record, spec: Spec) -> dict[str, float]:
    """All metrics of a run by name, for tables and plots."""
    by = seconds(record, spec)
    times = histogram(record)
    worth = owed(record, spec)
    requested, earned, at_all = worth.sum(axis=1)
    refused, failed = unserved(record)
    wanted = int(by.wanted.sum())
    served = int(by.served.sum())
    parts = [by.served[s] / by.wanted[s] for s in range(len(by.wanted)) if by.wanted[s] >= 4]
    statuses = [a.status for a in record.answered.values()]
    tries = max(1, len(statuses))
    ran = [a for a in record.arrived if a.ran]
    acks = [o.at - o.sent for o in record.orders if o.status == 200]
    spreads = spread(record)
    figures = record.figures
    day = max(1e-9, figures["day_s"])
    out = {
        "wanted": wanted,
        "served": served,
        "served_part": served / max(1, wanted),
        "worth_part": earned / max(1e-9, requested),
        "at_all_part": at_all / max(1e-9, requested),
        "worst_windows": worst_windows(worth),
        "refused_requests": refused / max(1, wanted),
        "failed_requests": failed / max(1, wanted),
        "timely_part": float(by.timely.sum()) / max(1, wanted),
        "worst_second": float(min(parts, default=1.0)),
        "worst_ten_seconds": float(np.mean(sorted(parts)[:10])) if parts else 1.0,
        "p50_ms": times.get_value_at_percentile(50),
        "p99_ms": times.get_value_at_percentile(99),
        "refused_part": sum(s in (429, 503) for s in statuses) / tries,
        "failed_part": sum(s in (0, -1, 502, 504) for s in statuses) / tries,
        "runs_a_request": len(ran) / max(1, served),
        "orders": len(record.orders),
        "acknowledged": len(acks),
        "ack_s": max(acks, default=0.0),
        "spread_s": max(spreads, default=0.0),
        "times_real": figures["times_real"],
        "node_seconds_a_second": figures["node_seconds_a_second"],
        "disk_saves": figures["disk_saves"],
        "zone_bytes_a_second": figures["bytes_between_zones"] / day,
        "zone_mb": figures["bytes_between_zones"] / 1e6,
    }
    for plane, count in figures["messages"].items():
        out[message_rate(plane)] = count / day
        out[byte_rate(plane)] = figures["bytes"][plane] / day
    return {name: float(value) for name, value in out.items()}
