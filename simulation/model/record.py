"""What a run leaves behind: all that clients, backends, operators and whoever makes trouble have seen."""

from __future__ import annotations

from typing import Any, NamedTuple


class Sent(NamedTuple):
    """A try of a client. `way` is the ingress's machine; if it is `safe` it may be repeated."""

    at: float
    attempt: str
    request: int  # number of the request, of which this is a try
    route: str
    host: str
    path: str
    key: str
    tenant: str
    zone: str
    way: str
    safe: bool
    is_config_check: bool  # asks only which configuration is in force


class Answered(NamedTuple):
    """What a try came to. Status 0: the connection ended, -1: the client gave up, -2: never read there."""

    at: float
    attempt: str
    status: int
    fault: str  # what is wrong with the answer, if anything
    retry_after: float


class Arrived(NamedTuple):
    """A try at a backend. `ran` says whether it began to work on it."""

    at: float
    attempt: str
    backend: str
    service: str
    tenant: str
    path: str
    ran: bool
    why: str


class Order(NamedTuple):
    """A call of the operator that changes the configuration, and its answer (0: none yet)."""

    sent: float
    at: float
    generation: int
    base: int
    valid: bool
    status: int
    by: str  # the machine that has answered
    who: str
    document: Any  # the whole configuration that it makes
    unheard: float = 0.0  # when an acknowledgement of it was lost on its way, the last time


class Repeat(NamedTuple):
    """An order that was sent again after it was acknowledged, and its answer (0: none yet)."""

    at: float
    generation: int
    status: int
    by: str


class Read(NamedTuple):
    """The configuration as read back."""

    at: float
    status: int
    generation: int
    same: bool  # as it was sent under that number
    by: str


class BackendEvent(NamedTuple):
    """Something that a backend does: `starts`, `draining` or `gone` (each acknowledged), `ends`."""

    at: float
    what: str
    backend: str
    service: str
    address: str
    by: str


class Disruption(NamedTuple):
    """What was done to machines, from when to when. `core`: it unsettles the core."""

    begins: float
    ends: float
    kind: str
    machines: tuple[str, ...]
    core: bool
    description: str
    planned: bool = False


class Record:
    """A run's record, and what it cost."""

    def __init__(self) -> None:
        self.sent: list[Sent] = []
        self.answered: dict[str, Answered] = {}
        self.arrived: list[Arrived] = []
        self.orders: list[Order] = []
        self.repeats: list[Repeat] = []
        self.reads: list[Read] = []
        self.backend_events: list[BackendEvent] = []
        self.disruptions: list[Disruption] = []
        self.wanted: list[tuple[float, str, float, str]] = []  # first tries: at, route, worth, tenant
        self.served: list[tuple[float, str, str, str, float]] = []  # at, route, tenant, zone, seconds
        self.taken: list[tuple[float, str, int]] = []  # at, ingress's machine, generation that it takes up
        self.faults: list[str] = []  # of the programs
        self.ready: list[tuple[float, str, bool]] = []  # news of readiness
        self.bounds: Any = None
        self.closing = 0.0  # when the closing fault struck, 0: none did
        self.until = 0.0
        self.figures: dict[str, Any] = {}
        self.log: list[str] | None = None  # messages, if they are wanted

    def all_done(self) -> dict[str, Any]:
        """Totals, for tables."""
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
