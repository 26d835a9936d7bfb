"""Views of a run's record that the checkers share: connectivity, configurations in force, tries by id."""

from __future__ import annotations

from functools import cached_property
from typing import Any, NamedTuple

from simulation.model.record import Arrived, Order, Record, Sent

MAX_FINDINGS = 5  # findings reported for one rule


class RuleViolation(NamedTuple):
    """A violation of a rule: its time in seconds, and a description."""

    rule: str
    at: float
    what: str

    def __str__(self) -> str:
        return f"{self.rule} at {self.at:.3f} s: {self.what}"


class ConfigVersion:
    """A configuration that may be in force, parsed independently of the programs' own code."""

    def __init__(self, order: Order) -> None:
        self.order = order
        self.generation = order.generation
        self.routes: dict[tuple[str, str], dict[str, Any]] = {}
        self.keys: dict[str, str] = {}
        self.limits: dict[str, tuple[float, float]] = {}
        for entry in order.document["resource-list"]:
            kind = entry["entry-kind"]
            spec = entry["spec"]
            if kind == "route-table":
                self.routes[spec["hostname"], spec["path-prefix"]] = spec
            elif kind == "tenants":
                label = entry["metadata"]["label"]
                self.limits[label] = spec.get("rate-per-s") or 0.0, spec.get("burst") or 0.0
                for key in spec["api-keys"]:
                    self.keys[key] = label

    def route(self, host: str, path: str) -> dict[str, Any] | None:
        """The matching route with the longest path prefix, or None."""
        found = [
            (len(prefix), spec)
            for (name, prefix), spec in self.routes.items()
            if name == host and path.startswith(prefix)
        ]
        return max(found, key=lambda f: f[0])[1] if found else None

    def services(self, host: str, path: str) -> set[str]:
        """The services that a request may be routed to."""
        spec = self.route(host, path)
        if spec is None:
            return set()
        weighted = {w["target"] for w in spec.get("weighted", ()) if w["share"] > 0}
        return weighted or {spec["target"]}

    def runs(self, sent: Sent, service: str, tenant: str) -> bool:
        """Whether a request may be run by a service for a tenant."""
        return service in self.services(sent.host, sent.path) and self.keys.get(sent.key) == tenant

    def allows(self, sent: Sent) -> bool:
        """Whether a request may be routed at all."""
        return self.route(sent.host, sent.path) is not None and sent.key in self.keys

    def answers(self, sent: Sent, status: int) -> bool:
        """Whether a request may be rejected with this status."""
        if status == 404:
            return self.route(sent.host, sent.path) is None
        return (
            status in (401, 403)
            and self.route(sent.host, sent.path) is not None
            and (sent.key not in self.keys)
        )


class RunHistory:
    """A record, and what is derived from it."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.bounds = record.bounds

    @cached_property
    def sent(self) -> dict[str, Sent]:
        """Tries by attempt id."""
        return {s.attempt: s for s in self.record.sent}

    @cached_property
    def ran(self) -> dict[str, list[Arrived]]:
        """Arrivals that were run, by attempt id."""
        found: dict[str, list[Arrived]] = {}
        for arrived in self.record.arrived:
            if arrived.ran:
                found.setdefault(arrived.attempt, []).append(arrived)
        return found

    @cached_property
    def versions(self) -> list[ConfigVersion]:
        """Configurations that may be in force, by generation: those acknowledged or without a response."""
        orders = sorted(
            (o for o in self.record.orders if o.status in (0, 200) and o.valid), key=lambda o: o.generation
        )
        return [ConfigVersion(o) for o in orders]

    def in_force(self, since: float, until: float) -> list[ConfigVersion]:
        """Versions that may be in force for a request.

        The newest one acknowledged by `since`, and those of higher generations that were sent by `until`.
        """
        known = [v for v in self.versions if v.order.status == 200 and v.order.at <= since]
        newest = known[-1].generation if known else 0
        return [v for v in self.versions if v.generation >= newest and v.order.sent <= until]

    def older(self, since: float) -> list[ConfigVersion]:
        """Versions that were superseded by then."""
        known = [v for v in self.versions if v.order.status == 200 and v.order.at <= since]
        return [v for v in self.versions if known and v.generation < known[-1].generation]

    def has_contact(self, machine: str, begins: float, ends: float) -> bool:
        """Whether a machine was connected for a whole span, and `contact_s` before it."""
        since = begins - self.bounds.contact_s
        return not any(
            t.begins <= ends and t.ends >= since and (t.core or machine in t.machines)
            for t in self.record.disruptions
        )

    def settled(self, begins: float, ends: float) -> bool:
        """Whether no machine was disrupted for a whole span, and `contact_s` before it."""
        since = begins - self.bounds.contact_s
        return not any(t.begins <= ends and t.ends >= since and t.machines for t in self.record.disruptions)

    def undisturbed(self, begins: float, ends: float) -> bool:
        """Whether there was no unplanned disruption in a span."""
        return not any(
            t.begins <= ends and t.ends >= begins and not t.planned for t in self.record.disruptions
        )


def limit_findings(found: list[RuleViolation]) -> list[RuleViolation]:
    """The first findings; the last of these says how many more there are."""
    if len(found) > MAX_FINDINGS:
        last = found[MAX_FINDINGS - 1]
        return [
            *found[: MAX_FINDINGS - 1],
            last._replace(what=f"{last.what} (and {len(found) - MAX_FINDINGS} more)"),
        ]
    return found
