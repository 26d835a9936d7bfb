"""What the configuration says about one request, and the priorities that follow from that."""

from __future__ import annotations

from typing import NamedTuple

from gateway.config.routing import Route, Tenant


class RequestContext(NamedTuple):
    """The result of matching a request against the configuration.

    `late`: a retry that comes too late to meet the target latency.
    """

    route: Route
    tenant: Tenant | None
    precedence: int
    late: bool = False

    @property
    def quota_precedence(self) -> int:
        """The precedence within its tenant's allowance, 0 the highest: by route, late requests behind."""
        return 2 * self.route.precedence + self.late

    @property
    def queue_priority(self) -> float:
        """The order in which queued requests go to backends, the greatest first.

        By the request's precedence, then by its route's.
        """
        route_precedence = self.route.precedence
        return 1.0 / (1 + self.precedence + route_precedence / (1 + route_precedence))
