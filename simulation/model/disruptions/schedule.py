"""The schedule of disruptions: selection of their targets, and their record."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from simulation.model.client_load import ClientLoad
from simulation.model.deployment import Deployment
from simulation.model.machines import Machine
from simulation.model.operators import OperatorPool
from simulation.model.record import Disruption as RecordedDisruption
from simulation.model.record import Order
from simulation.spec import Disruption


class DisruptionBase:
    """Executes a schedule. Each disruption selects its targets by its number among the suitable ones."""

    def __init__(self, deployment: Deployment, operator_pool: OperatorPool, load: ClientLoad) -> None:
        self.deployment = deployment
        self.operator_pool = operator_pool
        self.load = load
        self.simulator = deployment.simulator
        self.record = deployment.record
        self.rng = self.simulator.random_generator()
        # Actions for the next acknowledgement.
        self.after_next_ack: list[tuple[Disruption, Callable[[Machine], None]]] = []
        operator_pool.listeners.append(self.answered)

    def plan(self, disruptions: Sequence[Disruption]) -> None:
        """Schedule all disruptions."""
        for disruption in disruptions:
            if not hasattr(self, f"do_{disruption.kind}"):
                raise ValueError(f"trouble {disruption.kind!r}: unknown")
            self.simulator.at(disruption.at, self.start_disruption, disruption)

    def answered(self, order: Order) -> None:
        """Handle the answer to a change."""

    def start_disruption(self, disruption: Disruption) -> None:
        """Start a disruption by the method of its kind."""
        getattr(self, f"do_{disruption.kind}")(disruption)

    def record_disruption(
        self,
        disruption: Disruption,
        machines: Sequence[Machine],
        core: bool | None = None,
        lasts: float = 0.0,
        planned: bool = False,
    ) -> None:
        """Record a disruption."""
        now = self.simulator.now
        if core is None:
            core = any(m.core for m in machines)
        names = tuple(m.name for m in machines)
        self.record.disruptions.append(
            RecordedDisruption(
                now,
                now + lasts,
                disruption.kind,
                names,
                core,
                f"{disruption.kind} {' '.join(names)}".strip(),
                planned,
            )
        )

    # Targets.

    def machines(self) -> list[Machine]:
        """Return all machines that haven't been removed."""
        return [m for m in self.deployment.machines.values() if not m.removed]

    def core(self) -> list[Machine]:
        """Return the machines of the core."""
        return [m for m in self.machines() if m.core]

    def one(self, disruption: Disruption, among: Sequence[Any]) -> Any:
        """Return the item that a disruption selects; None if there is none."""
        return among[disruption.which % len(among)] if among else None
