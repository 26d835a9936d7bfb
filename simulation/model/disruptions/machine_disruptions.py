"""Disruptions of machines and their processes, and changes of the core's members."""

from __future__ import annotations

from collections.abc import Sequence

from simulation.model.disruptions.schedule import DisruptionBase
from simulation.model.machines import RESTART_S, START_S, Machine
from simulation.model.record import Order
from simulation.spec import Disruption


class MachineDisruptions(DisruptionBase):
    """Disruptions of machines."""

    def do_node_kill(self, t: Disruption) -> None:
        """Kill a machine's processes; the platform restarts them."""
        self._kill(t, [self.one(t, self.machines())])

    def do_core_kill(self, t: Disruption) -> None:
        """Kill the processes of a machine of the core."""
        self._kill(t, [self.one(t, self.core())])

    def do_herd_kill(self, t: Disruption) -> None:
        """Kill the processes of many machines at the same time."""
        machines = self.machines()
        n = max(1, round(min(1.0, t.much) * len(machines)))
        start = t.which % len(machines)
        self._kill(t, [*machines, *machines][start : start + n])

    def do_all_kill(self, t: Disruption) -> None:
        """Kill all processes."""
        self._kill(t, self.machines())

    def _kill(
        self,
        t: Disruption,
        machines: Sequence[Machine],
        power: bool = False,
        wipe: bool = False,
        after: float = RESTART_S,
    ) -> None:
        for machine in machines:
            machine.kill(power, wipe)
            machine.back(after * self.rng.uniform(0.8, 1.2))
        self.record_disruption(t, machines, lasts=1.2 * after + START_S)

    def do_power(self, t: Disruption) -> None:
        """Cut a machine's power; it returns with its disk."""
        self._kill(t, [self.one(t, self.machines())], power=True, after=t.lasts)

    def do_core_power(self, t: Disruption) -> None:
        """Cut the power of a machine of the core; it returns with its disk."""
        self._kill(t, [self.one(t, self.core())], power=True, after=t.lasts)

    def do_all_power(self, t: Disruption) -> None:
        """Cut the power of all machines."""
        self._kill(t, self.machines(), power=True, after=max(1.0, t.lasts))

    def do_wipe(self, t: Disruption) -> None:
        """Cut the power of a machine of the core, and lose its disk."""
        self._kill(t, [self.one(t, self.core())], power=True, wipe=True, after=t.lasts)

    def do_all_power_wipe(self, t: Disruption) -> None:
        """Cut the power of all machines, and lose as many disks as the system must tolerate."""
        core = self.core()
        for n in range(min(self.deployment.spec.tolerance, len(core))):
            core[(t.which + n) % len(core)].disk.wipe()
        self._kill(t, self.machines(), power=True, after=max(1.0, t.lasts))

    def do_freeze(self, t: Disruption) -> None:
        """Freeze a machine's processes."""
        self._freeze(t, self.one(t, self.machines()))

    def do_core_freeze(self, t: Disruption) -> None:
        """Freeze the processes of a machine of the core."""
        self._freeze(t, self.one(t, self.core()))

    def _freeze(self, t: Disruption, machine: Machine) -> None:
        processes = list(machine.processes.values())
        for process in processes:
            process.freeze(True)
            self.simulator.after(t.lasts, process.freeze, False)
        self.record_disruption(t, [machine], lasts=t.lasts)

    def do_slow(self, t: Disruption) -> None:
        """Slow a machine's processor down."""
        machine = self.one(t, self.machines())
        self._speed(machine, 0.05)
        self.simulator.after(t.lasts, self._speed, machine, 1.0)
        self.record_disruption(t, [machine], lasts=t.lasts)

    def _speed(self, machine: Machine, speed: float) -> None:
        machine.speed = speed
        for process in machine.processes.values():
            process.speed = speed

    def do_stop(self, t: Disruption) -> None:
        """Shut a machine down and start it again, as for a new release of the system."""
        self._stop(t, self.one(t, self.machines()))

    def _stop(self, t: Disruption, machine: Machine) -> None:
        machine.stop()
        lasts = self.deployment.spec.bounds.grace_s + 0.5
        machine.back(lasts)
        self.record_disruption(t, [machine], lasts=lasts, planned=True)

    def do_roll_out(self, t: Disruption) -> None:
        """Shut all machines down and start them again, one after the other.

        `lasts` is the time from one to the next.
        """
        for n, machine in enumerate(self.machines()):
            self.simulator.after(n * t.lasts, self._stop, t, machine)

    def do_zone_lost(self, t: Disruption) -> None:
        """Cut the power of a zone for `lasts` seconds; its backends return as new ones."""
        zones = self.deployment.spec.zones
        zone = zones[t.which % len(zones)]
        for backend in [b for b in self.deployment.alive() if b.place.zone == zone]:
            backend.lose_host()
            self.simulator.after(
                t.lasts, self.deployment.launch, backend.service, zone, backend.service.cold_s
            )
        self._kill(t, [m for m in self.machines() if m.place.zone == zone], power=True, after=t.lasts)

    # The core's members.

    def do_replace_core(self, t: Disruption) -> None:
        """Remove a machine of the core; an empty one is added at another address."""
        self._replace(t, self.one(t, self.core()), in_order=t.which // 7 % 2 == 1)

    def _replace(self, t: Disruption, old: Machine, in_order: bool) -> None:
        old.removed = True
        if in_order:
            old.stop()
        else:
            old.kill(power=True, wipe=True)
        self.deployment.list_controls()
        new = self.deployment.add(old.place.zone, old.roles)
        self.simulator.after(t.lasts * 0.3, new.start)
        self.simulator.after(t.lasts * 0.3, self.deployment.list_controls)
        self.record_disruption(t, [old, new], core=True, lasts=t.lasts, planned=in_order)

    def do_planned_core(self, t: Disruption) -> None:
        """Replace a machine of the core as planned.

        Another one is added, and the old one is shut down `lasts` seconds later.
        """
        old = self.one(t, self.core())
        new = self.deployment.add(old.place.zone, old.roles)
        new.start()

        def stop() -> None:
            old.removed = True
            old.stop()
            self.deployment.list_controls()

        self.deployment.list_controls()
        self.simulator.after(t.lasts, stop)
        self.record_disruption(t, [old, new], core=True, lasts=t.lasts, planned=True)

    def do_seed_turnover(self, t: Disruption) -> None:
        """Change the seeds to other addresses of `control`, if there are any."""
        self.deployment.turn_seeds()

    def do_core_turnover(self, t: Disruption) -> None:
        """Replace the core's machines one after the other."""
        for n, machine in enumerate(self.core()):
            self.simulator.after(n * max(8.0, t.lasts), self._replace, t, machine, n % 2 == 0)

    def do_after_ack_kill(self, t: Disruption) -> None:
        """Cut the power of the machine that acknowledges the next change, at that moment."""
        self.after_next_ack.append((t, lambda machine: self._kill(t, [machine], power=True, after=t.lasts)))
        self.operator_pool.change("add")

    def do_after_ack_wipe(self, t: Disruption) -> None:
        """Cut the power and lose the disk of the machine that acknowledges the next change."""
        self.after_next_ack.append(
            (t, lambda machine: self._kill(t, [machine], power=True, wipe=True, after=t.lasts))
        )
        self.operator_pool.change("keys")

    def do_after_ack_all(self, t: Disruption) -> None:
        """Cut the power of all machines right after the next acknowledged change."""
        self.after_next_ack.append((t, lambda machine: self.do_all_power(t)))
        self.operator_pool.change("add")

    def answered(self, order: Order) -> None:
        """Handle the answer to a change."""
        machine = self.deployment.machines.get(order.by)
        if order.status == 200 and machine is not None:
            after_next_ack, self.after_next_ack = self.after_next_ack, []
            for _, start_disruption in after_next_ack:
                start_disruption(machine)
