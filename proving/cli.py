"""The command line: `python -m proving COMMAND ...`.

Exit codes: 0 nothing is broken, 1 something is, 2 faults in what was asked for.
"""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path
from typing import Any, ClassVar

from cleo.application import Application
from cleo.commands.command import Command
from cleo.formatters.formatter import Formatter
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from proving import hunt, injected_bug_cases, random_days, spec
from proving.hunt import HuntResult

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


class Proving(Command):
    """What all commands share."""

    def tell(self, text: str) -> None:
        """Print a text as it is."""
        self.line(Formatter.escape(text))

    def number(self, name: str) -> int:
        """An option that is a whole number."""
        return int(self.option(name) or 0)

    def groups(self) -> tuple[str, ...]:
        """The kinds of trouble to choose from."""
        chosen = tuple(name for name in (self.option("groups") or "").split(",") if name)
        for name in chosen:
            if name not in random_days.GROUPS:
                raise ValueError(f"{name}: no group of troubles; there are {', '.join(random_days.GROUPS)}")
        return chosen or tuple(random_days.GROUPS)

    def values(self) -> dict[str, Any]:
        """Other values than the file's, by their dotted names."""
        pairs = [each.partition("=") for each in (self.option("set") or "").split(",") if each]
        return {name: json.loads(value) for name, _, value in pairs}

    def experiment(self) -> spec.Spec:
        """The experiment's file."""
        return spec.load(self.argument("file"))[0]

    def day(self) -> spec.Spec:
        """The experiment's day, or one by chance."""
        told = spec.change(self.experiment(), self.values())
        return (
            random_days.random_day(told, self.number("seed"), self.groups())
            if self.option("by-chance")
            else told
        )

    def findings(self, found: HuntResult) -> int:
        """Print what is broken."""
        for broken in found.broken:
            self.tell(str(broken))
        return 1 if found.broken else 0

    def handle(self) -> int:
        hunt.quiet()
        try:
            return self.act()
        except (OSError, ValueError, KeyError) as error:
            self.line_error(Formatter.escape(str(error)))
            return 2

    def act(self) -> int:
        """Carry it out."""
        raise NotImplementedError


class RunCommand(Proving):
    """Plays one day and checks it."""

    name = "run"
    description = "Play one day, check it, and print its figures."
    arguments: ClassVar[list[Argument]] = [EXPERIMENT]
    options: ClassVar[list[Option]] = [SEED, CHANCE, GROUPS, VALUES]

    def act(self) -> int:
        from proving.checkers import check
        from proving.measurements import measure
        from proving.model.simulation_run import play

        day = self.day()
        record = play(day, self.number("seed"))
        self.tell(random_days.told(day))
        for name, value in measure(record, day).items():
            self.tell(f"{value:14.5g}  {name}")
        return self.findings(HuntResult(self.number("seed"), day, check(record), {}))


class HuntCommand(Proving):
    """Plays days by chance."""

    name = "hunt"
    description = "Play days by chance; what breaks a rule is shrunk and printed. Seeds go on record."
    arguments: ClassVar[list[Argument]] = [EXPERIMENT]
    options: ClassVar[list[Option]] = [
        SEEDS,
        FIRST,
        CORES,
        GROUPS,
        VALUES,
        option("record", None, "File to which seeds and findings are appended.", flag=False, default=""),
        option("whole", None, "Don't shrink what is found."),
    ]

    def act(self) -> int:
        from tqdm import tqdm

        first, count = self.number("first"), self.number("seeds") or 100
        told, broken, spent = spec.change(self.experiment(), self.values()), [], [0.0, 0.0]
        seeds, source = range(first, first + count), hunt.source()
        found = hunt.hunt(told, seeds, self.groups(), self.number("cores"))
        for each in tqdm(found, total=count, unit="day"):
            spent[0] += each.figures["processor_s"]
            spent[1] += each.figures["processor_s"] * each.figures["node_seconds_a_second"]
            if each.broken:
                broken.append(each)
                self.tell("\n".join(f"seed {each.seed}: {b}" for b in each.broken))
        for each in broken:
            if not self.option("whole"):
                short = hunt.shrink(each)
                self.tell(f"\nseed {each.seed}, shrunk:\n{random_days.told(short.spec)}\n  {short.broken[0]}")
        if path := self.option("record"):
            line = {
                "experiment": told.name,
                "set": self.values(),
                "groups": self.groups(),
                "source": source,
                "first": first,
                "seeds": count,
                "processor_s": round(spent[0], 1),
                "node_s": round(spent[1]),
                "broken": {each.seed: [str(b) for b in each.broken] for each in broken},
            }
            with open(path, "a", encoding="utf-8") as file:
                file.write(json.dumps(line) + "\n")
        self.tell(f"{count} days, {len(broken)} with a broken rule")
        return 1 if broken else 0


