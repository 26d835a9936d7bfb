"""Message planes between processes: their names in transcripts, and those of their figures."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from gateway.programs.startup import CONSENSUS, MEMBERSHIP, QUOTA

PLANE_NAMES: Final = {CONSENSUS: "consensus", MEMBERSHIP: "membership", QUOTA: "quota"}
"""Names by the number that stands before each message on the wire."""


class UnknownPlaneError(ValueError):
    """A name that no message plane has."""


def message_rate(plane: str) -> str:
    """The name of a plane's figure of messages."""
    return f"{plane}_messages_a_second"


def byte_rate(plane: str) -> str:
    """The name of a plane's figure of bytes."""
    return f"{plane}_bytes_a_second"


def check_names(names: Iterable[str]) -> None:
    """Raise `UnknownPlaneError` where a name is no plane's."""
    unknown = sorted(set(names) - set(PLANE_NAMES.values()))
    if unknown:
        known = ", ".join(PLANE_NAMES.values())
        raise UnknownPlaneError(f"unknown plane {', '.join(unknown)}; there are {known}")
