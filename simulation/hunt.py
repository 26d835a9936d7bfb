"""Randomized testing: simulate random days, and shrink those that violate a rule to a short schedule."""

from __future__ import annotations

import logging
import os
import subprocess
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import replace
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

from simulation import random_days
from simulation.checkers import RuleViolation, check
from simulation.model.simulation_run import play
from simulation.spec import Disruption, Spec

T = TypeVar("T")

ROUNDED = (1.0, 0.1)  # seconds, to which a shrunk schedule's times are rounded where possible


class HuntResult(NamedTuple):
    """A simulated day, the rules violated in it, and metrics of the run."""

    seed: int
    spec: Spec
    broken: list[RuleViolation]
    figures: dict[str, Any]


def run_once(spec: Spec, seed: int) -> HuntResult:
    """Simulate one day and check it."""
    record = play(spec, seed)
    return HuntResult(seed, spec, check(record), record.all_done())


def run_random_day(spec: Spec, seed: int, groups: tuple[str, ...]) -> HuntResult:
    """Simulate and check the random day of a seed."""
    return run_once(random_days.random_day(spec, seed, groups), seed)


def source() -> str:
    """The short hash of the tested commit, with a plus sign if the sources differ from it."""

    def git(*words: str) -> str:
        return subprocess.run(
            ["git", *words], capture_output=True, text=True, check=False, cwd=Path(__file__).parent.parent
        ).stdout.strip()

    changed = git("status", "--porcelain", "--", "gateway", "ingress", "simulation")
    return git("rev-parse", "--short", "HEAD") + ("+" if changed else "")


def quiet() -> None:
    """Silence the programs' own logs in this process, except errors, which the simulation records."""
    root = logging.getLogger()
    root.handlers[:] = [logging.NullHandler()]
    root.setLevel(logging.ERROR)


def workers(most: int = 0) -> int:
    """The number of worker processes: one for each available core, `most` at most (0: no limit)."""
    return max(1, min(most or 999, len(os.sched_getaffinity(0))))


def on_all_cores(call: Callable[..., T], calls: Iterable[tuple[Any, ...]], most: int = 0) -> Iterator[T]:
    """Yield the results of many calls, as they complete, from a pool of `workers(most)` processes."""
    with ProcessPoolExecutor(workers(most), initializer=quiet) as pool:
        waiting = [pool.submit(call, *arguments) for arguments in calls]
        try:
            for done in as_completed(waiting):
                yield done.result()
        finally:
            for each in waiting:
                each.cancel()


def hunt(spec: Spec, seeds: Iterable[int], groups: tuple[str, ...], most: int = 0) -> Iterator[HuntResult]:
    """Simulate and check one random day for each seed; results come as they complete."""
    return on_all_cores(run_random_day, ((spec, seed, groups) for seed in seeds), most)


def shrink(
    found: HuntResult, rule: str = "", most: int = 300, tell: Callable[[Spec], Any] = lambda spec: None
) -> HuntResult:
    """Shrink a day to a shorter one that violates the same rule.

    Disruptions are removed, made shorter and moved to round times. At most `most` days are simulated; `tell`
    is called with each improvement.
    """
    rule = rule or found.broken[0].rule
    best = found
    left = [most]

    def still(spec: Spec) -> bool:
        nonlocal best
        if left[0] <= 0:
            return False
        left[0] -= 1
        tried = run_once(spec, found.seed)
        if any(b.rule == rule for b in tried.broken):
            best = tried
            tell(spec)
            return True
        return False

    _without_more(best.spec, still)
    changed = True
    while changed and left[0] > 0:
        changed = _fewer(best, still)
    for n in range(len(best.spec.disruptions)):
        for simpler in _simpler(best.spec.disruptions[n]):
            still(_with(best.spec, n, simpler))
    return best


def _without_more(spec: Spec, still: Callable[[Spec], bool]) -> None:
    """Remove what isn't a disruption of the schedule: configuration changes, the closing fault, traffic."""
    for day in (replace(spec.day, config_changes=0.0), replace(spec.day, closing=0.0)):
        if day != spec.day and still(replace(spec, day=day)):
            spec = replace(spec, day=day)
    if spec.day.traffic:
        quiet = replace(spec, day=replace(spec.day, traffic=False))
        still(quiet)


def _fewer(found: HuntResult, still: Callable[[Spec], bool]) -> bool:
    """Remove a half, a quarter and so on of the disruptions, down to single ones; False if none could be."""
    disruptions = found.spec.disruptions
    size = max(1, len(disruptions) // 2)
    while size:
        for begin in range(0, len(disruptions), size):
            rest = disruptions[:begin] + disruptions[begin + size :]
            if rest != disruptions and still(replace(found.spec, disruptions=rest)):
                return True
        size //= 2
    return False


def _simpler(t: Disruption) -> Iterator[Disruption]:
    for unit in ROUNDED:
        yield replace(t, at=round(round(t.at / unit) * unit, 3))
    for lasts in (0.3, 1.0):
        if lasts < t.lasts:
            yield replace(t, lasts=lasts)
    if t.which >= 20:
        yield replace(t, which=t.which % 20)


def _with(spec: Spec, n: int, disruption: Disruption) -> Spec:
    disruptions = list(spec.disruptions)
    disruptions[n] = disruption
    return replace(spec, disruptions=tuple(sorted(disruptions, key=lambda t: t.at)))
