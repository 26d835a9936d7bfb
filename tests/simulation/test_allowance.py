"""Tests of the quota reports: how requests were decided, and whether the nodes' views agree."""

from __future__ import annotations

import json
import logging
from typing import Any

from gateway.cli import allowance_report, commands, status_client
from gateway.cli.status_client import StatusAnswers
from gateway.drift.metrics import render_metrics
from gateway.programs.quota_report import QUOTA_LOGGER, QUOTA_METRIC_PREFIX, ClientReport, OwnerReport
from gateway.quota.decision_statistics import BUCKET_EDGES, DecisionKind
from gateway.quota.quota_pb2 import Message
from gateway.runtime.log_ring import LogRing
from simulation import allowance as simulation
from tests.gateway.quota.quota_network import QuotaNetwork

TENANTS = {"calm": (40.0, 40.0), "hot": (20.0, 20.0)}


class MisreadingNetwork(QuotaNetwork):
    """Injected bug: one proxy misreads verdicts."""

    def deliver(self, sender: str, to: str, message: Any) -> None:
        if to == "s0" and message.WhichOneof("kind") == "verdict":
            message = Message.FromString(message.SerializeToString())
            message.verdict.remaining += 500
        super().deliver(sender, to, message)


def busy(kind: type[QuotaNetwork] = QuotaNetwork, seed: int = 1) -> QuotaNetwork:
    net = kind(4, 3, TENANTS, seed)
    net.run(3.0)
    net.load("calm", 20.0, 60.0)
    net.load("hot", 90.0, 60.0, precedence=2)
    net.run(20.0)
    return net


def told(net: QuotaNetwork) -> allowance_report.AllowanceReport:
    """Return what the command shows if it asks all shard owners."""
    reports = [OwnerReport(name, owner) for name, owner in net.owners.items()]
    answers = [{"node": report.me, **report.status(net.now)} for report in reports]
    return allowance_report.merge_answers(StatusAnswers(answers, []))


def test_nodes_agree_under_load_and_after_lost_shard_owners_and_partitions():
    net = busy()
    now = told(net)
    assert now.is_healthy and [row["tenant"] for row in now.tenants] == ["calm", "hot"]
    assert all(row["nodes"] == 4 and row["oldest-s"] < 8 for row in now.tenants)
    assert any(row["differs"] > 0 for row in now.views)  # views may be outdated, which is no error
    net.kill(now.tenants[1]["holder"])
    net.set_leader(next(iter(net.owners)))
    net.loss = 0.1
    net.run(23.0)
    net.partitioned = {"s1"}
    for until in range(24, 40):
        net.run(until)
        assert all(row["state"] == "agrees" for row in told(net).tenants), until
    net.partitioned, net.loss = set(), 0.0
    net.run(50.0)
    assert told(net).is_healthy and all(row["nodes"] == 4 for row in told(net).tenants)


def test_node_with_a_wrong_view_is_detected(monkeypatch, capfd):
    net = busy(MisreadingNetwork)
    now = told(net)
    assert {row["node"] for row in now.views if row["beyond"]} == {"s0"} and not now.is_healthy
    answers = {
        name: {"node": name, **OwnerReport(name, owner).status(net.now)} for name, owner in net.owners.items()
    }
    monkeypatch.setattr(status_client, "fetch_status", lambda seed, path: answers[seed])
    assert commands.run(["allowance", *answers]) == 2 and "disagrees" in capfd.readouterr().out
    assert commands.run(["allowance", "--nodes", *answers]) == 2 and "s0" in capfd.readouterr().out
    for answer in answers.values():
        for count in answer["allowance"]:
            count["views"] = [v for v in count["views"] if v["node"] != "s0"]
    assert commands.run(["allowance", "--json", *answers]) == 0
    assert len(json.loads(capfd.readouterr().out)["views"]) == 6
    twice = [answers["p0"], {**answers["p0"], "node": "p9"}, answers["p1"], answers["p2"]]
    merged = allowance_report.merge_answers(StatusAnswers(twice, []))
    assert {row["state"] for row in merged.tenants} <= {"held twice", "agrees"}
    assert not allowance_report.merge_answers(StatusAnswers(twice[:2] + twice[:2], [])).is_healthy


