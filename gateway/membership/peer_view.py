"""Gossip membership: partial views that peers shuffle between each other, and the newest known versions."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import NamedTuple

from gateway.membership import membership_pb2 as pb
from gateway.membership.codec import pack_address, unpack_address
from gateway.membership.outputs import ConfigAdvertised, CoreMembers, GossipOutput
from gateway.membership.types import Role
from gateway.state_machine import LONG_AGO, Address, FencingToken, Send

VIEW_SIZE = 8
SHUFFLE_INTERVAL_S = 1.0  # interval of shuffles
SHUFFLE_JITTER = 0.1  # relative variation of that interval
EXPEDITED_INTERVAL_S = 0.25  # interval of shuffles while there is new information to spread
# One in this many shuffles goes to a process outside of the view, so that partitions can merge again.
OUTSIDE_PEER_EVERY = 5
MAX_UNRESPONSIVE_PEERS = 8  # unresponsive peers that are contacted again
MAX_CORE_MEMBERS = 16
MAX_AGE = 255  # in shuffles
MAX_SHUFFLE_NUMBER = 0xFFFF
DIGEST_BYTES = 8

PackedAddress = int
"""An IPv4 address and port in 48 bits."""

PackedPeer = int
"""A packed address, a zone (12 bits) and a role (4 bits) in 64 bits."""


class PeerEntry(NamedTuple):
    """An entry of a view; its age in shuffles. `role` is a `Role`, or one of a later release."""

    address: Address
    role: int
    zone: int
    age: int


class AgedPeer(NamedTuple):
    """A packed peer and its age in shuffles."""

    peer: PackedPeer
    age: int


class ConfigVersion(NamedTuple):
    """A configuration: its version (0: none) and the first bytes of its digest."""

    version: int = 0
    digest: int = 0


class PeerView:
    """Exchanges half of its entries with its oldest peer every second, and removes peers that don't answer.

    Seeds are contacted while the view is empty, and occasionally later. It starts at most four shuffles per
    second, or one if there is nothing new to spread, and answers each shuffle that it receives. A message
    contains at most half a view and 16 members of the core.

    Args:
        address: Address of this process.
        role: Role of this process.
        zone: A number from 0 to 4095.
        seeds: Addresses to contact while no peers are known.
        rng: Used to select peers and entries.
        size: Number of entries in the view.
    """

    def __init__(
        self,
        address: Address,
        role: Role,
        zone: int,
        seeds: Iterable[Address],
        rng: random.Random,
        size: int = VIEW_SIZE,
    ) -> None:
        self.address = address
        self.rng = rng
        self.size = size
        self.own_peer: PackedPeer = pack_address(address) << 16 | zone << 4 | role
        self.seeds: list[PackedAddress] = []
        self.set_seeds(seeds)
        self.entries: dict[PackedPeer, int] = {}  # age by peer
        self.unresponsive_peers: list[PackedAddress] = []
        self.members_version = FencingToken(0, 0)
        self.members: tuple[PackedAddress, ...] = ()
        self.current_config = ConfigVersion()  # configuration of this process
        self.newest_config = ConfigVersion()  # newest configuration that is known to exist
        self.shuffle_number = 0
        self.shuffle_count = 0
        self.awaits_reply_from: PackedAddress | None = None  # partner of the last shuffle
        self.sent_peers: list[PackedPeer] = []  # sent with the last shuffle
        self.last_shuffle_at = LONG_AGO
        self.next_shuffle_at = LONG_AGO
        self.expedite = False  # there is new information to spread

    def peers(self) -> list[PeerEntry]:
        """The entries of the current view."""
        return [
            PeerEntry(unpack_address(peer >> 16), peer & 15, peer >> 4 & 4095, age)
            for peer, age in self.entries.items()
        ]

    def set_seeds(self, seeds: Iterable[Address]) -> None:
        """Set the addresses to contact while no peers are known."""
        self.seeds = [seed for seed in map(pack_address, seeds) if seed != self.own_peer >> 16]

    def set_core_members(self, members_version: FencingToken, members: Iterable[Address]) -> bool:
        """Set the members of the core as learned elsewhere; returns whether they are newer."""
        if members_version <= self.members_version:
            return False
        self.members_version = members_version
        self.members = tuple(map(pack_address, members))[:MAX_CORE_MEMBERS]
        self.expedite = True
        return True

    def set_current_config(self, version: int, digest: bytes) -> None:
        """Set the configuration of this process, which is advertised to peers."""
        prefix = digest[:DIGEST_BYTES].ljust(DIGEST_BYTES, b"\0")
        self.current_config = ConfigVersion(version, int.from_bytes(prefix, "big"))
        self.expedite = self.expedite or version > self.newest_config.version
        self.newest_config = max(self.newest_config, self.current_config, key=lambda c: c.version)

    def tick(self, now: float) -> list[Send]:
        """Start a shuffle if one is due."""
        is_expedited = self.expedite and now - self.last_shuffle_at >= EXPEDITED_INTERVAL_S
        if now < self.next_shuffle_at and not is_expedited:
            return []
        self._drop_unresponsive()
        partner = self._choose_partner()
        jitter = self.rng.uniform(1 - SHUFFLE_JITTER, 1 + SHUFFLE_JITTER)
        self.next_shuffle_at = now + SHUFFLE_INTERVAL_S * jitter
        self.last_shuffle_at = now
        self.expedite = False
        if partner is None:
            return []
        self.shuffle_number = self.shuffle_number % MAX_SHUFFLE_NUMBER + 1
        self.entries = {peer: age + 1 for peer, age in self.entries.items()}
        self.awaits_reply_from = partner
        self.sent_peers = self._sample_peers(self.size // 2 - 1, partner)
        message = pb.Message()
        entries = [AgedPeer(self.own_peer, 0), *self._aged(self.sent_peers)]
        self._fill_shuffle(message.shuffle_request, self.shuffle_number, entries)
        return [Send(unpack_address(partner), message)]

    def _drop_unresponsive(self) -> None:
        """Remove the peer that didn't answer the last shuffle."""
        unresponsive = self.awaits_reply_from
        self.awaits_reply_from = None
        if unresponsive is None:
            return
        self.unresponsive_peers = [address for address in self.unresponsive_peers if address != unresponsive]
        for peer in [peer for peer in self.entries if peer >> 16 == unresponsive]:
            del self.entries[peer]
            self.unresponsive_peers = [*self.unresponsive_peers, unresponsive][-MAX_UNRESPONSIVE_PEERS:]

    def _choose_partner(self) -> PackedAddress | None:
        """The oldest peer; one time in `OUTSIDE_PEER_EVERY`, or without any, one outside the view."""
        self.shuffle_count += 1
        if self.entries and self.shuffle_count % OUTSIDE_PEER_EVERY:
            return self._oldest_peer()
        own_addresses = {peer >> 16 for peer in self.entries} | {self.own_peer >> 16}
        candidates = dict.fromkeys([*self.unresponsive_peers, *self.seeds, *self.members])
        outside = [address for address in candidates if address not in own_addresses]
        if outside:
            return self.rng.choice(outside)
        return self._oldest_peer() if self.entries else None

    def _oldest_peer(self) -> PackedAddress:
        return max(self.entries, key=lambda peer: self.entries[peer]) >> 16

    def _sample_peers(self, count: int, excluded: PackedAddress) -> list[PackedPeer]:
        others = [peer for peer in self.entries if peer >> 16 != excluded]
        return self.rng.sample(others, min(count, len(others)))

    def _aged(self, peers: list[PackedPeer]) -> list[AgedPeer]:
        return [AgedPeer(peer, self.entries[peer]) for peer in peers]

    def _fill_shuffle(self, shuffle: pb.Shuffle, number: int, entries: list[AgedPeer]) -> None:
        shuffle.number = number
        shuffle.packed_peer.extend(entry.peer for entry in entries)
        shuffle.ages = bytes(min(entry.age, MAX_AGE) for entry in entries)
        shuffle.term, shuffle.index = self.members_version
        shuffle.version, shuffle.digest = self.current_config
        if self.newest_config.version > self.current_config.version:
            shuffle.newest, shuffle.newest_digest = self.newest_config

    def on_shuffle_request(self, sender: Address, shuffle: pb.Shuffle) -> list[GossipOutput]:
        """Handle a shuffle request; returns its reply, and information that is newer than the local one."""
        outputs = self._learn(sender, shuffle)
        sent_peers = self._sample_peers(self.size // 2, pack_address(sender))
        message = pb.Message()
        self._fill_shuffle(message.shuffle_reply, shuffle.number, self._aged(sent_peers))
        if (shuffle.term, shuffle.index) < self.members_version:
            message.shuffle_reply.core.extend(self.members)
        self._merge(self._received_entries(shuffle), sent_peers, None)
        return [*outputs, Send(sender, message)]

    def on_shuffle_reply(self, sender: Address, shuffle: pb.Shuffle) -> list[GossipOutput]:
        """Handle the reply to a shuffle request; returns information that is newer than the local one.

        If the sender doesn't know the newest members of the core, they are sent to it.
        """
        outputs = self._learn(sender, shuffle)
        address = pack_address(sender)
        if shuffle.number == self.shuffle_number and self.awaits_reply_from == address:
            self.awaits_reply_from = None
            self._merge(self._received_entries(shuffle), self.sent_peers, address)
        if (shuffle.term, shuffle.index) < self.members_version:
            message = pb.Message()
            self._fill_shuffle(message.shuffle_reply, 0, [])
            message.shuffle_reply.core.extend(self.members)
            outputs.append(Send(sender, message))
        return outputs

    def _received_entries(self, shuffle: pb.Shuffle) -> list[AgedPeer]:
        pairs = zip(shuffle.packed_peer, shuffle.ages, strict=False)
        return [AgedPeer(peer, age) for peer, age in pairs][: self.size]

    def _learn(self, sender: Address, shuffle: pb.Shuffle) -> list[GossipOutput]:
        """Apply the versions in a shuffle; returns information that is newer than the local one."""
        outputs: list[GossipOutput] = []
        members_version = FencingToken(shuffle.term, shuffle.index)
        if shuffle.core and members_version > self.members_version:
            members = tuple(map(unpack_address, shuffle.core[:MAX_CORE_MEMBERS]))
            self.set_core_members(members_version, members)
            outputs.append(CoreMembers(members_version, members))
        for config, source in (
            (ConfigVersion(shuffle.version, shuffle.digest), sender),
            (ConfigVersion(shuffle.newest, shuffle.newest_digest), ""),
        ):
            if config.version:
                digest = config.digest.to_bytes(DIGEST_BYTES, "big")
                outputs.append(ConfigAdvertised(config.version, digest, source))
                if config.version > self.newest_config.version:
                    self.newest_config = config
                    self.expedite = True
        return outputs

    def _merge(
        self, entries: list[AgedPeer], sent_peers: list[PackedPeer], partner: PackedAddress | None
    ) -> None:
        """Merge received entries: fill free places, then replace the sent entries, then the partner."""
        peer_by_address = {peer >> 16: peer for peer in self.entries}
        replaceable = [peer for peer in sent_peers if peer in self.entries]
        if partner in peer_by_address:
            replaceable.append(peer_by_address[partner])
        for peer, age in entries:
            address = peer >> 16
            if address == self.own_peer >> 16:
                continue
            existing = peer_by_address.get(address)
            if existing is not None:
                if age < self.entries[existing]:
                    del self.entries[existing]
                    self.entries[peer] = age
                    peer_by_address[address] = peer
                    replaceable = [other for other in replaceable if other != existing]
                continue
            if len(self.entries) >= self.size:
                if not replaceable:
                    continue
                replaced = replaceable.pop(0)
                del peer_by_address[replaced >> 16]
                del self.entries[replaced]
            self.entries[peer] = age
            peer_by_address[address] = peer
            self.unresponsive_peers = [other for other in self.unresponsive_peers if other != address]
