"""Membership at a proxy: it follows the change logs of the core's controllers, and gossips with peers."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Any

from gateway.membership import wire
from gateway.membership.backend_table import BackendTable
from gateway.membership.log_follower import LogFollower
from gateway.membership.log_follower import Update as LogUpdate
from gateway.membership.messages import (
    CONFIG,
    CONTROLLER,
    CORE,
    PROXY,
    ConfigAdvertised,
    ConfigApplied,
    CoreMembers,
    FetchConfig,
    Received,
    SetCore,
    SetSeeds,
    Tick,
    Update,
)
from gateway.membership.peer_view import PeerView
from gateway.membership.value_fetch import OTHER_ZONE_DELAY_S, ValueFetcher, ValueStore
from gateway.state_machine import Address, Send

ISOLATED_S = 3.0  # without any quorate source in reach, seeds and known controllers are followed too
PEER_FETCH_DELAY_S = 1.0  # before a configuration is requested from a peer rather than from the core


class ProxyMembership:
    """The state machine of a proxy, without I/O.

    Inputs: `Received`, `Tick`, `ConfigApplied`, `FetchConfig`, `SetSeeds`, and `SetCore` where the members
    are known from elsewhere. Outputs: `Send`, `BackendAdded`, `BackendChanged`, `BackendRemoved`, `Update`,
    `ConfigAdvertised`, `CoreMembers`.

    Follows the seeds (addresses of controllers) until it learns the members of the core."""

    def __init__(self, address: Address, zone: int, seeds: Sequence[Address], rng: random.Random) -> None:
        self.seeds = tuple(seeds)
        self.zone = zone
        self.follower = LogFollower(ingress_zone=zone)
        self.table = BackendTable()
        self.value_fetcher = ValueFetcher()
        self.value_store = ValueStore()
        self.view = PeerView(address, PROXY, zone, seeds, rng)
        self.core: tuple[Address, ...] = ()
        self.last_heard: float | None = None
        self.started = False
        self.isolated = False

    def handle(self, now: float, event: Any) -> list[Any]:
        """Handle an input; returns the outputs. Raises TypeError for an event that isn't one of the inputs.
        `now` is in seconds of a steady clock."""
        if not self.started:
            self.started = True
            self.last_heard = now
            self._follow(now)
        if isinstance(event, Received):
            return self._received(now, event.sender, event.note)
        if isinstance(event, Tick):
            return self._tick(now)
        if isinstance(event, SetCore):
            self.core = event.addresses
            self._follow(now)
            return list(self.follower.tick(now))
        if isinstance(event, SetSeeds):
            self.seeds = event.addresses
            self.view.set_seeds(event.addresses)
            if not self.core:
                self._follow(now)
            return list(self.follower.tick(now))
        if isinstance(event, ConfigApplied):
            self.view.set_current_config(event.version, event.digest)
            self.follower.report_running_config(now, event.version, int.from_bytes(event.digest), *event[2:])
            return []
        if isinstance(event, FetchConfig):
            return self._fetch(now, event)
        raise TypeError(f"{type(event).__name__} is no input")

    def _received(self, now: float, sender: Address, note: Any) -> list[Any]:
        kind = note.WhichOneof("kind")
        if kind == "answer":
            out, log_update = self.follower.answered(now, sender, note.answer)
            return [*out, *self._apply_log_update(now, log_update)] if log_update else list(out)
        if kind == "value":
            return self._apply_updates(now, self.value_fetcher.value(note.value))
        if kind == "ask":
            return list(self.value_store.asked(sender, note.ask))
        if kind in ("shuffle_request", "shuffle_reply"):
            shuffle_request = note.shuffle_request if kind == "shuffle_request" else note.shuffle_reply
            return self._after_shuffle(
                now, self.view.received(now, sender, shuffle_request, kind == "shuffle_reply")
            )
        return []

    def _apply_log_update(self, now: float, log_update: LogUpdate) -> list[Any]:
        """Apply an update of a controller's log."""
        out: list[Any] = []
        backends = [r for r in log_update.records if not isinstance(r, wire.ValueRecord)]
        if log_update.snapshot:
            out += self.table.snapshot(now, log_update.source, backends)
        else:
            for record in backends:
                out += self.table.record(now, log_update.source, record)
        for value_record in log_update.records:
            if isinstance(value_record, wire.ValueRecord):
                out += self._apply_value_record(now, log_update.source, value_record)
        return out

    def confirmed(self, now: float) -> tuple[int, float] | None:
        """The configuration version that a majority of the core has as the newest, and the time as of which
        that is certain: see `LogFollower.confirmed`."""
        return self.follower.confirmed(now, self.core)

    def _fetch(self, now: float, fetch: FetchConfig) -> list[Any]:
        """Request a configuration at once, from its holder or from all sources heard lately."""
        self.value_fetcher.set_target(CONFIG, (0, fetch.version), fetch.again)
        holders = [fetch.holder] if fetch.holder else self.follower.heard(now)
        return [self.value_fetcher.ask(CONFIG, (0, fetch.version), holder) for holder in holders]

    def _apply_value_record(self, now: float, source: Address, value_record: wire.ValueRecord) -> list[Any]:
        if value_record.kind == CONFIG and (followed := self.follower.sources.get(source)) is not None:
            followed.config = value_record.fencing_token[1]
        if value_record.data is not None:
            return self._apply_updates(
                now,
                self.value_fetcher.accept(
                    value_record.kind, value_record.fencing_token, value_record.data, value_record.digest
                ),
            )
        wait = 0.0 if self.follower.in_zone(source, self.zone) else OTHER_ZONE_DELAY_S
        out: list[Any] = list(
            self.value_fetcher.add_source(now, value_record.kind, value_record.fencing_token, source, wait)
        )
        if value_record.kind == CONFIG:
            out.append(ConfigAdvertised(value_record.fencing_token[1], value_record.digest, source))
        return out

    def _apply_updates(self, now: float, updates: list[Update]) -> list[Any]:
        out: list[Any] = list(updates)
        for item in updates:
            if item.kind == CORE:
                out += self._core(now, item)
            elif item.kind == CONFIG:
                self.value_store.put(wire.ValueRecord(CONFIG, item.fencing_token, item.digest, item.data))
        return out

    def _core(self, now: float, updates: Update) -> list[Send]:
        """Follow the members of the core that an update names."""
        members = wire.members_or_none(updates.data)
        if not members:
            return []
        self.view.set_core_members(updates.fencing_token, members)
        self.core = members
        self._follow(now)
        return self.follower.tick(now)

    def _after_shuffle(self, now: float, outputs: Sequence[Any]) -> list[Any]:
        out: list[Any] = list(outputs)
        for output in outputs:
            if isinstance(output, CoreMembers):
                self.core = output.members
                self._follow(now)
            elif isinstance(output, ConfigAdvertised) and output.holder:
                out += self.value_fetcher.add_source(
                    now, CONFIG, (0, output.version), output.holder, PEER_FETCH_DELAY_S
                )
        return out

    def _follow(self, now: float, isolated: bool = False) -> None:
        """Follow the core; while it is unknown, the seeds; while `isolated` from it, the seeds and all known
        controllers too."""
        wanted = list(self.core) if self.core else list(self.seeds)
        if isolated:
            wanted += [*self.seeds, *(p.address for p in self.view.peers() if p.role == CONTROLLER)]
        self.isolated = isolated
        for left in self.follower.follow(now, wanted):
            self.table.release_all(now, left)

    def _tick(self, now: float) -> list[Any]:
        heard = self.follower.quorate(now)
        if heard:
            self.last_heard = now
            if self.isolated and any(a in self.core for a in heard):
                self._follow(now)
        elif self.last_heard is not None and now - self.last_heard > ISOLATED_S:
            self.last_heard = now  # begins the next period
            self._follow(now, isolated=True)
        out: list[Any] = [*self.follower.tick(now), *self.value_fetcher.tick(now), *self.view.tick(now)]
        for source, last in self.follower.lost(now, self.table.grace):
            self.table.release_all(last, source)
        out += self.table.tick(now, bool(self.follower.suspicions(now)))
        return out
