"""Raft: recorded message exchanges, and properties that must hold under random faults."""

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
    check_progress,
    explore,
    format_output,
)

CONSTANT_TUNING = Tuning(heartbeat_interval_s=0.1, election_min_s=0.45, election_max_s=0.9)


class TakesLostIdentity(RaftNode):
    """Injected bug: an empty disk takes the identity of the lost one."""

    def __init__(self, config, *rest) -> None:
        super().__init__(config._replace(first_start=True), *rest)


class MajorityRestarted(ClusterRestart):
    """Injected bug: a restart of a majority counts as a restart of all members."""

    def all_members_restarted(self) -> bool:
        return self.replica.entry.has_quorum({*self.restarted_peers, self.replica.disk})


class IgnoresUnqueried(ClusterRestart):
    """Injected bug: a leader counts as the first one although not all members were queried."""

    def leaderless_since(self) -> float | None:
        return self.process_started_at if self.leaderless else None


class AnyIncarnation(ClusterRestart):
    """Injected bug: a response to an earlier incarnation counts."""

    def on_restarted(self, now, sender, message) -> None:
        self.incarnation = message.to_incarnation or self.incarnation
        super().on_restarted(now, sender, message)


class IgnoresPosition(Voter):
    """Injected bug: votes are granted to any candidate, however old its entry."""

    def on_pre_vote(self, sender, message, may_vote) -> None:
        message.last_term = 1 << 40
        super().on_pre_vote(sender, message, may_vote)

    def on_request_vote(self, sender, message) -> bool:
        message.last_term = 1 << 40
        return super().on_request_vote(sender, message)


class TrustsUnsynced(RaftNode):
    """Injected bug: data found on disk at startup counts as synced."""

    def __init__(self, config, stored, *rest) -> None:
        super().__init__(config, stored, *rest)
        self.replica.persisted = stored or self.replica.persisted


class ContactByHeartbeat(FollowerRole):
    """Injected bug: any heartbeat counts as quorum contact, even if no response reaches the leader."""

    def quorum_contact_until(self) -> float:
        self.confirmed_reply_at = self.last_heartbeat_at
        return super().quorum_contact_until()


class ContactWithoutEntry(FollowerRole):
    """Injected bug: a node without the newest entry claims quorum contact."""

    def quorum_contact_until(self) -> float:
        self.commit_position = LogPosition(0, 0)
        return super().quorum_contact_until()


def with_role(part: type[Any]) -> Any:
    def make(*args: Any) -> RaftNode:
        machine = RaftNode(*args)
        parts = machine.cluster_restart, machine.voter, machine.follower_role
        next(p for p in parts if issubclass(part, type(p))).__class__ = part
        return machine

    return make


CONTACT_BUGS = [with_role(ContactByHeartbeat), with_role(ContactWithoutEntry)]


def cluster_with_leader(
    count: int = 3, seed: int = 1, tolerance: int = 1
) -> tuple[ConsensusCluster, Node, list[Node]]:
    """A core with one committed value and constant delays; returns it with its leader and the other nodes."""
    core = ConsensusCluster(count, seed, tolerance, CONSTANT_TUNING)
    core.delay_s = (0.002, 0.002)
    for node in core.nodes.values():
        node.disk_s = (0.005, 0.005)
    check_progress(core, 5.0)
    leader = core.leader()
    return core, leader, [n for n in core.up() if n is not leader]


def outcome(core: ConsensusCluster, node: Node, expected: int, within: float = 2.0) -> str | None:
    token = core.propose(node, expected)
    core.run(within, lambda: token in core.outcomes)
    return core.outcomes.get(token)


def disk_by_address(core: ConsensusCluster) -> dict[str, str]:
    """The disk at each address according to the newest committed entry."""
    entry = max(
        (n.machine.committed_entry for n in core.up() if n.machine.committed_entry), key=lambda e: e.position
    )
    return {m.address: m.disk for m in entry.members}


