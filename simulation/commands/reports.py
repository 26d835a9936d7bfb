"""Commands that print tables: of standard days, of the programs' log lines, and of injected bugs."""

from __future__ import annotations

from pathlib import Path
from typing import ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from simulation import hunt, injected_bug_cases
from simulation.commands.base import CORES, SEEDS, SimulationCommand


class StandardCommand(SimulationCommand):
    """Simulates a site's standard days."""

    name = "standard"
    description = "Play the standard days of a site, their troubles at times by chance."
    arguments: ClassVar[list[Argument]] = [argument("site", "bmgs-noms or atlas-cadastre.")]
    options: ClassVar[list[Option]] = [SEEDS, CORES]

    def act(self) -> int:
        """Print the table of the days."""
        from simulation import standard_days

        for line in standard_days.table(
            self.argument("site"), self.number("seeds") or 4, self.number("cores")
        ):
            self.tell(line)
        return 0


class AllowanceCommand(SimulationCommand):
    """Reports on the quota plane over a day."""

    name = "allowance"
    description = "Report on allowances over a day, from the lines that programs wrote with --counts."
    arguments: ClassVar[list[Argument]] = [argument("logs", "Files of log lines.", multiple=True)]
    options: ClassVar[list[Option]] = [option("out", "o", "Folder.", flag=False, default="found/simulation")]

    def act(self) -> int:
        """Write the report; 1 if a view lies outside what was replied."""
        from simulation import allowance, allowance_report

        lines: list[allowance.LogLine] = []
        for name in self.argument("logs"):
            with open(name, encoding="utf-8", errors="replace") as file:
                lines += allowance.read(file)
        if not lines:
            raise ValueError("no lines of counts: were the programs started with --counts?")
        day = allowance.gather(lines)
        folder = Path(self.option("out"))
        folder.mkdir(parents=True, exist_ok=True)
        path = allowance_report.write(day, f"allowance-{Path(self.argument('logs')[0]).stem}", folder)
        self.tell(f"{allowance.render_day(day)}\n\n{path}")
        return 1 if any(view.beyond for view in day.views) else 0


class CompareCommand(SimulationCommand):
    """Compares the simulation model with the bench."""

    name = "compare"
    description = "Play the standard days that entries of the journal tell of; print both as markdown."
    arguments: ClassVar[list[Argument]] = [argument("entries", "Entries of the journal.", multiple=True)]
    options: ClassVar[list[Option]] = [SEEDS, CORES]

    def act(self) -> int:
        """Print both as markdown."""
        from simulation import comparison

        found = comparison.pairs(self.argument("entries"), self.number("seeds") or 3, self.number("cores"))
        for line in comparison.tables(found):
            self.tell(line)
        return 0


class LossesCommand(SimulationCommand):
    """Counts the disk losses that a core tolerates during membership changes."""

    name = "losses"
    description = "Count how many more disks of a core may go at each instant of a change of its members."
    options: ClassVar[list[Option]] = [SEEDS, CORES]

    def act(self) -> int:
        """Print the table of tolerated losses."""
        from simulation import disk_loss_tolerance

        for line in disk_loss_tolerance.table(self.number("seeds") or 20, self.number("cores")):
            self.tell(line)
        return 0


class InjectedBugsCommand(SimulationCommand):
    """Simulates the days of all injected bugs, and verifies that the checkers find them."""

    name = "proofs"
    description = "Plant each fault and see that its checker finds it."

    def act(self) -> int:
        """Run all cases; 1 if a checker misses its bug."""
        missed = 0
        for name, proof in injected_bug_cases.INJECTED_BUG_CASES.items():
            rules = {b.rule for b in hunt.run_once(injected_bug_cases.day(name), 1).broken}
            missed += proof.rule not in rules
            self.tell(f"{name}: {proof.rule} {'found' if proof.rule in rules else 'MISSED'}")
        return 1 if missed else 0


class OrdersCommand(SimulationCommand):
    """Reports the propagation times of configuration orders."""

    name = "orders"
    description = "From a day's log lines: times to an order's acknowledgement and to the nodes in force."
    arguments: ClassVar[list[Argument]] = [argument("file", "A log of all programs.")]
    options: ClassVar[list[Option]] = [
        option("by-prefix", "p", "Times are the first number of each line, not the programs' own.")
    ]

    def act(self) -> int:
        """Print the table of orders; 1 if there are none."""
        from simulation import orders

        with open(self.argument("file"), encoding="utf-8", errors="replace") as file:
            found = orders.orders(orders.read(file, bool(self.option("by-prefix"))))
        for line in orders.table(found):
            self.tell(line)
        return 0 if found else 1
