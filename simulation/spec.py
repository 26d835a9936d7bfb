"""Specification of a simulation run: deployment, day and disruptions, read from TOML; fields have defaults.

Times are in seconds.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field, fields, replace
from pathlib import Path
from typing import Any, TypeVar, get_type_hints

T = TypeVar("T")


@dataclass(frozen=True)
class Service:
    """A service and its backends. `when_full`, a full backend's response: `503`, `reset` or `silent`."""

    name: str = "service"
    backends: int = 6
    capacity: int = 2
    queue: int = 4
    max_conns: int = 140
    when_full: str = "503"
    slow_when_full: float = 0.0  # factor on the work's time with all slots taken; 0: none
    tells_load: bool = True
    cold_s: float = 3.0
    spread: float = 0.2  # relative spread of the backends' speed
    idle_s: float = 10.0  # time after which backends close idle connections
    closes: float = 0.01  # fraction of responses after which they close the connection


@dataclass(frozen=True)
class Kind:
    """A kind of request: its route's parameters, its rate (requests a second), and its work at a backend."""

    name: str = "kind"
    service: str = "service"
    also: str = ""  # a service that it is sometimes routed to
    safe: bool = True
    rate: float = 20.0
    work_s: float = 0.1
    aim_s: float = 0.5
    deadline_s: float = 2.5
    worth: float = 1.0
    late: float = 0.5
    repeats: int = 2  # retries by a client
    tries: int = 2
    precedence: int = 1


@dataclass(frozen=True)
class Tenants:
    """The tenants.

    Their number, Zipf's exponent of their rates, and `headroom`, the allowance of each as a multiple of its
    usual rate. Without `limited` none has a limit.
    """

    count: int = 8
    uneven: float = 0.9
    headroom: float = 1.5
    burst_s: float = 1.0  # the burst, in seconds of the rate
    limited: bool = True


@dataclass(frozen=True)
class Links:
    """Network links: one-way delays, probabilities that a datagram is lost or duplicated, and bandwidth."""

    within: float = 0.0003
    between: float = 0.0014
    client: float = 0.008
    loss: float = 0.001
    twice: float = 0.0
    mbps: float = 1000.0


@dataclass(frozen=True)
class Bounds:
    """The parameters of the rules, as in the settings file."""

    seed_staleness_s: float = 3.0
    addr_reuse_s: float = 2.0
    contact_s: float = 3.0
    order_ack_s: float = 5.0
    sync_s: float = 4.0
    drain_s: float = 2.5
    grace_s: float = 6.0
    loss_slack_s: float = 0.2
    apply_s: float = 2.5
    downgrade_s: float = 0.25
    stretch_max_s: float = 8.0
    revoke_s: float = 5.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 68.0
    quota_window_s: float = 5.0
    quota_excess: float = 0.1
    quota_slack: float = 20.0
    recovery_s: float = 15.0


@dataclass(frozen=True)
class Disruption:
    """A fault or change during a day. It begins at `at` and lasts `lasts` seconds; `much` is its size.

    `which` selects machines, backends or variants by a number that is valid in any deployment.
    """

    kind: str = ""
    at: float = 0.0
    lasts: float = 3.0
    which: int = 0
    much: float = 1.0


@dataclass(frozen=True)
class Day:
    """A simulated day: its length, when traffic begins, if there is any, and `load`, a factor on all rates.

    The closing fault, a kind of disruption, begins at `closing` seconds (0: there is none).
    """

    seconds: float = 45.0
    warm: float = 10.0
    traffic: bool = True
    load: float = 1.0
    clients: int = 12  # in each zone
    closing: float = 0.0
    closing_kind: str = "all_power"
    config_changes: float = 0.0  # mean seconds between configuration changes; 0: none but disruptions
    bodies: int = 300  # largest body of requests that may not be repeated, in bytes
    impatient: float = 0.1  # fraction of the clients that retry at once, and more often


