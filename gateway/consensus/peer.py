"""A leader's view of another member or a learner."""

from __future__ import annotations

from gateway.consensus.entry import LogPosition, Member
from gateway.state_machine import LONG_AGO


class Peer:
    """Another member, or a learner, as seen by the leader.

    Times are seconds of the leader's clock unless stated otherwise.

    Args:
        member: The peer's disk and address.
        now: The time at which it becomes a peer.
        resend_wait_s: Delay before the newest entry is first resent.
    """

    __slots__ = (
        "acknowledged_at",
        "added_at",
        "address",
        "disk",
        "durable_position",
        "entry_without_value_sent_at",
        "last_contact_at",
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
        self.last_contact_at = LONG_AGO
        self.acknowledged_at = LONG_AGO  # send time of the newest heartbeat that it has acknowledged
        self.vote_withheld_until = LONG_AGO  # reduced by a safety margin
        self.replied_at = 0.0  # send time of its newest response, by its own clock; 0: no response yet
        self.last_position: LogPosition | None = None  # position of the newest entry it holds in memory
        self.durable_position: LogPosition | None = None  # position of the newest entry it has on disk
        self.resend_at = 0.0  # when to resend the newest entry
        self.resend_wait_s = resend_wait_s  # backoff after the next resend
        self.entry_without_value_sent_at = LONG_AGO  # when an entry was last sent without its value
        self.leaving = False  # its newest response announced that it is leaving the members
