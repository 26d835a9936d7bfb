"""A configuration compiled for requests: routes by host and path segments, and tenants by key."""

from __future__ import annotations

from typing import NamedTuple

from gateway.config.document import Document, RouteEntry, TenantEntry
from gateway.config.schema import host_of

Targets = tuple[tuple[str, float], ...]


class Route:
    """A compiled route with the values of its entry.

    `cumulative_shares` contains each service with the upper bound of its interval in [0, 1].
    """

    __slots__ = (
        "cumulative_shares",
        "deadline",
        "entry",
        "host",
        "label",
        "precedence",
        "prefix",
        "public",
        "safe",
        "target_latency",
        "targets",
        "tries",
    )

    def __init__(self, entry: RouteEntry) -> None:
        self.label = entry.label
        self.host = entry.host
        self.prefix = entry.prefix
        self.safe = entry.safe
        self.deadline = entry.deadline
        self.target_latency = entry.target_latency
        self.precedence = entry.precedence
        self.tries = entry.tries
        self.public = entry.public
        self.targets = entry.targets
        self.cumulative_shares = cumulative_shares(entry.targets)
        self.entry = entry

    def values(self) -> tuple[object, ...]:
        """The values that requests use, in the order of `digest.ROUTE`."""
        return (
            self.label,
            self.host,
            self.prefix,
            self.safe,
            self.deadline,
            self.target_latency,
            self.precedence,
            self.tries,
            self.public,
            self.targets,
            self.cumulative_shares,
        )

    def pick_service(self, r: float) -> str:
        """Select a service according to the shares; `r` is uniform in [0, 1)."""
        for service, upper_bound in self.cumulative_shares:
            if r < upper_bound:
                return service
        return self.cumulative_shares[-1][0]


class Tenant:
    """A compiled tenant. `rate` is requests per second, 0 for no limit; `precedence` None: the route's."""

    __slots__ = ("burst", "label", "precedence", "rate")

    def __init__(self, entry: TenantEntry) -> None:
        self.label = entry.label
        self.precedence = entry.precedence
        self.rate = entry.rate
        self.burst = entry.burst

    def values(self) -> tuple[object, ...]:
        """The values that requests use, in the order of `digest.TENANT`."""
        return self.label, self.precedence, self.rate, self.burst

    def same(self, entry: TenantEntry) -> bool:
        """Whether an entry has the same values, except for its keys."""
        return self.values() == (entry.label, entry.precedence, entry.rate, entry.burst)


class Service(NamedTuple):
    """A service: the path for health checks, and the connections that a backend accepts from all callers."""

    health_path: str
    max_conns: int


class Node:
    """A node of the tree: children by path segment, and the route whose prefix ends here."""

    __slots__ = ("children", "route")

    def __init__(self) -> None:
        self.children: dict[bytes, Node] = {}
        self.route: Route | None = None


class RouteDecision(NamedTuple):
    """The decision on a request: status 200 (forward), 401 or 404, the route and the tenant."""

    status: int
    route: Route | None
    tenant: Tenant | None

    @property
    def precedence(self) -> int:
        """The tenant's precedence, otherwise the route's; 0 is the highest. Only valid for status 200."""
        if self.tenant is not None and self.tenant.precedence is not None:
            return self.tenant.precedence
        return self.route.precedence if self.route is not None else 0


class CompiledConfig:
    """A configuration compiled for requests; immutable once it is built.

    Unchanged routes and tenants are taken from `previous`, because open requests refer to them.
    """

    __slots__ = ("generation", "hosts", "keys", "limits", "requires_key", "routes", "services", "tenants")

    def __init__(self, document: Document, previous: CompiledConfig | None = None) -> None:
        self.generation = document.generation
        self.limits = document.limits
        self.services = {s.label: Service(*s[1:]) for s in document.services.values()}
        self.routes: dict[str, Route] = {}
        self.hosts: dict[bytes, Node] = {}
        old_routes = previous.routes if previous else {}
        for entry in document.routes.values():
            old = old_routes.get(entry.label)
            route = old if old is not None and old.entry == entry else Route(entry)
            self.routes[entry.label] = route
            self._insert(route)
        self.tenants: dict[str, Tenant] = {}
        self.keys: dict[bytes, Tenant] = {}
        old_tenants = previous.tenants if previous else {}
        for tenant_entry in document.tenants.values():
            old_tenant = old_tenants.get(tenant_entry.label)
            is_same = old_tenant is not None and old_tenant.same(tenant_entry)
            tenant = old_tenant if old_tenant is not None and is_same else Tenant(tenant_entry)
            self.tenants[tenant_entry.label] = tenant
            for key in tenant_entry.keys:
                self.keys[key.encode()] = tenant
        self.requires_key = bool(self.tenants)

    def _insert(self, route: Route) -> None:
        node = self.hosts.setdefault(route.host.encode(), Node())
        for segment in segments(route.prefix.encode()):
            node = node.children.setdefault(segment, Node())
        node.route = route

    def match(self, host: bytes, path: bytes) -> Route | None:
        """The route with the longest matching path prefix on this host, or None; the query is ignored."""
        node = self.hosts.get(host)
        if node is None and (node := self.hosts.get(host_of(host))) is None:
            return None
        if (end := path.find(b"?")) >= 0:
            path = path[:end]
        if path[:1] != b"/":
            return None
        best = node.route
        start = 1
        while node.children and (end := path.find(b"/", start)) >= 0:
            node = node.children.get(path[start:end])
            if node is None:
                break
            best = node.route or best
            start = end + 1
        return best

    def tenant(self, key: bytes) -> Tenant | None:
        """The tenant of an API key, which is sent as `Authorization: Token KEY` (see `key_of`)."""
        return self.keys.get(key)

    def resolve_request(self, host: bytes, path: bytes, key: bytes) -> RouteDecision:
        """Decide on a request by its host, path and key; `key` is empty if it has no key.

        A public route requires no key, but a known key still determines the tenant.
        """
        route = self.match(host, path)
        if route is None:
            return RouteDecision(404, None, None)
        tenant = self.keys.get(key)
        if tenant is None and self.requires_key and not route.public:
            return RouteDecision(401, route, None)
        return RouteDecision(200, route, tenant)


def key_of(authorization: bytes) -> bytes:
    """The API key in the value of an `Authorization` header; empty if there is none."""
    scheme, _, key = authorization.strip().partition(b" ")
    return key.strip() if scheme.lower() == b"token" else b""


def segments(prefix: bytes) -> list[bytes]:
    """The segments of a path prefix between its slashes."""
    return prefix.split(b"/")[1:-1]


def cumulative_shares(targets: Targets) -> Targets:
    """The services with a positive share, each with the upper bound of its interval in [0, 1]."""
    total = sum(share for _, share in targets)
    upper_bound = 0.0
    cumulative = []
    for service, share in targets:
        if share > 0:
            upper_bound += share / total
            cumulative.append((service, upper_bound))
    return tuple(cumulative)
