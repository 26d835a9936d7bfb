"""A full configuration as sent by the operator, with a typed view. Unknown fields are preserved."""

from __future__ import annotations

import json
import operator
from collections.abc import Callable
from typing import Any, Final, NamedTuple, NoReturn

from result import Err, Ok, Result

from gateway.config import schema
from gateway.config.schema import ConfigError

MAX_DEPTH = 32  # maximum nesting of lists and objects
MAX_TARGET_LATENCY_EXCESS_S = 60.0  # a target latency must exceed its deadline by less than this
MAX_JSON_ERROR_LENGTH = 200  # maximum characters of the parser's message in an error

Raw = dict[str, Any]
"""A JSON object as returned by the json module; code may rely only on what `schema` has checked."""


class EntryKey(NamedTuple):
    """Identifies an entry: its kind and label. There is only one entry of limits, whatever its label is."""

    kind: str
    label: str

    def __str__(self) -> str:
        return f"{self.kind} {self.label}".strip()


class RouteEntry(NamedTuple):
    """A route as configured. The host is in lower case.

    `unused_target` is a `target` configured in addition to `weighted`; it gets no requests.
    """

    label: str
    host: str
    prefix: str
    safe: bool
    deadline: float  # seconds
    target_latency: float  # seconds
    precedence: int  # 0 is the highest
    tries: int  # maximum number of attempts
    public: bool  # no key is required
    # Services with their shares. These are plain pairs, because their `repr` is part of the digest that nodes
    # compare.
    targets: tuple[tuple[str, float], ...]
    unused_target: str | None


class ServiceEntry(NamedTuple):
    """A service as configured: health check path, and the connections that a backend accepts in total."""

    label: str
    health_path: str
    max_conns: int


class TenantEntry(NamedTuple):
    """A tenant as configured; `rate` in requests per second (0: no limit), `precedence` None: the route's."""

    label: str
    keys: tuple[str, ...]
    precedence: int | None
    rate: float
    burst: float


class Limits(NamedTuple):
    """Limits on clients."""

    max_header_bytes: int = schema.DEFAULT_MAX_HEADER_BYTES
    max_body_bytes: int = schema.DEFAULT_MAX_BODY_BYTES
    header_timeout: float = schema.DEFAULT_HEADER_TIMEOUT_S  # seconds
    idle_timeout: float = schema.DEFAULT_IDLE_TIMEOUT_S  # seconds


Entry = RouteEntry | ServiceEntry | TenantEntry | Limits


class Document:
    """A configuration, immutable once it is built by `parse`, `from_raw` or `apply_patch`."""

    __slots__ = (
        "base_version",
        "entries",
        "entries_by_key",
        "generation",
        "limits",
        "raw",
        "routes",
        "services",
        "tenants",
    )

    def __init__(self, raw: Raw, generation: int, base_version: int) -> None:
        self.raw = raw
        self.generation = generation
        self.base_version = base_version
        self.entries: list[Raw] = raw["resource-list"]
        self.routes: dict[str, RouteEntry] = {}
        self.services: dict[str, ServiceEntry] = {}
        self.tenants: dict[str, TenantEntry] = {}
        self.limits = Limits()
        self.entries_by_key: dict[EntryKey, tuple[Raw, Entry]] = {}  # raw and typed form

    def encode(self) -> bytes:
        """The configuration as JSON, structured as in the PUT."""
        return json.dumps(self.raw, separators=(",", ":")).encode()

    def add(self, key: EntryKey, raw: Raw, entry: Entry) -> None:
        """Add an entry to the typed view."""
        self.entries_by_key[key] = (raw, entry)
        match entry:
            case RouteEntry():
                self.routes[entry.label] = entry
            case ServiceEntry():
                self.services[entry.label] = entry
            case TenantEntry():
                self.tenants[entry.label] = entry
            case Limits():
                self.limits = entry


def load(body: bytes, checked: bool = False) -> Result[Raw, list[ConfigError]]:
    """Parse a body as a JSON object.

    Args:
        body: The JSON text.
        checked: Whether its nesting was checked before.

    Returns:
        The object, or an error: the JSON is invalid, not an object, or nested too deeply.
    """
    try:
        raw = json.loads(body, parse_constant=_no_number)
    except (ValueError, RecursionError) as error:
        return Err([ConfigError("", f"expected JSON: {error}"[:MAX_JSON_ERROR_LENGTH])])
    if not isinstance(raw, dict):
        return Err([ConfigError("", f"expected an object, got {schema.format_value(raw)}")])
    if checked:
        return Ok(raw)
    level: list[Any] = [raw]
    for _ in range(MAX_DEPTH):
        level = [
            child
            for x in level
            for child in (x.values() if isinstance(x, dict) else x)
            if isinstance(child, dict | list)
        ]
        if not level:
            return Ok(raw)
    return Err([ConfigError("", f"expected at most {MAX_DEPTH} levels of lists and objects")])


