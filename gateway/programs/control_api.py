"""HTTP calls to the `control` address: configuration calls of operators, and heartbeats of backends.

A configuration call is a `GET`, `PUT` or `PATCH` of the configuration (an order, in operators' terms). Only a
leader with its lease decides on one; other controllers redirect it. Heartbeats are passed to the membership
plane, which answers through `acknowledge_call` or `reject_call`.
"""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple, Protocol

from gateway.config.changes import ConfigState, decide
from gateway.consensus.outputs import ProposalOutcome
from gateway.membership.events import Deregistration, Heartbeat
from gateway.membership.types import CallToken
from gateway.programs.paths import BACKENDS, CONFIG
from gateway.runtime import config_events
from gateway.runtime.address import host_port
from gateway.runtime.http_call import JSON, HttpCall, Reply
from gateway.state_machine import LONG_AGO, Address

CALL_TIMEOUT_S = 0.7  # how long a call waits for a leader, for its base version, or for another attempt
# Calls don't wait after this time without a leader, which is longer than an election.
NO_LEADER_TIMEOUT_S = 1.5
PROPOSAL_TIMEOUT_S = 10.0  # after this time, the result of a proposal counts as unknown
MAX_PENDING_CALLS = 64  # queued and postponed
MAX_BATCH_BYTES = 128 * 1024  # changes decided without a break, so that heartbeats aren't delayed
MAX_NAME_LENGTH = 200  # maximum characters of a name in a heartbeat
MAX_SLOW_START_S = 3600.0
MAX_CAPACITY = 1 << 31
MAX_SEQUENCE = 1 << 63
INVALID_HEARTBEAT = b"no beat: an object with target, address, zone, phase and call-seq"


class ConsensusCore(Protocol):
    """The parts of the consensus plane that `ControlApi` uses."""

    def leads(self, now: float) -> bool:
        """Whether this process is the leader and has its lease."""

    def leader_control(self) -> Address | None:
        """The `control` address of the leader, if the leader is another process; otherwise None."""

    def member_control(self) -> Address | None:
        """The `control` address of a member of the core, if this process is not a member and knows one."""

    def propose(self, token: int, value: bytes, expected_version: int) -> None:
        """Propose a value to replace version `expected_version`.

        `on_proposal_outcome` is called with the result.
        """

    def config_in_force(self) -> tuple[int, ConfigState]:
        """The version and the state in force."""


class ConfigCall(NamedTuple):
    """A configuration call, and the time at which it was received."""

    http_call: HttpCall
    reply: Reply
    received_at: float


class InFlightChange(NamedTuple):
    """The change that is being committed: its token, its answer, and the resulting state and value."""

    token: int
    call: ConfigCall
    body: bytes
    config_state: ConfigState
    value: bytes
    proposed_at: float


