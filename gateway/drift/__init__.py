"""Drift watch: whether a node runs the acknowledged configuration, and which nodes of the fleet don't."""
