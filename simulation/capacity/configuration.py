"""What a configuration costs by its size: bytes, processor time and memory, as a whole and for one change."""

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
"""What grows: routes alone, tenants alone, or both with the services."""
REPETITIONS = 3
QUICK_REPETITIONS = 1
QUOTA_SPAN_S = 5.0
STATM = "/proc/self/statm"
PAGE_BYTES = 4096
CHANGED_DEADLINE_S = 3.5


class Shape(NamedTuple):
    """One point of the study: the axis along which it lies, its size there, and the whole configuration."""

    axis: str
    size: int
    routes: int
    tenants: int
    services: int


class Stopwatch:
    """Processor time of named steps, several repetitions each."""

    def __init__(self) -> None:
        self.seconds: dict[str, list[float]] = {}

    def run(self, step: str, call: Callable[[], T]) -> T:
        """Make a call and note the processor time that it took."""
        began = process_time()
        result = call()
        self.seconds.setdefault(step, []).append(process_time() - began)
        return result


class Ingress:
    """What an ingress keeps of a configuration, put in force as `ProxyNode.apply_config` does."""

    def __init__(self) -> None:
        self.config_state = ConfigState()
        self.compiled_config: CompiledConfig | None = None
        self.expected: ExpectedDigests | None = None
        self.live: LiveCheck | None = None
        self.quota_windows: Windows = {}
        self.quota_client = QuotaClient(QUOTA_SPAN_S, random.Random(1))

    def apply_config(self, value: bytes, watch: Stopwatch, prefix: str) -> None:
        """Put an agreed value in force."""
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
    """Five sizes along an axis; three small ones if it is to be quick."""
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
    """The samples of each shape, each from a process of its own so that memory can be told."""
    repetitions = QUICK_REPETITIONS if quick else REPETITIONS
    for shape in shapes(axis, quick):
        yield isolated(quick, measure_shape, shape, repetitions)


def settings(quick: bool) -> dict[str, Any]:
    """What a recording tells of how it was made."""
    return {"repetitions": QUICK_REPETITIONS if quick else REPETITIONS}


def measure_shape(shape: Shape, repetitions: int) -> list[Sample]:
    """All figures of one shape. Memory is that of the first repetition: later ones reuse what was freed."""
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
    """The leader takes a whole configuration, then a change of one route, then a new key."""
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
    """An ingress takes up a configuration, then one with a route changed, then one with a key more."""
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
    """The agreed values that the ingress gets one after the other."""
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
    """Resident memory of this process, in MB."""
    with open(STATM, encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE_BYTES / 1e6


def _present(value: T | None) -> T:
    if value is None:
        raise RuntimeError("a synthetic configuration was refused")
    return value
