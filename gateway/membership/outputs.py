"""Outputs of the membership state machines in addition to messages to other processes (`Send`)."""

from __future__ import annotations

from typing import NamedTuple

from gateway.membership.types import Backend, CallToken
from gateway.state_machine import Address, FencingToken, Send


class Acknowledged(NamedTuple):
    """Answer a backend's call with 200, and name the controller for its next heartbeats ("": none)."""

    token: CallToken
    target: Address = ""


class Rejected(NamedTuple):
    """Answer a backend's call with 503, so that it tries another controller."""

    token: CallToken


class BackendAdded(NamedTuple):
    """A backend was added to the table."""

    backend: Backend


class BackendChanged(NamedTuple):
    """A backend has changed significantly, for example it has started to drain."""

    backend: Backend


class BackendRemoved(NamedTuple):
    """A backend was removed; no more requests may be sent to it."""

    id: str


class ValueUpdated(NamedTuple):
    """The newest value of a kind. It may be repeated, and versions may be skipped.

    `kind` is a `ValueKind`, or a kind that only a later release knows.
    """

    kind: int
    fencing_token: FencingToken
    data: bytes
    digest: bytes


class ConfigAdvertised(NamedTuple):
    """The process `source` has this configuration ("": it is known to exist); `digest` has 8 bytes."""

    version: int
    digest: bytes
    source: Address


class RunningConfig(NamedTuple):
    """A follower reports its running configuration, with the first 8 bytes of the digest.

    `findings` is the total number of its drift findings, `finding` the latest one.
    """

    node: Address
    version: int
    digest: bytes
    findings: int
    finding: str


class CoreMembers(NamedTuple):
    """Newer members of the core, learned from peers by gossip."""

    members_version: FencingToken
    members: tuple[Address, ...]


BackendChange = BackendAdded | BackendChanged | BackendRemoved
CallAnswer = Acknowledged | Rejected
GossipOutput = Send | ConfigAdvertised | CoreMembers
ControllerOutput = (
    Send | CallAnswer | BackendChange | ValueUpdated | ConfigAdvertised | RunningConfig | CoreMembers
)
ProxyOutput = Send | BackendChange | ValueUpdated | ConfigAdvertised | CoreMembers
