"""Errors of the ingress's start."""

from __future__ import annotations


class ConfigurationError(Exception):
    """The configuration is missing or invalid; the message is one line."""
