"""Measures how quickly, and with how many bytes, a replica catches up after 0, 500 and 5,000 missed changes.

Run with `python -m tests.gateway.consensus.catch_up`.
"""

from __future__ import annotations

import os
import statistics
import tempfile
from collections.abc import Iterator

from gateway.consensus import consensus_pb2 as pb
from gateway.consensus.store import Store
from gateway.state_machine import Send
from tests.gateway.consensus.consensus_cluster import ConsensusCluster, Node, check_progress
from tests.gateway.consensus.test_storage import record
from tests.gateway.membership.test_change_log import SOURCE, TICK_S, FollowerNetwork

CHANGES = (0, 500, 5000)
SEEDS = 5
VALUE_BYTES = 400_000
SCENARIOS = {
    "cut off": "cut off",
    "killed": "killed",
    "wiped": "wiped",
    "lossy": "cut off, then a tenth lost, 1 to 50 ms",
}


class EntryCounter(ConsensusCluster):
    """Counts the entries with a value that are sent to one node."""

    to, full_entries = "", 0

    def _send(self, node: Node, output: Send) -> None:
        message = output.message
        is_full = message.kind == pb.APPEND_ENTRIES and not message.base_index
        self.full_entries += output.to == self.to and is_full
        super()._send(node, output)


def member(scenario: str, changes: int, seed: int) -> tuple[float, int]:
    """Seconds until a returning member holds the newest value, and the entries with a value sent to it."""
    core = EntryCounter(3, seed)
    core.delay_s = (0.001, 0.003)
    check_progress(core, 5.0)
    leader = core.leader()
    away = next(n for n in core.up() if n is not leader)
    if scenario in ("cut off", "lossy"):
        core.blocked = {(a, b) for a in core.nodes for b in core.nodes if away.address in (a, b)}
    else:
        core.kill(away.address, wipe=scenario == "wiped")
    for _ in range(changes):
        core.run(2.0, lambda: core.leader() is not None)
        leader = core.leader()
        token = core.propose(leader, leader.machine.committed_version)
        core.run(2.0, lambda token=token: token in core.outcomes)
    core.run(core.rng.uniform(0.5, 1.9))
    newest = max(n.machine.committed_version for n in core.up())
    core.blocked.clear()
    if scenario == "lossy":
        core.loss, core.delay_s = 0.1, (0.001, 0.05)
    if away.machine is None:
        core.start(away.address)
    core.to, began = away.address, core.now
    assert core.run(30.0, lambda: away.committed_version >= newest)
    return core.now - began, core.full_entries


def follower(again: bool, changes: int, seed: int) -> tuple[float, int]:
    """Seconds and bytes until a follower has caught up with a log; `again`: the log was restarted."""
    net = FollowerNetwork(seed)
    net.loss, net.delay = 0.0, 0.005
    (address, mirror), *_ = net.mirrors.items()
    net.mirrors = {address: mirror}
    for _ in range(100):
        net.change()
    for _ in range(100):
        net.step()
    mirror.away = 1 << 30
    for n in range(changes):
        net.change()
        if n % 10 == 0:
            net.step()
    for _ in range(100):
        net.step()
    if again:
        net.make_node()
        while net.unheard:
            net.step()
    mirror.away, net.bytes, began = 0, 0, net.now
    while mirror.backends != net.truth or mirror.version != net.version:
        net.step()
    assert SOURCE in mirror.follower.sources
    return net.now - began, net.bytes


def disk(changes: int) -> int:
    """Maximum size in bytes of a member's folder while it saves this many entries."""
    most, sync = 0, os.fsync
    with tempfile.TemporaryDirectory() as folder:
        store = Store(folder)

        def measure(descriptor: int) -> None:
            nonlocal most
            most = max(most, sum(entry.stat().st_size for entry in os.scandir(folder)))
            sync(descriptor)

        os.fsync = measure
        try:
            for _ in range(changes):
                store.save(record(1, VALUE_BYTES))
        finally:
            os.fsync = sync
    return most


def table() -> Iterator[str]:
    yield "| who was away | " + " | ".join(f"{n:,} changes" for n in CHANGES) + " |"
    yield "| --- |" + " --- |" * len(CHANGES)
    for scenario, description in SCENARIOS.items():
        cells = []
        for changes in CHANGES:
            found = [member(scenario, changes, seed) for seed in range(SEEDS)]
            times, full_entries = zip(*found, strict=True)
            cells.append(
                f"{statistics.median(times):.2f} s (worst {max(times):.2f}), "
                f"{max(full_entries)} full entries at most"
            )
        yield f"| member, {description} | " + " | ".join(cells) + " |"
    for again in (False, True):
        cells = []
        for changes in CHANGES:
            times, sizes = zip(*[follower(again, changes, seed) for seed in range(SEEDS)], strict=True)
            cells.append(f"{statistics.median(times) + TICK_S:.2f} s, {max(sizes):,} bytes at most")
        yield f"| follower of a log{', which begins anew' if again else ''} | " + " | ".join(cells) + " |"
    cells = [f"{disk(changes) / 1e6:.2f} MB at most" for changes in CHANGES]
    yield f"| disk, entries of {VALUE_BYTES // 1000} KB | " + " | ".join(cells) + " |"


if __name__ == "__main__":
    for line in table():
        print(line, flush=True)
