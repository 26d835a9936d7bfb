"""Gossip membership: partial views of the processes, shuffled between peers, with the newest versions."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import NamedTuple

from gateway.membership import membership_pb2 as pb
from gateway.membership.messages import ConfigAdvertised, CoreMembers, FencingToken
from gateway.membership.wire import packed, unpacked
from gateway.state_machine import Address, Send

VIEW_SIZE = 8
SHUFFLE_INTERVAL_S = 1.0  # between two shuffles
EXPEDITED_INTERVAL_S = 0.25  # likewise, while there is something new to pass on
OUTSIDE_PEER_EVERY = (
    5  # one shuffle in so many goes to a process outside the view, so that partitions find each other again
)
MAX_UNRESPONSIVE_PEERS = 8  # peers that gave no answer and are tried again
MAX_CORE_MEMBERS = 16
DIGEST_BYTES = 8


class PeerEntry(NamedTuple):
    """An entry of a view; its age in shuffles."""

    address: Address
    role: int
    zone: int
    age: int


class ConfigVersion(NamedTuple):
    """A configuration: version (0: none) and the first bytes of its digest."""

    version: int = 0
    digest: int = 0


class PeerView:
    """Exchanges half of its entries with its oldest peer each second; a peer that doesn't answer is dropped.

    `zone` is a number from 0 to 4095, `role` from 0 to 15. Seeds are contacted while the view is empty, and
    occasionally later. At most four shuffles a second are begun, one while there is nothing new; each one
    received is answered. Each message holds at most half a view and 16 members of the core."""

    def __init__(
        self,
        address: Address,
        role: int,
        zone: int,
        seeds: Iterable[Address],
        rng: random.Random,
        size: int = VIEW_SIZE,
    ) -> None:
        self.address = address
        self.rng = rng
        self.size = size
        self.own_entry = packed(address) << 16 | zone << 4 | role
        self.seeds: list[int] = []
        self.set_seeds(seeds)
        self.entries: dict[int, int] = {}  # age by packed address, zone and role (64 bits)
        self.unresponsive_peers: list[int] = []  # packed addresses
        self.members_version: FencingToken = (0, 0)
        self.members: tuple[int, ...] = ()
        self.current_config = self.newest = ConfigVersion()
        self.number = 0
        self.shuffle_count = 0
        self.asked: int | None = None  # packed address that the last shuffle went to, until it answers
        self.sent_entries: list[int] = []
        self.last_shuffle_at = -1e9
        self.due = -1e9
        self.expedite = False

    def peers(self) -> list[PeerEntry]:
        """The entries of the present view."""
        return [
            PeerEntry(unpacked(entry >> 16), entry & 15, entry >> 4 & 4095, age)
            for entry, age in self.entries.items()
        ]

    def set_seeds(self, seeds: Iterable[Address]) -> None:
        """Set the addresses to contact while no peers are known."""
        self.seeds = [entry for entry in map(packed, seeds) if entry != self.own_entry >> 16]

    def set_core_members(self, members_version: FencingToken, members: Iterable[Address]) -> bool:
        """Set the members of the core, as known from elsewhere; returns whether they are newer."""
        if members_version <= self.members_version:
            return False
        self.members_version = members_version
        self.members = tuple(map(packed, members))[:MAX_CORE_MEMBERS]
        self.expedite = True
        return True

    def set_current_config(self, version: int, digest: bytes) -> None:
        """Set the configuration that this process holds, to be advertised to peers."""
        current_config = ConfigVersion(
            version, int.from_bytes(digest[:DIGEST_BYTES].ljust(DIGEST_BYTES, b"\0"), "big")
        )
        self.expedite = self.expedite or current_config.version > self.newest.version
        self.current_config = current_config
        self.newest = max(self.newest, current_config, key=lambda h: h.version)

    def tick(self, now: float) -> list[Send]:
        """Begin a shuffle if one is due."""
        if now < self.due and not (self.expedite and now - self.last_shuffle_at >= EXPEDITED_INTERVAL_S):
            return []
        self._drop_unresponsive()
        to = self._choose_partner()
        self.due = now + SHUFFLE_INTERVAL_S * self.rng.uniform(0.9, 1.1)
        self.last_shuffle_at = now
        self.expedite = False
        if to is None:
            return []
        self.number = self.number % 0xFFFF + 1
        self.entries = {entry: age + 1 for entry, age in self.entries.items()}
        self.asked = to
        self.sent_entries = self._sample_entries(self.size // 2 - 1, to)
        note = pb.Message()
        self._fill_shuffle(
            note.shuffle_request,
            self.number,
            [(self.own_entry, 0), *((entry, self.entries[entry]) for entry in self.sent_entries)],
        )
        return [Send(unpacked(to), note)]

    def _drop_unresponsive(self) -> None:
        """Drop the peer that didn't answer the last shuffle."""
        gone = self.asked
        self.asked = None
        if gone is None:
            return
        self.unresponsive_peers = [a for a in self.unresponsive_peers if a != gone]
        for entry in [entry for entry in self.entries if entry >> 16 == gone]:
            del self.entries[entry]
            self.unresponsive_peers = [*self.unresponsive_peers, gone][-MAX_UNRESPONSIVE_PEERS:]

    def _choose_partner(self) -> int | None:
        """The oldest peer; one time in `OUTSIDE_PEER_EVERY`, or without any peer, one outside the view."""
        self.shuffle_count += 1
        if self.entries and self.shuffle_count % OUTSIDE_PEER_EVERY:
            return max(self.entries, key=lambda entry: self.entries[entry]) >> 16
        known = {entry >> 16 for entry in self.entries} | {self.own_entry >> 16}
        others = [
            a for a in dict.fromkeys([*self.unresponsive_peers, *self.seeds, *self.members]) if a not in known
        ]
        if others:
            return self.rng.choice(others)
        return max(self.entries, key=lambda entry: self.entries[entry]) >> 16 if self.entries else None

    def _sample_entries(self, count: int, excluded: int) -> list[int]:
        others = [entry for entry in self.entries if entry >> 16 != excluded]
        return self.rng.sample(others, min(count, len(others)))

    def _fill_shuffle(self, shuffle_request: pb.Shuffle, number: int, entries: list[tuple[int, int]]) -> None:
        shuffle_request.number = number
        shuffle_request.packed_peer.extend(entry for entry, _ in entries)
        shuffle_request.ages = bytes(min(age, 255) for _, age in entries)
        shuffle_request.term, shuffle_request.index = self.members_version
        shuffle_request.version, shuffle_request.digest = self.current_config
        if self.newest.version > self.current_config.version:
            shuffle_request.newest, shuffle_request.newest_digest = self.newest

    def received(
        self, now: float, sender: Address, shuffle_request: pb.Shuffle, answer: bool
    ) -> list[Send | ConfigAdvertised | CoreMembers]:
        """Handle a shuffle request, or (`answer`) the reply to one. Returns what to send, and what is newer
        than what was known here."""
        out = self._learn_from_shuffle(sender, shuffle_request)
        entries = list(zip(shuffle_request.packed_peer, shuffle_request.ages, strict=False))[: self.size]
        if answer:
            if shuffle_request.number == self.number and self.asked == packed(sender):
                self.asked = None
                self._merge_entries(entries, self.sent_entries, packed(sender))
            if (
                shuffle_request.term,
                shuffle_request.index,
            ) < self.members_version:  # the sender doesn't know the newest members
                note = pb.Message()
                self._fill_shuffle(note.shuffle_reply, 0, [])
                note.shuffle_reply.core.extend(self.members)
                out.append(Send(sender, note))
            return out
        sent_entries = self._sample_entries(self.size // 2, packed(sender))
        note = pb.Message()
        self._fill_shuffle(
            note.shuffle_reply,
            shuffle_request.number,
            [(entry, self.entries[entry]) for entry in sent_entries],
        )
        if (shuffle_request.term, shuffle_request.index) < self.members_version:
            note.shuffle_reply.core.extend(self.members)
        self._merge_entries(entries, sent_entries, None)
        return [*out, Send(sender, note)]

    def _learn_from_shuffle(
        self, sender: Address, shuffle_request: pb.Shuffle
    ) -> list[Send | ConfigAdvertised | CoreMembers]:
        out: list[Send | ConfigAdvertised | CoreMembers] = []
        if (
            shuffle_request.core
            and (members_version := (shuffle_request.term, shuffle_request.index)) > self.members_version
        ):
            members = tuple(map(unpacked, shuffle_request.core[:MAX_CORE_MEMBERS]))
            self.set_core_members(members_version, members)
            out.append(CoreMembers(members_version, members))
        for version, digest, holder in (
            (shuffle_request.version, shuffle_request.digest, sender),
            (shuffle_request.newest, shuffle_request.newest_digest, ""),
        ):
            if version:
                out.append(ConfigAdvertised(version, digest.to_bytes(DIGEST_BYTES, "big"), holder))
                if version > self.newest.version:
                    self.newest = ConfigVersion(version, digest)
                    self.expedite = True
        return out

    def _merge_entries(
        self, entries: list[tuple[int, int]], sent_entries: list[int], asked: int | None
    ) -> None:
        """Merge received entries: into free places, then replacing those sent away, then the asked peer."""
        entry_by_address = {entry >> 16: entry for entry in self.entries}
        out = [entry for entry in sent_entries if entry in self.entries]
        if asked in entry_by_address:
            out.append(entry_by_address[asked])
        for packed_peer, age in entries:
            address = packed_peer >> 16
            if address == self.own_entry >> 16:
                continue
            known = entry_by_address.get(address)
            if known is not None:
                if age < self.entries[known]:
                    del self.entries[known]
                    self.entries[packed_peer] = age
                    entry_by_address[address] = packed_peer
                    out = [entry for entry in out if entry != known]
                continue
            if len(self.entries) >= self.size:
                if not out:
                    continue
                del entry_by_address[out[0] >> 16], self.entries[out.pop(0)]
            self.entries[packed_peer] = age
            entry_by_address[address] = packed_peer
            self.unresponsive_peers = [a for a in self.unresponsive_peers if a != address]
