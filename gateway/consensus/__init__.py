"""Consensus on the configuration: Raft among the core's controllers, with one value as its whole state."""
