"""The agreement on slow links, and on such as become slow and fast again: orders go on, and one leads."""

from __future__ import annotations

import random
from typing import Any

import pytest

from gateway.consensus import consensus_pb2 as pb
from gateway.consensus.election_timer import ElectionTimer
from gateway.consensus.follower import FollowerRole
from gateway.consensus.leader import LeaderRole
from gateway.consensus.raft import RaftNode
from gateway.consensus.replica import Replica
from tests.gateway.consensus.consensus_cluster import ConsensusCluster, InvariantViolation, Node, finish

WAYS_S = (0.001, 0.035, 0.15, 0.3)
SPREAD = 1.1  # of a link's delay


class Slow(ConsensusCluster):
    """A core each link of which has a delay of its own."""

    def __init__(self, count: int, seed: int, way_s: float = 0.001, **more: Any) -> None:
        self.ways: dict[frozenset[str], float] = {}
        self.way_s = way_s
        super().__init__(count, seed, **more)

    def _send(self, node: Any, output: Any) -> None:
        way = self.ways.get(frozenset((node.address, output.to)), self.way_s)
        self.delay_s = (way, SPREAD * way)
        super()._send(node, output)


def orders_for(core: ConsensusCluster, seconds: float) -> int:
    """How many orders are done, one after the other, while time passes."""
    before, end = len(core.done), core.now + seconds
    while core.now < end:
        leader = core.leader()
        if leader is None:
            core.run(0.05)
            continue
        token = core.propose(leader, leader.machine.committed_version)
        core.run(min(3.0, end - core.now), lambda token=token: token in core.outcomes)
        core.run(0.05)
    return len(core.done) - before


@pytest.mark.parametrize("way_s", WAYS_S)
@pytest.mark.parametrize("count", [3, 5])
def test_orders_go_on_at_the_pace_of_the_links(count: int, way_s: float) -> None:
    for seed in range(8):
        core = Slow(count, seed, way_s)
        assert core.run(20.0, lambda core=core: core.leader() is not None), f"seed {seed}: nobody leads"
        core.run(2.0)
        leader = core.leader()
        done = orders_for(core, 10.0)
        assert done >= 0.7 * 10.0 / (2 * SPREAD * way_s + 0.1), f"seed {seed}: {done} orders"
        assert core.leader() is leader  # nobody else stood for election meanwhile


def test_a_link_that_is_fast_asks_for_nothing_more() -> None:
    core = Slow(3, 1, 0.0014)
    sent: list[pb.Message] = []
    send_original = core._send
    core._send = lambda node, out: (sent.append(out.message), send_original(node, out))  # type: ignore
    finish(core, 3.0)
    orders_for(core, 5.0)
    assert not any(message.timeout_scale for message in sent)
    assert {n.stored.timeout_scale for n in core.up()} == {1.0}


def test_slow_links_that_are_fast_again_end_the_longer_timeouts() -> None:
    core = Slow(3, 2, 0.3)
    core.run(20.0, lambda: core.leader() is not None)
    core.run(3.0)
    assert max(n.stored.timeout_scale for n in core.up()) > 1.0
    core.way_s = 0.001
    core.run(16.0)
    assert {n.stored.timeout_scale for n in core.up()} == {1.0}
    core.kill(core.leader().address)
    assert core.run(1.0, lambda: core.leader() is not None)