class ControlApi:
    """Answers the calls; at most one change is in flight.

    Args:
        core: The consensus plane.
        membership: Handles heartbeats and deregistrations of backends.
    """

    def __init__(self, core: ConsensusCore, membership: Callable[[Heartbeat | Deregistration], None]) -> None:
        self.core = core
        self.membership = membership
        self.queue: deque[ConfigCall] = deque()
        self.postponed: list[ConfigCall] = []  # changes whose base version isn't in force yet
        self.postponed_at_version = 0  # the version in force when they were postponed
        self.in_flight: InFlightChange | None = None
        self.token = 0
        # Time of the last rejected proposal; the next one waits for a later `now`.
        self.rejected_at = LONG_AGO
        self.pending_heartbeats: dict[CallToken, Reply] = {}
        self.leader_known_at: float | None = None  # when a leader was last known, here or elsewhere
        self.completed = 0  # acknowledged changes
        self.refused = 0  # changes answered with an error

    def answer(self, now: float, http_call: HttpCall, reply: Reply) -> None:
        """Handle a call, which may be answered later."""
        path = http_call.path.partition("?")[0]
        if path == CONFIG and http_call.method in ("GET", "PUT", "PATCH"):
            self._enqueue(now, ConfigCall(http_call, reply, now))
        elif path.startswith(BACKENDS) and http_call.method in ("PUT", "DELETE"):
            self._on_backend_call(path[len(BACKENDS) :], http_call, reply)
        elif path == CONFIG or path.startswith(BACKENDS):
            reply(HTTPStatus.METHOD_NOT_ALLOWED, b"", b"")
        else:
            reply(HTTPStatus.NOT_FOUND, b"", b"")

    # The operator.

    def _enqueue(self, now: float, call: ConfigCall) -> None:
        """Queue a configuration call; a read under the leader lease is answered immediately."""
        if call.http_call.method == "GET" and self.core.leads(now):
            self._process(now, call)
        elif len(self.queue) + len(self.postponed) >= MAX_PENDING_CALLS:
            call.reply(HTTPStatus.SERVICE_UNAVAILABLE, b"Retry-After: 1\r\n", b"")
        else:
            self.queue.append(call)
            self.proceed(now)

    def proceed(self, now: float) -> None:
        """Handle queued calls in order: decide them if this process is the leader, otherwise redirect them.

        After some time without a leader they get a 503 immediately, because this process may be partitioned.
        """
        knows_leader = self.core.leads(now) or self.core.leader_control() is not None
        if knows_leader or self.leader_known_at is None:
            self.leader_known_at = now
        if self.in_flight is not None and now - self.in_flight.proposed_at > PROPOSAL_TIMEOUT_S:
            self.on_proposal_outcome(now, self.in_flight.token, ProposalOutcome.UNKNOWN)
        if self.postponed:
            self._requeue_postponed(now)
        decided_bytes = 0
        while self.queue and self.in_flight is None and now > self.rejected_at:
            if decided_bytes >= MAX_BATCH_BYTES:
                return
            call = self.queue[0]
            if self.core.leads(now):
                self.queue.popleft()
                decided_bytes += len(call.http_call.body)
                self._process(now, call)
            elif (leader := self.core.leader_control()) is not None:
                self.queue.popleft()
                redirect(leader, call.http_call, call.reply)
            elif now - call.received_at > CALL_TIMEOUT_S or self._has_lost_leader(now):
                self.queue.popleft()
                call.reply(HTTPStatus.SERVICE_UNAVAILABLE, b"Retry-After: 0.5\r\n", b"")
            else:
                return

    def _has_lost_leader(self, now: float) -> bool:
        return self.leader_known_at is not None and now - self.leader_known_at > NO_LEADER_TIMEOUT_S

    def _requeue_postponed(self, now: float) -> None:
        """Queue postponed calls again after a version was committed, or after `CALL_TIMEOUT_S`."""
        version, _ = self.core.config_in_force()
        is_committed = version != self.postponed_at_version or not self.core.leads(now)
        waiting = self.postponed
        self.postponed = []
        for call in waiting:
            is_due = is_committed or now - call.received_at > CALL_TIMEOUT_S
            (self.queue if is_due else self.postponed).append(call)

    def _process(self, now: float, call: ConfigCall) -> None:
        """Answer a read, or decide on a change and propose the result."""
        version, config_state = self.core.config_in_force()
        if call.http_call.method == "GET":
            body = config_state.document_body()
            call.reply(HTTPStatus.OK if body else HTTPStatus.NOT_FOUND, JSON, body)
            return
        decision = decide(config_state, call.http_call.method, call.http_call.body)
        if decision.base_is_ahead and now - call.received_at <= CALL_TIMEOUT_S:
            self.postponed.append(call)
            self.postponed_at_version = version
            return
        if decision.config_state is None:
            self.refused += decision.status != HTTPStatus.OK
            call.reply(decision.status, JSON, decision.body)
            return
        self._propose(now, call, version, decision.body, decision.config_state)

    def _propose(
        self, now: float, call: ConfigCall, version: int, body: bytes, config_state: ConfigState
    ) -> None:
        self.token += 1
        change = InFlightChange(self.token, call, body, config_state, config_state.encode(), now)
        self.in_flight = change
        config_events.change_proposed(version + 1, config_state.generation)
        self.core.propose(change.token, change.value, version)

    def own_value(self, value: bytes) -> ConfigState | None:
        """The state of a committed value if it is that of the change in flight, to avoid decoding it."""
        change = self.in_flight
        return change.config_state if change is not None and change.value == value else None

    def on_proposal_outcome(self, now: float, token: int, outcome: ProposalOutcome) -> None:
        """Handle the result of a proposal."""
        change = self.in_flight
        if change is None or change.token != token:
            return
        self.in_flight = None
        call = change.call
        waited_s = now - call.received_at
        if outcome == ProposalOutcome.COMMITTED:
            self.completed += 1
            call.reply(HTTPStatus.OK, JSON, change.body)
            version, _ = self.core.config_in_force()
            config_events.change_acknowledged(version, change.config_state.generation, waited_s)
        elif outcome == ProposalOutcome.REJECTED and waited_s <= CALL_TIMEOUT_S:
            self.rejected_at = now
            self.queue.appendleft(call)
        else:  # it may be in force or not; a retry will find out
            call.reply(HTTPStatus.SERVICE_UNAVAILABLE, b"Retry-After: 0.2\r\n", b"")
        self.proceed(now)

    # Backends.

    def _on_backend_call(self, name: str, http_call: HttpCall, reply: Reply) -> None:
        """Handle a heartbeat (PUT) or deregistration (DELETE) of a backend.

        A process that is not a member of the core can't acknowledge it, and redirects to a member.
        """
        if (member := self.core.member_control()) is not None:
            redirect(member, http_call, reply)
            return
        self.token += 1
        call: Heartbeat | Deregistration | None
        if http_call.method == "DELETE":
            call = Deregistration(self.token, name)
        else:
            call = read_heartbeat(self.token, name, http_call.body)
        if call is None or not 0 < len(name) <= MAX_NAME_LENGTH:
            reply(HTTPStatus.BAD_REQUEST, b"", INVALID_HEARTBEAT)
            return
        self.pending_heartbeats[self.token] = reply
        self.membership(call)

    def acknowledge_call(self, token: CallToken, target: Address = "") -> None:
        """Answer a backend's call that was accepted by the membership plane.

        `target` is the `control` address for the backend's next heartbeats ("": any).
        """
        reply = self.pending_heartbeats.pop(token, None)
        if reply is not None:
            answer = {"beat-target": target} if target else {}
            reply(HTTPStatus.OK, JSON, json.dumps(answer).encode())

    def reject_call(self, token: CallToken) -> None:
        """Reject a backend's call that the membership plane can't acknowledge."""
        reply = self.pending_heartbeats.pop(token, None)
        if reply is not None:
            reply(HTTPStatus.SERVICE_UNAVAILABLE, b"", b"")


