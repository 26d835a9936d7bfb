"""Errors of the consensus package."""

from __future__ import annotations


class ConsensusError(Exception):
    """Base class of all errors of this package."""


class MalformedMessageError(ConsensusError):
    """A received message can't have been sent by a member or learner.

    Attributes:
        field: Name of the invalid field. Dropped messages are counted by this name.
    """

    def __init__(self, field: str, value: object) -> None:
        super().__init__(f"{field}: {value!r} is out of range")
        self.field = field


class CorruptRecordError(ConsensusError):
    """The bytes read from disk are not a valid record of persistent state."""


class CorruptGenerationError(ConsensusError):
    """A generation on disk is incomplete or damaged; an earlier one has to be used.

    Attributes:
        generation: Number of the generation.
    """

    def __init__(self, generation: int, reason: str) -> None:
        super().__init__(f"generation {generation}: {reason}")
        self.generation = generation
