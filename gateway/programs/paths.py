"""Paths of the programs' own HTTP interfaces."""

from __future__ import annotations

CONFIG = "/-/config"
BACKENDS = "/-/backends/"  # followed by a backend's id
STATUS = "/-/status"
METRICS = "/-/metrics"
CORE = "/-/core"
LEASES = "/-/leases"
