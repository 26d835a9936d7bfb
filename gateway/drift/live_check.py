"""Checks of the running configuration on live requests: the route and key used, samples, and a scan."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from gateway.config.digest import DriftScanner, ExpectedDigests, ItemValues, digest, iterate_items, values_of
from gateway.config.document import Document
from gateway.config.reference import compare_decision, evaluate
from gateway.config.routing import CompiledConfig, Route, RouteDecision
from gateway.config.schema import Difference
from gateway.drift.detector import SAMPLE

SAMPLE_INTERVAL = 50  # at most one request in so many is also evaluated directly on the document
ENTRIES_PER_REQUEST = 5  # a sample costs by the number of entries, so large documents are sampled less often
REQUESTS_PER_STEP = 16  # one request in so many advances the scan by one item
IDLE_STEP_INTERVAL_S = 0.5  # besides, the scan advances by one item in this time
REJECTED_SAMPLE_INTERVAL_S = 0.25  # between two samples of requests that are rejected


class CheckResult(NamedTuple):
    """The result of a check: which one (`request`, `sample`, `round`), and the differences, usually none."""

    how: str
    differences: Sequence[Difference]


NO_DIFFERENCE = CheckResult("", ())
UNKNOWN_ROUTE: tuple[ItemValues, bytes] = (), b""


class LiveCheck:
    """Checks the decisions of one compiled configuration. Created anew for each version.

    `check` is for each live request, `idle` for times with few of them.
    """

    __slots__ = (
        "document",
        "expected",
        "compiled_config",
        "watch",
        "routes",
        "every",
        "left",
        "requests",
        "sampled",
        "odd",
        "due",
    )

    def __init__(
        self,
        document: Document,
        expected: ExpectedDigests,
        compiled_config: CompiledConfig,
        previous: LiveCheck | None = None,
    ) -> None:
        self.document = document
        self.expected = expected
        self.compiled_config = compiled_config
        self.watch = DriftScanner(compiled_config, expected)
        # routes used so far: expected values, and the prefix
        self.routes: dict[Route, tuple[ItemValues, bytes]] = {}
        self.every = max(SAMPLE_INTERVAL, len(document.entries) // ENTRIES_PER_REQUEST)
        self.left = self.every
        self.requests: int = previous.requests if previous else 0
        self.sampled: int = previous.sampled if previous else 0
        self.odd = 0.0
        self.due = 0.0

    def check(
        self, now: float, host: bytes, path: bytes, key: bytes, route_decision: RouteDecision
    ) -> CheckResult:
        """Check a decision: its route and tenant at each request, the whole decision at a sampled one."""
        self.requests += 1
        r = route_decision.route
        tenant = route_decision.tenant
        path_mismatch = False
        if r is not None:
            values, prefix = self.routes.get(r, UNKNOWN_ROUTE)
            if values != (
                r.label,
                r.host,
                r.prefix,
                r.safe,
                r.deadline,
                r.target_latency,
                r.precedence,
                r.tries,
                r.public,
                r.targets,
                r.cumulative_shares,
            ):
                if found := self.route(r):
                    return CheckResult("request", found)
                prefix = self.routes[r][1]
            path_mismatch = not path.startswith(prefix)
        if tenant is not None:
            item = self.expected.items.get(("key", key, b""))
            if item is None or item.values != (tenant.label, tenant.precedence, tenant.rate, tenant.burst):
                return CheckResult("request", self.watch.check_item(("key", key, b""), tenant))
        self.left -= 1
        if self.left <= 0:
            self.left = self.every
        elif (route_decision.status == 200 and not path_mismatch) or now < self.odd:
            return (
                CheckResult("round", self.watch.step(1))
                if not self.left % REQUESTS_PER_STEP
                else NO_DIFFERENCE
            )
        self.odd = now + REJECTED_SAMPLE_INTERVAL_S
        self.sampled += 1
        return CheckResult(SAMPLE, compare_decision(route_decision, evaluate(self.document, host, path, key)))

    def route(self, r: Route) -> list[Difference]:
        """Check a route at its first use, or when it has changed since."""
        name = ("route", str(r.host).encode(), str(r.prefix).encode())
        found = self.watch.check_item(name, r)
        if not found:
            self.routes[r] = self.expected.items[name].values, name[2]
        return found

    def idle(self, now: float) -> list[Difference]:
        """Advance the scan in times of few requests."""
        if now < self.due <= now + IDLE_STEP_INTERVAL_S:
            return []
        self.due = now + IDLE_STEP_INTERVAL_S
        return self.watch.step(1)


def running_digest(compiled_config: CompiledConfig, expected: ExpectedDigests) -> int:
    """The digest of a compiled configuration; cheap if it is as expected."""
    items = expected.items
    count = 0
    for name, thing in iterate_items(compiled_config):
        item = items.get(name)
        if item is None or item.values != values_of(thing):
            return digest(compiled_config)
        count += 1
    return expected.total if count == len(items) else digest(compiled_config)
