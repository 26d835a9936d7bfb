"""A simulated consensus cluster: nodes, their disks and network links, with random or scripted faults."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Any

from gateway.consensus import consensus_pb2 as pb
from gateway.consensus import events, outputs
from gateway.consensus.codec import get_entry
from gateway.consensus.entry import PersistentState
from gateway.consensus.raft import RaftConfig, RaftNode
from gateway.consensus.tuning import Tuning
from gateway.state_machine import Send

TICK_S = 0.025


class InvariantViolation(AssertionError):
    """A safety or liveness property of consensus was violated."""


class Node:
    """A process at an address, and its disk."""

    def __init__(self, address: str) -> None:
        self.address, self.machine, self.incarnation = address, None, 0
        self.written: PersistentState | None = None  # loaded at the next start of the process
        self.synced: PersistentState | None = None  # synced, so it survives a power loss too
        self.committed_version = 0  # newest version reported as committed in this incarnation
        self.disk_s = (0.002, 0.01)
        self.disk_fails = False
        self.frozen_until = 0.0  # the process does not run before this time


class ConsensusCluster:
    """Simulated nodes whose outputs are checked; `acknowledged` and `committed` map versions to values."""

    def __init__(
        self,
        count: int,
        seed: int,
        tolerance: int = 1,
        tuning: Tuning | None = None,
        kind: Callable[..., RaftNode] = RaftNode,
    ) -> None:
        self.tuning = tuning or Tuning()
        self.rng, self.kind, self.tolerance = random.Random(seed), kind, tolerance
        self.now, self.order, self.events = 100.0, 0, []
        self.loss = self.duplication = 0.0
        self.delay_s = (0.001, 0.02)
        self.blocked: set[tuple[str, str]] = set()
        self.committed: dict[int, bytes] = {}
        self.acknowledged: dict[int, bytes] = {}
        self.acknowledged_at: dict[int, float] = {}
        self.proposals: dict[int, tuple[bytes, int]] = {}
        self.outcomes: dict[int, str] = {}
        # By process incarnation: when it last held the leader lease.
        self.lease_held_at: dict[tuple[str, int], float] = {}
        self.lost_disks: dict[str, float] = {}  # permanently lost disks, and when they were lost
        self.unsynced_is_lost = False  # a power loss always discards unsynced data, not only at random
        self.acknowledges_early = False  # injected bug: a write is reported as durable before it is on disk
        self.log: list[str] | None = None  # outputs, if they are recorded
        self.log_from = 0.0
        self.nodes: dict[str, Node] = {}
        self.seeds = [f"10.0.0.{i + 1}:1" for i in range(count)]
        for address in self.seeds:
            self.add(address, fresh=True)

    def at(self, delay: float, act: Callable[[], None]) -> None:
        self.order += 1
        heapq.heappush(self.events, (self.now + delay, self.order, act))

    def run(self, seconds: float, until: Callable[[], bool] = lambda: False) -> bool:
        """Advance the simulation; returns True as soon as `until` holds."""
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, act = heapq.heappop(self.events)
            act()
            if until():
                return True
        self.now = end
        return False

    def add(self, address: str, fresh: bool = False) -> None:
        self.nodes[address] = Node(address)
        self.start(address, fresh)

    def start(self, address: str, fresh: bool = False) -> None:
        node = self.nodes[address]
        node.incarnation, node.committed_version = node.incarnation + 1, 0
        node.machine = self.kind(
            RaftConfig(address, tuple(self.seeds), fresh, self.tolerance, tuning=self.tuning),
            node.written,
            random.Random(self.rng.random()),
            f"{self.rng.getrandbits(32):08x}",
            self.now,
        )
        self._tick(node, node.incarnation)

    def kill(self, address: str, wipe: bool = False, power: bool = True) -> None:
        """End the process. A power loss may discard unsynced data; `wipe` discards the disk."""
        node = self.nodes[address]
        if wipe:
            for disk in {x.disk for x in (node.written, node.machine and node.machine.replica) if x}:
                self.lost_disks[disk] = self.now
            node.written = node.synced = None
        elif power and node.written is not node.synced and (self.unsynced_is_lost or self.rng.random() < 0.5):
            node.written = node.synced
        node.machine, node.incarnation, node.frozen_until = None, node.incarnation + 1, 0.0

    def up(self) -> list[Node]:
        return [n for n in self.nodes.values() if n.machine is not None]

    def record(self) -> list[str]:
        """Record all further outputs, one per line."""
        self.log, self.log_from = [], self.now
        return self.log

    def leader(self) -> Node | None:
        """The node that holds the leader lease."""
        return next((n for n in self.up() if n.machine.has_leader_lease(self.now)), None)

    def propose(self, node: Node, expected: int) -> int:
        token = len(self.proposals) + 1
        self.proposals[token] = (b"v%d" % token, expected)
        self.deliver(node, events.Propose(token, *self.proposals[token]))
        return token

    def deliver(self, node: Node, event: Any) -> None:
        """Pass an event to a node and carry out its outputs, delayed until the node is no longer frozen."""
        if self.now < node.frozen_until:
            incarnation = node.incarnation
            self.at(
                node.frozen_until - self.now,
                lambda: node.incarnation == incarnation and self.deliver(node, event),
            )
            return
        self._check_contact(node)
        for output in node.machine.handle(self.now, event):
            if self.log is not None:
                self.log.append(f"{self.now - self.log_from:.3f} {node.address} {format_output(output)}")
            if isinstance(output, Send):
                self._send(node, output)
            elif isinstance(output, outputs.Write):
                self._write(node, output)
            elif isinstance(output, outputs.Committed):
                self._committed(node, output)
            else:
                self._proposed(output)

    def _tick(self, node: Node, incarnation: int) -> None:
        if node.incarnation == incarnation and node.machine is not None:
            if self.now >= node.frozen_until:
                self.deliver(node, events.Tick())
                self._check_lease(node)
            self.at(TICK_S * self.rng.uniform(0.9, 1.5), lambda: self._tick(node, incarnation))

    def _send(self, node: Node, output: Send) -> None:
        for _ in range(1 + (self.rng.random() < self.duplication)):
            if self.rng.random() >= self.loss and (node.address, output.to) not in self.blocked:
                slow = 20 if self.rng.random() < self.duplication else 1
                self.at(slow * self.rng.uniform(*self.delay_s), lambda: self._arrive(node.address, output))

    def _arrive(self, sender: str, output: Send) -> None:
        node = self.nodes.get(output.to)
        if node is not None and node.machine is not None and (sender, output.to) not in self.blocked:
            self.deliver(node, events.Received(sender, output.message))

    def _write(self, node: Node, write: outputs.Write) -> None:
        incarnation, fails = node.incarnation, node.disk_fails

        def put() -> None:
            if node.incarnation == incarnation and not fails:
                node.written = write.record

        def check_progress() -> None:
            if node.incarnation != incarnation:
                return
            if not fails:
                node.written = node.synced = write.record
            if not self.acknowledges_early:
                self.deliver(
                    node,
                    events.WriteFailed(write.token, "full") if fails else events.WriteCompleted(write.token),
                )

        takes = self.rng.uniform(*node.disk_s)
        self.at(takes / 2, put)
        self.at(takes, check_progress)
        if self.acknowledges_early:
            self.at(
                0.0,
                lambda: node.incarnation == incarnation
                and self.deliver(node, events.WriteCompleted(write.token)),
            )

    def _committed(self, node: Node, output: outputs.Committed) -> None:
        if output.version <= node.committed_version:
            raise InvariantViolation(
                f"{node.address} went back from {node.committed_version} to {output.version}"
            )
        node.committed_version = output.version
        if self.committed.setdefault(output.version, output.value) != output.value:
            raise InvariantViolation(f"two values of version {output.version}")
        refused = {self.proposals[t][0] for t, outcome in self.outcomes.items() if outcome == "rejected"}
        if output.value in refused:
            raise InvariantViolation(f"{output.value!r} was rejected and is committed")

    def _proposed(self, output: outputs.Proposed) -> None:
        if output.token in self.outcomes:
            raise InvariantViolation(f"proposal {output.token} has two results")
        self.outcomes[output.token] = output.outcome
        value, expected = self.proposals[output.token]
        if output.outcome == "committed":
            if (
                self.acknowledged.setdefault(expected + 1, value) != value
                or self.committed.get(expected + 1) != value
            ):
                raise InvariantViolation(f"{value!r} was acknowledged but is not version {expected + 1}")
            self.acknowledged_at.setdefault(expected + 1, self.now)
        elif output.outcome == "rejected" and value in self.committed.values():
            raise InvariantViolation(f"{value!r} is committed and gets rejected")

    def _check_contact(self, node: Node) -> None:
        """A node in quorum contact must have every change acknowledged before its contact period began.

        This is checked before each event, so a process that resumes after a freeze must not claim contact.
        """
        until = node.machine.quorum_contact_until()
        since = until - self.tuning.election_max_s * node.machine.timer.requested_scale
        newest = max((v for v, at in self.acknowledged_at.items() if at <= since), default=0)
        if self.now < until and node.machine.committed_version < newest:
            if node.machine.has_leader_lease(self.now):
                raise InvariantViolation(f"{node.address} holds the lease with an old version")
            raise InvariantViolation(
                f"{node.address} claims quorum contact but has version"
                f" {node.machine.committed_version}, not {newest}"
            )

    def _check_lease(self, node: Node) -> None:
        if node.machine.has_leader_lease(self.now):
            self.lease_held_at[node.address, node.incarnation] = self.now
            since = node.machine.leaderless_since
            if since is not None and any(
                until > since
                for who, until in self.lease_held_at.items()
                if who != (node.address, node.incarnation)
            ):
                raise InvariantViolation(f"{node.address} claims that there was no leader since {since:.3f}")
            if node.machine.committed_version < max(self.acknowledged, default=0):
                raise InvariantViolation(f"{node.address} holds the lease with an old version")
            if any(o is not node and o.machine.has_leader_lease(self.now) for o in self.up()):
                raise InvariantViolation("two leaders hold the lease")


class FaultInjector:
    """Injects random faults, without losing more disks at once than the core tolerates."""

    def __init__(self, core: ConsensusCluster, rng: random.Random) -> None:
        self.core, self.rng = core, rng
        core.loss, core.duplication = rng.choice([0, 0.02, 0.2]), rng.choice([0, 0.05, 0.2])
        core.delay_s = rng.choice([(0.001, 0.003), (0.001, 0.035), (0.01, 0.1)])
        self.over = False
        self.storm = rng.random() < 0.4  # many faults at short intervals

    def inject_random_faults(self) -> None:
        """Inject a series of faults with short recovery periods in between."""
        for _ in range(self.rng.randrange(20, 50) if self.storm else self.rng.randrange(4, 12)):
            self.inject_fault()
            self.core.run(self.rng.choice([0.01, 0.05, 0.2, 0.6] if self.storm else [0.05, 0.3, 1.0, 2.5]))

    def inject_fault(self) -> None:
        core, rng = self.core, self.rng
        node = rng.choice(list(core.nodes.values()))
        act = rng.choice(
            [
                self._cut,
                self._cut,
                self._heal,
                self._restart,
                self._restart,
                self._herd,
                self._wipe,
                self._wipe,
                self._replace,
                self._disk,
                self._leave,
                self._freeze,
                self._after_ack,
                self._after_ack,
                self._power,
                self._power,
                self._unsynced,
            ]
        )
        act(node)
        for _ in range(rng.randrange(4)):
            asker = core.leader() or rng.choice(core.up() or [None])
            if asker is not None and asker.machine is not None:
                core.propose(asker, max(0, asker.machine.committed_version - (rng.random() < 0.1)))

    def end_faults(self) -> None:
        """End all faults and restart every node that may return."""
        core, self.over = self.core, True
        core.loss = core.duplication = 0.0
        core.blocked.clear()
        core.delay_s = (0.001, 0.035)
        for node in core.nodes.values():
            node.disk_s, node.disk_fails, node.frozen_until = (0.002, 0.01), False, 0.0
            if node.machine is None or node.machine.leaving:
                core.kill(node.address)
                core.start(node.address)
            core.deliver(node, events.KnownAddresses(tuple(core.nodes)))

    def _cut(self, node: Node) -> None:
        others = [a for a in self.core.nodes if a != node.address]
        for other in others if self.rng.random() < 0.5 else [self.rng.choice(others)]:
            ways = [(node.address, other), (other, node.address)]
            self.core.blocked.update(self.rng.choice([ways, ways[:1], ways[1:]]))

    def _heal(self, node: Node) -> None:
        self.core.blocked.clear()

    def _restart(self, node: Node, wipe: bool = False, power: bool | None = None) -> None:
        if node.machine is not None and not self.over:
            core = self.core
            core.kill(node.address, wipe, self.rng.random() < 0.5 if power is None else power)
            incarnation = node.incarnation
            core.at(
                self.rng.uniform(0.02, 0.2 if self.storm else 1.5),
                lambda: node.incarnation == incarnation and core.start(node.address),
            )

    def _herd(self, node: Node) -> None:
        for each in list(self.core.nodes.values()):
            self._restart(each, each is node and self.rng.random() < 0.3 and self._may_lose(each))

    def _power(self, node: Node) -> None:
        """Restart all nodes almost at once, or all but one, which may be partitioned or frozen.

        This is often repeated so soon that responses to the previous incarnation are still in flight.
        """
        core = self.core
        for _ in range(self.rng.randrange(1, 4)):
            spared = None
            if self.rng.random() < 0.6:
                spared = core.leader() or node
                self.rng.choice([self._cut, self._freeze, self._heal])(spared)
            for each in [n for n in core.nodes.values() if n.machine is not None and n is not spared]:
                core.kill(each.address)
                incarnation = each.incarnation
                core.at(
                    self.rng.choice([0.01, 0.05, 0.2]) * self.rng.random(),
                    lambda each=each, incarnation=incarnation: each.incarnation == incarnation
                    and core.start(each.address),
                )
            core.run(self.rng.uniform(0.05, 0.5))

    def _after_ack(self, node: Node) -> None:
        """Power loss at all nodes right after a proposal is acknowledged; the leader may lose its disk."""
        core = self.core
        if core.run(2.0, lambda: core.leader() is not None):
            leader = core.leader()
            token = core.propose(leader, leader.machine.committed_version)
            if core.run(2.0, lambda: token in core.outcomes):
                wipe = self.rng.random() < 0.5 and self._may_lose(leader)
                for each in list(core.nodes.values()):
                    self._restart(each, wipe and each is leader, power=True)

    def _unsynced(self, node: Node) -> None:
        """Kill the followers before a proposal is synced; soon afterwards, all nodes lose power."""
        core = self.core
        if core.run(2.0, lambda: core.leader() is not None):
            leader = core.leader()
            for other in [n for n in core.up() if n is not leader]:
                other.disk_s = (0.3, 0.6)
            token = core.propose(leader, leader.machine.committed_version)
            core.run(self.rng.uniform(0.15, 0.5))
            for other in [n for n in core.up() if n is not leader]:
                core.kill(other.address, power=False)
                core.start(other.address)
            core.run(self.rng.uniform(0.1, 0.5), lambda: token in core.outcomes)
            core.unsynced_is_lost = True
            for each in list(core.nodes.values()):
                self._restart(each, power=True)
            core.unsynced_is_lost = False

    def _may_lose(self, node: Node) -> bool:
        """Whether this disk may be lost in addition to those lost already."""
        held_entries = [
            n.machine.replica.entry if n.machine else n.written.entry
            for n in self.core.nodes.values()
            if n.machine or n.written
        ]
        committed_entries = [n.machine.committed_entry for n in self.core.up() if n.machine.committed_entry]
        if not committed_entries:
            return False
        newest = [max(entries, key=lambda e: e.position) for entries in (held_entries, committed_entries)]
        recently_lost = {disk for disk, at in self.core.lost_disks.items() if self.core.now < at + 2.0}
        return all(
            len({m.disk for m in voter_set} & {*self.core.lost_disks} | recently_lost)
            < (len(voter_set) - 1) // 2
            for entry in newest
            for voter_set in (entry.members, entry.outgoing)
            if voter_set
        )

    def _wipe(self, node: Node) -> None:
        if self._may_lose(node):
            self._restart(node, wipe=True)

    def _replace(self, node: Node) -> None:
        if self._may_lose(node) and len(self.core.nodes) < 9:
            self.core.kill(node.address, wipe=True)
            del self.core.nodes[node.address]
            self.core.add(f"10.0.1.{self.core.order}:1")

    def _disk(self, node: Node) -> None:
        node.disk_s = self.rng.choice([(0.002, 0.01), (0.05, 0.3), (1.0, 4.0)])
        node.disk_fails = self.rng.random() < 0.3

    def _freeze(self, node: Node) -> None:
        node.frozen_until = self.core.now + self.rng.uniform(0.2, 4.0)

    def _leave(self, node: Node) -> None:
        if node.machine is not None and self.core.now >= node.frozen_until:
            self.core.deliver(node, events.Leave())
            incarnation = node.incarnation
            self.core.at(1.0, lambda: node.incarnation == incarnation and self._restart(node))


def explore(
    count: int, seed: int, early: bool = False, kind: Callable[..., RaftNode] = RaftNode
) -> ConsensusCluster:
    """Inject faults, then end them: a leader must be elected and a proposal committed within 5 s."""
    core = ConsensusCluster(count, seed, (count - 1) // 2, kind=kind)
    core.acknowledges_early = early
    fault_injector = FaultInjector(core, random.Random(f"trouble {seed}"))
    core.run(random.Random(seed).uniform(0.3, 3.0))
    fault_injector.inject_random_faults()
    fault_injector.end_faults()
    check_progress(core, 5.0)
    return core


def check_progress(core: ConsensusCluster, within: float) -> None:
    """Check that a proposal is committed and applied by all running nodes."""
    end, token = core.now + within, 0
    while core.outcomes.get(token) != "committed":
        if not core.run(end - core.now, lambda: core.leader() is not None):
            raise InvariantViolation(f"no leader within {within} s")
        leader = core.leader()
        token = core.propose(leader, leader.machine.committed_version)
        core.run(end - core.now, lambda token=token: token in core.outcomes)
        if core.now >= end:
            raise InvariantViolation(f"nothing was committed within {within} s")
    version = core.proposals[token][1] + 1
    if version <= max((v for v in core.acknowledged if v != version), default=0):
        raise InvariantViolation("an acknowledged change is lost")
    if not core.run(8.0, lambda: all(n.committed_version >= version for n in core.up())):
        raise InvariantViolation(
            f"{[n.address for n in core.up() if n.committed_version < version]} lack version {version}"
        )


def format_output(output: outputs.Output) -> str:
    """Format an output as one line."""
    if isinstance(output, outputs.Write):
        disk, term, vote, entry, scale = output.record
        scaled = f", timeout scale {scale:g}" if scale != 1.0 else ""
        return f"writes {disk}: term {term}, vote {vote or 'none'}, entry {tuple(entry.position)}{scaled}"
    if not isinstance(output, Send):
        return str(output)
    message = output.message
    skip = ("kind", "disk", "to_disk", "sent_at", "replied_at", "confirmed_reply_at", "entry", "members")
    parts = [f"{f.name}={v}" for f, v in message.ListFields() if f.name not in skip]
    if message.HasField("entry"):
        e = get_entry(message.entry)
        names = [[m.disk for m in voter_set] for voter_set in (e.members, e.outgoing)]
        parts.append(f"entry={tuple(e.position)} v{e.version} {e.value!r} of {names[0]} before {names[1]}")
    return " ".join([f"to {output.to}", pb.Kind.Name(message.kind), *parts])
