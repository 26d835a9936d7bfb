"""The agreement: whole exchanges as approved, and what must hold whatever befalls a core."""

from __future__ import annotations

import random
import re
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from syrupy.assertion import SnapshotAssertion

from gateway.consensus import consensus_pb2 as pb
from gateway.consensus import events
from gateway.consensus.cluster_restart import ClusterRestart
from gateway.consensus.election_timer import ElectionTimer
from gateway.consensus.entry import LogPosition, Member, PersistentState, bootstrap_entry
from gateway.consensus.follower import FollowerRole
from gateway.consensus.leader import LeaderRole
from gateway.consensus.raft import RaftConfig, RaftNode
from gateway.consensus.reconfiguration import JoinRequest, MemberHealth, next_configuration
from gateway.consensus.replica import Replica
from gateway.consensus.tuning import Tuning
from gateway.consensus.voter import Voter
from gateway.state_machine import Send
from tests.gateway.consensus.consensus_cluster import (
    ConsensusCluster,
    InvariantViolation,
    Node,
    explore,
    finish,
    tell,
)

STEADY = Tuning(heartbeat_interval_s=0.1, election_min_s=0.45, election_max_s=0.9)


class Forgetful(RaftNode):
    """Planted fault: an empty disk takes itself for the one that was lost."""

    def __init__(self, config, *rest) -> None:
        super().__init__(config._replace(first_start=True), *rest)


class MostBegun(ClusterRestart):
    """Planted fault: it is enough that most have begun anew."""

    def all_members_restarted(self) -> bool:
        return self.replica.entry.has_quorum({*self.restarted_peers, self.replica.disk})


class AnyTerm(ClusterRestart):
    """Planted fault: it is the first to lead if it has heard of no other, whoever else it hasn't heard."""

    def leaderless_since(self) -> float | None:
        return self.process_started_at if self.leaderless else None


class AnyAnswer(ClusterRestart):
    """Planted fault: an answer to an earlier life counts."""

    def on_restarted(self, now, sender, message) -> None:
        self.incarnation = message.to_incarnation or self.incarnation
        super().on_restarted(now, sender, message)


class AnyPlace(Voter):
    """Planted fault: whoever asks has the vote, however old its entry."""

    def on_pre_vote(self, sender, message, may_vote) -> None:
        message.last_term = 1 << 40
        super().on_pre_vote(sender, message, may_vote)

    def on_request_vote(self, sender, message) -> bool:
        message.last_term = 1 << 40
        return super().on_request_vote(sender, message)


class Trusting(RaftNode):
    """Planted fault: what a start finds in the files counts as synced."""

    def __init__(self, config, stored, *rest) -> None:
        super().__init__(config, stored, *rest)
        self.replica.persisted = stored or self.replica.persisted


class Hearing(FollowerRole):
    """Planted fault: it is in touch while it hears a leader, though that may not hear it, or be sure."""

    def quorum_contact_until(self) -> float:
        self.confirmed_reply_at = self.last_heartbeat_at
        return super().quorum_contact_until()


class Lacking(FollowerRole):
    """Planted fault: it is in touch while it lacks the newest entry."""

    def quorum_contact_until(self) -> float:
        self.commit_position = LogPosition(0, 0)
        return super().quorum_contact_until()


def begins_as(part: type[Any]) -> Any:
    def make(*args: Any) -> RaftNode:
        machine = RaftNode(*args)
        parts = machine.cluster_restart, machine.voter, machine.follower_role
        next(p for p in parts if issubclass(part, type(p))).__class__ = part
        return machine

    return make


IN_TOUCH = [begins_as(Hearing), begins_as(Lacking)]


def settled(count: int = 3, seed: int = 1, tolerance: int = 1) -> tuple[ConsensusCluster, Node, list[Node]]:
    """A core with one value agreed on, even delays and disks; its leader and the others."""
    core = ConsensusCluster(count, seed, tolerance, STEADY)
    core.delay_s = (0.002, 0.002)
    for node in core.nodes.values():
        node.disk_s = (0.005, 0.005)
    finish(core, 5.0)
    leader = core.leader()
    return core, leader, [n for n in core.up() if n is not leader]


def outcome(core: ConsensusCluster, node: Node, expected: int, within: float = 2.0) -> str | None:
    token = core.propose(node, expected)
    core.run(within, lambda: token in core.outcomes)
    return core.outcomes.get(token)


