"""Who is refused last within a tenant: by its routes, and tries that can't be in time behind others."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from gateway.proxy.decisions import RequestContext
from gateway.proxy.ingress import ProxyIngress


def proxy_ingress() -> Any:
    """As much of an ingress as tells late tries."""
    return SimpleNamespace(patience={})


def route_of(target_latency: float) -> Any:
    """A route with an aim, in seconds."""
    return SimpleNamespace(label="r", target_latency=target_latency)


def test_a_nomination_goes_before_a_view_whatever_the_tenants_own_precedence() -> None:
    nomination, view = SimpleNamespace(precedence=1), SimpleNamespace(precedence=2)
    ranks = [
        RequestContext(route, None, precedence=0, late=late).rank  # type: ignore[arg-type]
        for route in (nomination, view)
        for late in (False, True)
    ]
    assert ranks == sorted(set(ranks))  # nomination, late nomination, view, late view


def test_a_try_is_late_once_its_client_has_used_up_most_of_its_aim() -> None:
    here, route = proxy_ingress(), route_of(0.4)
    assert not ProxyIngress.late(here, route, 2.5)  # nothing else is known yet
    assert not ProxyIngress.late(here, route, 2.2)  # a third of a second later: still in time
    assert ProxyIngress.late(here, route, 2.1)
    assert not ProxyIngress.late(here, route, 2.5)


def test_one_client_with_more_time_than_others_makes_these_late_for_a_while_only() -> None:
    here, route = proxy_ingress(), route_of(0.4)
    ProxyIngress.late(here, route, 4.0)
    late = [ProxyIngress.late(here, route, 2.5) for _ in range(200)]
    assert late[0] and not late[-1]
