"""Disruptions of links and disks."""

from __future__ import annotations

from collections.abc import Sequence

from simulation.model.disruptions.schedule import DisruptionBase
from simulation.spec import Disruption


class LinkDisruptions(DisruptionBase):
    """Disruptions of links and disks."""

    def do_node_cut(self, t: Disruption) -> None:
        """Cut a machine off."""
        machine = self.one(t, self.machines())
        self._cut([(machine.name, "*"), ("*", machine.name)], t.lasts)
        self.record_disruption(t, [machine], lasts=t.lasts)

    def do_half_cut(self, t: Disruption) -> None:
        """Cut a machine off in one direction."""
        machine = self.one(t, self.machines())
        self._cut([(machine.name, "*") if t.which // 5 % 2 else ("*", machine.name)], t.lasts)
        self.record_disruption(t, [machine], lasts=t.lasts)

    def do_core_cut(self, t: Disruption) -> None:
        """Partition the core, or cut one direction between two of its zones."""
        zones = list(dict.fromkeys(m.place.zone for m in self.core()))
        lone = zones[t.which % len(zones)]
        directions = [(lone, z) for z in zones if z != lone] + [(z, lone) for z in zones if z != lone]
        directions = directions[: len(directions) // 2] if t.which // 5 % 3 == 1 else directions
        self._cut(directions, t.lasts)
        self.record_disruption(
            t, [m for m in self.machines() if m.place.zone == lone], core=True, lasts=t.lasts
        )

    def do_core_apart(self, t: Disruption) -> None:
        """Cut the core's machines from each other, but not from other machines."""
        core = self.core()
        lone = core[t.which % len(core)]
        directions = [
            direction
            for m in core
            if m is not lone
            for direction in ((lone.name, m.name), (m.name, lone.name))
        ]
        self._cut(directions, t.lasts)
        self.record_disruption(t, core, core=True, lasts=t.lasts)

    def do_core_off(self, t: Disruption) -> None:
        """Cut all machines of the core off."""
        directions = [direction for m in self.core() for direction in ((m.name, "*"), ("*", m.name))]
        self._cut(directions, t.lasts)
        self.record_disruption(t, self.core(), core=True, lasts=t.lasts)

    def _cut(self, directions: Sequence[tuple[str, str]], lasts: float) -> None:
        for source, to in directions:
            self.deployment.network.cut(source, to)
            self.simulator.after(lasts, self.deployment.network.cut, source, to, False)

    def do_lossy(self, t: Disruption) -> None:
        """Let a machine's link lose packets."""
        self._link(t, self.deployment.network.loss, 0.3 * min(3.0, t.much))

    def do_squeeze(self, t: Disruption) -> None:
        """Reduce the bandwidth of a machine's link."""
        self._link(t, self.deployment.network.reduced_bandwidth, 40_000.0 / t.much)

    def do_lag(self, t: Disruption) -> None:
        """Delay a machine's packets."""
        self._link(t, self.deployment.network.slow, 0.1 * t.much)

    def _link(self, t: Disruption, table: dict[str, float], value: float) -> None:
        machine = self.one(t, self.machines())
        table[machine.name] = value
        self.simulator.after(t.lasts, table.pop, machine.name, None)
        self.record_disruption(t, [machine], lasts=t.lasts)

    def do_disk_full(self, t: Disruption) -> None:
        """Fill a disk of the core."""
        machine = self.one(t, self.core())
        machine.disk.fails = True
        self.simulator.after(t.lasts, setattr, machine.disk, "fails", False)
        self.record_disruption(t, [machine], lasts=t.lasts)

    def do_disk_hang(self, t: Disruption) -> None:
        """Let a disk of the core hang."""
        machine = self.one(t, self.core())
        machine.disk.hang(True)
        self.simulator.after(t.lasts, machine.disk.hang, False)
        self.record_disruption(t, [machine], lasts=t.lasts)

    def do_disk_slow(self, t: Disruption) -> None:
        """Slow a disk of the core down."""
        machine = self.one(t, self.core())
        machine.disk.sync_s = 0.1 * t.much
        self.simulator.after(t.lasts, setattr, machine.disk, "sync_s", machine.disk.usual)
        self.record_disruption(t, [machine], lasts=t.lasts)
