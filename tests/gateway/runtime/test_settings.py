"""Tests of settings and the command line: errors name their place, and start-up imports no heavy modules."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
import yaml
from syrupy.assertion import SnapshotAssertion

from gateway.__main__ import main
from gateway.runtime import settings

SMALL: dict[str, Any] = {"self": {"ip": "10.1.0.5", "new-field": 1}, "network": {"port-range": [7660, 7675]}}
WRONG = {
    "self": {
        "node": 7,
        "serves": "edge",
        "counted": "yes",
        "data-dir": 5,
        "limits": {"cpu-share": 0, "cores": True, "max-fds": 10.5, "memory-mb": float("inf")},
    },
    "network": {
        "listen": {"front": "10.1.0.5", "control": "10.1.0.5:70000"},
        "port-range": [7675, 7660],
        "seeds": ["10.1.0.5:8407", "nowhere"],
        "zones": ["kgn-a"],
    },
    "provider": {"beat-s": -1.3},
    "terms": {"contracts": [1], "fault-budget": "one", "bounds": {"drain-s": "2.5 s", "revoke-closed": 0}},
}


def told(content: Any, folder: Path) -> list[str]:
    """Return the errors of a settings file with this content."""
    path = folder / "settings.yaml"
    path.write_text(content if isinstance(content, str) else yaml.safe_dump(content))
    found = settings.read({settings.VARIABLE: str(path)})
    return [str(fault).replace(str(folder), "") for fault in found.err() or []]


def test_each_error_names_its_place(tmp_path: Path, snapshot: SnapshotAssertion) -> None:
    assert {
        "wrong fields": told(WRONG, tmp_path),
        "empty": told("", tmp_path),
        "broken": told("self:\n  ip: [10.1.0.5\nnetwork:", tmp_path),
        "tables missing": told({"self": 1}, tmp_path),
        "no file": list(map(str, settings.read({settings.VARIABLE: "/no/file"}).err() or [])),
        "no variable": list(map(str, settings.read({}).err() or [])),
    } == snapshot


def test_omitted_settings_have_defaults_and_unknown_fields_are_ignored() -> None:
    s = settings.read_document(SMALL).unwrap()
    assert (s.own.data_dir, s.own.fresh_start, s.network.listen.front) == (None, False, None)
    assert (s.terms.bounds.drain_s, s.terms.bounds.revoke_closed) == (2.5, False)
    assert s.terms.fault_budget == (1, 0, 0)
    assert s.own_address("proxy") == "10.1.0.5:7660"
    assert s.own_address("controller") == "10.1.0.5:7661"
    assert s.controller_at("10.2.0.3:8407") == "10.2.0.3:7661"
    assert [fault.place for fault in s.missing_listeners("proxy")] == [
        "network.listen.front",
        "network.listen.ready",
    ]


def test_file_change_is_detected_without_a_signal(tmp_path: Path) -> None:
    path = tmp_path / "settings.yaml"
    path.write_text(yaml.safe_dump(SMALL))
    file = settings.SettingsFile({settings.VARIABLE: str(path)})
    assert not file.changed()
    os.utime(path, ns=(1, 1))
    assert file.changed() and not file.changed()
    path.unlink()
    assert not file.changed()
    path.write_text(yaml.safe_dump(SMALL))
    assert file.read().is_ok() and not file.changed()


def test_command_line(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
    snapshot: SnapshotAssertion,
) -> None:
    monkeypatch.chdir(tmp_path)
    Path("good.yaml").write_text(yaml.safe_dump(SMALL))
    Path("bad.yaml").write_text(yaml.safe_dump({"self": {"ip": "<b>"}}))
    Path("bad.json").write_text('{"generation": 0, "resource-list": []}')
    good = str(Path(__file__).parents[3] / "examples/config.json")
    exchanges: list[Any] = []
    for line in (
        "version",
        "check-settings good.yaml",
        "check-settings bad.yaml",
        "check-settings no.yaml",
        "check-settings",
        "proxy --check",
        f"check-config {good}",
        "check-config bad.json",
    ):
        if line == "proxy --check":
            monkeypatch.setenv(settings.VARIABLE, "good.yaml")
        code = main(line.split())
        out = capsys.readouterr()
        exchanges.append([line.replace(good, "GOOD"), code, (out.out + out.err).replace(good, "GOOD")])
    assert exchanges == snapshot


def test_programs_start_without_optional_modules() -> None:
    code = (
        "import sys, gateway.__main__, gateway.runtime.settings\n"
        "import gateway.runtime.peer_transport, gateway.runtime.disk_thread\n"
        "import gateway.runtime.log_ring, gateway.runtime.ticker\n"
        "print(sorted({'cleo', 'pythonjsonlogger', 'dataclasses', 'yaml'} & sys.modules.keys()))"
    )
    root = Path(__file__).parents[3]
    out = subprocess.run([sys.executable, "-c", code], cwd=root, capture_output=True, text=True, check=True)
    assert out.stdout == "['yaml']\n"
