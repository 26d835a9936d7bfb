"""What a run is told: a deployment, a day and its troubles, read from TOML; fields left out have defaults."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field, fields, replace
from pathlib import Path
from typing import Any, TypeVar, get_type_hints

T = TypeVar("T")


@dataclass(frozen=True)
class Service:
    """A service and its backends. `when_full`: `503`, `reset` or `silent`. Times are seconds."""

    name: str = "service"
    backends: int = 6
    capacity: int = 2
    queue: int = 4
    max_conns: int = 140
    when_full: str = "503"
    slow_when_full: float = 0.0  # times as long that work takes with all slots taken; 0: as long
    tells_load: bool = True
    cold_s: float = 3.0
    spread: float = 0.2  # of the backends' pace
    idle_s: float = 10.0  # after which backends close connections that carry nothing
    closes: float = 0.01  # part of the answers after which they close the connection


@dataclass(frozen=True)
class Kind:
    """A kind of request: its route's terms, how many a second come, and their work at the backend."""

    name: str = "kind"
    service: str = "service"
    also: str = ""  # a service that it goes to at times
    safe: bool = True
    rate: float = 20.0
    work_s: float = 0.1
    aim_s: float = 0.5
    deadline_s: float = 2.5
    worth: float = 1.0
    late: float = 0.5
    repeats: int = 2  # further tries of a client
    tries: int = 2
    precedence: int = 1


@dataclass(frozen=True)
class Tenants:
    """How many tenants, how uneven (Zipf's exponent), and the allowance of each as a multiple of its usual
    rate. `limited` false: none has a limit."""

    count: int = 8
    uneven: float = 0.9
    headroom: float = 1.5
    burst_s: float = 1.0  # the burst, in seconds of the rate
    limited: bool = True


@dataclass(frozen=True)
class Links:
    """One-way delays in seconds, chance that a datagram is lost or comes twice, megabits a second."""

    within: float = 0.0003
    between: float = 0.0014
    client: float = 0.008
    loss: float = 0.001
    twice: float = 0.0
    mbps: float = 1000.0


@dataclass(frozen=True)
class Bounds:
    """The rules' figures, as the settings file tells them."""

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
    """Something that befalls the deployment. `at` is in seconds of the day; `lasts` in seconds; `which`
    chooses among machines, backends or ways by a number, so that it means something in any deployment."""

    kind: str = ""
    at: float = 0.0
    lasts: float = 3.0
    which: int = 0
    much: float = 1.0


@dataclass(frozen=True)
class Day:
    """How long it is played, when traffic begins, if there is any; `load` is a factor on all rates. The
    closing fault strikes at `closing` seconds (0: there is none), and is a kind of trouble."""

    seconds: float = 45.0
    warm: float = 10.0
    traffic: bool = True
    load: float = 1.0
    clients: int = 12  # in each zone
    closing: float = 0.0
    closing_kind: str = "all_power"
    config_changes: float = 0.0  # mean seconds between changes of the configuration; 0: none but troubles
    bodies: int = 300  # bytes of the bodies of requests that may not be repeated, at most
    impatient: float = 0.1  # part of the clients that come back at once, and more often


@dataclass(frozen=True)
class Spec:
    """A whole experiment's run, but for its seed."""

    name: str = "unnamed"
    zones: tuple[str, ...] = ("kgn-a", "kgn-b", "kgn-c")
    controllers: tuple[int, ...] = (1, 1, 1)
    proxies: tuple[int, ...] = (5, 5, 4)
    sampling_active: int = 0
    tolerance: int = 1  # machines of the core that may be lost at once
    beat_s: float = 1.3
    disk_s: float = 0.002  # of one sync
    cost_s: float = 0.0001  # of processor time for an event
    tick_factor: float = 1.0  # times as long between ticks as in the programs
    serialized: bool = False  # messages go as bytes and are read again
    injected_bug: str = ""  # a fault that is put into the system, for the checkers to find
    services: tuple[Service, ...] = (Service(),)
    kinds: tuple[Kind, ...] = (Kind(),)
    tenants: Tenants = Tenants()
    links: Links = Links()
    bounds: Bounds = Bounds()
    day: Day = Day()
    disruptions: tuple[Disruption, ...] = ()


@dataclass(frozen=True)
class Sweep:
    """Which parameters take which values, for which seeds. Names are dotted, as `day.load`."""

    seeds: int = 20
    first_seed: int = 1
    values: Mapping[str, tuple[Any, ...]] = field(default_factory=dict)


NESTED: dict[str, Any] = {"services": Service, "kinds": Kind, "disruptions": Disruption}


def make(cls: type[T], table: Mapping[str, Any], place: str = "") -> T:
    """A dataclass from a table; ValueError names a field that is unknown or of the wrong type."""
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
    """An experiment's file. OSError or ValueError where it can't be had or read."""
    with open(path, "rb") as file:
        table = tomllib.load(file)
    sweep = table.pop("sweep", {})
    table.setdefault("name", Path(path).stem)
    values = {name: tuple(each) for name, each in sweep.pop("values", {}).items()}
    return make(Spec, table), replace(make(Sweep, sweep, "sweep."), values=values)


def change(spec: Spec, values: Mapping[str, Any]) -> Spec:
    """The experiment with some parameters at other values; names are dotted."""
    for name, value in values.items():
        spec = _change(spec, name.replace("-", "_").split("."), value)
    return spec


def _change(thing: Any, names: list[str], value: Any) -> Any:
    if len(names) > 1:
        value = _change(getattr(thing, names[0]), names[1:], value)
    elif not hasattr(thing, names[0]):
        raise ValueError(f"{names[0]}: unknown")
    return replace(thing, **{names[0]: tuple(value) if isinstance(value, list) else value})
