"""Tests of first starts: all processes start within 0.3 s, in any order, before others may be listening."""

from __future__ import annotations

import itertools
import random
from functools import partial

import pytest

from gateway.membership import codec, events
from gateway.membership.types import ValueKind
from tests.gateway.consensus.consensus_cluster import ConsensusCluster, Node, check_progress
from tests.gateway.drift.drift_network import (
    CONTROLLER_ADDRESSES,
    FleetNetwork,
    SimulatedController,
    SimulatedProxy,
    accepted,
    config,
)

SPREAD_S = 0.3
FIRST = accepted(config())


class Staggered(ConsensusCluster):
    """A cluster at its first start, whose seeds start at the given times."""

    def __init__(self, count: int, seed: int, begins: list[float]) -> None:
        self.begins = iter(begins)
        super().__init__(count, seed)

    def add(self, address: str, fresh: bool = False) -> None:
        self.nodes[address] = Node(address)
        self.at(next(self.begins), partial(self.start, address, fresh))


@pytest.mark.parametrize("order", list(itertools.permutations([0.0, 0.15, SPREAD_S])))
def test_seeds_started_in_any_order_accept_a_first_change(order: tuple[float, ...]) -> None:
    for seed in range(10):
        core = Staggered(3, seed, list(order))
        core.run(SPREAD_S)
        assert core.run(0.7, lambda core=core: core.leader() is not None)
        check_progress(core, 0.5)


@pytest.mark.parametrize("seed", range(6))
def test_proxies_started_before_their_seeds_serve_soon_after_the_first_change(seed: int) -> None:
    net, chance = FleetNetwork(0, seed), random.Random(seed)
    for address in CONTROLLER_ADDRESSES:
        net.kill(address)
    starts = [(chance.uniform(0, SPREAD_S), address) for address in CONTROLLER_ADDRESSES]
    starts += [(chance.uniform(0, SPREAD_S), f"10.1.2.{n}:7660") for n in range(5)]
    for wait, address in sorted(starts):
        net.run(max(0.0, 100.0 + wait - net.now))
        net.nodes[address] = (SimulatedController if address in CONTROLLER_ADDRESSES else SimulatedProxy)(
            net, address
        )
        net.schedule(0.01, address, events.Tick())
        if address in CONTROLLER_ADDRESSES:
            net.deliver(address, events.SetCore(tuple(CONTROLLER_ADDRESSES)))
    net.run(0.5)
    net.deliver(
        CONTROLLER_ADDRESSES[0],
        events.Publish(
            ValueKind.CORE, (1, 1), codec.encode_members(CONTROLLER_ADDRESSES, CONTROLLER_ADDRESSES[0])
        ),
    )
    net.put(1, FIRST)
    net.run(0.6)
    assert len(net.proxies) == 5 and all(s.ask() == 200 and s.drift_monitor.ready for s in net.proxies)
