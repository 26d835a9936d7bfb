"""Classes of HTTP statuses (RFC 9110, section 15)."""

from __future__ import annotations


def is_success(status: int) -> bool:
    """Whether a status is of class 2xx."""
    return status // 100 == 2  # noqa: PLR2004


def is_client_error(status: int) -> bool:
    """Whether a status is of class 4xx."""
    return status // 100 == 4  # noqa: PLR2004


def is_server_error(status: int) -> bool:
    """Whether a status is of class 5xx, or beyond: what isn't known is taken as such an error."""
    return status >= 500  # noqa: PLR2004
