"""Checkers of the rules, each over the record of a simulation run."""

from __future__ import annotations

from proving.checkers.budgets import budget, quota
from proving.checkers.configuration import config
from proving.checkers.draining import drain, lost
from proving.checkers.history import RuleViolation, RunHistory
from proving.checkers.recovery import acks, faults, recover
from proving.checkers.requests import denied, mixed, refused, route, twice, unasked
from proving.model.record import Record

RULES = {
    "CONFIG": config,
    "LOST": lost,
    "DRAIN": drain,
    "QUOTA": quota,
    "BUDGET": budget,
    "TWICE": twice,
    "REFUSED": refused,
    "MIXED": mixed,
    "UNASKED": unasked,
    "DENIED": denied,
    "ROUTE": route,
    "RECOVER": recover,
    "ACKS": acks,
    "FAULT": faults,
}
"""Checkers by rule. ACKS is the bench gate's; FAULT is for what the programs would log as own errors."""


def check(record: Record) -> list[RuleViolation]:
    """All rule violations in a run."""
    history = RunHistory(record)
    return [found for checker in RULES.values() for found in checker(history)]


__all__ = ["RULES", "RuleViolation", "check"]
