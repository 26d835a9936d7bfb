"""A proxy on loopback sockets with backends, a shard owner and clients for tests, and a transcript."""

from __future__ import annotations

import asyncio
import json
import random
import re
from collections.abc import Callable
from typing import Any

from result import Ok

from gateway.config import document
from gateway.config.routing import CompiledConfig
from gateway.proxy import service as services
from gateway.proxy.decisions import Decisions
from gateway.proxy.events import PeersChanged
from gateway.proxy.ingress import ProxyIngress
from gateway.proxy.retry_budget import RetryBudget
from gateway.quota import quota_pb2 as pb
from gateway.quota.events import Allowances, Received, ShardMapReceived
from gateway.quota.protocol import SHARDS, VerdictCode
from gateway.quota.quota_client import QuotaClient
from gateway.state_machine import Send
from ingress import interface as io
from ingress.net.server import Server
from ingress.net.upstream import Upstream
from tests.ingress.socket_rig import HOST, Client, Peer, Seen

HOLDER = "10.0.0.1:7661"
ANY_NUMBER = re.compile(r"((?:deadline-ms|retry-after): )[0-9.]+")  # depend on clock or chance
NUMBERS = ("first", "second", "third")
Act = Callable[[Seen], bytes | None]


def entry(kind: str, label: str, **spec: Any) -> dict[str, Any]:
    return {
        "entry-kind": kind,
        "metadata": {"label": label},
        "spec": {k.replace("_", "-"): v for k, v in spec.items()},
    }


def route(label: str, kind: str, **spec: Any) -> dict[str, Any]:
    usual = {
        "hostname": "a.example",
        "path_prefix": f"/{label}/",
        "traffic_class": kind,
        "deadline_s": 5,
        "target_latency_s": 2,
        "precedence": 2,
        "target": "s1",
        "max_tries": 2,
        "public": False,
    }
    return entry("route-table", label, **{**usual, **spec})


def compiled_config() -> CompiledConfig:
    """Return safe, unsafe and public routes, and one whose service has no backends."""
    entries = [
        route("read", "safe"),
        route("order", "unsafe"),
        route("open", "safe", public=True),
        route("empty", "safe", target="s2"),
        *(
            entry("services", label, health_path="/health", max_conns=9, protocol="h1", tls=False)
            for label in ("s1", "s2")
        ),
        entry("tenants", "t1", api_keys=["k1"], precedence=1, rate_per_s=10, burst=10),
    ]
    read = document.parse(json.dumps({"generation": 1, "base-version": 0, "resource-list": entries}).encode())
    assert isinstance(read, Ok), read
    return CompiledConfig(read.ok_value)


def answer(status: int = 200, body: bytes = b"fine", **headers: str | None) -> Act:
    """Return a backend's answer with the request's id, and with a seal if it is a success."""

    def act(seen: Seen) -> bytes:
        lines: dict[str, str | None] = {"Attempt-Id": seen.headers.get("attempt-id")}
        if status < 300:
            lines["Backend-Seal"] = "3e1b.07"
        lines |= {name.replace("_", "-"): value for name, value in headers.items()}
        head = "".join(f"{k}: {v}\r\n" for k, v in lines.items() if v is not None)
        return f"HTTP/1.1 {status} X\r\n{head}Content-Length: {len(body)}\r\n\r\n".encode() + body

    return act


def full(seen: Seen) -> bytes:
    """Reject the request before it runs."""
    return answer(503, b"", Not_Executed="1")(seen)


def reset(seen: Seen) -> bytes:
    """Close the connection without an answer."""
    return b""


def silent(seen: Seen) -> None:
    """Never answer."""


def asked(
    path: str = "/read/1",
    key: str | None = "k1",
    name: str | None = "a1",
    patience: int = 4000,
    method: str = "GET",
    body: bytes = b"",
    host: str = "a.example",
) -> bytes:
    """Return a client's request, with forged headers that only the gateway may set."""
    lines = {
        "Host": host,
        "Attempt-Id": name,
        "Deadline-Ms": patience,
        "Tenant": "other",
        "X-More": "kept",
        "Target-Instance": "other",
        "Authorization": key and f"Token {key}",
        "Content-Length": len(body),
    }
    head = "".join(f"{k}: {v}\r\n" for k, v in lines.items() if v is not None)
    return f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body


