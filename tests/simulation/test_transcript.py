"""Tests of transcripts: which messages they show."""

from __future__ import annotations

import logging
from pathlib import Path
from types import SimpleNamespace
from typing import cast

from cleo.testers.command_tester import CommandTester

import simulation
from gateway.consensus.consensus_pb2 import Kind, Message
from simulation.cli import ShowCommand
from simulation.model.network import Location
from simulation.model.simulation_run import Run
from simulation.transcript import TranscriptWriter

SMALL_SITE = Path(simulation.__file__).parent / "sites" / "small.toml"


def test_unknown_plane_is_rejected_before_the_simulation() -> None:
    command = CommandTester(ShowCommand())
    assert command.execute(f"{SMALL_SITE} --planes quota,unheard") != 0
    assert "unknown plane unheard; there are consensus, membership, quota" in command.io.fetch_error()


def test_command_does_not_change_the_logging_of_its_process() -> None:
    root = logging.getLogger()
    before = root.level, list(root.handlers)
    CommandTester(ShowCommand()).execute(f"{SMALL_SITE} --planes unheard")
    assert (root.level, list(root.handlers)) == before


def shown(quiet: bool) -> list[str]:
    """Return the lines of a heartbeat, its response, an entry and a vote request."""
    run = SimpleNamespace(
        simulator=SimpleNamespace(now=1.0), deployment=SimpleNamespace(network=SimpleNamespace())
    )
    writer = TranscriptWriter(cast(Run, run), 0.0, 9.0, (), (), quiet)
    leader, follower = Location("a", "z1"), Location("b", "z2")
    for kind in (Kind.HEARTBEAT, Kind.APPEND_RESPONSE, Kind.APPEND_ENTRIES, Kind.REQUEST_VOTE):
        writer.record_message(leader, follower, "consensus", Message(kind=kind))
    return [line for _, line in writer.lines]


def test_quiet_transcript_omits_heartbeats_and_their_responses() -> None:
    kept = ["a -> b  consensus kind=APPEND_ENTRIES", "a -> b  consensus kind=REQUEST_VOTE"]
    assert shown(quiet=True) == kept
    assert len(shown(quiet=False)) == 4
