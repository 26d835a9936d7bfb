"""Tests of the disk losses that a core tolerates at an instant, and during a membership change."""

from __future__ import annotations

import logging

import pytest

from gateway.consensus.entry import EMPTY_ENTRY, Entry, Member, PersistentState
from simulation import disk_loss_tolerance

A, B, C, D = (Member(x, f"10.0.0.{n}:1") for n, x in enumerate("abcd"))
OLD = Entry(1, 3, 1, (A, B, C), (), b"old")
NEW = OLD._replace(log_index=4, version=2, value=b"new")
JOINT = OLD._replace(log_index=4, members=(A, B, D), outgoing=(A, B, C))
SWAPPED = OLD._replace(log_index=5, members=(A, B, D))


@pytest.mark.parametrize(
    ("held", "acknowledged", "borne"),
    [
        ({A: OLD, B: OLD, C: OLD}, 1, 1),
        ({A: OLD, B: OLD}, 1, 0),
        ({A: OLD}, 1, -1),
        ({A: NEW, B: NEW, C: OLD}, 2, 1),
        ({A: NEW, B: OLD, C: OLD}, 2, -1),  # acknowledged on one disk only, so that an election may lose it
        ({A: JOINT, B: JOINT, D: OLD}, 1, 0),  # c is lost, so that both a and b are needed
        ({A: JOINT, B: JOINT, C: OLD, D: OLD}, 1, 1),
        ({A: SWAPPED, B: SWAPPED, D: EMPTY_ENTRY}, 1, 1),
        ({A: SWAPPED, B: SWAPPED, C: OLD, D: OLD}, 1, 1),
    ],
)
def test_tolerated_losses_at_an_instant(held: dict[Member, Entry], acknowledged: int, borne: int) -> None:
    disks = [PersistentState(member.disk, 1, "", entry) for member, entry in held.items()]
    assert disk_loss_tolerance.borne(disks, acknowledged) == borne


def test_disk_is_replaced_within_the_required_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(logging.getLogger("gateway"), "level", logging.ERROR)
    _, _, change = disk_loss_tolerance.play(3, "wipe", 1)
    assert change.fewest == 0 and change.since_start_s < 1.0
