"""Base class of the commands, with shared arguments, options and output."""

from __future__ import annotations

import json
from typing import Any

from cleo.commands.command import Command
from cleo.formatters.formatter import Formatter
from cleo.helpers import argument, option

from simulation import random_days, spec
from simulation.hunt import HuntResult

EXPERIMENT = argument("file", "An experiment (TOML).")
SEED = option("seed", "s", "Seed of the run.", flag=False, default="1")
CORES = option("cores", "c", "Processes at a time, 0 for all cores.", flag=False, default="0")
CHANCE = option("by-chance", None, "Add troubles by chance, from the seed.")
GROUPS = option(
    "groups", "g", f"Of which kinds of trouble: {', '.join(random_days.GROUPS)}.", flag=False, default=""
)
VALUES = option("set", None, "Other values, as day.load=0.1,day.seconds=45.", flag=False, default="")
SEEDS = option("seeds", None, "How many seeds.", flag=False, default="")
FIRST = option("first", None, "The first seed.", flag=False, default="1")


class SimulationCommand(Command):
    """Base class of all commands: subclasses implement `act`."""

    def tell(self, text: str) -> None:
        """Print a text without interpreting format tags."""
        self.line(Formatter.escape(text))

    def number(self, name: str) -> int:
        """The value of an integer option; 0 if it is not given."""
        return int(self.option(name) or 0)

    def groups(self) -> tuple[str, ...]:
        """The groups of disruptions to draw from; ValueError for an unknown one."""
        chosen = tuple(name for name in (self.option("groups") or "").split(",") if name)
        for name in chosen:
            if name not in random_days.GROUPS:
                raise ValueError(f"{name}: no group of troubles; there are {', '.join(random_days.GROUPS)}")
        return chosen or tuple(random_days.GROUPS)

    def values(self) -> dict[str, Any]:
        """The parameters that override the file's, by dotted names."""
        pairs = [each.partition("=") for each in (self.option("set") or "").split(",") if each]
        return {name: json.loads(value) for name, _, value in pairs}

    def experiment(self) -> spec.Spec:
        """The specification in the experiment's file."""
        return spec.load(self.argument("file"))[0]

    def day(self) -> spec.Spec:
        """The experiment's day, or with `--by-chance` a random one."""
        experiment = spec.change(self.experiment(), self.values())
        return (
            random_days.random_day(experiment, self.number("seed"), self.groups())
            if self.option("by-chance")
            else experiment
        )

    def findings(self, found: HuntResult) -> int:
        """Print the violated rules; returns the exit code."""
        for broken in found.broken:
            self.tell(str(broken))
        return 1 if found.broken else 0

    def handle(self) -> int:
        """Run the command and return its exit code; errors in arguments or files are printed, with code 2."""
        try:
            return self.act()
        except (OSError, ValueError, KeyError) as error:
            self.line_error(Formatter.escape(str(error)))
            return 2

    def act(self) -> int:
        """Run the command; returns the exit code."""
        raise NotImplementedError
