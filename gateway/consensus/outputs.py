"""Outputs of `RaftNode`, to be carried out by its driver in their order."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from gateway.consensus.entry import PersistentState
from gateway.state_machine import Send


class ProposalOutcome(StrEnum):
    """What became of a proposal."""

    COMMITTED = "committed"
    REJECTED = "rejected"  # it never takes effect
    UNKNOWN = "unknown"  # it may take effect or not: a lost leadership leaves it open


class Write(NamedTuple):
    """Persist this record; answered by `WriteCompleted` or `WriteFailed`. At most one write is in flight."""

    token: int
    record: PersistentState


class Committed(NamedTuple):
    """This value is committed, permanently. Versions increase; some may be skipped."""

    version: int
    value: bytes


class Proposed(NamedTuple):
    """The outcome of the proposal with this token."""

    token: int
    outcome: ProposalOutcome


Output = Send | Write | Committed | Proposed
