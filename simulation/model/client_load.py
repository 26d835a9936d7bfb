"""The load of clients: when and from whom requests come, and how attempts are repeated."""

from __future__ import annotations

import numpy as np

from gateway.http_status import is_success
from simulation.model.client_attempts import ClientAttempt, SimulatedClientConnection
from simulation.model.client_requests import Request
from simulation.model.deployment import Deployment
from simulation.model.machines import Machine
from simulation.model.network import Location
from simulation.model.operators import Document, OperatorPool, keys_of, routes_of, shares
from simulation.model.record import Answered, Sent
from simulation.spec import Kind

PROMISES = (429, 503, 408, 421)
FINAL = (400, 401, 404, 413, 431)
PROBED_COUNT = 3  # number of routes and of keys that are requested after a change
PROBES_S = (0.2, 1.0, 2.0, 3.0, 4.5, 8.0)  # times of these requests after the acknowledgement
ARRIVAL_BATCH = 256  # arrivals drawn together


class ClientLoad:
    """All clients. Requests of each kind arrive at random, by tenant, zone and client."""

    def __init__(self, deployment: Deployment, operator_pool: OperatorPool) -> None:
        self.deployment = deployment
        self.operator_pool = operator_pool
        self.simulator = deployment.simulator
        self.record = deployment.record
        self.rng = self.simulator.random_generator()
        self.numbers = self.simulator.numbers()
        self.network = deployment.network
        spec = self.spec = deployment.spec
        self.tenants = shares(spec.tenants.count, spec.tenants.uneven)
        self.zones = spec.zones
        self.count = 0
        self.pressure: dict[int, float] = {}  # load factors of tenants that send more than usual
        # Idle connections, by zone and client.
        self.idle: dict[tuple[str, int], SimulatedClientConnection] = {}
        self.until = spec.day.seconds
        self.places = {zone: Location(f"clients {zone}", f"clients {zone}") for zone in self.zones}

    def begin(self) -> None:
        """Start the traffic."""
        for kind in self.spec.kinds:
            self.draw(kind)
        self.operator_pool.followers.append(self.follow)

    def draw(self, kind: Kind) -> None:
        """Draw and schedule the next arrivals of a kind."""
        rate = kind.rate * self.spec.day.load
        if rate <= 0:
            return
        n = ARRIVAL_BATCH
        gaps = np.cumsum(self.numbers.exponential(1 / rate, n))
        tenants = self.numbers.choice(len(self.tenants), n, p=self.tenants).tolist()
        zones = self.numbers.integers(len(self.zones), size=n).tolist()
        clients = self.numbers.integers(self.spec.day.clients, size=n).tolist()
        now = self.simulator.now
        for gap, tenant, zone, client in zip(gaps.tolist(), tenants, zones, clients, strict=True):
            self.simulator.at(now + gap, self.arrive, kind, tenant, zone, client)
        self.simulator.at(now + float(gaps[-1]), self.draw, kind)

    def press(self, tenant: int, factor: float, until: float) -> None:
        """Multiply a tenant's load by `factor` for a while."""
        kinds = self.spec.kinds
        usual = self.tenants[tenant] * sum(k.rate for k in kinds) * self.spec.day.load
        rate = (factor - 1) * usual

        def one() -> None:
            if self.simulator.now < until and rate > 0:
                kind = self.rng.choices(kinds, [k.rate for k in kinds])[0]
                self.arrive(kind, tenant, self.rng.randrange(len(self.zones)), self.rng.randrange(64))
                self.simulator.after(self.rng.expovariate(rate), one)

        one()

    def arrive(self, kind: Kind, tenant: int, zone: int, client: int) -> None:
        """Start a client's request."""
        if self.simulator.now >= self.until:
            return
        self.count += 1
        name = f"tenant-{tenant}"
        keys = self.keys(f"tenant-{tenant}")
        path = f"/{kind.name}/{self.count:x}"
        if not keys:
            return
        key = keys[self.count % len(keys)]
        request = Request(
            self.count, kind, kind.name, path, name, key, self.zones[zone], client, self.simulator.now
        )
        self.record.wanted.append((self.simulator.now, kind.name, kind.worth, name))
        self.send(request)

    # Requests that show which configuration is in force.

    def follow(self, former: Document, document: Document) -> None:
        """After an acknowledged change, request several times from each ingress what it has changed."""
        if not former:
            return
        old = routes_of(former)
        new = routes_of(document)
        labels = [label for label in {**old, **new} if old.get(label) != new.get(label)]
        before = keys_of(former)
        after = keys_of(document)
        keys = [key for key in {**before, **after} if before.get(key) != after.get(key)]
        kind = self.spec.kinds[0]
        usual = next(iter(after))
        targets = [(label, usual) for label in self.rng.sample(labels, min(PROBED_COUNT, len(labels)))]
        targets += [(kind.name, key) for key in self.rng.sample(keys, min(PROBED_COUNT, len(keys)))]
        for wait in PROBES_S:
            for label, key in targets:
                self.simulator.after(wait * self.rng.uniform(0.8, 1.2), self.check_config, label, key)

    def check_config(self, label: str, key: str) -> None:
        """Send one such request to each ingress that is in service."""
        kind = self.spec.kinds[0]
        tenant = keys_of(self.operator_pool.newest).get(key, "")
        for machine in list(self.deployment.machines.values()):
            if self.deployment.isready.get(machine.name) and self.simulator.now < self.until:
                self.count += 1
                request = Request(
                    self.count,
                    kind,
                    label,
                    f"/{label}/{self.count:x}",
                    tenant,
                    key,
                    machine.place.zone,
                    self.count,
                    self.simulator.now,
                )
                request.is_config_check = True
                request.left = 0
                self.send(request, machine)

    def keys(self, tenant: str) -> list[str]:
        """Return the keys of a tenant in the newest configuration."""
        return [key for key, label in keys_of(self.operator_pool.newest).items() if label == tenant]

    # Attempts.

    def send(self, request: Request, to: Machine | None = None) -> None:
        """Start an attempt at the ingress that the platform selects."""
        machine = to or self.deployment.ingress(request.zone, request.hashed, request.tried_ingresses)
        if machine is None or self.simulator.now >= request.ends:
            return
        attempt = f"{self.rng.getrandbits(64):016x}"
        self.record.sent.append(
            Sent(
                self.simulator.now,
                attempt,
                request.number,
                request.label,
                request.host,
                request.path,
                request.key,
                request.tenant,
                request.zone,
                machine.name,
                request.kind.safe,
                request.is_config_check,
            )
        )
        ClientAttempt(self, request, attempt, machine).begin()

    def over(
        self,
        request: Request,
        attempt: str,
        machine: Machine,
        status: int,
        after: float,
        fault: str,
        read: bool,
    ) -> None:
        """Handle the outcome of an attempt: the request is served, retried or given up."""
        now = self.simulator.now
        if attempt in self.record.answered:
            return
        self.record.answered[attempt] = Answered(now, attempt, status, fault, after)
        request.tried_ingresses.add(machine.name)
        if is_success(status) or request.is_config_check:
            if not request.is_config_check and not fault:
                self.record.served.append(
                    (request.began, request.label, request.tenant, request.zone, now - request.began)
                )
            return
        impatient = request.hashed < self.spec.day.impatient * self.spec.day.clients
        if status in FINAL or request.left <= (-3 if impatient else 0):
            return
        if not request.kind.safe and status not in PROMISES and read:
            return
        if status == 0 and now >= request.ends - 0.02:
            return
        request.left -= 1
        wait = 0.02 * self.rng.uniform(0.5, 2.0)
        if after and not impatient:
            wait = min(after, (request.ends - now) / 3)
        self.simulator.after(wait, self.send, request)
