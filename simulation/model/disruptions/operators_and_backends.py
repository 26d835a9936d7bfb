"""Troubles of others: operators, tenants and backends."""

from __future__ import annotations

from typing import Any

from simulation.model.disruptions.schedule import DisruptionBase
from simulation.spec import Disruption

CROWD_EVERY_S = 0.4
UNDER_WAY = 8  # orders at most
DEAF = 0.3  # of the answers


class OperatorAndBackendDisruptions(DisruptionBase):
    """What operators, tenants and backends do."""

    def do_config_change(self, t: Disruption) -> None:
        """The configuration changes."""
        self.operator_pool.change(("add", "remove", "move", "keys", "limit")[t.which % 5])

    def do_config_race(self, t: Disruption) -> None:
        """Two operators change the configuration at once."""
        self.operator_pool.race()

    def do_config_crowd(self, t: Disruption) -> None:
        """Up to eight orders are under way, again and again.

        A part of the answers gets lost, and orders that were acknowledged are sent again.
        """
        self.operator_pool.deaf = DEAF
        for n in range(int(t.lasts / CROWD_EVERY_S)):
            self.simulator.after(n * CROWD_EVERY_S, self._crowd)
        self.simulator.after(t.lasts, setattr, self.operator_pool, "deaf", 0.0)

    def _crowd(self) -> None:
        answers = [o.status for o in self.record.orders] + [r.status for r in self.record.repeats]
        self.operator_pool.crowd(UNDER_WAY - answers.count(0))

    def do_big_config(self, t: Disruption) -> None:
        """Hundreds of routes are added."""
        self.operator_pool.change("big")

    def do_invalid(self, t: Disruption) -> None:
        """A change that is invalid."""
        self.operator_pool.change("invalid", t.which % 2)

    # Tenants.

    def do_hot_tenant(self, t: Disruption) -> None:
        """A tenant sends many times its usual."""
        if self.deployment.spec.day.traffic:
            self.load.press(
                t.which % len(self.load.tenants), 2.0 + 6.0 * t.much, self.simulator.now + t.lasts
            )
        self.record_disruption(t, [], lasts=t.lasts)

    # Backends.

    def do_srv_crash(self, t: Disruption) -> None:
        """A backend crashes; another comes at its address after a while, perhaps of another service."""
        alive = self.deployment.alive()
        if len(alive) > 2:
            backend = alive[t.which % len(alive)]
            backend.end()
            services = self.deployment.spec.services
            heir = services[t.which // 3 % len(services)] if t.which % 4 == 0 else backend.service
            wait = self.deployment.spec.bounds.addr_reuse_s + 0.1
            self.simulator.after(
                wait, self.deployment.launch, heir, backend.place.zone, heir.cold_s, backend.address
            )

    def do_srv_lost(self, t: Disruption) -> None:
        """A backend's machine is lost for good."""
        alive = self.deployment.alive()
        if len(alive) > 3:
            alive[t.which % len(alive)].lose_host()

    def do_release(self, t: Disruption) -> None:
        """The backends of a service are replaced one after the other."""
        services = self.deployment.spec.services
        service = services[t.which % len(services)]
        for n, backend in enumerate(self.deployment.alive(service.name)):
            self.simulator.after(n * 0.6, self._renew, backend)

    def _renew(self, backend: Any) -> None:
        self.deployment.launch(backend.service, backend.place.zone, backend.service.cold_s)
        self.simulator.after(1.0, backend.leave, self.deployment.spec.bounds.drain_s)

    def do_scale_in(self, t: Disruption) -> None:
        """Backends are emptied and taken away."""
        services = self.deployment.spec.services
        alive = self.deployment.alive(services[t.which % len(services)].name)
        for n, backend in enumerate(alive[: max(1, len(alive) // 4)]):
            self.simulator.after(n * 0.3, backend.leave, self.deployment.spec.bounds.drain_s)

    def _mode(self, t: Disruption, mode: str) -> None:
        services = self.deployment.spec.services
        name = services[t.which % len(services)].name
        self.deployment.modes[name] = mode, min(1.0, 0.1 * t.much)
        self.simulator.after(t.lasts, self.deployment.modes.pop, name, None)
        self.record_disruption(t, [], lasts=t.lasts)

    def do_answer_lost(self, t: Disruption) -> None:
        """A backend runs a request and its answer is lost."""
        self._mode(t, "lost")

    def do_answer_late(self, t: Disruption) -> None:
        """An answer comes once more where the next is expected."""
        self._mode(t, "late")

    def do_answer_double(self, t: Disruption) -> None:
        """Answers come twice."""
        self._mode(t, "double")

    def do_answer_short(self, t: Disruption) -> None:
        """Answers are cut off."""
        self._mode(t, "short")

    def do_garble(self, t: Disruption) -> None:
        """Backends hand out wrong bytes."""
        self._mode(t, "garble")
