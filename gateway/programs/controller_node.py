"""A controller's state machines, connected to each other, without sockets, disk or a clock."""

from __future__ import annotations

import json
import logging
import random
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple, Protocol, assert_never

from google.protobuf.message import Message

from gateway.config.changes import ConfigState, without_history
from gateway.config.digest import ExpectedDigests
from gateway.config.errors import MalformedStateError
from gateway.consensus import events as consensus_events
from gateway.consensus import outputs as consensus_outputs
from gateway.consensus.consensus_pb2 import Message as ConsensusMessage
from gateway.consensus.entry import LogPosition, PersistentState
from gateway.consensus.raft import RaftConfig, RaftNode
from gateway.membership import codec as membership_codec
from gateway.membership import events as membership_events
from gateway.membership import outputs as membership_outputs
from gateway.membership.codec import ZonedAddress
from gateway.membership.controller import ControllerMembership
from gateway.membership.membership_pb2 import Message as MembershipMessage
from gateway.membership.types import ValueKind
from gateway.programs import startup, status_report
from gateway.programs.control_api import ControlApi
from gateway.programs.fleet_monitor import FleetMonitor
from gateway.programs.paths import CORE, LEASES
from gateway.programs.quota_report import OwnerReport
from gateway.programs.startup import CONSENSUS, MEMBERSHIP, QUOTA
from gateway.quota import events as quota_events
from gateway.quota import outputs as quota_outputs
from gateway.quota.quota_pb2 import Message as QuotaMessage
from gateway.quota.shard_assigner import ShardAssigner
from gateway.quota.shard_owner import ShardOwner
from gateway.quota.window import Window
from gateway.runtime import config_events
from gateway.runtime.http_call import JSON, HttpCall, Reply
from gateway.runtime.settings import Settings
from gateway.state_machine import Address, FencingToken, Send

PEER_ALIVE_S = 1.0  # a member counts as live if it was in contact within this time
PUBLISH_INTERVAL_S = 0.5  # minimum interval of publications of the list of proxies
DIGEST_BYTES = 8

log = logging.getLogger("gateway.controller")


class Driver(Protocol):
    """Carries out the outputs of the state machines."""

    def send(self, to: Address, plane: int, message: Message) -> None:
        """Send a message of a plane to another process, or drop it."""

    def write(self, token: int, record: PersistentState) -> None:
        """Save a record; `ControllerNode.written` or `write_failed` is called with the token later."""


class PublishedCore(NamedTuple):
    """The last published state of the core."""

    members: tuple[Address, ...]
    position: LogPosition | None
    leader: Address | None
    quorate: bool


class PublishedIngresses(NamedTuple):
    """The last published list of proxies, and the term of its publication."""

    term: int
    ingresses: list[ZonedAddress]


