"""The same tests each time: hypothesis draws the same examples, and keeps nothing of former runs.

What is known to be red is passed over and printed: see `known_red.py`.
"""

from __future__ import annotations

import pytest
from hypothesis import settings

from tests import known_red

pytest_plugins = ("pytester",)
settings.register_profile("same", derandomize=True, database=None, deadline=None)
settings.load_profile("same")


def pytest_configure(config: pytest.Config) -> None:
    """Read which tests are known to be red."""
    config.pluginmanager.register(known_red.KnownRed(known_red.read(config.rootpath / known_red.FILE)))