class SweepCommand(Proving):
    """Plays an experiment over its parameters' values."""

    name = "sweep"
    description = "Play an experiment over values and seeds; write a table and a report."
    arguments: ClassVar[list[Argument]] = [EXPERIMENT]
    options: ClassVar[list[Option]] = [
        SEEDS,
        CORES,
        option("out", "o", "Folder.", flag=False, default="found/proving"),
    ]

    def act(self) -> int:
        from proving import report, sweep

        told, over = spec.load(self.argument("file"))
        if self.option("seeds"):
            over = replace(over, seeds=self.number("seeds"))
        rows = list(sweep.rows(told, over, self.number("cores")))
        folder = Path(self.option("out"))
        folder.mkdir(parents=True, exist_ok=True)
        sweep.write_table(rows, folder / f"{told.name}.csv")
        report.write(told, rows, folder / f"{told.name}.html")
        self.tell(f"{folder / told.name}.html")
        broken = [f"{row.values} seed {row.seed}: {b}" for row in rows for b in row.broken]
        self.tell("\n".join(broken[:20]) or "no rule is broken")
        return 1 if broken else 0


class PlanCommand(Proving):
    """What a change would do."""

    name = "plan"
    description = "Compare days with and without a change: core=N, lose-zone=ZONE, roll-out=SECONDS, grow=N."
    arguments: ClassVar[list[Argument]] = [EXPERIMENT, argument("change", "The change.")]
    options: ClassVar[list[Option]] = [SEEDS, CORES]

    def act(self) -> int:
        from proving import planner

        plan = planner.make(self.experiment(), self.argument("change"))
        outcome = planner.play(plan, range(1, 1 + (self.number("seeds") or 4)), self.number("cores"))
        self.tell(planner.told(outcome))
        return 1 if outcome.broken[1] else 0


class ShowCommand(Proving):
    """A day as a sequence of messages."""

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
        option("planes", "p", "Only these: register, rounds, quota, or none.", flag=False, default=""),
        option("machines", "m", "Only messages from or to these.", flag=False, default=""),
        option("beats", None, "With the agreement's beats."),
    ]

    def act(self) -> int:
        from proving.transcript import transcript

        planes = [p for p in (self.option("planes") or "").split(",") if p]
        machines = [m for m in (self.option("machines") or "").split(",") if m]
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


class RecordCommand(Proving):
    """Keeps recordings of all processes of a day."""

    name = "record"
    description = "Play one day, keep a recording of each process, and play those again."
    arguments: ClassVar[list[Argument]] = [EXPERIMENT]
    options: ClassVar[list[Option]] = [
        SEED,
        CHANCE,
        GROUPS,
        VALUES,
        option("out", "o", "Folder for the recordings.", flag=False, default="found/recordings"),
    ]

    def act(self) -> int:
        from proving import recording
        from proving.model.simulation_run import Run

        run = Run(self.day(), self.number("seed"))
        recordings: list[tuple[str, recording.Recording]] = []
        run.deployment.recordings = recordings
        run.play()
        folder = Path(self.option("out"))
        folder.mkdir(parents=True, exist_ok=True)
        differing = 0
        for n, (name, each) in enumerate(recordings):
            path = folder / f"{name.replace(' ', '-')}-{n}.recording"
            each.save(path)
            found = recording.replay(each.head, list(each.steps))
            differing += found is not None
            self.tell(
                f"{path}: {each.count} inputs, "
                + ("same outputs" if found is None else f"another output at input {found.number}")
            )
        return 1 if differing else 0


