"""The studies for the page. Each measures along its axes and writes one recording."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from simulation.capacity import (
    agreement,
    configuration,
    growth,
    programs,
    regions,
    restarts,
    samples,
    sockets,
)
from simulation.capacity.samples import Recording, RecordingError, Sample
from simulation.hunt import source

COMMAND = "python -m simulation capacity"


@dataclass(frozen=True)
class Study:
    """A study: its name, and the function that yields its samples in steps; `quick` uses small sizes only."""

    name: str
    measure: Callable[[bool], Iterable[list[Sample]]]
    settings: Callable[[bool], dict[str, Any]]


def _configuration(axis: str) -> Study:
    return Study(
        f"configuration-{axis}", lambda quick: configuration.measure(axis, quick), configuration.settings
    )


def _growth(axis: str) -> Study:
    return Study(axis, lambda quick: growth.measure(axis, quick), growth.settings)


STUDIES = (
    *(_configuration(axis) for axis in configuration.AXES),
    *(_growth(axis) for axis in growth.AXES),
    Study(restarts.STUDY, restarts.measure, restarts.settings),
    Study(restarts.LARGE_STUDY, restarts.measure_large, restarts.settings),
    Study(agreement.STUDY, agreement.measure, agreement.settings),
    Study(agreement.CUT_STUDY, agreement.measure_cut, agreement.cut_settings),
    Study(regions.STUDY, regions.measure, regions.settings),
    Study(sockets.STUDY, sockets.measure, sockets.settings),
    Study(programs.STUDY, programs.measure, programs.settings),
)
NAMES = tuple(study.name for study in STUDIES)


def chosen(names: str) -> list[Study]:
    """Return the studies with these comma-separated names; all studies if empty."""
    wanted = [name for name in names.split(",") if name]
    for name in wanted:
        if name not in NAMES:
            raise ValueError(f"{name}: no study; there are {', '.join(NAMES)}")
    return [study for study in STUDIES if not wanted or study.name in wanted]


def run(study: Study, quick: bool, folder: Path, progress: Callable[[int], None]) -> Recording:
    """Measure a study and save its recording. `progress` gets the number of samples after each step."""
    began = time.monotonic()
    commit = source()
    found: list[Sample] = []
    for step in study.measure(quick):
        found += step
        progress(len(step))
    command = f"{COMMAND} --only {study.name}" + (" --quick" if quick else "")
    recording = samples.record(
        study.name, command, commit, time.monotonic() - began, found, study.settings(quick)
    )
    samples.save(recording, folder)
    return recording


def load_all(folder: Path) -> dict[str, Recording]:
    """Return all recordings of a folder by study. Raises RecordingError if there is none."""
    found = [samples.load(path) for path in sorted(folder.glob("*.json"))]
    if not found:
        raise RecordingError(f"{folder}: no recordings")
    return {recording.study: recording for recording in found}
