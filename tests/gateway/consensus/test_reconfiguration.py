"""Membership changes: which disk becomes a member and when, and faults during a change."""

from __future__ import annotations

import re
from typing import Any

import pytest

from gateway.consensus import events
from gateway.consensus.entry import Entry, LogPosition, Member
from gateway.consensus.leader import LeaderRole
from gateway.consensus.raft import RaftConfig, RaftNode
from tests.gateway.consensus.consensus_cluster import (
    ConsensusCluster,
    InvariantViolation,
    Node,
    check_progress,
)
from tests.gateway.consensus.test_raft import CONSTANT_TUNING, cluster_with_leader, disk_by_address, outcome


class CountsBeforeWrite(LeaderRole):
    """Injected bug: a learner is selected before it has the newest entry on disk."""

    def _update_learner(
        self, now: float, member: Member, last_position: LogPosition, durable_position: LogPosition
    ) -> None:
        super()._update_learner(now, member, last_position, self.replica.entry.position)


def with_leader_role(part: type[LeaderRole]) -> Any:
    class Machine(RaftNode):
        def _advance(self, now: float) -> None:
            super()._advance(now)
            if self.leader_role is not None:
                self.leader_role.__class__ = part

    return Machine


def add_learner(core: ConsensusCluster, address: str = "10.0.1.1:1", disk_s: float = 0.005) -> Node:
    """Add a node whose disk first stores its id and then takes `disk_s` per write."""
    core.add(address)
    node = core.nodes[address]
    core.run(1.0, lambda: node.synced is not None)
    node.disk_s = (disk_s, disk_s)
    return node


@pytest.mark.parametrize("part", [LeaderRole, CountsBeforeWrite])
def test_learner_joins_once_it_stores_the_newest_entry(part: type[LeaderRole]) -> None:
    core = ConsensusCluster(3, 1, tuning=CONSTANT_TUNING, kind=with_leader_role(part))
    check_progress(core, 5.0)
    slow = add_learner(core, disk_s=60.0)
    core.run(4.0)
    assert core.leader() is not None
    core.kill(core.leader().address, wipe=True)  # type: ignore[union-attr]
    has_leader = core.run(3.0, lambda: core.leader() is not None)
    assert has_leader == (part is LeaderRole) != (slow.address in disk_by_address(core))
    if has_leader:
        assert outcome(core, core.leader(), 1) == "committed"  # type: ignore[arg-type]


def test_learner_that_cannot_catch_up_does_not_block_others() -> None:
    core, _, others = cluster_with_leader()
    slow = add_learner(core, disk_s=60.0)
    core.run(0.1)
    add_learner(core, "10.0.1.2:1")
    core.kill(others[0].address, wipe=True)
    assert core.run(3.0, lambda: "10.0.1.2:1" in disk_by_address(core)) and others[
        0
    ].address not in disk_by_address(core)
    slow.disk_s = (0.005, 0.005)
    core.kill(slow.address)
    core.start(slow.address)
    assert core.run(3.0, lambda: slow.address in disk_by_address(core))


def test_learner_with_a_stalled_disk_is_not_sent_the_entry_again() -> None:
    core, leader, _ = cluster_with_leader()
    slow = add_learner(core, disk_s=60.0)
    core.run(1.0)
    log = core.record()
    core.run(4.0)
    assert slow.machine.replica.entry.version == 1 and slow.address not in disk_by_address(core)
    assert not [line for line in log if f"to {slow.address} APPEND_ENTRIES" in line]


def test_learner_restarts_with_its_stored_entry() -> None:
    core, leader, _ = cluster_with_leader()
    node = add_learner(core)
    assert core.run(0.5, lambda: node.synced.entry.version == 1)
    assert node.machine.role == "learner" and node.machine.members == () and node.committed_version == 0
    disk = node.synced.disk
    core.kill(node.address)
    assert outcome(core, leader, 1) == "committed"
    core.start(node.address)
    assert (
        core.run(3.0, lambda: node.address in disk_by_address(core))
        and disk_by_address(core)[node.address] == disk
    )
    check_progress(core, 3.0)


def test_continuous_proposals_do_not_delay_a_membership_change() -> None:
    core, leader, others = cluster_with_leader()
    core.kill(others[0].address, wipe=True)
    core.run(0.6)
    core.start(others[0].address)
    began, done = core.now, 0
    while disk_by_address(core)[others[0].address].startswith("first-") and core.now < began + 2.0:
        assert outcome(core, leader, leader.machine.committed_version) == "committed"
        done += 1
    assert core.now < began + 0.5 and done > 5


