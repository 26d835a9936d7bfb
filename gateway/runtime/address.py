"""Parsing of addresses in the form `ip:port`."""

from __future__ import annotations

from gateway.state_machine import Address

MAX_PORT = 65535


def host_port(address: Address) -> tuple[str, int]:
    """Split an address into host and port.

    Raises:
        ValueError: The address is invalid.
    """
    host, _, port = address.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{address!r} is no address (ip:port)")
    return host, int(port)
