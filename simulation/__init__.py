"""Deterministic simulation of a whole deployment, on the programs' own state machines, and its checkers."""