@pytest.mark.parametrize(("count", "dead"), [(4, 1), (6, 1), (6, 2)])
def test_even_core_removes_a_leaving_member_while_others_are_down(count: int, dead: int) -> None:
    core, leader, others = cluster_with_leader(count, tolerance=(count - 2) // 2)
    for node in others[:dead]:
        core.kill(node.address)
    core.run(1.2)
    core.deliver(others[-1], events.Leave())
    assert core.run(2.0, lambda: others[-1].machine.has_left) and len(disk_by_address(core)) == count - 1
    core.kill(others[-1].address, wipe=True)
    check_progress(core, 3.0)


def change_members(count: int) -> tuple[ConsensusCluster, Node]:
    """A core about to replace a lost disk at its old address; the next events belong to that change."""
    core, _, (node, *_) = cluster_with_leader(count, tolerance=(count - 1) // 2)
    core.kill(node.address, wipe=True)
    core.run(0.6)
    core.start(node.address)
    return core, node


def kill_at(count: int, event: int, who: str, wipe: bool, early: bool = False) -> bool:
    """Kill the leader, the learner or all nodes at an event of a change; True if the change had finished."""
    core, node = change_members(count)
    core.acknowledges_early = early
    leader, left = core.leader(), iter(range(event))
    assert leader is not None

    def order() -> None:
        if leader.machine is not None and not full():
            core.propose(leader, leader.machine.committed_version)
            core.at(0.02, order)

    def full() -> bool:
        known = leader.machine.committed_entry
        return not known.outgoing and node.synced is not None and known.has_voter(node.synced.disk)

    order()
    assert core.run(1.0, lambda: next(left, None) is None or full())
    done = full()
    killed = {"leader": [leader], "learner": [node], "all": core.up()}[who]
    for each in killed:
        core.kill(each.address, wipe)
    core.run(0.4)
    for each in killed:
        core.start(each.address)
    check_progress(core, 3.0)
    core.run(1.5)
    entry = core.leader().machine.replica.entry  # type: ignore[union-attr]
    assert not entry.outgoing and len(entry.members) == count
    assert {m.disk for m in entry.members} == {n.synced.disk for n in core.nodes.values()}
    return done


@pytest.mark.parametrize(
    ("count", "who", "wipe"),
    [
        (3, "leader", False),
        (5, "leader", True),
        (3, "learner", True),
        (3, "learner", False),
        (3, "all", False),
    ],
)
def test_kill_at_any_event_of_a_membership_change(count: int, who: str, wipe: bool) -> None:
    event = 1
    while not kill_at(count, event, who, wipe):
        event += 7
    assert event > 30


def test_early_acknowledgement_is_detected_during_a_membership_change() -> None:
    with pytest.raises(InvariantViolation, match="two values|is lost|the lease with an old version"):
        for event in range(1, 200):
            if kill_at(3, event, "all", wipe=False, early=True):
                break


def partition_at(event: int) -> bool:
    """Replace a leaving member; at an event, partition the leader and the learner from the other members."""
    core, leader, (other, old) = cluster_with_leader()
    new = add_learner(core)
    core.run(0.3)
    core.deliver(old, events.Leave())
    left = iter(range(event))
    core.run(2.0, lambda: next(left, None) is None)
    done = old.machine.has_left
    ours, theirs = {leader.address, new.address}, {other.address, old.address}
    core.blocked = {way for a in ours for b in theirs for way in ((a, b), (b, a))}
    core.propose(leader, leader.machine.committed_version)
    core.run(0.5)
    core.propose(leader, leader.machine.committed_version)
    core.run(2.0)
    for node in (other, old):
        core.propose(node, node.machine.committed_version)
    core.run(0.5)
    core.blocked.clear()
    core.kill(old.address, wipe=True)
    check_progress(core, 3.0)
    return done


@pytest.mark.parametrize("with_bug", [False, True])
def test_partition_at_any_event_of_a_replacement(monkeypatch: pytest.MonkeyPatch, with_bug: bool) -> None:
    if with_bug:  # injected bug: only the new members decide on the change
        monkeypatch.setattr(Entry, "_voter_sets", lambda entry: (entry.members,))
    event, broken = 1, []
    try:
        while not partition_at(event):
            event += 1
    except InvariantViolation as why:
        broken.append(str(why))
    if with_bug:
        assert broken and re.search("two values|went back|is lost|the lease with an old version", broken[0])
    else:
        assert not broken
    assert with_bug or event > 20


def test_uncommitted_membership_change() -> None:
    """A change that only the leader and the learner hold must not take effect later."""
    core, leader, others = cluster_with_leader()
    new = add_learner(core)
    core.run(0.9)
    core.blocked = {(leader.address, o.address) for o in others}
    assert core.run(0.5, lambda: new.synced.entry.has_voter(new.synced.disk))
    joint, disk = new.synced.entry, new.synced.disk
    assert joint.outgoing and not any(o.machine.replica.entry.outgoing for o in others)
    core.kill(leader.address)
    assert core.run(2.0, lambda: core.leader() in others)
    assert outcome(core, core.leader(), 1) == "committed"  # type: ignore[arg-type]
    core.blocked.clear()
    assert leader.synced.entry.position == joint.position
    core.start(leader.address)
    assert (
        core.run(4.0, lambda: new.address in disk_by_address(core))
        and disk_by_address(core)[new.address] != disk
    )
    check_progress(core, 3.0)
    assert (
        leader.committed_version == new.committed_version == 3
        and leader.synced.disk == disk_by_address(core)[leader.address]
    )


def partly_durable_cluster(durable_addresses: set[str], seed: int) -> ConsensusCluster:
    """A core at its first start, in which only one of three seeds has a durable disk."""

    def make_node(config: RaftConfig, *rest: Any) -> RaftNode:
        return RaftNode(config._replace(durable=config.address in durable_addresses), *rest)

    core = ConsensusCluster(3, seed, kind=make_node)
    for address in sorted(durable_addresses - {*core.nodes}):
        core.add(address)
    return core


def test_durable_disks_replace_non_durable_ones() -> None:
    for seed in range(10):
        core = partly_durable_cluster({"10.0.0.1:1", "10.0.1.1:1", "10.0.1.2:1"}, seed)
        others = {*core.seeds} - {"10.0.0.1:1"}
        core.add("10.0.2.1:1")  # another non-durable disk
        others.add("10.0.2.1:1")
        core.run(8.0)
        leader = core.leader()
        assert leader is not None and leader.address not in others
        assert outcome(core, leader, leader.machine.committed_version) == "committed"
        assert {m.address for m in leader.machine.members} == {*core.nodes} - others
        assert all(
            core.nodes[a].machine.leader == leader.address for a in others
        )  # the address that is reported to callers
        for address in others:  # any of them may be lost
            core.kill(address, wipe=True)
        check_progress(core, 2.0)
