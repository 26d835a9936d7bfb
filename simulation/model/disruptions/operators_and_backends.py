"""Disruptions by operators, tenants and backends."""

from __future__ import annotations

from typing import Any

from simulation.model.disruptions.schedule import DisruptionBase
from simulation.spec import Disruption

CROWD_EVERY_S = 0.4
MAX_PENDING_ORDERS = 8
LOST_ANSWER_SHARE = 0.3


class OperatorAndBackendDisruptions(DisruptionBase):
    """Disruptions by operators, tenants and backends."""

    def do_config_change(self, t: Disruption) -> None:
        """Change the configuration."""
        self.operator_pool.change(("add", "remove", "move", "keys", "limit")[t.which % 5])

    def do_config_race(self, t: Disruption) -> None:
        """Let two operators change the configuration at the same time."""
        self.operator_pool.race()

    def do_config_crowd(self, t: Disruption) -> None:
        """Keep up to eight changes pending for a while.

        Some of the answers are lost, and acknowledged changes are sent again.
        """
        self.operator_pool.lost_answer_share = LOST_ANSWER_SHARE
        for n in range(int(t.lasts / CROWD_EVERY_S)):
            self.simulator.after(n * CROWD_EVERY_S, self._crowd)
        self.simulator.after(t.lasts, setattr, self.operator_pool, "lost_answer_share", 0.0)

    def _crowd(self) -> None:
        answers = [o.status for o in self.record.orders] + [r.status for r in self.record.repeats]
        self.operator_pool.crowd(MAX_PENDING_ORDERS - answers.count(0))

    def do_big_config(self, t: Disruption) -> None:
        """Add hundreds of routes."""
        self.operator_pool.change("big")

    def do_invalid(self, t: Disruption) -> None:
        """Send an invalid change."""
        self.operator_pool.change("invalid", t.which % 2)

    # Tenants.

    def do_hot_tenant(self, t: Disruption) -> None:
        """Let a tenant send many times its usual load."""
        if self.deployment.spec.day.traffic:
            self.load.press(
                t.which % len(self.load.tenants), 2.0 + 6.0 * t.much, self.simulator.now + t.lasts
            )
        self.record_disruption(t, [], lasts=t.lasts)

    # Backends.

    def do_srv_crash(self, t: Disruption) -> None:
        """Crash a backend; later another one, possibly of another service, starts at its address."""
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
        """Lose a backend's machine permanently."""
        alive = self.deployment.alive()
        if len(alive) > 3:
            alive[t.which % len(alive)].lose_host()

    def do_release(self, t: Disruption) -> None:
        """Replace the backends of a service one after the other."""
        services = self.deployment.spec.services
        service = services[t.which % len(services)]
        for n, backend in enumerate(self.deployment.alive(service.name)):
            self.simulator.after(n * 0.6, self._renew, backend)

    def _renew(self, backend: Any) -> None:
        self.deployment.launch(backend.service, backend.place.zone, backend.service.cold_s)
        self.simulator.after(1.0, backend.leave, self.deployment.spec.bounds.drain_s)

    def do_scale_in(self, t: Disruption) -> None:
        """Drain and remove backends."""
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
        """Lose the answers of requests that backends have run."""
        self._mode(t, "lost")

    def do_answer_late(self, t: Disruption) -> None:
        """Send a duplicate of an answer in place of the next one."""
        self._mode(t, "late")

    def do_answer_double(self, t: Disruption) -> None:
        """Send answers twice."""
        self._mode(t, "double")

    def do_answer_short(self, t: Disruption) -> None:
        """Truncate answers."""
        self._mode(t, "short")

    def do_garble(self, t: Disruption) -> None:
        """Corrupt answers."""
        self._mode(t, "garble")
