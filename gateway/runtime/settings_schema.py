"""Schema of a settings file: one `Field` a row with dotted name, type, default and check, and a reader."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

from result import Err, Ok, Result

from gateway.runtime.address import host_port

REQUIRED: Any = object()
"""Marks a field without a default."""


class Fault(NamedTuple):
    """What is wrong, and where: the dotted name of a field, or a place in a file."""

    place: str
    problem: str

    def __str__(self) -> str:
        return f"{self.place}: {self.problem}"


class Field(NamedTuple):
    """One field. `kind` converts the value or raises ValueError; `check` returns what is wrong, or ""."""

    name: str
    kind: Callable[[Any], Any]
    default: Any = REQUIRED
    check: Callable[[Any], str] | None = None


def text(value: Any) -> str:
    """A non-empty string."""
    if not isinstance(value, str) or not value:
        raise ValueError(f"a text is needed, not {value!r}")
    return value


def boolean(value: Any) -> bool:
    """True or false."""
    if not isinstance(value, bool):
        raise ValueError(f"true or false is needed, not {value!r}")
    return value


def number(value: Any) -> float:
    """A finite number."""
    if isinstance(value, bool) or not isinstance(value, int | float) or value - value != 0:
        raise ValueError(f"a number is needed, not {value!r}")
    return float(value)


def integer(value: Any) -> int:
    """A whole number."""
    if number(value) != int(value):
        raise ValueError(f"a whole number is needed, not {value!r}")
    return int(value)


def address(value: Any) -> str:
    """An address `ip:port`."""
    host_port(text(value))
    return str(value)


def sequence_of(kind: Callable[[Any], Any]) -> Callable[[Any], tuple[Any, ...]]:
    """Converter of a list of values of one kind into a tuple."""

    def read(value: Any) -> tuple[Any, ...]:
        if not isinstance(value, list | tuple):
            raise ValueError(f"a list is needed, not {value!r}")
        return tuple(map(kind, value))

    return read


def mapping_of(kind: Callable[[Any], Any]) -> Callable[[Any], dict[str, Any]]:
    """Converter of a mapping from names to values of one kind."""

    def read(value: Any) -> dict[str, Any]:
        if not isinstance(value, dict):
            raise ValueError(f"a table is needed, not {value!r}")
        return {text(name): kind(item) for name, item in value.items()}

    return read


def above_zero(value: float) -> str:
    """Check that a value is above 0."""
    return "" if value > 0 else f"must be over 0, not {value:g}"


def not_negative(value: float) -> str:
    """Check that a value is 0 or more."""
    return "" if value >= 0 else f"must not be negative, as {value:g} is"


def read_table(document: Any, fields: Iterable[Field]) -> Result[dict[str, Any], list[Fault]]:
    """The values of all fields by dotted name, or all faults. Fields without a row are ignored.

    An empty string counts as missing.
    """
    values = {}
    faults = []
    for field in fields:
        try:
            values[field.name] = _value(document, field)
        except ValueError as wrong:
            faults.append(Fault(field.name, str(wrong)))
    return Err(faults) if faults else Ok(values)


def _value(document: Any, field: Field) -> Any:
    found = document
    for part in field.name.split("."):
        found = found.get(part) if isinstance(found, Mapping) else None
    if found is None or found == "":
        if field.default is REQUIRED:
            raise ValueError("is missing")
        return field.default
    value = field.kind(found)
    problem = field.check(value) if field.check is not None else ""
    if problem:
        raise ValueError(problem)
    return value
