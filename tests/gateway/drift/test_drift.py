"""Detection and repair of drift at a node, and the cost of the checks."""

import json
from unittest.mock import Mock

import pytest

from gateway.cli import node_report
from gateway.cli.status_client import CallFailure, StatusAnswers
from gateway.config.changes import ConfigState
from gateway.config.routing import CompiledConfig
from gateway.config.schema import Difference
from gateway.drift import events, live_check, outputs
from gateway.drift.detector import DriftDetector
from gateway.drift.metrics import render_metrics
from gateway.programs.quota_report import OwnerReport
from gateway.quota.shard_owner import ShardOwner
from gateway.runtime.http_call import HttpCall
from tests.gateway.drift.drift_network import CONTROLLER_ADDRESSES, FleetNetwork, accepted, config, route

MANY = accepted(config(more=[route(f"m{n}") for n in range(300)]))


def running_network(config_state=MANY):
    """A network with one proxy that runs the version."""
    net = FleetNetwork(1)
    net.put(1, config_state)
    net.run(2)
    return net, net.proxies[0]


def corrupt(kind, compiled_config):
    """Corrupt the running configuration; returns the expected finding."""
    r1, node = compiled_config.match(b"a.example", b"/r1/x"), compiled_config.hosts[b"a.example"]
    if kind == "tries":
        r1.tries = 9
        return "route r1.max-tries: is 9, should be 2 (version 1, request)"
    if kind == "weight":
        r1.cumulative_shares = (("s1", 0.5), ("s2", 1.0))
        return "route r1.shares added up: is (('s1', 0.5), ('s2', 1.0)), should be (('s1', 0.9), ('s2', 1.0))"
    if kind == "key":
        compiled_config.keys[b"t1-a"] = compiled_config.tenants["t2"]
        return "key t1.label: is t2, should be t1 (version 1, request)"
    if kind == "key gone":
        del compiled_config.keys[b"t1-a"]
        return "route r1.status: is 401, should be 200 (version 1, sample)"
    if kind == "limit":
        compiled_config.tenants["t1"].rate = 2000.0
        return "key t1.rate-per-s: is 2000.0, should be 20.0 (version 1, request)"
    if kind == "route gone":
        del node.children[b"r1"]
        return "route r1.status: is 404, should be 200 (version 1, sample)"
    node.children[b"r1"].route = compiled_config.match(b"a.example", b"/r2/x")  # half applied
    return "route r1.route: is r2, should be r1 (version 1, sample)"


@pytest.mark.parametrize("kind", ["tries", "weight", "key", "key gone", "limit", "route gone", "half"])
def test_corrupt_configuration_is_detected_by_requests_and_rebuilt(kind):
    net, s = running_network()
    compiled_config = s.proxy_node.compiled_config
    net.run(0.5)
    where = corrupt(kind, compiled_config)
    assert (
        s.ask() == 200
        and s.findings()[0].startswith(where)
        and s.proxy_node.compiled_config is not compiled_config
    )
    assert s.proxy_node.compiled_config.match(b"a.example", b"/r1/x").tries == 2
    net.run(2)
    assert (
        s.drift_monitor.ready
        and len(s.findings()) <= 2
        and s.drift_detector.running_digest == s.drift_detector.acknowledged_digest
    )
    assert all(
        node_report.merge_answers(StatusAnswers([net.nodes[p].fleet_monitor.status(net.now)], [])).findings
        for p in CONTROLLER_ADDRESSES
    )


@pytest.mark.parametrize("what", ["route", "limits", "quota", "held to"])
def test_scan_detects_drift_without_requests(what):
    net, s = running_network(accepted(config()))
    if what == "route":
        s.proxy_node.compiled_config.routes["r2"].deadline = 1.0
    elif what == "limits":
        s.proxy_node.compiled_config.limits = s.proxy_node.compiled_config.limits._replace(max_body_bytes=7)
    elif what == "quota":
        local_quota = s.proxy_node.quota_client.local_quotas["t1"]
        local_quota.window = local_quota.window._replace(allowance=500.0)
    else:
        s.limits_in_force = s.limits_in_force._replace(body=7)
    net.run(1.1 if what in ("quota", "held to") else 8)
    assert (
        len(s.findings()) == 1
        and s.findings()[0].split()[0].startswith(what.partition(" ")[0][:5])
        or (what == "held to" and s.findings()[0].startswith("limits max_body_bytes: is 7"))
    )
    net.run(8)
    assert len(s.findings()) == 1


def test_corrupt_stored_value_is_fetched_again():
    net, s = running_network()
    s.drift_monitor.value = b""
    s.proxy_node.compiled_config.match(b"a.example", b"/r1/x").tries = 9
    assert s.ask() is None and s.ask("/r2/x") == 200  # rejected instead of forwarded
    net.run(1.1)
    assert s.ask() is None  # requests the value
    net.run(0.1)
    assert s.ask() == 200 and len(s.findings()) == 1 and s.drift_monitor.value == MANY.encode()


def test_unreadable_document_fails_no_request():
    net, s = running_network(accepted(config()))
    del s.proxy_node.config_state.document.entries[0]["spec"]
    assert {s.ask() for _ in range(60)} == {200}
    assert s.findings() == ["a look: is KeyError: 'spec', should be possible (version 1, sample)"]
    assert "spec" in s.proxy_node.config_state.document.entries[0]


