"""Logs over thousands of changes: whoever was away, begins anew, or follows one that does, has all of it."""

from __future__ import annotations

import random
from typing import Any

import pytest

from gateway.membership.change_log import ChangeLog
from gateway.membership.codec import EndRecord, LeaseRecord, ValueRecord
from gateway.membership.log_follower import LogFollower
from gateway.membership.types import Backend, ValueKind
from gateway.state_machine import Send

SOURCE, THINGS, TICK_S, FORGOTTEN_S = "10.0.0.1:1", 100, 0.05, 3.0


class OneEpoch(ChangeLog):
    """Planted fault: a log that begins anew has the name of the one before."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.id = 7


class NoFloor(ChangeLog):
    """Planted fault: who is behind the end of something forgotten gets the changes since, not a snapshot."""

    floor = property(lambda self: 0, lambda self, floor: None)  # type: ignore[assignment]


class Mirror:
    """A follower and what it makes of a log: its backends, and the version of the configuration."""

    def __init__(self, net: FollowerNetwork, address: str) -> None:
        self.net, self.address = net, address
        self.begin()

    def begin(self) -> None:
        self.follower = LogFollower()
        self.follower.follow(self.net.now, [SOURCE])
        self.backends: dict[str, int] = {}
        self.version = self.away = 0

    def take(self, answer: Any) -> None:
        sends, news = self.follower.on_follow_reply(self.net.now, SOURCE, answer)
        self.net.carry(self.address, sends)
        for record in news.records if news else ():
            if isinstance(record, ValueRecord):
                self.version = max(self.version, record.fencing_token[1])
        if news is not None:
            self.backends = {} if news.snapshot else self.backends
            for record in news.records:
                if isinstance(record, LeaseRecord):
                    self.backends[record.backend.id] = record.backend.seq
                elif isinstance(record, EndRecord):
                    self.backends.pop(record.id, None)


class FollowerNetwork:
    """A source, its followers and the ways between them, with loss, delay and changes of order."""

    def __init__(self, seed: int, log: type[ChangeLog] = ChangeLog) -> None:
        self.rng, self.log_class = random.Random(seed), log
        self.now, self.loss, self.delay = 100.0, self.rng.choice([0.0, 0.1, 0.3]), 0.3
        self.under_way: list[tuple[float, str, Any]] = []
        self.truth: dict[str, int] = {}
        self.version = self.made = self.bytes = 0
        self.begin()
        self.mirrors = {a: Mirror(self, a) for a in ("10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1")}

    def begin(self) -> None:
        """The source begins anew; it hears of what there is little by little, in another order."""
        self.log = self.log_class(self.rng)
        self.unheard = list(self.truth.items())
        self.rng.shuffle(self.unheard)
        self.log.put(ValueKind.CONFIG, ValueRecord(ValueKind.CONFIG, (0, self.version), b"", None))

    def change(self) -> None:
        """A backend comes, changes or ends, or another version is in force."""
        self.made += 1
        what = self.rng.random()
        if what < 0.1:
            self.version += 1
            self.log.put(ValueKind.CONFIG, ValueRecord(ValueKind.CONFIG, (0, self.version), b"", None))
            return
        id = f"b{self.rng.randrange(THINGS)}"
        self.unheard = [u for u in self.unheard if u[0] != id]
        if id in self.truth and what < 0.55:
            self.log.put(id, EndRecord(id, self.truth.pop(id), self.now + FORGOTTEN_S))
        else:
            self.truth[id] = self.made
            self.list(id)

    def list(self, id: str) -> None:
        self.log.put(id, LeaseRecord(Backend(id, "s", "10.9.0.1:80", "z", "g", 1, seq=self.truth[id])))

    def carry(self, sender: str, sends: list[Send]) -> None:
        for send in sends:
            self.bytes += send.message.ByteSize()
            mirror = self.mirrors[sender if sender != SOURCE else send.to]
            if not mirror.away and self.rng.random() >= self.loss:
                at = self.now + self.rng.uniform(0.001, self.delay)
                self.under_way.append((at, sender if sender != SOURCE else "", (send.to, send.message)))

    def step(self) -> None:
        self.now += TICK_S
        due = sorted((m for m in self.under_way if m[0] <= self.now), key=lambda m: m[0])
        self.under_way = [m for m in self.under_way if m[0] > self.now]
        for _, sender, (to, note) in due:
            if sender:
                self.carry(SOURCE, self.log.on_follow(self.now, sender, note.follow))
            elif not self.mirrors[to].away:
                self.mirrors[to].take(note.follow_reply)
        if self.unheard:
            self.list(self.unheard.pop()[0])
        self.carry(SOURCE, self.log.tick(self.now))
        for mirror in self.mirrors.values():
            if mirror.away:
                mirror.away -= 1
            else:
                self.carry(mirror.address, mirror.follower.tick(self.now))
        assert len(self.log.items) <= THINGS + 1

    def check(self) -> None:
        """Calm for two seconds: all have all of it."""
        self.loss, self.unheard = 0.0, [u for u in self.unheard if u[0] in self.truth]
        for mirror in self.mirrors.values():
            mirror.away = 0
        for _ in range(round(2.0 / TICK_S) + len(self.unheard)):
            self.step()
        for mirror in self.mirrors.values():
            assert mirror.backends == self.truth, f"{mirror.address} has other backends"
            assert mirror.version == self.version, f"{mirror.address} lacks a version"


def day(net: FollowerNetwork, changes: int) -> None:
    """Changes, followers that are away or begin anew, and a source that does."""
    while net.made < changes:
        for _ in range(net.rng.choice([0, 0, 0, 0, 0, 1, 1, 3, 20])):
            net.change()
        mirror = net.rng.choice(list(net.mirrors.values()))
        what = net.rng.random()
        if what < 0.02:
            mirror.away = net.rng.choice([5, 40, 150])
        elif what < 0.025:
            mirror.begin()
        elif what < 0.03:
            net.begin()
        net.step()
    net.check()


@pytest.mark.parametrize("changes", [500, 5000])
def test_all_have_all_of_it(changes: int) -> None:
    for seed in range(20 if changes == 500 else 2):
        day(FollowerNetwork(seed), changes)


@pytest.mark.parametrize("fault", [OneEpoch, NoFloor])
def test_planted_faults_of_logs_are_found(fault: type[ChangeLog]) -> None:
    for seed in range(60):
        try:
            day(FollowerNetwork(seed, fault), 500)
        except AssertionError as why:
            assert "has other backends" in str(why) or "lacks a version" in str(why)
            return
    pytest.fail("not found")
