"""Checkers of the rules, each over the record of a simulation run."""

from __future__ import annotations

from simulation.checkers.budgets import budget, quota
from simulation.checkers.configuration import config
from simulation.checkers.draining import drain, lost
from simulation.checkers.history import RuleViolation, RunHistory
from simulation.checkers.recovery import acks, faults, recover
from simulation.checkers.requests import denied, mixed, refused, route, twice, unasked
from simulation.model.record import Record

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
