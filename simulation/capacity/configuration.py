"""Cost of a configuration by its size: bytes, processor time and memory, in total and for one change."""

from __future__ import annotations

import gc
import json
import random
from collections.abc import Callable, Iterator
from functools import partial
from time import process_time
from typing import Any, NamedTuple, TypeVar

from gateway.config import document as documents_of
from gateway.config.changes import ConfigState, decide, without_history
from gateway.config.digest import ExpectedDigests
from gateway.config.routing import CompiledConfig
from gateway.drift.live_check import LiveCheck
from gateway.drift.quota_windows import Windows, expected_windows
from gateway.quota import events as quota_events
from gateway.quota.quota_client import QuotaClient
from gateway.quota.shard_owner import ShardOwner
from simulation.capacity import design, documents
from simulation.capacity.isolation import isolated
from simulation.capacity.samples import Sample

T = TypeVar("T")

AXES = ("routes", "tenants", "whole")
"""The growing part: routes only, tenants only, or both with the services."""
REPETITIONS = 3
QUICK_REPETITIONS = 1
QUOTA_SPAN_S = 5.0
STATM = "/proc/self/statm"
PAGE_BYTES = 4096
CHANGED_DEADLINE_S = 3.5


class Shape(NamedTuple):
    """A point of the study: its axis, its size along it, and the whole configuration."""

    axis: str
    size: int
    routes: int
    tenants: int
    services: int


class Stopwatch:
    """The processor time of named steps, with several repetitions each."""

    def __init__(self) -> None:
        self.seconds: dict[str, list[float]] = {}

    def run(self, step: str, call: Callable[[], T]) -> T:
        """Make a call, and record its processor time."""
        began = process_time()
        result = call()
        self.seconds.setdefault(step, []).append(process_time() - began)
        return result


class Ingress:
    """The state of an ingress for a configuration, applied as in `ProxyNode.apply_config`."""

    def __init__(self) -> None:
        self.config_state = ConfigState()
        self.compiled_config: CompiledConfig | None = None
        self.expected: ExpectedDigests | None = None
        self.live: LiveCheck | None = None
        self.quota_windows: Windows = {}
        self.quota_client = QuotaClient(QUOTA_SPAN_S, random.Random(1))

    def apply_config(self, value: bytes, watch: Stopwatch, prefix: str) -> None:
        """Apply a committed value."""
        config_state = watch.run(
            f"{prefix}: decode the agreed value", lambda: ConfigState.decode(value, self.config_state)
        )
        document = _present(config_state.document)
        compiled_config = watch.run(
            f"{prefix}: compile the matchers", lambda: CompiledConfig(document, self.compiled_config)
        )
        expected = watch.run(f"{prefix}: digests", lambda: ExpectedDigests(document, self.expected))
        allowances = quota_events.Allowances.of(compiled_config.tenants.values())
        watch.run(f"{prefix}: allowances", lambda: self.quota_client.handle(0.0, allowances))
        self.quota_windows = watch.run(
            f"{prefix}: planned quotas", lambda: expected_windows(document, QUOTA_SPAN_S)
        )
        self.live = watch.run(
            f"{prefix}: drift detector", lambda: LiveCheck(document, expected, compiled_config, self.live)
        )
        self.config_state = config_state
        self.compiled_config = compiled_config
        self.expected = expected


