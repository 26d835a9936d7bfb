"""The monotonic clock of the programs, in seconds. State machines receive the time as an argument."""

from __future__ import annotations

from time import monotonic as steady

PROCESS_START = steady()  # approximate start of this process, because programs import this module first

__all__ = ["PROCESS_START", "steady"]