def test_each_request_is_counted_once_by_its_decision():
    net = busy()
    net.loss = 0.3
    net.run(25.0)
    net.partitioned = {"s2"}
    net.run(40.0)
    lines = {name: ClientReport(name, quota_client) for name, quota_client in net.quota_clients.items()}
    changes = [line.changes(net.now) for line in lines.values()]
    net.partitioned, net.loss = set(), 0.0
    net.run(62.0)
    changes += [line.changes(net.now) for line in lines.values()]
    assert [line.changes(net.now) for line in lines.values()] == [{}] * 4
    counts = [
        (tenant, ways) for n in changes for tenant, levels in n["charged"].items() for ways in levels.values()
    ]
    for tenant in TENANTS:
        ways = [sum(column) for column in zip(*(w for t, w in counts if t == tenant), strict=True)]
        assert sum(ways) == net.request_count[tenant] and ways[DecisionKind.ADMITTED_BY_OWNER] + ways[
            DecisionKind.ADMITTED_BY_SHARE
        ] == len(net.admitted_at[tenant])
        assert all(ways) or tenant == "calm"
    assert sum(sum(t.values()) for n in changes for t in n["times"].values()) == net.request_count.total()
    waited = net.quota_clients["s0"].statistics.times[DecisionKind.ADMITTED_BY_OWNER]
    assert sum(waited[: BUCKET_EDGES.index(0.008)]) > 0.5 * sum(waited)  # a round trip takes 2 to 8 ms


def test_metrics_have_the_format_of_a_scraper():
    net = busy()
    client_report, owner_report = (
        ClientReport("s0", net.quota_clients["s0"]),
        OwnerReport("p0", net.owners["p0"]),
    )
    for counting in (client_report, owner_report):
        body = render_metrics(counting.metrics(net.now), QUOTA_METRIC_PREFIX).decode().splitlines()
        families = [line.split()[2] for line in body if line.startswith("# TYPE")]
        assert len(families) == len(set(families))
    buckets = [
        float(line.split()[1])
        for line in render_metrics(client_report.metrics(net.now)).decode().splitlines()
        if 'way="holder",le=' in line
    ]
    assert len(buckets) == len(BUCKET_EDGES) + 1 and buckets == sorted(buckets) and buckets[-1] > 100


def test_day_is_aggregated_from_lines_among_others():
    net = busy()
    net.load("hot", 30.0, 60.0)
    begun = [ClientReport(name, quota_client) for name, quota_client in net.quota_clients.items()]
    begun += [OwnerReport(name, owner) for name, owner in net.owners.items()]
    lines = [
        "what else a file holds {",
        '   1.0 edge-a {"logger": "gateway.drift", "held": "gateway.quota_report"}',
    ]

    def look() -> None:
        for counting in begun:
            if counting.me in (*net.quota_clients, *net.owners) and (changes := counting.changes(net.now)):
                told = json.dumps({"time": 1.7e9, "logger": QUOTA_LOGGER, "node": counting.me, **changes})
                lines.append(f"{net.now:9.3f}  edge-{counting.me} proxy: {told}\n")

    look()
    gone = next(iter(told(net).tenants))["holder"]
    net.kill(gone)
    net.set_leader(next(iter(net.owners)))
    net.run(40.0)
    look()
    day = simulation.gather(simulation.read([*lines, lines[-1][:60]]))
    decided = net.request_count.total() - len(net.tenant_of)  # some requests are still waiting
    assert sum(map(sum, day.decided.values())) == decided == sum(map(sum, day.times.values()))
    assert {key for key in day.decided} == {("calm", 0), ("hot", 0), ("hot", 2)}
    assert 0.002 < simulation.quantile(day.times["holder"], 0.5) < 0.009
    assert {move[1:3] for move in day.moves} >= {("calm", f"edge-{gone} {gone}")}
    assert "hot     1           " in simulation.render_day(day) and all(
        view.beyond == 0 for view in day.views
    )


def test_count_lines_are_written_at_once_only_on_request():
    for immediate_logger, written in (("", 0), (QUOTA_LOGGER, 1)):
        out: list[str] = []
        ring = LogRing(write=out.append, immediate_logger=immediate_logger)
        ring.handle(
            logging.makeLogRecord({"name": QUOTA_LOGGER, "levelno": logging.INFO, "msg": {"back": 3}})
        )
        ring.handle(logging.makeLogRecord({"name": "gateway.else", "levelno": logging.INFO, "msg": "usual"}))
        assert len(out) == written and len(ring.records) == 2 - written
    assert json.loads(out[0])["back"] == 3
