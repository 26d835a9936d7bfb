"""Settings, events and actions of the ingress's state machine. Times are in seconds."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple


class Effect(Enum):
    """Whether a request may be repeated: always, for a limited time by its deduplication key, or never."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """The set of backends that deduplicate a keyed request together."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """The result of an attempt, a health check or a counter call."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"


NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)  # outcomes of attempts that never ran


class Phase(Enum):
    """The phase of a backend in the backend list."""

    RUNNING = "running"
    STOPPING = "stopping"
    DELETED = "deleted"


class ListKind(Enum):
    """The content of a `ListUpdate`: a change, the complete list, a saved copy, or a failed fetch."""

    CHANGE = "change"
    FULL = "whole"
    SAVED = "saved"
    FAILED = "failed"


def _need(ok: bool, name: str, wanted: str, value: object) -> None:
    if not ok:
        raise ValueError(f"{name}: expected {wanted}, got {value!r}")


def _not_negative(owner: object, prefix: str, *names: str) -> None:
    for name in names:
        value = getattr(owner, name)
        _need(math.isfinite(value) and value >= 0, prefix + name, "a finite number of 0 or more", value)


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """One class of requests.

    `objective` is the latency objective and `deadline` the hard limit. `worth` and `late_worth` are the value
    of a response that is in time or late. `window` is the time for which a keyed request is deduplicated.
    """

    name: str
    effect: Effect
    objective: float
    deadline: float
    worth: float = 1.0
    late_worth: float = 0.0
    group: Group = Group.ALL
    window: float = 0.0

    def __post_init__(self) -> None:
        _need(isinstance(self.effect, Effect), "classes.effect", "an Effect", self.effect)
        _need(isinstance(self.group, Group), "classes.group", "a Group", self.group)
        _not_negative(self, "classes.", "objective", "deadline", "worth", "late_worth", "window")


@dataclass(frozen=True, slots=True)
class PlanSettings:
    """One plan: a quota (units per second, burst in units), a limit (a second token bucket) and a price.

    A rate of 0 means no quota. `max_open` caps a customer's open requests; 0 means no cap.
    """

    name: str
    rate: float
    burst: float
    price: float = 1.0
    over_worth: float = 0.0
    over_cost: float = 0.0
    max_open: int = 0
    limit_rate: float = 0.0
    limit_burst: float = 0.0
    limit_slack: float = 0.0

    def __post_init__(self) -> None:
        _not_negative(
            self,
            "plans.",
            "rate",
            "burst",
            "price",
            "over_worth",
            "over_cost",
            "max_open",
            "limit_rate",
            "limit_burst",
            "limit_slack",
        )


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of an ingress. `instances` is the number of ingresses, `me` the index of this one."""

    classes: tuple[ClassSettings, ...]
    plans: tuple[PlanSettings, ...]
    instances: int = 1
    me: int = 0
    zone: str = ""
    step: float = 0.0
    counter: bool = False
    counter_timeout: float = 0.05
    counter_price: float = 0.0
    max_units: float = 1.0
    settles: bool = False
    max_attempts: int = 1
    retry_after: bool = False
    max_retry_after: float = 0.0
    may_check_health: bool = False
    may_cancel: bool = False
    peers: bool = False
    peer_in_per_s: float = 0.0
    second_copies: bool = False
    list_on_request: bool = False
    list_poll_interval: float = 10.0
    load_in_answers: bool = False
    load_in_probes: bool = False
    drain_grace: float = 0.0
    fall_multiple: float = 1.0
    fall_after: float = 1.0
    start_capacity: float = 1.0
    slow_start_s: float = 0.0
    connect_timeout: float = 0.0
    late_fail_price: float = 0.0
    waste_price: float = 0.0
    cross_zone_price: float = 0.0
    health_check_price: float = 0.0

    def __post_init__(self) -> None:
        _need(len(self.classes) > 0, "classes", "at least one class", self.classes)
        _need(len(self.plans) > 0, "plans", "at least one plan", self.plans)
        _need(self.instances >= 1, "instances", "1 or more", self.instances)
        _need(self.max_attempts >= 1, "max_attempts", "1 or more", self.max_attempts)
        _not_negative(
            self,
            "",
            "me",
            "step",
            "counter_timeout",
            "counter_price",
            "max_units",
            "max_retry_after",
            "peer_in_per_s",
            "list_poll_interval",
            "drain_grace",
            "fall_multiple",
            "fall_after",
            "start_capacity",
            "slow_start_s",
            "connect_timeout",
            "late_fail_price",
            "waste_price",
            "cross_zone_price",
            "health_check_price",
        )


class BackendEntry(NamedTuple):
    """One entry of the backend list; `born` is the start time of the backend's process, 0 if unknown."""

    backend: str
    phase: Phase
    weight: float = 1.0
    kind: str = ""
    cell: int = 0
    born: float = 0.0
    zone: str = ""