@pytest.mark.parametrize(("count", "seeds"), [(3, 300), (5, 100)])
def test_random_faults(count: int, seeds: int) -> None:
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
        {"kind": TakesLostIdentity},
        {"kind": with_role(MajorityRestarted)},
        {"kind": with_role(IgnoresUnqueried)},
        {"kind": TrustsUnsynced},
        {"kind": with_role(IgnoresPosition)},
        *({"kind": kind} for kind in CONTACT_BUGS),
    ],
    ids=[
        "early ack",
        "wiped votes",
        "majority restarted",
        "ignores unqueried",
        "unsynced files",
        "ignores position",
        "contact by heartbeat",
        "contact without entry",
    ],
)
def test_injected_bugs_are_detected(fault: dict) -> None:
    for seed in range(400):
        try:
            explore(3, seed, **fault)
        except InvariantViolation as why:
            contact = fault.get("kind") in CONTACT_BUGS and "claims quorum contact" in str(why)
            if contact or re.search(
                "two values|the lease with an old version|two leaders hold the lease|"
                "there was no leader since|is lost",
                str(why),
            ):
                return
    pytest.fail("not found")


def test_first_start(snapshot: SnapshotAssertion) -> None:
    core = ConsensusCluster(3, 5, tuning=CONSTANT_TUNING)
    core.delay_s = (0.002, 0.002)
    log = core.record()
    core.run(2.0, lambda: core.leader() is not None)
    assert "\n".join(log) == snapshot


def test_restart_of_all_members(snapshot: SnapshotAssertion) -> None:
    core, _, _ = cluster_with_leader()
    for address in core.nodes:
        core.kill(address)
    log = core.record()
    for address in core.nodes:
        core.start(address)
    assert core.run(0.1, lambda: core.leader() is not None)
    assert "\n".join(log) == snapshot


def test_first_leader_after_a_cluster_restart_knows_leaderless_since() -> None:
    core, _, _ = cluster_with_leader()
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


def test_restart_of_all_members_but_the_leader() -> None:
    core, leader, others = cluster_with_leader()
    core.blocked = {(leader.address, o.address) for o in others}
    lease = leader.machine.leader_role.lease_until
    for o in others:
        core.kill(o.address)
        core.start(o.address)
    assert core.run(1.5, lambda: core.leader() in others) and core.now > lease


@pytest.mark.parametrize("part", [ClusterRestart, AnyIncarnation])
def test_responses_to_an_earlier_incarnation(part: type[ClusterRestart]) -> None:
    core, leader, _ = cluster_with_leader()
    for address in core.nodes:
        core.kill(address)
    sent: list[tuple[str, Send]] = []
    send_original, core.kind = core._send, with_role(part)
    core._send = lambda node, out: (sent.append((node.address, out)), send_original(node, out))  # type: ignore
    for address in core.nodes:
        core.start(address)
    assert core.run(0.2, lambda: core.leader() is not None)
    leader, core._send = core.leader(), send_original  # type: ignore[method-assign]
    others = [n for n in core.up() if n is not leader]
    core.blocked = {way for o in others for way in [(leader.address, o.address), (o.address, leader.address)]}
    for o in others:
        core.kill(o.address)
        core.start(o.address)
        for sender, out in sent:
            if (sender, out.to, out.message.kind) == (leader.address, o.address, pb.RESTARTED):
                core.deliver(o, events.Received(sender, out.message))
    if part is AnyIncarnation:
        with pytest.raises(InvariantViolation, match="two leaders|there was no leader since"):
            core.run(0.2)
    else:
        core.run(0.2)


def test_who_responds_to_a_restart_query() -> None:
    core, leader, (other, third) = cluster_with_leader()

    def responds_to_query(node: Node) -> bool:
        message = pb.Message(
            kind=pb.RESTARTED,
            disk=third.machine.replica.disk,
            to_disk=node.machine.replica.disk,
            incarnation=7,
        )
        return any(
            o.message.kind == pb.RESTARTED and o.message.to_incarnation == 7
            for o in node.machine.handle(core.now, events.Received(third.address, message))
        )

    assert not responds_to_query(leader) and not responds_to_query(other)
    core.kill(other.address)
    core.blocked = {(leader.address, other.address)}
    core.start(other.address)
    assert responds_to_query(other)
    core.run(1.0)
    assert responds_to_query(other)  # as long as it receives nothing from a leader
    core.blocked.clear()
    core.run(0.2)
    assert not responds_to_query(other)


