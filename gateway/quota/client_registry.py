"""The quota clients of a shard owner: which are alive, which are silent, and what they have reported.

All times are seconds of the owner's steady clock; sets of shards are bitmasks.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence

from gateway.quota.interface import MARGIN_S, SHARE_S, SILENT_S
from gateway.quota.peers import FRESH_S, MOST_SILENT, Peers
from gateway.quota.quota_pb2 import ClientHeartbeatReply
from gateway.state_machine import Address

MAX_CLIENTS = 1024  # quota clients remembered at most
MAX_EARLIER = 8  # earlier incarnations at one address, whose late messages are dropped
CLIENT_CHECK_S = 0.1  # interval between checks for silent quota clients


class ClientState:
    """One quota client, as known to a shard owner."""

    __slots__ = ("earlier", "heard", "incarnation", "left_at", "shares_until", "told")

    def __init__(self, now: float, incarnation: int) -> None:
        self.heard = now
        self.incarnation = incarnation
        self.earlier: deque[int] = deque(maxlen=MAX_EARLIER)  # earlier incarnations at this address
        self.shares_until = 0.0  # when its last share from this owner expires
        self.told = 0  # shards owned here whose shares it has reported
        self.left_at: float | None = None  # when this incarnation returned all its shares, to all owners

    def extend_shares(self, now: float) -> None:
        """Note that it has a share now, unless it left; it may admit by the share until its lease expires."""
        if self.left_at is None:
            self.shares_until = now + SHARE_S + MARGIN_S


class ClientRegistry:
    """Liveness of the quota clients, and for which shards each has reported its shares.

    `on_restart` is called with the address of a quota client that came back with a new incarnation.
    """

    def __init__(self, on_restart: Callable[[Address], None]) -> None:
        self.on_restart = on_restart
        self.clients: dict[Address, ClientState] = {}
        self.silent: dict[Address, float] = {}  # silent quota clients, and when each was last heard
        self.epoch = 0  # changes whenever the units reserved for quota clients may have changed
        self.checked_at = 0.0
        self.peers = Peers()  # quota clients that may have shares, as reported by quota clients
        self.absent: list[float] = []  # for quota clients not heard lately, when each was last heard

    def hear(
        self, now: float, address: Address, incarnation: int, hears_nothing: bool = False
    ) -> ClientState | None:
        """Note a message of a quota client, and return its state; None if there are too many of them.

        With `hears_nothing` it gets no answers from this owner and admits by its shares.
        """
        client = self.clients.get(address)
        if client is None:
            if len(self.clients) >= MAX_CLIENTS:
                return None
            client = self.clients[address] = ClientState(now, incarnation)
        elif client.incarnation != incarnation:
            # What the earlier incarnation reported stays valid: these shards have been owned here since, so
            # the new one can't have a share of their tenants from another owner.
            client.earlier.append(client.incarnation)
            client.incarnation = incarnation
            client.left_at = None
            client.shares_until = 0.0
            self.on_restart(address)
        elif client.left_at is not None:
            return client  # a late or duplicated message
        client.heard = now
        if hears_nothing != (address in self.silent):  # one that doesn't hear this owner admits by its shares
            if hears_nothing:
                self.silent[address] = now
            else:
                del self.silent[address]
            self.epoch += 1
        return client

    def reply(self, now: float, number: int, missing: int) -> ClientHeartbeatReply:
        """The answer to heartbeat `number` of a client that has not reported its shares of `missing`."""
        heard = ClientHeartbeatReply(number=number, peers=len(self.clients), missing=missing)
        heard.silent_ms.extend(int(1000 * (now - at)) for at in self.absent)
        return heard

    def note_peers(self, now: float, peers: int, silent_ms: Sequence[int]) -> None:
        """Take a client's report of how many quota clients there are, and how long some have been silent."""
        self.peers.learn(now, peers, silent_ms)

    def note_reported(self, client: ClientState, shards: int) -> None:
        """Note that a quota client has reported all its shares of these shards, which are owned here."""
        news = shards & ~client.told
        if news:
            client.told |= news
            self.epoch += 1

    def knows(self, address: Address, incarnation: int) -> bool:
        """Whether `incarnation` is the newest one heard at an address."""
        client = self.clients.get(address)
        return client is not None and client.incarnation == incarnation

    def has_ended(self, address: Address, incarnation: int) -> bool:
        """Whether another incarnation has replaced this one at an address: its messages are late."""
        client = self.clients.get(address)
        return client is not None and incarnation in client.earlier

    def note_left(self, now: float, address: Address, client: ClientState) -> None:
        """Note that a quota client has returned all its shares. It stays known as long as others count it."""
        client.left_at = now
        client.shares_until = 0.0
        self.silent.pop(address, None)
        self.epoch += 1

    def has_unreported(self, now: float, shard: int, since: float) -> bool:
        """Whether some quota client may have a share in a shard that it has not reported.

        Nobody but this owner has counted the shard since `since`: a client that left by then has no share,
        and what it admitted by its share was admitted before.
        """
        told = sum(
            client.told >> shard & 1 or (client.left_at is not None and client.left_at <= since)
            for client in self.clients.values()
        )
        return told < max(self.peers.count(now), len(self.clients))

    def forget_reports(self, shards: int) -> None:
        """Discard the reports about shards that are newly owned, or no longer owned."""
        self.epoch += 1
        for client in self.clients.values():
            client.told &= ~shards

    def expire(self, now: float) -> None:
        """Find quota clients that fell silent, and forget those silent for longer than any share lasts."""
        if now < self.checked_at + CLIENT_CHECK_S:
            return
        self.checked_at = now
        for address, client in list(self.clients.items()):
            if client.heard + SILENT_S <= now < client.shares_until and address not in self.silent:
                self.silent[address] = client.heard
                self.epoch += 1
            if now >= client.heard + SHARE_S + MARGIN_S:
                del self.clients[address]
                self.silent.pop(address, None)
        absent = [client.heard for client in self.clients.values() if now >= client.heard + FRESH_S]
        self.absent = sorted(absent)[:MOST_SILENT]