def named(core: ConsensusCluster) -> dict[str, str]:
    """The disk of each address, by the newest entry that is agreed on."""
    entry = max(
        (n.machine.committed_entry for n in core.up() if n.machine.committed_entry), key=lambda e: e.position
    )
    return {m.address: m.disk for m in entry.members}


@pytest.mark.parametrize(("count", "seeds"), [(3, 300), (5, 100)])
def test_whatever_befalls_it(count: int, seeds: int) -> None:
    broken = []
    for seed in range(seeds):
        try:
            explore(count, seed)
        except InvariantViolation as why:
            broken.append(f"seed {seed}: {why}")
    assert not broken, "\n".join(broken)


@pytest.mark.parametrize(
    "fault",
    [
        {"early": True},
        {"kind": Forgetful},
        {"kind": begins_as(MostBegun)},
        {"kind": begins_as(AnyTerm)},
        {"kind": Trusting},
        {"kind": begins_as(AnyPlace)},
        *({"kind": kind} for kind in IN_TOUCH),
    ],
    ids=[
        "early ack",
        "wiped votes",
        "most have begun",
        "any term",
        "unsynced files",
        "any place",
        "hears",
        "lacks",
    ],
)
def test_planted_faults_are_found(fault: dict) -> None:
    for seed in range(400):
        try:
            explore(3, seed, **fault)
        except InvariantViolation as why:
            contact = fault.get("kind") in IN_TOUCH and "is in touch" in str(why)
            if contact or re.search(
                "two values|sure of an old version|two leaders are sure|" "nobody has led|is lost", str(why)
            ):
                return
    pytest.fail("not found")


def test_first_start(snapshot: SnapshotAssertion) -> None:
    core = ConsensusCluster(3, 5, tuning=STEADY)
    core.delay_s = (0.002, 0.002)
    log = core.record()
    core.run(2.0, lambda: core.leader() is not None)
    assert "\n".join(log) == snapshot


def test_all_begin_anew(snapshot: SnapshotAssertion) -> None:
    core, _, _ = settled()
    for address in core.nodes:
        core.kill(address)
    log = core.record()
    for address in core.nodes:
        core.start(address)
    assert core.run(0.1, lambda: core.leader() is not None)
    assert "\n".join(log) == snapshot


def test_the_first_leader_of_all_lives_knows_since_when_nobody_has_led() -> None:
    core, _, _ = settled()
    for address in core.nodes:
        core.kill(address)
    core.run(0.5)
    began = core.now
    for address in core.nodes:
        core.start(address)
    core.run(0.2, lambda: core.leader() is not None)
    leader = core.leader()
    assert leader is not None and began <= leader.machine.leaderless_since < began + 0.05
    core.kill(leader.address)
    core.run(2.0, lambda: core.leader() is not None)
    assert core.leader().machine.leaderless_since is None  # type: ignore[union-attr]


def test_all_but_the_leader_begin_anew() -> None:
    core, leader, others = settled()
    core.cut = {(leader.address, o.address) for o in others}
    lease = leader.machine.leader_role.lease_until
    for o in others:
        core.kill(o.address)
        core.start(o.address)
    assert core.run(1.5, lambda: core.leader() in others) and core.now > lease


@pytest.mark.parametrize("part", [ClusterRestart, AnyAnswer])
def test_answers_to_an_earlier_life(part: type[ClusterRestart]) -> None:
    core, leader, _ = settled()
    for address in core.nodes:
        core.kill(address)
    sent: list[tuple[str, Send]] = []
    send_original, core.kind = core._send, begins_as(part)
    core._send = lambda node, out: (sent.append((node.address, out)), send_original(node, out))  # type: ignore
    for address in core.nodes:
        core.start(address)
    assert core.run(0.2, lambda: core.leader() is not None)
    leader, core._send = core.leader(), send_original  # type: ignore[method-assign]
    others = [n for n in core.up() if n is not leader]
    core.cut = {way for o in others for way in [(leader.address, o.address), (o.address, leader.address)]}
    for o in others:
        core.kill(o.address)
        core.start(o.address)
        for sender, out in sent:
            if (sender, out.to, out.message.kind) == (leader.address, o.address, pb.RESTARTED):
                core.give(o, events.Received(sender, out.message))
    if part is AnyAnswer:
        with pytest.raises(InvariantViolation, match="two leaders|nobody has led"):
            core.run(0.2)
    else:
        core.run(0.2)


