"""The single state machines of the quota plane: leases, retries, refunds, shares."""

import random
import re
from typing import Any

import pytest
from syrupy.assertion import SnapshotAssertion

from gateway.quota.events import (
    Allowances,
    ChargeRequest,
    LeadershipChange,
    LiveControllers,
    Received,
    Refund,
    SetLeader,
    ShardMapReceived,
    Tick,
)
from gateway.quota.outputs import ChargeDecision, PublishShardMap
from gateway.quota.protocol import ALL_SHARDS, attempt_number
from gateway.quota.quota_client import QuotaClient
from gateway.quota.quota_pb2 import LeaseGrant, LeaseRequest, Message, ShardMap
from gateway.quota.shard_assigner import ShardAssigner
from gateway.quota.shard_owner import ShardOwner
from gateway.quota.window import plan
from gateway.state_machine import Send

TENANTS = Allowances({"a": (10.0, 10.0)})


class OwnerWithClients:
    """An owner of all shards with an open count, and two clients; messages arrive at once."""

    def __init__(self) -> None:
        rng = random.Random(1)
        self.now, self.number, self.lost = 0.0, 0, False
        self.owner = ShardOwner(5.0, rng)
        self.quota_clients = {"s0": QuotaClient(5.0, rng), "s1": QuotaClient(5.0, rng)}
        shard_map = ShardMapReceived(
            ShardMap(term=1, number=1, owners=["h"], owner_of_shard=bytes(64)).SerializeToString()
        )
        self.owner.handle(0.0, TENANTS)
        self.owner.handle(0.0, SetLeader("p0"))
        for quota_client in self.quota_clients.values():
            quota_client.handle(0.0, TENANTS)
            quota_client.handle(0.0, shard_map)
        self.pass_time(1.25)

    def pass_time(self, seconds: float) -> list[ChargeDecision]:
        """Advance the time while the lease is renewed."""
        until, out = self.now + seconds, []
        while self.now < until - 1e-9:
            self.now = min(until, self.now + 0.02)
            self.number += 1
            lease_grant = LeaseGrant(
                incarnation=self.owner.incarnation,
                request_sent_at=self.now,
                term=1,
                number=self.number,
                shards=ALL_SHARDS,
            )
            self.owner.handle(self.now, Received("p0", Message(lease_grant=lease_grant)))
            self.owner.handle(self.now, Tick())
            for name, quota_client in self.quota_clients.items():
                if self.now >= quota_client.due():
                    out += self.carry_out(name, quota_client.handle(self.now, Tick()))
        return out

    def carry_out(self, name: str, outputs: list[Any]) -> list[ChargeDecision]:
        """Carry messages from a quota client to the shard owner and back."""
        out = [o for o in outputs if type(o) is ChargeDecision]
        for o in outputs:
            if type(o) is Send and not self.lost:
                for answer in self.owner.handle(self.now, Received(name, o.message)):
                    out += self.carry_out(
                        name, self.quota_clients[name].handle(self.now, Received("h", answer.message))
                    )
        return out

    def request(self, name: str, id: int, tenant: str = "a") -> str:
        """Send one request; returns the decision, or '' if there is none yet."""
        out = self.carry_out(
            name, self.quota_clients[name].handle(self.now, ChargeRequest(id, tenant, 0, 0.09))
        )
        return ("go" if out[0].admitted else "over") if out else ""

    def remaining(self) -> float:
        """Remaining units according to the shard owner."""
        return self.owner.counter_states(self.now)["a"][0]


def test_retry_counts_once_at_any_client() -> None:
    pair = OwnerWithClients()
    assert [pair.request("s0", 7), pair.request("s1", 7), pair.request("s1", 8)] == ["go"] * 3
    assert pair.remaining() == 8.0
    pair.pass_time(2.5)
    assert pair.request("s1", 7) == "go" and pair.remaining() == 10.0


def test_unit_is_refunded_once() -> None:
    pair = OwnerWithClients()
    for id in range(10):
        assert pair.request("s0", id) == "go"
    assert pair.request("s1", 50) == "over"
    pair.carry_out("s0", pair.quota_clients["s0"].handle(pair.now, Refund(3)))
    pair.carry_out("s0", pair.quota_clients["s0"].handle(pair.now, Refund(3)))
    pair.carry_out("s1", pair.quota_clients["s1"].handle(pair.now, Refund(50)))
    assert pair.remaining() == 1.0
    # Rejected locally for a while, although a unit was refunded.
    assert [pair.request("s0", 3), pair.request("s0", 60)] == ["over"] * 2
    pair.pass_time(0.26)
    assert [pair.request("s0", 70), pair.request("s0", 71)] == ["go", "over"]


