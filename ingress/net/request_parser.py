"""Parsing of a client request's headers into the `Request` of the decision module."""

from __future__ import annotations

import re
from collections.abc import Callable

from ingress import interface as io
from ingress.net.errors import MalformedRequestError

CUSTOMER = re.compile(rb"(?:/[^/?#]*)+?/([0-9a-fA-F]{16})(?:\?.*)?")
CALL_ID = re.compile(rb"[!-~]{1,64}")
BUDGET = re.compile(rb"([0-9]{1,10})([mu])")
UNITS = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?")
COUNT = re.compile(r"[0-9]{1,9}")
SINGLE_REQUEST_HEADERS = {b"idempotency-key", b"host"}  # and all X- headers: a repetition would be ambiguous
MAX_CUSTOMER = 1 << 33
MAX_BUDGET_S = 3600.0


def read_request(
    settings: io.Settings, customer: bytes, method: bytes, headers: list[tuple[bytes, bytes]]
) -> io.Request:
    """Return the request for the decision module from the headers; `customer` is hexadecimal.

    Raises:
        MalformedRequestError: The headers are invalid.
    """
    values = single_values(headers, lambda key: key.startswith(b"x-") or key in SINGLE_REQUEST_HEADERS)
    number = int(customer, 16)
    call_id = values.get(b"x-call-id", b"")
    budget = BUDGET.fullmatch(values.get(b"x-budget", b""))
    class_name = values.get(b"x-call-class", b"").decode("latin-1")
    plan = values.get(b"x-tier", b"").decode("latin-1")
    cls = next((c for c in settings.classes if c.name == class_name), None)
    if number >= MAX_CUSTOMER:
        raise MalformedRequestError("no such customer")
    if CALL_ID.fullmatch(call_id) is None:
        raise MalformedRequestError("x-call-id: expected 1 to 64 visible characters")
    if cls is None:
        raise MalformedRequestError("x-call-class: no such class")
    if all(p.name != plan for p in settings.plans):
        raise MalformedRequestError("x-tier: no such plan")
    _check_effect(cls.effect, method, values)
    expires_in = int(budget[1]) / (1e3 if budget[2] == b"m" else 1e6) if budget else 0.0
    if not 0 < expires_in <= MAX_BUDGET_S:
        raise MalformedRequestError("x-budget: expected a time such as 480m")
    if cls.deadline > 0:  # an unresponsive backend must not hold a request longer than any client waits
        expires_in = min(expires_in, cls.deadline)
    units, spread, first = _terms(values.get(b"x-call-terms", b""), settings)
    return io.Request(
        call_id.decode(),
        class_name,
        plan,
        number,
        expires_in,
        units,
        spread,
        first,
        values.get(b"x-again") == b"1",
    )


def single_values(
    headers: list[tuple[bytes, bytes]], is_single: Callable[[bytes], bool]
) -> dict[bytes, bytes]:
    """Return the headers by lower-case name; of a repeated header, the last value.

    Raises:
        MalformedRequestError: One that must be single is repeated; a backend might take its other value, and
            so the request for another one.
    """
    values: dict[bytes, bytes] = {}
    for name, value in headers:
        key = name.lower()
        if key in values and is_single(key):
            raise MalformedRequestError(f"{key.decode()}: more than one")
        values[key] = value
    return values


def _check_effect(effect: io.Effect, method: bytes, values: dict[bytes, bytes]) -> None:
    """Check that the class allows the method, and that a deduplicated request has its key."""
    if (method == b"GET") != (effect is io.Effect.SAFE) or method not in (b"GET", b"POST"):
        raise MalformedRequestError("the method does not fit the class")
    if effect is io.Effect.KEYED and not values.get(b"idempotency-key"):
        raise MalformedRequestError("idempotency-key: missing")


def _terms(text: bytes, settings: io.Settings) -> tuple[float, int, int]:
    pairs = [part.strip().partition("=")[::2] for part in text.decode("latin-1").split(",")]
    terms = dict(pairs)
    units, spread, first = (terms.get(key, "") for key in ("units", "spread", "first"))
    if len(terms) < len(pairs) or not (
        UNITS.fullmatch(units) and COUNT.fullmatch(spread) and COUNT.fullmatch(first)
    ):
        raise MalformedRequestError("x-call-terms: expected units=, spread= and first=, each once")
    if not 0 < float(units) <= settings.max_units:
        raise MalformedRequestError(
            f"x-call-terms: units: expected more than 0 and up to {settings.max_units:g}"
        )
    if not (1 <= int(spread) <= settings.instances and int(first) < settings.instances):
        raise MalformedRequestError("x-call-terms: spread and first: no such ingresses")
    return float(units), int(spread), int(first)
