"""The command that prints the transcript of a day."""

from __future__ import annotations

from typing import ClassVar

from cleo.helpers import option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from simulation.commands.base import CHANCE, EXPERIMENT, GROUPS, SEED, VALUES, SimulationCommand
from simulation.planes import PLANE_NAMES, check_names


class ShowCommand(SimulationCommand):
    """Prints the transcript of a span of a simulated day."""

    name = "show"
    description = "Play one day and print what happens in a span of it, messages and all."
    arguments: ClassVar[list[Argument]] = [EXPERIMENT]
    options: ClassVar[list[Option]] = [
        SEED,
        CHANCE,
        GROUPS,
        VALUES,
        option("begins", "b", "Seconds of the day.", flag=False, default="0"),
        option("ends", "e", "Seconds of the day.", flag=False, default="1e9"),
        option("planes", "p", f"Only these: {', '.join(PLANE_NAMES.values())}.", flag=False, default=""),
        option("machines", "m", "Only messages from or to these.", flag=False, default=""),
        option("beats", None, "With consensus heartbeats and the responses to them."),
    ]

    def act(self) -> int:
        """Simulate the day and print the transcript."""
        from simulation.transcript import transcript

        planes = [plane for plane in (self.option("planes") or "").split(",") if plane]
        check_names(planes)
        machines = [machine for machine in (self.option("machines") or "").split(",") if machine]
        self.tell(
            transcript(
                self.day(),
                self.number("seed"),
                float(self.option("begins")),
                float(self.option("ends")),
                planes,
                machines,
                not self.option("beats"),
            )
        )
        return 0
