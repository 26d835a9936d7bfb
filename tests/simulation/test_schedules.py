"""Tests of random schedules of disruptions of machines, links, backends and operators."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from simulation import hunt, random_days
from simulation.injected_bug_cases import SMALL
from simulation.spec import Disruption

KINDS = sorted(
    {
        *random_days.EDGE,
        *random_days.ORDERS,
        *random_days.BACKENDS,
        "core_kill",
        "core_cut",
        "core_apart",
        "disk_hang",
    }
)
TROUBLES = st.lists(
    st.builds(
        Disruption,
        st.sampled_from(KINDS),
        st.floats(5.0, 9.0),
        st.floats(0.2, 3.0),
        st.integers(0, 60),
        st.sampled_from([0.3, 1.0]),
    ),
    min_size=1,
    max_size=3,
)


@settings(
    max_examples=8,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(TROUBLES, st.integers(1, 1000))
def test_no_schedule_violates_a_rule(disruptions: list[Disruption], seed: int) -> None:
    spec = replace(SMALL, disruptions=tuple(disruptions), day=replace(SMALL.day, seconds=15.0))
    assert hunt.run_once(spec, seed).broken == []
