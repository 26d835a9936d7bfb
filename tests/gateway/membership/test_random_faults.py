"""Random faults: after their end, every table must contain exactly the running backends."""

import random
from math import inf

import pytest

from gateway.membership import events
from tests.gateway.membership.membership_network import CONTROLLER_ADDRESSES, system

HEARTBEAT_S = 1.3


class Fleet:
    """Backends that send heartbeats, drain, end, crash and reuse addresses, and retry their calls."""

    def __init__(self, net, rng):
        self.net, self.rng, self.count = net, rng, 0
        self.running, self.freed, self.late_heartbeats = {}, [], []
        for _ in range(8):
            self.start(f"10.9.0.{self.count}:80")

    def start(self, address):
        self.count += 1
        self.running[f"i-{self.count}"] = {
            "at": address,
            "seq": 0,
            "next": self.net.now + self.rng.random(),
            "to": self.rng.choice(CONTROLLER_ADDRESSES),
            "drain": False,
            "out": None,
        }

    def stop(self, id):
        self.freed.append((self.net.now + 2.0, self.running.pop(id)["at"]))

    def step(self):
        """Send due calls, and handle answers and timeouts."""
        now = self.net.now
        for id, b in self.running.items():
            if b["out"] and (answer := self.net.answer(b["to"], b["out"][0])) == "Acknowledged":
                b["out"] = None
            elif b["out"] and (answer or now > b["out"][1]):
                b.update(out=None, next=now, to=self.rng.choice(CONTROLLER_ADDRESSES))
            if b["out"] is None and now >= b["next"]:
                b.update(seq=b["seq"] + 1, next=now + HEARTBEAT_S)
                b["out"] = f"{id}/{b['seq']}", now + 1.0
                heartbeat = events.Heartbeat(
                    b["out"][0], id, "s", b["at"], "z", "v1", 2, b["drain"], 0.0, b["seq"]
                )
                self.net.deliver(b["to"], heartbeat)
                if self.rng.random() < 0.05:
                    self.late_heartbeats.append(
                        (now + 2 * self.rng.random(), heartbeat._replace(token="late"))
                    )
        for at, heartbeat in [x for x in self.late_heartbeats if x[0] <= now]:
            self.late_heartbeats.remove((at, heartbeat))
            self.net.deliver(self.rng.choice(CONTROLLER_ADDRESSES), heartbeat)


def inject_fault(net, fleet, rng, proxies, dead):
    """Inject a random fault."""
    ids = list(fleet.running)
    kind = rng.choice(["kill", "kill all", "cut", "heal", "crash", "drain", "start", "take over"])
    if kind.startswith("kill"):
        for controller in CONTROLLER_ADDRESSES if kind == "kill all" else [rng.choice(CONTROLLER_ADDRESSES)]:
            if controller in net.nodes:
                net.kill(controller)
                dead[controller] = net.now + rng.choice([0.3, 2.0, 10.0])
    elif kind in ("cut", "heal"):
        apart = (
            set(rng.sample([*CONTROLLER_ADDRESSES, *proxies], rng.randint(1, 3))) if kind == "cut" else set()
        )
        net.cut = lambda a, b: (a in apart) != (b in apart)
    elif kind == "crash" and ids:
        fleet.stop(rng.choice(ids))
    elif kind == "drain" and ids:
        fleet.running[rng.choice(ids)]["drain"] = True
    elif kind == "start" or not fleet.freed or fleet.freed[0][0] > net.now:
        fleet.start(f"10.9.1.{fleet.count}:80")
    else:
        fleet.start(fleet.freed.pop(0)[1])


@pytest.mark.parametrize("seed", range(12))
def test_tables_are_correct_after_random_faults(seed):
    rng = random.Random(seed)
    net, proxies = system(proxies=4, seed=seed, loss=rng.choice([0.0, 0.02, 0.2]))
    fleet, dead = Fleet(net, rng), {}
    for n in range(1100):
        net.run(0.05)
        if n == 700:
            net.cut, net.loss = lambda a, b: False, 0.02
        for controller in [p for p, at in dead.items() if at <= net.now]:
            del dead[controller]
            net.controller(controller)
        for controller in [p for p in CONTROLLER_ADDRESSES if p in net.nodes]:
            met = sum(o in net.nodes and not net.cut(controller, o) for o in CONTROLLER_ADDRESSES)
            net.deliver(controller, events.SetQuorumContact(inf if met >= 2 else net.now))
        fleet.step()
        if n < 700 and rng.random() < 0.03:
            inject_fault(net, fleet, rng, proxies, dead)
    expected = {id: (b["at"], b["drain"]) for id, b in fleet.running.items()}
    assert {
        a: {id: (b.address, b.draining) for id, b in net.table(a).items()} for a in net.nodes
    } == dict.fromkeys(net.nodes, expected)
