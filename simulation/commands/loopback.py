"""The command that runs a day over loopback against the real programs."""

from __future__ import annotations

from pathlib import Path
from typing import ClassVar

from cleo.helpers import option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from simulation.commands.base import EXPERIMENT, SEED, SimulationCommand


class LoadCommand(SimulationCommand):
    """Runs a day over loopback against the real programs, and compares it with the simulation."""

    name = "load"
    description = "Play a day over loopback against the real programs, and the same one in the model."
    arguments: ClassVar[list[Argument]] = [EXPERIMENT]
    options: ClassVar[list[Option]] = [
        SEED,
        option("port", "p", "First of 40 ports at each address.", flag=False, default="19400"),
        option("recordings", "t", "Folder for recordings of the programs.", flag=False, default=""),
    ]

    def act(self) -> int:
        """Run the day and print the metrics of both."""
        from simulation.loopback.driver import compare

        recordings = Path(self.option("recordings")) if self.option("recordings") else None
        if recordings is not None:
            recordings.mkdir(parents=True, exist_ok=True)
            recordings = recordings.resolve()
        real, model = compare(self.experiment(), self.number("seed"), self.number("port"), recordings)
        self.tell(f"{'loopback':>12}{'model':>12}")
        for name, value in real.items():
            if value or model[name]:
                self.tell(f"{value:12.4g}{model[name]:12.4g}  {name}")
        return 0
