"""Commands that record the processes of a day, and replay recordings."""

from __future__ import annotations

from pathlib import Path
from typing import ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from simulation.commands.base import CHANCE, EXPERIMENT, GROUPS, SEED, VALUES, SimulationCommand


class RecordCommand(SimulationCommand):
    """Records all processes of a simulated day, and replays the recordings."""

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
        """Record the day and replay each process; 1 if a replay differs."""
        from simulation import recording
        from simulation.model.simulation_run import Run

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


class ReplayCommand(SimulationCommand):
    """Replays a recording, or prints it."""

    name = "replay"
    description = "Feed a recording through the state machines again, or print it."
    arguments: ClassVar[list[Argument]] = [argument("file", "A recording.")]
    options: ClassVar[list[Option]] = [
        option("print", "p", "Print inputs and outputs."),
        option("begins", "b", "Steady seconds.", flag=False, default="0"),
        option("ends", "e", "Steady seconds.", flag=False, default="1e12"),
    ]

    def act(self) -> int:
        """Replay the file, or print it; 1 if an output differs, 2 if the recording is incomplete."""
        from simulation import recording

        head, count, steps = recording.load(Path(self.argument("file")))
        if self.option("print"):
            for line in recording.render_steps(
                steps, float(self.option("begins")), float(self.option("ends"))
            ):
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
