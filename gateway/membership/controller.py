"""Membership at a controller: backend leases, its change log, other controllers' logs, and gossip."""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from typing import assert_never

from gateway.membership import codec
from gateway.membership.backend_table import BackendTable
from gateway.membership.change_log import ChangeLog
from gateway.membership.codec import LeaseRecord, ValueRecord
from gateway.membership.events import (
    ConfigApplied,
    ControllerEvent,
    Deregistration,
    Heartbeat,
    Publish,
    Received,
    SetCore,
    SetQuorumContact,
    SetSeeds,
    Tick,
)
from gateway.membership.heartbeat_target import HeartbeatTargets
from gateway.membership.leases import Leases
from gateway.membership.log_follower import LogFollower, LogUpdate
from gateway.membership.membership_pb2 import Follow, Message
from gateway.membership.outputs import (
    Acknowledged,
    ControllerOutput,
    RunningConfig,
    ValueUpdated,
)
from gateway.membership.peer_view import DIGEST_BYTES, PeerView
from gateway.membership.types import Role, ValueKind
from gateway.membership.value_transfer import ValueFetcher, ValueStore
from gateway.state_machine import Address


class ControllerMembership:
    """The state machine of a controller, without I/O.

    Calls of backends are rejected unless this process is a member of the core, because other processes follow
    only the logs of members.

    Args:
        address: Address of this process.
        zone: Number of this process's zone.
        seeds: Addresses of controllers.
        heartbeat_interval_s: Interval of a backend's heartbeats.
        rng: Source of the log's id, and used for gossip and for the selection of heartbeat targets.
        zone_numbers: Numbers of all zones by name.
    """

    def __init__(
        self,
        address: Address,
        zone: int,
        seeds: Sequence[Address],
        heartbeat_interval_s: float,
        rng: random.Random,
        zone_numbers: Mapping[str, int] | None = None,
    ) -> None:
        self.address = address
        self.log = ChangeLog(rng, zone)
        self.table = BackendTable()
        self.follower = LogFollower()
        self.leases = Leases(self.log, self.table, address, heartbeat_interval_s)
        self.targets = HeartbeatTargets(address, zone, zone_numbers or {}, self.follower, rng)
        self.value_fetcher = ValueFetcher()
        self.value_store = ValueStore()
        self.view = PeerView(address, Role.CONTROLLER, zone, seeds, rng)

    def handle(self, now: float, event: ControllerEvent) -> list[ControllerOutput]:
        """Handle an event at `now` (seconds of a monotonic clock); returns the outputs."""
        position = self.log.position
        outputs = self._handle(now, event)
        if self.log.position != position:
            outputs += self.log.push(now)
        return outputs

    def _handle(self, now: float, event: ControllerEvent) -> list[ControllerOutput]:
        match event:
            case Received(sender, message):
                return self._receive(now, sender, message)
            case Tick():
                return self._tick(now)
            case Heartbeat():
                return self._on_heartbeat(now, event)
            case Deregistration():
                return [*self.leases.on_deregistration(now, event)]
            case Publish():
                self._publish(event)
            case SetCore(addresses):
                return self._set_core(now, addresses)
            case ConfigApplied(version, digest, findings, finding):
                number = int.from_bytes(digest)
                self.follower.report_running_config(now, version, number, findings, finding)
            case SetQuorumContact(until):
                self.log.quorate_until = until
            case SetSeeds(addresses):
                self.view.set_seeds(addresses)
            case _:
                assert_never(event)
        return []

    def _on_heartbeat(self, now: float, heartbeat: Heartbeat) -> list[ControllerOutput]:
        """Handle a backend's heartbeat; one acknowledged at once gets a target for the next ones."""
        outputs: list[ControllerOutput] = [*self.leases.on_heartbeat(now, heartbeat)]
        acknowledged = Acknowledged(heartbeat.token)
        if heartbeat.draining or acknowledged not in outputs:
            return outputs
        target = self.targets.choose(now, heartbeat.id, heartbeat.zone, self.leases.core)
        outputs[outputs.index(acknowledged)] = Acknowledged(heartbeat.token, target)
        return outputs

    def _receive(self, now: float, sender: Address, message: Message) -> list[ControllerOutput]:
        match message.WhichOneof("kind"):
            case "follow":
                return self._on_follow(now, sender, message.follow)
            case "follow_reply":
                sends, update = self.follower.on_follow_reply(now, sender, message.follow_reply)
                return [*sends, *(self._apply_log_update(now, update) if update else ())]
            case "value":
                return self._apply_values(self.value_fetcher.on_value(message.value))
            case "value_request":
                return [*self.value_store.on_request(sender, message.value_request)]
            case "shuffle_request":
                return [*self.view.on_shuffle_request(sender, message.shuffle_request)]
            case "shuffle_reply":
                return [*self.view.on_shuffle_reply(sender, message.shuffle_reply)]
        return []

    def _on_follow(self, now: float, sender: Address, follow: Follow) -> list[ControllerOutput]:
        """Handle a follower's heartbeat, which may confirm changes and report its running configuration."""
        outputs: list[ControllerOutput] = [*self.log.on_follow(now, sender, follow)]
        if follow.version:
            digest = follow.digest.to_bytes(DIGEST_BYTES)
            config = RunningConfig(sender, follow.version, digest, follow.findings, follow.finding)
            outputs.append(config)
        if self.leases.pending_calls:
            outputs += self.leases.confirmed_calls()
        return outputs

    def _apply_log_update(self, now: float, update: LogUpdate) -> list[ControllerOutput]:
        """Apply an update of another controller's log, and make the own log consistent with it."""
        backends = [r for r in update.records if not isinstance(r, ValueRecord)]
        outputs: list[ControllerOutput] = [
            *self.table.apply_update(now, update.source, update.snapshot, backends)
        ]
        for record in backends:
            backend_id = record.backend.id if isinstance(record, LeaseRecord) else record.id
            outputs += self.leases.reconcile(now, backend_id)
        outputs = self.leases.reconcile_removed(now, outputs)
        for value in update.records:
            # Configurations are received through consensus.
            if isinstance(value, ValueRecord) and value.kind != ValueKind.CONFIG:
                outputs += self._apply_value_record(now, update.source, value)
        return outputs

    def _apply_value_record(self, now: float, source: Address, record: ValueRecord) -> list[ControllerOutput]:
        if record.data is None:
            fetch = self.value_fetcher.add_source(now, record.kind, record.fencing_token, source, 0.0)
            return [*fetch]
        return self._apply_values(
            self.value_fetcher.accept(record.kind, record.fencing_token, record.data, record.digest)
        )

    def _apply_values(self, values: list[ValueUpdated]) -> list[ControllerOutput]:
        """Output received values, and publish them in the own log too, except configurations."""
        for value in values:
            if value.kind != ValueKind.CONFIG:
                self._publish(Publish(value.kind, value.fencing_token, value.data, value.digest))
        return [*values]

    def _publish(self, publish: Publish) -> None:
        """Publish a value, unless a newer one of its kind is known or it can't be decoded."""
        record = ValueRecord(publish.kind, publish.fencing_token, publish.digest, publish.data)
        is_core = publish.kind == ValueKind.CORE
        members = codec.members_or_none(publish.data) if is_core else ()
        if members is None or not self.value_store.put(record):
            return
        self.value_fetcher.accept(publish.kind, publish.fencing_token, publish.data, publish.digest)
        self.log.put(publish.kind, record)
        if publish.kind == ValueKind.CONFIG:
            self.view.set_current_config(publish.fencing_token.number, publish.digest)
        elif is_core:
            self.view.set_core_members(publish.fencing_token, members)

    def _set_core(self, now: float, addresses: Sequence[Address]) -> list[ControllerOutput]:
        self.leases.core = tuple(addresses)
        others = [address for address in addresses if address != self.address]
        for dropped in self.follower.follow(now, others):
            self.table.release_all(now, dropped)
        return [*self.follower.tick(now), *self.leases.confirmed_calls()]

    def _tick(self, now: float) -> list[ControllerOutput]:
        quorate = self.log.quorate(now)
        self.targets.tick(now, quorate)
        outputs: list[ControllerOutput] = [*self.leases.tick(now, quorate)]
        self.log.unreachable = [codec.address_hash(a) for a in self.follower.unresponsive(now)]
        for source, last_contact_at in self.follower.lost(now, self.table.grace_s):
            self.table.release_all(last_contact_at, source)
        suspicions_known = bool(self.follower.suspicions(now)) or not self.follower.sources
        outputs += self.leases.reconcile_removed(now, self.table.tick(now, suspicions_known))
        return [
            *outputs,
            *self.follower.tick(now),
            *self.value_fetcher.tick(now),
            *self.view.tick(now),
            *self.log.tick(now),
        ]