def test_who_says_that_it_has_begun_anew() -> None:
    core, leader, (other, lone) = settled()

    def asked(node: Node) -> bool:
        message = pb.Message(
            kind=pb.RESTARTED,
            disk=lone.machine.replica.disk,
            to_disk=node.machine.replica.disk,
            incarnation=7,
        )
        return any(
            o.message.kind == pb.RESTARTED and o.message.to_incarnation == 7
            for o in node.machine.handle(core.now, events.Received(lone.address, message))
        )

    assert not asked(leader) and not asked(other)
    core.kill(other.address)
    core.cut = {(leader.address, other.address)}
    core.start(other.address)
    assert asked(other)
    core.run(1.0)
    assert asked(other)  # as long as it hears no leader
    core.cut.clear()
    core.run(0.2)
    assert not asked(other)


def test_one_that_leads_itself_out_is_not_sure() -> None:
    seeds = ["10.0.0.1:1", "10.0.0.2:1"]
    entry = bootstrap_entry(seeds)
    stored = PersistentState(
        "first-" + seeds[0], 1, "", entry._replace(members=entry.members[1:], outgoing=entry.members)
    )
    replica = Replica(seeds[0], stored, STEADY, random.Random(1))
    replica.persisted = stored
    leader_role = LeaderRole(replica, 10.0, 0, ElectionTimer(replica, 10.0))

    def held(now: float) -> None:
        position = replica.entry.position
        leader_role.on_append_response(
            now,
            pb.Message(
                kind=pb.APPEND_RESPONSE,
                disk="first-" + seeds[1],
                sent_at=now,
                last_term=position[0],
                last_index=position[1],
                durable_term=position[0],
                durable_index=position[1],
            ),
        )

    replica.persisted = replica.persisted._replace(entry=replica.entry)
    held(10.1)  # both voter sets have what it began with: now without itself
    assert not replica.is_voter and leader_role.lease_until > 10.2 and not leader_role.has_leader_lease(10.2)


def test_a_proposal(snapshot: SnapshotAssertion) -> None:
    core, leader, _ = settled()
    log = core.record()
    assert outcome(core, leader, 1) == "committed"
    core.run(0.006)
    assert "\n".join(log) == snapshot


def test_an_empty_disk_comes_back(snapshot: SnapshotAssertion) -> None:
    core, _, others = settled()
    core.kill(others[0].address, wipe=True)
    core.run(0.6)
    log = core.record()
    core.start(others[0].address)
    core.run(1.0, lambda: others[0].heard == 1)
    quiet = [line for line in log if " HEARTBEAT " not in line and " APPEND_RESPONSE " not in line]
    assert "\n".join(quiet) == snapshot
    core.run(0.1)
    assert not named(core)[others[0].address].startswith("first-")


def test_what_is_refused() -> None:
    core, leader, others = settled()
    assert outcome(core, others[0], 1) == "rejected"  # not the leader
    assert outcome(core, leader, 0) == "rejected"  # builds on an older version
    first, second = core.propose(leader, 1), core.propose(leader, 1)
    core.run(0.1)
    assert (core.outcomes[first], core.outcomes[second]) == ("committed", "rejected")


def test_a_proposal_waits_for_a_change_of_members() -> None:
    core, leader, _ = settled()
    core.add("10.0.1.1:1")
    assert core.run(3.0, lambda: bool(leader.machine.replica.entry.outgoing))
    assert outcome(core, leader, 1) == "committed"
    assert len(named(core)) == 4


def test_lost_leadership_leaves_it_open() -> None:
    core, leader, others = settled()
    core.cut = {(leader.address, o.address) for o in others}  # its word no longer gets out
    lone = core.propose(leader, 1)
    core.run(0.46)
    assert not leader.machine.has_leader_lease(core.now)
    assert core.run(3.0, lambda: core.leader() is not None)
    core.cut.clear()
    assert outcome(core, core.leader(), 1) == "committed"
    assert core.outcomes[lone] == "unknown"
    assert b"v%d" % lone not in core.committed.values()


def test_one_who_does_not_hear_the_leader_unseats_nobody() -> None:
    core, leader, others = settled()
    term = leader.machine.term
    core.cut = {(leader.address, others[0].address)}
    core.run(3.5)
    assert others[0].machine.role == "candidate" and others[0].machine.leader is None
    core.cut.clear()
    core.run(0.5)
    assert core.leader() is leader and leader.machine.term == term
    assert others[0].machine.leader == leader.address


