"""Quota clients return their shares on a graceful shutdown, and have none after a restart."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest

from gateway.programs.proxy_node import ProxyNode
from gateway.programs.startup import QUOTA
from gateway.quota.events import Leave, Received, ShardMapReceived
from gateway.quota.local_quota import LocalQuota
from gateway.quota.protocol import SHARDS, SHARE_S
from gateway.quota.quota_client import QuotaClient
from gateway.quota.quota_pb2 import Charge, ClientHeartbeat, ClientHeartbeatReply, Message, ShardMap
from gateway.runtime.settings import read_document
from tests.gateway.quota.quota_network import QuotaNetwork

NORMAL_LOAD, OVERLOAD = 30.0, 480.0  # requests per second; the tenant's allowance is 60
DOWNTIME_S = 3.0  # downtime of a proxy
SHUTDOWN_INTERVAL_S = 2.0  # minimum interval between the shutdowns of two proxies


def network_under_load(proxies: int, seed: int, rate: float) -> QuotaNetwork:
    """A network in which all proxies that aren't leaving receive requests; `rate` applies to 14 proxies."""
    scale = max(1.0, proxies / 14)
    net = QuotaNetwork(proxies, 3, {"calm": (60.0 * scale, 60.0 * scale)}, seed)

    def one() -> None:
        serving = [name for name, client in net.quota_clients.items() if not client.leaving]
        net.request(net.rng.choice(serving), "calm")
        net.schedule(net.rng.expovariate(rate * scale), one)

    net.run(6.0)
    net.schedule(0.0, one)
    net.run(20.0)
    return net


def lose_owner(net: QuotaNetwork) -> None:
    """Kill the owner of the tenant's shard; a new controller starts at another address."""
    gone = next(
        (name for name, owner in net.owners.items() if owner.counter_states(net.now)), next(iter(net.owners))
    )
    net.kill(gone)
    net.run(net.now + 0.6)
    if net.leader in net.dead:
        net.set_leader(next(iter(net.owners)))
    fresh = f"p{3 + len(net.dead)}"
    net.names = [*(name for name in net.names if name != gone), fresh]
    net.start(fresh)


