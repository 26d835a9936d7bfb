"""Errors of the membership package."""

from __future__ import annotations


class MembershipError(Exception):
    """Base class of all errors of this package."""


class InvalidAddressError(MembershipError, ValueError):
    """An address is not a valid IPv4 `ip:port`.

    Attributes:
        address: The address as it was given.
    """

    def __init__(self, address: str) -> None:
        super().__init__(f"{address!r} is not an address (ip:port)")
        self.address = address


class MalformedValueError(MembershipError, ValueError):
    """The bytes of a published value can't be decoded as its kind.

    Attributes:
        kind: The expected kind of value.
    """

    def __init__(self, kind: str, size: int) -> None:
        super().__init__(f"{size} bytes are not a valid {kind}")
        self.kind = kind
