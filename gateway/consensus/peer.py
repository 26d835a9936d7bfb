"""What a leader knows of another member, or of a learner."""

from __future__ import annotations

from gateway.consensus.entry import LogPosition, Member
from gateway.state_machine import LONG_AGO


class Peer:
    """Another member, or a learner, as the leader sees it.

    Times are seconds of the leader's clock unless said otherwise.

    Args:
        member: The peer's disk and address.
        now: When it becomes a peer.
        resend_wait_s: Until the newest entry is resent for the first time.
    """

    __slots__ = (
        "acknowledged_at",
        "added_at",
        "address",
        "bare_entry_sent_at",
        "disk",
        "durable_position",
        "last_heard_at",
        "last_position",
        "leaving",
        "replied_at",
        "resend_at",
        "resend_wait_s",
        "vote_withheld_until",
    )

    def __init__(self, member: Member, now: float, resend_wait_s: float = 0.0) -> None:
        self.disk = member.disk
        self.address = member.address
        self.added_at = now
        self.last_heard_at = LONG_AGO
        self.acknowledged_at = LONG_AGO  # when the newest heartbeat that it has acknowledged was sent
        self.vote_withheld_until = LONG_AGO  # from other candidates, less a safety margin
        self.replied_at = 0.0  # when its newest response was sent, by its clock; 0: there is none
        self.last_position: LogPosition | None = None  # newest entry that it holds
        self.durable_position: LogPosition | None = None  # newest entry that it has on disk
        self.resend_at = 0.0  # when the newest entry is resent
        self.resend_wait_s = resend_wait_s  # the backoff after that
        self.bare_entry_sent_at = LONG_AGO  # when an entry without its value was sent
        self.leaving = False  # by its newest response, it is leaving the members
