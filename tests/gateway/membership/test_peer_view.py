"""Gossip between many peer views: message volume, and the time to spread a new version."""

import random

import pytest

from gateway.membership.membership_pb2 import Message
from gateway.membership.outputs import ConfigAdvertised, CoreMembers
from gateway.membership.peer_view import PeerView
from gateway.membership.types import Role
from gateway.state_machine import Send

STEP_S = 0.05


def address(n):
    return f"10.{n % 3}.{n // 250}.{n % 250 + 1}:7660"


class ViewNetwork:
    """Many views, including three seeds; messages take one step of 50 ms or are lost."""

    def __init__(self, count, seed=1, loss=0.0):
        self.rng, self.loss, self.now = random.Random(seed), loss, 0.0
        seeds = [address(n) for n in range(3)]
        self.views = {
            address(n): PeerView(address(n), Role.PROXY, n % 3, seeds, random.Random(n * 7 + seed))
            for n in range(count)
        }
        self.cut = lambda a, b: False
        self.queue, self.sent, self.bytes, self.received = [], 0, 0, []

    def run(self, seconds, until=lambda: False):
        """Advance the time until a condition holds; returns the time that has passed."""
        start = self.now
        while self.now - start < seconds and not until():
            due, self.queue = self.queue, []
            self.now += STEP_S
            for sender, to, data in due:
                message = Message.FromString(data)
                kind = message.WhichOneof("kind")
                view = self.views.get(to)
                if view is not None:
                    self._take(to, getattr(view, f"on_{kind}")(sender, getattr(message, kind)))
            for a, view in self.views.items():
                self._take(a, view.tick(self.now))
        return self.now - start

    def _take(self, sender, outputs):
        for out in outputs:
            if not isinstance(out, Send):
                self.received.append((sender, out))
                continue
            data = out.message.SerializeToString()
            self.sent, self.bytes = self.sent + 1, self.bytes + len(data)
            if out.to in self.views and not self.cut(sender, out.to) and self.rng.random() >= self.loss:
                self.queue.append((sender, out.to, data))

    def knows(self, version):
        return sum(v.newest_config.version >= version for v in self.views.values())


@pytest.mark.parametrize(("count", "loss", "within"), [(14, 0.0, 2.0), (100, 0.1, 5.0), (1000, 0.0, 5.0)])
def test_versions_spread_at_constant_cost_per_peer(count, loss, within):
    network = ViewNetwork(count, loss=loss)
    network.run(12.0)
    assert all(len(v.entries) >= 6 for v in network.views.values())
    network.sent = network.bytes = 0
    network.run(5.0)
    assert (
        network.sent / count / 5 <= 2.1 and network.bytes / count / 5 < 100
    )  # messages and bytes per second
    network.sent = 0
    network.views[address(5)].set_current_config(7, b"digest 7")
    passed = network.run(within, lambda: network.knows(7) == count)
    assert network.knows(7) == count and network.sent / count / passed < 8
    assert {out for _, out in network.received if out.source} == {
        ConfigAdvertised(7, b"digest 7", address(5))
    }


def test_core_members_spread_to_all_peers():
    network = ViewNetwork(30)
    network.run(8.0)
    members = (address(0), address(1))
    network.views[address(9)].set_core_members((3, 5), members)
    network.run(6.0)
    assert {view.members_version for view in network.views.values()} == {(3, 5)}
    assert len(network.received) == 29 and {out for _, out in network.received} == {
        CoreMembers((3, 5), members)
    }


def test_partitions_merge_again():
    network = ViewNetwork(60, seed=5)
    network.run(10.0)
    network.cut = lambda a, b: (a[:5] == "10.0.") != (b[:5] == "10.0.")
    network.run(90.0)
    apart = [v for a, v in network.views.items() if a[:5] == "10.0."]
    assert all(p.zone == 0 for view in apart for p in view.peers())
    network.cut = lambda a, b: False
    network.run(30.0)
    assert sum(p.zone != 0 for view in apart for p in view.peers()) > len(apart)


def test_unresponsive_peer_is_removed():
    network = ViewNetwork(20)
    network.run(10.0)
    removed = address(7)
    del network.views[removed]
    network.run(30.0)
    assert not any(p.address == removed for view in network.views.values() for p in view.peers())