def redirect(to: Address, http_call: HttpCall, reply: Reply) -> None:
    """Redirect a caller with the same call to another process (307)."""
    reply(
        HTTPStatus.TEMPORARY_REDIRECT,
        b"Location: http://%s%s\r\n" % (to.encode(), http_call.path.encode("latin-1")),
        b"",
    )


def read_heartbeat(token: CallToken, name: str, body: bytes) -> Heartbeat | None:
    """Parse the heartbeat in a call's body; None if it is invalid."""
    try:
        fields = json.loads(body)
        heartbeat = Heartbeat(
            token=token,
            id=name,
            service=str(fields["target"]),
            address=str(fields["address"]),
            zone=str(fields.get("zone", "")),
            generation=str(fields.get("generation", "")),
            capacity=int(fields.get("capacity", 1)),
            draining=fields.get("phase", "standing") == "draining",
            slow_start_left_s=float(fields.get("cold-left-s", 0.0)),
            seq=int(fields.get("call-seq", 0)),
        )
        host_port(heartbeat.address)
    except (ValueError, KeyError, TypeError, AttributeError, OverflowError):
        return None
    return heartbeat if _is_in_range(heartbeat) else None


def _is_in_range(heartbeat: Heartbeat) -> bool:
    names = (heartbeat.service, heartbeat.address, heartbeat.zone, heartbeat.generation)
    return (
        max(map(len, names)) <= MAX_NAME_LENGTH
        and 0 < heartbeat.capacity < MAX_CAPACITY
        and 0 <= heartbeat.seq < MAX_SEQUENCE
        and 0 <= heartbeat.slow_start_left_s < MAX_SLOW_START_S
    )
