"""Tests of the capacity page: fits, the page from recorded measurements, and a tiny fleet without traffic."""

from __future__ import annotations

import logging
from collections import Counter
from dataclasses import replace
from pathlib import Path

import pytest
from cleo.testers.command_tester import CommandTester

from gateway.consensus.consensus_pb2 import Kind
from gateway.membership.membership_pb2 import Message as MembershipMessage
from gateway.quota.quota_pb2 import Message as QuotaMessage
from simulation.capacity import budget, fit, former_names, page, samples, studies
from simulation.capacity.figures import Estimate, Part
from simulation.capacity.fleet import Fleet, FleetSize
from simulation.capacity.growth import roles
from simulation.capacity.meter import Counts, wire_bytes
from simulation.capacity.samples import Point, RecordingError, Sample
from simulation.cli import CapacityCommand

RECORDED = Path(__file__).parents[2] / "docs" / "capacity"


def test_line_and_exponent_are_recovered() -> None:
    line = fit.line([Point(n, 3.0 + 0.5 * n) for n in (10, 30, 100, 300)])
    assert (line.base, line.slope, line.certainty) == pytest.approx((3.0, 0.5, 1.0))
    assert fit.exponent([Point(n, 2.0 * n**1.37) for n in (30, 100, 300)]) == pytest.approx(1.37)
    assert fit.exponent([Point(n, 0.0) for n in (30, 100, 300)]) is None


def test_constant_values_have_slope_zero() -> None:
    points = [Point(n, 350.3) for n in (20, 1_000, 5_500, 22_000, 88_000)]
    assert fit.line(points) == fit.Line(350.3, 0.0, 1.0)
    assert str(fit.exponent(points)) == "0.0"


def test_noise_has_no_significant_line_and_two_sizes_have_none() -> None:
    assert fit.line([Point(10, 1.0), Point(20, 5.0), Point(30, 1.1)]).certainty < 0.3
    with pytest.raises(fit.FitError):
        fit.line([Point(10, 1.0), Point(20, 2.0)])


def test_size_at_which_a_budget_is_used_up() -> None:
    parts = (Part("ingresses", 30, 910, 0.2), Part("tenants", 20, 88_000, 1.8))
    line = budget.BudgetLine("ingress", "all", "time", "%", 1.1, Estimate(2.0, parts), "", budget.LEADER)
    axis, size = line.fails_at() or ("", 0.0)
    assert (axis, size, line.is_within_budget) == ("tenants", pytest.approx(44_010), False)


def test_gaps_of_the_recorded_measurements(snapshot: object) -> None:
    written = page.page(studies.load_all(RECORDED))
    assert written[: written.index("## Budget")] == snapshot


def test_committed_page_matches_the_recorded_measurements() -> None:
    written = RECORDED.parent / "CAPACITY.md"
    assert written.read_text(encoding="utf-8") == page.page(studies.load_all(RECORDED))


def test_recording_is_read_as_it_was_saved(tmp_path: Path) -> None:
    kept = samples.record("study", "command", "abc", 1.25, [Sample("axis", 3, "figure", "s", (0.5, 1.5))], {})
    assert samples.load(samples.save(kept, tmp_path)) == kept
    (tmp_path / "study.json").write_text("{}")
    with pytest.raises(RecordingError):
        samples.load(tmp_path / "study.json")


def test_old_recording_is_read_under_current_names(tmp_path: Path) -> None:
    former = [
        "ingress: quota: alive sent: bytes",
        "leader: agreement: appended received: messages",
        "ingress, one key: inspector",
        "ingress: membership: follow sent: messages",
    ]
    current = [
        "ingress: quota: client_heartbeat sent: bytes",
        "leader: agreement: append_response received: messages",
        "ingress, one key: drift detector",
        "ingress: membership: follow sent: messages",
    ]
    rows = [Sample("axis", 3, figure, "s", (0.5,)) for figure in former]
    for source, expected in (("f7ff621+", current), ("ba41dd5", current), ("abcdef0", former)):
        path = samples.save(samples.record("study", "command", source, 1.0, rows, {}), tmp_path)
        assert samples.load(path).figures("axis") == expected


def test_all_recorded_message_kinds_exist() -> None:
    flows = {
        (plane, flow.partition(" ")[0])
        for recording in studies.load_all(RECORDED).values()
        for sample in recording.samples
        if sample.unit == "messages/s" and sample.figure.count(": ") == 3
        for _, plane, flow, _ in [sample.figure.split(": ")]
    }
    known = {
        "agreement": {name.lower() for name in Kind.keys()},
        "membership": set(MembershipMessage.DESCRIPTOR.fields_by_name),
        "quota": set(QuotaMessage.DESCRIPTOR.fields_by_name),
        "backends": {"heartbeat"},
    }
    assert {plane for plane, _ in flows} == {*known, "all"}
    assert all(kind == "all" or kind in known[plane] for plane, kind in flows)
    assert {kind.current for kind in former_names.RENAMED_KINDS} <= set().union(*known.values())


def test_page_marks_recordings_older_than_the_remedies() -> None:
    recordings = studies.load_all(RECORDED)
    measured_now = {name: replace(each, source="abcdef0") for name, each in recordings.items()}
    assert "To be measured again" in page.page(recordings)
    assert "To be measured again" not in page.page(measured_now)


def count(by_role: dict[str, list[Counts]], direction: str) -> Counter[tuple[str, str, str]]:
    """Return the messages in one direction by role, plane and kind."""
    found: Counter[tuple[str, str, str]] = Counter()
    for role, ones in by_role.items():
        for one in ones:
            for flow, number in one.messages.items():
                if flow.direction == direction:
                    found[role, flow.plane, flow.kind] += number
    return found


def test_tiny_fleet_without_traffic_counts_its_messages(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(logging.getLogger("gateway"), "level", logging.ERROR)
    fleet = Fleet(FleetSize(ingresses=3, backends=6, services=1, tenants=4, requests=20.0), seed=1)
    fleet.begin()
    fleet.window(4.0)
    counts = roles(fleet)
    assert [len(counts[role]) for role in ("ingress", "leader", "controller")] == [3, 1, 6]
    sent, received = count(counts, "sent"), count(counts, "received")
    charged = sent["ingress", "quota", "charge"]
    assert charged == pytest.approx(3 * 20 * 4.0, rel=0.3)
    taken = received["leader", "quota", "charge"] + received["controller", "quota", "charge"]
    assert taken == pytest.approx(charged, abs=2)  # some are in transit when the window begins or ends
    assert received["ingress", "quota", "verdict"] == pytest.approx(charged, abs=2)
    beats = sent["leader", "agreement", "heartbeat"]
    assert beats == pytest.approx(received["controller", "agreement", "heartbeat"], abs=6) and beats > 200
    assert all(one.total_processor() > 0 for ones in counts.values() for one in ones)


def test_bytes_on_the_wire_include_headers() -> None:
    assert [wire_bytes(100), wire_bytes(1151), wire_bytes(3000)] == [128, 1207, 3160]


@pytest.mark.parametrize(
    ("arguments", "why"),
    [
        ("--only nothing", "no study"),
        ("--from docs/capacity --quick", "measures nothing"),
        ("--from tests/absent --out /dev/null", "no recordings"),
    ],
)
def test_invalid_arguments(arguments: str, why: str) -> None:
    tester = CommandTester(CapacityCommand())
    assert tester.execute(arguments) == 2
    assert why in tester.io.fetch_error()
