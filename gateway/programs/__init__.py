"""The two programs, proxy and controller, and the parts that only they use."""

from __future__ import annotations

from importlib import import_module

PROGRAMS = {"proxy": "gateway.programs.proxy", "controller": "gateway.programs.controller"}


def launch(name: str) -> int:
    """Run a program until it is stopped; its exit code. Raises KeyError if there is no such program.

    Only the program's own modules are imported: each further one costs time at the start.
    """
    return int(import_module(PROGRAMS[name]).main())
