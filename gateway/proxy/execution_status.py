"""May it have run? The one answer that decides what a request may still be told, and whether it may go on."""

from __future__ import annotations

from enum import Enum


class ExecutionStatus(Enum):
    """What is known of a request's runs."""

    NEVER_RAN = "never"  # it has not run and never will: 429, 503, 408 and 421 may be said, and anything sent
    MAY_HAVE_RAN = "perhaps"  # it was sent, and nobody can tell
    RAN = "ran"  # a backend has said so

    @property
    def allows_refusal(self) -> bool:
        """Whether an answer that promises that it never ran may be given."""
        return self is ExecutionStatus.NEVER_RAN

    def repeatable(self, safe: bool) -> bool:
        """Whether it may be sent once more."""
        return safe or self is ExecutionStatus.NEVER_RAN
