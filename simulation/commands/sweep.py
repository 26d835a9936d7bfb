"""The command that sweeps an experiment over its parameters' values."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from typing import ClassVar

from cleo.helpers import option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from simulation import spec
from simulation.commands.base import CORES, EXPERIMENT, SEEDS, SimulationCommand


class SweepCommand(SimulationCommand):
    """Sweeps an experiment over its parameters' values."""

    name = "sweep"
    description = "Play an experiment over values and seeds; write a table and a report."
    arguments: ClassVar[list[Argument]] = [EXPERIMENT]
    options: ClassVar[list[Option]] = [
        SEEDS,
        CORES,
        option("out", "o", "Folder.", flag=False, default="found/simulation"),
    ]

    def act(self) -> int:
        """Run the sweep and write its table and report; 1 if a rule is violated."""
        from simulation import report, sweep

        experiment, over = spec.load(self.argument("file"))
        if self.option("seeds"):
            over = replace(over, seeds=self.number("seeds"))
        rows = list(sweep.rows(experiment, over, self.number("cores")))
        folder = Path(self.option("out"))
        folder.mkdir(parents=True, exist_ok=True)
        sweep.write_table(rows, folder / f"{experiment.name}.csv")
        report.write(experiment, rows, folder / f"{experiment.name}.html")
        self.tell(f"{folder / experiment.name}.html")
        broken = [f"{row.values} seed {row.seed}: {b}" for row in rows for b in row.broken]
        self.tell("\n".join(broken[:20]) or "no rule is broken")
        return 1 if broken else 0
