"""Proxies and controllers connected by a simulated network, and configurations, for drift tests."""

import copy
import heapq
import json
import random
from types import SimpleNamespace

from gateway.config.changes import ConfigState, decide
from gateway.config.digest import ExpectedDigests
from gateway.membership import codec, events, outputs
from gateway.membership.controller import ControllerMembership
from gateway.membership.types import ValueKind
from gateway.programs.fleet_monitor import FleetMonitor
from gateway.programs.proxy_node import ProxyNode
from gateway.programs.startup import MEMBERSHIP
from gateway.runtime import settings as files
from gateway.state_machine import FencingToken, Send
from ingress.net.connection_interfaces import USUAL

TICK_S = 0.05
CONTROLLER_ADDRESSES = [f"10.{zone}.0.1:7661" for zone in (1, 2, 3)]
NOTHING = SimpleNamespace(cancel=lambda: None, when=lambda: 0.0)


def route(label, target="s1", **more):
    spec = {
        "hostname": "a.example",
        "path-prefix": f"/{label}/",
        "traffic-class": "safe",
        "deadline-s": 2,
        "weighted": [{"target": target, "share": 90}, {"target": "s2", "share": 10}],
        "max-tries": 2,
    }
    return {"entry-kind": "route-table", "metadata": {"label": label}, "spec": {**spec, **more}}


def config(generation=1, base=0, more=(), **routes):
    entries = [route("r1"), route("r2"), *(route(label, target) for label, target in routes.items()), *more]
    entries += [{"entry-kind": "services", "metadata": {"label": s}, "spec": {}} for s in ("s1", "s2")]
    entries += [
        {
            "entry-kind": "tenants",
            "metadata": {"label": t},
            "spec": {"api-keys": [f"{t}-a", f"{t}-b"], "rate-per-s": 20, "burst": 20},
        }
        for t in ("t1", "t2")
    ]
    return json.dumps({"generation": generation, "base-version": base, "resource-list": entries}).encode()


def accepted(body, config_state=None):
    """The state after accepting a change."""
    decision = decide(config_state or ConfigState(), "PUT", body)
    assert decision.status == 200, decision
    return decision.config_state


class SimulatedProxy:
    """The state machines of a proxy."""

    def __init__(self, net, address):
        ip, port = address.split(":")
        update = {
            "self": {"node": ip, "role": "proxy", "ip": ip, "zone": "z"},
            "network": {
                "port-range": [int(port), int(port) + 9],
                "seeds": [p.replace("7661", "8407") for p in CONTROLLER_ADDRESSES],
                "zones": {"z": "r"},
            },
        }
        loop = SimpleNamespace(call_later=lambda *a: NOTHING, call_at=lambda *a: NOTHING, time=net.clock)
        self.outputs, self.limits_in_force, self.skew, self.versions = [], USUAL, 0.0, []
        self.proxy_node = ProxyNode(
            self,
            loop,
            lambda: net.now + self.skew,
            files.read_document(update).unwrap(),
            None,
            random.Random(address),
        )
        self.drift_monitor, self.drift_detector = (
            self.proxy_node.drift_monitor,
            self.proxy_node.drift_monitor.drift_detector,
        )

    def send(self, to, plane, message):
        if plane == MEMBERSHIP:
            self.outputs.append(Send(to, message))

    def limit(self, limits):
        self.limits_in_force = limits

    def limits(self):
        return self.limits_in_force

    def handle(self, now, event):
        self.proxy_node.handle_membership(event)
        if self.versions[-1:] != [self.proxy_node.version]:
            self.versions.append(self.proxy_node.version)
        outputs_found, self.outputs = self.outputs, []
        return outputs_found

    def ask(self, path="/r1/x", key="t1-a", host="a.example"):
        """Send a request; returns its status, or None if it is rejected because of drift."""
        resolved = host.encode(), path.encode(), key.encode()
        route_decision = self.drift_monitor.request(
            *resolved, self.proxy_node.compiled_config.resolve_request(*resolved)
        )
        return route_decision and route_decision.status

    def findings(self):
        return list(map(str, self.drift_detector.findings))


class SimulatedController:
    """A controller's membership and its view of the fleet."""

    def __init__(self, net, address):
        self.net, self.findings_output = net, []
        self.membership = ControllerMembership(address, 1, CONTROLLER_ADDRESSES, 1.3, net.rng)
        self.fleet_monitor = FleetMonitor(address, 2.5, 5.0, lambda: None)

    def handle(self, now, event):
        outputs_found = self.membership.handle(now, event)
        for running in [o for o in outputs_found if isinstance(o, outputs.RunningConfig)]:
            self.fleet_monitor.on_running_config(now, running)
        if isinstance(event, events.Tick):
            self.fleet_monitor.tick(now, True, lambda: self.fleet_monitor.quota_windows)
        return [o for o in outputs_found if isinstance(o, Send)]


class FleetNetwork:
    """Processes with a message delay of 2 ms; `cut` selects lost messages, `asleep` frozen nodes."""

    def __init__(self, proxies=4, seed=1):
        self.rng, self.now, self.count, self.queue = random.Random(seed), 100.0, 0, []
        self.cut, self.asleep = lambda a, b, kind: False, set()
        self.nodes = {a: SimulatedController(self, a) for a in CONTROLLER_ADDRESSES}
        self.nodes |= {
            f"10.{1 + i % 3}.1.{i}:7660": SimulatedProxy(self, f"10.{1 + i % 3}.1.{i}:7660")
            for i in range(proxies)
        }
        for address in self.nodes:
            self.schedule(self.rng.uniform(0, TICK_S), address, events.Tick())
        for address in CONTROLLER_ADDRESSES:
            self.deliver(address, events.SetCore(tuple(CONTROLLER_ADDRESSES)))
        self.deliver(
            CONTROLLER_ADDRESSES[0],
            events.Publish(
                ValueKind.CORE, (1, 1), codec.encode_members(CONTROLLER_ADDRESSES, CONTROLLER_ADDRESSES[0])
            ),
        )

    def clock(self):
        return self.now

    @property
    def proxies(self):
        return [n for n in self.nodes.values() if isinstance(n, SimulatedProxy)]

    def schedule(self, wait, address, event):
        self.count += 1
        heapq.heappush(self.queue, (self.now + wait, self.count, address, event))

    def deliver(self, address, event):
        for out in self.nodes[address].handle(self.now, event):
            kind = out.message.WhichOneof("kind")
            if out.to in self.nodes and not self.cut(address, out.to, kind):
                self.schedule(0.002, out.to, events.Received(address, copy.copy(out.message)))

    def run(self, seconds):
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, address, event = heapq.heappop(self.queue)
            tick = isinstance(event, events.Tick)
            if address not in self.asleep:
                self.deliver(address, event)
            elif not tick:
                self.schedule(0.5, address, event)
            if tick:
                self.schedule(TICK_S, address, event)
        self.now = end

    def kill(self, address):
        """Kill a process."""
        del self.nodes[address]
        self.queue = [d for d in self.queue if d[2] != address]
        heapq.heapify(self.queue)

    def put(self, version, config_state, addresses=CONTROLLER_ADDRESSES):
        """Publish a version as acknowledged by the core."""
        digest = ExpectedDigests(config_state.document).total.to_bytes(8)
        for address in addresses:
            self.deliver(
                address,
                events.Publish(ValueKind.CONFIG, FencingToken(0, version), config_state.encode(), digest),
            )
            self.nodes[address].fleet_monitor.config_applied(
                self.now, version, int.from_bytes(digest), config_state.document
            )
