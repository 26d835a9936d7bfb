"""Outputs of `Decisions` in addition to those of `ingress.interface`."""

from __future__ import annotations

from typing import NamedTuple

from gateway.state_machine import Send
from ingress import interface as io


class RejectOverQuota(NamedTuple):
    """Respond to a request with 429 because its tenant has exceeded its allowance.

    `reason` is logged; `retry_after_s` is the time until the tenant has units again.
    """

    request_id: str
    retry_after_s: float
    reason: str = ""


Output = io.Action | Send | RejectOverQuota
