"""Test configuration: hypothesis draws the same examples in each run, and keeps nothing of earlier runs.

Failures of tests that are known to fail are tolerated and printed: see `known_red.py`.
"""

from __future__ import annotations

import pytest
from hypothesis import settings

from tests import known_red

pytest_plugins = ("pytester",)
settings.register_profile("same", derandomize=True, database=None, deadline=None)
settings.load_profile("same")


def pytest_configure(config: pytest.Config) -> None:
    """Register the plugin for the tests that are known to fail."""
    config.pluginmanager.register(known_red.KnownRed(known_red.read(config.rootpath / known_red.FILE)))
