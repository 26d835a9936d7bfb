"""Errors of the command line's HTTP clients."""

from __future__ import annotations


class StatusCallError(Exception):
    """A `control` address can't be reached, or its answer is not a status; the message says which."""
