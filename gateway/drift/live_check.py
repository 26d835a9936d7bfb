"""What live requests use, held against what is set: each route and key that is used, samples, and rounds."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from gateway.config.digest import DriftScanner, ExpectedDigests, ItemValues, digest, iterate_items, values_of
from gateway.config.document import Document
from gateway.config.reference import compare_decision, evaluate
from gateway.config.routing import CompiledConfig, Route, RouteDecision
from gateway.config.schema import Difference
from gateway.drift.detector import SAMPLE

SAMPLE_INTERVAL = 50  # one request in so many is also decided by a plain reading of the document, at most
ENTRIES_PER_REQUEST = (
    5  # of the document that a sample reads for each request between two: it costs by their number
)
REQUESTS_PER_STEP = 16  # one request in so many looks at one more item of the whole
IDLE_STEP_INTERVAL_S = 0.5  # besides, one item in this time
REJECTED_SAMPLE_INTERVAL_S = 0.25  # between two plain readings for requests that are not allowed


class CheckResult(NamedTuple):
    """What a look has shown, as a rule nothing: by what, and the differences."""

    how: str
    differences: Sequence[Difference]


NO_DIFFERENCE = CheckResult("", ())
UNKNOWN_ROUTE: tuple[ItemValues, bytes] = (), b""


class LiveCheck:
    """Checks what one book says of requests. Made anew for each book."""

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
        self.document, self.expected, self.compiled_config = document, expected, compiled_config
        self.watch = DriftScanner(compiled_config, expected)
        self.routes: dict[Route, tuple[ItemValues, bytes]] = {}  # used so far: what is set, and the prefix
        self.every = max(SAMPLE_INTERVAL, len(document.entries) // ENTRIES_PER_REQUEST)
        self.left = self.every
        self.requests: int = previous.requests if previous else 0
        self.sampled: int = previous.sampled if previous else 0
        self.odd = self.due = 0.0

    def check(
        self, now: float, host: bytes, path: bytes, key: bytes, route_decision: RouteDecision
    ) -> CheckResult:
        """Whether a decision is as it is set: the route and the tenant at each request, all of it at a
        sampled one."""
        self.requests += 1
        r, tenant = route_decision.route, route_decision.tenant
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
        """Look at a route at its first use, or as it isn't what it was then."""
        name = ("route", str(r.host).encode(), str(r.prefix).encode())
        found = self.watch.check_item(name, r)
        if not found:
            self.routes[r] = self.expected.items[name].values, name[2]
        return found

    def idle(self, now: float) -> list[Difference]:
        """Look at one item after the other while there are few requests."""
        if now < self.due <= now + IDLE_STEP_INTERVAL_S:
            return []
        self.due = now + IDLE_STEP_INTERVAL_S
        return self.watch.step(1)


def running_digest(compiled_config: CompiledConfig, expected: ExpectedDigests) -> int:
    """The digest of a book, at less cost where it is as expected."""
    items, count = expected.items, 0
    for name, thing in iterate_items(compiled_config):
        item = items.get(name)
        if item is None or item.values != values_of(thing):
            return digest(compiled_config)
        count += 1
    return expected.total if count == len(items) else digest(compiled_config)
