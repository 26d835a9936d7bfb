"""Sorters and postmasters on a simulated net, and configurations, for the tests of drift watch."""

import copy
import heapq
import json
import random
from types import SimpleNamespace

from post.directory.digest import Expected
from post.directory.orders import Held, decide
from post.machine import Send
from post.office import settings as files
from post.office.hall import Hall
from post.office.overseeing import Overseeing
from post.office.program import ROUNDS
from post.rounds import messages as m
from post.rounds import wire
from post.rounds.postmaster import PostmasterRounds
from roadspur.net.door import USUAL

TICK_S = 0.05
POSTS = [f"10.{zone}.0.1:7661" for zone in (1, 2, 3)]
NOTHING = SimpleNamespace(cancel=lambda: None, when=lambda: 0.0)


def route(label, target="s1", **more):
    spec = {"hostname": "a.example", "path-prefix": f"/{label}/", "traffic-class": "safe", "deadline-s": 2,
            "weighted": [{"target": target, "share": 90}, {"target": "s2", "share": 10}], "max-tries": 2}
    return {"entry-kind": "route-table", "metadata": {"label": label}, "spec": {**spec, **more}}


def config(generation=1, base=0, more=(), **routes):
    entries = [route("r1"), route("r2"), *(route(label, target) for label, target in routes.items()), *more]
    entries += [{"entry-kind": "services", "metadata": {"label": s}, "spec": {}} for s in ("s1", "s2")]
    entries += [{"entry-kind": "tenants", "metadata": {"label": t}, "spec": {
        "api-keys": [f"{t}-a", f"{t}-b"], "rate-per-s": 20, "burst": 20}} for t in ("t1", "t2")]
    return json.dumps({"generation": generation, "base-version": base, "resource-list": entries}).encode()


def taken(body, held=None):
    """What an order that is taken puts in force."""
    decision = decide(held or Held(), "PUT", body)
    assert decision.status == 200, decision
    return decision.held


class Sorter:
    """A sorter's machines; `said` are its findings."""

    def __init__(self, net, address):
        ip, port = address.split(":")
        told = {"self": {"node": ip, "role": "sorter", "ip": ip, "zone": "z"}, "network": {
            "port-range": [int(port), int(port) + 9], "seeds": [p.replace("7661", "8407") for p in POSTS],
            "zones": {"z": "r"}}}
        loop = SimpleNamespace(call_later=lambda *a: NOTHING, call_at=lambda *a: NOTHING, time=net.clock)
        self.outs, self.held_to, self.skew, self.versions = [], USUAL, 0.0, []
        self.hall = Hall(self, loop, lambda: net.now + self.skew, files.read_document(told).unwrap(), None,
                         random.Random(address))
        self.watching, self.inspector = self.hall.watching, self.hall.watching.inspector

    def send(self, to, plane, message):
        if plane == ROUNDS:
            self.outs.append(Send(to, message))

    def limit(self, limits):
        self.held_to = limits

    def limits(self):
        return self.held_to

    def handle(self, now, event):
        self.hall.turn(event)
        if self.versions[-1:] != [self.hall.version]:
            self.versions.append(self.hall.version)
        outs, self.outs = self.outs, []
        return outs

    def ask(self, path="/r1/x", key="t1-a", host="a.example"):
        """A request: its status, or None if it is turned back."""
        wanted = host.encode(), path.encode(), key.encode()
        judged = self.watching.request(*wanted, self.hall.book.judge(*wanted))
        return judged and judged.status

    def findings(self):
        return list(map(str, self.inspector.findings))


class Post:
    """A postmaster's rounds and what it knows of the fleet."""

    def __init__(self, net, address):
        self.net, self.said = net, []
        self.rounds = PostmasterRounds(address, 1, POSTS, 1.3, net.rng)
        self.overseeing = Overseeing(address, 2.5, 5.0, lambda: None)

    def handle(self, now, event):
        outs = self.rounds.handle(now, event)
        for runs in [o for o in outs if isinstance(o, m.Runs)]:
            self.overseeing.runs(now, *runs)
        if isinstance(event, m.Tick):
            self.overseeing.tick(now, True, lambda: self.overseeing.plans)
        return [o for o in outs if isinstance(o, Send)]


class Net:
    """Processes; messages take 2 ms. `cut(a, b, kind)` tells which are lost, `asleep` who stands still."""

    def __init__(self, sorters=4, seed=1):
        self.rng, self.now, self.count, self.due = random.Random(seed), 100.0, 0, []
        self.cut, self.asleep = lambda a, b, kind: False, set()
        self.nodes = {a: Post(self, a) for a in POSTS}
        self.nodes |= {f"10.{1 + i % 3}.1.{i}:7660": Sorter(self, f"10.{1 + i % 3}.1.{i}:7660")
                       for i in range(sorters)}
        for address in self.nodes:
            self.later(self.rng.uniform(0, TICK_S), address, m.Tick())
        for address in POSTS:
            self.give(address, m.SetCore(tuple(POSTS)))
        self.give(POSTS[0], m.Put(m.CORE, (1, 1), wire.encode_members(POSTS, POSTS[0])))

    def clock(self):
        return self.now

    @property
    def sorters(self):
        return [n for n in self.nodes.values() if isinstance(n, Sorter)]

    def later(self, wait, address, event):
        self.count += 1
        heapq.heappush(self.due, (self.now + wait, self.count, address, event))

    def give(self, address, event):
        for out in self.nodes[address].handle(self.now, event):
            kind = out.message.WhichOneof("kind")
            if out.to in self.nodes and not self.cut(address, out.to, kind):
                self.later(0.002, out.to, m.Received(address, copy.copy(out.message)))

    def run(self, seconds):
        end = self.now + seconds
        while self.due and self.due[0][0] <= end:
            self.now, _, address, event = heapq.heappop(self.due)
            tick = isinstance(event, m.Tick)
            if address not in self.asleep:
                self.give(address, event)
            elif not tick:
                self.later(0.5, address, event)
            if tick:
                self.later(TICK_S, address, event)
        self.now = end

    def kill(self, address):
        """Ends a process, with its ticks."""
        del self.nodes[address]
        self.due = [d for d in self.due if d[2] != address]
        heapq.heapify(self.due)

    def put(self, version, held, posts=POSTS):
        """The core has acknowledged a version."""
        digest = Expected(held.document).total.to_bytes(8)
        for address in posts:
            self.give(address, m.Put(m.CONFIG, (0, version), held.encode(), digest))
            self.nodes[address].overseeing.took_up(self.now, version, int.from_bytes(digest), held.document)
