"""The record of a run: observations of clients, backends and operators, and the disruptions."""

from __future__ import annotations

from typing import Any, NamedTuple


class Sent(NamedTuple):
    """An attempt of a client. `way` is the ingress's machine; a `safe` attempt may be repeated."""

    at: float
    attempt: str
    request: int  # number of the request
    route: str
    host: str
    path: str
    key: str
    tenant: str
    zone: str
    way: str
    safe: bool
    is_config_check: bool  # only tests which configuration is in force


class Answered(NamedTuple):
    """The outcome of an attempt. Status 0: connection ended, -1: client gave up, -2: never read."""

    at: float
    attempt: str
    status: int
    fault: str  # error in the answer; empty if there is none
    retry_after: float


class Arrived(NamedTuple):
    """An attempt at a backend. `ran` is whether the backend began to execute it."""

    at: float
    attempt: str
    backend: str
    service: str
    tenant: str
    path: str
    ran: bool
    why: str


class Order(NamedTuple):
    """A configuration change of an operator, and its answer (0: none yet)."""

    sent: float
    at: float
    generation: int
    base: int
    valid: bool
    status: int
    by: str  # the machine that answered
    who: str
    document: Any  # the resulting configuration
    unheard: float = 0.0  # when the last lost acknowledgement was sent


class Repeat(NamedTuple):
    """An acknowledged change that was sent again, and its answer (0: none yet)."""

    at: float
    generation: int
    status: int
    by: str


class Read(NamedTuple):
    """A configuration that was read."""

    at: float
    status: int
    generation: int
    same: bool  # equal to the change sent with that generation
    by: str


class BackendEvent(NamedTuple):
    """An event of a backend: `starts`, `draining` or `gone` (both acknowledged), `ends`."""

    at: float
    what: str
    backend: str
    service: str
    address: str
    by: str


class Disruption(NamedTuple):
    """A disruption of machines, with its time span. `core` is whether it affects the core."""

    begins: float
    ends: float
    kind: str
    machines: tuple[str, ...]
    core: bool
    description: str
    planned: bool = False


class Record:
    """The record of a run, and its cost."""

    def __init__(self) -> None:
        self.sent: list[Sent] = []
        self.answered: dict[str, Answered] = {}
        self.arrived: list[Arrived] = []
        self.orders: list[Order] = []
        self.repeats: list[Repeat] = []
        self.reads: list[Read] = []
        self.backend_events: list[BackendEvent] = []
        self.disruptions: list[Disruption] = []
        self.wanted: list[tuple[float, str, float, str]] = []  # first attempts: time, route, worth, tenant
        self.served: list[tuple[float, str, str, str, float]] = []  # time, route, tenant, zone, seconds
        self.taken: list[tuple[float, str, int]] = []  # time, ingress's machine, applied generation
        self.faults: list[str] = []  # logged by the programs
        self.ready: list[tuple[float, str, bool]] = []  # changes of readiness: time, machine, ready
        self.bounds: Any = None
        self.closing = 0.0  # time of the final fault; 0 if there was none
        self.until = 0.0
        self.figures: dict[str, Any] = {}
        self.log: list[str] | None = None  # messages, if requested

    def all_done(self) -> dict[str, Any]:
        """Return totals for tables."""
        ends: dict[str, int] = {}
        for answer in self.answered.values():
            key = str(answer.status)
            ends[key] = ends.get(key, 0) + 1
        return {
            "tries": len(self.sent),
            "served": len(self.served),
            "wanted": len(self.wanted),
            "ends": dict(sorted(ends.items())),
            **self.figures,
        }