def test_leader_that_removes_itself_has_no_lease() -> None:
    seeds = ["10.0.0.1:1", "10.0.0.2:1"]
    entry = bootstrap_entry(seeds)
    stored = PersistentState(
        "first-" + seeds[0], 1, "", entry._replace(members=entry.members[1:], outgoing=entry.members)
    )
    replica = Replica(seeds[0], stored, CONSTANT_TUNING, random.Random(1))
    replica.persisted = stored
    leader_role = LeaderRole(replica, 10.0, 0, ElectionTimer(replica, 10.0))

    def acknowledge(now: float) -> None:
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
    acknowledge(10.1)  # both voter sets hold its first entry, so it proceeds to the one without itself
    assert not replica.is_voter and leader_role.lease_until > 10.2 and not leader_role.has_leader_lease(10.2)


def test_a_proposal(snapshot: SnapshotAssertion) -> None:
    core, leader, _ = cluster_with_leader()
    log = core.record()
    assert outcome(core, leader, 1) == "committed"
    core.run(0.006)
    assert "\n".join(log) == snapshot


def test_member_returns_with_an_empty_disk(snapshot: SnapshotAssertion) -> None:
    core, _, others = cluster_with_leader()
    core.kill(others[0].address, wipe=True)
    core.run(0.6)
    log = core.record()
    core.start(others[0].address)
    core.run(1.0, lambda: others[0].committed_version == 1)
    quiet = [line for line in log if " HEARTBEAT " not in line and " APPEND_RESPONSE " not in line]
    assert "\n".join(quiet) == snapshot
    core.run(0.1)
    assert not disk_by_address(core)[others[0].address].startswith("first-")


def test_rejected_proposals() -> None:
    core, leader, others = cluster_with_leader()
    assert outcome(core, others[0], 1) == "rejected"  # not the leader
    assert outcome(core, leader, 0) == "rejected"  # based on an outdated version
    first, second = core.propose(leader, 1), core.propose(leader, 1)
    core.run(0.1)
    assert (core.outcomes[first], core.outcomes[second]) == ("committed", "rejected")


def test_proposal_waits_for_a_membership_change() -> None:
    core, leader, _ = cluster_with_leader()
    core.add("10.0.1.1:1")
    assert core.run(3.0, lambda: bool(leader.machine.replica.entry.outgoing))
    assert outcome(core, leader, 1) == "committed"
    assert len(disk_by_address(core)) == 4


def test_lost_leadership_makes_the_result_unknown() -> None:
    core, leader, others = cluster_with_leader()
    core.blocked = {(leader.address, o.address) for o in others}  # its messages are lost
    lost_proposal = core.propose(leader, 1)
    core.run(0.46)
    assert not leader.machine.has_leader_lease(core.now)
    assert core.run(3.0, lambda: core.leader() is not None)
    core.blocked.clear()
    assert outcome(core, core.leader(), 1) == "committed"
    assert core.outcomes[lost_proposal] == "unknown"
    assert b"v%d" % lost_proposal not in core.committed.values()


def test_pre_vote_protects_the_leader_from_a_partitioned_member() -> None:
    core, leader, others = cluster_with_leader()
    term = leader.machine.term
    core.blocked = {(leader.address, others[0].address)}
    core.run(3.5)
    assert others[0].machine.role == "candidate" and others[0].machine.leader is None
    core.blocked.clear()
    core.run(0.5)
    assert core.leader() is leader and leader.machine.term == term
    assert others[0].machine.leader == leader.address


def test_leader_with_a_stalled_disk_transfers_leadership() -> None:
    core, leader, others = cluster_with_leader()
    leader.disk_s = (5.0, 5.0)
    assert outcome(core, leader, 1) == "committed"  # on the disks of the two others
    gap = core.now
    assert core.run(2.0, lambda: core.leader() in others)
    assert 0.9 < core.now - gap < 1.3 and core.leader().machine.term == leader.machine.term
    assert outcome(core, core.leader(), 2) == "committed"


