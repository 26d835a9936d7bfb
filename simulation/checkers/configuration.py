"""CONFIG: an acknowledged configuration takes effect in time, never reverts, and is the one that was sent."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from simulation.checkers.history import ConfigVersion, RuleViolation, RunHistory, limit_findings
from simulation.model.record import Order, Sent

KEEPS_PROCESSES = (
    "slow",
    "freeze",
    "lossy",
    "squeeze",
    "lag",
    "node_cut",
    "half_cut",
    "core_freeze",
    "core_cut",
    "core_apart",
    "core_off",
    "disk_full",
    "disk_hang",
    "disk_slow",
)
"""Disruptions in which no process ends."""


class ServedRequest(NamedTuple):
    """How a try was handled: run by a service for a tenant, or rejected with a status."""

    at: float
    sent: Sent
    service: str
    tenant: str
    status: int

    def by(self, version: ConfigVersion) -> bool:
        """Whether a version of the configuration allows this."""
        if self.service:
            return version.runs(self.sent, self.service, self.tenant)
        return version.answers(self.sent, self.status)

    def __str__(self) -> str:
        how = f"run by {self.service} for {self.tenant}" if self.service else f"answered {self.status}"
        return f"{self.sent.path} with {self.sent.key}, sent at {self.sent.at:.3f} to {self.sent.way}, {how}"


def config(history: RunHistory) -> list[RuleViolation]:
    """CONFIG: all parts of the rule."""
    parts = (
        acknowledged(history),
        repeated(history),
        taken_hold(history),
        gone_back(history),
        read_back(history),
    )
    return [found for part in parts for found in limit_findings(list(part))]


def handled(history: RunHistory) -> list[ServedRequest]:
    """All tries that show which configuration is in force, sorted by time."""
    found = [
        ServedRequest(a.at, history.sent[a.attempt], a.service, a.tenant, 0)
        for runs in history.ran.values()
        for a in runs
        if a.attempt in history.sent
    ]
    found += [
        ServedRequest(a.at, history.sent[a.attempt], "", "", a.status)
        for a in history.record.answered.values()
        if a.status in (401, 403, 404)
    ]
    return sorted(found, key=lambda h: h.at)


def acknowledged(history: RunHistory) -> Iterator[RuleViolation]:
    """Of different orders on one base only one is acknowledged; the same one sent by two operators is one."""
    bases: dict[int, Order] = {}
    for order in history.record.orders:
        if order.status != 200:
            continue
        first = bases.setdefault(order.base, order)
        if not order.valid:
            yield RuleViolation(
                "CONFIG", order.at, f"generation {order.generation} is invalid and acknowledged"
            )
        elif first.document != order.document:
            yield RuleViolation(
                "CONFIG",
                order.at,
                f"generations {first.generation} and {order.generation} are "
                f"both acknowledged on top of {order.base}",
            )


def repeated(history: RunHistory) -> Iterator[RuleViolation]:
    """An acknowledged order that is sent again isn't refused, whether its acknowledgement arrived or not."""
    for order in history.record.orders:
        if order.unheard and order.status not in (0, 200):
            yield RuleViolation(
                "CONFIG",
                order.at,
                f"generation {order.generation} was acknowledged, unheard, at "
                f"{order.unheard:.3f}, and then answered {order.status}",
            )
    for repeat in history.record.repeats:
        if repeat.status not in (0, 200):
            yield RuleViolation(
                "CONFIG",
                repeat.at,
                f"generation {repeat.generation} was acknowledged, sent again "
                f"and answered {repeat.status} by {repeat.by}",
            )


def taken_hold(history: RunHistory) -> Iterator[RuleViolation]:
    """Connected machines apply what was acknowledged `apply_s` ago, and nothing that was refused."""
    apply_s = history.bounds.apply_s
    refused = [ConfigVersion(o) for o in history.record.orders if o.status not in (0, 200) and o.valid]
    for h in handled(history):
        since = h.sent.at - apply_s
        known = history.in_force(since, h.at)
        if not known or any(h.by(v) for v in known):
            continue
        if any(h.by(v) for v in history.older(since)):
            if history.has_contact(h.sent.way, h.sent.at - apply_s, h.at):
                yield RuleViolation(
                    "CONFIG", h.at, f"{h}, as only an older version than {known[0].generation} " f"allows"
                )
        elif any(h.by(v) for v in refused):
            yield RuleViolation("CONFIG", h.at, f"{h}, as only a refused version allows")


def gone_back(history: RunHistory) -> Iterator[RuleViolation]:
    """A machine that has shown a version doesn't revert to an older one while its processes live."""
    shown: dict[tuple[str, int], tuple[float, int]] = {}
    for h in handled(history):
        allowing = [v.generation for v in history.versions if h.by(v)]
        if not allowing:
            continue
        incarnation = (
            h.sent.way,
            sum(
                1
                for t in history.record.disruptions
                if h.sent.way in t.machines and t.begins <= h.at and t.kind not in KEEPS_PROCESSES
            ),
        )
        seen = shown.get(incarnation)
        slack = history.bounds.downgrade_s * (8 if slowed(history, h) else 1)
        if seen and h.sent.at > seen[0] + slack and max(allowing) < seen[1]:
            yield RuleViolation("CONFIG", h.at, f"{h}, after it showed generation {seen[1]} at {seen[0]:.3f}")
        if h.service and (not seen or min(allowing) > seen[1]):
            shown[incarnation] = h.at, min(allowing)


def slowed(history: RunHistory, h: ServedRequest) -> bool:
    """Whether the machine was slow or frozen recently."""
    return any(
        h.sent.way in t.machines
        and t.begins <= h.at
        and t.ends >= h.sent.at - history.bounds.contact_s
        and t.kind in ("slow", "freeze", "core_freeze")
        for t in history.record.disruptions
    )


def read_back(history: RunHistory) -> Iterator[RuleViolation]:
    """What operators read back at the end of the day is the newest acknowledged configuration, unchanged."""
    record = history.record
    rule = "LOST" if record.closing else "CONFIG"
    good = [r for r in record.reads if r.status == 200]
    if record.reads and not good:
        yield RuleViolation(rule, record.reads[-1].at, "the configuration can't be read back")
    for read in good:
        newest = max(
            (o.generation for o in record.orders if o.status == 200 and o.at < read.at - 2.0), default=0
        )
        if read.generation < newest:
            yield RuleViolation(
                rule,
                read.at,
                f"generation {read.generation} is read back at {read.by}, " f"{newest} was acknowledged",
            )
        elif not read.same:
            yield RuleViolation("CONFIG", read.at, f"generation {read.generation} is not what was sent")
