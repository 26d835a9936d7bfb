"""The settings file of a process (YAML): its typed form, the table of its fields, and its reader.

found = settings.read(os.environ)   # Ok(Settings) or Err([Fault, ...])
"""

from __future__ import annotations

import os
from collections.abc import Mapping
from typing import Any, NamedTuple, TypeVar, cast

import yaml  # type: ignore[import-untyped]
from result import Err, Ok, Result

from gateway.runtime import settings_schema
from gateway.runtime.address import MAX_PORT, host_port
from gateway.runtime.settings_schema import Fault, Field, above_zero, not_negative
from gateway.state_machine import Address

VARIABLE = "EIDERSTAGE_NODE_FILE"
PORT_RANGE_ENDS = 2  # first and last port
PORT_OFFSETS = {"proxy": 0, "controller": 1}
"""Offset of a program's own port from the first port of `network.port-range`."""

REQUIRED_LISTENERS = {"proxy": ("front", "ready"), "controller": ("control",)}
"""Fields of `network.listen` that a program needs."""


class Limits(NamedTuple):
    """Resources of the process: cores and shares of one, megabytes (10**6), descriptors, megabits/s."""

    cpu_share: float
    cores: float
    memory_mb: float
    max_fds: int
    link_mbps: float
    disk_mb: float


class NodeSettings(NamedTuple):
    """The machine and the role of the process (`self` in the file). `data_dir` is None without a disk."""

    node: str
    role: str
    machine_class: str
    serves: tuple[str, ...]
    ip: str
    zone: str
    region: str
    counted: bool
    fresh_start: bool
    data_dir: str | None
    limits: Limits


class Listen(NamedTuple):
    """Addresses that serve callers from outside; None if not served here."""

    front: Address | None
    ready: Address | None
    control: Address | None


class Network(NamedTuple):
    """Own addresses, first and last port for messages between processes, seeds, and regions by zone."""

    listen: Listen
    port_range: tuple[int, int]
    seeds: tuple[Address, ...]
    zones: dict[str, str]


class Provider(NamedTuple):
    """How backends register: they send a heartbeat every `beat_s` seconds."""

    beat_s: float


class FaultBudget(NamedTuple):
    """The number of counted machines, or zones, or regions that may be lost at once."""

    machines: int
    zones: int
    regions: int


class Bounds(NamedTuple):
    """Parameters of the rules: seconds (`_s`), ratios (`ratio`, `excess`) and requests (`slack`)."""

    seed_staleness_s: float
    addr_reuse_s: float
    contact_s: float
    order_ack_s: float
    sync_s: float
    drain_s: float
    grace_s: float
    loss_slack_s: float
    apply_s: float
    downgrade_s: float
    stretch_max_s: float
    revoke_closed: bool
    revoke_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    quota_window_s: float
    quota_excess: float
    quota_slack: float
    recovery_s: float


class Terms(NamedTuple):
    """The contracts in force, the fault budget, and the parameters of the rules."""

    contracts: tuple[str, ...]
    fault_budget: FaultBudget
    bounds: Bounds


class Settings(NamedTuple):
    """All settings of a process."""

    own: NodeSettings
    network: Network
    provider: Provider
    terms: Terms

    def own_address(self, program: str) -> Address:
        """Address of a program (`proxy` or `controller`) on this machine for messages between processes."""
        return f"{self.own.ip}:{self.network.port_range[0] + PORT_OFFSETS[program]}"

    def controller_at(self, control_address: Address) -> Address:
        """Address for messages between processes of the controller that serves a `control` address."""
        return f"{host_port(control_address)[0]}:{self.network.port_range[0] + PORT_OFFSETS['controller']}"

    def missing_listeners(self, program: str) -> list[Fault]:
        """A fault for each listen address that the program needs but the file doesn't contain."""
        return [
            Fault(f"network.listen.{name}", f"is missing, and the {program} needs it")
            for name in REQUIRED_LISTENERS[program]
            if getattr(self.network.listen, name) is None
        ]


def _port_range(ports: tuple[int, ...]) -> str:
    is_valid = len(ports) == PORT_RANGE_ENDS and 0 < ports[0] < ports[1] <= MAX_PORT
    return "" if is_valid else f"must be two ports, the lower one first, not {list(ports)}"


def _bound(name: str, default: float) -> Field:
    return Field(f"terms.bounds.{name}", settings_schema.number, default, not_negative)


