"""Errors of the consensus package."""

from __future__ import annotations


class ConsensusError(Exception):
    """Base class of all errors of this package."""


class MalformedMessageError(ConsensusError):
    """A received message can't be from a member or learner.

    Attributes:
        field: Name of the field that is out of range; messages that are dropped are counted by it.
    """

    def __init__(self, field: str, value: object) -> None:
        super().__init__(f"{field}: {value!r} is out of range")
        self.field = field


class CorruptRecordError(ConsensusError):
    """Bytes that were read aren't the record of a disk's persistent state."""


class CorruptGenerationError(ConsensusError):
    """A generation on disk is incomplete or damaged, so that an earlier one has to be used.

    Attributes:
        generation: Number of the generation.
    """

    def __init__(self, generation: int, reason: str) -> None:
        super().__init__(f"generation {generation}: {reason}")
        self.generation = generation
