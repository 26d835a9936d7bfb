"""What a node runs of a configuration: a tree of matchers, from host over path to route, and the tenants."""

from __future__ import annotations

from typing import NamedTuple

from gateway.config.document import Document, RouteEntry, TenantEntry
from gateway.config.schema import host_of

Targets = tuple[tuple[str, float], ...]


class Route:
    """A route as requests use it. Times are seconds; `targets` are services and their shares."""

    __slots__ = (
        "label",
        "host",
        "prefix",
        "safe",
        "deadline",
        "target_latency",
        "precedence",
        "tries",
        "public",
        "targets",
        "cumulative_shares",
        "entry",
    )

    def __init__(self, entry: RouteEntry) -> None:
        (
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
            _,
        ) = entry
        self.cumulative_shares = cumulative_shares(
            self.targets
        )  # services, and up to which of 0 to 1 each is taken
        self.entry = entry  # from which it was built

    def pick_service(self, r: float) -> str:
        """The service for a request, by the shares; `r` is drawn evenly from 0 up to 1."""
        for service, upper_bound in self.cumulative_shares:
            if r < upper_bound:
                return service
        return self.cumulative_shares[-1][0]


class Tenant:
    """A tenant as requests use it: 0 requests a second for no limit, no precedence for that of the route."""

    __slots__ = ("label", "precedence", "rate", "burst")

    def __init__(self, entry: TenantEntry) -> None:
        self.label, _, self.precedence, self.rate, self.burst = entry

    def same(self, entry: TenantEntry) -> bool:
        """Whether the entry asks for just this, its keys aside."""
        return (self.label, self.precedence, self.rate, self.burst) == (entry.label, *entry[2:])


class Service(NamedTuple):
    """A service: the path of its health probes, and connections a backend takes from all callers."""

    health_path: str
    max_conns: int


class Node:
    """A place in the tree: what comes next by segment, and the route whose prefix ends here."""

    __slots__ = ("children", "route")

    def __init__(self) -> None:
        self.children: dict[bytes, Node] = {}
        self.route: Route | None = None


class RouteDecision(NamedTuple):
    """What becomes of a request: status 200 (go on), 401 or 404, its route and its tenant."""

    status: int
    route: Route | None
    tenant: Tenant | None

    @property
    def precedence(self) -> int:
        """The tenant's, else the route's; 0 is highest. Only for a request that goes on."""
        if self.tenant is not None and self.tenant.precedence is not None:
            return self.tenant.precedence
        return self.route.precedence if self.route is not None else 0


class CompiledConfig:
    """A configuration compiled for requests, never changed once it is built.

    What is as in the former book is taken over from it as it is, since live requests hold it.
    """

    __slots__ = ("generation", "hosts", "routes", "tenants", "keys", "requires_key", "services", "limits")

    def __init__(self, document: Document, previous: CompiledConfig | None = None) -> None:
        self.generation, self.limits = document.generation, document.limits
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
        for held in document.tenants.values():
            known = old_tenants.get(held.label)
            tenant = known if known is not None and known.same(held) else Tenant(held)
            self.tenants[held.label] = tenant
            for key in held.keys:
                self.keys[key.encode()] = tenant
        self.requires_key = bool(self.tenants)

    def _insert(self, route: Route) -> None:
        node = self.hosts.setdefault(route.host.encode(), Node())
        for segment in segments(route.prefix.encode()):
            node = node.children.setdefault(segment, Node())
        node.route = route

    def match(self, host: bytes, path: bytes) -> Route | None:
        """The route with the longest prefix that begins the path; a query after the path is left aside."""
        node = self.hosts.get(host)
        if node is None and (node := self.hosts.get(host_of(host))) is None:
            return None
        if (end := path.find(b"?")) >= 0:
            path = path[:end]
        if path[:1] != b"/":
            return None
        best, start = node.route, 1
        while node.children and (end := path.find(b"/", start)) >= 0:
            node = node.children.get(path[start:end])
            if node is None:
                break
            best, start = node.route or best, end + 1
        return best

    def tenant(self, key: bytes) -> Tenant | None:
        """Who holds a key (that of `Authorization: Token KEY`, see `key_of`)."""
        return self.keys.get(key)

    def resolve_request(self, host: bytes, path: bytes, key: bytes) -> RouteDecision:
        """Route and tenant of a request; the key is empty where it has none.

        A public route asks for no key, but whoever shows one that is known is still its tenant.
        """
        route = self.match(host, path)
        if route is None:
            return RouteDecision(404, None, None)
        tenant = self.keys.get(key)
        if tenant is None and self.requires_key and not route.public:
            return RouteDecision(401, route, None)
        return RouteDecision(200, route, tenant)


def key_of(authorization: bytes) -> bytes:
    """The key in the value of an `Authorization` header, empty if there is none."""
    scheme, _, key = authorization.strip().partition(b" ")
    return key.strip() if scheme.lower() == b"token" else b""


def segments(prefix: bytes) -> list[bytes]:
    """The parts of a prefix between its slashes."""
    return prefix.split(b"/")[1:-1]


def cumulative_shares(targets: Targets) -> Targets:
    """Shares added up: services that have one, each with the part of 0 to 1 up to which it is taken."""
    total = sum(share for _, share in targets)
    run, added = 0.0, []
    for service, share in targets:
        if share > 0:
            run += share / total
            added.append((service, run))
    return tuple(added)