def shown(headers: dict[str, str]) -> str:
    """Return the headers in one line, without those that are present in every message."""
    usual = ("content-length", "host", "target-instance", "x-more")
    return "; ".join(f"{k}: {v}" for k, v in sorted(headers.items()) if k not in usual)


class ProxyFixture:
    """One proxy. `transcript` has the messages of all sides.

    Backends are named in the order in which they are first used, as the choice among equal ones is random.
    """

    def __init__(self, verdict: pb.Verdict | None = None, slack: float = 100.0) -> None:
        loop, rng = asyncio.get_running_loop(), random.Random(1)
        self.transcript: list[str] = []
        self.verdict = verdict or pb.Verdict(remaining=9)
        self.used_backends: list[str] = []  # backends in the order of their first use
        self.charges: list[int] = []
        self.owner_is_silent = False  # whether the shard owner doesn't answer
        quota_client = QuotaClient(5.0, rng)
        terms = services.settings(1, 2.0, "z1")
        self.decisions = Decisions(quota_client, terms, lambda n: RetryBudget(0.2, slack, 10.0, n), rng)
        self.decisions.handle(-9.0, PeersChanged(1, 0, 0))
        self.upstream = Upstream(loop, 2.0, 15.0, 100)
        self.ingress = ProxyIngress(loop, terms, self.decisions, self.upstream, self.holder)
        self.server = Server(loop, self.ingress, 50)
        self.peers: dict[str, Peer] = {}
        self.loop = loop
        self.ingress.handle_quota(Allowances({"t1": (10.0, 10.0)}))
        places = pb.ShardMap(term=1, number=1, owners=[HOLDER], owner_of_shard=bytes(SHARDS))
        self.ingress.handle_quota(ShardMapReceived(places.SerializeToString()))

    def holder(self, out: Send) -> None:
        """Stand in for the shard owner, which gives the same verdict on every charge."""
        kind = out.message.WhichOneof("kind")
        if kind == "charge":
            verdict = pb.Verdict()
            verdict.CopyFrom(self.verdict)
            verdict.id = out.message.charge.id
            self.charges.append(verdict.id)
            self.say("count", f"charge: {'over' if verdict.code == VerdictCode.REJECTED else 'go'}")
            if not self.owner_is_silent:
                self.loop.call_soon(self.ingress.handle_quota, Received(HOLDER, pb.Message(verdict=verdict)))
        elif kind == "refund":
            self.say("count", "one given back")

    def say(self, who: str, what: str) -> None:
        what = ANY_NUMBER.sub(r"\1(n)", what)
        self.transcript.append(f"{who:6} {what}")

    async def start(self, *actions: Act, backends: int = 1, configured: bool = True) -> Client:
        """Listen, with backends `i1`, `i2`, ... that act on their requests in this order.

        The last action is repeated. Returns a client connection.
        """
        if configured:
            self.ingress.compiled_config = compiled_config()
        turns = list(actions)
        for name in [f"i{n + 1}" for n in range(backends)]:
            self.peers[name] = await Peer(self.acting(name, turns)).listen()
            self.ingress.backend(name, "s1", (HOST, self.peers[name].port), io.Phase.RUNNING, 0.0)
        await self.server.listen(HOST, 0)
        assert self.server.listener is not None
        self.port = self.server.listener.sockets[0].getsockname()[1]
        return await Client.connect(self.port)

    def acting(self, name: str, turns: list[Act]) -> Callable[[Seen], Any]:
        async def act(seen: Seen) -> bytes | None:
            if name not in self.used_backends:
                self.used_backends.append(name)
            who = NUMBERS[self.used_backends.index(name)]
            assert seen.headers["target-instance"] == name and seen.headers["x-more"] == "kept"
            self.say(who, f"{seen.line} [{shown(seen.headers)}] {seen.body.decode()}".rstrip())
            given = (turns.pop(0) if len(turns) > 1 else turns[0])(seen)
            told = "(silence)" if given is None else given[:200].decode("latin-1") or "(close)"
            self.say(who, "  -> " + told.replace("\r\n", " | "))
            return given

        return act

    async def ask(self, raw: bytes, client: Client | None = None) -> int:
        """Send a request, on a new connection if none is given; returns the status, 0 without a response."""
        client = client or await Client.connect(self.port)
        self.say("client", raw.split(b"\r\n")[0].decode())
        try:
            status, headers, body = await client.ask(raw)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.say("client", "  -> (the connection ends before the answer does)")
            return 0
        self.say("client", f"  -> {status} [{shown(headers)}] {body.decode()}".rstrip())
        return status