def test_a_leader_whose_disk_hangs_hands_over() -> None:
    core, leader, others = settled()
    leader.disk_s = (5.0, 5.0)
    assert outcome(core, leader, 1) == "committed"  # on the two others' disks
    gap = core.now
    assert core.run(2.0, lambda: core.leader() in others)
    assert 0.9 < core.now - gap < 1.3 and core.leader().machine.term == leader.machine.term
    assert outcome(core, core.leader(), 2) == "committed"


def test_a_full_disk_stops_nothing_else() -> None:
    core, leader, others = settled()
    others[0].disk_fails = True
    assert outcome(core, leader, 1) == "committed"
    core.run(0.2)
    assert others[0].heard == 2 and others[0].stored.entry.version == 1
    others[0].disk_fails = False
    core.run(0.5)
    assert others[0].stored.entry.version == 2


def test_what_a_killed_process_left_unsynced_does_not_count() -> None:
    """A follower is killed between writing and syncing, and starts again: it has yet to hold the entry."""
    core, leader, others = settled()
    killed, away = others
    core.cut = {(a, b) for a in core.nodes for b in core.nodes if away.address in (a, b)}
    killed.disk_s = (1.0, 1.0)
    token = core.propose(leader, 1)
    core.run(0.6)
    core.kill(killed.address, power=False)
    core.start(killed.address)
    core.run(0.4)
    assert killed.machine.replica.entry.version == 2 and token not in core.outcomes
    core.run(1.0, lambda: token in core.outcomes)
    assert core.outcomes[token] == "committed" and killed.stored.entry.version == 2


@pytest.mark.parametrize("how", ["cut", "killed", "wiped"])
def test_one_that_is_back_catches_up_at_once(how: str) -> None:
    """However long the leader has waited between two tries by then, and however much has changed."""
    core, leader, (away, _) = settled()
    if how == "cut":
        core.cut = {(a, b) for a in core.nodes for b in core.nodes if away.address in (a, b)}
    else:
        core.kill(away.address, wipe=how == "wiped")
    for version in range(1, 21):
        assert outcome(core, leader, version) == "committed"
    core.run(1.5 if how == "wiped" else 3.2)
    core.cut.clear()
    if how != "cut":
        core.start(away.address)
    assert core.run(0.7 if how == "wiped" else 0.3, lambda: away.heard == 21)


def test_leaving() -> None:
    core, leader, others = settled(4)
    core.give(leader, events.Leave())
    assert core.run(0.1, lambda: core.leader() in others)
    assert core.run(2.0, lambda: leader.machine.has_left)
    core.run(2.0)
    assert leader.machine.role == "learner" and sorted(named(core)) == sorted(o.address for o in others)


def test_one_who_was_replaced_comes_back_as_another() -> None:
    core, _, others = settled()
    core.kill(others[0].address)
    core.add("10.0.1.1:1")
    assert core.run(4.0, lambda: "10.0.1.1:1" in named(core)) and others[0].address not in named(core)
    core.start(others[0].address)
    assert core.run(6.0, lambda: others[0].address in named(core))
    assert not named(core)[others[0].address].startswith("first-")


def test_a_member_that_is_gone_for_good() -> None:
    core, _, others = settled(4)
    for node in others[:2]:
        core.kill(node.address)
        core.run(5.5)
        assert others[0].address not in named(core) and len(named(core)) == 3  # no fewer


def test_a_change_of_members_needs_the_old_ones_too() -> None:
    core, leader, (apart, other) = settled()
    core.add("10.0.1.1:1")
    far = {apart.address, other.address}
    core.cut = {(leader.address, apart.address), (apart.address, leader.address)}
    assert core.run(4.0, lambda: bool(leader.machine.replica.entry.outgoing))
    core.cut |= {way for a in far for b in core.nodes if b not in far for way in [(a, b), (b, a)]}
    lone = core.propose(leader, 1)
    assert core.run(3.0, lambda: core.leader() in (apart, other))
    assert outcome(core, core.leader(), 1) == "committed" and core.outcomes.get(lone) != "committed"
    core.cut.clear()
    finish(core, 5.0)


