"""What a core of so many disks bears: pure arithmetic over counts, for those who plan one."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple


class DiskLoss(NamedTuple):
    """What becomes of a core when `lost` of its disks are away at once, or gone for good."""

    lost: int
    stays_available: (
        bool  # orders are agreed on all the while; where disks are gone, new ones take their places
    )
    keeps_orders: bool  # every acknowledged order is on a disk that is left


def majority(members: int) -> int:
    """On how many disks an order is before it is acknowledged."""
    return members // 2 + 1


def losses(members: int) -> list[DiskLoss]:
    """By the number of disks lost, from none to all.

    An acknowledged order is on q disks. If f are lost, q - f of the others have it; if q others are left, any
    q of those meet one that has it (q + q - f > members - f), and so the core goes on with it.
    """
    q = majority(members)
    return [DiskLoss(f, members - f >= q, f < q) for f in range(members + 1)]


def more(voter_sets: Iterable[tuple[int, int]], holders: int) -> int:
    """How many more disks may be lost for good, whichever they are, while orders go on and none is lost.

    `voter sets`: of those whose majorities are needed, how many disks and how many of them are there.
    `holders`: how many disks that are there have the newest acknowledged order.
    """
    return max(0, min([there - majority(disks) for disks, there in voter_sets] + [holders - 1]))


def tolerable_losses(members: int) -> int:
    """How many disks may be lost at once while the core goes on."""
    return max((loss.lost for loss in losses(members) if loss.stays_available), default=0)


def members_needed(tolerance: int) -> int:
    """The fewest members that bear the loss of so many."""
    return 2 * tolerance + 1


def told(loss: DiskLoss) -> tuple[str, str]:
    """In words: while these disks are only away, and if they are gone for good."""
    if loss.stays_available:
        return "goes on", "goes on, nothing lost" if loss.lost else "goes on"
    if loss.keeps_orders:
        return "no orders until some are back", "no orders any more, what was acknowledged is on a disk"
    return "no orders until some are back", "acknowledged orders may be lost"
