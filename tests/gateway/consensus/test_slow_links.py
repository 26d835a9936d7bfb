"""Consensus on links that are slow or change speed: proposals are committed, and there is one leader."""

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
from tests.gateway.consensus.consensus_cluster import (
    ConsensusCluster,
    InvariantViolation,
    Node,
    check_progress,
)

DELAYS_S = (0.001, 0.035, 0.15, 0.3)
SPREAD = 1.1  # maximum delay relative to the link's nominal delay


class SlowCluster(ConsensusCluster):
    """A core with a separate delay for each link."""

    def __init__(self, count: int, seed: int, way_s: float = 0.001, **more: Any) -> None:
        self.link_delays: dict[frozenset[str], float] = {}
        self.default_delay_s = way_s
        super().__init__(count, seed, **more)

    def _send(self, node: Any, output: Any) -> None:
        way = self.link_delays.get(frozenset((node.address, output.to)), self.default_delay_s)
        self.delay_s = (way, SPREAD * way)
        super()._send(node, output)


def committed_proposals(core: ConsensusCluster, seconds: float) -> int:
    """The number of proposals committed one after another within this time."""
    before, end = len(core.acknowledged), core.now + seconds
    while core.now < end:
        leader = core.leader()
        if leader is None:
            core.run(0.05)
            continue
        token = core.propose(leader, leader.machine.committed_version)
        core.run(min(3.0, end - core.now), lambda token=token: token in core.outcomes)
        core.run(0.05)
    return len(core.acknowledged) - before


@pytest.mark.parametrize("way_s", DELAYS_S)
@pytest.mark.parametrize("count", [3, 5])
def test_commit_rate_on_slow_links(count: int, way_s: float) -> None:
    for seed in range(8):
        core = SlowCluster(count, seed, way_s)
        assert core.run(20.0, lambda core=core: core.leader() is not None), f"seed {seed}: nobody leads"
        core.run(2.0)
        leader = core.leader()
        done = committed_proposals(core, 10.0)
        assert done >= 0.7 * 10.0 / (2 * SPREAD * way_s + 0.1), f"seed {seed}: {done} orders"
        assert core.leader() is leader  # no other member has started an election


def test_fast_links_request_no_scale() -> None:
    core = SlowCluster(3, 1, 0.0014)
    sent: list[pb.Message] = []
    send_original = core._send
    core._send = lambda node, out: (sent.append(out.message), send_original(node, out))  # type: ignore
    check_progress(core, 3.0)
    committed_proposals(core, 5.0)
    assert not any(message.timeout_scale for message in sent)
    assert {n.synced.timeout_scale for n in core.up()} == {1.0}


def test_timeouts_shorten_when_links_become_fast_again() -> None:
    core = SlowCluster(3, 2, 0.3)
    core.run(20.0, lambda: core.leader() is not None)
    core.run(3.0)
    assert max(n.synced.timeout_scale for n in core.up()) > 1.0
    core.default_delay_s = 0.001
    core.run(16.0)
    assert {n.synced.timeout_scale for n in core.up()} == {1.0}
    core.kill(core.leader().address)
    assert core.run(1.0, lambda: core.leader() is not None)


