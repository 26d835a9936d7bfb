"""Outputs of `RaftNode`, which its driver must carry out in order."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from gateway.consensus.entry import PersistentState
from gateway.state_machine import Send


class ProposalOutcome(StrEnum):
    """The result of a proposal."""

    COMMITTED = "committed"
    REJECTED = "rejected"  # it will never take effect
    UNKNOWN = "unknown"  # leadership was lost during replication; it may or may not take effect


class Write(NamedTuple):
    """Persist this record, then report `WriteCompleted` or `WriteFailed`. At most one write is in flight."""

    token: int
    record: PersistentState


class Committed(NamedTuple):
    """This value is permanently committed. Versions increase; some may be skipped."""

    version: int
    value: bytes


class Proposed(NamedTuple):
    """The result of the proposal with this token."""

    token: int
    outcome: ProposalOutcome


Output = Send | Write | Committed | Proposed
