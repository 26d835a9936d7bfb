"""Errors of the membership package."""

from __future__ import annotations


class MembershipError(Exception):
    """Base class of all errors of this package."""


class InvalidAddressError(MembershipError, ValueError):
    """An address isn't an IPv4 `ip:port`.

    Attributes:
        address: The address as it was given.
    """

    def __init__(self, address: str) -> None:
        super().__init__(f"{address!r} is no address (ip:port)")
        self.address = address


class MalformedValueError(MembershipError, ValueError):
    """The bytes of a published value aren't of its kind.

    Attributes:
        kind: What they were expected to be.
    """

    def __init__(self, kind: str, size: int) -> None:
        super().__init__(f"{size} bytes are no {kind}")
        self.kind = kind
