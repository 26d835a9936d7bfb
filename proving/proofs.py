"""For each planted fault: the rule whose checker has to find it, and a short day on which it shows."""

from __future__ import annotations

from dataclasses import replace
from typing import NamedTuple

from proving.spec import Day, Kind, Service, Spec, Trouble

KINDS = (Kind("read", "alpha", rate=16, work_s=0.12, aim_s=0.4),
         Kind("order", "alpha", safe=False, rate=8, work_s=0.16, aim_s=0.5, deadline_s=3.0),
         Kind("find", "beta", also="alpha", rate=10, work_s=0.05, aim_s=0.2, deadline_s=1.2))
SMALL = Spec(name="small", sorters=(2, 2, 2), kinds=KINDS, services=(Service("alpha", 6), Service("beta", 4)),
             day=Day(seconds=22.0, warm=5.0))
"""Three postmasters, six sorters, two services, and little traffic."""


class Proof(NamedTuple):
    """A rule, and a day that breaks it with the fault planted and keeps it without."""

    rule: str
    troubles: tuple[Trouble, ...] = ()
    seconds: float = 22.0
    closing: float = 0.0


def _at(kind: str, at: float, lasts: float = 3.0, which: int = 0, much: float = 1.0) -> Trouble:
    return Trouble(kind, at, lasts, which, much)


LOST_ANSWERS = (_at("answer_lost", 7.0, 8.0, much=5.0),)
CROWD = (_at("config_crowd", 6.0, 6.0), _at("core_kill", 8.0, 1.0), _at("core_cut", 10.0, 2.0, 1))
PROOFS = {
    "stale": Proof("CONFIG", (_at("config_change", 7.0, which=3), _at("config_change", 10.0, which=3))),
    "credulous": Proof("CONFIG", (_at("config_change", 8.0),)),
    "hasty": Proof("CONFIG", tuple(t for n in range(3) for t in (
        _at("core_apart", 7.0 + 10 * n, 4.0, n), _at("config_change", 7.15 + 10 * n))), 40.0),
    "forgets_orders": Proof("CONFIG", CROWD, 20.0),
    "lying_disk": Proof("LOST", (), 28.0, closing=10.0),
    "abrupt": Proof("LOST", tuple(_at("stop", 7.0 + 1.5 * n, which=n) for n in range(6))),
    "deaf_to_drain": Proof("DRAIN", (_at("scale_in", 7.0),)),
    "any_charge": Proof("QUOTA", (_at("hot_tenant", 7.0, 12.0, much=3.0),)),
    "no_budget": Proof("BUDGET", (_at("answer_lost", 6.0, 14.0, much=10.0),), 24.0),
    "repeats": Proof("TWICE", LOST_ANSWERS),
    "always_promises": Proof("REFUSED", LOST_ANSWERS),
    "believes_all": Proof("MIXED", tuple(_at("answer_late", 6.0, 14.0, n, 10.0) for n in (0, 1))),
    "other_path": Proof("UNASKED", (), 10.0),
    "denies": Proof("DENIED", (), 16.0),
    "no_target": Proof("ROUTE", tuple(_at("srv_crash", 7.0 + 0.5 * n, which=which) for n, which in
                                      enumerate((4, 40, 64, 100, 124, 160)))),
    "no_return": Proof("RECOVER", (), 52.0, closing=18.0),
    "silent_orders": Proof("ACKS", (), 14.0),
    "faulty": Proof("FAULT", (), 10.0)}


def day(name: str, planted: bool = True) -> Spec:
    """The day on which a fault shows, with it or without."""
    proof = PROOFS[name]
    played = replace(SMALL.day, seconds=proof.seconds, closing=proof.closing)
    return replace(SMALL, planted=name if planted else "", troubles=proof.troubles, day=played)


def calls(planted: str = "") -> Spec:
    """A day on which answers are lost, doubled, late, cut and spoilt while backends close connections that
    have just become idle, end, and leave their addresses to others."""
    services = tuple(replace(s, idle_s=0.4, closes=0.1) for s in SMALL.services)
    kinds = ("answer_double", "answer_late", "garble", "answer_lost", "answer_short") + 2 * ("srv_crash",)
    which = [(kind, 40 * n + turn) for turn in range(3) for n, kind in enumerate(kinds)]
    troubles = tuple(_at(kind, 6.5 + 0.6 * n, 2.0, number, 3.0) for n, (kind, number) in enumerate(which))
    return replace(SMALL, planted=planted, services=services, troubles=troubles,
                   day=replace(SMALL.day, seconds=24.0))
