"""Input events and outputs of `RaftNode`, and its tuning parameters."""

from __future__ import annotations

from typing import NamedTuple

from gateway.consensus import consensus_pb2 as pb
from gateway.consensus.records import PersistentState
from gateway.state_machine import Address, Send


class Tuning(NamedTuple):
    """Timing and size parameters. Times are in seconds; one-way delays between members may be up to a fifth
    of `election_min_s`."""

    heartbeat_interval_s: float = 0.08
    election_min_s: float = 0.3  # shortest election timeout
    election_max_s: float = 0.55  # longest election timeout
    lease_margin_s: float = 0.05  # by which a leader's lease ends before its followers may vote for others
    resend_s: float = 0.3  # until an unacknowledged entry is resent; doubled with each retry
    max_write_stall_s: float = 1.0  # of a write without progress, after which a leader hands over
    presence_timeout_s: float = 1.0  # a member silent for no longer than this counts as reachable
    replace_after_s: float = 2.0  # silence after which a learner replaces a member
    remove_after_s: float = 4.0  # silence after which a member is removed without a replacement
    restart_query_interval_s: float = 0.04  # between queries whether the other members have restarted
    request_interval_s: float = 0.5  # between two join requests
    write_retry_s: float = 0.25  # pause after a failed write
    max_proposal_wait_s: float = 2.0  # that a proposal waits for a membership change
    max_members: int = 9


class Received(NamedTuple):
    """A message has arrived from the network."""

    sender: Address
    message: pb.Message


class Tick(NamedTuple):
    """Time has passed; expected about every 25 ms."""


class WriteCompleted(NamedTuple):
    """The write with this token is durable."""

    token: int


class WriteFailed(NamedTuple):
    """The write with this token failed, for the reason `why`. It is retried."""

    token: int
    why: str


class Propose(NamedTuple):
    """Replace the value of version `expected` by this one. Only a leader accepts it. Answer: `Proposed`."""

    token: int
    value: bytes
    expected: int


class Leave(NamedTuple):
    """This process ends soon: transfer leadership, and have its disk removed from the members."""


class KnownAddresses(NamedTuple):
    """Addresses of the core as learned elsewhere, to which a disk that isn't a member sends join requests."""

    addresses: tuple[Address, ...]


class Write(NamedTuple):
    """Persist this record; at most one write is in flight. Answered by `WriteCompleted` or `WriteFailed`."""

    token: int
    record: PersistentState


class Committed(NamedTuple):
    """This value is committed, permanently. Versions increase; some may be skipped."""

    version: int
    value: bytes


class Proposed(NamedTuple):
    """Outcome of a proposal: `done` (committed), `refused` (it never takes effect) or `unknown`."""

    token: int
    outcome: str


Event = Received | Tick | WriteCompleted | WriteFailed | Propose | Leave | KnownAddresses
Output = Send | Write | Committed | Proposed
