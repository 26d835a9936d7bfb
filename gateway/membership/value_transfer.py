"""Transfer of values that are too large for a log: the sources of each value, and requests to them."""

from __future__ import annotations

from gateway.membership import codec
from gateway.membership import membership_pb2 as pb
from gateway.membership.codec import ValueRecord
from gateway.membership.outputs import ValueUpdated
from gateway.state_machine import LONG_AGO, Address, FencingToken, Send

# Delay before a source in another zone is asked, because one in this zone may get the value soon.
OTHER_ZONE_DELAY_S = 0.1
FETCH_RETRY_S = 0.5  # delay before another source is asked if no value has arrived
MAX_SOURCES = 16
OLDEST = FencingToken(-1, -1)


class _PendingFetch:
    __slots__ = ("fencing_token", "requested_at", "sources")

    def __init__(self, fencing_token: FencingToken) -> None:
        self.fencing_token = fencing_token
        self.sources: dict[Address, float] = {}  # by address, the time from which the source may be asked
        self.requested_at = LONG_AGO


class ValueFetcher:
    """Requests the newest value of each kind from one source at a time, preferring sources in this zone."""

    def __init__(self) -> None:
        self.newest_fetched: dict[int, FencingToken] = {}
        self.pending_fetches: dict[int, _PendingFetch] = {}

    def is_newer(self, kind: int, fencing_token: FencingToken) -> bool:
        """Whether a value with this token is newer than the last one received."""
        return fencing_token > self.newest_fetched.get(kind, OLDEST)

    def set_target(self, kind: int, fencing_token: FencingToken, again: bool) -> None:
        """Stop fetching a value newer than this one, because no source may have it.

        With `again`, fetch this value even if it was received before.
        """
        pending = self.pending_fetches.get(kind)
        if pending is not None and pending.fencing_token > fencing_token:
            del self.pending_fetches[kind]
        if again:
            self.newest_fetched.pop(kind, None)

    def add_source(
        self, now: float, kind: int, fencing_token: FencingToken, source: Address, wait_s: float
    ) -> list[Send]:
        """Record that a source has this value and may be asked in `wait_s` seconds.

        Returns:
            Requests that are due immediately.
        """
        if not self.is_newer(kind, fencing_token):
            return []
        pending = self.pending_fetches.get(kind)
        if pending is None or fencing_token > pending.fencing_token:
            pending = _PendingFetch(fencing_token)
            self.pending_fetches[kind] = pending
        if fencing_token == pending.fencing_token and len(pending.sources) < MAX_SOURCES:
            pending.sources.setdefault(source, now + wait_s)
        return self._request_if_due(now, kind, pending)

    def tick(self, now: float) -> list[Send]:
        """Send the requests and retries that are due."""
        return [
            send
            for kind, pending in self.pending_fetches.items()
            for send in self._request_if_due(now, kind, pending)
        ]

    def _request_if_due(self, now: float, kind: int, pending: _PendingFetch) -> list[Send]:
        if now - pending.requested_at < FETCH_RETRY_S:
            return []
        ready = [(at, source) for source, at in pending.sources.items() if at <= now]
        if not ready:
            return []
        source = min(ready)[1]
        # The other sources are asked before this one is asked again.
        pending.sources[source] += 2 * FETCH_RETRY_S + (now - pending.sources[source])
        pending.requested_at = now
        return [self.request(kind, pending.fencing_token, source)]

    def request(self, kind: int, fencing_token: FencingToken, source: Address) -> Send:
        """Build a request to a source for this value or a newer one."""
        message = pb.Message()
        message.value_request.kind = kind
        message.value_request.term, message.value_request.number = fencing_token
        return Send(source, message)

    def accept(
        self, kind: int, fencing_token: FencingToken, data: bytes, digest: bytes
    ) -> list[ValueUpdated]:
        """Accept a value; returns it as an update if it is newer than the last one."""
        if not self.is_newer(kind, fencing_token):
            return []
        self.newest_fetched[kind] = fencing_token
        pending = self.pending_fetches.get(kind)
        if pending is not None and pending.fencing_token <= fencing_token:
            del self.pending_fetches[kind]
        return [ValueUpdated(kind, fencing_token, data, digest)]

    def on_value(self, value: pb.Value) -> list[ValueUpdated]:
        """Accept a value sent by a source; a value that can't be decompressed is ignored."""
        fencing_token = FencingToken(value.term, value.number)
        data = codec.value_data(value) if self.is_newer(value.kind, fencing_token) else None
        return [] if data is None else self.accept(value.kind, fencing_token, data, value.digest)


class ValueStore:
    """The newest value of each kind, for other processes to request."""

    def __init__(self) -> None:
        self.newest_by_kind: dict[int, ValueRecord] = {}
        self.encoded: dict[int, pb.Message] = {}  # encoded at the first request

    def put(self, record: ValueRecord) -> bool:
        """Store a value if it is newer than the stored one; returns whether it is."""
        stored = self.newest_by_kind.get(record.kind)
        if stored is not None and stored.fencing_token >= record.fencing_token:
            return False
        self.newest_by_kind[record.kind] = record
        self.encoded.pop(record.kind, None)
        return True

    def on_request(self, sender: Address, request: pb.ValueRequest) -> list[Send]:
        """Answer a request if the stored value is at least as new as the requested one."""
        kind = request.kind
        record = self.newest_by_kind.get(kind)
        if record is None or record.fencing_token < (request.term, request.number):
            return []
        if kind not in self.encoded:
            self.encoded[kind] = codec.value_message(record)
        return [Send(sender, self.encoded[kind])]
