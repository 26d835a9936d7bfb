"""Membership at a proxy: follows the change logs of the core's controllers, and gossips with peers."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import assert_never

from gateway.membership import codec
from gateway.membership.backend_table import BackendTable
from gateway.membership.codec import ValueRecord
from gateway.membership.events import (
    ConfigApplied,
    FetchConfig,
    ProxyEvent,
    Received,
    SetCore,
    SetSeeds,
    Tick,
)
from gateway.membership.log_follower import ConfirmedConfig, LogFollower, LogUpdate
from gateway.membership.membership_pb2 import Message
from gateway.membership.outputs import (
    ConfigAdvertised,
    CoreMembers,
    GossipOutput,
    ProxyOutput,
    ValueUpdated,
)
from gateway.membership.peer_view import PeerView
from gateway.membership.types import Role, ValueKind
from gateway.membership.value_transfer import OTHER_ZONE_DELAY_S, ValueFetcher, ValueStore
from gateway.state_machine import Address, FencingToken, Send

ISOLATED_S = 3.0  # after this time without a quorate source, seeds and known controllers are followed too
PEER_FETCH_DELAY_S = 1.0  # delay before a configuration is requested from a peer instead of the core


class ProxyMembership:
    """The state machine of a proxy, without I/O.

    It follows the seeds until it learns the members of the core.

    Args:
        address: Address of this process.
        zone: Number of this process's zone.
        seeds: Addresses of controllers.
        rng: Used for gossip.
    """

    def __init__(self, address: Address, zone: int, seeds: Sequence[Address], rng: random.Random) -> None:
        self.seeds = tuple(seeds)
        self.zone = zone
        self.follower = LogFollower(ingress_zone=zone)
        self.table = BackendTable()
        self.value_fetcher = ValueFetcher()
        self.value_store = ValueStore()
        self.view = PeerView(address, Role.PROXY, zone, seeds, rng)
        self.core: tuple[Address, ...] = ()
        self.quorate_contact_at: float | None = None  # last contact with a quorate source
        self.started = False
        self.isolated = False

    def handle(self, now: float, event: ProxyEvent) -> list[ProxyOutput]:
        """Handle an event at `now` (seconds of a monotonic clock); returns the outputs."""
        if not self.started:
            self.started = True
            self.quorate_contact_at = now
            self._follow(now)
        match event:
            case Received(sender, message):
                return self._receive(now, sender, message)
            case Tick():
                return self._tick(now)
            case SetCore(addresses):
                self.core = addresses
                self._follow(now)
                return [*self.follower.tick(now)]
            case SetSeeds(addresses):
                self.seeds = addresses
                self.view.set_seeds(addresses)
                if not self.core:
                    self._follow(now)
                return [*self.follower.tick(now)]
            case ConfigApplied(version, digest, findings, finding):
                self.view.set_current_config(version, digest)
                number = int.from_bytes(digest)
                self.follower.report_running_config(now, version, number, findings, finding)
                return []
            case FetchConfig():
                return self._fetch(now, event)
            case _:
                assert_never(event)

    def confirmed_config(self, now: float) -> ConfirmedConfig | None:
        """The configuration version that a majority of the core reports as the newest.

        See `LogFollower.confirmed_config`.
        """
        return self.follower.confirmed_config(now, self.core)

    def _receive(self, now: float, sender: Address, message: Message) -> list[ProxyOutput]:
        match message.WhichOneof("kind"):
            case "follow_reply":
                sends, update = self.follower.on_follow_reply(now, sender, message.follow_reply)
                return [*sends, *(self._apply_log_update(now, update) if update else ())]
            case "value":
                return self._apply_values(now, self.value_fetcher.on_value(message.value))
            case "value_request":
                return [*self.value_store.on_request(sender, message.value_request)]
            case "shuffle_request":
                outputs = self.view.on_shuffle_request(sender, message.shuffle_request)
                return self._apply_gossip(now, outputs)
            case "shuffle_reply":
                return self._apply_gossip(now, self.view.on_shuffle_reply(sender, message.shuffle_reply))
        return []

    def _apply_log_update(self, now: float, update: LogUpdate) -> list[ProxyOutput]:
        """Apply an update of a controller's log."""
        backends = [r for r in update.records if not isinstance(r, ValueRecord)]
        outputs: list[ProxyOutput] = [*self.table.apply_update(now, update.source, update.snapshot, backends)]
        for value in update.records:
            if isinstance(value, ValueRecord):
                outputs += self._apply_value_record(now, update.source, value)
        return outputs

    def _fetch(self, now: float, event: FetchConfig) -> list[ProxyOutput]:
        """Request a configuration immediately, from its source or from all sources in contact."""
        fencing_token = FencingToken(0, event.version)
        self.value_fetcher.set_target(ValueKind.CONFIG, fencing_token, event.again)
        sources = [event.source] if event.source else self.follower.reachable(now)
        return [self.value_fetcher.request(ValueKind.CONFIG, fencing_token, source) for source in sources]

    def _apply_value_record(self, now: float, source: Address, record: ValueRecord) -> list[ProxyOutput]:
        is_config = record.kind == ValueKind.CONFIG
        followed = self.follower.sources.get(source)
        if is_config and followed is not None:
            followed.config_version = record.fencing_token.number
        if record.data is not None:
            values = self.value_fetcher.accept(record.kind, record.fencing_token, record.data, record.digest)
            return self._apply_values(now, values)
        wait_s = 0.0 if self.follower.in_zone(source, self.zone) else OTHER_ZONE_DELAY_S
        outputs: list[ProxyOutput] = [
            *self.value_fetcher.add_source(now, record.kind, record.fencing_token, source, wait_s)
        ]
        if is_config:
            outputs.append(ConfigAdvertised(record.fencing_token.number, record.digest, source))
        return outputs

    def _apply_values(self, now: float, values: list[ValueUpdated]) -> list[ProxyOutput]:
        outputs: list[ProxyOutput] = [*values]
        for value in values:
            if value.kind == ValueKind.CORE:
                outputs += self._follow_core(now, value)
            elif value.kind == ValueKind.CONFIG:
                record = ValueRecord(ValueKind.CONFIG, value.fencing_token, value.digest, value.data)
                self.value_store.put(record)
        return outputs

    def _follow_core(self, now: float, value: ValueUpdated) -> list[Send]:
        """Follow the members of the core named by a value."""
        members = codec.members_or_none(value.data)
        if not members:
            return []
        self.view.set_core_members(value.fencing_token, members)
        self.core = members
        self._follow(now)
        return self.follower.tick(now)

    def _apply_gossip(self, now: float, gossip: Sequence[GossipOutput]) -> list[ProxyOutput]:
        """Handle the core members and newer configurations learned by gossip."""
        outputs: list[ProxyOutput] = list(gossip)
        for output in gossip:
            if isinstance(output, CoreMembers):
                self.core = output.members
                self._follow(now)
            elif isinstance(output, ConfigAdvertised) and output.source:
                fencing_token = FencingToken(0, output.version)
                outputs += self.value_fetcher.add_source(
                    now, ValueKind.CONFIG, fencing_token, output.source, PEER_FETCH_DELAY_S
                )
        return outputs

    def _follow(self, now: float, isolated: bool = False) -> None:
        """Follow the core, or the seeds while the core is unknown.

        While `isolated` from the core, also follow the seeds and all known controllers.
        """
        wanted = list(self.core) if self.core else list(self.seeds)
        if isolated:
            wanted += self.seeds
            wanted += [peer.address for peer in self.view.peers() if peer.role == Role.CONTROLLER]
        self.isolated = isolated
        for dropped in self.follower.follow(now, wanted):
            self.table.release_all(now, dropped)

    def _tick(self, now: float) -> list[ProxyOutput]:
        quorate = self.follower.quorate(now)
        if quorate:
            self.quorate_contact_at = now
            if self.isolated and any(address in self.core for address in quorate):
                self._follow(now)
        elif self.quorate_contact_at is not None and now - self.quorate_contact_at > ISOLATED_S:
            self.quorate_contact_at = now  # starts the next period
            self._follow(now, isolated=True)
        outputs: list[ProxyOutput] = [
            *self.follower.tick(now),
            *self.value_fetcher.tick(now),
            *self.view.tick(now),
        ]
        for source, last_contact_at in self.follower.lost(now, self.table.grace_s):
            self.table.release_all(last_contact_at, source)
        outputs += self.table.tick(now, bool(self.follower.suspicions(now)))
        return outputs
