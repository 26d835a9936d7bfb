"""Errors of the config package; errors in an operator's input are `schema.ConfigError` values."""

from __future__ import annotations


class ConfigurationError(Exception):
    """Base class of all exceptions of this package."""


class MalformedStateError(ConfigurationError, ValueError):
    """A replicated value can't be decoded: it is corrupt, or was written by an unsupported release."""
