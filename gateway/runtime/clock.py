"""The monotonic clock of the programs, in seconds. State machines get the time passed in."""

from __future__ import annotations

from time import monotonic as steady

PROCESS_START = steady()  # approximate start of this process: the programs import this module first

__all__ = ["PROCESS_START", "steady"]
