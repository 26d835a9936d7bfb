"""A quota client's links to shard owners: their shards, their liveness, and the heartbeats sent to them."""

from __future__ import annotations

from collections.abc import Iterable

from google.protobuf.message import DecodeError

from gateway.quota.client_count import ClientCountBound
from gateway.quota.local_quota import LocalQuota
from gateway.quota.protocol import CLIENT_HEARTBEAT_S, SHARDS, shard_of
from gateway.quota.quota_pb2 import ClientHeartbeat, ClientHeartbeatReply, Message, ShardMap
from gateway.state_machine import LONG_AGO, Address, FencingToken, Send

MAX_MISSED_REPLIES = 2  # an owner counts as unresponsive after this many unanswered messages in a row
# Heartbeat interval for an owner that receives charges continuously or has granted no share.
IDLE_HEARTBEAT_S = 1.0
# Interval between messages to an owner that has not confirmed that this quota client is leaving.
LEAVE_RETRY_S = 0.08
# Number of such messages per owner; an owner that misses all of them waits for the shares to expire.
MAX_LEAVE_ATTEMPTS = 3
VIEW_REPORT_S = 5.0  # interval of heartbeats that report this quota client's views of the counts


class OwnerLink:
    """The state of the link to one shard owner. Times are seconds of the monotonic clock."""

    __slots__ = (
        "address",
        "heartbeat_number",
        "heartbeat_sent_at",
        "last_contact_at",
        "last_sent_at",
        "missed_replies",
        "shards",
        "shares_reported",
        "views_reported_at",
    )

    def __init__(self, address: Address) -> None:
        self.address = address
        self.shards = 0  # bitmask
        self.last_contact_at = LONG_AGO
        self.last_sent_at = LONG_AGO
        self.missed_replies = 0
        self.heartbeat_number = 0  # number of the newest heartbeat
        self.heartbeat_sent_at = LONG_AGO
        self.shares_reported = False  # whether the owner has received all shares of its shards
        self.views_reported_at = LONG_AGO

    @property
    def is_unresponsive(self) -> bool:
        """Whether the owner has not responded recently."""
        return self.missed_replies >= MAX_MISSED_REPLIES

    def on_reply(self, now: float) -> None:
        """Record that a message from the owner was received."""
        self.last_contact_at = now
        self.missed_replies = 0

    def on_no_reply(self, since: float) -> None:
        """Record that a message sent at `since` was not answered, unless the owner has sent one since."""
        if self.last_contact_at < since:
            self.missed_replies += 1


