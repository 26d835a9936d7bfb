"""The simulation: each checker finds the fault that is planted for it, and nothing without one."""

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
    """The programs warn of what is done to them."""
    monkeypatch.setattr(logging.getLogger("gateway"), "level", logging.ERROR)


def rules(spec, seed=1):
    """What is broken in a day."""
    return {found.rule for found in hunt.run_once(spec, seed).broken}


def test_each_rule_has_a_planted_fault():
    assert {proof.rule for proof in INJECTED_BUG_CASES.values()} == set(RULES)


@pytest.mark.parametrize("name", INJECTED_BUG_CASES)
def test_planted_fault_is_found(name):
    assert INJECTED_BUG_CASES[name].rule in rules(injected_bug_cases.day(name))


@pytest.mark.parametrize("name", ["hasty", "abrupt", "no_target", "no_return", "forgets_orders"])
def test_nothing_is_found_on_the_same_day_without_it(name):
    assert not rules(injected_bug_cases.day(name, injected_bug=False))


@pytest.mark.parametrize(("fault", "found"), [("", set()), ("repeats", {"TWICE"})])
def test_a_day_of_spoilt_answers_breaks_nothing_but_what_is_planted(fault, found):
    assert rules(injected_bug_cases.calls(fault)) == found


def test_the_same_change_of_two_operators_is_one_change():
    def found(*documents):
        orders = [Order(1.0, 2.0, 5, 3, True, 200, "a", "operator", told) for told in documents]
        return len(list(configuration.acknowledged(SimpleNamespace(record=SimpleNamespace(orders=orders)))))

    assert [found({"x": 1}, {"x": 1}), found({"x": 1}, {"x": 2})] == [0, 1]


def test_one_seed_is_one_run():
    spec = random_days.random_day(replace(SMALL, day=replace(SMALL.day, seconds=16.0)), 3)
    first, again = play(spec, 3), play(spec, 3)
    assert first.arrived == again.arrived and first.answered == again.answered


def test_one_seed_is_one_run_wherever_its_objects_lie_in_memory(monkeypatch):
    """A set goes through its items by their hashes, that is by addresses: here they are turned round."""
    day = replace(SMALL.day, seconds=24.0)
    spec = random_days.random_day(replace(SMALL, day=day), 2)
    first = play(spec, 2)
    monkeypatch.setattr(TcpEndpoint, "__hash__", lambda end: ~(id(end) >> 4))
    again = play(spec, 2)
    assert first.arrived == again.arrived and first.answered == again.answered


def test_a_finding_shrinks_to_what_matters():
    noise = [random_days.Disruption("hot_tenant", 6.5, 1.0), random_days.Disruption("lag", 7.2, 1.0, 4)]
    spec = injected_bug_cases.day("stale")
    spec = replace(spec, disruptions=tuple(sorted([*spec.disruptions, *noise], key=lambda t: t.at)))
    short = hunt.shrink(hunt.run_once(spec, 1), "CONFIG", most=15)
    assert {t.kind for t in short.spec.disruptions} == {"config_change"}


def test_a_recording_played_again_gives_the_same_outputs():
    run = Run(replace(injected_bug_cases.day("stale", injected_bug=False), disruptions=()), 2)
    run.deployment.recordings = recordings = []
    run.play()
    assert len(recordings) == 9
    for _, kept in recordings:
        steps = list(kept.steps)
        assert len(steps) > 400 and recording.replay(kept.head, steps) is None
    other = steps[300]._replace(outputs=["Send something else"])
    assert recording.replay(kept.head, [*steps[:300], other]).number == 300
