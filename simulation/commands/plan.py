"""The command that compares days with and without a change."""

from __future__ import annotations

from typing import ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from simulation.commands.base import CORES, EXPERIMENT, SEEDS, SimulationCommand


class PlanCommand(SimulationCommand):
    """Estimates the impact of a change."""

    name = "plan"
    description = "Compare days with and without a change: core=N, lose-zone=ZONE, roll-out=SECONDS, grow=N."
    arguments: ClassVar[list[Argument]] = [EXPERIMENT, argument("change", "The change.")]
    options: ClassVar[list[Option]] = [SEEDS, CORES]

    def act(self) -> int:
        """Simulate the plan; 1 if a rule is violated after the change."""
        from simulation import planner

        plan = planner.make(self.experiment(), self.argument("change"))
        outcome = planner.play(plan, range(1, 1 + (self.number("seeds") or 4)), self.number("cores"))
        self.tell(planner.render_outcome(outcome))
        return 1 if outcome.broken[1] else 0
