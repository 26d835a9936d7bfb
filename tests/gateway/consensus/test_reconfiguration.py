"""Changes of members: who is made one and when, and what may be lost meanwhile."""

from __future__ import annotations

import re
from typing import Any

import pytest

from gateway.consensus import events
from gateway.consensus.entry import Entry, LogPosition, Member
from gateway.consensus.leader import LeaderRole
from gateway.consensus.raft import RaftConfig, RaftNode
from tests.gateway.consensus.consensus_cluster import ConsensusCluster, InvariantViolation, Node, finish
from tests.gateway.consensus.test_raft import STEADY, named, outcome, settled


class CountsAtOnce(LeaderRole):
    """Planted fault: a newcomer is chosen before it has the newest entry on disk."""

    def _update_learner(
        self, now: float, member: Member, last_position: LogPosition, durable_position: LogPosition
    ) -> None:
        super()._update_learner(now, member, last_position, self.replica.entry.position)


def leads_as(part: type[LeaderRole]) -> Any:
    class Machine(RaftNode):
        def _advance(self, now: float) -> None:
            super()._advance(now)
            if self.leader_role is not None:
                self.leader_role.__class__ = part

    return Machine


def newcomer(core: ConsensusCluster, address: str = "10.0.1.1:1", disk_s: float = 0.005) -> Node:
    """A machine whose disk takes its name, and then needs so long for each write."""
    core.add(address)
    node = core.nodes[address]
    core.run(1.0, lambda: node.stored is not None)
    node.disk_s = (disk_s, disk_s)
    return node


@pytest.mark.parametrize("part", [LeaderRole, CountsAtOnce])
def test_a_newcomer_counts_once_it_holds_the_newest_entry(part: type[LeaderRole]) -> None:
    core = ConsensusCluster(3, 1, tuning=STEADY, kind=leads_as(part))
    finish(core, 5.0)
    late = newcomer(core, disk_s=60.0)
    core.run(4.0)
    assert core.leader() is not None
    core.kill(core.leader().address, wipe=True)  # type: ignore[union-attr]
    goes_on = core.run(3.0, lambda: core.leader() is not None)
    assert goes_on == (part is LeaderRole) != (late.address in named(core))
    if goes_on:
        assert outcome(core, core.leader(), 1) == "committed"  # type: ignore[arg-type]


def test_one_that_cannot_catch_up_holds_up_nobody() -> None:
    core, _, others = settled()
    late = newcomer(core, disk_s=60.0)
    core.run(0.1)
    newcomer(core, "10.0.1.2:1")
    core.kill(others[0].address, wipe=True)
    assert core.run(3.0, lambda: "10.0.1.2:1" in named(core)) and others[0].address not in named(core)
    late.disk_s = (0.005, 0.005)
    core.kill(late.address)
    core.start(late.address)
    assert core.run(3.0, lambda: late.address in named(core))


def test_one_whose_disk_hangs_is_not_sent_the_same_again() -> None:
    core, leader, _ = settled()
    late = newcomer(core, disk_s=60.0)
    core.run(1.0)
    log = core.record()
    core.run(4.0)
    assert late.machine.replica.entry.version == 1 and late.address not in named(core)
    assert not [line for line in log if f"to {late.address} APPEND_ENTRIES" in line]


def test_a_learner_restarts_with_what_it_has() -> None:
    core, leader, _ = settled()
    node = newcomer(core)
    assert core.run(0.5, lambda: node.stored.entry.version == 1)
    assert node.machine.role == "learner" and node.machine.members == () and node.heard == 0
    disk = node.stored.disk
    core.kill(node.address)
    assert outcome(core, leader, 1) == "committed"
    core.start(node.address)
    assert core.run(3.0, lambda: node.address in named(core)) and named(core)[node.address] == disk
    finish(core, 3.0)


def test_orders_without_a_pause_do_not_hold_up_a_change_of_members() -> None:
    core, leader, others = settled()
    core.kill(others[0].address, wipe=True)
    core.run(0.6)
    core.start(others[0].address)
    began, done = core.now, 0
    while named(core)[others[0].address].startswith("first-") and core.now < began + 2.0:
        assert outcome(core, leader, leader.machine.committed_version) == "committed"
        done += 1
    assert core.now < began + 0.5 and done > 5


