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

SPAN_S = 5.0


class QuotaNetwork:
    """Controllers p0.. (p0 leads first) and proxies s0..; those in `partitioned` are cut off."""

    def __init__(self, proxies: int, owners: int, tenants: dict[str, tuple[float, float]], seed: int):
        self.rng, self.now, self.seq = random.Random(seed), 0.0, counter()
        self.allowances = events.Allowances(tenants)
        self.queue: list[tuple[float, int, Any]] = []
        self.owners: dict[str, ShardOwner] = {}
        self.quota_clients: dict[str, QuotaClient] = {}
        self.shard_assigner: dict[str, ShardAssigner] = {}
        self.leader, self.term, self.loss, self.partitioned = "", 0, 0.0, set[str]()
        # Probability of duplicated messages, and the maximum delay of the duplicate.
        self.duplication, self.max_duplicate_delay_s = 0.0, 0.3
        self.dead: set[str] = set()
        # When units of each tenant were admitted.
        self.admitted_at: dict[str, list[float]] = {t: [] for t in tenants}
        self.request_count: Counter[str] = Counter()
        self.rejections: list[tuple[float, str, str, int]] = []
        self.tenant_of: dict[int, tuple[str, int]] = {}
        self.messages: Counter[str] = Counter()
        self.names = [f"p{i}" for i in range(owners)]
        self.published_map, self.published_at = dict[str, bytes](), 0.0
        for i in range(owners):
            self.start(f"p{i}")
        for i in range(proxies):
            self.start(f"s{i}")
        self.set_leader("p0")

    # Processes

    def start(self, name: str) -> None:
        self.dead.discard(name)
        rng = random.Random(self.rng.random())
        if name[0] == "p":
            self.owners[name] = ShardOwner(SPAN_S, rng)
            self.owners[name].handle(self.now, self.allowances)
            self.owners[name].handle(self.now, events.SetLeader(self.leader or None))
            self.shard_assigner[name] = ShardAssigner()
            self.schedule(0.0, self.tick_owner, name, self.owners[name])
        else:
            self.quota_clients[name] = c = QuotaClient(SPAN_S, rng)
            c.handle(self.now, self.allowances)
            if self.leader in self.shard_assigner and self.shard_assigner[self.leader].shard_map():
                c.handle(self.now, events.ShardMapReceived(self.shard_assigner[self.leader].shard_map()))
            self.schedule(0.0, self.due, name, c)

    def kill(self, name: str) -> None:
        self.dead.add(name)
        (self.owners if name[0] == "p" else self.quota_clients).pop(name)
        self.shard_assigner.pop(name, None)

    def leave(self, name: str) -> None:
        """Shut a proxy down gracefully after its requests have finished, as its program does."""
        quota_client = self.quota_clients[name]
        self.carry_out(name, quota_client.handle(self.now, events.Leave()))

        def end() -> None:
            if self.quota_clients.get(name) is not quota_client:
                return
            if quota_client.has_left:
                self.kill(name)
            else:
                self.schedule(0.02, end)

        end()

    def set_leader(self, name: str, leaderless_since: float | None = None) -> None:
        """Make a controller the leader, replacing the previous one."""
        self.term += 1
        for other, shard_assigner in self.shard_assigner.items():
            shard_assigner.handle(self.now, events.LiveControllers(list(self.owners), self.names))
            shard_assigner.handle(
                self.now, events.LeadershipChange(self.term if other == name else 0, True, leaderless_since)
            )
        self.leader = name
        for other, owner in self.owners.items():
            self.carry_out(other, owner.handle(self.now, events.SetLeader(name)))

    # Time and messages

    def schedule(self, delay: float, what: Any, *args: Any) -> None:
        heappush(self.queue, (self.now + delay, next(self.seq), (what, args)))

    def run(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, (what, args) = heappop(self.queue)
            what(*args)
        self.now = until

    def tick_owner(self, name: str, owner: ShardOwner) -> None:
        if self.owners.get(name) is owner:
            self.carry_out(name, owner.handle(self.now, Tick()))
            if name == self.leader:
                self.shard_assigner[name].handle(
                    self.now, events.LiveControllers(list(self.owners), self.names)
                )
                if data := self.shard_assigner[name].shard_map():
                    self.publish(name, data)
            self.carry_out(name, self.shard_assigner[name].handle(self.now, Tick()))
            self.schedule(0.1, self.tick_owner, name, owner)

    def due(self, name: str, quota_client: QuotaClient) -> None:
        if self.quota_clients.get(name) is quota_client:
            self.carry_out(name, quota_client.handle(self.now, Tick()))
            self.schedule(max(0.001, quota_client.due() - self.now), self.due, name, quota_client)

    def carry_out(self, name: str, outputs: list[Any]) -> None:
        for o in outputs:
            if type(o) is Send:
                kind = o.message.WhichOneof("kind")
                self.messages[kind] += 1
                reached = (name in self.partitioned) == (o.to in self.partitioned) or o.to == name
                if reached and (o.to == name or self.rng.random() >= self.loss):
                    self.schedule(self.rng.uniform(0.001, 0.004), self.deliver, name, o.to, o.message)
                    if self.duplication and self.rng.random() < self.duplication:
                        self.schedule(
                            self.rng.uniform(0.01, self.max_duplicate_delay_s),
                            self.deliver,
                            name,
                            o.to,
                            o.message,
                        )
            elif type(o) is ChargeDecision:
                self.charged(name, o)

    def publish(self, name: str, data: bytes) -> None:
        """Publish the shard map repeatedly, as the replicated change log would."""
        if self.published_map.get(name) == data and self.now < self.published_at + 0.5:
            return
        self.published_map[name], self.published_at = data, self.now
        for to in self.quota_clients:
            if (to in self.partitioned) == (name in self.partitioned):
                self.schedule(self.rng.uniform(0.05, 0.3), self.deliver_shard_map, to, data)

    def deliver_shard_map(self, to: str, data: bytes) -> None:
        if to in self.quota_clients:
            self.quota_clients[to].handle(self.now, events.ShardMapReceived(data))

    def deliver(self, sender: str, to: str, message: Any) -> None:
        if to in self.quota_clients:
            self.carry_out(to, self.quota_clients[to].handle(self.now, Received(sender, message)))
        elif to in self.owners:
            received = Received(sender, message)
            machine = (
                self.shard_assigner[to] if message.WhichOneof("kind") == "lease_request" else self.owners[to]
            )
            self.carry_out(to, machine.handle(self.now, received))

    # Requests

    def request(self, name: str, tenant: str, id: int | None = None, precedence: int = 0) -> int:
        id = self.rng.getrandbits(64) if id is None else id
        if name in self.quota_clients:
            self.tenant_of[id] = tenant, precedence
            self.request_count[tenant] += 1
            self.carry_out(
                name, self.quota_clients[name].handle(self.now, ChargeRequest(id, tenant, precedence, 0.06))
            )
        return id

    def charged(self, name: str, o: ChargeDecision) -> None:
        tenant, precedence = self.tenant_of.pop(o.attempt_id)
        if o.admitted:
            self.admitted_at[tenant].append(self.now)
        else:
            self.rejections.append((self.now, tenant, name, precedence))

    def load(self, tenant: str, rate: float, until: float, precedence: int = 0) -> None:
        """Generate requests at random times, at random proxies with unequal weights."""
        names = [n for n in self.quota_clients if n[0] == "s"]
        weights = [1 + 2 * random.Random(n).random() for n in names]

        def one() -> None:
            if self.now < until:
                self.request(self.rng.choices(names, weights)[0], tenant, precedence=precedence)
                self.schedule(self.rng.expovariate(rate), one)

        self.schedule(0.0, one)

    def max_in_span(self, tenant: str, since: float = 0.0) -> int:
        """The largest number of units admitted within any window of the rule QUOTA."""
        admitted_at = self.admitted_at[tenant]
        return max(
            (bisect_left(admitted_at, t + SPAN_S) - i for i, t in enumerate(admitted_at) if t >= since),
            default=0,
        )

    def allowance_bound(self, tenant: str) -> float:
        rate, burst = self.allowances.tenants[tenant]
        return (rate * SPAN_S + burst) * 1.1 + 20
