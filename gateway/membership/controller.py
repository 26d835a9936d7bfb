"""Membership at a controller: backend leases, its own change log, the other controllers' logs, and gossip."""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from typing import Any

from gateway.membership import wire
from gateway.membership.backend_table import BackendTable
from gateway.membership.change_log import ChangeLog
from gateway.membership.heartbeat_target import HeartbeatTargets
from gateway.membership.leases import Leases
from gateway.membership.log_follower import LogFollower
from gateway.membership.log_follower import Update as LogUpdate
from gateway.membership.messages import (
    CONFIG,
    CONTROLLER,
    CORE,
    Acknowledged,
    BackendRemoved,
    ConfigApplied,
    Deregistration,
    Heartbeat,
    Publish,
    Received,
    RunningConfig,
    SetCore,
    SetQuorate,
    SetSeeds,
    Tick,
    Update,
)
from gateway.membership.peer_view import PeerView
from gateway.membership.value_fetch import ValueFetcher, ValueStore
from gateway.state_machine import Address


class ControllerMembership:
    """The state machine of a controller, without I/O.

    Inputs: `Received`, `Tick`, `SetCore` (this process included, if it is a member), `SetQuorate`,
    `SetSeeds`, `Heartbeat`, `Deregistration`, `Publish`, `ConfigApplied`. Outputs: `Send`, `Acknowledged`,
    `Rejected`, `BackendAdded`, `BackendChanged`, `BackendRemoved`, `Update`, `ConfigAdvertised`,
    `CoreMembers`, `RunningConfig`.

    `heartbeat` is the interval of a backend's heartbeats in seconds, `zone` the number of this process's
    zone, `zone_numbers` the numbers of all zones by their names. Calls of backends are rejected unless this
    process is a member of the core, since the logs of other processes aren't followed."""

    def __init__(
        self,
        address: Address,
        zone: int,
        seeds: Sequence[Address],
        heartbeat: float,
        rng: random.Random,
        zone_numbers: Mapping[str, int] | None = None,
    ) -> None:
        self.address = address
        self.log = ChangeLog(rng, zone)
        self.table = BackendTable()
        self.follower = LogFollower()
        self.leases = Leases(self.log, self.table, address, heartbeat)
        self.targets = HeartbeatTargets(address, zone, zone_numbers or {}, self.follower, rng)
        self.value_fetcher = ValueFetcher()
        self.value_store = ValueStore()
        self.view = PeerView(address, CONTROLLER, zone, seeds, rng)

    def handle(self, now: float, event: Any) -> list[Any]:
        """Handle an input; returns the outputs. Raises TypeError for an event that isn't one of the inputs.
        `now` is in seconds of a steady clock."""
        position = self.log.position
        out = self._handle(now, event)
        if self.log.position != position:
            out += self.log.push(now)
        return out

    def _handle(self, now: float, event: Any) -> list[Any]:
        if isinstance(event, Received):
            return self._received(now, event.sender, event.note)
        if isinstance(event, Tick):
            return self._tick(now)
        if isinstance(event, Heartbeat):
            return self._heartbeat(now, event)
        if isinstance(event, Deregistration):
            return self._reconciled(now, self.leases.end(now, event))
        if isinstance(event, Publish):
            return self._publish(event)
        if isinstance(event, SetCore):
            return self._set_core(now, event.addresses)
        if isinstance(event, ConfigApplied):
            self.follower.report_running_config(now, event.version, int.from_bytes(event.digest), *event[2:])
            return []
        if isinstance(event, SetQuorate):
            self.log.quorate_until = event.until
            return []
        if isinstance(event, SetSeeds):
            self.view.set_seeds(event.addresses)
            return []
        raise TypeError(f"{type(event).__name__} is no input")

    def _heartbeat(self, now: float, heartbeat: Heartbeat) -> list[Any]:
        """Handle a backend's heartbeat; one that is acknowledged at once gets a target for the next ones."""
        out = self._reconciled(now, self.leases.heartbeat(now, heartbeat))
        if heartbeat.draining or Acknowledged(heartbeat.token) not in out:
            return out
        target = self.targets.choose(now, heartbeat.id, heartbeat.zone, self.leases.core)
        out[out.index(Acknowledged(heartbeat.token))] = Acknowledged(heartbeat.token, target)
        return out

    def _received(self, now: float, sender: Address, note: Any) -> list[Any]:
        kind = note.WhichOneof("kind")
        if kind == "follow":
            out: list[Any] = list(self.log.followed(now, sender, note.follow))
            if (f := note.follow).version:
                out.append(RunningConfig(sender, f.version, f.digest.to_bytes(8), f.findings, f.finding))
            return [*out, *self.leases.confirmed()] if self.leases.waiting else out
        if kind == "answer":
            out, log_update = self.follower.answered(now, sender, note.answer)
            return [*out, *self._apply_log_update(now, log_update)] if log_update else list(out)
        if kind == "value":
            return self._apply_updates(self.value_fetcher.value(note.value))
        if kind == "ask":
            return list(self.value_store.asked(sender, note.ask))
        if kind in ("shuffle_request", "shuffle_reply"):
            shuffle_request = note.shuffle_request if kind == "shuffle_request" else note.shuffle_reply
            return list(self.view.received(now, sender, shuffle_request, kind == "shuffle_reply"))
        return []

    def _apply_log_update(self, now: float, log_update: LogUpdate) -> list[Any]:
        """Apply an update of another controller's log, and bring the own log in line with it."""
        backends = [r for r in log_update.records if not isinstance(r, wire.ValueRecord)]
        if log_update.snapshot:
            out: list[Any] = list(self.table.snapshot(now, log_update.source, backends))
        else:
            out = [change for r in backends for change in self.table.record(now, log_update.source, r)]
        for record in backends:
            id = record.backend.id if isinstance(record, wire.LeaseRecord) else record.id
            out += self.leases.reconcile(now, id)
        out = self._reconciled(now, out)
        for value_record in log_update.records:
            if (
                isinstance(value_record, wire.ValueRecord) and value_record.kind != CONFIG
            ):  # configurations come by consensus
                if value_record.data is not None:
                    out += self._apply_updates(
                        self.value_fetcher.accept(
                            value_record.kind,
                            value_record.fencing_token,
                            value_record.data,
                            value_record.digest,
                        )
                    )
                else:
                    out += self.value_fetcher.add_source(
                        now, value_record.kind, value_record.fencing_token, log_update.source, 0.0
                    )
        return out

    def _reconciled(self, now: float, outputs: Sequence[Any]) -> list[Any]:
        """After backends were removed: end their leases, and record that in the own log."""
        out: list[Any] = list(outputs)
        for output in outputs:
            if isinstance(output, BackendRemoved):
                out += self.leases.reconcile(now, output.id)
        return out

    def _apply_updates(self, updates: list[Update]) -> list[Any]:
        """Output updates from others, and publish them in the own log too, except configurations."""
        for item in updates:
            if item.kind != CONFIG:
                self._publish(Publish(*item))
        return list(updates)

    def _publish(self, put: Publish) -> list[Any]:
        value_record = wire.ValueRecord(put.kind, put.fencing_token, put.digest, put.data)
        members = wire.members_or_none(put.data) if put.kind == CORE else ()
        if members is None or not self.value_store.put(value_record):
            return []
        self.value_fetcher.accept(put.kind, put.fencing_token, put.data, put.digest)
        self.log.put(put.kind, value_record)
        if put.kind == CONFIG:
            self.view.set_current_config(put.fencing_token[1], put.digest)
        elif put.kind == CORE:
            self.view.set_core_members(put.fencing_token, members)
        return []

    def _set_core(self, now: float, addresses: Sequence[Address]) -> list[Any]:
        self.leases.core = tuple(addresses)
        for left in self.follower.follow(now, [a for a in addresses if a != self.address]):
            self.table.release_all(now, left)
        return [*self.follower.tick(now), *self.leases.confirmed()]

    def _tick(self, now: float) -> list[Any]:
        quorate = self.log.quorate(now)
        self.targets.tick(now, quorate)
        out: list[Any] = self._reconciled(now, self.leases.tick(now, quorate))
        self.log.lost = [wire.address_hash(a) for a in self.follower.silent(now)]
        for source, last in self.follower.lost(now, self.table.grace):
            self.table.release_all(last, source)
        suspicions_known = bool(self.follower.suspicions(now)) or not self.follower.sources
        out += self._reconciled(now, self.table.tick(now, suspicions_known))
        return [
            *out,
            *self.follower.tick(now),
            *self.value_fetcher.tick(now),
            *self.view.tick(now),
            *self.log.tick(now),
        ]