class ControllerNode:
    """The state machines of one controller: consensus, membership, quota and drift detection.

    Args:
        driver: Carries out the outputs.
        clock: Returns monotonic seconds.
        settings: The settings of the process.
        stored: The record loaded from disk.
        rng: Used by all state machines.
        process_started_at: When this process started by that clock; None means now.
    """

    def __init__(
        self,
        driver: Driver,
        clock: Callable[[], float],
        settings: Settings,
        stored: PersistentState | None,
        rng: random.Random,
        process_started_at: float | None = None,
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
        self.raft = RaftNode(raft_config, stored, rng, new_disk_id, clock(), process_started_at)
        zone = startup.zone_number(settings)
        heartbeat_interval_s = settings.provider.beat_s
        zone_numbers = startup.zone_numbers(settings)
        self.membership = ControllerMembership(self.me, zone, seeds, heartbeat_interval_s, rng, zone_numbers)
        contact = membership_events.SetQuorumContact(self.raft.quorum_contact_until())
        self.membership.handle(clock(), contact)
        bounds = settings.terms.bounds
        self.shard_assigner = ShardAssigner()
        self.shard_owner = ShardOwner(bounds.quota_window_s, rng)
        self.owner_report = OwnerReport(self.me, self.shard_owner)
        self.config_state = ConfigState()
        self.version = 0
        self.expected: ExpectedDigests | None = None
        self.published_core: PublishedCore | None = None
        self.published_ingresses = PublishedIngresses(0, [])
        self.ingresses_published_at = -PUBLISH_INTERVAL_S
        self.ingresses_number = 0  # of the newest publication
        self.control = ControlApi(self, self.handle_membership)
        self.fleet_monitor = FleetMonitor(
            self.me, bounds.apply_s, bounds.quota_window_s, self.push_allowances
        )

    # The interface `ConsensusCore` of the control API.

    def leads(self, now: float) -> bool:
        """Whether this process has the leader lease and was able to decode the committed version."""
        # A leader that can't decode the committed version (of another release) must not decide on an older
        # one.
        return self.raft.has_leader_lease(now) and self.version == self.raft.committed_version

    def leader_control(self) -> Address | None:
        """The `control` address of the leader, if the leader is another process; otherwise None."""
        leader = self.raft.leader
        if leader is None or leader == self.me:
            return None
        return self.control_at(leader)

    def member_control(self) -> Address | None:
        """The `control` address of a member of the core, if this process is not a member and knows one."""
        if self.me in self.membership.leases.core:
            return None
        members = self.raft.learner_role.core_addresses
        others = [member for member in members if member != self.me]
        return self.control_at(self.rng.choice(others)) if others else None

    def control_at(self, process: Address) -> Address:
        """The `control` address of a controller given its own address; ports are the same on all machines."""
        return f"{process.rpartition(':')[0]}:{self.control_port}"

    def propose(self, token: int, value: bytes, expected_version: int) -> None:
        """Propose a value to replace version `expected_version`."""
        self.handle_consensus(consensus_events.Propose(token, value, expected_version))

    def config_in_force(self) -> tuple[int, ConfigState]:
        """The version and the state in force here."""
        return self.version, self.config_state

    # Messages of other processes.

    def on_consensus_message(self, sender: Address, message: ConsensusMessage) -> None:
        """Handle a message of the consensus plane."""
        self.handle_consensus(consensus_events.Received(sender, message))

    def on_membership_message(self, sender: Address, message: MembershipMessage) -> None:
        """Handle a message of the membership plane."""
        self.handle_membership(membership_events.Received(sender, message))

    def on_quota_message(self, sender: Address, message: QuotaMessage) -> None:
        """Handle a message of the quota plane."""
        event = quota_events.Received(sender, message)
        if message.WhichOneof("kind") != "lease_request":
            self.handle_shard_owner(event)
            return
        self.publish_leadership(self.clock())
        self.handle_shard_assigner(event)

    # Events of the state machines.

    def handle_consensus(self, event: consensus_events.Event) -> None:
        """Pass an event to the consensus plane, and carry out its outputs."""
        now = self.clock()
        for output in self.raft.handle(now, event):
            match output:
                case Send(to, message):
                    self.driver.send(to, CONSENSUS, message)
                case consensus_outputs.Write(token, record):
                    self.driver.write(token, record)
                case consensus_outputs.Committed():
                    self.on_committed(output)
                case consensus_outputs.Proposed(token, outcome):
                    self.control.on_proposal_outcome(now, token, outcome)
                case _:
                    assert_never(output)

    def handle_membership(self, event: membership_events.ControllerEvent) -> None:
        """Pass an event to the membership plane, and carry out its outputs."""
        now = self.clock()
        for output in self.membership.handle(now, event):
            match output:
                case Send(to, message):
                    self.driver.send(to, MEMBERSHIP, message)
                case membership_outputs.Acknowledged(token, target):
                    self.control.acknowledge_call(token, self.control_at(target) if target else "")
                case membership_outputs.Rejected(token):
                    self.control.reject_call(token)
                case membership_outputs.RunningConfig():
                    self.fleet_monitor.on_running_config(now, output)
                case membership_outputs.ConfigAdvertised():
                    self.fleet_monitor.on_config_advertised(now, output)
                case membership_outputs.CoreMembers(_, members):
                    self.handle_consensus(consensus_events.KnownAddresses(members))
                case _:  # backends and values only concern proxies
                    pass

    def handle_shard_owner(self, event: quota_events.OwnerEvent) -> None:
        """Pass an event to the shard owner, and send its messages."""
        for send in self.shard_owner.handle(self.clock(), event):
            self.driver.send(send.to, QUOTA, send.message)

    def handle_shard_assigner(self, event: quota_events.AssignerEvent) -> None:
        """Pass an event to the shard assigner, and carry out its outputs."""
        for output in self.shard_assigner.handle(self.clock(), event):
            match output:
                case Send(to, message):
                    self.driver.send(to, QUOTA, message)
                case quota_outputs.PublishShardMap(fencing_token, data):
                    self.handle_membership(
                        membership_events.Publish(ValueKind.SHARD_MAP, fencing_token, data)
                    )
                case _:
                    assert_never(output)

    def set_seeds(self, addresses: tuple[Address, ...]) -> None:
        """Apply changed seeds from the settings."""
        self.handle_membership(membership_events.SetSeeds(addresses))
        self.handle_consensus(consensus_events.KnownAddresses(addresses))

    def written(self, token: int) -> None:
        """Handle the completion of a disk write."""
        self.handle_consensus(consensus_events.WriteCompleted(token))

    def write_failed(self, token: int, reason: str) -> None:
        """Handle a failed disk write."""
        log.warning("disk write failed: %s", reason)
        self.handle_consensus(consensus_events.WriteFailed(token, reason))

    def on_committed(self, committed: consensus_outputs.Committed) -> None:
        """Handle a committed value: apply it here, and publish it to the followers."""
        try:
            self.config_state = self.control.own_value(committed.value) or ConfigState.decode(
                committed.value, self.config_state
            )
        except MalformedStateError as error:
            log.error("configuration version %d can't be read: %s", committed.version, error)
            return
        is_first = not self.version
        self.version = committed.version
        document = self.config_state.document
        if document is None:
            return
        self.expected = ExpectedDigests(document, self.expected)
        digest = self.expected.total.to_bytes(DIGEST_BYTES)
        value = without_history(committed.value)
        fencing_token = FencingToken(0, committed.version)
        self.handle_membership(membership_events.Publish(ValueKind.CONFIG, fencing_token, value, digest))
        self.handle_membership(membership_events.ConfigApplied(committed.version, digest))
        self.push_allowances()
        self.fleet_monitor.config_applied(self.clock(), committed.version, self.expected.total, document)
        config_events.config_in_force(self.me, committed.version, document.generation, is_first)

    def push_allowances(self) -> None:
        """Pass the tenants' rates and bursts in the document to the shard owner."""
        document = self.config_state.document
        if document is not None:
            self.handle_shard_owner(quota_events.Allowances.of(document.tenants.values()))

    def answer(self, http_call: HttpCall, reply: Reply) -> None:
        """Answer an HTTP call to the `control` address."""
        now = self.clock()
        path = http_call.path.partition("?")[0]
        if http_call.method == "GET" and path == CORE:
            reply(HTTPStatus.OK, JSON, json.dumps(status_report.core(self.raft, now)).encode())
            return
        if http_call.method == "GET" and path == LEASES:
            reply(HTTPStatus.OK, JSON, json.dumps(status_report.leases(self.membership, now)).encode())
            return
        leader = {"leader": self.raft.leader, "quorate": self.membership.log.quorate(now)}
        if not self.fleet_monitor.answer(now, http_call, reply, leader, self.owner_report):
            self.control.answer(now, http_call, reply)

    def tick(self, now: float) -> None:
        """Advance all state machines."""
        self.handle_consensus(consensus_events.Tick())
        self.publish_core(now)
        self.control.proceed(now)
        self.handle_membership(membership_events.Tick())
        raft = self.raft
        self.publish_leadership(now)
        if raft.leader_role is not None:
            self.handle_shard_assigner(quota_events.Tick())
            if raft.has_leader_lease(now):
                self.publish_ingresses(now)
        self.fleet_monitor.tick(now, self.membership.log.quorate(now), self.windows_in_force)
        self.handle_shard_owner(quota_events.SetLeader(raft.leader))
        self.handle_shard_owner(quota_events.Tick())
        self.owner_report.tick(now)

    def windows_in_force(self) -> dict[str, Window]:
        """The rate limit windows used by the shard owner, by tenant label."""
        return dict(self.shard_owner.windows.values())

    def publish_leadership(self, now: float) -> None:
        """Inform the shard assigner whether this process is the leader, and which controllers are live."""
        raft = self.raft
        leader_role = raft.leader_role
        term = raft.term if leader_role is not None else 0
        since = raft.leaderless_since if leader_role is not None else None
        change = quota_events.LeadershipChange(term, raft.has_leader_lease(now), since)
        self.handle_shard_assigner(change)
        if leader_role is not None:
            peers = leader_role.peers.values()
            live = [peer.address for peer in peers if now - peer.last_contact_at < PEER_ALIVE_S]
            members = [member.address for member in raft.members]
            self.handle_shard_assigner(quota_events.LiveControllers((self.me, *live), members))

    def publish_ingresses(self, now: float) -> None:
        """Publish the list of proxies when it changes, and in each term; at most every 0.5 s."""
        found = PublishedIngresses(self.raft.term, self.membership.log.ingresses(now))
        is_due = now >= self.ingresses_published_at + PUBLISH_INTERVAL_S
        if not found.ingresses or found == self.published_ingresses or not is_due:
            return
        self.published_ingresses = found
        self.ingresses_published_at = now
        self.ingresses_number += 1
        fencing_token = FencingToken(found.term, self.ingresses_number)
        data = membership_codec.encode_ingresses(found.ingresses)
        self.handle_membership(membership_events.Publish(ValueKind.INGRESSES, fencing_token, data))

    def publish_core(self, now: float) -> None:
        """Publish changes of the core's members and of the leader to the other planes."""
        raft = self.raft
        committed = raft.committed_entry
        until = raft.quorum_contact_until()
        quorate = now < until
        self.handle_membership(membership_events.SetQuorumContact(until))
        voters = raft.members if committed is None else committed.members
        members = tuple(member.address for member in voters)
        position = None if committed is None else committed.position
        core = PublishedCore(members, position, raft.leader, quorate)
        if core == self.published_core or not members:
            return
        # Also directly after a start from disk, because heartbeats need no election.
        self.published_core = core
        self.handle_membership(membership_events.SetCore(members))
        if committed is not None and raft.leader_role is not None and quorate:
            data = membership_codec.encode_members(members, self.me)
            fencing_token = FencingToken(committed.position.term, committed.position.log_index)
            self.handle_membership(membership_events.Publish(ValueKind.CORE, fencing_token, data))
        log.info("core members %s, leader %s, quorate %s", members, raft.leader, quorate)
