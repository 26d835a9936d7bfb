"""Troubles of others: operators, tenants and backends."""

from __future__ import annotations

from typing import Any

from proving.model.troubles.basis import Basis
from proving.spec import Trouble

CROWD_EVERY_S = 0.4
UNDER_WAY = 8  # orders at most
DEAF = 0.3  # of the answers


class OnOthers(Basis):
    """What operators, tenants and backends do."""

    def do_config_change(self, t: Trouble) -> None:
        """The configuration changes."""
        self.desk.change(("add", "remove", "move", "keys", "limit")[t.which % 5])

    def do_config_race(self, t: Trouble) -> None:
        """Two operators change the configuration at once."""
        self.desk.race()

    def do_config_crowd(self, t: Trouble) -> None:
        """Up to eight orders are under way, again and again; a part of the answers gets lost, and orders that
        were acknowledged are sent again."""
        self.desk.deaf = DEAF
        for n in range(int(t.lasts / CROWD_EVERY_S)):
            self.world.after(n * CROWD_EVERY_S, self._crowd)
        self.world.after(t.lasts, setattr, self.desk, "deaf", 0.0)

    def _crowd(self) -> None:
        answers = [o.status for o in self.record.orders] + [r.status for r in self.record.repeats]
        self.desk.crowd(UNDER_WAY - answers.count(0))

    def do_big_config(self, t: Trouble) -> None:
        """Hundreds of routes are added."""
        self.desk.change("big")

    def do_invalid(self, t: Trouble) -> None:
        """A change that is invalid."""
        self.desk.change("invalid", t.which % 2)

    # Tenants.

    def do_hot_tenant(self, t: Trouble) -> None:
        """A tenant sends many times its usual."""
        if self.deployment.spec.day.traffic:
            self.load.press(t.which % len(self.load.tenants), 2.0 + 6.0 * t.much, self.world.now + t.lasts)
        self.note(t, [], lasts=t.lasts)

    # Backends.

    def do_srv_crash(self, t: Trouble) -> None:
        """A backend crashes; another comes at its address after a while, perhaps of another service."""
        alive = self.deployment.alive()
        if len(alive) > 2:
            backend = alive[t.which % len(alive)]
            backend.end()
            services = self.deployment.spec.services
            heir = services[t.which // 3 % len(services)] if t.which % 4 == 0 else backend.service
            wait = self.deployment.spec.bounds.addr_reuse_s + 0.1
            self.world.after(wait, self.deployment.launch, heir, backend.place.zone, heir.cold_s,
                             backend.address)

    def do_srv_lost(self, t: Trouble) -> None:
        """A backend's machine is lost for good."""
        alive = self.deployment.alive()
        if len(alive) > 3:
            alive[t.which % len(alive)].vanish()

    def do_release(self, t: Trouble) -> None:
        """The backends of a service are replaced one after the other."""
        services = self.deployment.spec.services
        service = services[t.which % len(services)]
        for n, backend in enumerate(self.deployment.alive(service.name)):
            self.world.after(n * 0.6, self._renew, backend)

    def _renew(self, backend: Any) -> None:
        self.deployment.launch(backend.service, backend.place.zone, backend.service.cold_s)
        self.world.after(1.0, backend.leave, self.deployment.spec.bounds.drain_s)

    def do_scale_in(self, t: Trouble) -> None:
        """Backends are emptied and taken away."""
        services = self.deployment.spec.services
        alive = self.deployment.alive(services[t.which % len(services)].name)
        for n, backend in enumerate(alive[:max(1, len(alive) // 4)]):
            self.world.after(n * 0.3, backend.leave, self.deployment.spec.bounds.drain_s)

    def _mode(self, t: Trouble, mode: str) -> None:
        services = self.deployment.spec.services
        name = services[t.which % len(services)].name
        self.deployment.modes[name] = mode, min(1.0, 0.1 * t.much)
        self.world.after(t.lasts, self.deployment.modes.pop, name, None)
        self.note(t, [], lasts=t.lasts)

    def do_answer_lost(self, t: Trouble) -> None:
        """A backend runs a request and its answer is lost."""
        self._mode(t, "lost")

    def do_answer_late(self, t: Trouble) -> None:
        """An answer comes once more where the next is expected."""
        self._mode(t, "late")

    def do_answer_double(self, t: Trouble) -> None:
        """Answers come twice."""
        self._mode(t, "double")

    def do_answer_short(self, t: Trouble) -> None:
        """Answers are cut off."""
        self._mode(t, "short")

    def do_garble(self, t: Trouble) -> None:
        """Backends hand out wrong bytes."""
        self._mode(t, "garble")
