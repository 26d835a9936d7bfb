"""The command line: `python -m proving COMMAND ...`.

Exit codes: 0 no rule is violated, 1 some rule is, 2 invalid arguments or files.
"""

from __future__ import annotations

from cleo.application import Application

from proving import hunt
from proving.commands.base import ProvingCommand
from proving.commands.capacity import CapacityCommand
from proving.commands.hunt import HuntCommand
from proving.commands.loopback import LoadCommand
from proving.commands.plan import PlanCommand
from proving.commands.recordings import RecordCommand, ReplayCommand
from proving.commands.reports import (
    AllowanceCommand,
    CompareCommand,
    InjectedBugsCommand,
    LossesCommand,
    OrdersCommand,
    StandardCommand,
)
from proving.commands.run import RunCommand
from proving.commands.sweep import SweepCommand
from proving.commands.transcript import ShowCommand

COMMANDS: tuple[type[ProvingCommand], ...] = (
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
    application = Application("proving", "1")
    for command in COMMANDS:
        application.add(command())
    return application.run()
