"""Tests of what a proxy derives from the control plane: readiness, refusals, later routes, limits."""

from __future__ import annotations

from types import SimpleNamespace

from gateway.membership import events
from gateway.programs.proxy import ProxyServer as Program
from ingress.net.connection_interfaces import ImmediateResponse
from tests.gateway.drift.drift_network import (
    CONTROLLER_ADDRESSES,
    FleetNetwork,
    SimulatedProxy,
    accepted,
    config,
)

LIMITS = {
    "entry-kind": "limits",
    "metadata": {},
    "spec": {
        "max-header-bytes": 16384,
        "max-body-bytes": 1 << 20,
        "header-timeout-s": 3,
        "idle-timeout-s": 15,
    },
}
FIRST = accepted(config(more=[LIMITS]))
LATER = accepted(config(2, 1, [LIMITS], r3="s2", r4="s1"), FIRST)
HEADERS = [(b"Host", b"a.example"), (b"Attempt-Id", b"a1"), (b"Authorization", b"Token t1-a")]


def begins(net: FleetNetwork, address: str) -> SimulatedProxy:
    proxy = net.nodes[address] = SimulatedProxy(net, address)
    net.schedule(0.01, address, events.Tick())
    return proxy


def refusal(proxy: SimulatedProxy, path: str) -> int | None:
    """Return the status of an immediate response; None if the request is forwarded."""
    found = proxy.proxy_node.ingress.read(b"GET", path.encode(), HEADERS)
    return found.status if isinstance(found, ImmediateResponse) else None


def answered(proxy: SimulatedProxy) -> int:
    """Return the status of the readiness check."""
    told: list[int] = []
    program = SimpleNamespace(proxy_node=proxy.proxy_node)
    Program.ready(
        program,
        SimpleNamespace(path="/-/readiness", method="GET"),  # type: ignore[arg-type]
        lambda status, lines, body: told.append(status),
    )
    return told[0]


def test_process_that_shuts_down_is_not_ready() -> None:
    net = FleetNetwork(1)
    (proxy,) = net.proxies
    assert answered(proxy) == 503
    net.put(1, FIRST)
    net.run(1)
    assert answered(proxy) == 503  # no backend is known
    proxy.proxy_node.ingress.serving.add("i-1")
    assert answered(proxy) == 200
    proxy.proxy_node.leaving = True
    for _ in range(8):
        net.run(1)
        assert answered(proxy) == 503


def test_proxy_without_configuration_or_contact_does_not_report_missing_routes() -> None:
    net = FleetNetwork(1)
    (proxy,) = net.proxies
    assert refusal(proxy, "/r1/x") == refusal(proxy, "/none/x") == 503
    net.put(1, FIRST)
    net.run(1)
    assert refusal(proxy, "/r1/x") is None and refusal(proxy, "/r3/x") == 404
    net.cut = lambda a, b, kind: CONTROLLER_ADDRESSES[0] not in (a, b)
    net.put(2, LATER, CONTROLLER_ADDRESSES[1:])
    late = begins(net, "10.1.9.1:7660")  # its first configuration is outdated
    for _ in range(30):
        net.run(0.1)
        assert refusal(late, "/r3/x") == 503 and refusal(late, "/r1/x") == 503
    net.cut = lambda a, b, kind: False
    net.run(1)
    assert refusal(late, "/r3/x") is None and refusal(late, "/r1/x") is None


def test_routes_added_later_behave_like_initial_ones() -> None:
    net = FleetNetwork(2)
    net.put(1, FIRST)
    net.run(1)
    behind = net.proxies[0]
    net.cut = lambda a, b, kind: behind.proxy_node.me in (a, b)
    net.put(2, LATER)
    net.run(10)
    assert behind.proxy_node.version == 1
    net.cut = lambda a, b, kind: False
    net.run(1.5)
    after = begins(net, "10.1.9.1:7660")
    net.run(1)
    for proxy in net.proxies:
        assert [refusal(proxy, f"/{label}/x") for label in ("r1", "r2", "r3", "r4")] == [None] * 4
        route_decision = [
            proxy.proxy_node.compiled_config.resolve_request(b"a.example", f"/{label}/x".encode(), b"t1-a")
            for label in ("r1", "r3", "r4")
        ]
        assert {(j.status, j.tenant.label, j.precedence) for j in route_decision} == {(200, "t1", 1)}
    assert after in net.proxies and len(net.proxies) == 3


def test_idle_timeout_of_the_configuration_applies_right_after_a_restart() -> None:
    net = FleetNetwork(1)
    net.put(1, FIRST)
    net.run(1)
    after = begins(net, "10.1.9.1:7660")
    net.run(0.5)
    assert [s.limits_in_force.idle for s in (*net.proxies, after)] == [15.0] * 3
