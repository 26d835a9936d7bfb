"""Errors of the config package. Errors of the operator are values of type `schema.ConfigError` instead."""

from __future__ import annotations


class ConfigurationError(Exception):
    """Base class of all exceptions of this package."""


class MalformedStateError(ConfigurationError, ValueError):
    """A replicated value can't be decoded: it is damaged, or written by a release that isn't known here."""
