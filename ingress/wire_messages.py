"""Events and actions in the simulator's line protocol, one line each; a listed backend has a row."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from typing import Any

from ingress import interface as io
from ingress.wire_fields import (
    ABSENT,
    check_count,
    fail,
    read_choice,
    read_flag,
    read_integer,
    read_number,
    read_optional,
    read_optional_integer,
)

OUTCOMES = {
    "success": io.Outcome.OK,
    "failure": io.Outcome.ERROR,
    "overloaded": io.Outcome.FULL,
    "timed_out": io.Outcome.TIMEOUT,
    "unreachable": io.Outcome.CONNECT_FAILED,
    "broken": io.Outcome.RESET,
    "withdrawn": io.Outcome.CANCELLED,
    "void": io.Outcome.NOT_SENT,
}
PHASES = {"Running": io.Phase.RUNNING, "Stopping": io.Phase.STOPPING, "Deleted": io.Phase.DELETED}
FORMS = {
    "INCREMENTAL": io.ListKind.CHANGE,
    "FULL": io.ListKind.FULL,
    "SAVED": io.ListKind.SAVED,
    "FAILED": io.ListKind.FAILED,
}


def read_load(message: str, text: str, fields: tuple[str, ...]) -> dict[str, float]:
    """Parse a load report and return its values by name."""
    if text in (ABSENT, ""):
        return {}
    values = text.split(",")
    if len(values) != len(fields):
        fail(message, "gauge", f"{len(fields)} values", text)
    return {f: read_number(message, f"gauge.{f}", v) for f, v in zip(fields, values, strict=True) if v != "-"}


def read_row(line: str) -> io.BackendEntry:
    """Parse one line of the backend list; WireError if it is malformed."""
    parts = line.split(" ")
    if parts[0] != "ROW":
        fail("UPDATE", "rows", "a ROW line", parts[0])
    check_count("ROW", parts, 8)
    return io.BackendEntry(
        backend=parts[4],
        phase=read_choice("ROW", "stageState", parts[3], PHASES),
        weight=1.0 if parts[1] == "-" else read_number("ROW", "share", parts[1], 0.0),
        kind="" if parts[2] == "-" else parts[2],
        cell=0 if parts[5] == "-" else read_integer("ROW", "unitGroup", parts[5]),
        born=read_optional("ROW", "born", parts[6], -math.inf),
        zone="" if parts[7] == "-" else parts[7],
    )


REPEAT_BIT = 2  # of a request's flags: the request is a client's retry
WRITE_BIT = 4  # of a request's flags: the request changes data

Parts = list[str]
LoadFields = tuple[str, ...]
Rows = Iterator[str]


def _read_request(parts: Parts, fields: LoadFields, rows: Rows) -> io.Request:
    message = parts[0]
    check_count(message, parts, 11)
    bits = read_optional_integer(message, "bits", parts[10])
    return io.Request(
        id=parts[2],
        class_name=parts[3],
        plan=parts[4],
        customer=read_integer(message, "apiKey", parts[5]),
        expires_in=read_number(message, "expiresIn", parts[6]),
        units=read_number(message, "units", parts[7], 0.0),
        width=read_optional_integer(message, "width", parts[8], default=1),
        first=read_optional_integer(message, "base", parts[9]),
        is_repeat=bool(bits & REPEAT_BIT),
        is_write=bool(bits & WRITE_BIT),
    )


def _read_attempt_ended(parts: Parts, fields: LoadFields, rows: Rows) -> io.AttemptEnded:
    message = parts[0]
    check_count(message, parts, 11)
    return io.AttemptEnded(
        request=parts[2],
        attempt=read_integer(message, "n", parts[3]),
        backend=parts[4],
        outcome=read_choice(message, "reason", parts[5], OUTCOMES),
        elapsed=read_optional(message, "waitTime", parts[6]),
        done=read_flag(message, "doneFlag", parts[7]),
        metered=read_optional_integer(message, "metered", parts[8]),
        true_units=read_optional(message, "trueUnits", parts[9]),
        load=read_load(message, parts[10], fields),
    )


def _read_counter_reply(parts: Parts, fields: LoadFields, rows: Rows) -> io.CounterReply:
    message = parts[0]
    check_count(message, parts, 6)
    return io.CounterReply(
        elapsed=read_optional(message, "waitTime", parts[2]),
        name=read_integer(message, "name", parts[3]),
        outcome=read_choice(message, "reason", parts[4], OUTCOMES),
        total=read_optional(message, "nowAt", parts[5], -math.inf),
    )


def _read_timer(parts: Parts, fields: LoadFields, rows: Rows) -> io.TimerFired:
    check_count(parts[0], parts, 3)
    return io.TimerFired(read_integer(parts[0], "ctx", parts[2]))


def _read_client_gone(parts: Parts, fields: LoadFields, rows: Rows) -> io.ClientGone:
    check_count(parts[0], parts, 3)
    return io.ClientGone(parts[2])


def _read_list_update(parts: Parts, fields: LoadFields, rows: Rows) -> io.ListUpdate:
    message = parts[0]
    check_count(message, parts, 5)
    count = read_integer(message, "rows", parts[4])
    entries: list[io.BackendEntry] = []
    for _ in range(count):
        line = next(rows, None)
        if line is None:
            fail(message, "rows", f"{count} ROW lines", len(entries))
        entries.append(read_row(line))
    version = read_optional_integer(message, "stamp", parts[3])
    return io.ListUpdate(read_choice(message, "form", parts[2], FORMS), version, tuple(entries))


def _read_attempt_started(parts: Parts, fields: LoadFields, rows: Rows) -> io.AttemptStarted:
    message = parts[0]
    check_count(message, parts, 6)
    return io.AttemptStarted(
        request=parts[2],
        elapsed=read_optional(message, "waitTime", parts[3]),
        backend=parts[4],
        attempt=read_integer(message, "n", parts[5]),
    )


def _read_health_check(parts: Parts, fields: LoadFields, rows: Rows) -> io.HealthCheckEnded:
    message = parts[0]
    check_count(message, parts, 6)
    return io.HealthCheckEnded(
        backend=parts[2],
        outcome=read_choice(message, "reason", parts[3], OUTCOMES),
        elapsed=read_optional(message, "waitTime", parts[4]),
        load=read_load(message, parts[5], fields),
    )


def _read_peer_message(parts: Parts, fields: LoadFields, rows: Rows) -> io.PeerMessage:
    message = parts[0]
    check_count(message, parts, 4)
    try:
        payload = b"" if parts[3] == ABSENT else bytes.fromhex(parts[3])
    except ValueError:
        fail(message, "msg", "hex digits", parts[3])
    return io.PeerMessage(read_integer(message, "originPeer", parts[2]), payload)


EVENT_READERS: dict[str, Callable[[Parts, LoadFields, Rows], io.Event]] = {
    "WORK_ITEM": _read_request,
    "RETURNED": _read_attempt_ended,
    "TALLIED": _read_counter_reply,
    "FIRED": _read_timer,
    "EXPIRED": _read_client_gone,
    "UPDATE": _read_list_update,
    "UNDER_WAY": _read_attempt_started,
    "PROBE_DONE": _read_health_check,
    "HEARD": _read_peer_message,
}


def read_event(parts: Parts, fields: LoadFields, rows: Rows) -> io.Event:
    """Parse an event of an instance; rows of a backend list are read from `rows`.

    Raises:
        WireError: The line is malformed.
    """
    reader = EVENT_READERS.get(parts[0])
    if reader is None:
        fail("batch", "message", "a known message", parts[0])
    return reader(parts, fields, rows)


def _format_number(value: float) -> str:
    return str(int(value)) if value == int(value) else f"{value:.6f}"


def _format_attempt(me: int, action: io.Attempt) -> str:
    timeout = "0" if action.timeout is None else f"{action.timeout:.6f}"
    return f"SUBMIT_TO {me} {action.request} {action.backend} {timeout}"


def _format_peer_message(me: int, action: io.SendPeerMessage) -> str:
    receiver = "*" if action.peer is None else action.peer
    return f"MEMO_TO {me} {receiver} {action.payload.hex() or ABSENT}"


def _format_counter_call(me: int, action: io.CounterAdd) -> str:
    return f"COUNT {me} {action.lifetime:.6f} {action.name} {_format_number(action.amount)}"


ACTION_FORMATTERS: dict[type, Callable[[int, Any], str]] = {
    io.Attempt: _format_attempt,
    io.CounterAdd: _format_counter_call,
    io.Refuse: lambda me, a: f"DECLINE {me} {a.request} {_format_number(a.retry_after_s)}",
    io.Fail: lambda me, a: f"FINISH_ERROR {me} {a.request}",
    io.SetTimer: lambda me, a: f"DEFER {me} {a.delay:.6f} {a.token}",
    io.CancelAttempt: lambda me, a: f"DROP_ATTEMPT {me} {a.request} {a.attempt}",
    io.HealthCheck: lambda me, a: f"TOUCH {me} {a.backend}",
    io.CloseIdle: lambda me, a: f"CLOSE_IDLE {me} {a.backend}",
    io.SendPeerMessage: _format_peer_message,
    io.Subscribe: lambda me, a: f"FOLLOW {me} {int(a.on)}",
    io.FetchList: lambda me, a: f"GET_LIST {me}",
    io.Log: lambda me, a: f"EMIT {me} {' '.join(a.text.split())}",
}


def write_action(me: int, action: io.Action) -> str:
    """Return the protocol line for an action of instance `me`."""
    formatter = ACTION_FORMATTERS.get(type(action))
    # The simulator has no operators, so it has no message for answers to them.
    return f"EMIT {me} {action}" if formatter is None else formatter(me, action)