def test_rebuild_limit_makes_the_node_unready_and_is_reported_once():
    machine = DriftDetector(2.5)
    machine.handle(0.0, events.VersionApplied(1, 7, 7))
    machine.handle(0.0, events.NewestConfirmed(1, 0.0))
    outputs_found = []
    for n in range(100):
        found = events.DifferencesFound(events.Check.REQUEST, (Difference("route r1.max-tries", "9", "2"),))
        outputs_found += machine.handle(n * 0.1, found)
    assert [type(o).__name__ for o in outputs_found] == [
        "Finding",
        "Rebuild",
        "FetchVersion",
        "Rebuild",
        "FetchVersion",
        "Rebuild",
        "ReadinessChanged",
        "Finding",
    ]
    assert not machine.ready and machine.handle(40.0, events.Tick())[0] == outputs.ReadinessChanged(True)


def test_drift_detector_transcript(snapshot):
    """Core contact pending, behind, rejecting, caught up, another digest, and a false advertisement."""
    machine, lines = DriftDetector(2.5, refuse_after_s=5.0), []

    def give(now, event):
        lines.extend(f"{now:5.2f} {out!r}" for out in machine.handle(now, event))

    give(0.0, events.VersionApplied(5, 0xA, 0xA))
    give(0.0, events.NewestConfirmed(5, 0.0))
    give(0.1, events.VersionSeen(6, 0xB, "10.0.0.1:7661"))
    for n in range(24):
        give(0.2 + n / 10, events.Tick())
    give(2.6, events.VersionUnreadable(6, "not a value of orders"))
    give(2.7, events.VersionApplied(6, 0xB, 0xB))
    give(2.8, events.VersionApplied(6, 0xC, 0xB))
    give(2.9, events.VersionApplied(6, 0xC, 0xB))
    give(3.0, events.VersionSeen(99, 0xF, "10.0.0.9:7660"))
    give(3.4, events.Tick())
    give(3.7, events.NewestConfirmed(6, 3.6))
    for n in range(6):
        give(4.0 + n, events.Tick())
    give(9.2, events.NewestConfirmed(6, 9.1))
    assert "\n".join(lines) == snapshot


def test_cost_of_checks_is_bounded(monkeypatch):
    read = []
    plain = live_check.evaluate
    monkeypatch.setattr(
        live_check, "evaluate", lambda document, *more: read.append(1) or plain(document, *more)
    )
    for config_state, most in (
        (accepted(config()), 1 / 50),
        (MANY, 1 / 50),
        (accepted(config(more=[route(f"m{n}") for n in range(900)])), 1 / 180),
    ):
        net, s = running_network(config_state)
        scanner = s.drift_monitor.live.scanner
        scans = Mock(side_effect=scanner.step)
        monkeypatch.setattr(scanner, "step", scans)
        read.clear()
        for _ in range(1100):
            s.ask()
        assert 0 < len(read) <= 1100 * most and scans.call_count <= 1100 / 16 + 1
        for _ in range(1000):
            s.ask("/none/x")
        assert len(read) <= 2100 * most + 1  # a flood of requests that aren't allowed causes no more samples


def test_status_figures_and_the_list_of_nodes(snapshot):
    net, s = running_network(accepted(config()))
    s.ask()
    s.proxy_node.compiled_config.match(b"a.example", b"/r1/x").tries = 9
    s.ask()
    net.run(1)
    answers = []
    ask = [HttpCall("GET", path, b"") for path in ("/-/status", "/-/readiness", "/-/metrics")]
    assert s.drift_monitor.answer(ask[0], lambda *a: answers.append(a), s.proxy_node.client_report)
    assert not s.drift_monitor.answer(ask[1], lambda *a: answers.append(a), s.proxy_node.client_report)
    assert json.loads(answers[0][2])["findings"][0]["place"] == "route r1.max-tries"
    fleet_monitor = [net.nodes[p].fleet_monitor for p in CONTROLLER_ADDRESSES]
    owner_report = OwnerReport(CONTROLLER_ADDRESSES[0], ShardOwner(5.0, net.rng))
    assert fleet_monitor[0].answer(net.now, ask[2], lambda *a: answers.append(a), {}, owner_report)
    failures = [CallFailure("10.9.0.1:8407", "timed out")]
    report = node_report.merge_answers(StatusAnswers([o.status(net.now) for o in fleet_monitor], failures))
    table = [line.replace("  0.0  ", "  #    ") for line in node_report.lines(report)]
    shown = [
        render_metrics(s.drift_monitor.metrics()[:1]).decode(),
        *(line for line in table if "proxy" not in line),
    ]
    assert "\n".join(shown) == snapshot
    assert not report.is_healthy and b"gateway_drift_nodes_lagging 0\n" in answers[1][2]


def test_incremental_build_has_the_same_digest():
    first, second = accepted(config()), accepted(config(2, 1, r3="s2"), accepted(config()))
    grown = ConfigState.decode(second.encode(), first).document
    expected = live_check.ExpectedDigests(grown, live_check.ExpectedDigests(first.document))
    compiled_config = CompiledConfig(grown, CompiledConfig(first.document))
    assert (
        live_check.running_digest(compiled_config, expected)
        == live_check.digest(CompiledConfig(second.document))
        == expected.total
    )
    compiled_config.routes["r1"].tries = 9
    assert live_check.running_digest(compiled_config, expected) != expected.total
