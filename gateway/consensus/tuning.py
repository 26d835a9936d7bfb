"""Timeouts, intervals and sizes of consensus."""

from __future__ import annotations

from typing import NamedTuple


class Tuning(NamedTuple):
    """Parameters of a `RaftNode`.

    Times are in seconds and apply to fast links; on slow links `ElectionTimer.timeout_scale` lengthens
    election timeouts, leases and heartbeat intervals. One-way delays of up to a fifth of `election_min_s`
    need no scaling.
    """

    heartbeat_interval_s: float = 0.08
    election_min_s: float = 0.3  # shortest election timeout
    election_max_s: float = 0.55  # longest election timeout
    lease_margin_s: float = 0.05  # a leader's lease ends this long before its followers may vote for others
    resend_s: float = 0.3  # delay before an unacknowledged entry is resent; doubled with each retry
    max_write_stall_s: float = 1.0  # a leader whose write makes no progress for this long hands over
    presence_timeout_s: float = 1.0  # a member that has responded this recently counts as reachable
    replace_after_s: float = 2.0  # a learner replaces a member that has not responded for this long
    remove_after_s: float = 4.0  # such a member is removed without a replacement after this time
    restart_query_interval_s: float = 0.04  # between queries whether the other members have restarted
    request_interval_s: float = 0.5  # between join requests
    write_retry_s: float = 0.25  # backoff after a failed write
    max_proposal_wait_s: float = 2.0  # a proposal waits at most this long for a membership change
    max_members: int = 9
