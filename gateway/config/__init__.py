"""Configurations: their check, the operator's orders, and the tree of matchers that requests go through."""
