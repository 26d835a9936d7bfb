"""The quota clients of a shard owner: their liveness, and the shares they have reported.

All times are seconds of the owner's monotonic clock; sets of shards are bitmasks.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence

from gateway.quota.client_count import MAX_REPORTED_TIMES, RECENT_S, ClientCountBound
from gateway.quota.protocol import CLIENT_TIMEOUT_S, LEASE_MARGIN_S, SHARE_S
from gateway.quota.quota_pb2 import ClientHeartbeatReply
from gateway.state_machine import Address

MAX_CLIENTS = 1024  # maximum number of quota clients
MAX_FORMER_INCARNATIONS = 8  # per address; late messages of these are dropped
CHECK_INTERVAL_S = 0.1  # interval between checks for unresponsive quota clients


class ClientState:
    """A quota client as seen by a shard owner."""

    __slots__ = (
        "former_incarnations",
        "incarnation",
        "last_contact_at",
        "left_at",
        "reported_shards",
        "shares_expire_at",
    )

    def __init__(self, now: float, incarnation: int) -> None:
        self.last_contact_at = now
        self.incarnation = incarnation
        self.former_incarnations: deque[int] = deque(maxlen=MAX_FORMER_INCARNATIONS)
        self.shares_expire_at = 0.0  # expiry of its last share from this owner
        self.reported_shards = 0  # shards owned here for which it has reported its shares
        self.left_at: float | None = None  # when this incarnation returned all its shares to all owners

    def extend_shares(self, now: float) -> None:
        """Record that it has a share now, usable until the share's lease expires, unless it has left."""
        if self.left_at is None:
            self.shares_expire_at = now + SHARE_S + LEASE_MARGIN_S


class ClientRegistry:
    """Tracks the liveness of quota clients, and the shards for which each has reported its shares.

    `on_restart` is called with the address of a quota client that has returned with a new incarnation.
    """

    def __init__(self, on_restart: Callable[[Address], None]) -> None:
        self.on_restart = on_restart
        self.clients: dict[Address, ClientState] = {}
        # Unresponsive quota clients, and the time of the last contact with each.
        self.unresponsive: dict[Address, float] = {}
        self.epoch = 0  # changes whenever the units reserved for quota clients may have changed
        self.checked_at = 0.0
        self.client_count = ClientCountBound()  # clients that may have shares, as reported by quota clients
        # Times of the last contact with clients that have not been in contact recently.
        self.absent_since: list[float] = []

    def on_message(
        self, now: float, address: Address, incarnation: int, owner_unresponsive: bool = False
    ) -> ClientState | None:
        """Record a message from a quota client.

        Args:
            now: Seconds of the owner's clock.
            address: The client's address.
            incarnation: The incarnation of the client's process.
            owner_unresponsive: Whether the client gets no responses from this owner, and admits by its
                shares.

        Returns:
            The client's state; None if there are too many clients.
        """
        client = self.clients.get(address)
        if client is None:
            if len(self.clients) >= MAX_CLIENTS:
                return None
            client = ClientState(now, incarnation)
            self.clients[address] = client
        elif client.incarnation != incarnation:
            self._on_restart(address, client, incarnation)
        elif client.left_at is not None:
            return client  # a late or duplicated message
        client.last_contact_at = now
        if owner_unresponsive != (address in self.unresponsive):
            if owner_unresponsive:
                self.unresponsive[address] = now
            else:
                del self.unresponsive[address]
            self.epoch += 1
        return client

    def _on_restart(self, address: Address, client: ClientState, incarnation: int) -> None:
        """Handle a client that has returned with a new incarnation.

        The shares reported by the earlier incarnation remain valid: this process has owned these shards since
        then, so the new incarnation can't have a share of their tenants from another owner.
        """
        client.former_incarnations.append(client.incarnation)
        client.incarnation = incarnation
        client.left_at = None
        client.shares_expire_at = 0.0
        self.on_restart(address)

    def heartbeat_reply(self, now: float, number: int, unreported_shards: int) -> ClientHeartbeatReply:
        """Build the response to heartbeat `number` of a client with these unreported shards."""
        reply = ClientHeartbeatReply(
            number=number, client_count=len(self.clients), unreported_shards=unreported_shards
        )
        reply.last_heard_ms.extend(int(1000 * (now - at)) for at in self.absent_since)
        return reply

    def record_client_count(self, now: float, count: int, last_heard_ms: Sequence[int]) -> None:
        """Apply a client's report of the client count and of the times since the last contact."""
        self.client_count.update(now, count, last_heard_ms)

    def record_reported(self, client: ClientState, shards: int) -> None:
        """Record that a quota client has reported all its shares of these owned shards."""
        newly_reported = shards & ~client.reported_shards
        if newly_reported:
            client.reported_shards |= newly_reported
            self.epoch += 1

    def knows(self, address: Address, incarnation: int) -> bool:
        """Whether `incarnation` is the newest incarnation known at an address."""
        client = self.clients.get(address)
        return client is not None and client.incarnation == incarnation

    def has_ended(self, address: Address, incarnation: int) -> bool:
        """Whether another incarnation has replaced this one at its address: its messages are late."""
        client = self.clients.get(address)
        return client is not None and incarnation in client.former_incarnations

    def record_left(self, now: float, address: Address, client: ClientState) -> None:
        """Record that a client has returned all its shares; it stays known as long as others count it."""
        client.left_at = now
        client.shares_expire_at = 0.0
        self.unresponsive.pop(address, None)
        self.epoch += 1

    def has_unreported(self, now: float, shard: int, since: float) -> bool:
        """Whether a quota client may have an unreported share in a shard.

        Only this owner has counted the shard since `since`. A client that had left by then has no share, and
        all units that it admitted by a share were admitted before.
        """
        accounted_for = sum(
            client.reported_shards >> shard & 1 or (client.left_at is not None and client.left_at <= since)
            for client in self.clients.values()
        )
        return accounted_for < max(self.client_count.count(now), len(self.clients))

    def forget_reports(self, shards: int) -> None:
        """Discard the reports about shards that were gained or lost."""
        self.epoch += 1
        for client in self.clients.values():
            client.reported_shards &= ~shards

    def check(self, now: float) -> None:
        """Detect quota clients that became unresponsive, and remove those whose shares have expired."""
        if now < self.checked_at + CHECK_INTERVAL_S:
            return
        self.checked_at = now
        for address, client in list(self.clients.items()):
            has_timed_out = client.last_contact_at + CLIENT_TIMEOUT_S <= now < client.shares_expire_at
            if has_timed_out and address not in self.unresponsive:
                self.unresponsive[address] = client.last_contact_at
                self.epoch += 1
            if now >= client.last_contact_at + SHARE_S + LEASE_MARGIN_S:
                del self.clients[address]
                self.unresponsive.pop(address, None)
        absent = [c.last_contact_at for c in self.clients.values() if now >= c.last_contact_at + RECENT_S]
        self.absent_since = sorted(absent)[:MAX_REPORTED_TIMES]
