"""Addresses in the form `ip:port`, taken apart."""

from __future__ import annotations

from gateway.state_machine import Address


def host_port(address: Address) -> tuple[str, int]:
    """Host and port of an address; ValueError where it is none."""
    host, _, port = address.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) < 65536:
        raise ValueError(f"{address!r} is no address (ip:port)")
    return host, int(port)
