"""The same day over loopback: the real programs, the stand-in backends of examples/, clients in HTTP."""
