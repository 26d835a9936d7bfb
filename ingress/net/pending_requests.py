"""The requests in flight. A request is pending from its arrival to its one final response."""

from __future__ import annotations

import asyncio
import logging
import math

from ingress import interface as io
from ingress.net.http_messages import ClientRequest
from ingress.net.pending_request import Client, PendingRequest
from ingress.net.request_statistics import RequestStatistics
from ingress.net.service_protocol import ServiceProtocol
from ingress.net.upstream import Upstream

log = logging.getLogger(__name__)

MARGIN_S = 0.03  # the response is sent this long before the client's timeout, to arrive in time
MAX_MARGIN_FRACTION = 0.2  # longest margin, as a fraction of the timeout
RETRY_AFTER_DECIMALS = 3  # decimals of Retry-After
# Any other outcome counts as failed.
ENDING_BY_STATUS = {"200": "completed", "late": "completed", "429": "rejected", "503": "rejected"}


class PendingRequests(ServiceProtocol):
    """Accepts requests, and gives each exactly one response in time, whatever the decision module does."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: io.Settings,
        upstream: Upstream,
        load_fields: tuple[str, ...],
    ) -> None:
        super().__init__(settings, load_fields)
        self.loop = loop
        self.upstream = upstream
        self.effects = {c.name: c.effect for c in settings.classes}
        self.groups = {c.name: c.group for c in settings.classes}
        self.objectives = {c.name: c.objective for c in settings.classes}
        self.pending: dict[str, PendingRequest] = {}
        self.statistics = RequestStatistics(loop)

    def submit(self, event: io.Event) -> None:
        """Submit an event to the decision module."""
        raise NotImplementedError

    def take(self, call: ClientRequest, client: Client) -> None:
        """Accept a request, which `client` answers exactly once. A duplicate id is answered with 400."""
        r = call.request
        if r.id in self.pending:  # ids are unique
            client.reply(400, b"", b"")
            return
        left = call.received_at + r.expires_in - self.loop.time()
        left -= min(MARGIN_S, MAX_MARGIN_FRACTION * r.expires_in)
        pending = self.pending[r.id] = PendingRequest(call, client, self.loop.time() + left)
        if call.upload is None or call.upload.complete:
            pending.timer = self.loop.call_at(pending.deadline, self.expire_request, pending)
        else:
            pending.deadline = math.inf  # no deadline before the last byte is received
        self.submit(r._replace(expires_in=max(0.0, left), streams_body=call.upload is not None))

    def upload_received(self, call: ClientRequest) -> None:
        """Start the time limit of a request whose streamed body is complete."""
        pending = self.pending.get(call.request.id)
        if pending is None or pending.call is not call or pending.answered:
            return
        expires_in = call.request.expires_in
        call.received_at = self.loop.time()
        pending.deadline = call.received_at + expires_in - min(MARGIN_S, MAX_MARGIN_FRACTION * expires_in)
        pending.timer = self.loop.call_at(pending.deadline, self.expire_request, pending)

    def abort_request(self, call: ClientRequest, status: int) -> None:
        """Answer with `status`: the rest of a streamed body will not arrive or can't be read."""
        pending = self.pending.get(call.request.id)
        if pending is not None and pending.call is call and not pending.answered:
            self.submit(io.ClientGone(call.request.id))
            self.answer(pending, status)

    def upload_stalled(self, call: ClientRequest) -> None:
        """Time an attempt out: its backend has accepted nothing of a streamed body for too long."""
        pending = self.pending.get(call.request.id)
        if pending is not None and pending.call is call and pending.exchange is not None:
            self.upstream.expire(pending.exchange)

    def gone(self, call: ClientRequest) -> None:
        """Handle a client's disconnect: nothing more is sent for its request.

        An attempt that a backend has completely is waited for, unless `cancels_when_gone` says otherwise; the
        decisions count it as load until then.
        """
        pending = self.pending.get(call.request.id)
        if pending is None or pending.ended:
            return
        self.record_outcome(pending, "gone")
        if pending.streaming_since and pending.exchange is not None:
            self.upstream.cancel(pending.exchange)
            return
        pending.answered = True
        self.submit(io.ClientGone(call.request.id))
        if pending.exchange is not None and not pending.exchange.written:
            self.upstream.cancel(pending.exchange)
        elif pending.exchange is not None and self.cancels_when_gone(pending):
            pending.exchange.give_up(
                io.Outcome.CANCELLED
            )  # a missing response is no evidence against the pool
        self.forget(pending)

    def cancels_when_gone(self, pending: PendingRequest) -> bool:
        """Whether a backend's work on a complete request is cancelled when the client disconnects."""
        return False

    def expire_request(self, pending: PendingRequest) -> None:
        """End the attempt at the request's deadline, and answer if the decision module doesn't."""
        if pending.exchange is not None:
            self.upstream.expire(pending.exchange)
        if not pending.answered:
            name = pending.call.request.id
            log.info("request %s: answered by the watchdog", name)
            self.send_final_response(name, self.may_refuse(pending), 0.0)
            self.submit(io.ClientGone(name))
        self.forget(pending)

    def may_refuse(self, pending: PendingRequest) -> bool:
        """Whether the request may be refused, which tells the client that a retry is harmless.

        If nothing ran, or if retries of the class are harmless anyway.
        """
        name = pending.call.request.class_name
        effect = self.effects[name]
        return (
            not pending.may_have_run
            or effect is io.Effect.SAFE
            or (effect is io.Effect.KEYED and self.groups[name] is io.Group.ALL)
        )

    def send_final_response(self, name: str, refused: bool, wait: float) -> None:
        """Send the final response of the decision module: 502, or if `refused`, 503 or 429.

        429 is for a `wait` in seconds until a quota has room again.
        """
        pending = self.pending.get(name)
        if pending is None:
            return
        if not refused:
            self.answer(pending, 502)
            return
        # A wait above 0 isn't rounded to 0.
        after = max(wait, 10**-RETRY_AFTER_DECIMALS) if wait > 0 else self.settings.max_retry_after
        self.answer(
            pending,
            429 if wait > 0 else 503,
            b"Retry-After: %s\r\n" % f"{after:.{RETRY_AFTER_DECIMALS}f}".encode() if after > 0 else b"",
        )

    def answer(self, pending: PendingRequest, status: int, lines: bytes = b"", body: bytes = b"") -> None:
        """Send the one final response; any further response is dropped."""
        if pending.answered:
            return
        pending.answered = True
        self.record_outcome(pending, str(status))
        pending.client.reply(status, lines, body)
        if pending.exchange is not None and not pending.exchange.written:
            self.upstream.cancel(pending.exchange)
        self.forget(pending)

    def record_outcome(self, pending: PendingRequest, how: str) -> None:
        """Count the end of a request, and log a sample of those that weren't a 200 within the objective."""
        if pending.ended:
            return
        pending.ended = True
        r = pending.call.request
        now = self.loop.time()
        if (
            how == "200"
            and (pending.streaming_since or now) - pending.call.received_at > self.objectives[r.class_name]
        ):
            how = "late"
        self.statistics.counts[f"{r.plan} {how}"] += 1
        self.statistics.totals[f"{ENDING_BY_STATUS.get(how, 'failed')}.{r.class_name}"] += 1
        if how != "200" and self.statistics.bad(now):
            attempt_history = "".join(
                f", +{at - pending.call.received_at:.3f} {what}" for at, what in pending.attempt_history
            )
            log.info(
                "request %s of %d: %s %s %g units: %s after %.3f s%s",
                r.id,
                r.customer,
                r.plan,
                r.class_name,
                r.units,
                how,
                now - pending.call.received_at,
                attempt_history,
            )

    def forget(self, pending: PendingRequest) -> None:
        """Forget a request that is answered and has no attempt in flight."""
        if pending.answered and pending.exchange is None:
            if pending.timer is not None:
                pending.timer.cancel()
            self.pending.pop(pending.call.request.id, None)