def parse(body: bytes, previous: Document | None = None) -> Result[Document, list[ConfigError]]:
    """Parse and check a full configuration.

    Entries equal to those of `previous` are reused, which saves time. Pass `previous` only for a
    configuration that was checked before, because 1 and True are equal in Python.
    """
    raw = load(body, previous is not None)
    return from_raw(raw.ok_value, previous) if isinstance(raw, Ok) else raw


def from_raw(raw: Raw, previous: Document | None = None) -> Result[Document, list[ConfigError]]:
    """Check a full configuration and build its typed view (see `parse`). `raw` must not be modified later."""
    return _build(raw, previous, operator.eq)


def apply_patch(previous: Document | None, raw: Raw) -> Result[Document, list[ConfigError]]:
    """The configuration that results from a PATCH of `previous`: first its `remove`, then its `upsert`.

    Replaced entries keep their position, and new ones are added at the end; removing an unknown name is no
    error.
    """
    errors: list[ConfigError] = []
    upsert = _upserted(raw, errors)
    remove = _removed(raw, errors)
    places: dict[EntryKey, str] = {}
    if not errors:
        _check_labels(upsert, "upsert.resource-list", places, errors)
    if errors:
        return Err(errors[: schema.MAX_REPORTED_ERRORS])
    new = {key_of(e): e for e in upsert}
    former = previous.entries if previous else []
    staying = [e for e in former if key_of(e) in new or key_of(e) not in remove]
    entries = [new.pop(key_of(e), e) for e in staying] + list(new.values())
    head = {"generation": raw.get("generation"), "base-version": raw.get("base-version", 0)}
    result = {**(previous.raw if previous else {}), **head, "resource-list": entries}
    return _build(result, previous, operator.is_, places)


def key_of(entry: Raw) -> EntryKey:
    """The key of a checked entry."""
    kind: str = entry["entry-kind"]
    label = "" if kind == LIMITS_KIND else (entry.get("metadata") or {}).get("label") or ""
    return EntryKey(kind, label)


def _no_number(constant: str) -> NoReturn:
    raise ValueError(f"{constant} is no number")


def _upserted(raw: Raw, errors: list[ConfigError]) -> list[Raw]:
    upsert = raw.get("upsert")
    if upsert is None:
        return []
    entries = upsert.get("resource-list") if isinstance(upsert, dict) else upsert
    if entries is None:
        return []
    if not isinstance(entries, list):
        errors.append(
            ConfigError("upsert.resource-list", f"expected a list, got {schema.format_value(upsert)}")
        )
        return []
    return entries


def _removed(raw: Raw, errors: list[ConfigError]) -> set[EntryKey]:
    remove = raw.get("remove")
    if remove is None:
        return set()
    if not isinstance(remove, dict):
        errors.append(ConfigError("remove", f"expected an object, got {schema.format_value(remove)}"))
        return set()
    removed: set[EntryKey] = set()
    for kind, names in remove.items():
        if names is None:
            continue
        if not isinstance(names, list) or not all(isinstance(n, str) for n in names):
            errors.append(
                ConfigError(f"remove.{kind}", f"expected a list of names, got {schema.format_value(names)}")
            )
        elif kind == LIMITS_KIND:
            removed |= {EntryKey(kind, "")} if names else set()
        else:
            removed |= {EntryKey(kind, name) for name in names}
    return removed


def _check_labels(
    entries: list[Any], where: str, places: dict[EntryKey, str], errors: list[ConfigError]
) -> None:
    """Check the kind and label of each entry, and record the place of each entry."""
    for i, entry in enumerate(entries):
        place = f"{where}[{i}]"
        if not isinstance(entry, dict) or not isinstance(entry.get("entry-kind"), str):
            errors.append(ConfigError(place, "expected an object with an entry-kind"))
            continue
        metadata = entry.get("metadata")
        if metadata is not None and not isinstance(metadata, dict):
            errors.append(
                ConfigError(f"{place}.metadata", f"expected an object, got {schema.format_value(metadata)}")
            )
            continue
        label = (metadata or {}).get("label")
        if entry["entry-kind"] in LABELLED_KINDS and not schema.text(label):
            errors.append(
                ConfigError(f"{place}.metadata.label", f"expected a text, got {schema.format_value(label)}")
            )
            continue
        if label is not None and not isinstance(label, str):
            errors.append(
                ConfigError(f"{place}.metadata.label", f"expected a text, got {schema.format_value(label)}")
            )
            continue
        key = key_of(entry)
        if key in places and key.kind in KINDS:
            errors.append(ConfigError(place, f"expected one entry of {key}, got two"))
        places.setdefault(key, place)


