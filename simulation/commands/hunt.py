"""The command that simulates random days and shrinks those that violate a rule."""

from __future__ import annotations

import json
from typing import ClassVar

from cleo.helpers import option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from simulation import hunt, random_days, spec
from simulation.commands.base import CORES, EXPERIMENT, FIRST, GROUPS, SEEDS, VALUES, SimulationCommand


class HuntCommand(SimulationCommand):
    """Simulates random days and shrinks those that violate a rule."""

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
        """Simulate, shrink and record; 1 if a rule is violated."""
        from tqdm import tqdm

        first = self.number("first")
        count = self.number("seeds") or 100
        experiment = spec.change(self.experiment(), self.values())
        broken = []
        spent = [0.0, 0.0]
        seeds = range(first, first + count)
        source = hunt.source()
        found = hunt.hunt(experiment, seeds, self.groups(), self.number("cores"))
        for each in tqdm(found, total=count, unit="day"):
            spent[0] += each.figures["processor_s"]
            spent[1] += each.figures["processor_s"] * each.figures["node_seconds_a_second"]
            if each.broken:
                broken.append(each)
                self.tell("\n".join(f"seed {each.seed}: {b}" for b in each.broken))
        for each in broken:
            if not self.option("whole"):
                short = hunt.shrink(each)
                self.tell(
                    f"\nseed {each.seed}, shrunk:\n{random_days.render_spec(short.spec)}\n  {short.broken[0]}"
                )
        if path := self.option("record"):
            line = {
                "experiment": experiment.name,
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
