"""Checks of the running configuration on live requests: used routes and keys, samples, and a scan."""

from __future__ import annotations

from collections.abc import Sequence
from http import HTTPStatus
from typing import NamedTuple

from gateway.config.digest import DriftScanner, ExpectedDigests, ItemValues, digest, iterate_items, values_of
from gateway.config.document import Document
from gateway.config.reference import compare_decision, evaluate
from gateway.config.routing import CompiledConfig, Route, RouteDecision, Tenant
from gateway.config.schema import Difference
from gateway.drift.events import Check

SAMPLE_INTERVAL = 50  # at most one request in this many is also evaluated directly on the document
# The cost of a sample grows with the number of entries, so large documents are sampled less often.
ENTRIES_PER_REQUEST = 5
REQUESTS_PER_STEP = 16  # one request in this many advances the scan by one item
IDLE_STEP_INTERVAL_S = 0.5  # without requests, the scan advances by one item per interval
REJECTED_SAMPLE_INTERVAL_S = 0.25  # minimum interval of samples of rejected requests


class CheckResult(NamedTuple):
    """The result of a check; there are usually no differences."""

    check: Check
    differences: Sequence[Difference]


NO_DIFFERENCE = CheckResult(Check.REQUEST, ())


class VerifiedRoute(NamedTuple):
    """A route that was checked at its first use: the expected values and the prefix."""

    values: ItemValues
    prefix: bytes


UNKNOWN_ROUTE = VerifiedRoute((), b"")


class LiveCheck:
    """Checks the decisions of one compiled configuration; created anew for each version.

    `check` is called for each live request, `idle` regularly to make progress without requests.

    Attributes:
        requests: Requests checked since the process started.
        sampled: Requests that were also evaluated directly on the document.
    """

    __slots__ = (
        "compiled_config",
        "document",
        "expected",
        "next_scan_at",
        "rejected_sample_at",
        "requests",
        "sample_interval",
        "sampled",
        "scanner",
        "until_sample",
        "verified_routes",
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
        self.scanner = DriftScanner(compiled_config, expected)
        self.verified_routes: dict[Route, VerifiedRoute] = {}  # routes used so far
        # One request in this many is sampled.
        self.sample_interval = max(SAMPLE_INTERVAL, len(document.entries) // ENTRIES_PER_REQUEST)
        self.until_sample = self.sample_interval
        self.requests: int = previous.requests if previous else 0
        self.sampled: int = previous.sampled if previous else 0
        self.rejected_sample_at = 0.0  # when a rejected request may be sampled again
        self.next_scan_at = 0.0

    def check(
        self, now: float, host: bytes, path: bytes, key: bytes, route_decision: RouteDecision
    ) -> CheckResult:
        """Check a decision: route and tenant for each request, the complete decision for a sampled one."""
        self.requests += 1
        route = route_decision.route
        path_mismatch = False
        if route is not None:
            verified = self.verified_routes.get(route, UNKNOWN_ROUTE)
            if verified.values != route.values():
                if differences := self._verify_route(route):
                    return CheckResult(Check.REQUEST, differences)
                verified = self.verified_routes[route]
            path_mismatch = not path.startswith(verified.prefix)
        tenant_differences = self._check_tenant(key, route_decision.tenant)
        if tenant_differences:
            return CheckResult(Check.REQUEST, tenant_differences)
        self.until_sample -= 1
        is_allowed = route_decision.status == HTTPStatus.OK and not path_mismatch
        if self.until_sample <= 0:
            self.until_sample = self.sample_interval
        elif is_allowed or now < self.rejected_sample_at:
            if self.until_sample % REQUESTS_PER_STEP:
                return NO_DIFFERENCE
            return CheckResult(Check.SCAN, self.scanner.step(1))
        self.rejected_sample_at = now + REJECTED_SAMPLE_INTERVAL_S
        self.sampled += 1
        expected = evaluate(self.document, host, path, key)
        return CheckResult(Check.SAMPLE, compare_decision(route_decision, expected))

    def _check_tenant(self, key: bytes, tenant: Tenant | None) -> Sequence[Difference]:
        if tenant is None:
            return ()
        name = ("key", key, b"")
        item = self.expected.items.get(name)
        if item is not None and item.values == tenant.values():
            return ()
        return self.scanner.check_item(name, tenant)

    def _verify_route(self, route: Route) -> list[Difference]:
        """Check a route at its first use, or when it has changed since."""
        prefix = str(route.prefix).encode()
        name = ("route", str(route.host).encode(), prefix)
        differences = self.scanner.check_item(name, route)
        if not differences:
            self.verified_routes[route] = VerifiedRoute(self.expected.items[name].values, prefix)
        return differences

    def idle(self, now: float) -> list[Difference]:
        """Advance the scan while there are few requests."""
        if now < self.next_scan_at <= now + IDLE_STEP_INTERVAL_S:
            return []
        self.next_scan_at = now + IDLE_STEP_INTERVAL_S
        return self.scanner.step(1)


def running_digest(compiled_config: CompiledConfig, expected: ExpectedDigests) -> int:
    """The digest of a compiled configuration; cheap to compute if it is as expected."""
    items = expected.items
    count = 0
    for key, running in iterate_items(compiled_config):
        item = items.get(key)
        if item is None or item.values != values_of(running):
            return digest(compiled_config)
        count += 1
    return expected.total if count == len(items) else digest(compiled_config)
