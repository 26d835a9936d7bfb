"""DRAIN and LOST: graceful shutdown of backends and ingresses."""

from __future__ import annotations

from proving.checkers.history import RuleViolation, RunHistory, limit_findings


def drain(history: RunHistory) -> list[RuleViolation]:
    """DRAIN: nothing is sent to a backend once `drain_s` have passed since its draining was acknowledged."""
    told: dict[str, float] = {}
    for life in history.record.lives:
        if life.what in ("draining", "gone") and history.has_contact(life.by, life.at, life.at):
            told.setdefault(life.backend, life.at)
    found = []
    for a in history.record.arrived:
        since = told.get(a.backend)
        sent = history.sent.get(a.attempt)
        if since is None or sent is None or a.why == "another is meant":
            continue
        if a.at > since + history.bounds.drain_s and history.has_contact(sent.way, since, a.at):
            found.append(
                RuleViolation(
                    "DRAIN",
                    a.at,
                    f"{sent.way} sends {sent.path} to {a.backend}, which was "
                    f"acknowledged to leave at {since:.3f}",
                )
            )
    return limit_findings(found)


def lost(history: RunHistory) -> list[RuleViolation]:
    """LOST: around planned work, no request that was read ends without a response."""
    found = []
    for work in history.record.disruptions:
        if not work.planned:
            continue
        ends = work.begins + history.bounds.grace_s + 1.0
        for attempt, answer in history.record.answered.items():
            sent = history.sent[attempt]
            if answer.status != 0 or sent.way not in work.machines or not work.begins <= answer.at <= ends:
                continue
            runs = history.ran.get(attempt)
            passed_on = runs is not None or answer.at - sent.at > history.bounds.loss_slack_s
            read = answer.fault != "no connection" and (runs is not None or answer.retry_after >= 0)
            late = any(a.at + 0.5 * history.bounds.grace_s > ends - 1.0 for a in runs or ())
            if (
                passed_on
                and read
                and not late
                and history.undisturbed(sent.at - history.bounds.contact_s, answer.at)
            ):
                found.append(
                    RuleViolation(
                        "LOST",
                        answer.at,
                        f"{sent.path}, sent at {sent.at:.3f}, ends without an "
                        f"answer at {sent.way}, which was told to stop at "
                        f"{work.begins:.3f}",
                    )
                )
    return limit_findings(found)
