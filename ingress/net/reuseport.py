"""Direction of new connections on a shared (SO_REUSEPORT) address to the process that takes over."""

from __future__ import annotations

import ctypes
import logging
import socket
import struct

log = logging.getLogger(__name__)

SO_ATTACH_REUSEPORT_CBPF = 51  # Linux; not defined by the standard library
RETURN = 0x06  # BPF_RET | BPF_K
NEWEST = 1  # index of the newer of two listeners, which are numbered in order


def divert_new_connections(fileno: int) -> None:
    """Direct new connections to the second listener of the group, if there is one, else to this one.

    A connection in this listener's queue would be reset when it closes, so the queue has to be emptied first.
    If the kernel refuses, that is logged, and connections are still distributed over both.
    """
    code = ctypes.create_string_buffer(struct.pack("HBBI", RETURN, 0, 0, NEWEST))
    program = struct.pack("HL", 1, ctypes.addressof(code))
    with socket.socket(fileno=socket.dup(fileno)) as listener:
        try:
            listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)
        except OSError as error:  # the kernel still distributes them by hash
            log.warning("new connections are not steered: %s", error)
