"""The configuration that applies to one request, and the priorities derived from it."""

from __future__ import annotations

from typing import NamedTuple

from gateway.config.routing import Route, Tenant


class RequestContext(NamedTuple):
    """The result of matching a request against the configuration.

    `is_late_retry` marks a retry that is too late to meet the target latency.
    """

    route: Route
    tenant: Tenant | None
    precedence: int
    is_late_retry: bool = False

    @property
    def quota_precedence(self) -> int:
        """The precedence within the tenant's allowance (0 is the highest): by route, late retries last."""
        return 2 * self.route.precedence + self.is_late_retry

    @property
    def queue_priority(self) -> float:
        """The order in which queued requests are sent to backends; the greatest value goes first.

        It is determined by the request's precedence, then by its route's precedence.
        """
        route_precedence = self.route.precedence
        return 1.0 / (1 + self.precedence + route_precedence / (1 + route_precedence))
