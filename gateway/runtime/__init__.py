"""The driver: connects the state machines to sockets, clock and disk, and the programs on top."""

VERSION = "0.1.0"
