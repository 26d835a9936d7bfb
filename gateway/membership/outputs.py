"""Outputs of the membership state machines, besides messages to other processes (`Send`)."""

from __future__ import annotations

from typing import NamedTuple

from gateway.membership.types import Backend, CallToken
from gateway.state_machine import Address, FencingToken, Send


class Acknowledged(NamedTuple):
    """Answer a backend's call with 200, and name the controller for its later heartbeats ("": none)."""

    token: CallToken
    target: Address = ""


class Rejected(NamedTuple):
    """Answer a backend's call with 503: it is to try another controller."""

    token: CallToken


class BackendAdded(NamedTuple):
    """A backend that was not known."""

    backend: Backend


class BackendChanged(NamedTuple):
    """A known backend has changed significantly, for example has begun to drain."""

    backend: Backend


class BackendRemoved(NamedTuple):
    """A backend is gone: no more requests may be sent to it."""

    id: str


class ValueUpdated(NamedTuple):
    """The newest value of a kind. It may be repeated, and versions may be skipped.

    `kind` is a `ValueKind`, or one that only a later release knows.
    """

    kind: int
    fencing_token: FencingToken
    data: bytes
    digest: bytes


class ConfigAdvertised(NamedTuple):
    """The process `source` has this configuration ("": it is known to exist). `digest` has 8 bytes."""

    version: int
    digest: bytes
    source: Address


class RunningConfig(NamedTuple):
    """A follower reports the configuration that it runs, with 8 bytes of the digest.

    `findings` is the number of its drift findings so far, `finding` the latest one.
    """

    node: Address
    version: int
    digest: bytes
    findings: int
    finding: str


class CoreMembers(NamedTuple):
    """Newer members of the core, learned by gossip from peers."""

    members_version: FencingToken
    members: tuple[Address, ...]


BackendChange = BackendAdded | BackendChanged | BackendRemoved
CallAnswer = Acknowledged | Rejected
GossipOutput = Send | ConfigAdvertised | CoreMembers
ControllerOutput = (
    Send | CallAnswer | BackendChange | ValueUpdated | ConfigAdvertised | RunningConfig | CoreMembers
)
ProxyOutput = Send | BackendChange | ValueUpdated | ConfigAdvertised | CoreMembers
