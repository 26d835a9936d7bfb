"""A controller's state machines, connected to one another, without sockets, disk or clock."""

from __future__ import annotations

import json
import logging
import random
from collections.abc import Callable
from typing import Any, Protocol

from gateway.config.digest import ExpectedDigests
from gateway.config.orders import ConfigState, without_order_history
from gateway.consensus import events as consensus_events
from gateway.consensus import outputs as consensus_outputs
from gateway.consensus.entry import PersistentState
from gateway.consensus.raft import RaftConfig, RaftNode
from gateway.membership import codec as membership_codec
from gateway.membership import events as membership_events
from gateway.membership import outputs as membership_outputs
from gateway.membership.codec import ZonedAddress
from gateway.membership.controller import ControllerMembership
from gateway.membership.types import ValueKind
from gateway.programs import startup, status_report
from gateway.programs.control_api import Control
from gateway.programs.fleet_monitor import JSON, FleetMonitor
from gateway.programs.quota_report import HolderReport
from gateway.programs.startup import CONSENSUS, MEMBERSHIP, QUOTA
from gateway.quota import events as quota_events
from gateway.quota import outputs as quota_outputs
from gateway.quota.shard_assigner import ShardAssigner
from gateway.quota.shard_owner import ShardOwner
from gateway.runtime import config_events
from gateway.runtime.http_listener import HttpCall, Reply
from gateway.runtime.settings import Settings
from gateway.state_machine import Address, FencingToken, Send

PEER_ALIVE_S = 1.0  # a member heard within this time counts as live
PUBLISH_INTERVAL_S = 0.5  # between two publications of the list of proxies

log = logging.getLogger("gateway.controller")


class Driver(Protocol):
    """Carries out the outputs of the state machines."""

    def send(self, to: Address, plane: int, message: Any) -> None:
        """Send a message of a plane to another process, or drop it."""

    def write(self, token: int, record: PersistentState) -> None:
        """Save a record; `ControllerNode.written` or `write_failed` is called with the token later on."""


