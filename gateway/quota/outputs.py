"""Outputs of the quota plane's state machines."""

from __future__ import annotations

from typing import NamedTuple

from gateway.state_machine import FencingToken, Send

OVER_ALLOWANCE = "over the allowance"
"""Reason of a rejection: the tenant has used up its allowance."""


class ChargeDecision(NamedTuple):
    """The response to a `ChargeRequest`.

    A rejection includes its reason and the number of seconds to wait before a retry.
    """

    attempt_id: int
    admitted: bool
    retry_after_s: float = 0.0
    reason: str = ""


class PublishShardMap(NamedTuple):
    """A new shard map for all quota clients; it supersedes any map with a lower fencing token."""

    fencing_token: FencingToken
    data: bytes


ClientOutput = Send | ChargeDecision
OwnerOutput = Send
AssignerOutput = Send | PublishShardMap
