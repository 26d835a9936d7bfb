"""Measures how the control planes scale with size, and writes docs/CAPACITY.md from the measurements."""