@pytest.mark.parametrize(("count", "dead"), [(4, 1), (6, 1), (6, 2)])
def test_an_even_core_lets_go_of_one_that_leaves_while_others_are_away(count: int, dead: int) -> None:
    core, leader, others = settled(count, tolerance=(count - 2) // 2)
    for node in others[:dead]:
        core.kill(node.address)
    core.run(1.2)
    core.give(others[-1], events.Leave())
    assert core.run(2.0, lambda: others[-1].machine.has_left) and len(named(core)) == count - 1
    core.kill(others[-1].address, wipe=True)
    finish(core, 3.0)


def change_members(count: int) -> tuple[ConsensusCluster, Node]:
    """A core about to replace a lost disk at its old address: the next events are of that."""
    core, _, (node, *_) = settled(count, tolerance=(count - 1) // 2)
    core.kill(node.address, wipe=True)
    core.run(0.6)
    core.start(node.address)
    return core, node


def strike_at(count: int, event: int, who: str, wipe: bool, early: bool = False) -> bool:
    """The leader, the newcomer or all end at that event of a change; True if the change is over by then."""
    core, node = change_members(count)
    core.early = early
    leader, left = core.leader(), iter(range(event))
    assert leader is not None

    def order() -> None:
        if leader.machine is not None and not full():
            core.propose(leader, leader.machine.committed_version)
            core.at(0.02, order)

    def full() -> bool:
        known = leader.machine.committed_entry
        return not known.outgoing and node.stored is not None and known.has_voter(node.stored.disk)

    order()
    assert core.run(1.0, lambda: next(left, None) is None or full())
    done = full()
    struck = {"leader": [leader], "newcomer": [node], "all": core.up()}[who]
    for each in struck:
        core.kill(each.address, wipe)
    core.run(0.4)
    for each in struck:
        core.start(each.address)
    finish(core, 3.0)
    core.run(1.5)
    entry = core.leader().machine.replica.entry  # type: ignore[union-attr]
    assert not entry.outgoing and len(entry.members) == count
    assert {m.disk for m in entry.members} == {n.stored.disk for n in core.nodes.values()}
    return done


@pytest.mark.parametrize(
    ("count", "who", "wipe"),
    [
        (3, "leader", False),
        (5, "leader", True),
        (3, "newcomer", True),
        (3, "newcomer", False),
        (3, "all", False),
    ],
)
def test_ends_at_any_instant_of_a_change(count: int, who: str, wipe: bool) -> None:
    event = 1
    while not strike_at(count, event, who, wipe):
        event += 7
    assert event > 30


def test_acknowledged_before_it_is_on_disk_is_found_at_some_instant_of_a_change() -> None:
    with pytest.raises(InvariantViolation, match="two values|is lost|sure of an old version"):
        for event in range(1, 200):
            if strike_at(3, event, "all", wipe=False, early=True):
                break


def cut_at(event: int) -> bool:
    """A leaving member is replaced; at that event the leader and the newcomer are cut off from the others."""
    core, leader, (other, old) = settled()
    new = newcomer(core)
    core.run(0.3)
    core.give(old, events.Leave())
    left = iter(range(event))
    core.run(2.0, lambda: next(left, None) is None)
    done = old.machine.has_left
    ours, theirs = {leader.address, new.address}, {other.address, old.address}
    core.cut = {way for a in ours for b in theirs for way in ((a, b), (b, a))}
    core.propose(leader, leader.machine.committed_version)
    core.run(0.5)
    core.propose(leader, leader.machine.committed_version)
    core.run(2.0)
    for node in (other, old):
        core.propose(node, node.machine.committed_version)
    core.run(0.5)
    core.cut.clear()
    core.kill(old.address, wipe=True)
    finish(core, 3.0)
    return done


@pytest.mark.parametrize("planted", [False, True])
def test_a_core_cut_in_two_at_any_instant_of_a_replacement(
    monkeypatch: pytest.MonkeyPatch, planted: bool
) -> None:
    if planted:  # fault: the members after the change decide on it alone
        monkeypatch.setattr(Entry, "_voter_sets", lambda entry: (entry.members,))
    event, broken = 1, []
    try:
        while not cut_at(event):
            event += 1
    except InvariantViolation as why:
        broken.append(str(why))
    if planted:
        assert broken and re.search("two values|goes back|is lost|sure of an old version", broken[0])
    else:
        assert not broken
    assert planted or event > 20


def test_a_change_that_was_never_committed() -> None:
    """The leader and the newcomer alone hold it; the others go on without it, and neither brings it back."""
    core, leader, others = settled()
    new = newcomer(core)
    core.run(0.9)
    core.cut = {(leader.address, o.address) for o in others}
    assert core.run(0.5, lambda: new.stored.entry.has_voter(new.stored.disk))
    joint, disk = new.stored.entry, new.stored.disk
    assert joint.outgoing and not any(o.machine.replica.entry.outgoing for o in others)
    core.kill(leader.address)
    assert core.run(2.0, lambda: core.leader() in others)
    assert outcome(core, core.leader(), 1) == "committed"  # type: ignore[arg-type]
    core.cut.clear()
    assert leader.stored.entry.position == joint.position
    core.start(leader.address)
    assert core.run(4.0, lambda: new.address in named(core)) and named(core)[new.address] != disk
    finish(core, 3.0)
    assert leader.heard == new.heard == 3 and leader.stored.disk == named(core)[leader.address]


def of_two_kinds(lasting: set[str], seed: int) -> ConsensusCluster:
    """A core at its first start, two of its three seeds on machines whose disks end with their processes."""

    def begin(config: RaftConfig, *rest: Any) -> RaftNode:
        return RaftNode(config._replace(durable=config.address in lasting), *rest)

    core = ConsensusCluster(3, seed, kind=begin)
    for address in sorted(lasting - {*core.nodes}):
        core.add(address)
    return core


def test_disks_that_do_not_last_give_way_to_those_that_do() -> None:
    for seed in range(10):
        core = of_two_kinds({"10.0.0.1:1", "10.0.1.1:1", "10.0.1.2:1"}, seed)
        others = {*core.seeds} - {"10.0.0.1:1"}
        core.add("10.0.2.1:1")  # a further one that doesn't last
        others.add("10.0.2.1:1")
        core.run(8.0)
        leader = core.leader()
        assert leader is not None and leader.address not in others
        assert outcome(core, leader, leader.machine.committed_version) == "committed"
        assert {m.address for m in leader.machine.members} == {*core.nodes} - others
        assert all(core.nodes[a].machine.leader == leader.address for a in others)  # named to callers
        for address in others:  # any number of them may go
            core.kill(address, wipe=True)
        finish(core, 2.0)
