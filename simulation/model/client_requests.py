"""Requests of clients."""

from __future__ import annotations

from simulation.model.operators import HOST
from simulation.spec import Kind


class Request:
    """A request of a client, with all its attempts."""

    __slots__ = (
        "began",
        "ends",
        "hashed",
        "host",
        "is_config_check",
        "key",
        "kind",
        "label",
        "left",
        "number",
        "path",
        "tenant",
        "tried_ingresses",
        "zone",
    )

    def __init__(
        self,
        number: int,
        kind: Kind,
        label: str,
        path: str,
        tenant: str,
        key: str,
        zone: str,
        hashed: int,
        now: float,
    ) -> None:
        self.number = number
        self.kind = kind
        self.label = label
        self.path = path
        self.tenant = tenant
        self.key = key
        self.zone = zone
        self.hashed = hashed
        self.host = HOST
        self.is_config_check = False
        self.began = now
        self.ends = now + kind.deadline_s
        self.left = kind.repeats
        self.tried_ingresses: set[str] = set()
