"""A change log at its source: only the last change of each key is kept, so memory is bounded."""

from __future__ import annotations

import random
from collections.abc import Collection, Hashable
from math import inf

from gateway.membership import membership_pb2 as pb
from gateway.membership import wire
from gateway.membership.wire import EndRecord, Record, ReleaseRecord
from gateway.state_machine import Address, Send

FOLLOWER_LIVE_S = 1.5  # changes are pushed to followers heard within this time
PUSH_RETRY_S = 0.25  # a push that isn't confirmed by then is repeated
PUSH_INTERVAL_S = 0.02  # between two pushes to one controller; changes in between go with the next tick
INGRESS_PUSH_INTERVAL_S = (
    0.1  # the same for an ingress: there are many, and no acknowledgement waits for them
)
FOLLOWER_FORGET_S = 30.0  # of silence, after which a follower is forgotten
EXPIRING_RECORDS = (EndRecord, ReleaseRecord)  # removed from the log when their time is over
MAX_FOLLOWERS = 4096


class _FollowerState:
    __slots__ = ("heard", "position", "sent", "sent_at", "zone")

    def __init__(self) -> None:
        # -1: needs a snapshot
        self.heard = 0.0
        self.position = -1
        self.sent = 0
        self.sent_at = -1e9
        self.zone = -1  # of an ingress; -1: the follower is none


class ChangeLog:
    """Numbered changes by key, which followers read from a position on. A follower that has another log (by
    its random `id`), or that is behind the number of an expired record (`floor`), gets a snapshot."""

    def __init__(self, rng: random.Random, zone: int = 0, max_followers: int = MAX_FOLLOWERS) -> None:
        self.id = rng.randrange(1, 1 << 32)
        self.zone = zone
        self.max_followers = max_followers
        self.position = 0
        self.quorate_until = inf  # a lease: it ends without notice, also while this process is paused
        self.lost: Collection[int] = ()  # hashes of the addresses of sources that are silent to this process
        self.items: dict[Hashable, tuple[int, Record]] = {}  # in the order of their numbers
        self.floor = 0  # changes up to here may have expired
        self.followers: dict[Address, _FollowerState] = {}
        self._answers: dict[int, pb.Message] = {}  # by position, those made at `_answers_at`
        self._answers_at = -1.0

    def quorate(self, now: float) -> bool:
        """Whether this process is in contact with a majority of the core."""
        return now < self.quorate_until

    def put(self, key: Hashable, record: Record) -> int:
        """Append a change, which replaces the last one of its key; it is sent with the next `push`. Returns
        its number."""
        self.items.pop(key, None)
        self.position += 1
        self.items[key] = (self.position, record)
        self._answers_at = -1.0
        return self.position

    def get(self, key: Hashable) -> Record | None:
        """The last change of a key."""
        item = self.items.get(key)
        return item[1] if item else None

    def number(self, key: Hashable) -> int:
        """The number of a key's last change; 0 if there is none."""
        item = self.items.get(key)
        return item[0] if item else 0

    def confirmed(self, number: int, members: Collection[Address]) -> int:
        """How many of these members have confirmed the log up to this number."""
        return sum(1 for m in members if (f := self.followers.get(m)) is not None and f.position >= number)

    def followed(self, now: float, sender: Address, follow: pb.Follow) -> list[Send]:
        """A follower says up to which position it has this log: answer with what it lacks."""
        f = self.followers.get(sender)
        if f is None:
            if len(self.followers) >= self.max_followers:
                return []
            f = self.followers[sender] = _FollowerState()
        f.heard = now
        if follow.zone:
            f.zone = follow.zone - 1
        known = follow.log == self.id and self.floor <= follow.position <= self.position
        f.position = follow.position if known else -1
        if f.position == self.position and follow.quiet:
            return []
        return [self._send(now, sender, f)]

    def ingresses(self, now: float) -> list[tuple[int, Address]]:
        """The zone number and address of each ingress that follows this log, sorted."""
        live = (
            (f.zone, a) for a, f in self.followers.items() if f.zone >= 0 and now - f.heard < FOLLOWER_LIVE_S
        )
        return sorted(live)

    def push(self, now: float) -> list[Send]:
        """Send new changes, and unconfirmed ones again, to all live followers."""
        out = []
        for address, f in self.followers.items():
            if not self.floor <= f.position < self.position or now - f.heard >= FOLLOWER_LIVE_S:
                continue  # it lacks nothing, or gets a snapshot with the answer to its next heartbeat
            interval = INGRESS_PUSH_INTERVAL_S if f.zone >= 0 else PUSH_INTERVAL_S
            if now - f.sent_at >= (interval if f.sent < self.position else PUSH_RETRY_S):
                out.append(self._send(now, address, f))
        return out

    def tick(self, now: float) -> list[Send]:
        """Push what is due, and forget expired records and silent followers."""
        for key in [
            k for k, (_, r) in self.items.items() if isinstance(r, EXPIRING_RECORDS) and r.until <= now
        ]:
            self.floor = max(self.floor, self.items.pop(key)[0])
        for address in [a for a, f in self.followers.items() if now - f.heard > FOLLOWER_FORGET_S]:
            del self.followers[address]
        return self.push(now)

    def _send(self, now: float, to: Address, f: _FollowerState) -> Send:
        f.sent = self.position
        f.sent_at = now
        if now != self._answers_at:
            self._answers = {}
            self._answers_at = now
        note = self._answers.get(f.position)
        if note is None:
            note = self._answers[f.position] = self._answer(now, f.position)
        return Send(to, note)

    def _answer(self, now: float, position: int) -> pb.Message:
        note = pb.Message()
        answer = note.answer
        answer.log = self.id
        answer.position = self.position
        answer.quorate = self.quorate(now)
        answer.lost.extend(self.lost)
        if position < 0:
            answer.snapshot = True
            answer.zone = self.zone + 1
            wire.fill_answer(
                answer, now, (r for _, r in self.items.values() if not isinstance(r, ReleaseRecord))
            )
        elif position < self.position:
            answer.base = position
            wire.fill_answer(answer, now, self._since(position))
        return note

    def _since(self, position: int) -> list[Record]:
        found = []
        for number, record in reversed(self.items.values()):
            if number <= position:
                break
            found.append(record)
        return found[::-1]