def test_when_a_vote_is_given() -> None:
    seeds = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"]
    stored = PersistentState("first-" + seeds[0], 3, "", bootstrap_entry(seeds)._replace(term=2, log_index=7))
    config = RaftConfig(seeds[0], tuple(seeds), tuning=STEADY)
    machine = RaftNode(config, stored, random.Random(1), "n", 10.0)
    assert [tell(o) for o in machine.handle(10.0, events.KnownAddresses(()))] == [
        "writes first-10.0.0.1:1: term 3, vote none, entry (2, 7)"
    ]  # a kill may have left it unsynced
    machine.handle(10.1, events.WriteCompleted(1))

    def asked(now: float, who: int, **fields: Any) -> list[str]:
        message = pb.Message(
            kind=pb.REQUEST_VOTE, disk="first-" + seeds[who], to_disk=stored.disk, last_term=2, **fields
        )
        return [tell(o) for o in machine.handle(now, events.Received(seeds[who], message))]

    assert asked(10.4, 1, term=4, last_index=7) == []  # it may have told a leader just before its end
    assert asked(10.5, 1, term=4, last_index=6) == []  # behind
    assert asked(10.5, 1, term=4, last_index=7) == [
        "writes first-10.0.0.1:1: term 4, vote first-10.0.0.2:1, entry (2, 7)"
    ]
    assert asked(10.5, 2, term=4, last_index=8) == []  # one vote a term
    assert [tell(o) for o in machine.handle(10.6, events.WriteCompleted(2))] == [
        "to 10.0.0.2:1 VOTE_RESPONSE term=4 granted=True"
    ]
    asked(10.6, 1, term=4, last_index=7)
    machine.handle(
        10.7,
        events.Received(
            seeds[1], pb.Message(kind=pb.HEARTBEAT, disk="first-" + seeds[1], to_disk=stored.disk, term=4)
        ),
    )
    assert asked(11.1, 2, term=5, last_index=8) == [] and machine.term == 4  # the leader was just heard
    assert asked(11.1, 2, term=5, last_index=8, leadership_transfer=True) != []  # and has asked for it


MEMBERS = tuple(Member(x, f"{x}:1") for x in "abc")


@pytest.mark.parametrize(
    ("silent", "learner", "waited", "after"),
    [
        ({}, Member("d", "d:1"), 0.5, None),  # perhaps another has just ended
        ({}, Member("d", "d:1"), 1.5, "abcd"),
        ({"c": 1.5}, Member("d", "d:1"), 1.5, None),  # soon to be replaced
        ({"c": 2.5}, Member("d", "d:1"), 0.5, "abd"),
        ({"c": 0.6}, Member("d", "c:1"), 0.1, "abd"),
        ({"c": 0.1}, Member("d", "c:1"), 9.0, None),  # it is still there: an old note
        ({"b": 5.0, "c": 5.0}, Member("d", "d:1"), 0.5, None),  # no majority to agree on it
        ({"b": 5.0, "c": 5.0}, None, 0.0, None),
    ],
)
def test_next_members(silent: dict, learner: Member | None, waited: float, after: str | None) -> None:
    others = {m.disk: MemberHealth(s := silent.get(m.disk, 0.05), s <= 1.0, False) for m in MEMBERS[1:]}
    askers = [JoinRequest(learner, 10.0 - waited, 10.0)] if learner else []
    found = next_configuration(10.0, MEMBERS, others, askers, 1, Tuning())
    assert (found and sorted(m.disk for m in found)) == (after and sorted(after))


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.lists(
        st.builds(
            pb.Message,
            kind=st.integers(0, 14),
            disk=st.sampled_from(["", "first-10.0.0.2:1", "x"]),
            to_disk=st.sampled_from(["", "first-10.0.0.1:1", "y"]),
            term=st.integers(0, 2**64 - 1),
            last_term=st.integers(0, 9),
            last_index=st.integers(0, 9),
            commit_index=st.integers(0, 9),
            sent_at=st.floats(),
            granted=st.booleans(),
            leadership_transfer=st.booleans(),
            leader=st.sampled_from(["", "10.0.0.9:1"]),
            entry=st.builds(
                pb.Entry,
                term=st.integers(0, 3),
                index=st.integers(0, 3),
                members=st.lists(st.builds(pb.Member, disk=st.sampled_from(["", "x"])), max_size=2),
            ),
            members=st.lists(st.builds(pb.Member), max_size=20),
        ),
        max_size=8,
    )
)
def test_odd_notes_are_dropped(notes: list) -> None:
    seeds = ["10.0.0.1:1", "10.0.0.2:1"]
    config = RaftConfig(seeds[0], tuple(seeds), first_start=True)
    machine = RaftNode(config, None, random.Random(1), "n", 0.0)
    for i, message in enumerate(notes):
        machine.handle(i * 0.3, events.Received(seeds[1], message))
        machine.handle(i * 0.3, events.Tick())