class Storm:
    """Rounds of fault_injector: links change, then the leader is out of touch while others begin anew."""

    def __init__(self, core: Slow, rng: random.Random) -> None:
        self.core, self.rng = core, rng

    def round(self) -> None:
        """Links of some delay and a leader, then strikes at short intervals, then all is joined again."""
        core, rng = self.core, self.rng
        core.way_s = rng.choice(WAYS_S)
        core.run(5.0, lambda: core.leader() is not None)
        core.run(rng.choice([0.1, 1.0, 2.0]))
        for strike in rng.sample([self.link, self.lone, self.disks, self.orders], 2):
            strike()
            core.run(rng.uniform(0.0, 2.5))
        self.isolate()
        for strike in rng.sample([self.fast, self.restart, self.restart, self.freeze, self.orders], 3):
            core.run(rng.choice([0.0, 0.05, 0.3]))
            strike()
        core.run(rng.uniform(0.2, 3.0))
        self.calm()

    def others(self) -> list[str]:
        leader = self.core.leader()
        return [a for a in self.core.nodes if leader is None or a != leader.address]

    def link(self) -> None:
        """One link, or all, of another delay."""
        ends = self.rng.sample(list(self.core.nodes), 2)
        if self.rng.random() < 0.5:
            self.core.ways[frozenset(ends)] = self.rng.choice(WAYS_S)
        else:
            self.core.way_s = self.rng.choice(WAYS_S)
            self.core.ways.clear()

    def lone(self) -> None:
        """The leader and another one don't hear each other."""
        leader, other = self.core.leader(), self.rng.choice(self.others())
        if leader is not None:
            self.core.cut.update({(leader.address, other), (other, leader.address)})

    def disks(self) -> None:
        """Slow disks, or such as take nothing."""
        for address in self.others():
            self.core.nodes[address].disk_s = (0.3, 0.9)
            self.core.nodes[address].disk_fails = self.rng.random() < 0.3

    def orders(self) -> None:
        for node in self.core.up():
            if node.machine.leader_role is not None:
                self.core.propose(node, node.machine.committed_version)

    def isolate(self) -> None:
        """The leader hears nobody, or nobody hears it, or both."""
        others = self.others()
        for address in self.core.nodes if len(others) < len(self.core.nodes) else ():
            if address not in others:
                out = [(address, other) for other in others]
                back = [(other, address) for other in others]
                self.core.cut.update(self.rng.choice([out, back, out + back, out + back]))

    def fast(self) -> None:
        self.core.way_s = 0.001
        self.core.ways.clear()

    def restart(self) -> None:
        """Some of the others begin anew, with a loss of power or without."""
        for address in self.others():
            if self.rng.random() < 0.7:
                self.core.kill(address, power=self.rng.random() < 0.5)
                self.core.start(address)

    def freeze(self) -> None:
        """The leader, or another one, stands still."""
        node = self.core.leader() or self.rng.choice(list(self.core.nodes.values()))
        node.frozen = self.core.now + self.rng.choice([0.3, 1.0, 2.0])

    def calm(self) -> None:
        self.core.cut.clear()
        self.core.ways.clear()
        for node in self.core.nodes.values():
            node.disk_fails, node.disk_s, node.frozen = False, (0.002, 0.01), 0.0


def inject_random_faults(count: int, seed: int, **more: Any) -> ConsensusCluster:
    """Some rounds."""
    rng = random.Random(f"slow {seed}")
    core = Slow(count, seed, **more)
    core.loss = rng.choice([0.0, 0.0, 0.05])
    storm = Storm(core, rng)
    for _ in range(rng.randrange(2, 8)):
        storm.round()
    core.loss = 0.0
    return core


@pytest.mark.parametrize(("count", "seeds"), [(3, 150), (5, 50)])
def test_no_two_lead_whatever_the_links_do(count: int, seeds: int) -> None:
    broken = []
    for seed in range(seeds):
        try:
            finish(inject_random_faults(count, seed), 15.0)
        except InvariantViolation as why:
            broken.append(f"seed {seed}: {why}")
    assert not broken, "\n".join(broken)


class FromArrival(LeaderRole):
    """Planted fault: the lease runs from when an answer came, not from when its heartbeat went out."""

    def on_append_response(self, now: float, message: pb.Message) -> None:
        message.sent_at = now
        super().on_append_response(now, message)


class AsAsked(LeaderRole):
    """Planted fault: the lease counts on what was asked for, whatever the voter has promised."""

    def on_append_response(self, now: float, message: pb.Message) -> None:
        message.timeout_scale = self.timer.timeout_scale
        super().on_append_response(now, message)


class Newest(FollowerRole):
    """Planted fault: a heartbeat that asks for less takes back what an earlier one was promised."""

    def _withhold_vote(self, now: float, asked: float) -> None:
        super()._withhold_vote(now, asked)
        self.vote_withheld_until = now + self.promised_scale * self.replica.tuning.election_min_s