def shapes(axis: str, quick: bool) -> Iterator[Shape]:
    """Return five sizes along an axis; three small ones if `quick`."""
    for part in (64, 96, 128) if quick else (16, 8, 4, 2, 1):
        routes = design.ROUTES // part
        tenants = design.TENANTS // part
        services = max(1, design.SERVICES // part)
        if axis == "routes":
            yield Shape(axis, routes, routes, 100, design.SERVICES)
        elif axis == "tenants":
            yield Shape(axis, tenants, 100, tenants, design.SERVICES)
        else:
            yield Shape(axis, tenants, routes, tenants, services)


def measure(axis: str, quick: bool) -> Iterator[list[Sample]]:
    """Yield the samples of each shape, measured in separate processes so that memory is separate."""
    repetitions = QUICK_REPETITIONS if quick else REPETITIONS
    for shape in shapes(axis, quick):
        yield isolated(quick, measure_shape, shape, repetitions)


def settings(quick: bool) -> dict[str, Any]:
    """Return the description of the run that a recording contains."""
    return {"repetitions": QUICK_REPETITIONS if quick else REPETITIONS}


def measure_shape(shape: Shape, repetitions: int) -> list[Sample]:
    """Return all figures of a shape. Memory is that of the first repetition, as later ones reuse it."""
    body = json.dumps(documents.document(shape.routes, shape.tenants, shape.services)).encode()
    watch = Stopwatch()
    figures: dict[str, tuple[str, list[float]]] = {}

    def add_sample(figure: str, unit: str, value: float) -> None:
        figures.setdefault(figure, (unit, []))[1].append(value)

    for repetition in range(repetitions):
        _controller(shape, body, watch, add_sample, repetition == 0)
        _ingress(shape, body, watch, add_sample, repetition == 0)
    for step, seconds in watch.seconds.items():
        figures[step] = "s", seconds
    return [
        Sample(shape.axis, shape.size, figure, unit, tuple(values))
        for figure, (unit, values) in figures.items()
    ]


def _controller(
    shape: Shape,
    body: bytes,
    watch: Stopwatch,
    add_sample: Callable[[str, str, float], None],
    with_memory: bool,
) -> None:
    """Measure the leader accepting a whole configuration, then a change of a route, then a new key."""
    gc.collect()
    before = resident_mb()
    watch.run("controller: check", lambda: documents_of.parse(body))
    decision = watch.run("controller: decide a whole one", lambda: decide(ConfigState(), "PUT", body))
    config_state = _present(decision.config_state)
    value = watch.run("controller: encode", config_state.encode)
    document = _present(config_state.document)
    expected = watch.run("controller: digests", lambda: ExpectedDigests(document))
    shard_owner = ShardOwner(QUOTA_SPAN_S, random.Random(1))
    allowances = quota_events.Allowances.of(document.tenants.values())
    watch.run("controller: allowances", lambda: shard_owner.handle(0.0, allowances))
    if with_memory:
        add_sample("controller: memory", "MB", resident_mb() - before)
    add_sample("configuration as JSON", "bytes", len(body))
    add_sample("agreed value", "bytes", len(value))
    changes = {
        "one route": documents.route_entry(0, shape.services, CHANGED_DEADLINE_S),
        "one key": documents.tenant_entry(0, random.Random(2), keys=2),
    }
    for name, entry in changes.items():
        order = json.dumps(documents.patch(config_state.generation, entry)).encode()
        changed = watch.run(f"controller: decide {name}", partial(decide, config_state, "PATCH", order))
        after = _present(changed.config_state)
        encoded = watch.run(f"controller: encode {name}", after.encode)
        watch.run(
            f"controller: digests after {name}",
            partial(ExpectedDigests, _present(after.document), expected),
        )
        add_sample(f"{name} as an order", "bytes", len(order))
        add_sample(f"{name} as an agreed value", "bytes", len(encoded))


def _ingress(
    shape: Shape,
    body: bytes,
    watch: Stopwatch,
    add_sample: Callable[[str, str, float], None],
    with_memory: bool,
) -> None:
    """Measure an ingress applying a configuration, then one with a changed route, then one with a new key."""
    values = _values(shape, body)
    gc.collect()
    before = resident_mb()
    ingress = Ingress()
    for name, value in values.items():
        start = process_time()
        ingress.apply_config(value, watch, f"ingress, {name}")
        watch.seconds.setdefault(f"ingress: take up {name}", []).append(process_time() - start)
        if with_memory:
            add_sample(f"ingress: memory after {name}", "MB", resident_mb() - before)


def _values(shape: Shape, body: bytes) -> dict[str, bytes]:
    """Return the committed values that the ingress applies in order."""
    config_state = _present(decide(ConfigState(), "PUT", body).config_state)
    found = {"a whole one": without_history(config_state.encode())}
    for name, entry in (
        ("one route", documents.route_entry(0, shape.services, CHANGED_DEADLINE_S)),
        ("one key", documents.tenant_entry(0, random.Random(2), keys=2)),
    ):
        order = json.dumps(documents.patch(config_state.generation, entry)).encode()
        config_state = _present(decide(config_state, "PATCH", order).config_state)
        found[name] = without_history(config_state.encode())
    return found


def resident_mb() -> float:
    """Return the resident memory of this process in MB."""
    with open(STATM, encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE_BYTES / 1e6


def _present(value: T | None) -> T:
    if value is None:
        raise RuntimeError("a synthetic configuration was refused")
    return value
