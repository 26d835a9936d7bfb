"""Errors of the protocols that the ingress speaks."""

from __future__ import annotations

from http import HTTPStatus


class MalformedRequestError(ValueError):
    """A client's request violates the protocol; `status` is the response's status."""

    def __init__(self, reason: str, status: int = HTTPStatus.BAD_REQUEST) -> None:
        super().__init__(reason)
        self.status = status


class MalformedResponseError(Exception):
    """The received bytes aren't a valid HTTP response, or the response is too large."""


class CommandRejectedError(Exception):
    """Raised by a console command; the answer is `error` and this message."""