class OwnerLinks:
    """The links to all owners in the newest shard map."""

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.links: dict[Address, OwnerLink] = {}
        self.link_of_shard: list[OwnerLink | None] = [None] * SHARDS
        self.fencing_token = FencingToken(0, 0)
        self.client_count = ClientCountBound()  # clients that may have shares, as reported by owners
        self.next_check_at = 0.0  # next check for owners that need a heartbeat
        # Final heartbeats that have not been answered.
        self.unacknowledged_leaves: dict[Address, ClientHeartbeat] = {}
        self.leave_attempts = 0  # number of times they were sent

    def apply_shard_map(self, now: float, data: bytes) -> None:
        """Apply a serialized shard map, unless it is malformed or superseded."""
        try:
            shard_map = ShardMap.FromString(data)
        except DecodeError:
            return
        fencing_token = FencingToken(shard_map.term, shard_map.number)
        if fencing_token <= self.fencing_token or len(shard_map.owner_of_shard) != SHARDS:
            return
        self.fencing_token = fencing_token
        owners = list(shard_map.owners)
        links = {address: self.links.get(address) or OwnerLink(address) for address in owners}
        shards = dict.fromkeys(owners, 0)
        for shard, index in enumerate(shard_map.owner_of_shard):
            address = owners[index] if index < len(owners) else None
            self.link_of_shard[shard] = links[address] if address is not None else None
            if address is not None:
                shards[address] |= 1 << shard
        for address, link in links.items():
            if shards[address] & ~link.shards:
                link.shares_reported = False
            link.shards = shards[address]
        self.links = links
        self.next_check_at = now

    def on_heartbeat_reply(self, now: float, link: OwnerLink, reply: ClientHeartbeatReply) -> None:
        """Handle an owner's response to a heartbeat."""
        self.client_count.update(now, reply.client_count, reply.last_heard_ms)
        last = self.unacknowledged_leaves.get(link.address)
        if last is not None and reply.number == last.number:
            del self.unacknowledged_leaves[link.address]
        link.shares_reported = not reply.unreported_shards & link.shards

    def tick(self, now: float, local_quotas: Iterable[LocalQuota]) -> list[Send]:
        """Send a heartbeat to each owner that needs one."""
        if now < self.next_check_at:
            return []
        self.next_check_at = now + CLIENT_HEARTBEAT_S / 2
        quotas = list(local_quotas)
        with_share = [quota for quota in quotas if quota.has_share(now)]
        share_owners = {quota.share_owner for quota in with_share}
        return [
            self._heartbeat_to(now, link, with_share, quotas)
            for link in self.links.values()
            if _needs_heartbeat(now, link, gave_share=link.address in share_owners)
        ]

    def leave(self, now: float, local_quotas: Iterable[LocalQuota]) -> list[Send]:
        """Return all shares together with the units admitted by them; they must not be used afterwards."""
        quotas = list(local_quotas)
        with_share = [quota for quota in quotas if quota.has_share(now)]
        for link in self.links.values():
            last = self._heartbeat(now, link, with_share, quotas)
            last.leaving = True
            reported = {share.tenant for share in last.shares}
            for quota in quotas:
                if quota.spent and quota.number not in reported:
                    last.shares.add(tenant=quota.number, spent=quota.spent)
            self.unacknowledged_leaves[link.address] = last
        return self.retry_leave(now)

    def retry_leave(self, now: float) -> list[Send]:
        """Repeat the final heartbeat to owners that have not answered it, up to a limit."""
        self.next_check_at = now + LEAVE_RETRY_S
        if self.leave_attempts >= MAX_LEAVE_ATTEMPTS:
            self.unacknowledged_leaves = {}
        self.leave_attempts += 1
        return [
            Send(address, Message(client_heartbeat=last))
            for address, last in self.unacknowledged_leaves.items()
        ]

    def _heartbeat_to(
        self, now: float, link: OwnerLink, with_share: list[LocalQuota], quotas: list[LocalQuota]
    ) -> Send:
        return Send(link.address, Message(client_heartbeat=self._heartbeat(now, link, with_share, quotas)))

    def _heartbeat(
        self, now: float, link: OwnerLink, with_share: list[LocalQuota], quotas: list[LocalQuota]
    ) -> ClientHeartbeat:
        """Build the next heartbeat to an owner.

        It contains this client's shares until the owner has received them, and periodically its views of the
        counts.
        """
        link.on_no_reply(link.heartbeat_sent_at)
        link.heartbeat_number += 1
        link.heartbeat_sent_at = now
        link.last_sent_at = now
        heartbeat = ClientHeartbeat(incarnation=self.incarnation, number=link.heartbeat_number)
        if link.is_unresponsive:
            heartbeat.owner_unresponsive = True
        count = self.client_count.report(now)
        heartbeat.client_count = count.total
        heartbeat.last_heard_ms.extend(count.last_heard_ms)
        if not link.shares_reported:
            heartbeat.shards = link.shards
            _add_shares(now, heartbeat, [quota for quota in with_share if _is_counted_by(quota, link)])
        if now >= link.views_reported_at + VIEW_REPORT_S:
            _add_views(now, heartbeat, link, quotas)
            link.views_reported_at = now
        return heartbeat


def _is_counted_by(quota: LocalQuota, link: OwnerLink) -> bool:
    return bool(link.shards >> shard_of(quota.number) & 1)


def _needs_heartbeat(now: float, link: OwnerLink, gave_share: bool) -> bool:
    is_urgent = not link.shares_reported or link.missed_replies or gave_share
    send_interval_s = CLIENT_HEARTBEAT_S if is_urgent else IDLE_HEARTBEAT_S
    heartbeat_interval_s = IDLE_HEARTBEAT_S if link.shares_reported else CLIENT_HEARTBEAT_S
    return now >= link.last_sent_at + send_interval_s or now >= link.heartbeat_sent_at + heartbeat_interval_s


def _add_shares(now: float, heartbeat: ClientHeartbeat, quotas: list[LocalQuota]) -> None:
    for quota in quotas:
        heartbeat.shares.add(
            tenant=quota.number,
            size=quota.share_size,
            spent=quota.spent,
            expires_in_ms=int((quota.share_expires_at - now) * 1000) + 1,
            accrues_in_ms=int(quota.accrues_in_s(now) * 1000),
        )


def _add_views(now: float, heartbeat: ClientHeartbeat, link: OwnerLink, quotas: list[LocalQuota]) -> None:
    """Add the views that have changed since the last report."""
    for quota in quotas:
        if quota.remaining_known_at > link.views_reported_at and _is_counted_by(quota, link):
            heartbeat.views.add(
                tenant=quota.number,
                remaining=quota.remaining,
                age_ms=int((now - quota.remaining_known_at) * 1000),
            )
