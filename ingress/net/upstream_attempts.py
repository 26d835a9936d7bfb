"""Attempts at backends, and probes of them: sent as the decisions order, with their outcomes reported."""

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

    def attempt(self, a: io.Attempt) -> None:
        """Send a request to a backend. An attempt that isn't allowed (the request is answered, or has one in
        flight) is logged and reported as not sent."""
        held = self.held.get(a.request)
        now = self.loop.time()
        if held is None or held.answered or held.exchange is not None:
            log.error("request %s: an attempt that is not allowed was not sent", a.request)
            number = held.attempts if held is not None else 0
            done = held is None or held.answered
            self.submit(io.AttemptEnded(a.request, number, a.backend, io.Outcome.NOT_SENT, 0.0, done))
            return
        number = held.attempts
        held.attempts = held.attempts + 1
        held.attempt_history.append((now, a.backend))

        upload = held.call.upload
        passing = ResponseRelay(self, held, number)

        def message() -> bytes:
            self.statistics.totals["upstream_requests"] += upload is None
            left = min(held.deadline - self.loop.time(), held.call.request.expires_in)
            return self.message(held.call, a.backend, max(0.001, left))

        def may_send() -> bool:
            return not held.answered and self.open_to(a.backend)

        def ended(exchange: Exchange, outcome: io.Outcome, answer: Response | None) -> None:
            self.ended(passing, exchange, outcome, answer)

        ends = self.ends._replace(bodiless=True) if held.call.bodiless else self.ends
        exchange = held.exchange = Exchange(
            a.backend,
            message,
            may_send,
            ended,
            passing,
            upload,
            partial(self.outcome, held.call),
            ends,
            self.label,
            self.streams,
        )
        exchange.waits = partial(self.waits_out_silence, held)
        left = held.deadline - now
        self.upstream.send(exchange, left if a.timeout is None else min(left, a.timeout))

    def waits_out_silence(self, held: PendingRequest) -> bool:
        """Whether to wait on for the rest of a response that has stalled."""
        return False

    def ended(
        self, passing: ResponseRelay, exchange: Exchange, outcome: io.Outcome, answer: Response | None
    ) -> None:
        """An attempt has ended: a success is the final response, on anything else the decisions decide."""
        held = passing.held
        held.exchange = None
        held.attempt_history.append((self.loop.time(), outcome.value))
        self.statistics.counts[f"attempt {outcome.value}"] += 1
        held.may_have_run |= exchange.may_have_run and outcome not in io.NEVER_RAN
        held.last = answer
        units = 0.0
        if answer is not None and outcome is io.Outcome.OK:
            units = read_number(answer.headers.get(b"x-cost-units", b""))
            if units > self.settings.max_units:  # more than any request may cost: invalid
                units = 0.0
            if not held.flowing:
                length = b"" if answer.length is None else b"Content-Length: %d\r\n" % answer.length
                self.answer(held, answer.status, self.lines(answer) + length, answer.body)
        if held.flowing:
            self.passed(held, outcome)
        upload = held.call.upload
        self.submit(
            io.AttemptEnded(
                held.call.request.id,
                passing.number,
                exchange.backend,
                outcome,
                self.loop.time() - passing.sent,
                held.answered,
                true_units=units,
                spent=upload is not None and upload.spent,
                load=self.load(answer) if self.settings.load_in_answers else {},
            )
        )
        self.forget(held)

    def passed(self, held: PendingRequest, outcome: io.Outcome) -> None:
        """A streamed response has ended; if it is incomplete, the client sees its connection aborted."""
        self.record_outcome(held, "200" if outcome is io.Outcome.OK else "broken")
        if outcome is io.Outcome.OK:
            held.client.finish()
        else:
            held.client.break_off()

    def probe(self, backend: str) -> None:
        """Request a backend's load; the response may be a 503."""
        began = self.loop.time()

        def ended(exchange: Exchange, outcome: io.Outcome, answer: Response | None) -> None:
            self.submit(io.ProbeEnded(backend, outcome, self.loop.time() - began, self.load(answer)))

        self.upstream.send(
            Exchange(
                backend,
                lambda: b"GET /load HTTP/1.1\r\nHost: backend.local\r\n\r\n",
                lambda: self.open_to(backend),
                ended,
            ),
            self.settings.connect_timeout,
        )
