"""Transfer of values that are too large for a log: which sources have them, and which to ask."""

from __future__ import annotations

from gateway.membership import membership_pb2 as pb
from gateway.membership import wire
from gateway.membership.messages import FencingToken, Update
from gateway.membership.wire import ValueRecord
from gateway.state_machine import Address, Send

OTHER_ZONE_DELAY_S = 0.1  # before a source in another zone is asked; one in this zone may have it by then
FETCH_RETRY_S = 0.5  # until another source is asked if no value has come
MAX_SOURCES = 16


class _PendingFetch:
    __slots__ = ("fencing_token", "sources", "asked", "asked_at")

    def __init__(self, fencing_token: FencingToken) -> None:
        self.fencing_token = fencing_token
        self.sources: dict[Address, float] = {}  # by address, the time from which each may be asked
        self.asked: Address = ""
        self.asked_at = -1e9


class ValueFetcher:
    """Requests the newest value of each kind from one source at a time, those in this zone first."""

    def __init__(self) -> None:
        self.newest_fetched: dict[int, FencingToken] = {}
        self.pending_fetches: dict[int, _PendingFetch] = {}

    def newer(self, kind: int, fencing_token: FencingToken) -> bool:
        """Whether a value with this token is newer than the one that is held."""
        return fencing_token > self.newest_fetched.get(kind, (-1, -1))

    def set_target(self, kind: int, fencing_token: FencingToken, again: bool) -> None:
        """Stop fetching a value newer than this one, as no source may have it; with `again`, fetch this one
        even if it is held."""
        if kind in self.pending_fetches and self.pending_fetches[kind].fencing_token > fencing_token:
            del self.pending_fetches[kind]
        if again:
            self.newest_fetched.pop(kind, None)

    def add_source(
        self, now: float, kind: int, fencing_token: FencingToken, source: Address, wait: float
    ) -> list[Send]:
        """Note that a source has this value and may be asked in `wait` seconds. Returns requests due now."""
        if not self.newer(kind, fencing_token):
            return []
        pending = self.pending_fetches.get(kind)
        if pending is None or fencing_token > pending.fencing_token:
            pending = self.pending_fetches[kind] = _PendingFetch(fencing_token)
        if fencing_token == pending.fencing_token and len(pending.sources) < MAX_SOURCES:
            pending.sources.setdefault(source, now + wait)
        return self._ask(now, kind, pending)

    def tick(self, now: float) -> list[Send]:
        """Send the requests, and repeated ones, that are due."""
        return [
            send for kind, pending in self.pending_fetches.items() for send in self._ask(now, kind, pending)
        ]

    def _ask(self, now: float, kind: int, pending: _PendingFetch) -> list[Send]:
        if now - pending.asked_at < FETCH_RETRY_S:
            return []
        ready = [(at, source) for source, at in pending.sources.items() if at <= now]
        if not ready:
            return []
        source = min(ready)[1]
        pending.sources[source] += 2 * FETCH_RETRY_S + (
            now - pending.sources[source]
        )  # the other sources are asked first
        pending.asked = source
        pending.asked_at = now
        return [self.ask(kind, pending.fencing_token, source)]

    def ask(self, kind: int, fencing_token: FencingToken, source: Address) -> Send:
        """The request to a source for this value or a newer one."""
        note = pb.Message()
        note.ask.kind = kind
        note.ask.term, note.ask.number = fencing_token
        return Send(source, note)

    def accept(self, kind: int, fencing_token: FencingToken, data: bytes, digest: bytes) -> list[Update]:
        """Take a value; returns it as an update if it is newer than the one that is held."""
        if not self.newer(kind, fencing_token):
            return []
        self.newest_fetched[kind] = fencing_token
        pending = self.pending_fetches.get(kind)
        if pending is not None and pending.fencing_token <= fencing_token:
            del self.pending_fetches[kind]
        return [Update(kind, fencing_token, data, digest)]

    def value(self, value: pb.Value) -> list[Update]:
        """Take a value that a source has sent; one that can't be decompressed is ignored."""
        fencing_token = (value.term, value.number)
        data = wire.value_data(value) if self.newer(value.kind, fencing_token) else None
        return [] if data is None else self.accept(value.kind, fencing_token, data, value.digest)


class ValueStore:
    """The newest value of each kind, for processes that request it."""

    def __init__(self) -> None:
        self.newest_by_kind: dict[int, ValueRecord] = {}
        self.notes: dict[int, pb.Message] = {}  # encoded values by kind, made at the first request

    def put(self, value_record: ValueRecord) -> bool:
        """Keep this value if it is newer than the stored one; returns whether it is."""
        known = self.newest_by_kind.get(value_record.kind)
        if known is not None and known.fencing_token >= value_record.fencing_token:
            return False
        self.newest_by_kind[value_record.kind] = value_record
        self.notes.pop(value_record.kind, None)
        return True

    def asked(self, sender: Address, ask: pb.ValueRequest) -> list[Send]:
        """Answer a request, if the stored value is at least as new as the one asked for."""
        value_record = self.newest_by_kind.get(ask.kind)
        if value_record is None or value_record.fencing_token < (ask.term, ask.number):
            return []
        if ask.kind not in self.notes:
            self.notes[ask.kind] = wire.value_note(value_record)
        return [Send(sender, self.notes[ask.kind])]
