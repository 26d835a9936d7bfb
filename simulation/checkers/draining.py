"""DRAIN and LOST: graceful shutdown of backends and ingresses."""

from __future__ import annotations

from simulation.checkers.history import RuleViolation, RunHistory, limit_findings


def drain(history: RunHistory) -> list[RuleViolation]:
    """DRAIN: nothing is sent to a backend once `drain_s` have passed since its draining was acknowledged."""
    acknowledged: dict[str, float] = {}
    for event in history.record.backend_events:
        if event.what in ("draining", "gone") and history.has_contact(event.by, event.at, event.at):
            acknowledged.setdefault(event.backend, event.at)
    found = []
    for arrived in history.record.arrived:
        since = acknowledged.get(arrived.backend)
        sent = history.sent.get(arrived.attempt)
        if since is None or sent is None or arrived.why == "another is meant":
            continue
        if arrived.at > since + history.bounds.drain_s and history.has_contact(sent.way, since, arrived.at):
            found.append(
                RuleViolation(
                    "DRAIN",
                    arrived.at,
                    f"{sent.way} sends {sent.path} to {arrived.backend}, which was "
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
