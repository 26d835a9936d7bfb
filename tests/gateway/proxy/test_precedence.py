"""Tests of the order of refusals within a tenant: by route, and late retries first."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from gateway.proxy.ingress import ProxyIngress
from gateway.proxy.request_context import RequestContext
from ingress import interface as io
from tests.gateway.proxy.test_proxy_startup import flight
from tests.gateway.proxy.test_proxy_startup import service as backends_of

CLASS = io.ClassSettings("read", io.Effect.SAFE, 5.0, 5.0)


def proxy_ingress() -> Any:
    """Return the part of an ingress that detects late retries."""
    return SimpleNamespace(first_timeouts={})


def route_of(target_latency: float) -> Any:
    """Return a route with a latency objective in seconds."""
    return SimpleNamespace(label="r", target_latency=target_latency)


def test_route_precedence_outranks_tenant_precedence() -> None:
    nomination, view = SimpleNamespace(precedence=1), SimpleNamespace(precedence=2)
    ranks = [
        RequestContext(route, None, precedence=0, is_late_retry=late).quota_precedence  # type: ignore[arg-type]
        for route in (nomination, view)
        for late in (False, True)
    ]
    assert ranks == sorted(set(ranks))  # nomination, late nomination, view, late view


def test_retry_is_late_once_most_of_the_objective_has_passed() -> None:
    here, route = proxy_ingress(), route_of(0.4)
    assert not ProxyIngress.is_late_retry(here, route, 2.5)  # no longer timeout has been observed yet
    assert not ProxyIngress.is_late_retry(here, route, 2.2)  # 0.3 s have passed: still in time
    assert ProxyIngress.is_late_retry(here, route, 2.1)
    assert not ProxyIngress.is_late_retry(here, route, 2.5)


def test_a_single_long_client_timeout_has_a_temporary_effect() -> None:
    here, route = proxy_ingress(), route_of(0.4)
    ProxyIngress.is_late_retry(here, route, 4.0)
    late = [ProxyIngress.is_late_retry(here, route, 2.5) for _ in range(200)]
    assert late[0] and not late[-1]


def held_in_turn(requests: list[tuple[str, int, int | None]]) -> list[str]:
    """Return the names of requests in the order in which they wait for a slot.

    Each request has the precedences of its route and of its tenant.
    """
    service = one_slot()
    service.send(0.0, in_flight(service, "busy", 1.0))
    for name, of_route, of_tenant in requests:
        precedence = of_route if of_tenant is None else of_tenant
        context = RequestContext(SimpleNamespace(precedence=of_route), None, precedence)  # type: ignore[arg-type]
        service.send(0.0, in_flight(service, name, context.queue_priority))
    names = [f.req.id for f in service.queue]
    assert len(names) == len(requests)
    return names


def one_slot() -> Any:
    """Return a service with two backends and a concurrency limit of one."""
    held = backends_of(lambda *_: None)
    held.limit.slots, held.limit.floor = 1.0, 1.0
    held.learn_route(CLASS, 2.0, "t1")
    return held


def in_flight(service: Any, name: str, urgency: float) -> Any:
    """Return a request of a service."""
    f = service.active_requests[name] = flight(name, CLASS)
    f.value = urgency
    return f


def test_more_urgent_route_goes_first_within_a_tenant_precedence() -> None:
    asked = [("low", 2, 1), ("high", 0, 1), ("rush", 5, 0), ("other", 1, None), ("last", 0, 2)]
    assert held_in_turn(asked) == ["rush", "high", "other", "low", "last"]


def test_new_request_does_not_overtake_a_more_urgent_waiting_one() -> None:
    service = one_slot()
    service.send(0.0, in_flight(service, "busy", 1.0))
    service.send(0.0, in_flight(service, "urgent", 1.0))
    first = service.actions.pop()
    service.active_requests.pop("busy")
    # The attempt has ended, and no waiting request has been sent yet.
    service.limit.in_flight, service.fleet.backends[first.backend].in_flight = 0, {}
    service.send(0.0, in_flight(service, "newcomer", 0.5))
    assert [a.request for a in service.actions] == ["urgent"]
    assert [f.req.id for f in service.queue] == ["newcomer"]
