"""I/O of the programs: transport between processes, HTTP listener, disk thread, clock, settings, logs."""

VERSION = "0.1.0"
