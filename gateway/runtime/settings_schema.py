"""Schema of a settings file: one `Field` per row with dotted name, type, default and check, and a reader."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

from result import Err, Ok, Result

from gateway.runtime.address import host_port

Converter = Callable[[object], object]
"""Converts a value parsed from YAML. Raises ValueError with a description of what is expected instead."""

REQUIRED = object()
"""Marks a field without a default."""


class Fault(NamedTuple):
    """A problem, and its place: the dotted name of a field, or a position in a file."""

    place: str
    problem: str

    def __str__(self) -> str:
        return f"{self.place}: {self.problem}"


class Field(NamedTuple):
    """One field, by its dotted name.

    `convert` returns the typed value or raises ValueError; `check` returns a problem with the value, or "".
    """

    name: str
    convert: Converter
    default: object = REQUIRED
    check: Callable[[Any], str] | None = None


def text(value: object) -> str:
    """A non-empty string."""
    if not isinstance(value, str) or not value:
        raise ValueError(f"a text is needed, not {value!r}")
    return value


def boolean(value: object) -> bool:
    """True or false."""
    if not isinstance(value, bool):
        raise ValueError(f"true or false is needed, not {value!r}")
    return value


def number(value: object) -> float:
    """A finite number."""
    if isinstance(value, bool) or not isinstance(value, int | float) or value - value != 0:
        raise ValueError(f"a number is needed, not {value!r}")
    return float(value)


def integer(value: object) -> int:
    """A whole number."""
    converted = number(value)
    if converted != int(converted):
        raise ValueError(f"a whole number is needed, not {value!r}")
    return value if isinstance(value, int) else int(converted)


def address(value: object) -> str:
    """An address `ip:port`."""
    host_port(text(value))
    return str(value)


def sequence_of(convert: Converter) -> Callable[[object], tuple[object, ...]]:
    """Create a converter from a list of values of one kind to a tuple."""

    def read(value: object) -> tuple[object, ...]:
        if not isinstance(value, list | tuple):
            raise ValueError(f"a list is needed, not {value!r}")
        return tuple(map(convert, value))

    return read


def mapping_of(convert: Converter) -> Callable[[object], dict[str, object]]:
    """Create a converter of a mapping from names to values of one kind."""

    def read(value: object) -> dict[str, object]:
        if not isinstance(value, dict):
            raise ValueError(f"a table is needed, not {value!r}")
        return {text(name): convert(item) for name, item in value.items()}

    return read


def above_zero(value: float) -> str:
    """Check that a value is greater than 0."""
    return "" if value > 0 else f"must be over 0, not {value:g}"


def not_negative(value: float) -> str:
    """Check that a value is 0 or greater."""
    return "" if value >= 0 else f"must not be negative, as {value:g} is"


def read_table(document: object, fields: Iterable[Field]) -> Result[dict[str, object], list[Fault]]:
    """The values of all fields by dotted name, or all faults. Unknown fields are ignored.

    An empty string counts as missing.
    """
    values = {}
    faults = []
    for field in fields:
        try:
            values[field.name] = _value(document, field)
        except ValueError as error:
            faults.append(Fault(field.name, str(error)))
    return Err(faults) if faults else Ok(values)


def _value(document: object, field: Field) -> object:
    found = document
    for part in field.name.split("."):
        found = found.get(part) if isinstance(found, Mapping) else None
    if found is None or found == "":
        if field.default is REQUIRED:
            raise ValueError("is missing")
        return field.default
    value = field.convert(found)
    problem = field.check(value) if field.check is not None else ""
    if problem:
        raise ValueError(problem)
    return value
