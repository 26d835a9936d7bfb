"""Digests of a running configuration and of the acknowledged document, compared to detect drift.

A configuration is a set of items (routes, keys, services, limits). Each item has a 64-bit digest over its
values. The digest of the configuration is their sum modulo 2**64, so it doesn't depend on the order of
entries.
"""

from __future__ import annotations

from collections.abc import Iterator
from hashlib import blake2b
from typing import NamedTuple

from gateway.config.document import Document, Limits, RouteEntry
from gateway.config.routing import CompiledConfig, Node, Route, Service, Tenant, cumulative_shares
from gateway.config.schema import Difference

MASK = 2**64 - 1
ROUTE = (
    "label",
    "hostname",
    "path-prefix",
    "safe",
    "deadline-s",
    "target-latency-s",
    "precedence",
    "max-tries",
    "public",
    "targets",
    "shares added up",
)
TENANT = ("label", "precedence", "rate-per-s", "burst")
SERVICE = ("health-path", "max-conns")
LIMITS = ("max-header-bytes", "max-body-bytes", "header-timeout-s", "idle-timeout-s")
FIELDS = {"route": ROUTE, "key": TENANT, "service": SERVICE, "limits": LIMITS, "keys": ("asked",)}

ItemKey = tuple[str, bytes, bytes]
"""Identifies an item: its kind, then host and prefix of a route, the key of a tenant, or a label. It is a
plain tuple because its `repr` is part of the digest that nodes compare."""

ItemValues = tuple[object, ...]
"""The values of an item that requests use, in the order of `FIELDS`; a plain tuple for the same reason."""

Item = Route | Tenant | Service | Limits | tuple[bool]
"""The parts of a configuration that requests use; the tuple contains whether a key is required."""


class ExpectedItem(NamedTuple):
    """An item according to the document: its label, the values that requests use, and their digest."""

    label: str
    values: ItemValues
    digest: int


class ExpectedDigests:
    """The expected digests of all items, computed from the document alone; `total` is the digest of all.

    Unchanged items are reused from `previous`.
    """

    __slots__ = ("generation", "items", "total")

    def __init__(self, document: Document, previous: ExpectedDigests | None = None) -> None:
        self.generation = document.generation
        self.items: dict[ItemKey, ExpectedItem] = {}
        old = previous.items if previous else {}
        for name, label, values in _expected_items(document):
            old_item = old.get(name)
            same = old_item is not None and old_item.values == values and old_item.label == label
            self.items[name] = (
                old_item if old_item and same else ExpectedItem(label, values, item_digest(name, values))
            )
        self.total = sum(i.digest for i in self.items.values()) & MASK


def item_digest(name: ItemKey, values: ItemValues) -> int:
    """The 64-bit digest of an item, which is the same on all nodes for the same values."""
    return int.from_bytes(blake2b(repr((name, values)).encode(), digest_size=8).digest())


def digest(compiled_config: CompiledConfig) -> int:
    """The 64-bit digest of a compiled configuration: the sum over its items."""
    return sum(item_digest(key, values_of(item)) for key, item in iterate_items(compiled_config)) & MASK


def iterate_items(compiled_config: CompiledConfig) -> Iterator[tuple[ItemKey, Item]]:
    """All items that requests use, found by traversing the routing tree itself."""
    for host, root in compiled_config.hosts.items():
        level: list[tuple[bytes, Node]] = [(b"/", root)]
        while level:
            prefix, node = level.pop()
            if node.route is not None:
                yield ("route", host, prefix), node.route
            level += [(prefix + segment + b"/", child) for segment, child in node.children.items()]
    for key, tenant in compiled_config.keys.items():
        yield ("key", key, b""), tenant
    for label, service in compiled_config.services.items():
        yield ("service", label.encode(), b""), service
    yield ("limits", b"", b""), compiled_config.limits
    yield ("keys", b"", b""), (compiled_config.requires_key,)


class DriftScanner:
    """Scans a compiled configuration repeatedly, a few items per call, for unexpected differences."""

    def __init__(self, compiled_config: CompiledConfig, expected: ExpectedDigests) -> None:
        self.compiled_config = compiled_config
        self.expected = expected
        self.completed_passes = 0  # number of complete scans
        self._pending_items: list[tuple[ItemKey, Item]] = []

    def step(self, n: int) -> list[Difference]:
        """Check the next `n` items; at the start of each scan, also find missing items."""
        found: list[Difference] = []
        if not self._pending_items:
            self._pending_items = list(iterate_items(self.compiled_config))
            missing = self.expected.items.keys() - {name for name, _ in self._pending_items}
            found += [Difference(self._place(name), "absent", "present") for name in missing]
        for _ in range(min(n, len(self._pending_items))):
            found += self.check_item(*self._pending_items.pop())
        self.completed_passes += not self._pending_items
        return found

    def check_item(self, key: ItemKey, item: Item) -> list[Difference]:
        """Check one item that requests use; returns the fields that differ from the document."""
        running = values_of(item)
        expected = self.expected.items.get(key)
        if expected is None:
            return [Difference(f"{key[0]} {_label(key, running)}".rstrip(), "present", "absent")]
        return self._fields(key, running, expected) if item_digest(key, running) != expected.digest else []

    def _place(self, name: ItemKey) -> str:
        return f"{name[0]} {self.expected.items[name].label}".rstrip()

    def _fields(self, name: ItemKey, running: ItemValues, item: ExpectedItem) -> list[Difference]:
        place = self._place(name)
        return [
            Difference(f"{place}.{field}", str(was), str(to))
            for field, was, to in zip(FIELDS[name[0]], running, item.values, strict=True)
            if was != to
        ]


def _label(name: ItemKey, running: ItemValues) -> str:
    """Label of an item that isn't in the document; for a key, which is secret, the tenant's label."""
    return str(running[0]) if name[0] in ("route", "key") else name[1].decode()


def values_of(item: Item) -> ItemValues:
    """The values of an item that requests use, in the order of `FIELDS`."""
    if isinstance(item, Route | Tenant):
        return item.values()
    return tuple(item)


def _expected_items(document: Document) -> Iterator[tuple[ItemKey, str, ItemValues]]:
    for route in document.routes.values():
        yield ("route", route.host.encode(), route.prefix.encode()), route.label, _route(route)
    for tenant in document.tenants.values():
        for key in tenant.keys:
            yield ("key", key.encode(), b""), tenant.label, (tenant.label, *tenant[2:])
    for service in document.services.values():
        yield ("service", service.label.encode(), b""), service.label, tuple(service[1:])
    yield ("limits", b"", b""), "", tuple(document.limits)
    yield ("keys", b"", b""), "", (bool(document.tenants),)


def _route(r: RouteEntry) -> ItemValues:
    return (*r[:10], cumulative_shares(r.targets))
