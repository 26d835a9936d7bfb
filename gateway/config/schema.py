"""Schema of a configuration: one `FieldSpec` per field, with its name, kind, default and check."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, Final, NamedTuple

MAX_REPORTED_ERRORS = 20  # maximum number of errors reported for one configuration
MAX_INTEGER = 2**63 - 1  # generations and sizes fit into a signed 64-bit integer
MAX_SHOWN_LENGTH = 60  # maximum characters of a value in an error message

DEFAULT_MAX_HEADER_BYTES = 16_384
DEFAULT_MAX_BODY_BYTES = 64 * 1024 * 1024
DEFAULT_HEADER_TIMEOUT_S = 3.0
DEFAULT_IDLE_TIMEOUT_S = 15.0


class ConfigError(NamedTuple):
    """An error in a configuration: a place such as `resource-list[3].spec.max-tries`, and the reason."""

    place: str
    reason: str


class Difference(NamedTuple):
    """A difference from the document: a place such as `route r-1.deadline-s`, running and set value."""

    place: str
    running: str
    set: str


class Constraint(NamedTuple):
    """A check of a value of the right kind, and its description for the operator.

    The type of the argument of `accepts` depends on the kind of the field, hence `Any`.
    """

    expected: str
    accepts: Callable[[Any], bool]


class FieldSpec(NamedTuple):
    """One field. With `zero_means_default`, 0 and an empty list have the effect of an omitted field."""

    name: str
    kind: str
    default: Any
    check: Constraint | None = None
    zero_means_default: bool = False


REQUIRED: Final = object()  # as a default value: the field is required

NOT_BLANK = Constraint("text that is not empty", lambda v: bool(v.strip()))
POSITIVE = Constraint("more than 0", lambda v: v > 0)
NOT_NEGATIVE = Constraint("0 or more", lambda v: v >= 0)
AT_LEAST_ONE = Constraint("1 or more", lambda v: v >= 1)
SLASH_DELIMITED = Constraint("a path that begins and ends with a slash", lambda v: v[:1] == "/" == v[-1:])
ABSOLUTE_PATH = Constraint("a path that begins with a slash", lambda v: v[:1] == "/")
TRAFFIC_CLASS = Constraint("safe or unsafe", lambda v: v in ("safe", "unsafe"))
NON_EMPTY_KEYS = Constraint("keys that are not empty", all)
VALID_SHARES = Constraint(
    "shares of 0 or more and one of them above",
    lambda v: not v or (all(share >= 0 for _, share in v) and any(share > 0 for _, share in v)),
)

HEAD = (  # fields of a full configuration and of a PATCH
    FieldSpec("generation", "whole number", REQUIRED, AT_LEAST_ONE),
    FieldSpec("base-version", "whole number", 0, NOT_NEGATIVE),
)
ROUTE = (
    FieldSpec("hostname", "host", REQUIRED, NOT_BLANK),
    FieldSpec("path-prefix", "text", REQUIRED, SLASH_DELIMITED),
    FieldSpec("traffic-class", "text", "unsafe", TRAFFIC_CLASS),
    FieldSpec("deadline-s", "number", REQUIRED, POSITIVE),
    FieldSpec("target-latency-s", "number", None, NOT_NEGATIVE, zero_means_default=True),
    FieldSpec("precedence", "whole number", 1, NOT_NEGATIVE),
    FieldSpec("max-tries", "whole number", 1, AT_LEAST_ONE),
    FieldSpec("public", "flag", False),
    FieldSpec("target", "text", None, zero_means_default=True),
    FieldSpec("weighted", "list of targets with shares", None, VALID_SHARES, zero_means_default=True),
)
SERVICE = (
    FieldSpec("health-path", "text", "/health", ABSOLUTE_PATH, zero_means_default=True),
    FieldSpec("max-conns", "whole number", 100, NOT_NEGATIVE, zero_means_default=True),
)
TENANT = (
    FieldSpec("api-keys", "list of texts", (), NON_EMPTY_KEYS),
    FieldSpec("precedence", "whole number", None, NOT_NEGATIVE),
    FieldSpec("rate-per-s", "number", 0.0, NOT_NEGATIVE),
    FieldSpec("burst", "number", 0.0, NOT_NEGATIVE),
)
LIMITS = (
    FieldSpec(
        "max-header-bytes", "whole number", DEFAULT_MAX_HEADER_BYTES, NOT_NEGATIVE, zero_means_default=True
    ),
    FieldSpec(
        "max-body-bytes", "whole number", DEFAULT_MAX_BODY_BYTES, NOT_NEGATIVE, zero_means_default=True
    ),
    FieldSpec("header-timeout-s", "number", DEFAULT_HEADER_TIMEOUT_S, NOT_NEGATIVE, zero_means_default=True),
    FieldSpec("idle-timeout-s", "number", DEFAULT_IDLE_TIMEOUT_S, NOT_NEGATIVE, zero_means_default=True),
)


def host_of(host: bytes) -> bytes:
    """Normalize a host for comparisons: lower case, without the port."""
    host = host.strip().lower()
    name, colon, port = host.rpartition(b":")
    has_port = bool(colon) and (port.isdigit() or not port)
    # An IPv6 address without a port is not changed.
    return name if has_port and (b":" not in name or name[-1:] == b"]") else host


def text(value: object) -> str | None:
    """The value if it is a string that can be used in a header, otherwise None."""
    if not isinstance(value, str):
        return None
    if value.isascii() and value.isprintable():
        return value
    clean = all(c >= " " and c != "\x7f" and not "\ud800" <= c <= "\udfff" for c in value)
    return value if clean else None


def _host(value: object) -> str | None:
    checked = text(value)
    return None if checked is None else host_of(checked.encode()).decode()


def _integer(value: object) -> int | None:
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if not isinstance(value, int) or isinstance(value, bool):
        return None
    return value if -MAX_INTEGER <= value <= MAX_INTEGER else None


def _number(value: object) -> float | None:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    if not -MAX_INTEGER <= value <= MAX_INTEGER:  # excludes infinity and NaN
        return None
    return float(value) + 0.0  # turns -0.0 into 0.0


def _flag(value: object) -> bool | None:
    return value if isinstance(value, bool) else None


def _texts(value: object) -> tuple[str, ...] | None:
    if not isinstance(value, list):
        return None
    texts = tuple([t for t in map(text, value) if t is not None])
    return texts if len(texts) == len(value) else None


def _shares(value: object) -> tuple[tuple[str, float], ...] | None:
    if not isinstance(value, list):
        return None
    read = []
    for item in value:
        target = text(item.get("target")) if isinstance(item, dict) else None
        share = _number(item.get("share")) if target else None
        if not target or share is None:
            return None
        read.append((target, share))
    return tuple(read)


# Converters by kind: each returns the typed value, or None if the value isn't of this kind.
KINDS: Final[dict[str, Callable[[object], Any]]] = {
    "text": text,
    "host": _host,
    "whole number": _integer,
    "number": _number,
    "flag": _flag,
    "list of texts": _texts,
    "list of targets with shares": _shares,
}


def format_value(value: object) -> str:
    """Format a value for an error message: as JSON, truncated."""
    shown = "nothing" if value is None else json.dumps(value)
    return shown if len(shown) <= MAX_SHOWN_LENGTH else shown[: MAX_SHOWN_LENGTH - 3] + "..."


def read(rows: tuple[FieldSpec, ...], fields: object, place: str, errors: list[ConfigError]) -> list[Any]:
    """The values of the rows in order, with defaults. Errors are appended, and their values are None."""
    if not isinstance(fields, dict):
        errors.append(ConfigError(place, f"expected an object, got {format_value(fields)}"))
        return [None] * len(rows)
    values = []
    for name, kind, default, check, zero_means_default in rows:
        given = fields.get(name)
        if given is None and default is not REQUIRED:
            values.append(default)
            continue
        value = KINDS[kind](given)
        if value is None:
            errors.append(
                ConfigError(f"{place}.{name}".lstrip("."), f"expected a {kind}, got {format_value(given)}")
            )
        elif zero_means_default and not value:
            value = default
        elif check is not None and not check.accepts(value):
            reason = f"expected {check.expected}, got {format_value(given)}"
            errors.append(ConfigError(f"{place}.{name}".lstrip("."), reason))
            value = None
        values.append(value)
    return values
