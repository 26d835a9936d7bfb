"""The command line: `python -m simulation COMMAND ...`.

Exit codes: 0 no rule is violated, 1 some rule is, 2 invalid arguments or files.
"""

from __future__ import annotations

from cleo.application import Application

from simulation import hunt
from simulation.commands.base import SimulationCommand
from simulation.commands.capacity import CapacityCommand
from simulation.commands.hunt import HuntCommand
from simulation.commands.loopback import LoadCommand
from simulation.commands.plan import PlanCommand
from simulation.commands.recordings import RecordCommand, ReplayCommand
from simulation.commands.reports import (
    AllowanceCommand,
    CompareCommand,
    InjectedBugsCommand,
    LossesCommand,
    OrdersCommand,
    StandardCommand,
)
from simulation.commands.run import RunCommand
from simulation.commands.sweep import SweepCommand
from simulation.commands.transcript import ShowCommand

COMMANDS: tuple[type[SimulationCommand], ...] = (
    RunCommand,
    HuntCommand,
    SweepCommand,
    PlanCommand,
    ShowCommand,
    RecordCommand,
    ReplayCommand,
    LoadCommand,
    StandardCommand,
    CompareCommand,
    AllowanceCommand,
    InjectedBugsCommand,
    OrdersCommand,
    LossesCommand,
    CapacityCommand,
)
"""All commands; a new one must be added here."""


def main() -> int:
    """Run the command line; returns the exit code. Silences the programs' own logs in this process."""
    hunt.quiet()
    application = Application("simulation", "1")
    for command in COMMANDS:
        application.add(command())
    return application.run()
