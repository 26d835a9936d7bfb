"""Controllers and proxies connected by a simulated network, for membership tests."""

import heapq
import random

from gateway.membership import events, outputs
from gateway.membership.controller import ControllerMembership
from gateway.membership.proxy import ProxyMembership
from gateway.state_machine import Send

TICK_S = 0.05
CONTROLLER_ADDRESSES = [f"10.{zone}.0.1:7661" for zone in (1, 2, 3)]


class MembershipNetwork:
    """Processes connected by a lossy network with delays; `cut` selects partitioned pairs."""

    def __init__(self, seed=1, loss=0.0):
        self.rng, self.loss = random.Random(seed), loss
        self.now, self.count = 100.0, 0
        self.nodes, self.outputs, self.queue = {}, {}, []
        self.cut = lambda a, b: False
        self.sent, self.bytes = {}, {}

    def add(self, address, node):
        self.nodes[address], self.outputs[address] = node, []
        self.schedule(self.rng.uniform(0, TICK_S), address, events.Tick())

    def schedule(self, wait, address, event):
        self.count += 1
        heapq.heappush(self.queue, (self.now + wait, self.count, address, event))

    def deliver(self, address, event):
        """Pass an event to a process, if it is running; messages are sent, other outputs are stored."""
        if address not in self.nodes:
            return
        for out in self.nodes[address].handle(self.now, event):
            if not isinstance(out, Send):
                self.outputs[address].append(out)
                continue
            data = out.message.SerializeToString()
            self.sent[address] = self.sent.get(address, 0) + 1
            self.bytes[address] = self.bytes.get(address, 0) + len(data)
            if out.to in self.nodes and not self.cut(address, out.to) and self.rng.random() >= self.loss:
                self.schedule(0.002, out.to, events.Received(address, type(out.message).FromString(data)))

    def run(self, seconds):
        """Advance the simulated time."""
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, address, event = heapq.heappop(self.queue)
            self.deliver(address, event)
            if isinstance(event, events.Tick):
                self.schedule(TICK_S, address, event)
        self.now = end

    def kill(self, address):
        """Kill a process."""
        del self.nodes[address]
        self.queue = [d for d in self.queue if d[2] != address]
        heapq.heapify(self.queue)

    def controller(self, address):
        """Start a controller."""
        number = int(address.split(".")[1])
        self.add(
            address,
            ControllerMembership(
                address, number, CONTROLLER_ADDRESSES, 1.3, random.Random(self.rng.random())
            ),
        )
        self.deliver(address, events.SetCore(tuple(CONTROLLER_ADDRESSES)))

    def heartbeat(self, address, id, seq, draining=False, at="10.9.0.1:80", cold=0.0):
        """Send a backend's heartbeat; returns its token."""
        token = f"{id}/{seq}"
        self.deliver(
            address, events.Heartbeat(token, id, "nomgate", at, "kgn-a", "v1", 2, draining, cold, seq)
        )
        return token

    def table(self, address):
        """The backends by id according to one process."""
        return {id: row.backend for id, row in self.nodes[address].table.rows.items()}

    def take_outputs(self, address, kind):
        """Take the stored outputs of this type."""
        found = [o for o in self.outputs[address] if isinstance(o, kind)]
        self.outputs[address] = [o for o in self.outputs[address] if not isinstance(o, kind)]
        return found

    def answer(self, address, token):
        """The answer to a backend's call: "Acknowledged", "Rejected", or "" if there is none yet."""
        kinds = [
            type(o).__name__
            for o in self.outputs[address]
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