class ListUpdate(NamedTuple):
    """The backend list or a change of it."""

    kind: ListKind
    version: int
    entries: tuple[BackendEntry, ...] = ()


class Request(NamedTuple):
    """A client's request, which must get exactly one final response.

    The customer's requests arrive at the `width` ingresses starting with number `first`.
    """

    id: str
    class_name: str
    plan: str
    customer: int
    expires_in: float
    units: float
    width: int = 1
    first: int = 0
    is_repeat: bool = False
    is_write: bool = False
    streams_body: bool = False  # its body is still being received, and is streamed to a backend
    context: Any = None  # further protocol data for decisions that know the protocol


class AttemptStarted(NamedTuple):
    """The response has started to be streamed."""

    request: str
    attempt: int
    backend: str
    elapsed: float


class AttemptWritten(NamedTuple):
    """The last byte of a streamed request was written; the latency of the backend is measured from here."""

    request: str
    attempt: int
    backend: str


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The end of an attempt. `done`: the request has its response; `spent`: its body can't be resent."""

    request: str
    attempt: int
    backend: str
    outcome: Outcome
    elapsed: float
    done: bool
    metered: int = 0
    true_units: float = 0.0
    load: Mapping[str, float] = field(default_factory=dict)
    spent: bool = False


class ClientGone(NamedTuple):
    """The client has disconnected and needs no response."""

    request: str


class TimerFired(NamedTuple):
    """A timer set by `SetTimer` has fired."""

    token: int


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """The result of a health check."""

    backend: str
    outcome: Outcome
    elapsed: float
    load: Mapping[str, float] = field(default_factory=dict)


class PeerMessage(NamedTuple):
    """A message from another ingress."""

    sender: int
    payload: bytes


class CounterReply(NamedTuple):
    """The reply to a counter call. OK: `total` is valid. ERROR: added, but the total is unknown."""

    name: int
    outcome: Outcome
    elapsed: float
    total: float


class Cordon(NamedTuple):
    """An operator's request to cordon a backend (`on`) or to uncordon it."""

    backend: str
    on: bool


class CordonEntry(NamedTuple):
    """A cordon in Unix time: its start, and its end (0 if the backend is still cordoned)."""

    since: float
    back: float = 0.0


class Cordons(NamedTuple):
    """All cordons; as an event: stored by another process of this ingress; as an action: to be stored."""

    cordon_entries: Mapping[str, CordonEntry]


class SiblingProcesses(NamedTuple):
    """The number of other running processes of this ingress, which share its traffic during an upgrade."""

    processes: int


Event = (
    ListUpdate
    | Request
    | AttemptWritten
    | AttemptStarted
    | AttemptEnded
    | ClientGone
    | TimerFired
    | HealthCheckEnded
    | PeerMessage
    | CounterReply
    | Cordon
    | Cordons
    | SiblingProcesses
)


class Attempt(NamedTuple):
    """Send the request to a backend; a `timeout` of None means until the client gives up."""

    request: str
    backend: str
    timeout: float | None = None


class CancelAttempt(NamedTuple):
    """Cancel an attempt."""

    request: str
    attempt: int


class Refuse(NamedTuple):
    """Send a rejection as the final response; a retry is harmless after `retry_after_s` seconds."""

    request: str
    retry_after_s: float = 0.0
    reason: str = ""  # for the log


class Fail(NamedTuple):
    """Send a failure as the final response, without any promise about a retry."""

    request: str


class SetTimer(NamedTuple):
    """Request a `TimerFired` with `token` after `delay` seconds."""

    delay: float
    token: int


class HealthCheck(NamedTuple):
    """Check the health and load of a backend."""

    backend: str


class CloseIdle(NamedTuple):
    """Close idle connections to a backend."""

    backend: str


class SendPeerMessage(NamedTuple):
    """Send bytes to a peer, or to all (None)."""

    peer: int | None
    payload: bytes


class CounterAdd(NamedTuple):
    """Add to a named count at the shared counter; a new count expires after `lifetime` seconds."""

    name: int
    amount: float
    lifetime: float


class Subscribe(NamedTuple):
    """Subscribe to the backend list, or unsubscribe."""

    on: bool


class FetchList(NamedTuple):
    """Fetch the complete backend list once."""


class Log(NamedTuple):
    """Write a line to the log."""

    text: str


class UnknownBackend(NamedTuple):
    """The response to a `Cordon` for a backend that doesn't exist."""

    backend: str


Action = (
    Attempt
    | CancelAttempt
    | Refuse
    | Fail
    | SetTimer
    | HealthCheck
    | CloseIdle
    | SendPeerMessage
    | CounterAdd
    | Subscribe
    | FetchList
    | Log
    | Cordons
    | UnknownBackend
)
