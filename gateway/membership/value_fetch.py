"""News that is too large for a log: who has it, and whom to ask."""

from __future__ import annotations

from gateway.membership import membership_pb2 as pb
from gateway.membership import wire
from gateway.membership.messages import FencingToken, Update
from gateway.membership.wire import ValueRecord
from gateway.state_machine import Address, Send

OTHER_ZONE_DELAY_S = 0.1  # a source in another zone isn't asked before; the one next door may have it by then
FETCH_RETRY_S = 0.5  # without a value another one is asked
MAX_SOURCES = 16


class _PendingFetch:
    __slots__ = ("fencing_token", "sources", "asked", "asked_at")

    def __init__(self, fencing_token: FencingToken) -> None:
        self.fencing_token = fencing_token
        self.sources: dict[Address, float] = {}  # and when each may be asked
        self.asked: Address = ""
        self.asked_at = -1e9


class ValueFetcher:
    """Asks one source at a time for the newest of each kind, near ones first."""

    def __init__(self) -> None:
        self.newest_fetched: dict[int, FencingToken] = {}
        self.pending_fetches: dict[int, _PendingFetch] = {}

    def newer(self, kind: int, fencing_token: FencingToken) -> bool:
        """Whether this would be news."""
        return fencing_token > self.newest_fetched.get(kind, (-1, -1))

    def set_target(self, kind: int, fencing_token: FencingToken, again: bool) -> None:
        """Look for this and nothing beyond it, which nobody may have; `again`: even if it is held."""
        if kind in self.pending_fetches and self.pending_fetches[kind].fencing_token > fencing_token:
            del self.pending_fetches[kind]
        if again:
            self.newest_fetched.pop(kind, None)

    def add_source(
        self, now: float, kind: int, fencing_token: FencingToken, source: Address, wait: float
    ) -> list[Send]:
        """A source has this; it may be asked from `wait` seconds on. Returns whom to ask now."""
        if not self.newer(kind, fencing_token):
            return []
        pending = self.pending_fetches.get(kind)
        if pending is None or fencing_token > pending.fencing_token:
            pending = self.pending_fetches[kind] = _PendingFetch(fencing_token)
        if fencing_token == pending.fencing_token and len(pending.sources) < MAX_SOURCES:
            pending.sources.setdefault(source, now + wait)
        return self._ask(now, kind, pending)

    def tick(self, now: float) -> list[Send]:
        """Ask (again) where it is due."""
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
        )  # the others have their turn first
        pending.asked, pending.asked_at = source, now
        return [self.ask(kind, pending.fencing_token, source)]

    def ask(self, kind: int, fencing_token: FencingToken, source: Address) -> Send:
        """The question for this, or anything newer."""
        note = pb.Message()
        note.ask.kind, (note.ask.term, note.ask.number) = kind, fencing_token
        return Send(source, note)

    def accept(self, kind: int, fencing_token: FencingToken, data: bytes, digest: bytes) -> list[Update]:
        """News itself: to be told if it is newer than what is held."""
        if not self.newer(kind, fencing_token):
            return []
        self.newest_fetched[kind] = fencing_token
        pending = self.pending_fetches.get(kind)
        if pending is not None and pending.fencing_token <= fencing_token:
            del self.pending_fetches[kind]
        return [Update(kind, fencing_token, data, digest)]

    def value(self, value: pb.Value) -> list[Update]:
        """A value that came; one that can't be unpacked is as if it hadn't."""
        fencing_token = (value.term, value.number)
        data = wire.value_data(value) if self.newer(value.kind, fencing_token) else None
        return [] if data is None else self.accept(value.kind, fencing_token, data, value.digest)


class ValueStore:
    """The newest of each kind, for those who ask."""

    def __init__(self) -> None:
        self.newest_by_kind: dict[int, ValueRecord] = {}
        self.notes: dict[int, pb.Message] = {}  # ready to be sent, once somebody has asked

    def put(self, value_record: ValueRecord) -> bool:
        """Keep this if it is newer; whether it is."""
        known = self.newest_by_kind.get(value_record.kind)
        if known is not None and known.fencing_token >= value_record.fencing_token:
            return False
        self.newest_by_kind[value_record.kind] = value_record
        self.notes.pop(value_record.kind, None)
        return True

    def asked(self, sender: Address, ask: pb.ValueRequest) -> list[Send]:
        """Send what is here, if it is as new as what is asked for."""
        value_record = self.newest_by_kind.get(ask.kind)
        if value_record is None or value_record.fencing_token < (ask.term, ask.number):
            return []
        if ask.kind not in self.notes:
            self.notes[ask.kind] = wire.value_note(value_record)
        return [Send(sender, self.notes[ask.kind])]
