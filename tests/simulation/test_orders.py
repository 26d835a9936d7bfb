"""Tests of the propagation times of changes, as logged by the programs."""

from __future__ import annotations

import json
import logging
from dataclasses import replace

import pytest
from syrupy.assertion import SnapshotAssertion

from gateway.runtime.log_ring import LogRing
from simulation import orders, spec
from simulation.model.simulation_run import Run

LOG = """
start of the day, no object here
[  12.100 kgn-a-1 controller] {"time": 9.1, "logger": "gateway.config_events", "message": "configuration change proposed", "version": 4, "generation": 9}
[  12.130 kgn-b-1 controller] {"time": 9.13, "logger": "gateway.config_events", "message": "configuration in force", "node": "b:1", "version": 4, "generation": 9, "first": false}
[  12.140 kgn-a-1 controller] {"time": 9.14, "logger": "gateway.config_events", "message": "configuration change acknowledged", "version": 4, "generation": 9, "after_s": 0.05}
[  12.200 kgn-c-1 proxy] {"time": 9.2, "logger": "gateway.config_events", "message": "configuration in force", "node": "c:0", "version": 4, "generation": 9, "first": false}
[  12.250 kgn-d-1 proxy] {"time": 9.25, "logger": "gateway.drift", "message": "drift: {odd}"}
[  13.000 kgn-a-1 controller] {"time": 10.0, "logger": "gateway.config_events", "message": "configuration change proposed", "version": 5, "generation": 10}
[  14.000 kgn-b-1 controller] {"time": 11.0, "logger": "gateway.config_events", "message": "configuration change proposed", "version": 5, "generation": 11}
[  14.100 kgn-b-1 controller] {"time": 11.1, "logger": "gateway.config_events", "message": "configuration change acknowledged", "version": 5, "generation": 11, "after_s": 0.3}
[  14.110 kgn-b-1 controller] {"time": 11.11, "logger": "gateway.config_events", "message": "configuration in force", "node": "b:1", "version": 5, "generation": 11, "first": false}
[  15.500 kgn-e-1 proxy] {"time": 12.5, "logger": "gateway.config_events", "message": "configuration in force", "node": "e:0", "version": 5, "generation": 11, "first": true}
[  16.000 kgn-e-1 proxy] {"time": 13.0, "logger": "gateway.config_events", "message": "configuration in fo
"""  # noqa: E501


def test_log_is_parsed(snapshot: SnapshotAssertion) -> None:
    tables = [orders.table(orders.orders(orders.read(LOG.splitlines(), p))) for p in (False, True)]
    assert tables[0] == tables[1] and "\n".join(tables[0]) == snapshot


def test_log_lines_of_a_simulated_day(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("gateway.runtime.log_ring.MAX_LINES_PER_SECOND", 999)  # all processes share one ring
    told = spec.load("simulation/sites/small.toml")[0]
    run = Run(replace(told, day=replace(told.day, seconds=14.0, traffic=False, config_changes=1.0)), 3)
    lines: list[str] = []
    ring = LogRing(
        write=lambda text: lines.extend(f"{run.simulator.now:.4f} {x}" for x in text.splitlines()),
        clock=lambda: run.simulator.now,
    )
    logger = logging.getLogger("gateway.config_events")
    logger.addHandler(ring)
    logger.setLevel(logging.INFO)
    try:
        record = run.play()
    finally:
        logger.removeHandler(ring)
        logger.setLevel(logging.NOTSET)
    assert lines and all(json.loads(line.partition(" ")[2]) for line in lines)
    found = orders.orders(orders.read(lines, True))
    done = {o.generation: o for o in record.orders if o.status == 200}
    assert len(done) > 3 and {o.generation for o in found if o.ack_s is not None} == set(done)
    later = found[1:]
    assert all(len(o.nodes) == 9 and not o.missing for o in later)
    assert all(abs(o.ack_s - (done[o.generation].at - done[o.generation].sent)) < 0.05 for o in later)