class Unsaved(Replica):
    """Planted fault: a promise needn't be on disk."""

    def durable_timeout_scale(self) -> float:
        return 10.0


class Hasty(ElectionTimer):
    """Planted fault: a member stands for election, and votes for itself, as on fast links."""

    @property
    def timeout_scale(self) -> float:
        return self.measured_scale


def planted(fault: type[Any]) -> Any:
    """An agreement with a part of it replaced."""

    def make(*args: Any) -> RaftNode:
        machine = RaftNode(*args)
        for part in (machine.follower_role, machine.replica, machine.timer):
            if issubclass(fault, type(part)):
                part.__class__ = fault
        if issubclass(fault, LeaderRole):
            handle = machine.handle

            def handles(now: float, event: Any) -> Any:
                if machine.leader_role is not None:
                    machine.leader_role.__class__ = fault
                return handle(now, event)

            machine.handle = handles  # type: ignore[method-assign]
        if fault is Hasty:
            machine.voter.may_start_election = machine.voter.is_eligible  # type: ignore[method-assign]
        return machine

    return make


class Aimed(Slow):
    """A core of three with a leader, and what befalls it at the worst instant for one mistake."""

    def __init__(self, seed: int, way_s: float, kind: Any) -> None:
        super().__init__(3, seed, way_s, kind=kind)
        self.run(30.0, lambda: self.leader() is not None)
        self.run(4.0)
        leader = self.leader()
        assert leader is not None
        self.first, self.others = leader, [n for n in self.up() if n is not leader]

    def part(self, *others: Node) -> None:
        """The leader and these don't reach each other."""
        for other in others:
            self.cut.update({(self.first.address, other.address), (other.address, self.first.address)})

    def thaws(self) -> None:
        """The leader stands still with answers in its queue until others have a leader."""
        self.first.frozen = self.now + 5.0
        self.run(0.4)
        self.part(*self.others)
        self.way_s = 0.001

    def asks_less(self) -> None:
        """The leader is cut off right after the links have become fast and it asks for less."""
        self.way_s = 0.001
        self.run(3.0, lambda: self.first.machine.timer.timeout_scale == 1.0)
        self.run(0.1)
        self.part(*self.others)

    def restarts(self) -> None:
        """Voters begin anew while their disks have yet to save that they withhold votes for longer."""
        for node in self.others:
            node.disk_s = (3.0, 3.0)
        self.way_s = 0.08
        self.run(2.0, lambda: self.first.machine.timer.timeout_scale > 1.0)
        self.run(0.5)
        self.way_s = 0.001
        self.run(0.15)
        self.part(*self.others)
        self.unsynced_is_lost = True
        for node in self.others:
            node.disk_s = (0.002, 0.01)
            self.kill(node.address)
            self.start(node.address)

    def stands(self) -> None:
        """One voter hasn't heard the leader for long, and the other one loses it as well."""
        one, other = self.others
        self.part(one)
        self.run(2.5)
        self.ways[frozenset((one.address, other.address))] = 0.001
        self.part(other)


AIMED = [
    (Aimed.thaws, 0.3, FromArrival),
    (Aimed.asks_less, 0.3, Newest),
    (Aimed.restarts, 0.001, Unsaved),
    (Aimed.restarts, 0.001, AsAsked),
    (Aimed.stands, 0.3, Hasty),
]


def overlaps(act: Any, way_s: float, kind: Any) -> list[str]:
    """What is found to be broken, over some seeds."""
    found = []
    for seed in range(16):
        core = Aimed(seed, way_s, kind)
        act(core)
        try:
            core.run(8.0)
        except InvariantViolation as why:
            found.append(str(why))
    return found


@pytest.mark.parametrize(("act", "way_s", "fault"), AIMED)
def test_planted_faults_of_leases_are_found(act: Any, way_s: float, fault: type[Any]) -> None:
    assert not overlaps(act, way_s, RaftNode)
    assert any("two leaders are sure" in why for why in overlaps(act, way_s, planted(fault)))
