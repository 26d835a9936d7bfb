"""A quota client's links to the shard owners: the shards of each, whether it answers, what it was sent."""

from __future__ import annotations

from collections.abc import Iterable

from google.protobuf.message import DecodeError

from gateway.quota import quota_pb2 as pb
from gateway.quota.interface import CLIENT_HEARTBEAT_S, SHARDS
from gateway.quota.local_quota import LocalQuota
from gateway.quota.peers import Peers
from gateway.quota.quota_pb2 import ClientHeartbeat, Message
from gateway.state_machine import Address, Send

SILENT_AFTER_MISSES = 2  # unanswered messages in a row after which an owner counts as silent
IDLE_HEARTBEAT_S = 1.0  # interval of heartbeats to an owner that gets charges all the time or gave no share
LEAVE_RETRY_S = 0.08  # interval of messages to an owner that has not answered that this quota client leaves
MAX_LEAVE_MESSAGES = 3  # such messages to each owner; one that gets none waits for the shares to expire
VIEW_REPORT_S = 5.0  # interval of heartbeats that report this quota client's views of the counts


class OwnerLink:
    """The state of the link to one shard owner."""

    __slots__ = ("address", "heard", "misses", "number", "shards", "sent", "told", "told_at", "viewed_at")

    def __init__(self, address: Address) -> None:
        self.address = address
        self.shards = 0
        self.heard = -1e9
        self.sent = -1e9
        self.misses = 0
        # number and time of the newest heartbeat
        self.number = 0
        self.told_at = -1e9
        self.told = False  # whether the owner knows all shares in its shards
        self.viewed_at = -1e9  # when views were last reported to it

    @property
    def silent(self) -> bool:
        """Whether the owner has not answered lately."""
        return self.misses >= SILENT_AFTER_MISSES

    def missed(self, since: float) -> None:
        """Note that a message sent at `since` has had no answer."""
        if self.heard < since:
            self.misses += 1


class OwnerLinks:
    """The links to all owners in the newest shard map."""

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.links: dict[Address, OwnerLink] = {}
        self.link_of_shard: list[OwnerLink | None] = [None] * SHARDS
        self.fencing_token = (0, 0)
        self.peers = Peers()  # quota clients that may have shares, as reported by owners
        self.due = 0.0  # next check for owners that need a heartbeat
        self.leaving: dict[Address, ClientHeartbeat] = {}  # last heartbeat to owners that haven't answered it
        self.leave_messages = 0  # how often it was sent

    def follow(self, now: float, data: bytes) -> None:
        """Adopt a serialized shard map, unless it is malformed or a newer one is known."""
        try:
            table = pb.ShardMap.FromString(data)
        except DecodeError:
            return
        fencing_token = (table.term, table.number)
        owners = list(table.owners)
        if fencing_token <= self.fencing_token or len(table.owner_of_shard) != SHARDS:
            return
        self.fencing_token = fencing_token
        links = {address: self.links.get(address) or OwnerLink(address) for address in owners}
        shards = dict.fromkeys(owners, 0)
        for part, index in enumerate(table.owner_of_shard):
            address = owners[index] if index < len(owners) else None
            self.link_of_shard[part] = links[address] if address is not None else None
            if address is not None:
                shards[address] |= 1 << part
        for address, link in links.items():
            if shards[address] & ~link.shards:
                link.told = False
            link.shards = shards[address]
        self.links = links
        self.due = now

    def on_heartbeat_reply(self, now: float, link: OwnerLink, heard: pb.ClientHeartbeatReply) -> None:
        """Take an owner's answer to a heartbeat."""
        self.peers.learn(now, heard.peers, heard.silent_ms)
        last = self.leaving.get(link.address)
        if last is not None and heard.number == last.number:
            del self.leaving[link.address]
        link.told = not heard.missing & link.shards

    def tick(self, now: float, local_quotas: Iterable[LocalQuota]) -> list[Send]:
        """Send a heartbeat to each owner that needs one now."""
        if now < self.due:
            return []
        self.due = now + CLIENT_HEARTBEAT_S / 2
        known = list(local_quotas)
        live = [p for p in known if p.live(now)]
        share_owners = {p.share_owner for p in live}
        out = []
        for link in self.links.values():
            soon = (
                CLIENT_HEARTBEAT_S
                if not link.told or link.misses or link.address in share_owners
                else IDLE_HEARTBEAT_S
            )
            if now >= link.sent + soon or now >= link.told_at + (
                IDLE_HEARTBEAT_S if link.told else CLIENT_HEARTBEAT_S
            ):
                out.append(self.tell(now, link, live, known))
        return out

    def leave(self, now: float, local_quotas: Iterable[LocalQuota]) -> list[Send]:
        """Return all shares, with the units admitted by them; the shares must not be used from now on."""
        known = list(local_quotas)
        live = [p for p in known if p.live(now)]
        for link in self.links.values():
            last = self.tell(now, link, live, known).message.client_heartbeat
            last.leaving = True
            reported = {share.tenant for share in last.shares}
            for local_quota in known:
                if local_quota.spent and local_quota.number not in reported:
                    last.shares.add(tenant=local_quota.number, spent=local_quota.spent)
            self.leaving[link.address] = last
        return self.repeat_leaving(now)

    def repeat_leaving(self, now: float) -> list[Send]:
        """Repeat the last heartbeat to the owners that have not answered it, up to a limit."""
        self.due = now + LEAVE_RETRY_S
        if self.leave_messages >= MAX_LEAVE_MESSAGES:
            self.leaving = {}
        self.leave_messages += 1
        return [Send(address, Message(client_heartbeat=last)) for address, last in self.leaving.items()]

    def tell(self, now: float, link: OwnerLink, live: list[LocalQuota], known: list[LocalQuota]) -> Send:
        """The heartbeat to an owner, with this client's shares until the owner knows them, and at times its
        views of the counts.
        """
        link.missed(link.told_at)
        link.number += 1
        link.told_at = link.sent = now
        client_heartbeat = ClientHeartbeat(incarnation=self.incarnation, number=link.number)
        if link.silent:
            client_heartbeat.hears_nothing = True
        client_heartbeat.peers, silent_ms = self.peers.told(now)
        client_heartbeat.silent_ms.extend(silent_ms)
        if not link.told:
            client_heartbeat.shards = link.shards
            for local_quota in live:
                if link.shards >> (local_quota.number % SHARDS) & 1:
                    client_heartbeat.shares.add(
                        tenant=local_quota.number,
                        part=local_quota.share,
                        spent=local_quota.spent,
                        left_ms=int((local_quota.until - now) * 1000) + 1,
                        accrues_in_ms=int(local_quota.accrues_from(now) * 1000),
                    )
        if now >= link.viewed_at + VIEW_REPORT_S:
            for local_quota in known:
                if (
                    local_quota.remaining_at > link.viewed_at
                    and link.shards >> (local_quota.number % SHARDS) & 1
                ):
                    client_heartbeat.views.add(
                        tenant=local_quota.number,
                        remaining=local_quota.remaining,
                        age_ms=int((now - local_quota.remaining_at) * 1000),
                    )
            link.viewed_at = now
        return Send(link.address, Message(client_heartbeat=client_heartbeat))
