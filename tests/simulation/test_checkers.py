"""Tests of the simulation: each checker detects the bug injected for it, and nothing without a bug."""

import logging
from dataclasses import replace
from types import SimpleNamespace

import pytest

from simulation import hunt, injected_bug_cases, random_days, recording
from simulation.checkers import RULES, configuration
from simulation.injected_bug_cases import INJECTED_BUG_CASES, SMALL
from simulation.model.record import Order
from simulation.model.simulation_run import Run, play
from simulation.model.tcp import TcpEndpoint


@pytest.fixture(autouse=True)
def quiet(monkeypatch):
    """Silence the programs' warnings about disruptions."""
    monkeypatch.setattr(logging.getLogger("gateway"), "level", logging.ERROR)


def rules(spec, seed=1):
    """Return the rules violated in a day."""
    return {found.rule for found in hunt.run_once(spec, seed).broken}


def test_each_rule_has_an_injected_bug():
    assert {proof.rule for proof in INJECTED_BUG_CASES.values()} == set(RULES)


@pytest.mark.parametrize("name", INJECTED_BUG_CASES)
def test_injected_bug_is_detected(name):
    assert INJECTED_BUG_CASES[name].rule in rules(injected_bug_cases.day(name))


@pytest.mark.parametrize("name", ["hasty", "abrupt", "no_target", "no_return", "forgets_orders"])
def test_nothing_is_detected_without_the_bug(name):
    assert not rules(injected_bug_cases.day(name, injected_bug=False))


@pytest.mark.parametrize(("fault", "found"), [("", set()), ("repeats", {"TWICE"})])
def test_corrupted_answers_violate_only_the_rule_of_the_bug(fault, found):
    assert rules(injected_bug_cases.calls(fault)) == found


def test_same_change_of_two_operators_is_one_change():
    def found(*documents):
        orders = [Order(1.0, 2.0, 5, 3, True, 200, "a", "operator", told) for told in documents]
        return len(list(configuration.acknowledged(SimpleNamespace(record=SimpleNamespace(orders=orders)))))

    assert [found({"x": 1}, {"x": 1}), found({"x": 1}, {"x": 2})] == [0, 1]


def test_runs_of_one_seed_are_equal():
    spec = random_days.random_day(replace(SMALL, day=replace(SMALL.day, seconds=16.0)), 3)
    first, again = play(spec, 3), play(spec, 3)
    assert first.arrived == again.arrived and first.answered == again.answered


def test_runs_of_one_seed_are_equal_for_any_memory_layout(monkeypatch):
    """Sets are iterated in the order of hashes, that is of addresses, which are reversed here."""
    day = replace(SMALL.day, seconds=24.0)
    spec = random_days.random_day(replace(SMALL, day=day), 2)
    first = play(spec, 2)
    monkeypatch.setattr(TcpEndpoint, "__hash__", lambda end: ~(id(end) >> 4))
    again = play(spec, 2)
    assert first.arrived == again.arrived and first.answered == again.answered


def test_violating_day_is_shrunk_to_the_relevant_disruptions():
    noise = [random_days.Disruption("hot_tenant", 6.5, 1.0), random_days.Disruption("lag", 7.2, 1.0, 4)]
    spec = injected_bug_cases.day("stale")
    spec = replace(spec, disruptions=tuple(sorted([*spec.disruptions, *noise], key=lambda t: t.at)))
    short = hunt.shrink(hunt.run_once(spec, 1), "CONFIG", most=15)
    assert {t.kind for t in short.spec.disruptions} == {"config_change"}


def test_replayed_recording_has_the_same_outputs():
    run = Run(replace(injected_bug_cases.day("stale", injected_bug=False), disruptions=()), 2)
    run.deployment.recordings = recordings = []
    run.play()
    assert len(recordings) == 9
    for _, kept in recordings:
        steps = list(kept.steps)
        assert len(steps) > 400 and recording.replay(kept.head, steps) is None
    other = steps[300]._replace(outputs=["Send something else"])
    assert recording.replay(kept.head, [*steps[:300], other]).number == 300
