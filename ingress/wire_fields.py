"""Parsing of the fields of the simulator's line protocol, with errors that name message and field."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NoReturn, TypeVar

ABSENT = "-"  # text of a field without a value

T = TypeVar("T")


class WireError(Exception):
    """A malformed line. The text names the message, the field and what was expected."""


def fail(message: str, field: str, expected: str, got: object) -> NoReturn:
    """Raise the error for a field that isn't as expected."""
    raise WireError(f"{message}: {field}: expected {expected}, got {got!r}")


def read_number(message: str, field: str, text: str, low: float = -math.inf) -> float:
    """Parse a finite number of at least `low`."""
    try:
        value = float(text)
    except ValueError:
        fail(message, field, "a number", text)
    if not math.isfinite(value) or value < low:
        fail(message, field, f"a finite number{'' if low == -math.inf else f' of {low:g} or more'}", text)
    return value


def read_optional(message: str, field: str, text: str, low: float = 0.0) -> float:
    """Parse a finite number of at least `low`; 0 if the field is absent."""
    return 0.0 if text == ABSENT else read_number(message, field, text, low)


def read_integer(message: str, field: str, text: str, low: int = 0) -> int:
    """Parse an integer of at least `low`."""
    try:
        value = int(text)
    except ValueError:
        fail(message, field, "a whole number", text)
    if value < low:
        fail(message, field, f"a whole number of {low} or more", text)
    return value


def read_optional_integer(message: str, field: str, text: str, default: int = 0) -> int:
    """Parse an integer of at least 0; the default if the field is absent."""
    return default if text == ABSENT else read_integer(message, field, text)


def read_choice(message: str, field: str, text: str, choices: Mapping[str, T]) -> T:
    """Parse a field that is one of a number of choices."""
    if text not in choices:
        fail(message, field, "one of " + ", ".join(choices), text)
    return choices[text]


def read_flag(message: str, field: str, text: str) -> bool:
    """Parse a flag, `1` or `0`."""
    return read_choice(message, field, text, {"1": True, "0": False})


def check_count(message: str, parts: list[str], wanted: int) -> None:
    """Check the number of parts of a line, including its name."""
    if len(parts) != wanted:
        fail(message, "fields", f"{wanted - 1} fields", len(parts) - 1)
