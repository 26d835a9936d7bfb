"""Reference implementation that evaluates one request directly on the document, to check the compiled form.

It searches the raw entries one by one, and shares no code with `gateway.config.routing`.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import NamedTuple

from gateway.config.document import Document, Raw
from gateway.config.routing import RouteDecision
from gateway.config.schema import Difference


class ExpectedDecision(NamedTuple):
    """The expected decision on a request: status 200 (forward), 401 or 404, the route and the tenant.

    Times are in seconds. `targets` contains service names with their shares; an empty `tenant` means none.
    """

    status: int
    route: str = ""
    safe: bool = False
    tries: int = 0
    deadline: float = 0.0
    target_latency: float = 0.0
    targets: tuple[tuple[str, float], ...] = ()
    precedence: int = 0
    tenant: str = ""
    rate: float = 0.0
    burst: float = 0.0


FIELDS = (
    "status",
    "route",
    "safe",
    "max-tries",
    "deadline-s",
    "target-latency-s",
    "targets",
    "precedence",
    "tenant",
    "rate-per-s",
    "burst",
)


def evaluate(document: Document, host: bytes, path: bytes, key: bytes) -> ExpectedDecision:
    """Evaluate the document for one request; `key` is empty if the request has no key."""
    entry = _route(document.entries, _host(host), path.split(b"?")[0])
    if entry is None:
        return ExpectedDecision(404)
    spec = entry["spec"]
    tenants = [e for e in document.entries if e["entry-kind"] == "tenants"]
    tenant = next((t for t in tenants if key in [k.encode() for k in _spec(t).get("api-keys") or ()]), None)
    if tenants and tenant is None and not spec.get("public"):
        return ExpectedDecision(401, entry["metadata"]["label"])
    limits = _spec(tenant) if tenant else {}
    precedence = limits.get("precedence")
    if precedence is None:
        precedence = 1 if spec.get("precedence") is None else spec["precedence"]
    deadline = float(spec["deadline-s"])
    tries = spec.get("max-tries")
    return ExpectedDecision(
        200,
        entry["metadata"]["label"],
        spec.get("traffic-class") == "safe",
        int(tries) if tries else 1,
        deadline,
        float(spec.get("target-latency-s") or deadline),
        _targets(spec),
        int(precedence),
        tenant["metadata"]["label"] if tenant else "",
        float(limits.get("rate-per-s") or 0),
        float(limits.get("burst") or 0),
    )


def compare_decision(running: RouteDecision, expected: ExpectedDecision) -> list[Difference]:
    """Compare a live decision with the document. If the status or route differs, only these are compared."""
    r = running.route
    tenant = running.tenant
    if r is None:
        ran = ExpectedDecision(running.status)
    elif running.status != HTTPStatus.OK:
        ran = ExpectedDecision(running.status, r.label)
    else:
        ran = ExpectedDecision(
            200,
            r.label,
            r.safe,
            r.tries,
            r.deadline,
            r.target_latency,
            r.targets,
            running.precedence,
            *((tenant.label, tenant.rate, tenant.burst) if tenant else ()),
        )
    if ran == expected:
        return []
    place = f"route {expected.route or ran.route}"
    compared = 2 if ran[:2] != expected[:2] else len(FIELDS)
    return [
        Difference(f"{place}.{field}", str(was), str(to))
        for field, was, to in list(zip(FIELDS, ran, expected, strict=True))[:compared]
        if was != to
    ]


def _spec(entry: Raw) -> Raw:
    return entry.get("spec") or {}


def _host(host: bytes) -> bytes:
    host = host.strip().lower()
    closed = host.find(b"]") + 1 if host.startswith(b"[") else 0
    colon = host.find(b":", closed)
    port = host[colon + 1 :]
    has_port = colon >= 0 and (not port or port.isdigit()) and (not closed or colon == closed)
    return host[:colon] if has_port else host


def _route(entries: list[Raw], host: bytes, path: bytes) -> Raw | None:
    best: Raw | None = None
    longest = -1
    for entry in entries:
        if entry["entry-kind"] != "route-table":
            continue
        prefix = entry["spec"]["path-prefix"].encode()
        begins = path.startswith(prefix) and _host(entry["spec"]["hostname"].encode()) == host
        if begins and len(prefix) > longest:
            best = entry
            longest = len(prefix)
    return best


def _targets(spec: Raw) -> tuple[tuple[str, float], ...]:
    weighted = spec.get("weighted")
    if weighted:
        return tuple([(w["target"], float(w["share"])) for w in weighted])
    return ((spec["target"], 1.0),)
