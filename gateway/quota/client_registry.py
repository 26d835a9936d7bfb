"""The quota clients of a shard owner: which are alive, which are silent, and what they have reported."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from gateway.quota.interface import MARGIN_S, SHARE_S, SILENT_S
from gateway.quota.peers import FRESH_S, MOST_SILENT, Peers
from gateway.state_machine import Address

MAX_CLIENTS = 1024  # that are remembered at most
CLIENT_CHECK_S = 0.1  # between looks for silent quota clients


class ClientState:
    """A quota client as its shard owner knows it."""

    __slots__ = ("heard", "incarnation", "shares_until", "told")

    def __init__(self, now: float, incarnation: int) -> None:
        self.heard, self.incarnation = now, incarnation
        self.shares_until = 0.0  # when its last share here is over
        self.told = 0  # shards held here of which it has told its shares

    def extend_shares(self, now: float) -> None:
        """It has a share as of now, and may go by it until the share's lease is over."""
        self.shares_until = now + SHARE_S + MARGIN_S


class ClientRegistry:
    """Liveness of the quota clients, and for which shards each has reported its shares.

    `on_restart` is called with the address of a quota client that came back as another incarnation.
    """

    def __init__(self, on_restart: Callable[[Address], None]) -> None:
        self.on_restart = on_restart
        self.clients: dict[Address, ClientState] = {}
        self.silent: dict[Address, float] = {}  # quota clients, and when they were last heard
        self.epoch = 0  # changes whenever what must be kept back for clients may have
        self.checked_at = 0.0
        self.peers = Peers()  # quota clients that may have shares, as these tell
        self.absent: list[float] = []  # when each quota client was last heard that is silent

    def hear(
        self, now: float, address: Address, incarnation: int, hears_nothing: bool = False
    ) -> ClientState | None:
        """Something came from a quota client; None if there are too many of them."""
        client = self.clients.get(address)
        if client is None:
            if len(self.clients) >= MAX_CLIENTS:
                return None
            client = self.clients[address] = ClientState(now, incarnation)
        elif client.incarnation != incarnation:
            client.incarnation, client.told, client.shares_until = incarnation, 0, 0.0
            self.on_restart(address)
        client.heard = now
        if hears_nothing != (address in self.silent):  # one that doesn't hear us goes by its shares
            if hears_nothing:
                self.silent[address] = now
            else:
                del self.silent[address]
            self.epoch += 1
        return client

    def note_peers(self, now: float, peers: int, silent_ms: Sequence[int]) -> None:
        """A quota client tells how many of them there are, and for how long some have been silent (ms)."""
        self.peers.learn(now, peers, silent_ms)

    def note_reported(self, client: ClientState, shards: int) -> None:
        """A quota client has told all its shares of these shards, which are held here."""
        news = shards & ~client.told
        if news:
            client.told |= news
            self.epoch += 1

    def has_unreported(self, now: float, shard: int) -> bool:
        """Whether some quota client has not told its shares of a shard."""
        told = sum(client.told >> shard & 1 for client in self.clients.values())
        return told < max(self.peers.count(now), len(self.clients))

    def forget_reports(self, shards: int) -> None:
        """These shards are newly held, or held no more: what was told of them is void."""
        self.epoch += 1
        for client in self.clients.values():
            client.told &= ~shards

    def expire(self, now: float) -> None:
        """Find quota clients that went silent, and forget those silent for longer than any share lasts."""
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
