"""Members that are told to end, one or all at once: somebody leads as long as a majority runs."""

from __future__ import annotations

import random
from functools import partial

import pytest

from gateway.consensus import events
from tests.gateway.consensus.consensus_cluster import ConsensusCluster, Node, finish

LONGEST_GAP_S = 0.9  # without a has_leader_lease leader: an election by members that leave, which stand late


def longest_gap(core: ConsensusCluster, seconds: float) -> float:
    """The longest time for which nobody was has_leader_lease to lead."""
    end, since, longest = core.now + seconds, core.now, 0.0
    while core.now < end:
        core.run(0.01)
        if core.leader() is not None:
            since = core.now
        longest = max(longest, core.now - since)
    return longest


def running(count: int, seed: int) -> tuple[ConsensusCluster, Node]:
    core = ConsensusCluster(count, seed)
    finish(core, 5.0)
    leader = core.leader()
    assert leader is not None
    return core, leader


@pytest.mark.parametrize("count", [3, 5])
def test_all_are_told_to_end_at_the_same_moment(count: int) -> None:
    for seed in range(20):
        core, _ = running(count, seed)
        for node in core.up():
            core.give(node, events.Leave())
        assert longest_gap(core, 3.0) < LONGEST_GAP_S
        for node in core.up():
            if node.machine.has_left:  # its process ends at once
                core.kill(node.address)
        assert len(core.up()) >= 3
        finish(core, 1.0)


def test_all_are_told_to_end_one_shortly_after_the_other() -> None:
    for seed in range(40):
        core, leader = running(3, seed)
        chance = random.Random(seed)
        order = [leader, *(node for node in core.up() if node is not leader)]
        for node in order:  # the leader first: it hands over to one that is told a moment later
            core.at(chance.uniform(0.0, 0.1), partial(core.give, node, events.Leave()))
        assert longest_gap(core, 3.0) < LONGEST_GAP_S
        finish(core, 1.0)


def test_a_leader_without_an_heir_hands_over_once_there_is_one() -> None:
    core, leader = running(3, 1)
    away, leaving = [node for node in core.up() if node is not leader]
    core.kill(away.address)
    core.run(1.0)
    core.give(leaving, events.Leave())
    core.run(0.2)
    core.give(leader, events.Leave())
    core.run(0.5)
    assert core.leader() is leader
    core.start(away.address)
    assert core.run(1.0, lambda: core.leader() is away)
    finish(core, 1.0)


def test_the_others_end_as_well_while_one_that_leaves_leads() -> None:
    core, leader = running(3, 2)
    for node in core.up():
        core.give(node, events.Leave())
    core.run(0.5)
    leader = core.leader()
    assert leader is not None
    core.kill(leader.address, power=False)
    assert core.run(1.5, lambda: core.leader() is not None)
    finish(core, 1.0)