class ControllerNode:
    """The state machines of one controller: consensus, membership, quota and drift watch.

    `clock` gives monotonic seconds, `stored` is what its disk holds, and `began` is when this process started
    by that clock (None: now).
    """

    def __init__(
        self,
        driver: Driver,
        clock: Callable[[], float],
        settings: Settings,
        stored: PersistentState | None,
        rng: random.Random,
        began: float | None = None,
    ) -> None:
        self.driver = driver
        self.clock = clock
        self.rng = rng
        self.me = settings.own_address("controller")
        self.control_port = (settings.network.listen.control or "").rpartition(":")[2]
        seeds = [settings.controller_at(s) for s in settings.network.seeds]
        raft_config = RaftConfig(
            self.me,
            tuple(seeds),
            first_start=settings.own.fresh_start,
            tolerance=settings.terms.fault_budget.machines,
            durable=settings.own.counted or settings.own.data_dir is not None,
        )
        new_disk_id = f"disk-{rng.getrandbits(64):x}"
        self.raft = RaftNode(raft_config, stored, rng, new_disk_id, clock(), began)
        zone = startup.zone_number(settings)
        self.membership = ControllerMembership(
            self.me, zone, seeds, settings.provider.beat_s, rng, startup.zone_numbers(settings)
        )
        self.membership.handle(clock(), membership_events.SetQuorumContact(self.raft.quorum_contact_until()))
        self.shard_assigner = ShardAssigner()
        self.holder = ShardOwner(settings.terms.bounds.quota_window_s, rng)
        self.holder_report = HolderReport(self.me, self.holder)
        self.config_state = ConfigState()
        self.version = 0
        self.expected: ExpectedDigests | None = None
        self.published_core: Any = None
        # as last published: term, zone and address of each
        self.ingresses: tuple[int, list[ZonedAddress]] = 0, []
        self.ingresses_at = -PUBLISH_INTERVAL_S
        self.told = 0
        self.control = Control(self, lambda call: self.handle_membership(self.membership, call))
        bounds = settings.terms.bounds
        self.fleet_monitor = FleetMonitor(
            self.me, bounds.apply_s, bounds.quota_window_s, self.push_allowances
        )

    # The interface `ConsensusCore` of `Control`.

    def leads(self, now: float) -> bool:
        """Whether this process has the leader lease and can read the committed version."""
        # A leader that can't read the committed version (of another release) must not decide on an older one.
        return self.raft.has_leader_lease(now) and self.version == self.raft.committed_version

    def leader_control(self) -> Address | None:
        """The `control` address of the leader, if that is another process; else None."""
        leader = self.raft.leader
        if leader is None or leader == self.me:
            return None
        return self.control_at(leader)

    def member_control(self) -> Address | None:
        members = () if self.me in self.membership.leases.core else self.raft.learner_role.core_addresses
        others = [member for member in members if member != self.me]
        return self.control_at(self.rng.choice(others)) if others else None

    def control_at(self, process: Address) -> Address:
        """Where a controller takes calls, by its own port: ports are alike on all machines."""
        return f"{process.rpartition(':')[0]}:{self.control_port}"

    def propose(self, token: int, value: bytes, expected: int) -> None:
        """Propose a value to replace the version `expected`."""
        self.handle_consensus(consensus_events.Propose(token, value, expected))

    def config_in_force(self) -> tuple[int, ConfigState]:
        """The version and the state in force here."""
        return self.version, self.config_state

    # Messages of other processes.

    def on_consensus_message(self, sender: Address, note: Any) -> None:
        """A message of the consensus plane has arrived."""
        self.handle_consensus(consensus_events.Received(sender, note))

    def on_membership_message(self, sender: Address, note: Any) -> None:
        """A message of the membership plane has arrived."""
        self.handle_membership(self.membership, membership_events.Received(sender, note))

    def on_quota_message(self, sender: Address, note: Any) -> None:
        """A message of the quota plane has arrived."""
        event = quota_events.Received(sender, note)
        if note.WhichOneof("kind") != "lease_request":
            return self.handle_quota(self.holder, event)
        self.publish_leadership(self.clock())
        self.handle_quota(self.shard_assigner, event)

    # Inputs of the state machines.

    def handle_consensus(self, event: Any) -> None:
        """Pass an input to the consensus plane and carry out its outputs."""
        now = self.clock()
        for out in self.raft.handle(now, event):
            if isinstance(out, Send):
                self.driver.send(out.to, CONSENSUS, out.message)
            elif isinstance(out, consensus_outputs.Write):
                self.driver.write(out.token, out.record)
            elif isinstance(out, consensus_outputs.Committed):
                self.committed(out)
            elif isinstance(out, consensus_outputs.Proposed):
                self.control.proposed(now, out.token, out.outcome)

    def handle_membership(self, machine: ControllerMembership, event: Any) -> None:
        """Pass an input to the membership plane and carry out its outputs."""
        now = self.clock()
        for out in machine.handle(now, event):
            if isinstance(out, Send):
                self.driver.send(out.to, MEMBERSHIP, out.message)
            elif isinstance(out, membership_outputs.Acknowledged):
                target = self.control_at(out.target) if out.target else ""
                self.control.heartbeat_answered(out.token, True, target)
            elif isinstance(out, membership_outputs.Rejected):
                self.control.heartbeat_answered(out.token, False)
            elif isinstance(out, membership_outputs.RunningConfig):
                self.fleet_monitor.runs(now, *out)
            elif isinstance(out, membership_outputs.ConfigAdvertised):
                self.fleet_monitor.heard(now, *out)
            elif isinstance(out, membership_outputs.CoreMembers):
                self.handle_consensus(consensus_events.KnownAddresses(out.members))

    def handle_quota(self, machine: ShardAssigner | ShardOwner, event: Any) -> None:
        """Pass an input to the shard assigner or shard owner and carry out its outputs."""
        for out in machine.handle(self.clock(), event):
            if isinstance(out, Send):
                self.driver.send(out.to, QUOTA, out.message)
            elif isinstance(out, quota_outputs.PublishShardMap):
                self.handle_membership(
                    self.membership,
                    membership_events.Publish(ValueKind.SHARD_MAP, out.fencing_token, out.data),
                )

    def seeds(self, addresses: tuple[Address, ...]) -> None:
        """The settings have other seeds."""
        self.handle_membership(self.membership, membership_events.SetSeeds(addresses))
        self.handle_consensus(consensus_events.KnownAddresses(addresses))

    def written(self, token: int) -> None:
        """The record with this token is on disk."""
        self.handle_consensus(consensus_events.WriteCompleted(token))

    def write_failed(self, token: int, why: str) -> None:
        """The record with this token couldn't be saved."""
        log.warning("the disk failed: %s", why)
        self.handle_consensus(consensus_events.WriteFailed(token, why))

    def committed(self, news: consensus_outputs.Committed) -> None:
        """A value was committed: apply it here, and publish it to the followers."""
        try:
            self.config_state = self.control.own_value(news.value) or ConfigState.decode(
                news.value, self.config_state
            )
        except ValueError as error:
            log.error("version %d can't be read: %s", news.version, error)
            return
        first = not self.version
        self.version = news.version
        document = self.config_state.document
        if document is None:
            return
        self.expected = ExpectedDigests(document, self.expected)
        digest = self.expected.total.to_bytes(8)
        value = without_order_history(news.value)
        self.handle_membership(
            self.membership,
            membership_events.Publish(ValueKind.CONFIG, FencingToken(0, news.version), value, digest),
        )
        self.handle_membership(self.membership, membership_events.ConfigApplied(news.version, digest))
        self.push_allowances()
        self.fleet_monitor.config_applied(self.clock(), news.version, self.expected.total, document)
        config_events.in_force(self.me, news.version, document.generation, first)

    def push_allowances(self) -> None:
        """Pass the tenants' rates and bursts of the document to the shard owner."""
        document = self.config_state.document
        if document is not None:
            tenants = {t.label: quota_events.RateLimit(t.rate, t.burst) for t in document.tenants.values()}
            self.handle_quota(self.holder, quota_events.Allowances(tenants))

    def answer(self, http_call: HttpCall, reply: Reply) -> None:
        """Answer an HTTP call to `control`."""
        path = http_call.path.partition("?")[0]
        if http_call.method == "GET" and path in (status_report.CORE, status_report.LEASES):
            now = self.clock()
            core = path == status_report.CORE
            told = status_report.core(self.raft, now) if core else status_report.leases(self.membership, now)
            return reply(200, JSON, json.dumps(told).encode())
        leader = {"leader": self.raft.leader, "quorate": self.membership.log.quorate(self.clock())}
        if not self.fleet_monitor.answer(self.clock(), http_call, reply, leader, self.holder_report):
            self.control.answer(self.clock(), http_call, reply)

    def tick(self, now: float) -> None:
        """Pass the time to all state machines."""
        self.handle_consensus(consensus_events.Tick())
        self.publish_core(now)
        self.control.proceed(now)
        self.handle_membership(self.membership, membership_events.Tick())
        raft = self.raft
        self.publish_leadership(now)
        if raft.leader_role is not None:
            self.handle_quota(self.shard_assigner, quota_events.Tick())
            if raft.has_leader_lease(now):
                self.publish_ingresses(now)
        self.fleet_monitor.tick(
            now, self.membership.log.quorate(now), lambda: dict(self.holder.windows.values())
        )
        self.handle_quota(self.holder, quota_events.SetLeader(raft.leader))
        self.handle_quota(self.holder, quota_events.Tick())
        self.holder_report.tick(now)

    def publish_leadership(self, now: float) -> None:
        """Tell the shard assigner whether this process leads, and which controllers are live."""
        raft = self.raft
        leader_role = self.raft.leader_role
        term, since = (raft.term, raft.leaderless_since) if leader_role is not None else (0, None)
        self.handle_quota(
            self.shard_assigner, quota_events.LeadershipChange(term, raft.has_leader_lease(now), since)
        )
        if leader_role is not None:
            live = [p.address for p in leader_role.peers.values() if now - p.last_heard_at < PEER_ALIVE_S]
            members = [m.address for m in raft.members]
            self.handle_quota(self.shard_assigner, quota_events.LiveControllers((self.me, *live), members))

    def publish_ingresses(self, now: float) -> None:
        """Publish the list of proxies when it changes, and in each term; at most every 0.5 s."""
        term = self.raft.term
        ingresses = self.membership.log.ingresses(now)
        if (
            not ingresses
            or (term, ingresses) == self.ingresses
            or now < self.ingresses_at + PUBLISH_INTERVAL_S
        ):
            return
        self.ingresses = (term, ingresses)
        self.ingresses_at = now
        self.told = self.told + 1
        data = membership_codec.encode_ingresses(ingresses)
        self.handle_membership(
            self.membership,
            membership_events.Publish(ValueKind.INGRESSES, FencingToken(term, self.told), data),
        )

    def publish_core(self, now: float) -> None:
        """Publish the core's members and the leader to the other planes when they change."""
        raft = self.raft
        known = raft.committed_entry
        until = raft.quorum_contact_until()
        quorate = now < until
        self.handle_membership(self.membership, membership_events.SetQuorumContact(until))
        members = tuple(m.address for m in (raft.members if known is None else known.members))
        told = (members, None if known is None else known.position, raft.leader, quorate)
        if told == self.published_core or not members:
            return
        self.published_core = told  # right after a start from disk: heartbeats need no election
        self.handle_membership(self.membership, membership_events.SetCore(members))
        if known is not None and raft.leader_role is not None and quorate:
            data = membership_codec.encode_members(members, self.me)
            self.handle_membership(
                self.membership,
                membership_events.Publish(ValueKind.CORE, FencingToken(*known.position), data),
            )
        log.info("core %s, leader %s, quorate %s", members, raft.leader, quorate)
