"""A proxy's state machines and its ingress, connected to each other, without sockets or a clock."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Protocol, assert_never

from google.protobuf.message import Message

from gateway.config.changes import ConfigState
from gateway.config.digest import ExpectedDigests
from gateway.config.document import Document
from gateway.config.errors import MalformedStateError
from gateway.config.routing import CompiledConfig
from gateway.config.schema import Difference
from gateway.drift.quota_windows import Windows, expected_windows, quota_differences
from gateway.membership import events as membership_events
from gateway.membership import outputs as membership_outputs
from gateway.membership.codec import decode_ingresses
from gateway.membership.log_follower import ConfirmedConfig
from gateway.membership.membership_pb2 import Message as MembershipMessage
from gateway.membership.proxy import ProxyMembership
from gateway.membership.types import Backend, ValueKind
from gateway.programs import startup
from gateway.programs.drift_monitor import DriftMonitor
from gateway.programs.quota_report import ClientReport
from gateway.programs.startup import MEMBERSHIP, QUOTA
from gateway.proxy import service as services
from gateway.proxy.decisions import Decisions
from gateway.proxy.ingress import ProxyIngress
from gateway.proxy.retry_budget import RetryBudget
from gateway.quota import events as quota_events
from gateway.quota.quota_client import QuotaClient
from gateway.quota.quota_pb2 import Message as QuotaMessage
from gateway.runtime import config_events
from gateway.runtime.settings import Settings
from gateway.state_machine import Address, Send
from ingress import interface as io
from ingress.net.connection_interfaces import Limits
from ingress.net.http_messages import read_address
from ingress.net.upstream import Upstream

CONNECT_TIMEOUT_S = 0.3  # timeout for a connection to a backend
# Interval of checks whether the shard owners have confirmed that the quota client is leaving.
LEAVE_POLL_S = 0.02
ASSUMED_INGRESSES = 12  # number of proxies that is assumed until the leader publishes it

log = logging.getLogger("gateway.proxy")


class Driver(Protocol):
    """Carries out the outputs of the state machines."""

    def send(self, to: Address, plane: int, message: Message) -> None:
        """Send a message of a plane to another process, or drop it."""

    def limit(self, limits: Limits) -> None:
        """Apply these limits to clients from now on."""

    def limits(self) -> Limits:
        """The limits on clients in force."""


class ProxyNode:
    """The state machines of one proxy: membership, quota client, drift detection, and the ingress.

    Only the timers and the time of `loop` are used. `clock` returns monotonic seconds.
    """

    def __init__(
        self,
        driver: Driver,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        settings: Settings,
        upstream: Upstream,
        rng: random.Random,
    ) -> None:
        self.driver = driver
        self.loop = loop
        self.clock = clock
        bounds = settings.terms.bounds
        self.me = settings.own_address("proxy")
        seeds = [settings.controller_at(s) for s in settings.network.seeds]
        self.zone = startup.zone_number(settings)
        self.membership = ProxyMembership(self.me, self.zone, seeds, rng)
        self.quota_client = QuotaClient(bounds.quota_window_s, rng)
        terms = services.settings(ASSUMED_INGRESSES, CONNECT_TIMEOUT_S, settings.own.zone)

        def budget(ingresses: int) -> RetryBudget:
            """Create the retry budget of a service."""
            return RetryBudget(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s, ingresses)

        decisions = Decisions(self.quota_client, terms, budget, rng)
        self.ingress = ProxyIngress(loop, terms, decisions, upstream, self.send_quota_message, clock)
        self.config_state = ConfigState()
        self.compiled_config: CompiledConfig | None = None
        self.expected: ExpectedDigests | None = None
        self.version = 0
        self.quota_windows: Windows = {}
        self.drift_monitor = DriftMonitor(self.me, self, bounds)
        self.client_report = ClientReport(self.me, self.quota_client)
        self.ingress.inspect = self.drift_monitor.request
        self.leaving = False
        self.quota_timer: asyncio.TimerHandle | None = None
        self.quota_timer_at = 0.0

    # Messages of other processes.

    def on_membership_message(self, sender: Address, message: MembershipMessage) -> None:
        """Handle a message of the membership plane."""
        self.handle_membership(membership_events.Received(sender, message))

    def on_quota_message(self, sender: Address, message: QuotaMessage) -> None:
        """Handle a message of the quota plane."""
        self.handle_quota(quota_events.Received(sender, message))

    def send_quota_message(self, send: Send) -> None:
        """Send an output of the quota client."""
        self.driver.send(send.to, QUOTA, send.message)
        self.arm_quota_timer()

    def handle_quota(self, event: quota_events.ClientEvent) -> None:
        """Pass an event to the quota client through the ingress."""
        self.ingress.handle_quota(event)
        self.arm_quota_timer()

    async def leave_quota(self) -> None:
        """Return the quota shares after all requests have finished; waits for confirmation, up to a limit."""
        self.handle_quota(quota_events.Leave())
        while not self.quota_client.has_left:
            await asyncio.sleep(LEAVE_POLL_S)

    def arm_quota_timer(self) -> None:
        """Set the timer for the next tick of the quota client."""
        due = self.quota_client.due()
        if self.quota_timer is not None:
            if self.quota_timer_at <= due:
                return
            self.quota_timer.cancel()
        # Stored, because uvloop returns a handle without a time for a timer that is due immediately.
        self.quota_timer_at = due
        self.quota_timer = self.loop.call_at(due, self.on_quota_timer)

    def on_quota_timer(self) -> None:
        """Handle the timer of the quota client."""
        self.quota_timer = None
        self.handle_quota(quota_events.Tick())

    def handle_membership(self, event: membership_events.ProxyEvent) -> None:
        """Pass an event to the membership plane, and carry out its outputs."""
        for output in self.membership.handle(self.clock(), event):
            match output:
                case Send(to, message):
                    self.driver.send(to, MEMBERSHIP, message)
                case membership_outputs.BackendAdded(backend) | membership_outputs.BackendChanged(backend):
                    self.on_backend(backend)
                case membership_outputs.BackendRemoved(backend_id):
                    self.ingress.backend(backend_id, "", ("", 0), io.Phase.DELETED, 0.0)
                case membership_outputs.ValueUpdated():
                    self.on_value(output)
                case membership_outputs.ConfigAdvertised():
                    self.drift_monitor.on_config_advertised(output)
                case membership_outputs.CoreMembers():  # handled by the membership plane itself
                    pass
                case _:
                    assert_never(output)
        if isinstance(event, membership_events.Tick):
            self.drift_monitor.tick()
            self.client_report.tick(self.clock())

    def on_backend(self, backend: Backend) -> None:
        """Handle an added or changed backend."""
        try:
            address = read_address(backend.address)
        except ValueError:
            log.warning("backend %s: invalid address %r", backend.id, backend.address)
            return
        phase = io.Phase.STOPPING if backend.draining else io.Phase.RUNNING
        slow_start_left_s = max(0.0, backend.slow_start_until - self.clock())
        self.ingress.backend(
            backend.id,
            backend.service,
            address,
            phase,
            slow_start_left_s,
            backend.capacity,
            backend.zone,
        )

    def set_seeds(self, addresses: tuple[Address, ...]) -> None:
        """Apply changed seeds from the settings."""
        self.handle_membership(membership_events.SetSeeds(addresses))

    def on_value(self, value: membership_outputs.ValueUpdated) -> None:
        """Handle a published value: the list of proxies, the shard map, or a configuration."""
        if value.kind == ValueKind.INGRESSES:
            self.ingress.set_peers(self.me, self.zone, decode_ingresses(value.data))
        elif value.kind == ValueKind.SHARD_MAP:
            self.handle_quota(quota_events.ShardMapReceived(value.data))
        elif value.kind == ValueKind.CONFIG:
            version = value.fencing_token.number
            again = self.drift_monitor.refetching
            if version > self.version or (again and version == self.version):
                self.apply_config(version, value.data, int.from_bytes(value.digest), afresh=again)

    def apply_config(self, version: int, value: bytes, acknowledged: int, afresh: bool = False) -> None:
        """Apply a newer version of the configuration, or rebuild the same one; `afresh` reuses nothing."""
        try:
            config_state = ConfigState.decode(value, None if afresh else self.config_state)
        except MalformedStateError as error:
            log.error("configuration version %d can't be read: %s", version, error)
            self.drift_monitor.config_unreadable(version, str(error))
            return
        if config_state.document is None:
            return
        before = self.version
        self.config_state = config_state
        self.version = version
        compiled_config = self.compiled_config = CompiledConfig(
            config_state.document, None if afresh else self.compiled_config
        )
        self.expected = ExpectedDigests(config_state.document, None if afresh else self.expected)
        self.handle_quota(quota_events.Allowances.of(compiled_config.tenants.values()))
        limits = compiled_config.limits
        self.driver.limit(
            Limits(limits.max_header_bytes, limits.max_body_bytes, limits.header_timeout, limits.idle_timeout)
        )
        self.ingress.compiled_config = compiled_config
        if version > before:
            config_events.config_in_force(self.me, version, compiled_config.generation, first=not before)
        self.quota_windows = expected_windows(config_state.document, self.quota_client.span_s)
        self.drift_monitor.config_applied(
            version, value, acknowledged, config_state.document, self.expected, compiled_config
        )

    # The interface `Node` of the drift monitor.

    def confirmed_config(self, now: float) -> ConfirmedConfig | None:
        """The newest version according to a majority of the core, and when that was confirmed; or None."""
        return self.membership.confirmed_config(now)

    def fetch(self, version: int, source: Address, again: bool) -> None:
        """Fetch a version of the configuration from `source` (empty: the core)."""
        self.handle_membership(membership_events.FetchConfig(version, source, again))

    def rebuild(self, version: int, value: bytes) -> None:
        """Rebuild the compiled configuration from the value of a version."""
        self.apply_config(version, value, self.drift_monitor.drift_detector.acknowledged_digest, afresh=True)

    def report_running_config(self, version: int, digest: int, findings: int, finding: str) -> None:
        """Report the running version and digest, and the findings."""
        self.handle_membership(
            membership_events.ConfigApplied(version, digest.to_bytes(8), findings, finding)
        )

    def limit_differences(self, document: Document) -> list[Difference]:
        """The differences between the limits and rate limit windows in force and the document."""
        limits = document.limits
        running = self.driver.limits()
        found = [
            Difference(f"limits {name}", str(was), str(to))
            for name, was, to in zip(limits._fields, running, limits, strict=False)
            if was != to
        ]
        windows = {label: local_quota.window for label, local_quota in self.quota_client.local_quotas.items()}
        return found + quota_differences(self.quota_windows, windows)

    def ready(self) -> bool:
        """Whether a confirmed configuration is in force, a backend is known, and no shutdown has started."""
        has_config = self.compiled_config is not None and self.drift_monitor.ready
        return has_config and bool(self.ingress.serving) and not self.leaving