def test_full_disk_of_a_follower_does_not_block_commits() -> None:
    core, leader, others = cluster_with_leader()
    others[0].disk_fails = True
    assert outcome(core, leader, 1) == "committed"
    core.run(0.2)
    assert others[0].committed_version == 2 and others[0].synced.entry.version == 1
    others[0].disk_fails = False
    core.run(0.5)
    assert others[0].synced.entry.version == 2


def test_unsynced_data_of_a_killed_process_does_not_count() -> None:
    """A follower killed between writing and syncing must write the entry again before it counts as stored."""
    core, leader, others = cluster_with_leader()
    killed, away = others
    core.blocked = {(a, b) for a in core.nodes for b in core.nodes if away.address in (a, b)}
    killed.disk_s = (1.0, 1.0)
    token = core.propose(leader, 1)
    core.run(0.6)
    core.kill(killed.address, power=False)
    core.start(killed.address)
    core.run(0.4)
    assert killed.machine.replica.entry.version == 2 and token not in core.outcomes
    core.run(1.0, lambda: token in core.outcomes)
    assert core.outcomes[token] == "committed" and killed.synced.entry.version == 2


@pytest.mark.parametrize("how", ["cut", "killed", "wiped"])
def test_returning_member_catches_up_at_once(how: str) -> None:
    """Catching up must not depend on the leader's resend backoff or on the number of missed changes."""
    core, leader, (away, _) = cluster_with_leader()
    if how == "cut":
        core.blocked = {(a, b) for a in core.nodes for b in core.nodes if away.address in (a, b)}
    else:
        core.kill(away.address, wipe=how == "wiped")
    for version in range(1, 21):
        assert outcome(core, leader, version) == "committed"
    core.run(1.5 if how == "wiped" else 3.2)
    core.blocked.clear()
    if how != "cut":
        core.start(away.address)
    assert core.run(0.7 if how == "wiped" else 0.3, lambda: away.committed_version == 21)


def test_leaving() -> None:
    core, leader, others = cluster_with_leader(4)
    core.deliver(leader, events.Leave())
    assert core.run(0.1, lambda: core.leader() in others)
    assert core.run(2.0, lambda: leader.machine.has_left)
    core.run(2.0)
    assert leader.machine.role == "learner" and sorted(disk_by_address(core)) == sorted(
        o.address for o in others
    )


def test_replaced_member_rejoins_under_a_new_id() -> None:
    core, _, others = cluster_with_leader()
    core.kill(others[0].address)
    core.add("10.0.1.1:1")
    assert core.run(4.0, lambda: "10.0.1.1:1" in disk_by_address(core)) and others[
        0
    ].address not in disk_by_address(core)
    core.start(others[0].address)
    assert core.run(6.0, lambda: others[0].address in disk_by_address(core))
    assert not disk_by_address(core)[others[0].address].startswith("first-")


def test_permanently_lost_member_is_removed() -> None:
    core, _, others = cluster_with_leader(4)
    for node in others[:2]:
        core.kill(node.address)
        core.run(5.5)
        assert others[0].address not in disk_by_address(core) and len(disk_by_address(core)) == 3  # not fewer


def test_membership_change_needs_a_majority_of_the_old_members() -> None:
    core, leader, (apart, other) = cluster_with_leader()
    core.add("10.0.1.1:1")
    far = {apart.address, other.address}
    core.blocked = {(leader.address, apart.address), (apart.address, leader.address)}
    assert core.run(4.0, lambda: bool(leader.machine.replica.entry.outgoing))
    core.blocked |= {way for a in far for b in core.nodes if b not in far for way in [(a, b), (b, a)]}
    lost_proposal = core.propose(leader, 1)
    assert core.run(3.0, lambda: core.leader() in (apart, other))
    assert outcome(core, core.leader(), 1) == "committed" and core.outcomes.get(lost_proposal) != "committed"
    core.blocked.clear()
    check_progress(core, 5.0)


