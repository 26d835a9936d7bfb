"""Troubles of links and disks."""

from __future__ import annotations

from collections.abc import Sequence

from simulation.model.disruptions.schedule import DisruptionBase
from simulation.spec import Disruption


class LinkDisruptions(DisruptionBase):
    """What befalls links and disks."""

    def do_node_cut(self, t: Disruption) -> None:
        """A machine is cut off."""
        machine = self.one(t, self.machines())
        self._cut([(machine.name, "*"), ("*", machine.name)], t.lasts)
        self.record_disruption(t, [machine], lasts=t.lasts)

    def do_half_cut(self, t: Disruption) -> None:
        """A machine is cut off one way."""
        machine = self.one(t, self.machines())
        self._cut([(machine.name, "*") if t.which // 5 % 2 else ("*", machine.name)], t.lasts)
        self.record_disruption(t, [machine], lasts=t.lasts)

    def do_core_cut(self, t: Disruption) -> None:
        """The core is cut in two, or one way between two of it, zones and all."""
        zones = list(dict.fromkeys(m.place.zone for m in self.core()))
        lone = zones[t.which % len(zones)]
        ways = [(lone, z) for z in zones if z != lone] + [(z, lone) for z in zones if z != lone]
        ways = ways[: len(ways) // 2] if t.which // 5 % 3 == 1 else ways
        self._cut(ways, t.lasts)
        self.record_disruption(
            t, [m for m in self.machines() if m.place.zone == lone], core=True, lasts=t.lasts
        )

    def do_core_apart(self, t: Disruption) -> None:
        """The core's machines are cut from each other, and reach all others."""
        core = self.core()
        lone = core[t.which % len(core)]
        ways = [w for m in core if m is not lone for w in ((lone.name, m.name), (m.name, lone.name))]
        self._cut(ways, t.lasts)
        self.record_disruption(t, core, core=True, lasts=t.lasts)

    def do_core_off(self, t: Disruption) -> None:
        """All of the core is cut off from everything."""
        ways = [w for m in self.core() for w in ((m.name, "*"), ("*", m.name))]
        self._cut(ways, t.lasts)
        self.record_disruption(t, self.core(), core=True, lasts=t.lasts)

    def _cut(self, ways: Sequence[tuple[str, str]], lasts: float) -> None:
        for source, to in ways:
            self.deployment.network.cut(source, to)
            self.simulator.after(lasts, self.deployment.network.cut, source, to, False)

    def do_lossy(self, t: Disruption) -> None:
        """A machine's link loses packets."""
        self._link(t, self.deployment.network.loss, 0.3 * min(3.0, t.much))

    def do_squeeze(self, t: Disruption) -> None:
        """A machine's link carries little."""
        self._link(t, self.deployment.network.squeezed, 40_000.0 / t.much)

    def do_lag(self, t: Disruption) -> None:
        """A machine's link is slow."""
        self._link(t, self.deployment.network.slow, 0.1 * t.much)

    def _link(self, t: Disruption, table: dict[str, float], value: float) -> None:
        machine = self.one(t, self.machines())
        table[machine.name] = value
        self.simulator.after(t.lasts, table.pop, machine.name, None)
        self.record_disruption(t, [machine], lasts=t.lasts)

    def do_disk_full(self, t: Disruption) -> None:
        """A disk of the core takes nothing more."""
        machine = self.one(t, self.core())
        machine.disk.fails = True
        self.simulator.after(t.lasts, setattr, machine.disk, "fails", False)
        self.record_disruption(t, [machine], lasts=t.lasts)

    def do_disk_hang(self, t: Disruption) -> None:
        """A disk of the core hangs."""
        machine = self.one(t, self.core())
        machine.disk.hang(True)
        self.simulator.after(t.lasts, machine.disk.hang, False)
        self.record_disruption(t, [machine], lasts=t.lasts)

    def do_disk_slow(self, t: Disruption) -> None:
        """A disk of the core is slow."""
        machine = self.one(t, self.core())
        machine.disk.sync_s = 0.1 * t.much
        self.simulator.after(t.lasts, setattr, machine.disk, "sync_s", machine.disk.usual)
        self.record_disruption(t, [machine], lasts=t.lasts)
