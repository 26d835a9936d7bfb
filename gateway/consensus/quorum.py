"""Fault tolerance of a core as a function of its number of disks, for capacity planning."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple


class DiskLoss(NamedTuple):
    """The effect on a core of `lost` of its disks being unreachable at once, or lost permanently.

    Attributes:
        lost: The number of disks.
        stays_available: Changes can still be committed; permanently lost disks get replaced.
        keeps_changes: Every acknowledged change is on a disk that remains.
    """

    lost: int
    stays_available: bool
    keeps_changes: bool


class VoterSet(NamedTuple):
    """A set of voters from which a majority is needed: its number of disks, and how many are reachable."""

    disks: int
    reachable: int


class LossDescription(NamedTuple):
    """The effect of lost disks in words: while they are unreachable, and if they are lost for good."""

    unreachable: str
    lost_permanently: str


def majority(members: int) -> int:
    """The number of disks that must store a change before it is acknowledged."""
    return members // 2 + 1


def losses(members: int) -> list[DiskLoss]:
    """The effect of each number of lost disks, from none to all.

    An acknowledged change is on q disks. If f of them are lost, at least q - f of the others store it. If at
    least q disks remain, every q of them include one that stores it, because q + q - f > members - f.
    """
    q = majority(members)
    return [
        DiskLoss(lost, stays_available=members - lost >= q, keeps_changes=lost < q)
        for lost in range(members + 1)
    ]


def further_tolerable_losses(voter_sets: Iterable[VoterSet], replicas: int) -> int:
    """How many more disks, in any combination, may be lost permanently without harm.

    Changes can then still be committed, and no acknowledged change is lost.

    Args:
        voter_sets: Each set of voters from which a majority is needed.
        replicas: Number of reachable disks that store the newest acknowledged change.
    """
    spare = [voters.reachable - majority(voters.disks) for voters in voter_sets]
    return max(0, min([*spare, replicas - 1]))


def tolerable_losses(members: int) -> int:
    """How many disks may be lost at once while the core stays available."""
    return max((loss.lost for loss in losses(members) if loss.stays_available), default=0)


def members_needed(tolerance: int) -> int:
    """The size of the smallest core that stays available when `tolerance` members are lost at once."""
    return 2 * tolerance + 1


def describe(loss: DiskLoss) -> LossDescription:
    """A description of the effect for operators."""
    if loss.stays_available:
        return LossDescription("goes on", "goes on, nothing lost" if loss.lost else "goes on")
    unreachable = "no orders until some are back"
    if loss.keeps_changes:
        return LossDescription(unreachable, "no orders any more, what was acknowledged is on a disk")
    return LossDescription(unreachable, "acknowledged orders may be lost")
