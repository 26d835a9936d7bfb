"""The size to design for, and the allowed cost of the control planes at that size."""

from __future__ import annotations

from typing import Final

INGRESSES: Final = 910
CONTROLLERS: Final = 7
BACKENDS: Final = 13_000
SERVICES: Final = 500
REQUESTS_PER_S: Final = 110_000
ROUTES: Final = 4_300
TENANTS: Final = 88_000
REGIONS: Final = 2
ZONES: Final = 6
CHANGES_PER_DAY: Final = 2_400
FAILURES_PER_DAY: Final = 63
RESTARTS_PER_DAY: Final = 760

APPLY_S: Final = 13.0
"""Seconds within which a configuration change must be in force on every ingress."""
ADDED_MS: Final = 1.5
"""Milliseconds that the gateway may add to 99 of 100 requests."""
INGRESS_CORE_SHARE: Final = 0.013
"""Fraction of a core that the control planes may use at an ingress."""
INGRESS_MEMORY_MB: Final = 128.0
INGRESS_BYTES_PER_S: Final = 21_000.0
CONTROLLER_CORE_SHARE: Final = 1.0
"""A controller is one process with one thread for its state machines."""

SECONDS_PER_DAY: Final = 86_400.0
REQUESTS_PER_INGRESS: Final = REQUESTS_PER_S / INGRESSES
BACKEND_HEARTBEAT_S: Final = 1.3
"""Seconds between two heartbeats of a backend, as in the simulator's sites."""
ZONE_DELAY_S: Final = 0.001
"""One-way delay between zones of a region."""
REGION_DELAY_S: Final = 0.035
"""One-way delay between the regions."""
