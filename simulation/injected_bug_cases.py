"""Test cases of the checkers: for each injected bug, the rule it violates and a short day that shows it."""

from __future__ import annotations

from dataclasses import replace
from typing import NamedTuple

from simulation.spec import Day, Disruption, Kind, Service, Spec

KINDS = (
    Kind("read", "alpha", rate=16, work_s=0.12, aim_s=0.4),
    Kind("order", "alpha", safe=False, rate=8, work_s=0.16, aim_s=0.5, deadline_s=3.0),
    Kind("find", "beta", also="alpha", rate=10, work_s=0.05, aim_s=0.2, deadline_s=1.2),
)
SMALL = Spec(
    name="small",
    proxies=(2, 2, 2),
    kinds=KINDS,
    services=(Service("alpha", 6), Service("beta", 4)),
    day=Day(seconds=22.0, warm=5.0),
)
"""Three controllers, six proxies, two services, and little traffic."""


class InjectedBugCase(NamedTuple):
    """A rule, and a day that violates it with the bug injected, and doesn't without."""

    rule: str
    disruptions: tuple[Disruption, ...] = ()
    seconds: float = 22.0
    closing: float = 0.0


def _at(kind: str, at: float, lasts: float = 3.0, which: int = 0, much: float = 1.0) -> Disruption:
    return Disruption(kind, at, lasts, which, much)


LOST_ANSWERS = (_at("answer_lost", 7.0, 8.0, much=5.0),)
CROWD = (_at("config_crowd", 6.0, 6.0), _at("core_kill", 8.0, 1.0), _at("core_cut", 10.0, 2.0, 1))
INJECTED_BUG_CASES = {
    "stale": InjectedBugCase(
        "CONFIG", (_at("config_change", 7.0, which=3), _at("config_change", 10.0, which=3))
    ),
    "credulous": InjectedBugCase("CONFIG", (_at("config_change", 8.0),)),
    "hasty": InjectedBugCase(
        "CONFIG",
        tuple(
            t
            for n in range(3)
            for t in (_at("core_apart", 7.0 + 10 * n, 4.0, n), _at("config_change", 7.15 + 10 * n))
        ),
        40.0,
    ),
    "forgets_orders": InjectedBugCase("CONFIG", CROWD, 20.0),
    "lying_disk": InjectedBugCase("LOST", (), 28.0, closing=10.0),
    "abrupt": InjectedBugCase("LOST", tuple(_at("stop", 7.0 + 1.5 * n, which=n) for n in range(6))),
    "deaf_to_drain": InjectedBugCase("DRAIN", (_at("scale_in", 7.0),)),
    "any_charge": InjectedBugCase("QUOTA", (_at("hot_tenant", 7.0, 12.0, much=3.0),)),
    "no_budget": InjectedBugCase("BUDGET", (_at("answer_lost", 6.0, 14.0, much=10.0),), 24.0),
    "repeats": InjectedBugCase("TWICE", LOST_ANSWERS),
    "always_promises": InjectedBugCase("REFUSED", LOST_ANSWERS),
    "believes_all": InjectedBugCase("MIXED", tuple(_at("answer_late", 6.0, 14.0, n, 10.0) for n in (0, 1))),
    "other_path": InjectedBugCase("UNASKED", (), 10.0),
    "denies": InjectedBugCase("DENIED", (), 16.0),
    "no_target": InjectedBugCase(
        "ROUTE",
        tuple(
            _at("srv_crash", 7.0 + 0.5 * n, which=which) for n, which in enumerate((4, 40, 64, 100, 124, 160))
        ),
    ),
    "no_return": InjectedBugCase("RECOVER", (), 52.0, closing=18.0),
    "silent_orders": InjectedBugCase("ACKS", (), 14.0),
    "faulty": InjectedBugCase("FAULT", (), 10.0),
}


def day(name: str, injected_bug: bool = True) -> Spec:
    """The day that shows a bug, with the bug injected or without."""
    proof = INJECTED_BUG_CASES[name]
    played = replace(SMALL.day, seconds=proof.seconds, closing=proof.closing)
    return replace(
        SMALL, injected_bug=name if injected_bug else "", disruptions=proof.disruptions, day=played
    )


def calls(injected_bug: str = "") -> Spec:
    """A day on which responses are lost, duplicated, late, truncated and corrupted.

    Meanwhile backends close connections that have just become idle, exit, and leave their addresses to
    others.
    """
    services = tuple(replace(s, idle_s=0.4, closes=0.1) for s in SMALL.services)
    kinds = ("answer_double", "answer_late", "garble", "answer_lost", "answer_short") + 2 * ("srv_crash",)
    which = [(kind, 40 * n + turn) for turn in range(3) for n, kind in enumerate(kinds)]
    disruptions = tuple(_at(kind, 6.5 + 0.6 * n, 2.0, number, 3.0) for n, (kind, number) in enumerate(which))
    return replace(
        SMALL,
        injected_bug=injected_bug,
        services=services,
        disruptions=disruptions,
        day=replace(SMALL.day, seconds=24.0),
    )
