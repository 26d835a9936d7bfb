"""Runs a measurement in a separate process, so that it has its own memory and garbage collection."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from typing import ParamSpec, TypeVar

from simulation.hunt import quiet

P = ParamSpec("P")
T = TypeVar("T")


def isolated(here: bool, call: Callable[P, T], *args: P.args, **kwargs: P.kwargs) -> T:
    """Return the result of a call in a new process, or in this one if `here`."""
    if here:
        return call(*args, **kwargs)
    with ProcessPoolExecutor(1, get_context("spawn"), initializer=quiet) as pool:
        return pool.submit(call, *args, **kwargs).result()
