"""A change log at its source. Only the last change of each key is stored, which bounds the memory."""

from __future__ import annotations

import random
from collections.abc import Collection, Hashable
from math import inf
from typing import NamedTuple

from gateway.membership import codec
from gateway.membership import membership_pb2 as pb
from gateway.membership.codec import EndRecord, Record, ReleaseRecord, ZonedAddress
from gateway.state_machine import Address, Send

FOLLOWER_LIVE_S = 1.5  # changes are pushed to followers that were in contact within this time
PUSH_RETRY_S = 0.25  # an unconfirmed push is repeated after this time
# Minimum interval of pushes to one controller; changes in between are sent at the next tick.
PUSH_INTERVAL_S = 0.02
# The same for a proxy: there are many proxies, and no acknowledgement waits for them.
INGRESS_PUSH_INTERVAL_S = 0.1
FOLLOWER_RETENTION_S = 30.0  # a follower is removed after this time without contact
MAX_FOLLOWERS = 4096
NEEDS_SNAPSHOT = -1  # position of a follower that needs a snapshot
NOT_AN_INGRESS = -1  # zone of a follower that is not a proxy


class LogItem(NamedTuple):
    """The last change of a key and its number."""

    number: int
    record: Record


class _FollowerState:
    __slots__ = ("last_contact_at", "position", "sent_at", "sent_position", "zone")

    def __init__(self) -> None:
        self.last_contact_at = 0.0
        self.position = NEEDS_SNAPSHOT
        self.sent_position = 0
        self.sent_at = -inf
        self.zone = NOT_AN_INGRESS

    def is_live(self, now: float) -> bool:
        """Whether the follower was in contact recently."""
        return now - self.last_contact_at < FOLLOWER_LIVE_S


class ChangeLog:
    """Numbered changes by key, which followers read starting at a position.

    A follower gets a snapshot if it follows another log (another random `id`), or if its position is below
    `floor`, the number of the newest expired record.
    """

    def __init__(self, rng: random.Random, zone: int = 0, max_followers: int = MAX_FOLLOWERS) -> None:
        self.id = rng.randrange(1, 1 << 32)
        self.zone = zone
        self.max_followers = max_followers
        self.position = 0
        self.quorate_until = inf  # a lease: it ends without an event, even while this process is paused
        # Hashes of the addresses of sources that this process has no contact with.
        self.unreachable: Collection[int] = ()
        self.items: dict[Hashable, LogItem] = {}  # in the order of their numbers
        self.floor = 0  # changes up to this number may have expired
        self.followers: dict[Address, _FollowerState] = {}
        self._replies: dict[int, pb.Message] = {}  # by position, built at `_replies_at`
        self._replies_at = -1.0

    def quorate(self, now: float) -> bool:
        """Whether this process is in contact with a majority of the core."""
        return now < self.quorate_until

    def put(self, key: Hashable, record: Record) -> int:
        """Append a change, which replaces the key's last change and is sent with the next `push`.

        Returns:
            The number of the change.
        """
        self.items.pop(key, None)
        self.position += 1
        self.items[key] = LogItem(self.position, record)
        self._replies_at = -1.0
        return self.position

    def get(self, key: Hashable) -> Record | None:
        """The last change of a key."""
        item = self.items.get(key)
        return item.record if item else None

    def number(self, key: Hashable) -> int:
        """The number of a key's last change; 0 if there is none."""
        item = self.items.get(key)
        return item.number if item else 0

    def confirmations(self, number: int, members: Collection[Address]) -> int:
        """The number of these members that have confirmed the log up to this number."""
        followers = [self.followers[member] for member in members if member in self.followers]
        return sum(follower.position >= number for follower in followers)

    def on_follow(self, now: float, sender: Address, follow: pb.Follow) -> list[Send]:
        """Handle a follower's report of its position in this log: send what it lacks."""
        follower = self.followers.get(sender)
        if follower is None:
            if len(self.followers) >= self.max_followers:
                return []
            follower = _FollowerState()
            self.followers[sender] = follower
        follower.last_contact_at = now
        if follow.zone:
            follower.zone = follow.zone - 1
        is_valid = follow.log == self.id and self.floor <= follow.position <= self.position
        follower.position = follow.position if is_valid else NEEDS_SNAPSHOT
        if follower.position == self.position and follow.quiet:
            return []
        return [self._send(now, sender, follower)]

    def ingresses(self, now: float) -> list[ZonedAddress]:
        """The zone number and address of each proxy that follows this log, sorted."""
        return sorted(
            ZonedAddress(follower.zone, address)
            for address, follower in self.followers.items()
            if follower.zone != NOT_AN_INGRESS and follower.is_live(now)
        )

    def push(self, now: float) -> list[Send]:
        """Send new and unconfirmed changes to all live followers."""
        sends = []
        for address, follower in self.followers.items():
            lacks_changes = self.floor <= follower.position < self.position
            if not lacks_changes or not follower.is_live(now):
                continue  # it is up to date, or gets a snapshot in the reply to its next heartbeat
            is_ingress = follower.zone != NOT_AN_INGRESS
            interval_s = INGRESS_PUSH_INTERVAL_S if is_ingress else PUSH_INTERVAL_S
            has_unsent = follower.sent_position < self.position
            if now - follower.sent_at >= (interval_s if has_unsent else PUSH_RETRY_S):
                sends.append(self._send(now, address, follower))
        return sends

    def tick(self, now: float) -> list[Send]:
        """Push pending changes, and remove expired records and unresponsive followers."""
        for key, item in list(self.items.items()):
            if isinstance(item.record, EndRecord | ReleaseRecord) and item.record.until <= now:
                del self.items[key]
                self.floor = max(self.floor, item.number)
        for address, follower in list(self.followers.items()):
            if now - follower.last_contact_at > FOLLOWER_RETENTION_S:
                del self.followers[address]
        return self.push(now)

    def _send(self, now: float, to: Address, follower: _FollowerState) -> Send:
        follower.sent_position = self.position
        follower.sent_at = now
        if now != self._replies_at:
            self._replies = {}
            self._replies_at = now
        message = self._replies.get(follower.position)
        if message is None:
            message = self._reply(now, follower.position)
            self._replies[follower.position] = message
        return Send(to, message)

    def _reply(self, now: float, position: int) -> pb.Message:
        message = pb.Message()
        reply = message.follow_reply
        reply.log = self.id
        reply.position = self.position
        reply.quorate = self.quorate(now)
        reply.unreachable.extend(self.unreachable)
        if position == NEEDS_SNAPSHOT:
            reply.snapshot = True
            reply.zone = self.zone + 1
            records = (item.record for item in self.items.values())
            codec.fill_reply(reply, now, (r for r in records if not isinstance(r, ReleaseRecord)))
        elif position < self.position:
            reply.base = position
            codec.fill_reply(reply, now, self._since(position))
        return message

    def _since(self, position: int) -> list[Record]:
        """The changes after a position, oldest first."""
        found = []
        for number, record in reversed(self.items.values()):
            if number <= position:
                break
            found.append(record)
        return found[::-1]
