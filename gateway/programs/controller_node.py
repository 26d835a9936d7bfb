"""A controller's machines, connected to one another and free of sockets, disk and clock."""

from __future__ import annotations

import json
import logging
import random
from collections.abc import Callable
from typing import Any, Protocol

from gateway.config.digest import ExpectedDigests
from gateway.config.orders import ConfigState, without_order_history
from gateway.consensus import api as consensus
from gateway.consensus.raft import RaftNode
from gateway.consensus.records import PersistentState
from gateway.membership import messages as membership
from gateway.membership import wire as membership_codec
from gateway.membership.controller import ControllerMembership
from gateway.programs import startup, status_report
from gateway.programs.control_api import Control
from gateway.programs.fleet_monitor import JSON, FleetMonitor
from gateway.programs.quota_report import HolderReport
from gateway.programs.startup import CONSENSUS, MEMBERSHIP, QUOTA
from gateway.quota import interface as quota
from gateway.quota.shard_assigner import ShardAssigner
from gateway.quota.shard_owner import ShardOwner
from gateway.runtime import config_events
from gateway.runtime.http_listener import HttpCall, Reply
from gateway.runtime.settings import Settings
from gateway.state_machine import Address, Send

PEER_ALIVE_S = 1.0  # within which a member of the core was heard, if it lives
PUBLISH_INTERVAL_S = 0.5  # between two tellings of who the ingresses are

log = logging.getLogger("gateway.controller")


class Driver(Protocol):
    """Carries out what the machines want done outside of them."""

    def send(self, to: Address, plane: int, message: Any) -> None:
        """Send a message to another process, or lose it."""

    def write(self, token: int, record: PersistentState) -> None:
        """Save a record; `Post.written` or `Post.write_failed` is called with the token later on."""