def rolling_restart(
    proxies: int,
    seed: int,
    rate: float = NORMAL_LOAD,
    loss: float = 0.0,
    duplication: float = 0.0,
    same_address: bool = True,
) -> QuotaNetwork:
    """Shut the proxies down one after another; at times the owner of the tenant's shard is lost as well.

    The next incarnation starts at the same address or, if `same_address` is False, at another one.
    """
    net = network_under_load(proxies, seed, rate)
    net.loss, net.duplication = loss, duplication
    for n in range(proxies):
        at = net.now
        net.leave(f"s{n}")
        net.schedule(DOWNTIME_S, net.start, f"s{n if same_address else proxies + n}")
        if n % (proxies // 4) == 1:
            net.run(at + 0.5)
            lose_owner(net)
        net.run(at + SHUTDOWN_INTERVAL_S)
    net.run(net.now + 10.0)
    return net


def owner_of(net: QuotaNetwork) -> str:
    """The controller that counts the tenant."""
    return next(name for name, owner in net.owners.items() if owner.counter_states(net.now))


@pytest.mark.parametrize("same_address", [True, False])
def test_rolling_restart_reserves_no_allowance(same_address: bool) -> None:
    for seed in (1, 2):
        net = rolling_restart(14, seed, same_address=same_address)
        assert len(net.rejections) < 0.03 * net.request_count["calm"]
        assert net.max_in_span("calm") <= net.allowance_bound("calm")


@pytest.mark.parametrize(("loss", "duplication"), [(0.0, 0.0), (0.3, 0.0), (0.1, 0.3)])
def test_overload_during_a_rolling_restart(loss: float, duplication: float) -> None:
    for seed in (1, 2):
        net = rolling_restart(14, seed, OVERLOAD, loss, duplication)
        assert net.max_in_span("calm") <= net.allowance_bound("calm")


def cut_off_after_leaving(seed: int) -> QuotaNetwork:
    """Under overload, partition ten of 14 proxies after they announced that they leave."""
    net = network_under_load(14, seed, OVERLOAD)
    leaving = [f"s{n}" for n in range(10)]
    for name in leaving:
        net.carry_out(name, net.quota_clients[name].handle(net.now, Leave()))
    net.run(net.now + 0.05)
    net.partitioned = set(leaving)
    until = net.now + 10.0

    def one() -> None:
        net.request(net.rng.choice(leaving), "calm")
        if net.now < until:
            net.schedule(net.rng.expovariate(OVERLOAD), one)

    net.schedule(0.0, one)
    net.run(until)
    return net


def test_client_that_left_does_not_use_its_share(monkeypatch: pytest.MonkeyPatch) -> None:
    net = cut_off_after_leaving(1)
    assert net.max_in_span("calm") <= net.allowance_bound("calm")
    monkeypatch.setattr(LocalQuota, "give_up_share", lambda self: None)  # injected bug
    net = cut_off_after_leaving(1)
    assert net.max_in_span("calm") > net.allowance_bound("calm")


def test_returned_share_is_free_at_once_and_its_units_are_counted() -> None:
    net = network_under_load(3, 1, NORMAL_LOAD)
    owner = net.owners[owner_of(net)]
    (count,) = owner.counters.values()
    before, admitted = count.shares.by_client["s0"].spent, count.admitted
    (local_quota,) = net.quota_clients["s0"].local_quotas.values()
    assert local_quota.has_share(net.now) and count.shares.by_client["s0"].outstanding
    local_quota.spent += 2
    net.carry_out("s0", net.quota_clients["s0"].handle(net.now, Leave()))
    net.run(net.now + 0.01)
    share = count.shares.by_client["s0"]
    assert (share.outstanding, share.spent - before) == (0, 2) and count.admitted >= admitted + 2
    net.run(net.now + 1.0)
    assert owner.counter_states(net.now)["calm"][2] == 0.0 and "s0" not in owner.registry.unresponsive


def test_late_messages_of_a_client_that_left_do_not_restore_its_share() -> None:
    net = network_under_load(3, 1, NORMAL_LOAD)
    owner = net.owners[owner_of(net)]
    (number, count), client = next(iter(owner.counters.items())), net.quota_clients["s0"]
    late = ClientHeartbeat(incarnation=client.incarnation, shards=client.links.links[owner_of(net)].shards)
    late.shares.add(tenant=number, size=2000, expires_in_ms=9000)
    charge = Charge(id=1, tenant=number, incarnation=client.incarnation)
    net.leave("s0")
    net.run(net.now + 0.3)
    heard = owner.registry.clients["s0"].last_contact_at
    for message in (Message(client_heartbeat=late), Message(charge=charge)):
        (answer,) = owner.handle(net.now, Received("s0", message))
        assert not answer.message.verdict.share_number
    for id in range(2, 42):  # enough demand for a share of any other client
        net.run(net.now + 0.05)
        charge.id = id
        (answer,) = owner.handle(net.now, Received("s0", Message(charge=charge)))
        assert not answer.message.verdict.share_number
    assert "s0" not in count.shares.by_client or count.shares.by_client["s0"].outstanding == 0
    assert owner.registry.clients["s0"].last_contact_at == heard


def test_late_leave_of_an_earlier_incarnation_is_ignored() -> None:
    net = network_under_load(3, 1, NORMAL_LOAD)
    owner, client = net.owners[owner_of(net)], net.quota_clients["s0"]
    assert isinstance(client, QuotaClient)
    leave = ClientHeartbeat(incarnation=client.incarnation, leaving=True)
    net.leave("s0")
    net.run(net.now + 0.5)
    net.start("s0")
    net.run(net.now + 5.0)
    (count,) = owner.counters.values()
    outstanding = count.shares.by_client["s0"].outstanding
    assert outstanding and owner.handle(net.now, Received("s0", Message(client_heartbeat=leave))) == []
    assert owner.handle(net.now, Received("s0", Message(charge=Charge(incarnation=leave.incarnation)))) == []
    leave.incarnation = 99  # an incarnation that is unknown
    assert owner.handle(net.now, Received("s0", Message(client_heartbeat=leave))) == []
    assert count.shares.by_client["s0"].outstanding == outstanding


def test_lost_leave_messages_reserve_the_share_until_it_expires() -> None:
    net = network_under_load(3, 1, NORMAL_LOAD)
    owner = net.owners[owner_of(net)]
    net.partitioned = {"s0"}
    net.leave("s0")
    net.run(net.now + 2.0)
    assert "s0" not in net.quota_clients and owner.counter_states(net.now)["calm"][2] > 0.0
    net.run(net.now + SHARE_S)
    assert owner.counter_states(net.now)["calm"][2] == 0.0


def test_restarted_client_has_no_unreported_share() -> None:
    """A new owner that knows the share of the earlier incarnation must reserve nothing for the next one."""
    net = network_under_load(3, 1, NORMAL_LOAD)
    lose_owner(net)
    net.run(net.now + 3.5)
    owner = net.owners[owner_of(net)]
    (number,) = owner.counters
    assert not owner.has_unreported_shares(net.now, number % SHARDS)
    net.kill("s0")
    reborn = Charge(id=1, tenant=number, incarnation=77)
    owner.handle(net.now, Received("s0", Message(charge=reborn)))
    assert not owner.has_unreported_shares(net.now, number % SHARDS)


class OwnerStub:
    """A proxy's driver that answers in place of the only shard owner."""

    def __init__(self) -> None:
        self.heard: list[ClientHeartbeat] = []
        self.proxy_node: Any = None

    def send(self, to: str, plane: int, message: Any) -> None:
        if plane == QUOTA:
            self.heard.append(message.client_heartbeat)
            reply = Message(
                client_heartbeat_reply=ClientHeartbeatReply(number=message.client_heartbeat.number)
            )
            asyncio.get_running_loop().call_soon(self.proxy_node.on_quota_message, to, reply)


def test_proxy_returns_its_shares_on_shutdown() -> None:
    async def main() -> list[ClientHeartbeat]:
        loop, driver = asyncio.get_running_loop(), OwnerStub()
        own = {"node": "n", "role": "proxy", "ip": "10.1.0.9", "zone": "z"}
        network = {"port-range": [8400, 8409], "seeds": ["10.1.0.1:8407"], "zones": {"z": "r"}}
        settings = read_document({"self": own, "network": network}).unwrap()
        upstream: Any = None
        node = driver.proxy_node = ProxyNode(driver, loop, loop.time, settings, upstream, random.Random(1))
        shard_map = ShardMap(term=1, number=1, owners=["10.1.0.1:7661"], owner_of_shard=bytes(SHARDS))
        node.handle_quota(ShardMapReceived(shard_map.SerializeToString()))
        await node.leave_quota()
        assert node.quota_timer is not None
        node.quota_timer.cancel()
        return driver.heard

    assert [heartbeat.leaving for heartbeat in asyncio.run(main())] == [True]
