"""Runs a measurement in a process of its own, so that its memory and garbage are its own as well."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from typing import ParamSpec, TypeVar

from simulation.hunt import quiet

P = ParamSpec("P")
T = TypeVar("T")


def isolated(here: bool, call: Callable[P, T], *args: P.args, **kwargs: P.kwargs) -> T:
    """The result of a call in a fresh process; in this one if it may be `here`."""
    if here:
        return call(*args, **kwargs)
    with ProcessPoolExecutor(1, get_context("spawn"), initializer=quiet) as pool:
        return pool.submit(call, *args, **kwargs).result()