def test_client_without_a_shard_owner_stays_within_its_share() -> None:
    pair = OwnerWithClients()
    for n in range(60):  # 5 per second at each client, half a share
        pair.request(f"s{n % 2}", 1000 + n)
        pair.pass_time(0.1)
    pair.lost = True
    out = []
    for n in range(200):
        out += pair.carry_out(
            "s0", pair.quota_clients["s0"].handle(pair.now, ChargeRequest(2000 + n, "a", 0, 0.09))
        )
        out += pair.pass_time(0.04)
    out += pair.pass_time(0.2)
    late = [charged for charged in out if charged.admitted]
    assert 30 <= len(late) <= 50  # 5 per second for 8 s
    pair.lost = False
    pair.pass_time(1.3)
    assert pair.request("s0", 3000) == "go"  # contact is restored without intervention


def test_new_client_has_no_share_and_unlimited_tenants_need_no_message() -> None:
    pair = OwnerWithClients()
    pair.lost = True
    assert pair.request("s0", 1) == ""
    assert [charged.admitted for charged in pair.pass_time(0.3)] == [False]
    assert pair.request("s0", 2, "unlimited") == "go"


def test_shard_owner_decides_only_under_its_lease_and_from_the_next_window() -> None:
    pair = OwnerWithClients()
    assert pair.request("s0", 1) == "go"
    pair.now += 2.0
    assert pair.request("s0", 2) == "over"  # no lease and no share
    pair.pass_time(0.9)
    assert "a" not in pair.owner.counter_states(pair.now)
    pair.pass_time(0.2)
    assert pair.request("s0", 3) == "go"


def test_messages_are_small() -> None:
    pair, sizes = OwnerWithClients(), []
    quota_client, first = pair.quota_clients["s0"], attempt_number("9c41d07be2a35f68")
    for id in range(first, first + 30):
        for send in quota_client.handle(pair.now, ChargeRequest(id, "a", 3, 0.1)):
            if type(send) is Send:
                (answer,) = pair.owner.handle(pair.now, Received("s0", send.message))
                quota_client.handle(pair.now, Received("h", answer.message))
                sizes += [send.message.ByteSize(), answer.message.ByteSize()]
        pair.pass_time(0.3)
    assert max(sizes) < 60


@pytest.mark.parametrize("rate,burst", [(63, 63), (60, 120), (300, 450), (100, 0), (7, 3), (0.1, 99), (1, 0)])
def test_windows_satisfy_the_quota_rule(rate: float, burst: float) -> None:
    window = plan(rate, burst, 5.0)
    assert window is not None
    windows = int(5.0 / window.length_s + 1e-9) + 1 + (5.0 / window.length_s % 1 > 1e-9)
    assert windows * window.allowance <= (rate * 5 + burst) * 1.1 + 20
    assert window.allowance / window.length_s >= 0.95 * rate
    assert plan(63, 63, 5.0) == (1.0, 63.0) and plan(0, 5, 5.0) is None


class RecordedAssigner:
    """A leader, and a transcript of the requests it receives and its outputs."""

    def __init__(self) -> None:
        self.shard_assigner, self.lines = ShardAssigner(), list[str]()
        # The newest lease of each owner: term, number, shards.
        self.leases: dict[str, tuple[int, int, int]] = {}
        self.incarnations: dict[str, int] = {}

    def do(self, now: float, input: Any) -> None:
        """Process one input, and add the outputs to the transcript."""
        for o in self.shard_assigner.handle(now, input):
            if type(o) is PublishShardMap:
                shard_map = ShardMap.FromString(o.data)
                count = [shard_map.owner_of_shard.count(i) for i in range(len(shard_map.owners))]
                self.lines.append(
                    f"{now:5.2f} shard map {tuple(o.fencing_token)} {list(shard_map.owners)} {count}"
                )
            else:
                lease_grant = o.message.lease_grant
                self.leases[o.to] = lease_grant.term, lease_grant.number, lease_grant.shards
                count = lease_grant.shards.bit_count()
                self.lines.append(f"{now:5.2f} -> {o.to} {count} shards, fence {lease_grant.number}")

    def request_lease(self, now: float, name: str, shards: int | None = None) -> None:
        """Send an owner's request, which reports the shards of its last lease or these shards."""
        term, number, owned = self.leases.get(name, (0, 0, 0))
        owned = owned if shards is None else shards
        self.lines.append(f"{now:5.2f} {name} requests, owns {owned.bit_count()}")
        request = LeaseRequest(
            incarnation=self.incarnations.get(name, 1),
            sent_at=now,
            term=term,
            number=number,
            shards=owned,
        )
        self.do(now, Received(name, Message(lease_request=request)))

    def ticks(self, begin: float, end: float, *names: str) -> None:
        """Advance the time; the named owners send a request every 0.6 s."""
        for step in range(round((end - begin) * 10)):
            now = begin + step / 10
            if step % 6 == 0:
                for name in names:
                    self.request_lease(now, name)
            self.do(now, Tick())


