"""Fault tolerance of a core by its number of disks: pure arithmetic, for capacity planning."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple


class DiskLoss(NamedTuple):
    """The effect on a core of `lost` of its disks being unreachable at once, or lost permanently."""

    lost: int
    stays_available: (
        bool  # orders are still committed; disks that are lost permanently get replaced by new ones
    )
    keeps_orders: bool  # every acknowledged order is on a disk that remains


def majority(members: int) -> int:
    """The number of disks that an order is on before it is acknowledged."""
    return members // 2 + 1


def losses(members: int) -> list[DiskLoss]:
    """The effect of each number of lost disks, from none to all.

    An acknowledged order is on q disks. If f are lost, at least q - f of the others have it; if q others are
    left, any q of those include one that has it (q + q - f > members - f), so the core goes on with it.
    """
    q = majority(members)
    return [DiskLoss(f, members - f >= q, f < q) for f in range(members + 1)]


def more(voter_sets: Iterable[tuple[int, int]], holders: int) -> int:
    """How many more disks, whichever they are, may be lost permanently while orders are still committed and
    no acknowledged one is lost.

    `voter_sets`: for each set of voters whose majority is needed, its number of disks and how many of them
    are reachable. `holders`: how many reachable disks have the newest acknowledged order.
    """
    return max(0, min([there - majority(disks) for disks, there in voter_sets] + [holders - 1]))


def tolerable_losses(members: int) -> int:
    """How many disks may be lost at once while the core stays available."""
    return max((loss.lost for loss in losses(members) if loss.stays_available), default=0)


def members_needed(tolerance: int) -> int:
    """The smallest core that stays available when `tolerance` members are lost at once."""
    return 2 * tolerance + 1


def told(loss: DiskLoss) -> tuple[str, str]:
    """The effect in words: while these disks are only unreachable, and if they are lost permanently."""
    if loss.stays_available:
        return "goes on", "goes on, nothing lost" if loss.lost else "goes on"
    if loss.keeps_orders:
        return "no orders until some are back", "no orders any more, what was acknowledged is on a disk"
    return "no orders until some are back", "acknowledged orders may be lost"
