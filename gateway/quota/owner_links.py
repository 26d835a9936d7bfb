"""A quota client's links to the shard owners: the shards of each, whether it answers, what it was sent."""

from __future__ import annotations

from collections.abc import Iterable

from google.protobuf.message import DecodeError

from gateway.quota.client_count import ClientCountBound
from gateway.quota.local_quota import LocalQuota
from gateway.quota.protocol import CLIENT_HEARTBEAT_S, SHARDS, shard_of
from gateway.quota.quota_pb2 import ClientHeartbeat, ClientHeartbeatReply, Message, ShardMap
from gateway.state_machine import LONG_AGO, Address, FencingToken, Send

MAX_MISSED_REPLIES = 2  # unanswered messages in a row after which an owner counts as unresponsive
IDLE_HEARTBEAT_S = 1.0  # interval of heartbeats to an owner that gets charges all the time or gave no share
LEAVE_RETRY_S = 0.08  # interval of messages to an owner that has not answered that this quota client leaves
MAX_LEAVE_ATTEMPTS = 3  # such messages to each owner; one that gets none waits for the shares to expire
VIEW_REPORT_S = 5.0  # interval of heartbeats that report this quota client's views of the counts


class OwnerLink:
    """The state of the link to one shard owner. Times are seconds of the steady clock."""

    __slots__ = (
        "address",
        "heartbeat_number",
        "heartbeat_sent_at",
        "last_heard_at",
        "last_sent_at",
        "missed_replies",
        "shards",
        "shares_reported",
        "views_reported_at",
    )

    def __init__(self, address: Address) -> None:
        self.address = address
        self.shards = 0  # bitmask
        self.last_heard_at = LONG_AGO
        self.last_sent_at = LONG_AGO
        self.missed_replies = 0
        self.heartbeat_number = 0  # of the newest heartbeat
        self.heartbeat_sent_at = LONG_AGO
        self.shares_reported = False  # whether the owner knows all shares in its shards
        self.views_reported_at = LONG_AGO

    @property
    def is_unresponsive(self) -> bool:
        """Whether the owner has not answered lately."""
        return self.missed_replies >= MAX_MISSED_REPLIES

    def on_reply(self, now: float) -> None:
        """The owner has sent a message."""
        self.last_heard_at = now
        self.missed_replies = 0

    def on_no_reply(self, since: float) -> None:
        """A message sent at `since` has had no answer, unless the owner was heard after it."""
        if self.last_heard_at < since:
            self.missed_replies += 1


class OwnerLinks:
    """The links to all owners in the newest shard map."""

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.links: dict[Address, OwnerLink] = {}
        self.link_of_shard: list[OwnerLink | None] = [None] * SHARDS
        self.fencing_token = FencingToken(0, 0)
        self.client_count = ClientCountBound()  # quota clients that may have shares, as owners report it
        self.next_check_at = 0.0  # for owners that need a heartbeat
        self.unacknowledged_leaves: dict[Address, ClientHeartbeat] = {}  # last heartbeats, not answered yet
        self.leave_attempts = 0  # how often they were sent

    def apply_shard_map(self, now: float, data: bytes) -> None:
        """Adopt a serialized shard map, unless it is malformed or a newer one is known."""
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
        """Take an owner's answer to a heartbeat."""
        self.client_count.update(now, reply.client_count, reply.last_heard_ms)
        last = self.unacknowledged_leaves.get(link.address)
        if last is not None and reply.number == last.number:
            del self.unacknowledged_leaves[link.address]
        link.shares_reported = not reply.unreported_shards & link.shards

    def tick(self, now: float, local_quotas: Iterable[LocalQuota]) -> list[Send]:
        """Send a heartbeat to each owner that needs one now."""
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
        """Return all shares, with the units admitted by them; the shares must not be used from now on."""
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
        """Repeat the last heartbeat to the owners that have not answered it, up to a limit."""
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
        """The next heartbeat to an owner.

        It has this client's shares until the owner knows them, and at times its views of the counts.
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
    """Add what has become known of the owner's counts since the last report."""
    for quota in quotas:
        if quota.remaining_known_at > link.views_reported_at and _is_counted_by(quota, link):
            heartbeat.views.add(
                tenant=quota.number,
                remaining=quota.remaining,
                age_ms=int((now - quota.remaining_known_at) * 1000),
            )
