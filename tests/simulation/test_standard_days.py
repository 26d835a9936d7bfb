"""Tests of the standard days of the sites, and of the comparison with the bench."""

import logging
from pathlib import Path

import pytest

import simulation
from simulation import spec
from simulation.model.operators import routes_of
from simulation.model.simulation_run import Run


@pytest.fixture(autouse=True)
def quiet(monkeypatch):
    """Silence the programs' warnings about disruptions."""
    monkeypatch.setattr(logging.getLogger("gateway"), "level", logging.ERROR)


def test_only_added_routes_are_removed():
    site = spec.load(Path(simulation.__file__).parent / "sites" / "atlas-cadastre.toml")[0]
    run = Run(site, 1)
    run.simulator.at(1.0, run.operator_pool.begin)
    run.deployment.start()
    run.simulator.run(3.0)
    own = set(routes_of(run.operator_pool.newest))
    assert own == {kind.name for kind in site.kinds}
    run.operator_pool.change("remove")
    run.simulator.run(5.0)
    assert run.operator_pool.newest["generation"] > 1 and set(routes_of(run.operator_pool.newest)) == own


def test_equal_values_have_equal_ranks():
    from simulation.comparison import ranks

    assert list(ranks([0.5, 0.1, 0.5, 0.9])) == [2.5, 1.0, 2.5, 4.0]