def test_shards_move_between_owners_under_leases(snapshot: SnapshotAssertion) -> None:
    assigner = RecordedAssigner()
    assigner.do(0.0, LiveControllers(["p0", "p1"]))
    assigner.do(0.0, LeadershipChange(1, True))
    assigner.lines.append(
        "-- a new leader waits for leases of an earlier one to expire, and confirms reported shards"
    )
    assigner.request_lease(0.1, "p0", 0b1111)
    assigner.ticks(1.9, 2.4, "p0")
    assigner.lines.append(
        "-- another owner joins; after 2 s the first one gives up its shards, which are then leased"
    )
    assigner.ticks(2.5, 6.0, "p0", "p1")
    assigner.lines.append("-- it stops responding, and its shards are free when its lease has expired")
    assigner.ticks(6.1, 8.2, "p0")
    assigner.lines.append("-- a restarted process owns nothing")
    assigner.incarnations["p0"], assigner.leases["p0"] = 2, (0, 0, 0)
    assigner.request_lease(8.5, "p0")
    assigner.do(8.6, LeadershipChange(0, False))
    assigner.request_lease(8.7, "p0")
    assert "\n".join(assigner.lines) == snapshot


def test_first_shard_map_after_a_restart_of_all_is_complete() -> None:
    assigner = RecordedAssigner()
    assigner.do(1.0, LiveControllers(["p0", "p1", "p2"], ["p0", "p1", "p2"]))
    assigner.do(1.0, LeadershipChange(1, True))
    for name in ("p0", "p1", "p2"):
        assigner.request_lease(1.05, name)
    (published,) = (line for line in assigner.lines if "shard map" in line)
    assert (
        "'p0', 'p1', 'p2'" in published and sum(map(int, re.findall(r"\d+", published.split("] [")[1]))) == 64
    )


def shard_maps(assigner: RecordedAssigner, ticks: list[float]) -> list[str]:
    """The shard maps that a new leader of three controllers has published after these ticks."""
    names = ["p0", "p1", "p2"]
    assigner.do(ticks[0], LeadershipChange(1, True))
    assigner.do(ticks[0], LiveControllers(names, names))
    for now in ticks:
        assigner.do(now, Tick())
    return [line for line in assigner.lines if " shard map " in line]


def test_requests_received_just_before_the_leader_lease_are_handled() -> None:
    assigner = RecordedAssigner()
    assigner.do(0.005, LeadershipChange(1, False))
    for name in ("p0", "p1", "p2"):
        assigner.request_lease(0.01, name)
    assert "['p0', 'p1', 'p2']" in shard_maps(assigner, [0.02, 0.045])[-1]
    former = RecordedAssigner()
    for name in ("p0", "p1", "p2"):
        former.request_lease(
            0.01, name
        )  # it isn't the leader; another leader may grant more leases meanwhile
    assert shard_maps(former, [0.02, 0.045]) == []
    late = RecordedAssigner()
    late.do(0.005, LeadershipChange(1, False))
    late.request_lease(0.01, "p0")
    assert shard_maps(late, [0.2]) == []  # p0 has repeated the request or is gone


def test_incomplete_shard_map_is_replaced_at_once() -> None:
    assigner = RecordedAssigner()
    assigner.do(0.0, LeadershipChange(1, True))
    assigner.do(0.0, LiveControllers(["p0", "p1", "p2"], ["p0", "p1", "p2"]))
    for name in ("p0", "p1", "p2"):
        assigner.request_lease(0.01, name)
    assigner.do(0.03, Tick())
    assert "['p0', 'p1', 'p2']" in [line for line in assigner.lines if " shard map " in line][-1]


def test_no_shard_has_two_owners() -> None:
    """Owners that start, stop, hang and miss messages must never own a shard at the same time."""
    rng, shard_assigner = random.Random(5), ShardAssigner()
    owners = {name: ShardOwner(5.0, random.Random(name)) for name in ("p0", "p1", "p2")}
    hung: dict[str, float] = {}
    shard_assigner.handle(0.0, LiveControllers(list(owners)))
    shard_assigner.handle(0.0, LeadershipChange(1, True))
    for owner in owners.values():
        owner.handle(0.0, SetLeader("p0"))
    owned = 0
    for step in range(4000):
        now = step * 0.05
        if rng.random() < 0.01:
            hung[rng.choice(list(owners))] = now + rng.uniform(0.5, 4.0)
        if rng.random() < 0.005:
            shard_assigner.handle(now, LeadershipChange(shard_assigner.term + 1, True))
        outputs = [("", o) for o in shard_assigner.handle(now, Tick())]
        for name, owner in owners.items():
            if now >= hung.get(name, 0.0):
                outputs += [(name, o) for o in owner.handle(now, Tick())]
        while outputs:
            sender, o = outputs.pop(0)
            if type(o) is PublishShardMap or rng.random() < 0.2:
                continue
            if o.message.WhichOneof("kind") == "lease_request":
                outputs += [("", x) for x in shard_assigner.handle(now, Received(sender, o.message))]
            elif now >= hung.get(o.to, 0.0):
                owners[o.to].handle(now, Received("p0", o.message))
        masks = [h.lease.shards if now < h.lease.expires_at else 0 for h in owners.values()]
        assert not (masks[0] & masks[1] | masks[0] & masks[2] | masks[1] & masks[2])
        owned += sum(mask.bit_count() for mask in masks)
    assert owned > 0.6 * 64 * 4000