class ReplayCommand(Proving):
    """Feeds a recording through the state machines again."""

    name = "replay"
    description = "Feed a recording through the state machines again, or print it."
    arguments: ClassVar[list[Argument]] = [argument("file", "A recording.")]
    options: ClassVar[list[Option]] = [
        option("print", "p", "Print inputs and outputs."),
        option("begins", "b", "Steady seconds.", flag=False, default="0"),
        option("ends", "e", "Steady seconds.", flag=False, default="1e12"),
    ]

    def act(self) -> int:
        from proving import recording

        head, count, steps = recording.load(Path(self.argument("file")))
        if self.option("print"):
            for line in recording.told(steps, float(self.option("begins")), float(self.option("ends"))):
                self.tell(line)
            return 0
        if count > len(steps):
            self.tell(f"the recording holds the last {len(steps)} of {count} inputs: it can be printed only")
            return 2
        found = recording.replay(head, steps)
        if found is None:
            self.tell(f"{head.role}: {count} inputs, the same outputs")
            return 0
        self.tell(f"input {found.number} at {found.step.now:.4f}, {found.step.machine}:")
        self.tell("\n".join(["on the recording:", *found.step.outputs, "now:", *found.outputs]))
        return 1


class LoadCommand(Proving):
    """Plays a day over loopback."""

    name = "load"
    description = "Play a day over loopback against the real programs, and the same one in the model."
    arguments: ClassVar[list[Argument]] = [EXPERIMENT]
    options: ClassVar[list[Option]] = [
        SEED,
        option("port", "p", "First of 40 ports at each address.", flag=False, default="19400"),
        option("recordings", "t", "Folder for recordings of the programs.", flag=False, default=""),
    ]

    def act(self) -> int:
        from proving.loopback.driver import compare

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


class StandardCommand(Proving):
    """Plays a site's standard days."""

    name = "standard"
    description = "Play the standard days of a site, their troubles at times by chance."
    arguments: ClassVar[list[Argument]] = [argument("site", "bmgs-noms or atlas-cadastre.")]
    options: ClassVar[list[Option]] = [SEEDS, CORES]

    def act(self) -> int:
        from proving import standard_days

        for line in standard_days.table(
            self.argument("site"), self.number("seeds") or 4, self.number("cores")
        ):
            self.tell(line)
        return 0


class AllowanceCommand(Proving):
    """A day of the quota plane."""

    name = "allowance"
    description = "Report on allowances over a day, from the lines that programs wrote with --counts."
    arguments: ClassVar[list[Argument]] = [argument("logs", "Files of log lines.", multiple=True)]
    options: ClassVar[list[Option]] = [option("out", "o", "Folder.", flag=False, default="found/proving")]

    def act(self) -> int:
        from proving import allowance, allowance_report

        lines: list[allowance.LogLine] = []
        for name in self.argument("logs"):
            with open(name, encoding="utf-8", errors="replace") as file:
                lines += allowance.read(file)
        if not lines:
            raise ValueError("no lines of counts: were the programs started with --counts?")
        day, folder = allowance.gather(lines), Path(self.option("out"))
        folder.mkdir(parents=True, exist_ok=True)
        path = allowance_report.write(day, f"allowance-{Path(self.argument('logs')[0]).stem}", folder)
        self.tell(f"{allowance.told(day)}\n\n{path}")
        return 1 if any(view.beyond for view in day.views) else 0


