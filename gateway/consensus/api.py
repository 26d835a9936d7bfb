"""What goes into the agreement and what comes out of it."""

from __future__ import annotations

from typing import NamedTuple

from gateway.consensus import consensus_pb2 as pb
from gateway.consensus.records import PersistentState
from gateway.state_machine import Address, Send


class Tuning(NamedTuple):
    """Times in seconds. Ways between members may take up to a fifth of `election_min_s`."""

    heartbeat_interval_s: float = 0.08
    election_min_s: float = 0.3  # silence of the leader that a follower bears at least
    election_max_s: float = 0.55
    lease_margin_s: float = 0.05  # by which a leader's lease ends before others may vote
    resend_s: float = 0.3  # of an entry; doubled with each further time
    max_write_stall_s: float = 1.0  # of a write, after which a leader hands over
    presence_timeout_s: float = 1.0  # silence that counts as being there
    replace_after_s: float = 2.0  # silence after which a newcomer takes a member's place
    remove_after_s: float = 4.0  # silence after which a member goes without one
    restart_query_interval_s: float = 0.04  # between two asks whether others have begun anew
    request_interval_s: float = 0.5  # between two asks to join or to leave
    write_retry_s: float = 0.25  # after a write that failed
    max_proposal_wait_s: float = 2.0  # that a proposal waits for a change of members
    max_members: int = 9


class Received(NamedTuple):
    """A note has come."""

    sender: Address
    message: pb.Message


class Tick(NamedTuple):
    """Time goes on; wanted about every 25 ms."""


class WriteCompleted(NamedTuple):
    """The write of this token is on disk."""

    token: int


class WriteFailed(NamedTuple):
    """The write of this token failed. It is tried anew."""

    token: int
    why: str


class Propose(NamedTuple):
    """Agree on a value in place of version `expected`; for the leader alone. Answered by `Proposed`."""

    token: int
    value: bytes
    expected: int


class Leave(NamedTuple):
    """This process ends soon: hand over, and have its disk taken out of the members."""


class KnownAddresses(NamedTuple):
    """Addresses of the core as learned elsewhere, for a disk that isn't a member yet."""

    addresses: tuple[Address, ...]


class Write(NamedTuple):
    """Save this record; at most one write is out at a time."""

    token: int
    record: PersistentState


class Committed(NamedTuple):
    """This value is agreed on, for good. Versions rise, some may be left out."""

    version: int
    value: bytes


class Proposed(NamedTuple):
    """What became of a proposal: `done`; `refused`: it is not and won't be in force; `unknown`."""

    token: int
    outcome: str


Event = Received | Tick | WriteCompleted | WriteFailed | Propose | Leave | KnownAddresses
Output = Send | Write | Committed | Proposed