FIELDS = (
    Field("self.node", settings_schema.text, "node"),
    Field("self.role", settings_schema.text, "role"),
    Field("self.machine-class", settings_schema.text, "edge"),
    Field("self.serves", settings_schema.sequence_of(settings_schema.text), ()),
    Field("self.ip", settings_schema.text),
    Field("self.zone", settings_schema.text, "zone"),
    Field("self.region", settings_schema.text, "region"),
    Field("self.counted", settings_schema.boolean, True),
    Field("self.fresh-start", settings_schema.boolean, False),
    Field("self.data-dir", settings_schema.text, None),
    Field("self.limits.cpu-share", settings_schema.number, 1.0, above_zero),
    Field("self.limits.cores", settings_schema.number, 1.0, above_zero),
    Field("self.limits.memory-mb", settings_schema.number, 300.0, above_zero),
    Field("self.limits.max-fds", settings_schema.integer, 1024, above_zero),
    Field("self.limits.link-mbps", settings_schema.number, 1000.0, above_zero),
    Field("self.limits.disk-mb", settings_schema.number, 0.0, not_negative),
    Field("network.listen.front", settings_schema.address, None),
    Field("network.listen.ready", settings_schema.address, None),
    Field("network.listen.control", settings_schema.address, None),
    Field(
        "network.port-range",
        settings_schema.sequence_of(settings_schema.integer),
        settings_schema.REQUIRED,
        _port_range,
    ),
    Field("network.seeds", settings_schema.sequence_of(settings_schema.address), ()),
    Field("network.zones", settings_schema.mapping_of(settings_schema.text), {}),
    Field("provider.beat-s", settings_schema.number, 1.0, above_zero),
    Field("terms.contracts", settings_schema.sequence_of(settings_schema.text), ()),
    Field("terms.fault-budget.machines", settings_schema.integer, 1, not_negative),
    Field("terms.fault-budget.zones", settings_schema.integer, 0, not_negative),
    Field("terms.fault-budget.regions", settings_schema.integer, 0, not_negative),
    _bound("seed-staleness-s", 3.0),
    _bound("addr-reuse-s", 2.0),
    _bound("contact-s", 3.0),
    _bound("order-ack-s", 5.0),
    _bound("sync-s", 4.0),
    _bound("drain-s", 2.5),
    _bound("grace-s", 6.0),
    _bound("loss-slack-s", 0.2),
    _bound("apply-s", 2.5),
    _bound("downgrade-s", 0.25),
    _bound("stretch-max-s", 8.0),
    Field("terms.bounds.revoke-closed", settings_schema.boolean, False),
    _bound("revoke-s", 5.0),
    _bound("retry-ratio", 0.2),
    _bound("retry-window-s", 10.0),
    _bound("retry-slack", 64.0),
    _bound("quota-window-s", 5.0),
    _bound("quota-excess", 0.1),
    _bound("quota-slack", 20.0),
    _bound("recovery-s", 15.0),
)

SettingsResult = Result[Settings, list[Fault]]


def read(environ: Mapping[str, str]) -> SettingsResult:
    """The settings in the file named by the environment, or all faults in it."""
    path = environ.get(VARIABLE, "")
    return read_file(path) if path else Err([Fault(VARIABLE, "is not set")])


def read_file(path: str) -> SettingsResult:
    """The settings in a file, or all faults with their places."""
    try:
        with open(path, encoding="utf-8") as file:
            document = yaml.load(file, Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader))
    except OSError as error:
        return Err([Fault(path, error.strerror or str(error))])
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        return Err([_yaml_fault(path, error)])
    if not isinstance(document, dict):
        return Err([Fault(path, "holds no tables")])
    return read_document(document)


def read_document(document: Mapping[str, object]) -> SettingsResult:
    """The settings in the content of a file."""
    found = settings_schema.read_table(document, FIELDS)
    if isinstance(found, Err):
        return found
    values = found.ok_value
    own = _build(NodeSettings, values, "self.", limits=_build(Limits, values, "self.limits."))
    network = _build(Network, values, "network.", listen=_build(Listen, values, "network.listen."))
    terms = _build(
        Terms,
        values,
        "terms.",
        fault_budget=_build(FaultBudget, values, "terms.fault-budget."),
        bounds=_build(Bounds, values, "terms.bounds."),
    )
    return Ok(Settings(own, network, _build(Provider, values, "provider."), terms))


class FileStat(NamedTuple):
    """The attributes by which a changed file is recognized."""

    modified_ns: int
    size: int
    inode: int


class SettingsFile:
    """The file on disk. It is polled, because whoever changes it may not send SIGHUP."""

    def __init__(self, environ: Mapping[str, str]) -> None:
        self.environ = environ
        self.last_stat = self._stat()

    def changed(self) -> bool:
        """Whether the file was replaced or modified since the last check."""
        before = self.last_stat
        self.last_stat = self._stat()
        return self.last_stat is not None and self.last_stat != before

    def read(self) -> SettingsResult:
        """Like the function `read`; the current file then counts as checked."""
        self.last_stat = self._stat()
        return read(self.environ)

    def _stat(self) -> FileStat | None:
        try:
            found = os.stat(self.environ.get(VARIABLE, ""))
        except OSError:
            return None
        return FileStat(found.st_mtime_ns, found.st_size, found.st_ino)


T = TypeVar("T")


def _build(cls: type[T], values: Mapping[str, object], prefix: str, **parts: object) -> T:
    names = cast(Any, cls)._fields
    return cls(*(parts[name] if name in parts else values[prefix + name.replace("_", "-")] for name in names))


def _yaml_fault(path: str, error: Exception) -> Fault:
    mark = getattr(error, "problem_mark", None)
    place = f"{path}:{mark.line + 1}:{mark.column + 1}" if mark is not None else path
    return Fault(place, getattr(error, "problem", None) or str(error))
