"""Fault tolerance during membership changes: how many more disks of a core may be lost at each instant."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from itertools import combinations
from typing import NamedTuple

from gateway.consensus.entry import PersistentState
from simulation.hunt import on_all_cores
from simulation.model.deployment import Deployment
from simulation.model.processes import ControllerProcess
from simulation.model.simulation_run import Run
from simulation.spec import Day, Disruption, Spec

AT_S = 10.0
FOR_S = 12.0
BACK_S = 1.5
ORDER_S = 0.3
CORES = {3: (1, 1, 1), 5: (2, 2, 1), 7: (3, 2, 2)}
KINDS = {
    "wipe": "an empty disk comes back",
    "replace_core": "another machine comes for one that is gone",
    "planned_core": "another comes, then one is stopped",
    "both": "two empty disks come back at once",
}


class Change(NamedTuple):
    """The result of one membership change.

    `fewest` is the least number of losses tolerated at any instant; `short_s` for how many seconds in all it
    is below the required tolerance, and `since_start_s` until when after the last newcomer's start.
    """

    fewest: int
    short_s: float
    since_start_s: float


def takes_orders(disks: Iterable[PersistentState], acknowledged: int) -> bool:
    """Whether processes on just these disks could agree on orders again without losing an acknowledged one.

    A process can be elected by those whose entry isn't newer, if these are quorums by its own entry; each
    process that can be elected must have every acknowledged order.
    """
    left = list(disks)
    able = [
        x.entry
        for x in left
        if x.entry.has_voter(x.disk)
        and x.entry.has_quorum({y.disk for y in left if y.entry.position <= x.entry.position})
    ]
    return bool(able) and all(entry.version >= acknowledged for entry in able)


def borne(disks: Sequence[PersistentState], acknowledged: int) -> int:
    """How many of these disks, whichever they are, may be lost; -1 if even all of them take no orders."""
    for lost in range(len(disks) + 1):
        if not all(takes_orders(left, acknowledged) for left in combinations(disks, len(disks) - lost)):
            return lost - 1
    return len(disks)


class DiskLossMonitor:
    """Records the tolerated disk losses of a simulated deployment after each event."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.state: object = None
        self.rows: list[tuple[float, int]] = []  # start time, tolerated losses
        self.empty: set[str] = set()
        self.started = 0.0  # the last time that a process began on an empty disk

    def look(self) -> None:
        """Recompute if a disk's record has changed, a disk came or went, or more orders are acknowledged."""
        now = self.deployment.simulator.now
        machines = [m for m in self.deployment.machines.values() if m.core and not m.removed]
        empty = {m.name for m in machines if m.disk.stored is None and m.processes}
        if empty - self.empty:
            self.started = now
        self.empty = empty
        disks = [m.disk.stored for m in machines if m.disk.stored is not None]
        acknowledged = max(
            (
                p.controller_node.raft.committed_version
                for m in machines
                for p in m.processes.values()
                if isinstance(p, ControllerProcess)
            ),
            default=0,
        )
        state = [(d.disk, d.entry.position) for d in disks], acknowledged
        if state != self.state:
            self.state = state
            self.rows.append((now, borne(disks, acknowledged)))


def play(disks: int, kind: str, seed: int) -> tuple[int, str, Change]:
    """Simulate one membership change, at a random time, of a core that takes orders continuously."""
    tolerance = disks // 2
    spec = Spec(controllers=CORES[disks], proxies=CORES[disks], tolerance=tolerance, day=Day(traffic=False))
    at = AT_S + random.Random(seed).random()
    planned_disruptions = [Disruption("wipe" if kind == "both" else kind, at, BACK_S, 14 * seed + seed % 7)]
    if kind == "both":
        planned_disruptions.append(Disruption("wipe", at, BACK_S, planned_disruptions[0].which + 1))
    orders = [
        Disruption("config_change", ORDER_S * n, 0.0, n) for n in range(9, int((AT_S + FOR_S) / ORDER_S))
    ]
    run = Run(spec, seed)
    run.deployment.start()
    run.simulator.at(1.0, run.operator_pool.begin)
    run.disruptions.plan([*planned_disruptions, *orders])
    run.simulator.run(AT_S)
    monitor = DiskLossMonitor(run.deployment)
    queue = run.simulator.queue
    while queue[0][0] <= AT_S + FOR_S:
        run.simulator.run(queue[0][0])
        monitor.look()
    return disks, kind, summary(monitor, tolerance)


def summary(monitor: DiskLossMonitor, tolerance: int) -> Change:
    """Summarize the recorded instants against the required tolerance."""
    ends = [*(at for at, _ in monitor.rows[1:]), AT_S + FOR_S]
    short = [
        (end, end - at) for (at, bears), end in zip(monitor.rows, ends, strict=True) if bears < tolerance
    ]
    last = max((end for end, _ in short), default=0.0)
    return Change(
        min(bears for _, bears in monitor.rows),
        sum(lasts for _, lasts in short),
        max(0.0, last - monitor.started),
    )


def table(seeds: int, cores: int) -> list[str]:
    """A markdown table with one line for each core size and kind of change."""
    found: dict[tuple[int, int], list[Change]] = {}
    names = list(KINDS.values())
    calls = [
        (disks, kind, seed)
        for disks in CORES
        for kind in KINDS
        for seed in range(1, seeds + 1)
        if disks > 3 or kind != "both"
    ]
    for disks, kind, one in on_all_cores(play, calls, cores):
        found.setdefault((disks, list(KINDS).index(kind)), []).append(one)
    lines = [
        "| disks | to bear | change | fewest borne | fewer than to bear for, s: median, longest "
        "| after the newcomer's start, s: longest |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for (disks, row), ones in sorted(found.items()):
        short = sorted(one.short_s for one in ones)
        lines.append(
            f"| {disks} | {disks // 2} | {names[row]} | "
            f"{min(one.fewest for one in ones)} | {short[len(short) // 2]:.2f}, {short[-1]:.2f} | "
            f"{max(one.since_start_s for one in ones):.2f} |"
        )
    return lines
