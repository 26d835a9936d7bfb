"""Runs of a day over loopback: the real programs, the backends of examples/, and HTTP clients."""