class ControllerNode:
    """The machines of the core at one controller. `clock` gives steady seconds, `stored` is off its disk, and
    `began` is when this process began, by the clock; now, if it isn't told."""

    def __init__(
        self,
        driver: Driver,
        clock: Callable[[], float],
        settings: Settings,
        stored: PersistentState | None,
        rng: random.Random,
        began: float | None = None,
    ) -> None:
        self.driver, self.clock = driver, clock
        self.me = settings.own_address("controller")
        self.control_port = (settings.network.listen.control or "").rpartition(":")[2]
        seeds = [settings.controller_at(s) for s in settings.network.seeds]
        self.raft = RaftNode(
            self.me,
            stored,
            settings.own.fresh_start,
            seeds,
            rng,
            consensus.Tuning(),
            f"disk-{rng.getrandbits(64):x}",
            settings.terms.fault_budget.machines,
            clock(),
            began,
        )
        zone = startup.zone_number(settings)
        self.membership = ControllerMembership(self.me, zone, seeds, settings.provider.beat_s, rng)
        self.membership.handle(clock(), membership.SetQuorate(self.raft.quorum_contact_until()))
        self.shard_assigner = ShardAssigner()
        self.holder = ShardOwner(settings.terms.bounds.quota_window_s, rng)
        self.holder_report = HolderReport(self.me, self.holder)
        self.config_state, self.version = ConfigState(), 0
        self.expected: ExpectedDigests | None = None
        self.published_core: Any = None
        self.ingresses: tuple[int, list[tuple[int, Address]]] = 0, []  # as last told: term, who
        self.ingresses_at, self.told = -PUBLISH_INTERVAL_S, 0
        self.control = Control(self, lambda call: self.handle_membership(self.membership, call))
        bounds = settings.terms.bounds
        self.fleet_monitor = FleetMonitor(
            self.me, bounds.apply_s, bounds.quota_window_s, self.push_allowances
        )

    # What the control calls need.

    def leads(self, now: float) -> bool:
        # Who can't read what is in force (another release has made it) decides nothing by what was before.
        return self.raft.has_leader_lease(now) and self.version == self.raft.committed

    def leader_control(self) -> Address | None:
        leader = self.raft.leader
        if leader is None or leader == self.me:
            return None
        return f"{leader.rpartition(':')[0]}:{self.control_port}"

    def propose(self, token: int, value: bytes, expected: int) -> None:
        self.handle_consensus(consensus.Propose(token, value, expected))

    def config_in_force(self) -> tuple[int, ConfigState]:
        return self.version, self.config_state

    # Messages.

    def on_consensus_message(self, sender: Address, note: Any) -> None:
        self.handle_consensus(consensus.Received(sender, note))

    def on_membership_message(self, sender: Address, note: Any) -> None:
        self.handle_membership(self.membership, membership.Received(sender, note))

    def on_quota_message(self, sender: Address, note: Any) -> None:
        event = quota.Received(sender, note)
        if note.WhichOneof("kind") != "request":
            return self.handle_quota(self.holder, event)
        self.publish_leadership(self.clock())
        self.handle_quota(self.shard_assigner, event)

    # Machines.

    def handle_consensus(self, event: Any) -> None:
        """An input of the agreement."""
        now = self.clock()
        for out in self.raft.handle(now, event):
            if isinstance(out, Send):
                self.driver.send(out.to, CONSENSUS, out.message)
            elif isinstance(out, consensus.Write):
                self.driver.write(out.token, out.record)
            elif isinstance(out, consensus.Committed):
                self.committed(out)
            elif isinstance(out, consensus.Proposed):
                self.control.proposed(now, out.token, out.outcome)

    def handle_membership(self, machine: ControllerMembership, event: Any) -> None:
        """An input of the rounds."""
        now = self.clock()
        for out in machine.handle(now, event):
            if isinstance(out, Send):
                self.driver.send(out.to, MEMBERSHIP, out.message)
            elif isinstance(out, membership.Acknowledged):
                self.control.heartbeat_answered(out.token, True)
            elif isinstance(out, membership.Rejected):
                self.control.heartbeat_answered(out.token, False)
            elif isinstance(out, membership.RunningConfig):
                self.fleet_monitor.runs(now, *out)
            elif isinstance(out, membership.ConfigAdvertised):
                self.fleet_monitor.heard(now, *out)
            elif isinstance(out, membership.CoreMembers):
                self.handle_consensus(consensus.KnownAddresses(out.members))

    def handle_quota(self, machine: ShardAssigner | ShardOwner, event: Any) -> None:
        """An input of the quota plane."""
        for out in machine.handle(self.clock(), event):
            if isinstance(out, Send):
                self.driver.send(out.to, QUOTA, out.message)
            elif isinstance(out, quota.PublishShardMap):
                self.handle_membership(
                    self.membership, membership.Publish(membership.SHARD_MAP, out.fencing_token, out.data)
                )

    def seeds(self, addresses: tuple[Address, ...]) -> None:
        """Other seeds are set."""
        self.handle_membership(self.membership, membership.SetSeeds(addresses))
        self.handle_consensus(consensus.KnownAddresses(addresses))

    def written(self, token: int) -> None:
        self.handle_consensus(consensus.WriteCompleted(token))

    def write_failed(self, token: int, why: str) -> None:
        log.warning("the disk failed: %s", why)
        self.handle_consensus(consensus.WriteFailed(token, why))

    def committed(self, news: consensus.Committed) -> None:
        """A value is in force from now on: take it up, and pass it on."""
        try:
            self.config_state = self.control.own_value(news.value) or ConfigState.decode(
                news.value, self.config_state
            )
        except ValueError as error:
            log.error("version %d can't be read: %s", news.version, error)
            return
        first, self.version = not self.version, news.version
        document = self.config_state.document
        if document is None:
            return
        self.expected = ExpectedDigests(document, self.expected)
        digest = self.expected.total.to_bytes(8)
        value = without_order_history(news.value)
        self.handle_membership(
            self.membership, membership.Publish(membership.CONFIG, (0, news.version), value, digest)
        )
        self.handle_membership(self.membership, membership.ConfigApplied(news.version, digest))
        self.push_allowances()
        self.fleet_monitor.config_applied(self.clock(), news.version, self.expected.total, document)
        config_events.in_force(self.me, news.version, document.generation, first)

    def push_allowances(self) -> None:
        """Tell the quota plane what the document allows."""
        document = self.config_state.document
        if document is not None:
            tenants = {t.label: (t.rate, t.burst) for t in document.tenants.values()}
            self.handle_quota(self.holder, quota.Allowances(tenants))

    def answer(self, http_call: HttpCall, reply: Reply) -> None:
        """A call to `control`."""
        path = http_call.path.partition("?")[0]
        if http_call.method == "GET" and path in (status_report.CORE, status_report.LEASES):
            now, core = self.clock(), path == status_report.CORE
            told = status_report.core(self.raft, now) if core else status_report.leases(self.membership, now)
            return reply(200, JSON, json.dumps(told).encode())
        leader = {"leader": self.raft.leader, "quorate": self.membership.log.quorate(self.clock())}
        if not self.fleet_monitor.answer(self.clock(), http_call, reply, leader, self.holder_report):
            self.control.answer(self.clock(), http_call, reply)

    def tick(self, now: float) -> None:
        """Time passes for all machines."""
        self.handle_consensus(consensus.Tick())
        self.publish_core(now)
        self.control.proceed(now)
        self.handle_membership(self.membership, membership.Tick())
        raft = self.raft
        self.publish_leadership(now)
        if raft.leader_role is not None:
            self.handle_quota(self.shard_assigner, quota.Tick())
            if raft.has_leader_lease(now):
                self.publish_ingresses(now)
        self.fleet_monitor.tick(
            now, self.membership.log.quorate(now), lambda: dict(self.holder.windows.values())
        )
        self.handle_quota(self.holder, quota.SetLeader(raft.leader))
        self.handle_quota(self.holder, quota.Tick())
        self.holder_report.tick(now)

    def publish_leadership(self, now: float) -> None:
        """Tell who hands out the tenants whether this process leads, and who is there."""
        raft, leader_role = self.raft, self.raft.leader_role
        term, since = (raft.term, raft.leaderless_since) if leader_role is not None else (0, None)
        self.handle_quota(
            self.shard_assigner, quota.LeadershipChange(term, raft.has_leader_lease(now), since)
        )
        if leader_role is not None:
            live = [p.address for p in leader_role.peers.values() if now - p.heard < PEER_ALIVE_S]
            members = [m.address for m in raft.members]
            self.handle_quota(self.shard_assigner, quota.LiveControllers((self.me, *live), members))

    def publish_ingresses(self, now: float) -> None:
        """Tell all ingresses of one another, not too often; in each term anew, for others led in between."""
        term, ingresses = self.raft.term, self.membership.log.ingresses(now)
        if (
            not ingresses
            or (term, ingresses) == self.ingresses
            or now < self.ingresses_at + PUBLISH_INTERVAL_S
        ):
            return
        self.ingresses, self.ingresses_at, self.told = (term, ingresses), now, self.told + 1
        data = membership_codec.encode_ingresses(ingresses)
        self.handle_membership(
            self.membership, membership.Publish(membership.INGRESSES, (term, self.told), data)
        )

    def publish_core(self, now: float) -> None:
        """Tell the other planes who the core is, and who leads."""
        raft = self.raft
        known, until = raft.value, raft.quorum_contact_until()
        quorate = now < until
        self.handle_membership(self.membership, membership.SetQuorate(until))
        members = tuple(m.address for m in (raft.members if known is None else known.members))
        told = (members, None if known is None else known.position, raft.leader, quorate)
        if told == self.published_core or not members:
            return
        self.published_core = told  # right after a start by what the disk tells: beats need no election
        self.handle_membership(self.membership, membership.SetCore(members))
        if known is not None and raft.leader_role is not None and quorate:
            data = membership_codec.encode_members(members, self.me)
            self.handle_membership(self.membership, membership.Publish(membership.CORE, known.position, data))
        log.info("core %s, leader %s, quorate %s", members, raft.leader, quorate)
