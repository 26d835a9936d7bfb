"""The two programs, proxy and controller, and the modules that only they use."""

from __future__ import annotations

from importlib import import_module

PROGRAMS = {"proxy": "gateway.programs.proxy", "controller": "gateway.programs.controller"}


def launch(name: str) -> int:
    """Run a program until it is stopped; returns its exit code. Raises KeyError for an unknown program.

    Only the modules of this program are imported, because each import takes time at startup.
    """
    return int(import_module(PROGRAMS[name]).main())
