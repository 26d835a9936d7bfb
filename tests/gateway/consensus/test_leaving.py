"""Members that are shut down, one or all at once: there must be a leader while a majority is running."""

from __future__ import annotations

import random
from functools import partial

import pytest

from gateway.consensus import events
from tests.gateway.consensus.consensus_cluster import ConsensusCluster, Node, check_progress

LONGEST_GAP_S = 0.9  # without a leader: leaving members use a longer election timeout


def longest_gap(core: ConsensusCluster, seconds: float) -> float:
    """The longest time during which no node held the leader lease."""
    end, since, longest = core.now + seconds, core.now, 0.0
    while core.now < end:
        core.run(0.01)
        if core.leader() is not None:
            since = core.now
        longest = max(longest, core.now - since)
    return longest


def running(count: int, seed: int) -> tuple[ConsensusCluster, Node]:
    core = ConsensusCluster(count, seed)
    check_progress(core, 5.0)
    leader = core.leader()
    assert leader is not None
    return core, leader


@pytest.mark.parametrize("count", [3, 5])
def test_all_members_leave_at_once(count: int) -> None:
    for seed in range(20):
        core, _ = running(count, seed)
        for node in core.up():
            core.deliver(node, events.Leave())
        assert longest_gap(core, 3.0) < LONGEST_GAP_S
        for node in core.up():
            if node.machine.has_left:  # its process ends at once
                core.kill(node.address)
        assert len(core.up()) >= 3
        check_progress(core, 1.0)


def test_all_members_leave_shortly_after_each_other() -> None:
    for seed in range(40):
        core, leader = running(3, seed)
        chance = random.Random(seed)
        order = [leader, *(node for node in core.up() if node is not leader)]
        for node in order:  # the leader first, which may transfer to a member that leaves a moment later
            core.at(chance.uniform(0.0, 0.1), partial(core.deliver, node, events.Leave()))
        assert longest_gap(core, 3.0) < LONGEST_GAP_S
        check_progress(core, 1.0)


def test_leader_transfers_once_a_successor_is_available() -> None:
    core, leader = running(3, 1)
    away, leaving = [node for node in core.up() if node is not leader]
    core.kill(away.address)
    core.run(1.0)
    core.deliver(leaving, events.Leave())
    core.run(0.2)
    core.deliver(leader, events.Leave())
    core.run(0.5)
    assert core.leader() is leader
    core.start(away.address)
    assert core.run(1.0, lambda: core.leader() is away)
    check_progress(core, 1.0)


def test_leaving_leader_is_killed_while_the_others_leave() -> None:
    core, leader = running(3, 2)
    for node in core.up():
        core.deliver(node, events.Leave())
    core.run(0.5)
    leader = core.leader()
    assert leader is not None
    core.kill(leader.address, power=False)
    assert core.run(1.5, lambda: core.leader() is not None)
    check_progress(core, 1.0)
