"""Runs a program of the system with a recording, written to the folder $SIMULATION_RECORDINGS on exit.

    python -m simulation.recorded_program proxy|controller

The program is unchanged; only its state machines' inputs and outputs are recorded, at some cost in time.
"""

from __future__ import annotations

import os
import random
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from gateway.programs import controller, proxy
from gateway.programs.controller_node import ControllerNode
from gateway.programs.proxy_node import ProxyNode
from simulation.recording import Recording, RecordingHeader

FOLDER = "SIMULATION_RECORDINGS"
RECORDINGS: list[Recording] = []


class RecordedController(ControllerNode):
    """A controller whose state machines are recorded."""

    def __init__(
        self, driver: Any, clock: Callable[[], float], settings: Any, stored: Any, rng: random.Random
    ) -> None:
        recording = Recording(RecordingHeader("controller", settings, stored, rng.getstate(), clock()))
        super().__init__(driver, lambda: recording.head.began, settings, stored, rng)
        self.clock = clock
        recording.attach(self)
        RECORDINGS.append(recording)


class RecordedProxy(ProxyNode):
    """A proxy whose state machines are recorded."""

    def __init__(
        self,
        driver: Any,
        loop: Any,
        clock: Callable[[], float],
        settings: Any,
        upstream: Any,
        rng: random.Random,
    ) -> None:
        recording = Recording(RecordingHeader("proxy", settings, None, rng.getstate(), clock()))
        super().__init__(driver, loop, clock, settings, upstream, rng)
        recording.attach(self)
        RECORDINGS.append(recording)


def main() -> int:
    """Run the program and write the recording on exit; returns the exit code."""
    role = sys.argv[1]
    if role == "controller":
        setattr(controller, "ControllerNode", RecordedController)  # noqa: B010
        code = controller.main()
    else:
        setattr(proxy, "ProxyNode", RecordedProxy)  # noqa: B010
        code = proxy.main()
    folder = Path(os.environ.get(FOLDER, "."))
    for recording in RECORDINGS:
        recording.save(folder / f"{recording.head.settings.own.node}-{role}-{os.getpid()}.recording")
    return code


if __name__ == "__main__":
    sys.exit(main())
