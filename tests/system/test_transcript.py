"""The transcript of a day: which messages it shows."""

from __future__ import annotations

from pathlib import Path

import pytest
from cleo.testers.command_tester import CommandTester

import proving
from proving import hunt
from proving.cli import ShowCommand

SMALL_SITE = Path(proving.__file__).parent / "sites" / "small.toml"


def test_a_plane_that_does_not_exist_is_refused_before_anything_is_played(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(hunt, "quiet", lambda: None)  # leaves the root logger as it is
    command = CommandTester(ShowCommand())
    assert command.execute(f"{SMALL_SITE} --planes quota,unheard") != 0
    assert "unknown plane unheard; there are consensus, membership, quota" in command.io.fetch_error()
