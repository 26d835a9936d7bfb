"""The driver of the decision module. It submits network events and carries out the returned actions."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Mapping
from typing import Protocol

from ingress import interface as io
from ingress.net.counter import Counter
from ingress.net.discovery import Listing
from ingress.net.peers import Peers
from ingress.net.process_state import State
from ingress.net.upstream import Upstream
from ingress.net.upstream_attempts import UpstreamAttempts

log = logging.getLogger(__name__)


class Decisions(Protocol):
    """The interface of the decision module."""

    def handle(self, now: float, event: io.Event) -> list[io.Action]:
        """Handle an event and return the actions to carry out."""

    def members(self, now: float) -> tuple[int, int]:
        """Return the number of known backends, and how many of them are avoided."""


class Ingress(UpstreamAttempts):
    """An ingress. It submits events to the decision module one at a time, in the order of occurrence."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: io.Settings,
        gateway: Decisions,
        upstream: Upstream,
        load_fields: tuple[str, ...] = (),
        state: State | None = None,
    ) -> None:
        super().__init__(loop, settings, upstream, load_fields)
        self.gateway = gateway
        self.counter: Counter | None = None
        self.peers: Peers | None = None
        self.serving: set[str] = set()
        self.cordon_entries: Mapping[
            str, io.CordonEntry
        ] = {}  # backends that operators have cordoned, or uncordoned recently
        self.state = state or State(None)
        self.unavailable_by_cordon = False  # whether the last cordon command failed
        self.sibling_count = 0
        self.sibling_clients = 0  # client connections of the sibling processes
        self.events: deque[io.Event] = deque()
        self.busy = False
        self.clock = 0.0

    # Events.

    def now(self) -> float:
        """Unix time in seconds, which never goes back. All ingresses use it, so that their windows agree."""
        self.clock = max(self.clock, time.time())
        return self.clock

    def submit(self, event: io.Event) -> None:
        """Submit an event to the decision module. It is queued while another event is handled."""
        self.events.append(event)
        if self.busy:
            return
        self.busy = True
        try:
            while self.events:
                self.decide(self.events.popleft())
        finally:
            self.busy = False

    def decide(self, event: io.Event) -> None:
        """Handle an event. An exception ends the request concerned (with 500), not the process."""
        try:
            for action in self.gateway.handle(self.now(), event):
                self.carry_out(action)
        except Exception:
            log.exception("deciding on %r", event)
            name = event.id if isinstance(event, io.Request) else getattr(event, "request", None)
            pending = self.pending.get(name) if isinstance(name, str) else None
            if pending is not None:
                self.answer(pending, 500)
                # The decision module may still track the request.
                self.events.append(io.ClientGone(pending.call.request.id))

    def carry_out(self, action: io.Action) -> None:
        """Carry out an action of the decision module."""
        match action:
            case io.Attempt():
                self.attempt(action)
            case io.Refuse():
                self.send_final_response(action.request, True, action.retry_after_s)
            case io.Fail():
                self.send_final_response(action.request, False, 0.0)
            case io.CancelAttempt():
                self._cancel_attempt(action)
            case io.SetTimer():
                self.loop.call_later(action.delay, self.submit, io.TimerFired(action.token))
            case io.CounterAdd():
                self._call_counter(action)
            case _:
                self._carry_out_maintenance(action)

    def _carry_out_maintenance(self, action: io.Action) -> None:
        """Carry out an action that doesn't belong to a single request.

        `Subscribe` and `FetchList` need nothing, as the watch is always on; nor does `UnknownBackend`.
        """
        match action:
            case io.SendPeerMessage():
                if self.peers is not None:
                    self.peers.tell(action.peer, action.payload)
            case io.HealthCheck():
                self.check_health(action.backend)
            case io.CloseIdle():
                self.upstream.close_idle(action.backend)
            case io.Log():
                log.info("%s", action.text)
            case io.Cordons():
                self.cordon_entries = action.cordon_entries
                self.unavailable_by_cordon = True

    def _cancel_attempt(self, action: io.CancelAttempt) -> None:
        """Cancel an attempt, if it is the latest one of its request."""
        pending = self.pending.get(action.request)
        if pending is None or pending.exchange is None:
            return
        if pending.attempts == action.attempt + 1:
            self.upstream.cancel(pending.exchange)

    def _call_counter(self, action: io.CounterAdd) -> None:
        """Call the shared counter. Without a counter, the call fails."""
        if self.counter is not None:
            self.counter.add(action.name, action.amount, action.lifetime)
        else:
            self.submit(io.CounterReply(action.name, io.Outcome.CONNECT_FAILED, 0.0, 0.0))

    # Console commands.

    def figures(self) -> list[str]:
        """Return totals since the start and current values, one `name=value` line each."""
        members, unavailable = self.gateway.members(self.now())
        figures = {
            f"{ending}.{name}": 0 for ending in ("completed", "rejected", "failed") for name in self.effects
        }
        figures |= {
            "upstream_requests": 0,
            **self.statistics.totals,
            "members": members,
            "members_unavailable": unavailable,
            "pending": sum(not pending.ended for pending in self.pending.values()),
        }
        return [f"{name}={value}" for name, value in figures.items()]

    def cordon(self, backend: str, on: bool) -> bool:
        """Cordon a backend (`on`) or uncordon it; False if the backend is unknown."""

        def order() -> Mapping[str, io.CordonEntry] | None:
            self.unavailable_by_cordon = False
            self.submit(io.Cordon(backend, on))
            return self.cordon_entries if self.unavailable_by_cordon else None

        return self.state.change(self.restore, order)

    def restore(self, cordon_entries: Mapping[str, io.CordonEntry]) -> None:
        """Replace all cordons by these."""
        self.submit(io.Cordons(cordon_entries))

    def follow(self, clients: int = 0) -> None:
        """Adopt the cordons that a sibling process has written, and share the connection limits with it.

        `clients` is the number of this process's client connections.
        """
        if (cordon_entries := self.state.changed_cordons()) is not None:
            self.restore(cordon_entries)
        self.state.publish(clients, len(self.upstream.connections))
        siblings = self.state.siblings()
        self.sibling_clients = sum(n for n, _ in siblings)
        self.upstream.sibling_connections = sum(n for _, n in siblings)
        if len(siblings) != self.sibling_count:
            self.sibling_count = len(siblings)
            self.submit(io.SiblingProcesses(self.sibling_count))

    def open_to(self, backend: str) -> bool:
        """Whether new requests may be sent to a backend."""
        cordon_entry = self.cordon_entries.get(backend)
        return backend in self.serving and (cordon_entry is None or cordon_entry.back > 0)

    # The list of backends.

    def apply_backend_list(self, listing: Listing, saved: bool = False) -> None:
        """Apply a listing, or one `saved` by an earlier process.

        Old connections are closed before the decisions may send anything.
        """
        if listing.is_full:
            for backend in self.upstream.pools.keys() - {e.backend for e, _ in listing.entries}:
                self.upstream.update(backend, None)
            self.serving.clear()
        for entry, endpoint in listing.entries:
            self.upstream.update(entry.backend, endpoint)
            if entry.phase is io.Phase.RUNNING:
                self.serving.add(entry.backend)
            else:
                self.serving.discard(entry.backend)
                self.upstream.close_idle(entry.backend)
        kind = io.ListKind.SAVED if saved else io.ListKind.FULL if listing.is_full else io.ListKind.CHANGE
        self.submit(io.ListUpdate(kind, listing.version, tuple(e for e, _ in listing.entries)))
