"""Drift watch: whether a node runs what was last set, and who of the fleet does not."""
