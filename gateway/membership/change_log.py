"""A log of changes at its source: only the last change of each thing is kept, so memory is bounded."""

from __future__ import annotations

import random
from collections.abc import Collection, Hashable
from math import inf

from gateway.membership import membership_pb2 as pb
from gateway.membership import wire
from gateway.membership.wire import EndRecord, Record, ReleaseRecord
from gateway.state_machine import Address, Send

FOLLOWER_LIVE_S = 1.5  # changes are pushed to those who followed this lately
PUSH_RETRY_S = 0.25  # a push that was not confirmed by then is made again
PUSH_INTERVAL_S = 0.02  # between two pushes to one follower; what comes between goes with the next tick
FOLLOWER_FORGET_S = 30.0  # a follower that is silent
EXPIRING_RECORDS = (EndRecord, ReleaseRecord)  # what is forgotten after a while
MAX_FOLLOWERS = 4096


class _FollowerState:
    __slots__ = ("heard", "position", "sent", "sent_at", "zone")

    def __init__(self) -> None:
        self.heard, self.position = 0.0, -1  # -1: needs a snapshot
        self.sent, self.sent_at = 0, -1e9
        self.zone = -1  # of an ingress


class ChangeLog:
    """Numbered changes by key, followed from a place on. A follower that has another log, or that is behind
    the end of something that is forgotten by now, gets a snapshot."""

    def __init__(self, rng: random.Random, zone: int = 0, max_followers: int = MAX_FOLLOWERS) -> None:
        self.id = rng.randrange(1, 1 << 32)
        self.zone, self.max_followers = zone, max_followers
        self.position = 0
        self.quorate_until = inf  # a lease: a process that stood still past it isn't, without being told
        self.lost: Collection[int] = ()
        self.items: dict[Hashable, tuple[int, Record]] = {}  # in the order of their numbers
        self.floor = 0  # changes up to here may be forgotten ones
        self.followers: dict[Address, _FollowerState] = {}
        self._answers: dict[int, pb.Message] = {}  # pushes of one moment to followers at one place
        self._answers_at = -1.0

    def quorate(self, now: float) -> bool:
        """Whether this process is in touch with a majority of the core."""
        return now < self.quorate_until

    def put(self, key: Hashable, record: Record) -> int:
        """Note a change; it goes out with the next `push`. Returns its number."""
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
        """How many of these have the log up to this number."""
        return sum(1 for m in members if (f := self.followers.get(m)) is not None and f.position >= number)

    def followed(self, now: float, sender: Address, follow: pb.Follow) -> list[Send]:
        """Somebody says how far it has this log: answer with what it lacks."""
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
        """Zone and address of each ingress that follows, in that order."""
        live = (
            (f.zone, a) for a, f in self.followers.items() if f.zone >= 0 and now - f.heard < FOLLOWER_LIVE_S
        )
        return sorted(live)

    def push(self, now: float) -> list[Send]:
        """Send what is new, or was sent and not confirmed, to all who followed lately."""
        out = []
        for address, f in self.followers.items():
            if not self.floor <= f.position < self.position or now - f.heard >= FOLLOWER_LIVE_S:
                continue  # it lacks nothing, or gets a snapshot with the answer to its next heartbeat
            if now - f.sent_at >= (PUSH_INTERVAL_S if f.sent < self.position else PUSH_RETRY_S):
                out.append(self._send(now, address, f))
        return out

    def tick(self, now: float) -> list[Send]:
        """Push what is due, and forget ends and followers of long ago."""
        for key in [
            k for k, (_, r) in self.items.items() if isinstance(r, EXPIRING_RECORDS) and r.until <= now
        ]:
            self.floor = max(self.floor, self.items.pop(key)[0])
        for address in [a for a, f in self.followers.items() if now - f.heard > FOLLOWER_FORGET_S]:
            del self.followers[address]
        return self.push(now)

    def _send(self, now: float, to: Address, f: _FollowerState) -> Send:
        f.sent, f.sent_at = self.position, now
        if now != self._answers_at:
            self._answers, self._answers_at = {}, now
        note = self._answers.get(f.position)
        if note is None:
            note = self._answers[f.position] = self._answer(now, f.position)
        return Send(to, note)

    def _answer(self, now: float, position: int) -> pb.Message:
        note = pb.Message()
        answer = note.answer
        answer.log, answer.position, answer.quorate = self.id, self.position, self.quorate(now)
        answer.lost.extend(self.lost)
        if position < 0:
            answer.snapshot, answer.zone = True, self.zone + 1
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
