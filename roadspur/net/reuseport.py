"""Sends a shared address's new connections to the process that takes over."""

from __future__ import annotations

import ctypes
import logging
import socket
import struct

log = logging.getLogger(__name__)

SO_ATTACH_REUSEPORT_CBPF = 51  # Linux; the standard library does not name it
RETURN = 0x06  # BPF_RET | BPF_K
NEWEST = 1  # listeners are numbered in the order in which they came, and there are two at most


def divert_new_connections(fileno: int) -> None:
    """New connections go to the second listener of the group, if there is one; to this one otherwise.

    A connection that is in this listener's queue when it closes would be reset, so it has to run dry first.
    """
    code = ctypes.create_string_buffer(struct.pack("HBBI", RETURN, 0, 0, NEWEST))
    program = struct.pack("HL", 1, ctypes.addressof(code))
    with socket.socket(fileno=socket.dup(fileno)) as listener:
        try:
            listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)
        except OSError as error:  # the kernel goes on spreading them by its hash
            log.warning("new connections are not steered: %s", error)
