"""Capacity: measures how control grows with size, and writes docs/CAPACITY.md from what was measured."""
