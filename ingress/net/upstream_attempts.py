"""Attempts at backends and health checks, as the decision module orders them."""

from __future__ import annotations

import logging
from functools import partial

from ingress import interface as io
from ingress.net.exchange import Exchange
from ingress.net.http_messages import Response
from ingress.net.pending_request import PendingRequest, ResponseRelay
from ingress.net.pending_requests import PendingRequests
from ingress.net.service_protocol import read_number

log = logging.getLogger(__name__)


class UpstreamAttempts(PendingRequests):
    """Sends pending requests to backends."""

    def open_to(self, backend: str) -> bool:
        """Whether new requests may be sent to a backend."""
        raise NotImplementedError

    def drop(self, exchange: Exchange) -> None:
        """Cancel an attempt."""
        self.upstream.cancel(exchange)

    def attempt(self, action: io.Attempt) -> None:
        """Send a request to a backend.

        An attempt that isn't allowed (the request is answered, or has one in flight) is logged and reported
        as not sent.
        """
        pending = self.pending.get(action.request)
        now = self.loop.time()
        if pending is None or pending.answered or pending.exchange is not None:
            log.error("request %s: an attempt that is not allowed was not sent", action.request)
            number = pending.attempts if pending is not None else 0
            done = pending is None or pending.answered
            self.submit(
                io.AttemptEnded(action.request, number, action.backend, io.Outcome.NOT_SENT, 0.0, done)
            )
            return
        number = pending.attempts
        pending.attempts = pending.attempts + 1
        pending.attempt_history.append((now, action.backend))

        upload = pending.call.upload
        passing = ResponseRelay(self, pending, number)

        def message() -> bytes:
            self.statistics.totals["upstream_requests"] += upload is None
            left = min(pending.deadline - self.loop.time(), pending.call.request.expires_in)
            return self.message(pending.call, action.backend, max(0.001, left))

        def may_send() -> bool:
            return not pending.answered and self.open_to(action.backend)

        def ended(exchange: Exchange, outcome: io.Outcome, answer: Response | None) -> None:
            self.ended(passing, exchange, outcome, answer)

        ends = self.ends._replace(bodiless=True) if pending.call.bodiless else self.ends
        exchange = pending.exchange = Exchange(
            action.backend,
            message,
            may_send,
            ended,
            passing,
            upload,
            partial(self.outcome, pending.call),
            ends,
            self.label,
            self.streams,
        )
        exchange.should_wait = partial(self.waits_for_silent_backend, pending)
        left = pending.deadline - now
        self.upstream.send(exchange, left if action.timeout is None else min(left, action.timeout))

    def waits_for_silent_backend(self, pending: PendingRequest) -> bool:
        """Whether to wait for the rest of a response that has stalled."""
        return False

    def ended(
        self, passing: ResponseRelay, exchange: Exchange, outcome: io.Outcome, answer: Response | None
    ) -> None:
        """Handle the end of an attempt. A success is the final response; else the decision module decides."""
        pending = passing.pending
        pending.exchange = None
        pending.attempt_history.append((self.loop.time(), outcome.value))
        self.statistics.counts[f"attempt {outcome.value}"] += 1
        pending.may_have_run |= exchange.may_have_run and outcome not in io.NEVER_RAN
        pending.last = answer
        units = 0.0
        if answer is not None and outcome is io.Outcome.OK:
            units = read_number(answer.headers.get(b"x-cost-units", b""))
            if units > self.settings.max_units:  # invalid, as no request may cost more
                units = 0.0
            if not pending.streaming_since:
                length = b"" if answer.length is None else b"Content-Length: %d\r\n" % answer.length
                self.answer(pending, answer.status, self.lines(answer) + length, answer.body)
        if pending.streaming_since:
            self.passed(pending, outcome)
        upload = pending.call.upload
        self.submit(
            io.AttemptEnded(
                pending.call.request.id,
                passing.number,
                exchange.backend,
                outcome,
                self.loop.time() - passing.sent,
                pending.answered,
                true_units=units,
                spent=upload is not None and upload.spent,
                load=self.load(answer) if self.settings.load_in_answers else {},
            )
        )
        self.forget(pending)

    def passed(self, pending: PendingRequest, outcome: io.Outcome) -> None:
        """End a streamed response. If it is incomplete, the client sees its connection aborted."""
        self.record_outcome(pending, "200" if outcome is io.Outcome.OK else "broken")
        if outcome is io.Outcome.OK:
            pending.client.finish()
        else:
            pending.client.break_off()

    def check_health(self, backend: str) -> None:
        """Request a backend's load. The response may be a 503."""
        began = self.loop.time()

        def ended(exchange: Exchange, outcome: io.Outcome, answer: Response | None) -> None:
            self.submit(io.HealthCheckEnded(backend, outcome, self.loop.time() - began, self.load(answer)))

        self.upstream.send(
            Exchange(
                backend,
                lambda: b"GET /load HTTP/1.1\r\nHost: backend.local\r\n\r\n",
                lambda: self.open_to(backend),
                ended,
            ),
            self.settings.connect_timeout,
        )
