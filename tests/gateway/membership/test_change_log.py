"""Change logs over thousands of changes: followers that were away or restarted must catch up completely."""

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
    """Injected bug: a restarted log has the same id as before."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.id = 7


class NoFloor(ChangeLog):
    """Injected bug: a follower behind an expired record gets the changes since then instead of a snapshot."""

    floor = property(lambda self: 0, lambda self, floor: None)  # type: ignore[assignment]


class Mirror:
    """A follower with the state that it has derived from the log: backends and configuration version."""

    def __init__(self, net: FollowerNetwork, address: str) -> None:
        self.net, self.address = net, address
        self.restart()

    def restart(self) -> None:
        self.follower = LogFollower()
        self.follower.follow(self.net.now, [SOURCE])
        self.backends: dict[str, int] = {}
        self.version = self.away = 0

    def on_reply(self, answer: Any) -> None:
        sends, update = self.follower.on_follow_reply(self.net.now, SOURCE, answer)
        self.net.carry(self.address, sends)
        for record in update.records if update else ():
            if isinstance(record, ValueRecord):
                self.version = max(self.version, record.fencing_token[1])
        if update is not None:
            self.backends = {} if update.snapshot else self.backends
            for record in update.records:
                if isinstance(record, LeaseRecord):
                    self.backends[record.backend.id] = record.backend.seq
                elif isinstance(record, EndRecord):
                    self.backends.pop(record.id, None)


class FollowerNetwork:
    """A source, its followers, and a network that loses, delays and reorders messages."""

    def __init__(self, seed: int, log: type[ChangeLog] = ChangeLog) -> None:
        self.rng, self.log_class = random.Random(seed), log
        self.now, self.loss, self.delay = 100.0, self.rng.choice([0.0, 0.1, 0.3]), 0.3
        self.in_flight: list[tuple[float, str, Any]] = []
        self.expected: dict[str, int] = {}
        self.version = self.change_count = self.bytes = 0
        self.restart()
        self.mirrors = {a: Mirror(self, a) for a in ("10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1")}

    def restart(self) -> None:
        """Restart the source, which then learns the existing backends gradually and in another order."""
        self.log = self.log_class(self.rng)
        self.unlearned = list(self.expected.items())
        self.rng.shuffle(self.unlearned)
        self.log.put(ValueKind.CONFIG, ValueRecord(ValueKind.CONFIG, (0, self.version), b"", None))

    def change(self) -> None:
        """Add, change or end a backend, or publish another configuration version."""
        self.change_count += 1
        what = self.rng.random()
        if what < 0.1:
            self.version += 1
            self.log.put(ValueKind.CONFIG, ValueRecord(ValueKind.CONFIG, (0, self.version), b"", None))
            return
        id = f"b{self.rng.randrange(THINGS)}"
        self.unlearned = [u for u in self.unlearned if u[0] != id]
        if id in self.expected and what < 0.55:
            self.log.put(id, EndRecord(id, self.expected.pop(id), self.now + FORGOTTEN_S))
        else:
            self.expected[id] = self.change_count
            self.list(id)

    def list(self, id: str) -> None:
        self.log.put(id, LeaseRecord(Backend(id, "s", "10.9.0.1:80", "z", "g", 1, seq=self.expected[id])))

    def carry(self, sender: str, sends: list[Send]) -> None:
        for send in sends:
            self.bytes += send.message.ByteSize()
            mirror = self.mirrors[sender if sender != SOURCE else send.to]
            if not mirror.away and self.rng.random() >= self.loss:
                at = self.now + self.rng.uniform(0.001, self.delay)
                self.in_flight.append((at, sender if sender != SOURCE else "", (send.to, send.message)))

    def step(self) -> None:
        self.now += TICK_S
        due = sorted((m for m in self.in_flight if m[0] <= self.now), key=lambda m: m[0])
        self.in_flight = [m for m in self.in_flight if m[0] > self.now]
        for _, sender, (to, message) in due:
            if sender:
                self.carry(SOURCE, self.log.on_follow(self.now, sender, message.follow))
            elif not self.mirrors[to].away:
                self.mirrors[to].on_reply(message.follow_reply)
        if self.unlearned:
            self.list(self.unlearned.pop()[0])
        self.carry(SOURCE, self.log.tick(self.now))
        for mirror in self.mirrors.values():
            if mirror.away:
                mirror.away -= 1
            else:
                self.carry(mirror.address, mirror.follower.tick(self.now))
        assert len(self.log.items) <= THINGS + 1

    def check(self) -> None:
        """After two seconds without faults, all followers must be up to date."""
        self.loss, self.unlearned = 0.0, [u for u in self.unlearned if u[0] in self.expected]
        for mirror in self.mirrors.values():
            mirror.away = 0
        for _ in range(round(2.0 / TICK_S) + len(self.unlearned)):
            self.step()
        for mirror in self.mirrors.values():
            assert mirror.backends == self.expected, f"{mirror.address} has other backends"
            assert mirror.version == self.version, f"{mirror.address} lacks a version"


def run_random_changes(net: FollowerNetwork, changes: int) -> None:
    """Change the log while followers are away or restart, and the source restarts."""
    while net.change_count < changes:
        for _ in range(net.rng.choice([0, 0, 0, 0, 0, 1, 1, 3, 20])):
            net.change()
        mirror = net.rng.choice(list(net.mirrors.values()))
        what = net.rng.random()
        if what < 0.02:
            mirror.away = net.rng.choice([5, 40, 150])
        elif what < 0.025:
            mirror.restart()
        elif what < 0.03:
            net.restart()
        net.step()
    net.check()


@pytest.mark.parametrize("changes", [500, 5000])
def test_followers_catch_up_completely(changes: int) -> None:
    for seed in range(20 if changes == 500 else 2):
        run_random_changes(FollowerNetwork(seed), changes)


@pytest.mark.parametrize("fault", [OneEpoch, NoFloor])
def test_injected_log_bugs_are_detected(fault: type[ChangeLog]) -> None:
    for seed in range(60):
        try:
            run_random_changes(FollowerNetwork(seed, fault), 500)
        except AssertionError as why:
            assert "has other backends" in str(why) or "lacks a version" in str(why)
            return
    pytest.fail("not found")
