"""Tests of both programs as README starts them, on loopback, together with the command line."""

from __future__ import annotations

import itertools
import json
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from gateway.cli import commands, control_client
from gateway.programs.paths import CONFIG
from gateway.runtime.http_call import HttpCall

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"


def test_example_serves_a_request_and_shuts_down_cleanly() -> None:
    done = subprocess.run(
        [sys.executable, str(EXAMPLES / "run.py"), "--once", "--port", "0"],
        capture_output=True,
        text=True,
        timeout=100,
    )
    assert done.returncode == 0 and done.stdout.startswith("200 i-"), done
    assert {json.loads(line)["level"] for line in done.stderr.splitlines()} == {"NOTICE"}, done.stderr


def change() -> dict[str, Any]:
    """Rename the example's route for reading."""
    whole = json.loads((EXAMPLES / "config.json").read_bytes())
    route = next(e for e in whole["resource-list"] if e["metadata"].get("label") == "read")
    route["metadata"]["label"], route["spec"]["path-prefix"] = "look", "/look/"
    return {
        "generation": 5,
        "base-version": 1,
        "upsert": {"resource-list": [route]},
        "remove": {"route-table": ["read"]},
    }


def limit() -> dict[str, Any]:
    """Limit the example's tenant to two requests per second."""
    whole = json.loads((EXAMPLES / "config.json").read_bytes())
    tenant = next(e for e in whole["resource-list"] if e["entry-kind"] == "tenants")
    tenant["spec"] |= {"rate-per-s": 2, "burst": 2}
    return {"generation": 6, "base-version": 5, "upsert": {"resource-list": [tenant]}}


def beyond_the_allowance(example: Any) -> None:
    """Check that the tenant is refused at once with a Retry-After, and served after that time."""
    import calls
    import run

    tries = itertools.count(1)

    def ask() -> calls.Answer:
        headers = {**run.HEADERS, "Attempt-Id": f"{next(tries):016x}"}
        return calls.call(example.front, "GET", "/look/3", headers=headers)

    found: list[calls.Answer] = []

    def refusal() -> calls.Answer:
        found[:] = [answer for answer in (ask() for _ in range(8)) if answer.status == 429]
        return calls.NONE._replace(status=200 if found else 0)

    example.until("a refusal", refusal)
    assert all(0 < float(answer.headers["retry-after"]) <= 2 for answer in found)
    example.until("to be served again", ask)
    assert commands.run(["allowance", example.control]) == 0


def readiness_after_sigterm(example: Any) -> list[int]:
    """Return the proxy's readiness responses from SIGTERM to its end, without the first one.

    The first one may have been sent before the signal took effect.
    """
    import calls

    proxy, said = example.programs[1], []
    proxy.terminate()
    while proxy.poll() is None:
        said.append(calls.call(example.ready, "GET", "/-/readiness").status)
    assert len(said) > 1
    return said[1:]


def test_changes_reloads_and_shutdown(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.syspath_prepend(str(EXAMPLES))
    import calls
    import run

    example = run.Example(run.free_ports(), str(tmp_path))
    try:
        example.start()
        example.until("a request to be served", example.request)
        for process in example.programs:
            process.send_signal(signal.SIGHUP)
        patch = tmp_path / "patch.json"
        patch.write_text(json.dumps(change()))
        assert commands.run(["config", "patch", example.control, str(patch)]) == 0
        assert commands.run(["config", "get", example.control]) == 0
        assert json.loads(capfd.readouterr().out.splitlines()[-1])["generation"] == 5
        example.until(
            "the new route", lambda: calls.call(example.front, "GET", "/look/1", headers=run.HEADERS)
        )
        example.until(
            "all nodes to be well",
            lambda: calls.NONE._replace(status=0 if commands.run(["nodes", example.control]) else 200),
        )
        assert [commands.run(["core", example.control]), commands.run(["backends", example.control])] == [
            2,
            0,
        ]
        shown = capfd.readouterr().out
        assert " leader " in shown and "bears 0 lost at once, 1 wanted" in shown
        assert shown.count(" standing ") == 2, shown
        assert example.request().status == 404
        patch.write_text(json.dumps(limit()))
        assert commands.run(["config", "patch", example.control, str(patch)]) == 0
        beyond_the_allowance(example)
        assert "land-office" in capfd.readouterr().out
        invalid = control_client.send_call(example.control, HttpCall("PUT", CONFIG, b'{"generation":7}'), 5.0)
        assert invalid.status in (400, 412)
        leaving = example.backends.pop(0)
        leaving.terminate()
        assert leaving.wait(20) == 0
        example.until(
            "the one that is left",
            lambda: calls.call(
                example.front, "GET", "/look/2", headers={**run.HEADERS, "Attempt-Id": "9c41d07be2a35f69"}
            ),
        )
        assert 200 not in readiness_after_sigterm(example)
    finally:
        example.stop()
    assert [process.returncode for process in example.programs] == [0, 0]
    assert all(json.loads(line)["level"] == "NOTICE" for line in capfd.readouterr().err.splitlines())