@dataclass(frozen=True)
class Spec:
    """Everything that determines a simulation run, except its seed."""

    name: str = "unnamed"
    zones: tuple[str, ...] = ("kgn-a", "kgn-b", "kgn-c")
    controllers: tuple[int, ...] = (1, 1, 1)
    proxies: tuple[int, ...] = (5, 5, 4)
    sampling_active: int = 0
    tolerance: int = 1  # number of core machines that may be lost at once
    beat_s: float = 1.3
    disk_s: float = 0.002  # time of one sync
    cost_s: float = 0.0001  # processor time of one event
    tick_factor: float = 1.0  # factor on the programs' tick intervals
    serialized: bool = False  # whether messages are serialized and parsed
    injected_bug: str = ""  # name of a bug injected into the system, which the checkers must find
    services: tuple[Service, ...] = (Service(),)
    kinds: tuple[Kind, ...] = (Kind(),)
    tenants: Tenants = field(default_factory=Tenants)
    links: Links = field(default_factory=Links)
    bounds: Bounds = field(default_factory=Bounds)
    day: Day = field(default_factory=Day)
    disruptions: tuple[Disruption, ...] = ()


@dataclass(frozen=True)
class Sweep:
    """Values of parameters (by dotted names such as `day.load`) to combine, and the seeds for each point."""

    seeds: int = 20
    first_seed: int = 1
    values: Mapping[str, tuple[Any, ...]] = field(default_factory=dict)


NESTED: dict[str, Any] = {"services": Service, "kinds": Kind, "disruptions": Disruption}


def make(cls: type[T], table: Mapping[str, Any], place: str = "") -> T:
    """Make a dataclass from a table; ValueError names a field that is unknown or of the wrong type."""
    hints = get_type_hints(cls)
    known = {f.name for f in fields(cls)}  # type: ignore[arg-type]
    values: dict[str, Any] = {}
    for raw, value in table.items():
        name = raw.replace("-", "_")
        where = f"{place}{raw}"
        if name not in known:
            raise ValueError(f"{where}: unknown")
        values[name] = _value(name, hints[name], value, where)
    return cls(**values)


def _value(name: str, kind: Any, value: Any, where: str) -> Any:
    if name in NESTED:
        return tuple(make(NESTED[name], item, f"{where}[{i}].") for i, item in enumerate(value))
    if isinstance(value, dict) and isinstance(kind, type) and hasattr(kind, "__dataclass_fields__"):
        return make(kind, value, f"{where}.")
    if kind is float and isinstance(value, int) and not isinstance(value, bool):
        return float(value)
    if isinstance(kind, type) and not isinstance(value, kind):
        raise ValueError(f"{where}: expected {kind.__name__}, got {value!r}")
    return tuple(value) if isinstance(value, list) else value


def load(path: str | Path) -> tuple[Spec, Sweep]:
    """Read an experiment's file. OSError if it can't be read, ValueError if it is invalid."""
    with open(path, "rb") as file:
        table = tomllib.load(file)
    sweep = table.pop("sweep", {})
    table.setdefault("name", Path(path).stem)
    values = {name: tuple(each) for name, each in sweep.pop("values", {}).items()}
    return make(Spec, table), replace(make(Sweep, sweep, "sweep."), values=values)


def change(spec: Spec, values: Mapping[str, Any]) -> Spec:
    """A copy with some parameters, given by dotted names, changed; ValueError if one is unknown."""
    for name, value in values.items():
        spec = _change(spec, name.replace("-", "_").split("."), value)
    return spec


def _change(thing: Any, names: list[str], value: Any) -> Any:
    if len(names) > 1:
        value = _change(getattr(thing, names[0]), names[1:], value)
    elif not hasattr(thing, names[0]):
        raise ValueError(f"{names[0]}: unknown")
    return replace(thing, **{names[0]: tuple(value) if isinstance(value, list) else value})
