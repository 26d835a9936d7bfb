"""Quota clients that end in order return their shares, and those that begin anew have none."""

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

NORMAL, EIGHT_TIMES = 30.0, 480.0  # requests a second, of a tenant that may send 60
BACK_S = 3.0  # from a proxy's end to its next start
STEP_S = 2.0  # from one proxy's end to the next one's, at least


def loaded(proxies: int, seed: int, rate: float) -> QuotaNetwork:
    """A net in which requests go to all proxies that have not begun to leave. Rates are for 14 proxies."""
    scale = max(1.0, proxies / 14)
    net = QuotaNetwork(proxies, 3, {"calm": (60.0 * scale, 60.0 * scale)}, seed)

    def one() -> None:
        serving = [name for name, client in net.quota_clients.items() if not client.leaving]
        net.ask(net.rng.choice(serving), "calm")
        net.schedule(net.rng.expovariate(rate * scale), one)

    net.run(6.0)
    net.schedule(0.0, one)
    net.run(20.0)
    return net


def lose_owner(net: QuotaNetwork) -> None:
    """Kill the owner of the tenant's shard; another controller leads, and one at another address begins."""
    gone = next(
        (name for name, owner in net.owners.items() if owner.counter_states(net.now)), next(iter(net.owners))
    )
    net.kill(gone)
    net.run(net.now + 0.6)
    if net.leader in net.dead:
        net.lead(next(iter(net.owners)))
    fresh = f"p{3 + len(net.dead)}"
    net.names = [*(name for name in net.names if name != gone), fresh]
    net.start(fresh)


def roll(
    proxies: int, seed: int, rate: float = NORMAL, loss: float = 0.0, doubled: float = 0.0, back: bool = True
) -> QuotaNetwork:
    """One proxy after the other ends in order; at times the owner of the tenant's shard is lost as well.

    The next incarnation begins at the same address, or with `back` False at another one.
    """
    net = loaded(proxies, seed, rate)
    net.loss, net.doubled = loss, doubled
    for n in range(proxies):
        at = net.now
        net.leave(f"s{n}")
        net.schedule(BACK_S, net.start, f"s{n if back else proxies + n}")
        if n % (proxies // 4) == 1:
            net.run(at + 0.5)
            lose_owner(net)
        net.run(at + STEP_S)
    net.run(net.now + 10.0)
    return net


def owner_of(net: QuotaNetwork) -> str:
    """The controller that counts the tenant."""
    return next(name for name, owner in net.owners.items() if owner.counter_states(net.now))


@pytest.mark.parametrize("back", [True, False])
def test_a_roll_keeps_no_allowance_back(back: bool) -> None:
    for seed in (1, 2):
        net = roll(14, seed, back=back)
        assert len(net.refused) < 0.03 * net.asked["calm"]
        assert net.most("calm") <= net.bound("calm")


@pytest.mark.parametrize(("loss", "doubled"), [(0.0, 0.0), (0.3, 0.0), (0.1, 0.3)])
def test_under_press_the_rule_holds_in_a_roll(loss: float, doubled: float) -> None:
    for seed in (1, 2):
        net = roll(14, seed, EIGHT_TIMES, loss, doubled)
        assert net.most("calm") <= net.bound("calm")


def cut_off_after_leaving(seed: int) -> QuotaNetwork:
    """Under press ten of 14 proxies say that they leave; then these are cut off, and asked all the same."""
    net = loaded(14, seed, EIGHT_TIMES)
    leaving = [f"s{n}" for n in range(10)]
    for name in leaving:
        net.act(name, net.quota_clients[name].handle(net.now, Leave()))
    net.run(net.now + 0.05)
    net.away = set(leaving)
    until = net.now + 10.0

    def one() -> None:
        net.ask(net.rng.choice(leaving), "calm")
        if net.now < until:
            net.schedule(net.rng.expovariate(EIGHT_TIMES), one)

    net.schedule(0.0, one)
    net.run(until)
    return net


def test_one_that_left_lets_nothing_go_by_its_share(monkeypatch: pytest.MonkeyPatch) -> None:
    net = cut_off_after_leaving(1)
    assert net.most("calm") <= net.bound("calm")
    monkeypatch.setattr(LocalQuota, "give_up_share", lambda self: None)  # the planted fault
    net = cut_off_after_leaving(1)
    assert net.most("calm") > net.bound("calm")


def test_a_share_is_free_at_once_and_what_it_let_go_is_counted() -> None:
    net = loaded(3, 1, NORMAL)
    owner = net.owners[owner_of(net)]
    (count,) = owner.counters.values()
    before, admitted = count.shares.by_client["s0"].spent, count.admitted
    (local_quota,) = net.quota_clients["s0"].local_quotas.values()
    assert local_quota.has_share(net.now) and count.shares.by_client["s0"].outstanding
    local_quota.spent += 2
    net.act("s0", net.quota_clients["s0"].handle(net.now, Leave()))
    net.run(net.now + 0.01)
    share = count.shares.by_client["s0"]
    assert (share.outstanding, share.spent - before) == (0, 2) and count.admitted >= admitted + 2
    net.run(net.now + 1.0)
    assert owner.counter_states(net.now)["calm"][2] == 0.0 and "s0" not in owner.registry.unresponsive


def test_a_late_message_of_one_that_left_brings_no_share_back() -> None:
    net = loaded(3, 1, NORMAL)
    owner = net.owners[owner_of(net)]
    (number, count), client = next(iter(owner.counters.items())), net.quota_clients["s0"]
    late = ClientHeartbeat(incarnation=client.incarnation, shards=client.links.links[owner_of(net)].shards)
    late.shares.add(tenant=number, size=2000, expires_in_ms=9000)
    charge = Charge(id=1, tenant=number, incarnation=client.incarnation)
    net.leave("s0")
    net.run(net.now + 0.3)
    heard = owner.registry.clients["s0"].last_heard_at
    for message in (Message(client_heartbeat=late), Message(charge=charge)):
        (answer,) = owner.handle(net.now, Received("s0", message))
        assert not answer.message.verdict.share_number
    for id in range(2, 42):  # enough for a share of any other's
        net.run(net.now + 0.05)
        charge.id = id
        (answer,) = owner.handle(net.now, Received("s0", Message(charge=charge)))
        assert not answer.message.verdict.share_number
    assert "s0" not in count.shares.by_client or count.shares.by_client["s0"].outstanding == 0
    assert owner.registry.clients["s0"].last_heard_at == heard


def test_an_earlier_incarnation_that_leaves_late_takes_nothing_from_the_next_one() -> None:
    net = loaded(3, 1, NORMAL)
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
    leave.incarnation = 99  # one that was never heard
    assert owner.handle(net.now, Received("s0", Message(client_heartbeat=leave))) == []
    assert count.shares.by_client["s0"].outstanding == outstanding


def test_lost_messages_leave_a_client_awaited_until_its_share_is_over() -> None:
    net = loaded(3, 1, NORMAL)
    owner = net.owners[owner_of(net)]
    net.away = {"s0"}
    net.leave("s0")
    net.run(net.now + 2.0)
    assert "s0" not in net.quota_clients and owner.counter_states(net.now)["calm"][2] > 0.0
    net.run(net.now + SHARE_S)
    assert owner.counter_states(net.now)["calm"][2] == 0.0


def test_one_that_begins_anew_has_no_untold_share() -> None:
    """A new owner that was told the share of the earlier incarnation keeps nothing back for the next one."""
    net = loaded(3, 1, NORMAL)
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
    """A proxy's driver that stands in for the only shard owner, and answers."""

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


def test_a_proxy_that_ends_returns_its_shares() -> None:
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