def test_when_a_vote_is_granted() -> None:
    seeds = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"]
    stored = PersistentState("first-" + seeds[0], 3, "", bootstrap_entry(seeds)._replace(term=2, log_index=7))
    config = RaftConfig(seeds[0], tuple(seeds), tuning=CONSTANT_TUNING)
    machine = RaftNode(config, stored, random.Random(1), "n", 10.0)
    assert [format_output(o) for o in machine.handle(10.0, events.KnownAddresses(()))] == [
        "writes first-10.0.0.1:1: term 3, vote none, entry (2, 7)"
    ]  # a killed process may have left it unsynced
    machine.handle(10.1, events.WriteCompleted(1))

    def request_vote(now: float, who: int, **fields: Any) -> list[str]:
        message = pb.Message(
            kind=pb.REQUEST_VOTE, disk="first-" + seeds[who], to_disk=stored.disk, last_term=2, **fields
        )
        return [format_output(o) for o in machine.handle(now, events.Received(seeds[who], message))]

    # It may have acknowledged a heartbeat just before it ended.
    assert request_vote(10.4, 1, term=4, last_index=7) == []
    assert request_vote(10.5, 1, term=4, last_index=6) == []  # outdated entry
    assert request_vote(10.5, 1, term=4, last_index=7) == [
        "writes first-10.0.0.1:1: term 4, vote first-10.0.0.2:1, entry (2, 7)"
    ]
    assert request_vote(10.5, 2, term=4, last_index=8) == []  # one vote per term
    assert [format_output(o) for o in machine.handle(10.6, events.WriteCompleted(2))] == [
        "to 10.0.0.2:1 VOTE_RESPONSE term=4 granted=True"
    ]
    request_vote(10.6, 1, term=4, last_index=7)
    machine.handle(
        10.7,
        events.Received(
            seeds[1], pb.Message(kind=pb.HEARTBEAT, disk="first-" + seeds[1], to_disk=stored.disk, term=4)
        ),
    )
    # Its vote is withheld after the recent heartbeat.
    assert request_vote(11.1, 2, term=5, last_index=8) == [] and machine.term == 4
    # The leader itself has requested this election.
    assert request_vote(11.1, 2, term=5, last_index=8, leadership_transfer=True) != []


MEMBERS = tuple(Member(x, f"{x}:1") for x in "abc")


@pytest.mark.parametrize(
    ("unresponsive", "learner", "waited", "after"),
    [
        ({}, Member("d", "d:1"), 0.5, None),  # another member may have just ended
        ({}, Member("d", "d:1"), 1.5, "abcd"),
        ({"c": 1.5}, Member("d", "d:1"), 1.5, None),  # will soon be replaced
        ({"c": 2.5}, Member("d", "d:1"), 0.5, "abd"),
        ({"c": 0.6}, Member("d", "c:1"), 0.1, "abd"),
        (
            {"c": 0.1},
            Member("d", "c:1"),
            9.0,
            None,
        ),  # the old disk still responds, so the request is outdated
        ({"b": 5.0, "c": 5.0}, Member("d", "d:1"), 0.5, None),  # no majority to commit the change
        ({"b": 5.0, "c": 5.0}, None, 0.0, None),
    ],
)
def test_next_members(unresponsive: dict, learner: Member | None, waited: float, after: str | None) -> None:
    others = {m.disk: MemberHealth(s := unresponsive.get(m.disk, 0.05), s <= 1.0, False) for m in MEMBERS[1:]}
    requests = [JoinRequest(learner, 10.0 - waited, 10.0)] if learner else []
    found = next_configuration(10.0, MEMBERS, others, requests, 1, Tuning())
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
def test_malformed_messages_are_dropped(messages: list) -> None:
    seeds = ["10.0.0.1:1", "10.0.0.2:1"]
    config = RaftConfig(seeds[0], tuple(seeds), first_start=True)
    machine = RaftNode(config, None, random.Random(1), "n", 0.0)
    for i, message in enumerate(messages):
        machine.handle(i * 0.3, events.Received(seeds[1], message))
        machine.handle(i * 0.3, events.Tick())
