"""The steady clock of the programs, in seconds. State machines are handed its time and never look."""

from __future__ import annotations

from time import monotonic as steady

PROCESS_START = steady()  # of this process, as nearly as it knows: the programs import this first

__all__ = ["PROCESS_START", "steady"]
