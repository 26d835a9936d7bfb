"""Timeouts, intervals and sizes of consensus."""

from __future__ import annotations

from typing import NamedTuple


class Tuning(NamedTuple):
    """Parameters of a `RaftNode`.

    Times are in seconds and hold on fast links: `ElectionTimer.timeout_scale` lengthens election timeouts,
    leases and heartbeat intervals on slow ones. One-way delays may be up to a fifth of `election_min_s`.
    """

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
    write_retry_s: float = 0.25  # backoff after a failed write
    max_proposal_wait_s: float = 2.0  # that a proposal waits for a membership change
    max_members: int = 9
