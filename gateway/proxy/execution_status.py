"""Whether a request may have run at a backend: this decides which answers are allowed, and any retry."""

from __future__ import annotations

from enum import Enum


class ExecutionStatus(Enum):
    """What is known of a request's execution by backends."""

    NEVER_RAN = "never"  # it has not run and never will: 429, 503, 408 and 421 are allowed, and any retry
    MAY_HAVE_RAN = "perhaps"  # it was sent, and it is unknown whether it ran
    RAN = "ran"  # a backend has answered that it did

    @property
    def allows_refusal(self) -> bool:
        """Whether an answer that promises that the request never ran may be given."""
        return self is ExecutionStatus.NEVER_RAN

    def repeatable(self, safe: bool) -> bool:
        """Whether the request may be retried; `safe` requests always may."""
        return safe or self is ExecutionStatus.NEVER_RAN
