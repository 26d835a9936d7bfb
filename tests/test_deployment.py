"""Tests of the deploy file of the whole system: what a clean machine needs to build and start it."""

from __future__ import annotations

import tomllib
from pathlib import Path

from gateway.programs import PROGRAMS

DEPLOY = tomllib.loads((Path(__file__).parents[1] / "deploy" / "system.toml").read_text(encoding="utf-8"))


def test_build_uses_wheels_only_and_lists_its_system_packages() -> None:
    assert DEPLOY["packages"] == []
    assert "--only-binary :all:" in DEPLOY["build"]


def test_each_role_runs_the_program_of_that_name() -> None:
    assert set(DEPLOY["roles"]) == set(PROGRAMS)
    for name, role in DEPLOY["roles"].items():
        assert role["run"] == f"python3 -m gateway {name}"
