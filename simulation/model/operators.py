"""Simulated operators: configurations, changes, and calls that are repeated until a definite answer."""

from __future__ import annotations

import copy
import json
import random
from collections.abc import Callable
from typing import Any

from gateway.programs.paths import CONFIG
from simulation.model.deployment import Deployment
from simulation.model.network import Location
from simulation.model.record import Order, Read, Repeat

HOST = "gate.example"
Document = dict[str, Any]
Entry = dict[str, Any]


def first_document(deployment: Deployment) -> Document:
    """Return the first configuration: a route for each kind of request, all services and tenants."""
    spec = deployment.spec
    entries: list[Entry] = []
    for kind in spec.kinds:
        targets: Any = {"target": kind.service}
        if kind.also:
            targets = {
                "weighted": [{"target": kind.service, "share": 90}, {"target": kind.also, "share": 10}]
            }
        entries.append(route(kind.name, kind, targets))
        deployment.works[kind.name] = kind.work_s
    entries += [
        _entry(
            "services",
            s.name,
            {"health-path": "/health", "max-conns": s.max_conns, "protocol": "h1", "tls": False},
        )
        for s in spec.services
    ]
    total = spec.day.load * sum(kind.rate for kind in spec.kinds)
    parts = shares(spec.tenants.count, spec.tenants.uneven)
    for n, part in enumerate(parts):
        rate = max(1.0, round(spec.tenants.headroom * part * total)) if spec.tenants.limited else 0.0
        entries.append(
            _entry(
                "tenants",
                f"tenant-{n}",
                {
                    "api-keys": [f"key-{n}-a", f"key-{n}-b"],
                    "precedence": 0 if n == 0 else 1,
                    "rate-per-s": rate,
                    "burst": max(1.0, round(rate * spec.tenants.burst_s)) if rate else 0,
                },
            )
        )
    entries.append(
        _entry(
            "limits",
            None,
            {
                "max-header-bytes": 16384,
                "max-body-bytes": 1 << 26,
                "header-timeout-s": 3,
                "idle-timeout-s": 15,
            },
        )
    )
    return {"generation": 1, "base-version": 0, "resource-list": entries}


def route(label: str, kind: Any, targets: Entry) -> Entry:
    """Return a route of a kind of request, at its own path."""
    return _entry(
        "route-table",
        label,
        {
            "hostname": HOST,
            "path-prefix": f"/{label}/",
            "traffic-class": "safe" if kind.safe else "unsafe",
            "deadline-s": kind.deadline_s,
            "target-latency-s": kind.aim_s,
            "precedence": kind.precedence,
            "max-tries": kind.tries,
            "public": False,
            **targets,
        },
    )


def shares(count: int, uneven: float) -> list[float]:
    """Return fractions by Zipf's law, which add up to 1."""
    weights = [1 / (n + 1) ** uneven for n in range(count)]
    return [w / sum(weights) for w in weights]


def _entry(kind: str, label: str | None, fields: Entry) -> Entry:
    return {"entry-kind": kind, "metadata": {"label": label} if label is not None else {}, "spec": fields}


