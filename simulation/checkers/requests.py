"""TWICE, REFUSED, MIXED, UNASKED, DENIED and ROUTE: rules about single requests."""

from __future__ import annotations

from gateway.http_status import is_success
from simulation.checkers.history import RuleViolation, RunHistory, limit_findings

PROMISES = (429, 503, 408, 421)  # statuses that promise that the request was not run and never will be
OWN = (408, 409, 421, 429)  # statuses of the system's own that are no denial


def twice(history: RunHistory) -> list[RuleViolation]:
    """TWICE: a request that may not be repeated runs once."""
    return limit_findings(
        [
            RuleViolation(
                "TWICE",
                runs[1].at,
                f"{history.sent[attempt].path} runs {len(runs)} times: "
                f"{', '.join(a.backend for a in runs)}",
            )
            for attempt, runs in history.ran.items()
            if len(runs) > 1 and attempt in history.sent and not history.sent[attempt].safe
        ]
    )


def refused(history: RunHistory) -> list[RuleViolation]:
    """REFUSED: a request that has run, and may not be repeated, doesn't get a status of `PROMISES`."""
    found = []
    for attempt, runs in history.ran.items():
        answer = history.record.answered.get(attempt)
        sent = history.sent.get(attempt)
        if answer is not None and sent is not None and not sent.safe and answer.status in PROMISES:
            found.append(
                RuleViolation(
                    "REFUSED",
                    answer.at,
                    f"{sent.path} has run at {runs[0].at:.3f} and is "
                    f"answered {answer.status} by {sent.way}",
                )
            )
    return limit_findings(found)


def mixed(history: RunHistory) -> list[RuleViolation]:
    """MIXED: successful responses are complete and belong to their request; nothing else looks like one."""
    found = [
        RuleViolation("MIXED", a.at, f"{history.sent[a.attempt].path}: {a.status}, {a.fault}")
        for a in history.record.answered.values()
        if a.fault and (is_success(a.status) or "no answer" in a.fault)
    ]
    found += [
        RuleViolation("MIXED", 0.0, f.removeprefix("MIXED: "))
        for f in history.record.faults
        if f[:6] == "MIXED:"
    ]
    found += [
        RuleViolation("MIXED", a.at, f"{history.sent[a.attempt].path}: {a.status}, and nothing has run")
        for a in history.record.answered.values()
        if is_success(a.status) and a.attempt not in history.ran
    ]
    return limit_findings(found)


def unasked(history: RunHistory) -> list[RuleViolation]:
    """UNASKED: backends run only what clients have sent, as they sent it, for the tenant of the key."""
    found = []
    for attempt, runs in history.ran.items():
        sent = history.sent.get(attempt)
        for a in runs:
            if sent is None:
                found.append(RuleViolation("UNASKED", a.at, f"{a.path} runs with an id that nobody has sent"))
            elif a.path != sent.path:
                found.append(RuleViolation("UNASKED", a.at, f"{sent.path} runs as {a.path}"))
            elif a.tenant not in {v.keys.get(sent.key) for v in history.versions}:
                found.append(
                    RuleViolation("UNASKED", a.at, f"{sent.path} runs for {a.tenant}, with {sent.key}")
                )
    return limit_findings(found)


def denied(history: RunHistory) -> list[RuleViolation]:
    """DENIED: valid requests are not denied, except for a few."""
    wrong = []
    for a in history.record.answered.values():
        if not 300 <= a.status < 500 or a.status in OWN:
            continue
        sent = history.sent[a.attempt]
        known = history.in_force(sent.at - history.bounds.apply_s, a.at)
        if (
            known
            and all(v.allows(sent) for v in known)
            and history.has_contact(sent.way, sent.at - history.bounds.apply_s, a.at)
        ):
            wrong.append((a, sent))
    if len(wrong) <= 5 + len(history.record.sent) / 500:
        return []
    a, sent = wrong[0]
    return [
        RuleViolation(
            "DENIED",
            a.at,
            f"{len(wrong)} proper requests are denied; the first is {sent.path} with "
            f"{sent.key}, answered {a.status} by {sent.way}",
        )
    ]


def route(history: RunHistory) -> list[RuleViolation]:
    """ROUTE: no service runs what no configuration routes to it, nor for a key that none has contained."""
    found = []
    for attempt, runs in history.ran.items():
        sent = history.sent.get(attempt)
        if sent is None:
            continue
        for a in runs:
            if not any(a.service in v.services(sent.host, sent.path) for v in history.versions):
                found.append(RuleViolation("ROUTE", a.at, f"{sent.path} runs at {a.backend} of {a.service}"))
            elif not any(sent.key in v.keys for v in history.versions):
                found.append(
                    RuleViolation("ROUTE", a.at, f"{sent.path} runs with {sent.key}, which nobody held")
                )
    return limit_findings(found)