class CompareCommand(Proving):
    """Holds the model against the bench."""

    name = "compare"
    description = "Play the standard days that entries of the journal tell of; print both as markdown."
    arguments: ClassVar[list[Argument]] = [argument("entries", "Entries of the journal.", multiple=True)]
    options: ClassVar[list[Option]] = [SEEDS, CORES]

    def act(self) -> int:
        from proving import comparison

        found = comparison.pairs(self.argument("entries"), self.number("seeds") or 3, self.number("cores"))
        for line in comparison.tables(found):
            self.tell(line)
        return 0


class LossesCommand(Proving):
    """Counts what a core bears while its members change."""

    name = "losses"
    description = "Count how many more disks of a core may go at each instant of a change of its members."
    options: ClassVar[list[Option]] = [SEEDS, CORES]

    def act(self) -> int:
        from proving import disk_loss_tolerance

        for line in disk_loss_tolerance.table(self.number("seeds") or 20, self.number("cores")):
            self.tell(line)
        return 0


class InjectedBugsCommand(Proving):
    """Plays the days of all planted faults."""

    name = "proofs"
    description = "Plant each fault and see that its checker finds it."

    def act(self) -> int:
        missed = 0
        for name, proof in injected_bug_cases.INJECTED_BUG_CASES.items():
            rules = {b.rule for b in hunt.run_once(injected_bug_cases.day(name), 1).broken}
            missed += proof.rule not in rules
            self.tell(f"{name}: {proof.rule} {'found' if proof.rule in rules else 'MISSED'}")
        return 1 if missed else 0


class OrdersCommand(Proving):
    """Reads how long orders took."""

    name = "orders"
    description = "From a day's log lines: times to an order's acknowledgement and to the nodes in force."
    arguments: ClassVar[list[Argument]] = [argument("file", "A log of all programs.")]
    options: ClassVar[list[Option]] = [
        option("by-prefix", "p", "Times are the first number of each line, not the programs' own.")
    ]

    def act(self) -> int:
        from proving import orders

        with open(self.argument("file"), encoding="utf-8", errors="replace") as file:
            found = orders.orders(orders.read(file, bool(self.option("by-prefix"))))
        for line in orders.table(found):
            self.tell(line)
        return 0 if found else 1


class CapacityCommand(Proving):
    """Measures how control grows, and writes the page on capacity."""

    name = "capacity"
    description = "Measure how control grows with size, and write the page on capacity from that."
    options: ClassVar[list[Option]] = [
        option("quick", None, "Small sizes only, into found/capacity."),
        option("only", None, "Measure only these studies, separated by commas.", flag=False, default=""),
        option(
            "from",
            None,
            "Make the page from this folder's recordings; measure nothing.",
            flag=False,
            default="",
        ),
        option("data", None, "Folder for the recordings.", flag=False, default=""),
        option("out", "o", "The page.", flag=False, default=""),
    ]

    def act(self) -> int:
        from tqdm import tqdm

        from proving.capacity import page, studies

        quick, recorded = bool(self.option("quick")), self.option("from") or ""
        if recorded and (quick or self.option("only")):
            raise ValueError("--from measures nothing: --quick and --only don't go with it")
        folder = Path(recorded or self.option("data") or ("found/capacity" if quick else "docs/capacity"))
        out = Path(self.option("out") or (folder / "CAPACITY.md" if quick else "docs/CAPACITY.md"))
        chosen = [] if recorded else studies.chosen(self.option("only") or "")
        for study in chosen:
            with tqdm(desc=study.name, unit="sample") as bar:
                studies.run(study, quick, folder, bar.update)
        recordings = studies.load_all(folder)
        if missing := [name for name in studies.NAMES if name not in recordings]:
            self.tell(f"no page: {folder} lacks {', '.join(missing)}")
            return 0 if chosen else 2
        out.parent.mkdir(parents=True, exist_ok=True)
        out.write_text(page.page(recordings), encoding="utf-8")
        self.tell(str(out))
        return 0


COMMANDS = (
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


def main() -> int:
    """Run the command line; the exit code."""
    application = Application("proving", "1")
    for command in COMMANDS:
        application.add(command())
    return application.run()