class Operator:
    """An operator. All operators share their knowledge of the configuration in the `OperatorPool`."""

    def __init__(self, deployment: Deployment, operator_pool: OperatorPool, name: str, zone: str) -> None:
        self.deployment = deployment
        self.operator_pool = operator_pool
        self.name = name
        self.simulator = deployment.simulator
        self.rng = deployment.simulator.random_generator()
        self.place = Location(f"operator {name}", f"operator {zone}")

    def submit(self, document: Document, valid: bool = True, patch: Document | None = None) -> None:
        """Send a change until there is a definite answer."""
        record = self.deployment.record
        number = len(self.deployment.record.orders)
        method = "PATCH" if patch else "PUT"
        body = json.dumps(patch or document).encode()
        record.orders.append(
            Order(
                self.simulator.now,
                0.0,
                document["generation"],
                document["base-version"],
                valid,
                0,
                "",
                self.name,
                document,
            )
        )

        def clear(status: int, by: str) -> None:
            order = record.orders[number]
            record.orders[number] = order._replace(at=self.simulator.now, status=status, by=by)
            if status == 200:
                self.operator_pool.taken(document, method, body)
            for listener in self.operator_pool.listeners:
                listener(record.orders[number])

        def unheard() -> None:
            record.orders[number] = record.orders[number]._replace(unheard=self.simulator.now)

        self.send(method, body, clear, unheard)

    def repeat(self, generation: int, method: str, body: bytes) -> None:
        """Send an acknowledged change again."""
        record = self.deployment.record
        number = len(self.deployment.record.repeats)
        record.repeats.append(Repeat(0.0, generation, 0, ""))

        def clear(status: int, by: str) -> None:
            record.repeats[number] = Repeat(self.simulator.now, generation, status, by)

        self.send(method, body, clear, lambda: None)

    def send(
        self, method: str, body: bytes, clear: Callable[[int, str], None], unheard: Callable[[], None]
    ) -> None:
        """Call one process after the other until there is a definite answer.

        `unheard` records an acknowledgement that was lost.
        """
        wait = 0.1
        tries = 0

        def call() -> None:
            address = self.deployment.some_control(self.place, self.rng)
            wait_s = 1.0 + len(body) / 1e5
            self.deployment.call(self.place, address, method, CONFIG, body, wait_s, on_response)

        def on_response(status: int, by: str, answer: bytes) -> None:
            nonlocal wait, tries
            if (
                self.operator_pool.lost_answer_share
                and self.rng.random() < self.operator_pool.lost_answer_share
            ):
                if status == 200:
                    unheard()
                status = 0
            tries += 400 <= status < 500 and status not in (408, 429)
            if status in (200, 400, 409, 412, 413, 422) or tries >= 3:
                clear(status, by)
            else:
                self.simulator.after(wait * self.rng.uniform(0.8, 1.2), call)
                wait = min(1.5, wait * 1.5)

        call()

    def read(self) -> None:
        """Read the configuration once."""

        def on_response(status: int, by: str, answer: bytes) -> None:
            record = self.deployment.record
            generation = 0
            same = False
            if status == 200:
                found = json.loads(answer)
                generation = found["generation"]
                sent = [
                    o.document for o in record.orders if o.generation == generation and o.status in (0, 200)
                ]
                same = any(_canon(found) == _canon(s) for s in sent)
            record.reads.append(Read(self.simulator.now, status, generation, same, by))

        address = self.deployment.some_control(self.place, self.rng)
        self.deployment.call(self.place, address, "GET", CONFIG, b"", 2.0, on_response)


def _canon(document: Document) -> str:
    entries = sorted(json.dumps(e, sort_keys=True) for e in document["resource-list"])
    return json.dumps([document["generation"], entries])


def keys_of(document: Document) -> dict[str, str]:
    """Return the tenants by their API keys."""
    return {
        key: e["metadata"]["label"]
        for e in document.get("resource-list", ())
        if e["entry-kind"] == "tenants"
        for key in e["spec"]["api-keys"]
    }


def routes_of(document: Document) -> dict[str, Entry]:
    """Return the routes by label."""
    return {
        e["metadata"]["label"]: e["spec"]
        for e in document.get("resource-list", ())
        if e["entry-kind"] == "route-table"
    }


