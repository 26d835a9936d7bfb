"""Views alone, in numbers: what shuffling costs, and how long news takes."""

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
    """Many views with three seeds among them, and messages that take one step of 50 ms, or are lost."""

    def __init__(self, count, seed=1, loss=0.0):
        self.rng, self.loss, self.now = random.Random(seed), loss, 0.0
        seeds = [address(n) for n in range(3)]
        self.views = {
            address(n): PeerView(address(n), Role.PROXY, n % 3, seeds, random.Random(n * 7 + seed))
            for n in range(count)
        }
        self.cut = lambda a, b: False
        self.due, self.sent, self.bytes, self.heard = [], 0, 0, []

    def run(self, seconds, until=lambda: False):
        """Lets time pass, until something holds; returns how much has passed."""
        start = self.now
        while self.now - start < seconds and not until():
            due, self.due = self.due, []
            self.now += STEP_S
            for sender, to, data in due:
                note = Message.FromString(data)
                kind = note.WhichOneof("kind")
                view = self.views.get(to)
                if view is not None:
                    self._take(to, getattr(view, f"on_{kind}")(sender, getattr(note, kind)))
            for a, view in self.views.items():
                self._take(a, view.tick(self.now))
        return self.now - start

    def _take(self, sender, outputs):
        for out in outputs:
            if not isinstance(out, Send):
                self.heard.append((sender, out))
                continue
            data = out.message.SerializeToString()
            self.sent, self.bytes = self.sent + 1, self.bytes + len(data)
            if out.to in self.views and not self.cut(sender, out.to) and self.rng.random() >= self.loss:
                self.due.append((sender, out.to, data))

    def knows(self, version):
        return sum(v.newest_config.version >= version for v in self.views.values())


@pytest.mark.parametrize(("count", "loss", "within"), [(14, 0.0, 2.0), (100, 0.1, 5.0), (1000, 0.0, 5.0)])
def test_news_reaches_all_and_what_it_costs_does_not_grow(count, loss, within):
    crowd = ViewNetwork(count, loss=loss)
    crowd.run(12.0)
    assert all(len(v.entries) >= 6 for v in crowd.views.values())
    crowd.sent = crowd.bytes = 0
    crowd.run(5.0)
    assert crowd.sent / count / 5 <= 2.1 and crowd.bytes / count / 5 < 100  # messages, bytes a second
    crowd.sent = 0
    crowd.views[address(5)].set_current_config(7, b"digest 7")
    passed = crowd.run(within, lambda: crowd.knows(7) == count)
    assert crowd.knows(7) == count and crowd.sent / count / passed < 8
    assert {out for _, out in crowd.heard if out.source} == {ConfigAdvertised(7, b"digest 7", address(5))}


def test_the_members_of_the_core_reach_all():
    crowd = ViewNetwork(30)
    crowd.run(8.0)
    members = (address(0), address(1))
    crowd.views[address(9)].set_core_members((3, 5), members)
    crowd.run(6.0)
    assert {view.members_version for view in crowd.views.values()} == {(3, 5)}
    assert len(crowd.heard) == 29 and {out for _, out in crowd.heard} == {CoreMembers((3, 5), members)}


def test_parts_of_a_cut_meet_again():
    crowd = ViewNetwork(60, seed=5)
    crowd.run(10.0)
    crowd.cut = lambda a, b: (a[:5] == "10.0.") != (b[:5] == "10.0.")
    crowd.run(90.0)
    apart = [v for a, v in crowd.views.items() if a[:5] == "10.0."]
    assert all(p.zone == 0 for view in apart for p in view.peers())
    crowd.cut = lambda a, b: False
    crowd.run(30.0)
    assert sum(p.zone != 0 for view in apart for p in view.peers()) > len(apart)


def test_who_gives_no_answer_is_dropped():
    crowd = ViewNetwork(20)
    crowd.run(10.0)
    gone = address(7)
    del crowd.views[gone]
    crowd.run(30.0)
    assert not any(p.address == gone for view in crowd.views.values() for p in view.peers())
