"""The command that prints the transcript of a day."""

from __future__ import annotations

from typing import ClassVar

from cleo.helpers import option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from proving.commands.base import CHANCE, EXPERIMENT, GROUPS, SEED, VALUES, ProvingCommand


class ShowCommand(ProvingCommand):
    """Prints the transcript of a span of a simulated day."""

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
        """Simulate the day and print the transcript."""
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
