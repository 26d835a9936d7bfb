"""A small network of shard owners, quota clients and a leader, in simulated time."""

from __future__ import annotations

import random
from bisect import bisect_left
from collections import Counter
from heapq import heappop, heappush
from itertools import count as counter
from typing import Any

from gateway.quota import events
from gateway.quota.events import ChargeRequest, Received, Tick
from gateway.quota.outputs import ChargeDecision
from gateway.quota.quota_client import QuotaClient
from gateway.quota.shard_assigner import ShardAssigner
from gateway.quota.shard_owner import ShardOwner
from gateway.state_machine import Send

SPAN = 5.0


class QuotaNetwork:
    """Controllers p0.. (p0 leads at first) and proxies s0..; those in `away` are cut off from the others."""

    def __init__(self, proxies: int, owners: int, tenants: dict[str, tuple[float, float]], seed: int):
        self.rng, self.now, self.seq = random.Random(seed), 0.0, counter()
        self.allowances = events.Allowances(tenants)
        self.queue: list[tuple[float, int, Any]] = []
        self.owners: dict[str, ShardOwner] = {}
        self.quota_clients: dict[str, QuotaClient] = {}
        self.shard_assigner: dict[str, ShardAssigner] = {}
        self.leader, self.term, self.loss, self.away = "", 0, 0.0, set[str]()
        self.doubled, self.late_s = 0.0, 0.3  # messages that come twice, and by when the second time
        self.dead: set[str] = set()
        self.went: dict[str, list[float]] = {t: [] for t in tenants}  # units let go
        self.asked: Counter[str] = Counter()
        self.refused: list[tuple[float, str, str, int]] = []
        self.tenant_of: dict[int, tuple[str, int]] = {}
        self.messages: Counter[str] = Counter()
        self.names = [f"p{i}" for i in range(owners)]
        self.spread, self.spread_at = dict[str, bytes](), 0.0
        for i in range(owners):
            self.start(f"p{i}")
        for i in range(proxies):
            self.start(f"s{i}")
        self.lead("p0")

    # Processes

    def start(self, name: str) -> None:
        self.dead.discard(name)
        rng = random.Random(self.rng.random())
        if name[0] == "p":
            self.owners[name] = ShardOwner(SPAN, rng)
            self.owners[name].handle(self.now, self.allowances)
            self.owners[name].handle(self.now, events.SetLeader(self.leader or None))
            self.shard_assigner[name] = ShardAssigner()
            self.schedule(0.0, self.beat, name, self.owners[name])
        else:
            self.quota_clients[name] = c = QuotaClient(SPAN, rng)
            c.handle(self.now, self.allowances)
            if self.leader in self.shard_assigner and self.shard_assigner[self.leader].shard_map():
                c.handle(self.now, events.ShardMapReceived(self.shard_assigner[self.leader].shard_map()))
            self.schedule(0.0, self.due, name, c)

    def kill(self, name: str) -> None:
        self.dead.add(name)
        (self.owners if name[0] == "p" else self.quota_clients).pop(name)
        self.shard_assigner.pop(name, None)

    def leave(self, name: str) -> None:
        """A proxy whose requests are done ends in order, as its program does."""
        quota_client = self.quota_clients[name]
        self.act(name, quota_client.handle(self.now, events.Leave()))

        def end() -> None:
            if self.quota_clients.get(name) is not quota_client:
                return
            if quota_client.has_left:
                self.kill(name)
            else:
                self.schedule(0.02, end)

        end()

    def lead(self, name: str, leaderless_since: float | None = None) -> None:
        """Let a controller lead; an earlier leader stops."""
        self.term += 1
        for other, shard_assigner in self.shard_assigner.items():
            shard_assigner.handle(self.now, events.LiveControllers(list(self.owners), self.names))
            shard_assigner.handle(
                self.now, events.LeadershipChange(self.term if other == name else 0, True, leaderless_since)
            )
        self.leader = name
        for other, owner in self.owners.items():
            self.act(other, owner.handle(self.now, events.SetLeader(name)))

    # Time and messages

    def schedule(self, delay: float, what: Any, *args: Any) -> None:
        heappush(self.queue, (self.now + delay, next(self.seq), (what, args)))

    def run(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, (what, args) = heappop(self.queue)
            what(*args)
        self.now = until

    def beat(self, name: str, owner: ShardOwner) -> None:
        if self.owners.get(name) is owner:
            self.act(name, owner.handle(self.now, Tick()))
            if name == self.leader:
                self.shard_assigner[name].handle(
                    self.now, events.LiveControllers(list(self.owners), self.names)
                )
                if data := self.shard_assigner[name].shard_map():
                    self.publish(name, data)
            self.act(name, self.shard_assigner[name].handle(self.now, Tick()))
            self.schedule(0.1, self.beat, name, owner)

    def due(self, name: str, quota_client: QuotaClient) -> None:
        if self.quota_clients.get(name) is quota_client:
            self.act(name, quota_client.handle(self.now, Tick()))
            self.schedule(max(0.001, quota_client.due() - self.now), self.due, name, quota_client)

    def act(self, name: str, outputs: list[Any]) -> None:
        for o in outputs:
            if type(o) is Send:
                kind = o.message.WhichOneof("kind")
                self.messages[kind] += 1
                reached = (name in self.away) == (o.to in self.away) or o.to == name
                if reached and (o.to == name or self.rng.random() >= self.loss):
                    self.schedule(self.rng.uniform(0.001, 0.004), self.take, name, o.to, o.message)
                    if self.doubled and self.rng.random() < self.doubled:
                        self.schedule(self.rng.uniform(0.01, self.late_s), self.take, name, o.to, o.message)
            elif type(o) is ChargeDecision:
                self.charged(name, o)

    def publish(self, name: str, data: bytes) -> None:
        """Spread the table again and again, as the log of changes would."""
        if self.spread.get(name) == data and self.now < self.spread_at + 0.5:
            return
        self.spread[name], self.spread_at = data, self.now
        for to in self.quota_clients:
            if (to in self.away) == (name in self.away):
                self.schedule(self.rng.uniform(0.05, 0.3), self.deliver_shard_map, to, data)

    def deliver_shard_map(self, to: str, data: bytes) -> None:
        if to in self.quota_clients:
            self.quota_clients[to].handle(self.now, events.ShardMapReceived(data))

    def take(self, sender: str, to: str, note: Any) -> None:
        if to in self.quota_clients:
            self.act(to, self.quota_clients[to].handle(self.now, Received(sender, note)))
        elif to in self.owners:
            received = Received(sender, note)
            machine = (
                self.shard_assigner[to] if note.WhichOneof("kind") == "lease_request" else self.owners[to]
            )
            self.act(to, machine.handle(self.now, received))

    # Requests

    def ask(self, name: str, tenant: str, id: int | None = None, precedence: int = 0) -> int:
        id = self.rng.getrandbits(64) if id is None else id
        if name in self.quota_clients:
            self.tenant_of[id] = tenant, precedence
            self.asked[tenant] += 1
            self.act(
                name, self.quota_clients[name].handle(self.now, ChargeRequest(id, tenant, precedence, 0.06))
            )
        return id

    def charged(self, name: str, o: ChargeDecision) -> None:
        tenant, precedence = self.tenant_of.pop(o.attempt_id)
        if o.admitted:
            self.went[tenant].append(self.now)
        else:
            self.refused.append((self.now, tenant, name, precedence))

    def load(self, tenant: str, rate: float, until: float, precedence: int = 0) -> None:
        """Requests at random times, at random proxies of uneven weight."""
        names = [n for n in self.quota_clients if n[0] == "s"]
        weights = [1 + 2 * random.Random(n).random() for n in names]

        def one() -> None:
            if self.now < until:
                self.ask(self.rng.choices(names, weights)[0], tenant, precedence=precedence)
                self.schedule(self.rng.expovariate(rate), one)

        self.schedule(0.0, one)

    def most(self, tenant: str, since: float = 0.0) -> int:
        """The most units let go within any span of the rule."""
        went = self.went[tenant]
        return max((bisect_left(went, t + SPAN) - i for i, t in enumerate(went) if t >= since), default=0)

    def bound(self, tenant: str) -> float:
        rate, burst = self.allowances.tenants[tenant]
        return (rate * SPAN + burst) * 1.1 + 20
