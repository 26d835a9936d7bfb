"""The command that simulates one day and checks it."""

from __future__ import annotations

from typing import ClassVar

from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from simulation import random_days
from simulation.commands.base import CHANCE, EXPERIMENT, GROUPS, SEED, VALUES, SimulationCommand
from simulation.hunt import HuntResult


class RunCommand(SimulationCommand):
    """Simulates one day, checks it, and prints its metrics."""

    name = "run"
    description = "Play one day, check it, and print its figures."
    arguments: ClassVar[list[Argument]] = [EXPERIMENT]
    options: ClassVar[list[Option]] = [SEED, CHANCE, GROUPS, VALUES]

    def act(self) -> int:
        """Simulate, check and print the day."""
        from simulation.checkers import check
        from simulation.measurements import measure
        from simulation.model.simulation_run import play

        day = self.day()
        record = play(day, self.number("seed"))
        self.tell(random_days.render_spec(day))
        for name, value in measure(record, day).items():
            self.tell(f"{value:14.5g}  {name}")
        return self.findings(HuntResult(self.number("seed"), day, check(record), {}))
