"""Configurations of any size, in the form that operators send."""

from __future__ import annotations

import random
from typing import Any

Entry = dict[str, Any]
Document = dict[str, Any]

HOSTS = 40
KEY_BITS = 128
TENANT_PRECEDENCE = 1


def document(routes: int, tenants: int, services: int, seed: int = 1) -> Document:
    """Return a whole configuration. Keys are random, so that they are as incompressible as real ones."""
    rng = random.Random(seed)
    entries = [service_entry(n) for n in range(services)]
    entries += [route_entry(n, services) for n in range(routes)]
    entries += [tenant_entry(n, rng) for n in range(tenants)]
    entries.append(
        {
            "entry-kind": "limits",
            "metadata": {},
            "spec": {
                "max-header-bytes": 16384,
                "max-body-bytes": 1 << 26,
                "header-timeout-s": 3,
                "idle-timeout-s": 15,
            },
        }
    )
    return {"generation": 1, "base-version": 0, "resource-list": entries}


def service_entry(number: int) -> Entry:
    """Return a service."""
    return _entry(
        "services",
        f"service-{number}",
        {"health-path": "/health", "max-conns": 140, "protocol": "h1", "tls": False},
    )


def route_entry(number: int, services: int, deadline_s: float = 2.5) -> Entry:
    """Return a route with its own path, to one of the services."""
    return _entry(
        "route-table",
        f"route-{number}",
        {
            "hostname": f"host-{number % HOSTS}.example",
            "path-prefix": f"/area-{number // HOSTS}/item-{number}/",
            "traffic-class": "safe" if number % 3 else "unsafe",
            "deadline-s": deadline_s,
            "target-latency-s": 0.5,
            "precedence": number % 3,
            "max-tries": 2,
            "public": False,
            "target": f"service-{number % services}",
        },
    )


def tenant_entry(number: int, rng: random.Random, keys: int = 1) -> Entry:
    """Return a tenant with an allowance and random keys."""
    rate = rng.choice((1, 2, 5, 20, 100))
    return _entry(
        "tenants",
        f"tenant-{number}",
        {
            "api-keys": [f"{rng.getrandbits(KEY_BITS):032x}" for _ in range(keys)],
            "precedence": TENANT_PRECEDENCE,
            "rate-per-s": rate,
            "burst": rate,
        },
    )


def patch(base: int, entry: Entry) -> Document:
    """Return a change of one entry, based on a version."""
    return {"generation": base + 1, "base-version": base, "upsert": {"resource-list": [entry]}}


def _entry(kind: str, label: str, spec: Entry) -> Entry:
    return {"entry-kind": kind, "metadata": {"label": label}, "spec": spec}
