"""The command that measures how the control planes scale, and writes the capacity page."""

from __future__ import annotations

from pathlib import Path
from typing import ClassVar

from cleo.helpers import option
from cleo.io.inputs.option import Option

from simulation.commands.base import SimulationCommand


class CapacityCommand(SimulationCommand):
    """Measures how the control planes scale with size, and writes the capacity page."""

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
        """Run the chosen studies and write the page, unless recordings are missing."""
        from tqdm import tqdm

        from simulation.capacity import page, studies

        quick = bool(self.option("quick"))
        recorded = self.option("from") or ""
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
