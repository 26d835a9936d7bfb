"""Whether a request may have run at a backend, which determines the allowed responses and retries."""

from __future__ import annotations

from enum import Enum


class ExecutionStatus(Enum):
    """What is known about a request's execution by backends."""

    NEVER_RAN = "never"  # it has not run and never will: 429, 503, 408, 421 and any retry are allowed
    MAY_HAVE_RAN = "perhaps"  # it was sent, and it is unknown whether it ran
    RAN = "ran"  # a backend has responded that it ran

    @property
    def allows_refusal(self) -> bool:
        """Whether a response that promises that the request never ran may be sent."""
        return self is ExecutionStatus.NEVER_RAN

    def repeatable(self, safe: bool) -> bool:
        """Whether the request may be retried; a `safe` request always may."""
        return safe or self is ExecutionStatus.NEVER_RAN