class Storm:
    """Rounds of faults: link delays change, then the leader is partitioned while other members restart."""

    def __init__(self, core: SlowCluster, rng: random.Random) -> None:
        self.core, self.rng = core, rng

    def round(self) -> None:
        """Elect a leader at some link delay, inject faults at short intervals, then end the partition."""
        core, rng = self.core, self.rng
        core.default_delay_s = rng.choice(DELAYS_S)
        core.run(5.0, lambda: core.leader() is not None)
        core.run(rng.choice([0.1, 1.0, 2.0]))
        for inject in rng.sample([self.link, self.isolate_one, self.disks, self.orders], 2):
            inject()
            core.run(rng.uniform(0.0, 2.5))
        self.isolate()
        for inject in rng.sample([self.fast, self.restart, self.restart, self.freeze, self.orders], 3):
            core.run(rng.choice([0.0, 0.05, 0.3]))
            inject()
        core.run(rng.uniform(0.2, 3.0))
        self.end_faults()

    def others(self) -> list[str]:
        leader = self.core.leader()
        return [a for a in self.core.nodes if leader is None or a != leader.address]

    def link(self) -> None:
        """Change the delay of one link or of all links."""
        ends = self.rng.sample(list(self.core.nodes), 2)
        if self.rng.random() < 0.5:
            self.core.link_delays[frozenset(ends)] = self.rng.choice(DELAYS_S)
        else:
            self.core.default_delay_s = self.rng.choice(DELAYS_S)
            self.core.link_delays.clear()

    def isolate_one(self) -> None:
        """Partition the leader from one other member."""
        leader, other = self.core.leader(), self.rng.choice(self.others())
        if leader is not None:
            self.core.blocked.update({(leader.address, other), (other, leader.address)})

    def disks(self) -> None:
        """Make disks slow or fail."""
        for address in self.others():
            self.core.nodes[address].disk_s = (0.3, 0.9)
            self.core.nodes[address].disk_fails = self.rng.random() < 0.3

    def orders(self) -> None:
        for node in self.core.up():
            if node.machine.leader_role is not None:
                self.core.propose(node, node.machine.committed_version)

    def isolate(self) -> None:
        """Block the leader's incoming messages, its outgoing messages, or both."""
        others = self.others()
        for address in self.core.nodes if len(others) < len(self.core.nodes) else ():
            if address not in others:
                out = [(address, other) for other in others]
                back = [(other, address) for other in others]
                self.core.blocked.update(self.rng.choice([out, back, out + back, out + back]))

    def fast(self) -> None:
        self.core.default_delay_s = 0.001
        self.core.link_delays.clear()

    def restart(self) -> None:
        """Restart some of the other members, with or without a power loss."""
        for address in self.others():
            if self.rng.random() < 0.7:
                self.core.kill(address, power=self.rng.random() < 0.5)
                self.core.start(address)

    def freeze(self) -> None:
        """Freeze the leader or another member."""
        node = self.core.leader() or self.rng.choice(list(self.core.nodes.values()))
        node.frozen_until = self.core.now + self.rng.choice([0.3, 1.0, 2.0])

    def end_faults(self) -> None:
        self.core.blocked.clear()
        self.core.link_delays.clear()
        for node in self.core.nodes.values():
            node.disk_fails, node.disk_s, node.frozen_until = False, (0.002, 0.01), 0.0


def inject_random_faults(count: int, seed: int, **more: Any) -> ConsensusCluster:
    """Run some rounds of faults."""
    rng = random.Random(f"slow {seed}")
    core = SlowCluster(count, seed, **more)
    core.loss = rng.choice([0.0, 0.0, 0.05])
    storm = Storm(core, rng)
    for _ in range(rng.randrange(2, 8)):
        storm.round()
    core.loss = 0.0
    return core


@pytest.mark.parametrize(("count", "seeds"), [(3, 150), (5, 50)])
def test_at_most_one_leader_on_changing_links(count: int, seeds: int) -> None:
    broken = []
    for seed in range(seeds):
        try:
            check_progress(inject_random_faults(count, seed), 15.0)
        except InvariantViolation as why:
            broken.append(f"seed {seed}: {why}")
    assert not broken, "\n".join(broken)


class LeaseFromArrival(LeaderRole):
    """Injected bug: the lease starts when a response arrives instead of when its heartbeat was sent."""

    def on_append_response(self, now: float, message: pb.Message) -> None:
        message.sent_at = now
        super().on_append_response(now, message)


class LeaseAsRequested(LeaderRole):
    """Injected bug: the lease is based on the requested scale instead of the one granted by the voter."""

    def on_append_response(self, now: float, message: pb.Message) -> None:
        message.timeout_scale = self.timer.timeout_scale
        super().on_append_response(now, message)


