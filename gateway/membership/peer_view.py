"""Partial views of the processes, shuffled between neighbours, and the news that rides along."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import NamedTuple

from gateway.membership import membership_pb2 as pb
from gateway.membership.messages import ConfigAdvertised, CoreMembers, FencingToken
from gateway.membership.wire import packed, unpacked
from gateway.state_machine import Address, Send

VIEW_SIZE = 8
SHUFFLE_INTERVAL_S = 1.0  # between two swaps
EXPEDITED_INTERVAL_S = 0.25  # likewise, while there is news to pass on
OUTSIDE_PEER_EVERY = (
    5  # one swap in so many goes to somebody outside the view, so that parts of a cut meet again
)
MAX_UNRESPONSIVE_PEERS = 8  # neighbours that gave no answer and are tried again
MAX_CORE_MEMBERS = 16
DIGEST_BYTES = 8


class PeerEntry(NamedTuple):
    """An entry of a view; its age in swaps."""

    address: Address
    role: int
    zone: int
    age: int


class ConfigVersion(NamedTuple):
    """A configuration: version (0: none) and the first bytes of its digest."""

    version: int = 0
    digest: int = 0


class PeerView:
    """Swaps half of its entries with its oldest neighbour each second; who gives no answer is dropped.

    `zone` is a number from 0 to 4095, `role` from 0 to 15. Seeds are asked while the view is empty, and now
    and then. At most four swaps a second are begun, one while there is no news; each swap that comes is
    answered. Each message holds at most half a view and 16 members of the core."""

    def __init__(
        self,
        address: Address,
        role: int,
        zone: int,
        seeds: Iterable[Address],
        rng: random.Random,
        size: int = VIEW_SIZE,
    ) -> None:
        self.address, self.rng, self.size = address, rng, size
        self.own_entry = packed(address) << 16 | zone << 4 | role
        self.seeds: list[int] = []
        self.set_seeds(seeds)
        self.entries: dict[int, int] = {}  # whose address, role and zone in 64 bits: its age
        self.unresponsive_peers: list[int] = []  # packed addresses
        self.members_version: FencingToken = (0, 0)
        self.members: tuple[int, ...] = ()
        self.current_config = self.newest = ConfigVersion()
        self.number = self.shuffle_count = 0
        self.asked: int | None = None  # whom the last swap went to, until its answer comes (packed address)
        self.sent_entries: list[int] = []
        self.last_shuffle_at, self.due, self.expedite = -1e9, -1e9, False

    def peers(self) -> list[PeerEntry]:
        """The present view."""
        return [
            PeerEntry(unpacked(entry >> 16), entry & 15, entry >> 4 & 4095, age)
            for entry, age in self.entries.items()
        ]

    def set_seeds(self, seeds: Iterable[Address]) -> None:
        """Ask these while nobody else is known."""
        self.seeds = [entry for entry in map(packed, seeds) if entry != self.own_entry >> 16]

    def set_core_members(self, members_version: FencingToken, members: Iterable[Address]) -> bool:
        """The members of the core are known from elsewhere; whether that is news."""
        if members_version <= self.members_version:
            return False
        self.members_version, self.members, self.expedite = (
            members_version,
            tuple(map(packed, members))[:MAX_CORE_MEMBERS],
            True,
        )
        return True

    def set_current_config(self, version: int, digest: bytes) -> None:
        """This process has taken up a configuration."""
        current_config = ConfigVersion(
            version, int.from_bytes(digest[:DIGEST_BYTES].ljust(DIGEST_BYTES, b"\0"), "big")
        )
        self.expedite = self.expedite or current_config.version > self.newest.version
        self.current_config, self.newest = (
            current_config,
            max(self.newest, current_config, key=lambda h: h.version),
        )

    def tick(self, now: float) -> list[Send]:
        """Begin a swap if it is due."""
        if now < self.due and not (self.expedite and now - self.last_shuffle_at >= EXPEDITED_INTERVAL_S):
            return []
        self._drop_unresponsive()
        to = self._choose_partner()
        self.due, self.last_shuffle_at, self.expedite = (
            now + SHUFFLE_INTERVAL_S * self.rng.uniform(0.9, 1.1),
            now,
            False,
        )
        if to is None:
            return []
        self.number = self.number % 0xFFFF + 1
        self.entries = {entry: age + 1 for entry, age in self.entries.items()}
        self.asked, self.sent_entries = to, self._sample_entries(self.size // 2 - 1, to)
        note = pb.Message()
        self._fill_shuffle(
            note.shuffle_request,
            self.number,
            [(self.own_entry, 0), *((entry, self.entries[entry]) for entry in self.sent_entries)],
        )
        return [Send(unpacked(to), note)]

    def _drop_unresponsive(self) -> None:
        """Drop the neighbour that gave no answer."""
        gone, self.asked = self.asked, None
        if gone is None:
            return
        self.unresponsive_peers = [a for a in self.unresponsive_peers if a != gone]
        for entry in [entry for entry in self.entries if entry >> 16 == gone]:
            del self.entries[entry]
            self.unresponsive_peers = [*self.unresponsive_peers, gone][-MAX_UNRESPONSIVE_PEERS:]

    def _choose_partner(self) -> int | None:
        """The oldest neighbour; at times one outside the view, or if there is none."""
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
        """A swap, or the answer to one."""
        out = self._learn_from_shuffle(sender, shuffle_request)
        entries = list(zip(shuffle_request.packed_peer, shuffle_request.ages, strict=False))[: self.size]
        if answer:
            if shuffle_request.number == self.number and self.asked == packed(sender):
                self.asked = None
                self._merge_entries(entries, self.sent_entries, packed(sender))
            if (
                shuffle_request.term,
                shuffle_request.index,
            ) < self.members_version:  # it doesn't know the core's members
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
                    self.newest, self.expedite = ConfigVersion(version, digest), True
        return out

    def _merge_entries(
        self, entries: list[tuple[int, int]], sent_entries: list[int], asked: int | None
    ) -> None:
        """Take entries in: into free places, then in the place of what was given away, then of the asked."""
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
                    self.entries[packed_peer], entry_by_address[address] = age, packed_peer
                    out = [entry for entry in out if entry != known]
                continue
            if len(self.entries) >= self.size:
                if not out:
                    continue
                del entry_by_address[out[0] >> 16], self.entries[out.pop(0)]
            self.entries[packed_peer], entry_by_address[address] = age, packed_peer
            self.unresponsive_peers = [a for a in self.unresponsive_peers if a != address]
