"""QUOTA and BUDGET: limits on sums over sliding windows, over all machines together."""

from __future__ import annotations

from bisect import bisect_left, bisect_right

from simulation.checkers.history import RuleViolation, RunHistory, limit_findings


def quota(history: RunHistory) -> list[RuleViolation]:
    """QUOTA: in no window are more requests of a tenant run than its limit allows."""
    b = history.bounds
    found = []
    runs: dict[str, list[tuple[float, float]]] = {}
    for attempt, arrivals in history.ran.items():
        sent = history.sent.get(attempt)
        if sent is not None:
            runs.setdefault(arrivals[0].tenant, []).append((arrivals[0].at, sent.at))
    for tenant, times in runs.items():
        times.sort()
        first = 0
        for last, (at, _) in enumerate(times):
            while times[first][0] < at - b.quota_window_s:
                first += 1
            if last - first + 1 <= b.quota_slack:
                continue
            begins = times[first][0]
            limit = limit_of(history, tenant, begins, at)
            if limit is None:
                continue
            count = sum(1 for a, s in times[first : last + 1] if s >= begins - 0.5)
            if count > limit:
                found.append(
                    RuleViolation(
                        "QUOTA",
                        at,
                        f"{count} requests of {tenant} are run from {begins:.3f} "
                        f"on, {limit:.0f} are allowed",
                    )
                )
                break
    return limit_findings(found)


def limit_of(history: RunHistory, tenant: str, begins: float, ends: float) -> float | None:
    """The most requests of a tenant that may run in a window, None if there is no limit.

    By the highest of the limits that may still have been in force anywhere.
    """
    b = history.bounds
    since = begins - b.quota_window_s - b.apply_s
    late = [
        t.ends
        for t in history.record.disruptions
        if t.machines and t.begins <= ends and t.ends + b.contact_s + b.apply_s + b.quota_window_s >= begins
    ]
    if late:
        since = min(since, *(t.begins - b.contact_s for t in history.record.disruptions if t.ends in late))
    highest = 0.0
    for version in history.in_force(since, ends):
        if tenant not in version.limits:
            continue
        rate, burst = version.limits[tenant]
        if rate <= 0:
            return None
        most = (rate * b.quota_window_s + burst) * (1 + b.quota_excess) + b.quota_slack
        highest = max(highest, most)
    return highest or None


def budget(history: RunHistory) -> list[RuleViolation]:
    """BUDGET: repeated arrivals of tries stay within the retry budget of their service."""
    b = history.bounds
    found = []
    window = b.retry_window_s
    first: set[tuple[str, str]] = set()
    repeats: dict[str, list[float]] = {}
    seen: set[str] = set()
    for a in sorted(history.record.arrived, key=lambda a: a.at):
        if a.attempt in seen:
            repeats.setdefault(a.service, []).append(a.at)
        seen.add(a.attempt)
        first.add((a.attempt, a.service))
    wanted: dict[str, list[float]] = {}
    for sent in history.record.sent:
        services: set[str] = set().union(
            *(v.services(sent.host, sent.path) for v in history.in_force(sent.at, sent.at))
        )
        for service in services:
            wanted.setdefault(service, []).append(sent.at)
    for service, times in repeats.items():
        requested = sorted(wanted.get(service, []))
        for i, at in enumerate(times):
            count = bisect_right(times, at + window) - i
            requests = max(
                bisect_right(requested, at + window - back) - bisect_left(requested, at - back)
                for back in (0.0, window, window / 2)
            )
            most = b.retry_ratio * requests + b.retry_slack
            if count > most:
                found.append(
                    RuleViolation(
                        "BUDGET",
                        at,
                        f"{count} further arrivals at {service} in {window:g} s, " f"{most:.0f} are allowed",
                    )
                )
                break
    return limit_findings(found)