class OperatorPool:
    """The shared knowledge of all operators: the newest acknowledged configuration, and their changes."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.rng: random.Random = deployment.simulator.random_generator()
        self.newest: Document = {}
        self.generation = 0
        self.listeners: list[Any] = []  # notified of the answer to each change
        self.followers: list[Any] = []  # notified of the old and the new configuration
        self.operators = [
            Operator(deployment, self, "first", deployment.spec.zones[0]),
            Operator(deployment, self, "second", deployment.spec.zones[-1]),
        ]
        self.added: list[str] = []  # labels of routes added later
        self.removed: list[str] = []
        self.acknowledged: list[tuple[int, str, bytes]] = []  # generation, method and body
        self.lost_answer_share = 0.0  # fraction of the answers to changes that are lost

    def begin(self) -> None:
        """Send the first configuration."""
        document = first_document(self.deployment)
        self.generation = 1
        self.operators[0].submit(document)

    def taken(self, document: Document, method: str, body: bytes) -> None:
        """Record an acknowledged change."""
        self.acknowledged.append((document["generation"], method, body))
        if document["generation"] > self.newest.get("generation", 0):
            former = self.newest
            self.newest = document
            for listener in self.followers:
                listener(former, document)

    def next(self, base: Document, another: bool = True) -> Document:
        """Return a copy with a new generation based on another, or with the latest generation used."""
        document = copy.deepcopy(base)
        if another or self.generation <= base["generation"]:
            self.generation += self.rng.randrange(1, 4)
        document["generation"] = self.generation
        document["base-version"] = base["generation"]
        return document

    def change(self, how: str, who: int = 0, another: bool = True) -> None:
        """Make a change of a kind.

        `add` or `remove` a route, `move` one to another service, `keys` of a tenant, `limit` of a tenant,
        `big` for many routes, `invalid`. Without `another` it uses the latest generation, as a concurrent
        change may.
        """
        if not self.newest:
            return
        document = self.next(self.newest, another)
        entries = document["resource-list"]
        patch: Document | None = None
        valid = getattr(self, f"_{how}")(entries) is not False
        if how == "add" and self.rng.random() < 0.5:
            patch = {
                "generation": document["generation"],
                "base-version": document["base-version"],
                "upsert": {"resource-list": entries[-1:]},
            }
        self.operators[who].submit(document, valid, patch)

    def race(self) -> None:
        """Let two operators change the same version of the configuration at the same time."""
        self.change("add", 0)
        self.change("keys", 1)

    def crowd(self, orders: int) -> None:
        """Send several changes of the same version at once, some with equal generations, and repeat some."""
        for n in range(orders):
            if n % 4 == 3 and self.acknowledged:
                self.operators[n % 2].repeat(*self.rng.choice(self.acknowledged))
            else:
                self.change(self.rng.choice(["add", "keys"]), n % 2, another=n % 2 == 0)

    def _add(self, entries: list[Entry], count: int = 1) -> None:
        kinds = self.deployment.spec.kinds
        for _ in range(count):
            kind = self.rng.choice(kinds)
            label = f"extra-{self.generation}-{len(self.added)}"
            self.added.append(label)
            self.deployment.works[label] = kind.work_s
            entries.append(route(label, kind, {"target": kind.service}))

    def _big(self, entries: list[Entry]) -> None:
        self._add(entries, 300)

    def _remove(self, entries: list[Entry]) -> None:
        added = set(self.added)
        extra = [e for e in entries if e["entry-kind"] == "route-table" and e["metadata"]["label"] in added]
        if extra:
            gone = self.rng.choice(extra)
            entries.remove(gone)
            self.removed.append(gone["metadata"]["label"])

    def _move(self, entries: list[Entry]) -> None:
        routes = [e for e in entries if e["entry-kind"] == "route-table"]
        moved = self.rng.choice(routes)["spec"]
        services = [s.name for s in self.deployment.spec.services]
        moved.pop("weighted", None)
        moved["target"] = self.rng.choice(services)

    def _keys(self, entries: list[Entry]) -> None:
        """Give a tenant a new key, and remove an older one."""
        tenants = [e for e in entries if e["entry-kind"] == "tenants"]
        keys = self.rng.choice(tenants)["spec"]["api-keys"]
        keys.append(f"key-new-{self.generation}")
        if len(keys) > 2:
            keys.pop(self.rng.randrange(len(keys) - 1))

    def _limit(self, entries: list[Entry]) -> None:
        tenants = [e["spec"] for e in entries if e["entry-kind"] == "tenants"]
        tenant = self.rng.choice(tenants)
        factor = self.rng.choice([0.5, 0.8, 1.5])
        tenant["rate-per-s"] = max(1, round(factor * tenant["rate-per-s"]))
        tenant["burst"] = max(1, round(factor * tenant["burst"]))

    def _invalid(self, entries: list[Entry]) -> bool:
        routes = [e["spec"] for e in entries if e["entry-kind"] == "route-table"]
        bad = self.rng.choice(routes)
        how = self.rng.randrange(4)
        if how == 0:
            bad["max-tries"] = 0
        elif how == 1:
            bad["target"] = "nobody"
            bad.pop("weighted", None)
        elif how == 2:
            bad["deadline-s"] = 0
        else:
            bad["hostname"] = ""
        return False
