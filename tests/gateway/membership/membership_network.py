"""Controllers and proxies over a simulated network, for the tests of who is there."""

import heapq
import random

from gateway.membership import events, outputs
from gateway.membership.controller import ControllerMembership
from gateway.membership.proxy import ProxyMembership
from gateway.state_machine import Send

TICK_S = 0.05
CONTROLLER_ADDRESSES = [f"10.{zone}.0.1:7661" for zone in (1, 2, 3)]


class MembershipNetwork:
    """Processes, and messages between them that take a moment, get lost, or are held back by cuts."""

    def __init__(self, seed=1, loss=0.0):
        self.rng, self.loss = random.Random(seed), loss
        self.now, self.count = 100.0, 0
        self.nodes, self.outs, self.due = {}, {}, []
        self.cut = lambda a, b: False
        self.sent, self.bytes = {}, {}

    def add(self, address, node):
        self.nodes[address], self.outs[address] = node, []
        self.later(self.rng.uniform(0, TICK_S), address, events.Tick())

    def later(self, wait, address, event):
        self.count += 1
        heapq.heappush(self.due, (self.now + wait, self.count, address, event))

    def give(self, address, event):
        """Hand an input to a process, if it lives; messages go out, other outputs are kept."""
        if address not in self.nodes:
            return
        for out in self.nodes[address].handle(self.now, event):
            if not isinstance(out, Send):
                self.outs[address].append(out)
                continue
            data = out.message.SerializeToString()
            self.sent[address] = self.sent.get(address, 0) + 1
            self.bytes[address] = self.bytes.get(address, 0) + len(data)
            if out.to in self.nodes and not self.cut(address, out.to) and self.rng.random() >= self.loss:
                self.later(0.002, out.to, events.Received(address, type(out.message).FromString(data)))

    def run(self, seconds):
        """Let time pass."""
        end = self.now + seconds
        while self.due and self.due[0][0] <= end:
            self.now, _, address, event = heapq.heappop(self.due)
            self.give(address, event)
            if isinstance(event, events.Tick):
                self.later(TICK_S, address, event)
        self.now = end

    def kill(self, address):
        """Ends a process, with its ticks."""
        del self.nodes[address]
        self.due = [d for d in self.due if d[2] != address]
        heapq.heapify(self.due)

    def controller(self, address):
        """Starts a controller."""
        number = int(address.split(".")[1])
        self.add(
            address,
            ControllerMembership(
                address, number, CONTROLLER_ADDRESSES, 1.3, random.Random(self.rng.random())
            ),
        )
        self.give(address, events.SetCore(tuple(CONTROLLER_ADDRESSES)))

    def beat(self, address, id, seq, draining=False, at="10.9.0.1:80", cold=0.0):
        """A backend's beat; returns its token."""
        token = f"{id}/{seq}"
        self.give(address, events.Heartbeat(token, id, "nomgate", at, "kgn-a", "v1", 2, draining, cold, seq))
        return token

    def table(self, address):
        """Backends by id, as one process has them."""
        return {id: row.backend for id, row in self.nodes[address].table.rows.items()}

    def got(self, address, kind):
        """Outputs of a kind since the last look."""
        found = [o for o in self.outs[address] if isinstance(o, kind)]
        self.outs[address] = [o for o in self.outs[address] if not isinstance(o, kind)]
        return found

    def answer(self, address, token):
        """How a call of a backend was answered: "Acked", "Refused", or "" so far."""
        kinds = [
            type(o).__name__
            for o in self.outs[address]
            if isinstance(o, outputs.Acknowledged | outputs.Rejected) and o.token == token
        ]
        assert len(kinds) < 2
        return kinds[0] if kinds else ""


def system(proxies=2, **kwargs):
    """Three controllers that know each other, and proxies that know the seeds."""
    net = MembershipNetwork(**kwargs)
    for address in CONTROLLER_ADDRESSES:
        net.controller(address)
    for n in range(proxies):
        address = f"10.{n % 3 + 1}.1.{n + 1}:7660"
        net.add(address, ProxyMembership(address, n % 3 + 1, CONTROLLER_ADDRESSES, random.Random(n)))
    net.run(1.0)
    return net, [a for a in net.nodes if a not in CONTROLLER_ADDRESSES]