class ShortensWithholding(FollowerRole):
    """Injected bug: a heartbeat with a lower scale shortens the period granted to an earlier one."""

    def _withhold_vote(self, now: float, requested: float) -> None:
        super()._withhold_vote(now, requested)
        self.vote_withheld_until = now + self.granted_scale * self.replica.tuning.election_min_s


class GrantsBeforeWrite(Replica):
    """Injected bug: a scale is granted before it is on disk."""

    def durable_timeout_scale(self) -> float:
        return 10.0


class FastTimeout(ElectionTimer):
    """Injected bug: a member becomes a candidate, and votes for itself, after the timeout for fast links."""

    @property
    def timeout_scale(self) -> float:
        return self.measured_scale


def with_bug(fault: type[Any]) -> Any:
    """A node with one of its parts replaced by a faulty one."""

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
        if fault is FastTimeout:
            machine.voter.may_start_election = machine.voter.is_eligible  # type: ignore[method-assign]
        return machine

    return make


class TargetedFaults(SlowCluster):
    """A core of three with a leader, and the faults that expose one specific bug each."""

    def __init__(self, seed: int, way_s: float, kind: Any) -> None:
        super().__init__(3, seed, way_s, kind=kind)
        self.run(30.0, lambda: self.leader() is not None)
        self.run(4.0)
        leader = self.leader()
        assert leader is not None
        self.first, self.others = leader, [n for n in self.up() if n is not leader]

    def part(self, *others: Node) -> None:
        """Partition the leader from these nodes."""
        for other in others:
            self.blocked.update({(self.first.address, other.address), (other.address, self.first.address)})

    def resumes(self) -> None:
        """Freeze the leader, with responses queued, until other members have elected a leader."""
        self.first.frozen_until = self.now + 5.0
        self.run(0.4)
        self.part(*self.others)
        self.default_delay_s = 0.001

    def lowers_scale(self) -> None:
        """Partition the leader right after links became fast and it requested a lower scale."""
        self.default_delay_s = 0.001
        self.run(3.0, lambda: self.first.machine.timer.timeout_scale == 1.0)
        self.run(0.1)
        self.part(*self.others)

    def restarts(self) -> None:
        """Restart voters before their disks have saved that votes are withheld for longer."""
        for node in self.others:
            node.disk_s = (3.0, 3.0)
        self.default_delay_s = 0.08
        self.run(2.0, lambda: self.first.machine.timer.timeout_scale > 1.0)
        self.run(0.5)
        self.default_delay_s = 0.001
        self.run(0.15)
        self.part(*self.others)
        self.unsynced_is_lost = True
        for node in self.others:
            node.disk_s = (0.002, 0.01)
            self.kill(node.address)
            self.start(node.address)

    def starts_election_early(self) -> None:
        """Partition one voter for a long time, then the other one as well."""
        one, other = self.others
        self.part(one)
        self.run(2.5)
        self.link_delays[frozenset((one.address, other.address))] = 0.001
        self.part(other)


TARGETED_FAULTS = [
    (TargetedFaults.resumes, 0.3, LeaseFromArrival),
    (TargetedFaults.lowers_scale, 0.3, ShortensWithholding),
    (TargetedFaults.restarts, 0.001, GrantsBeforeWrite),
    (TargetedFaults.restarts, 0.001, LeaseAsRequested),
    (TargetedFaults.starts_election_early, 0.3, FastTimeout),
]


def violations(act: Any, way_s: float, kind: Any) -> list[str]:
    """The violations found over several seeds."""
    found = []
    for seed in range(16):
        core = TargetedFaults(seed, way_s, kind)
        act(core)
        try:
            core.run(8.0)
        except InvariantViolation as why:
            found.append(str(why))
    return found


@pytest.mark.parametrize(("act", "way_s", "fault"), TARGETED_FAULTS)
def test_injected_lease_bugs_are_detected(act: Any, way_s: float, fault: type[Any]) -> None:
    assert not violations(act, way_s, RaftNode)
    assert any("two leaders hold the lease" in why for why in violations(act, way_s, with_bug(fault)))
