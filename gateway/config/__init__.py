"""Configurations: schema and checks, the operator's changes, the routing tree, and digests against drift."""
