"""Fault tolerance of a core by its number of disks: pure arithmetic, for capacity planning."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple


class DiskLoss(NamedTuple):
    """The effect on a core of `lost` of its disks being unreachable at once, or lost permanently.

    Attributes:
        lost: The number of disks.
        stays_available: Changes are still committed; disks that are lost permanently get replaced.
        keeps_changes: Every acknowledged change is on a disk that remains.
    """

    lost: int
    stays_available: bool
    keeps_changes: bool


class VoterSet(NamedTuple):
    """A set of voters whose majority is needed: its number of disks, and how many of them are reachable."""

    disks: int
    reachable: int


class LossDescription(NamedTuple):
    """The effect of lost disks in words, while they are unreachable and if they are lost permanently."""

    unreachable: str
    lost_permanently: str


def majority(members: int) -> int:
    """The number of disks that a change is on before it is acknowledged."""
    return members // 2 + 1


def losses(members: int) -> list[DiskLoss]:
    """The effect of each number of lost disks, from none to all.

    An acknowledged change is on q disks. If f are lost, at least q - f of the others have it; if q others are
    left, any q of those include one that has it (q + q - f > members - f), so the core goes on with it.
    """
    q = majority(members)
    return [
        DiskLoss(lost, stays_available=members - lost >= q, keeps_changes=lost < q)
        for lost in range(members + 1)
    ]


def further_tolerable_losses(voter_sets: Iterable[VoterSet], replicas: int) -> int:
    """How many more disks, whichever they are, may be lost permanently without harm.

    Changes are then still committed, and no acknowledged one is lost.

    Args:
        voter_sets: Each set of voters whose majority is needed.
        replicas: How many reachable disks have the newest acknowledged change.
    """
    spare = [voters.reachable - majority(voters.disks) for voters in voter_sets]
    return max(0, min([*spare, replicas - 1]))


def tolerable_losses(members: int) -> int:
    """How many disks may be lost at once while the core stays available."""
    return max((loss.lost for loss in losses(members) if loss.stays_available), default=0)


def members_needed(tolerance: int) -> int:
    """The smallest core that stays available when `tolerance` members are lost at once."""
    return 2 * tolerance + 1


def describe(loss: DiskLoss) -> LossDescription:
    """The effect in words."""
    if loss.stays_available:
        return LossDescription("goes on", "goes on, nothing lost" if loss.lost else "goes on")
    unreachable = "no orders until some are back"
    if loss.keeps_changes:
        return LossDescription(unreachable, "no orders any more, what was acknowledged is on a disk")
    return LossDescription(unreachable, "acknowledged orders may be lost")