def _build(
    raw: Raw,
    previous: Document | None,
    same: Callable[[Raw, Raw], bool],
    order: dict[EntryKey, str] | None = None,
) -> Result[Document, list[ConfigError]]:
    errors: list[ConfigError] = []
    generation, base_version = schema.read(schema.HEAD, raw, "", errors)
    entries = raw.get("resource-list")
    found: dict[EntryKey, str] = {}
    if not isinstance(entries, list):
        errors.append(ConfigError("resource-list", f"expected a list, got {schema.format_value(entries)}"))
    else:
        _check_labels(entries, "resource-list", found, errors)
    if errors:
        return Err(errors[: schema.MAX_REPORTED_ERRORS])
    document = Document(raw, generation, base_version)
    if order is not None:  # for a PATCH, only its own entries have a place
        found = {key: order.get(key) or f"{key.kind} {key.label}" for key in found}
    for entry in document.entries:
        key = key_of(entry)
        if key.kind in KINDS:
            old = previous.entries_by_key.get(key) if previous else None
            if old is not None and same(old[0], entry):
                document.add(key, entry, old[1])
            else:
                _read(document, key, entry, found[key], errors)
    if not errors:
        _check_references(document, found, errors)
    return Err(errors[: schema.MAX_REPORTED_ERRORS]) if errors else Ok(document)


def _read(document: Document, key: EntryKey, raw: Raw, place: str, errors: list[ConfigError]) -> None:
    errors_before = len(errors)
    spec = raw.get("spec")
    values = schema.read(KINDS[key.kind], {} if spec is None else spec, f"{place}.spec", errors)
    if len(errors) > errors_before:
        return
    entry: Entry | None
    match key.kind:
        case "route-table":
            entry = _route(key.label, values, place, errors)
        case "services":
            entry = ServiceEntry(key.label, *values)
        case "tenants":
            entry = TenantEntry(key.label, *values)
        case _:
            entry = Limits(*values)
    if entry is not None:
        document.add(key, raw, entry)


def _route(label: str, values: list[Any], place: str, errors: list[ConfigError]) -> RouteEntry | None:
    host, prefix, kind, deadline, target_latency, precedence, tries, public, target, weighted = values
    target_latency = deadline if target_latency is None else target_latency
    if target_latency - deadline >= MAX_TARGET_LATENCY_EXCESS_S:
        reason = f"expected less than a minute beyond deadline-s ({deadline:g}), got {target_latency:g}"
        errors.append(ConfigError(f"{place}.spec.target-latency-s", reason))
    if not target and not weighted:
        errors.append(ConfigError(f"{place}.spec.target", "expected a target or a list of weighted ones"))
        return None
    targets = weighted or ((target, 1.0),)
    return RouteEntry(
        label,
        host,
        prefix,
        kind == "safe",
        deadline,
        target_latency,
        precedence,
        tries,
        public,
        targets,
        target if weighted else None,
    )


def _check_references(document: Document, places: dict[EntryKey, str], errors: list[ConfigError]) -> None:
    """Check references between entries, and that hosts with prefixes, and keys, are unique."""
    _check_routes(document, places, errors)
    _check_keys(document, places, errors)


def _check_routes(document: Document, places: dict[EntryKey, str], errors: list[ConfigError]) -> None:
    owners: dict[tuple[str, str], str] = {}  # the route of each host and prefix
    for route in document.routes.values():
        place = places[EntryKey("route-table", route.label)]
        for service, _ in route.targets:
            if service not in document.services:
                errors.append(ConfigError(f"{place}.spec", f"expected a known service, got {service}"))
        if route.unused_target is not None and route.unused_target not in document.services:
            errors.append(
                ConfigError(f"{place}.spec.target", f"expected a known service, got {route.unused_target}")
            )
        owner = owners.setdefault((route.host, route.prefix), route.label)
        if owner != route.label:
            reason = f"expected one of its own on this host, got that of {owner}"
            errors.append(ConfigError(f"{place}.spec.path-prefix", reason))


def _check_keys(document: Document, places: dict[EntryKey, str], errors: list[ConfigError]) -> None:
    owners: dict[str, str] = {}  # the tenant of each API key
    for tenant in document.tenants.values():
        for key in tenant.keys:
            owner = owners.setdefault(key, tenant.label)
            if owner != tenant.label:
                place = f"{places[EntryKey('tenants', tenant.label)]}.spec.api-keys"
                errors.append(ConfigError(place, f"expected keys of its own, got one of {owner}"))


LIMITS_KIND: Final = "limits"
KINDS: Final = {
    "route-table": schema.ROUTE,
    "services": schema.SERVICE,
    "tenants": schema.TENANT,
    LIMITS_KIND: schema.LIMITS,
}
LABELLED_KINDS: Final = ("route-table", "services", "tenants")
