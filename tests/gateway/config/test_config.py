"""Configurations: validation, changes, the routing tree compared with the reference, and digests."""

from __future__ import annotations

import copy
import json
import zlib
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok
from syrupy.assertion import SnapshotAssertion

from gateway.config import document, schema
from gateway.config.changes import MAX_REMEMBERED_CHANGES, ConfigState, decide, without_history
from gateway.config.digest import DriftScanner, ExpectedDigests, digest
from gateway.config.document import Document, Limits
from gateway.config.reference import compare_decision, evaluate
from gateway.config.routing import CompiledConfig, Route, RouteDecision, key_of

Raw = dict[str, Any]


def entry(kind: str, label: str, **spec: Any) -> Raw:
    return {
        "entry-kind": kind,
        "metadata": {"label": label},
        "spec": {k.replace("_", "-"): v for k, v in spec.items()},
    }


def route(label: str, **spec: Any) -> Raw:
    usual = {
        "hostname": "a.example",
        "path_prefix": f"/{label}/",
        "traffic_class": "safe",
        "deadline_s": 2.5,
        "target_latency_s": 0.4,
        "precedence": 2,
        "target": "s1",
        "max_tries": 2,
        "public": False,
    }
    return entry("route-table", label, **{**usual, **spec})


def service(label: str) -> Raw:
    return entry("services", label, health_path="/health", max_conns=140, protocol="h1", tls=False)


def tenant(label: str, *keys: str, **spec: Any) -> Raw:
    return entry("tenants", label, **{"api_keys": list(keys), "rate_per_s": 63, "burst": 63, **spec})


def config(*entries: Any, generation: Any = 1, base: Any = 0) -> Raw:
    return {"generation": generation, "base-version": base, "resource-list": list(entries)}


def body(raw: Any) -> bytes:
    return json.dumps(raw).encode()


def built(*entries: Raw) -> Document:
    read = document.parse(body(config(service("s1"), service("s2"), *entries)))
    assert isinstance(read, Ok), read
    return read.ok_value


SPLIT = [{"target": "s1", "share": 90}, {"target": "s2", "share": 10}]
INVALID: dict[str, Any] = {
    "an array": [],
    "no generation": {"resource-list": []},
    "generation 0": config(generation=0),
    "generation not whole": config(generation=1.5),
    "generation true": config(generation=True),
    "no list": {"generation": 1, "base-version": 0},
    "entry without kind": config({"metadata": {"label": "x"}}),
    "route without label": config({**route("r"), "metadata": {}}),
    "spec no object": config({**service("s1"), "spec": []}),
    "no prefix": config(service("s1"), route("r", path_prefix=None)),
    "prefix without end": config(service("s1"), route("r", path_prefix="/r")),
    "prefix without start": config(service("s1"), route("r", path_prefix="r/")),
    "tries 0": config(service("s1"), route("r", max_tries=0)),
    "tries text": config(service("s1"), route("r", max_tries="2")),
    "deadline 0": config(service("s1"), route("r", deadline_s=0)),
    "deadline below": config(service("s1"), route("r", deadline_s=-1)),
    "no deadline": config(service("s1"), route("r", deadline_s=None)),
    "deadline endless": config(service("s1"), route("r", deadline_s=float("inf"))),
    "aim a minute beyond": config(service("s1"), route("r", target_latency_s=62.5)),
    "host empty": config(service("s1"), route("r", hostname="")),
    "host blank": config(service("s1"), route("r", hostname=" ")),
    "unknown target": config(route("r")),
    "unknown weighted": config(service("s1"), route("r", target=None, weighted=SPLIT)),
    "unknown target beside": config(service("s1"), route("r", target="s9", weighted=SPLIT[:1])),
    "no target": config(service("s1"), route("r", target=None)),
    "no share": config(service("s1"), route("r", target=None, weighted=[{"target": "s1", "share": 0}])),
    "class unheard of": config(service("s1"), route("r", traffic_class="sane")),
    "public a number": config(service("s1"), route("r", public=1)),
    "label twice": config(service("s1"), service("s1")),
    "limits twice": config({"entry-kind": "limits"}, {"entry-kind": "limits"}),
    "prefix twice": config(service("s1"), route("r"), route("q", path_prefix="/r/", hostname="A.example:80")),
    "key shared": config(tenant("t", "k", "l"), tenant("u", "k")),
    "key empty": config(tenant("t", "")),
    "key unreadable": config(tenant("t", "\ud800")),
    "rate below 0": config(tenant("t", "k", rate_per_s=-1)),
}


@pytest.mark.parametrize("raw", INVALID.values(), ids=INVALID.keys())
def test_invalid_configurations_are_rejected(raw: Any) -> None:
    answer = decide(ConfigState(), "PUT", body(raw))
    assert (answer.status, answer.config_state) == (400, None)
    assert all(e["reason"] for e in json.loads(answer.body)["errors"])


@pytest.mark.parametrize(
    "sent",
    [
        b"",
        b'{"generation":1',
        b"\xff",
        b"1e999",
        b"[" * 10**6,
        b'{"a":' * 40 + b"1" + b"}" * 40,
        b"9" * 5000,
        b'{"generation":1,"resource-list":[],"x":NaN}',
        b'{"generation":1,"resource-list":[],"x":1e999}',
        b'{"generation":1,"resource-list":[{"entry-kind":"new","x":[-1e999]}]}',
    ],
)
def test_unreadable_bodies_are_rejected(sent: bytes) -> None:
    assert decide(ConfigState(), "PUT", sent).status == 400


def test_errors_name_their_place(snapshot: SnapshotAssertion) -> None:
    raws = [
        config(service("s1"), 7, tenant("t", "k")),
        config(service("s1"), route("r", max_tries=0, deadline_s="2"), route("q", target_latency_s=70)),
        config(service("s1"), route("r", target="s3"), tenant("t", "k"), tenant("u", "k")),
    ]
    assert [decide(ConfigState(), "PUT", body(raw)).body.decode() for raw in raws] == snapshot
    many = decide(ConfigState(), "PUT", body(config(*[route(f"r{i}") for i in range(100)])))
    assert len(json.loads(many.body)["errors"]) == schema.MAX_REPORTED_ERRORS


@pytest.mark.parametrize(
    "raw",
    [
        config(),
        {"generation": 3, "resource-list": [], "note": {"by": ["ann"]}},
        config({"entry-kind": "certificates", "of": 1}, generation=7.0),
        config(
            {"entry-kind": "limits", "metadata": {}, "spec": {"max-header-bytes": 0, "idle-timeout-s": 1}}
        ),
        config(service("s1"), route("r", target_latency_s=62.4, deadline_s=2.5, precedence=0, max_tries=2.0)),
        config(service("s1"), service("s2"), route("r", weighted=[*SPLIT, {"target": "s2", "share": 0}])),
        config(
            service("s1"), route("r", weighted=[], public=None, path_prefix="/"), tenant("t", rate_per_s=0)
        ),
        config(entry("services", "s1"), route("r", hostname="b.example"), route("q", path_prefix="/r/")),
        config(tenant("t", "k", "k", precedence=0), {"entry-kind": "tenants", "metadata": {"label": "u"}}),
    ],
)
def test_valid_configurations_round_trip(raw: Raw) -> None:
    answer = decide(ConfigState(), "PUT", body(raw))
    assert answer.status == 200 and answer.config_state is not None, answer.body
    assert json.loads(ConfigState.decode(answer.config_state.encode()).document_body()) == raw


def test_sequence_of_changes(snapshot: SnapshotAssertion) -> None:
    first = config(service("s1"), service("s2"), route("r"), route("q"), generation=2)
    later = {"generation": 7, "base-version": 5}
    change = {
        "generation": 5,
        "base-version": 2,
        "upsert": {"resource-list": [route("r", target="s2"), route("n")]},
        "remove": {"route-table": ["q", "unheard-of"], "kinds-to-come": ["x"]},
    }
    calls = [
        ("PUT", config(service("s1"), generation=9, base=4)),
        ("PUT", first),
        ("PUT", first),
        ("PATCH", change),
        ("PATCH", change),
        ("PUT", first),
        ("PATCH", {**change, "generation": 6}),
        ("PATCH", {"generation": 5, "base-version": 5}),
        ("PATCH", {**later, "remove": {"services": ["s2"]}}),
        ("PATCH", {**later, "upsert": {"resource-list": [route("r", max_tries=0)]}}),
        ("PATCH", {**later, "upsert": 1, "remove": {"services": "s2"}}),
        ("PUT", config(service("s1"), generation=8)),
        ("POST", first),
    ]
    config_state, said = ConfigState(), []
    for method, raw in calls:
        answer = decide(config_state, method, body(raw))
        config_state = (
            ConfigState.decode(answer.config_state.encode(), config_state)
            if answer.config_state
            else config_state
        )
        said.append(
            f"{method} {raw['generation']} on {raw['base-version']} -> "
            f"{answer.status} {answer.body.decode()}, in force {config_state.generation}"
        )
    assert [*said, config_state.document_body().decode()] == snapshot


def test_patch_without_a_configuration() -> None:
    upsert = {"resource-list": [service("s1"), {"entry-kind": "limits", "spec": {"max-body-bytes": 5}}]}
    config_state = decide(ConfigState(), "PATCH", body({"generation": 1, "upsert": upsert})).config_state
    assert config_state is not None and config_state.document is not None
    assert config_state.document.limits == Limits(max_body_bytes=5)
    order = {"generation": 2, "base-version": 1, "remove": {"limits": ["all"]}}
    gone = decide(config_state, "PATCH", body(order)).config_state
    assert gone is not None and gone.document is not None and gone.document.limits == Limits()
    assert gone.document.services["s1"] is config_state.document.services["s1"]


def changes(count: int, step: int = 1) -> list[bytes]:
    """Changes that are based on one another."""
    rising = range(step, count * step + 1, step)
    return [body(config(service("s1"), generation=g, base=g - step)) for g in rising]


def after(orders: list[bytes], config_state: ConfigState | None = None) -> ConfigState:
    for order in orders:
        config_state = decide(config_state or ConfigState(), "PUT", order).config_state
        assert config_state is not None
    return config_state or ConfigState()


def test_retries_are_recognized_and_the_value_stays_small() -> None:
    orders = changes(MAX_REMEMBERED_CHANGES + 6, 3)
    config_state = after(orders)
    config_state = ConfigState.decode(config_state.encode())
    assert [decide(config_state, "PUT", o).status for o in orders] == [503] * 6 + [
        200
    ] * MAX_REMEMBERED_CHANGES
    assert decide(config_state, "PATCH", orders[-1]).status == 412  # a different change with the same body
    value = config_state.encode()
    assert len(value) < 17_000 and len(without_history(value)) < 200
    bare = ConfigState.decode(without_history(value))
    assert bare.document_body() == config_state.document_body() and not bare.accepted
    small = after(orders[:3]).encode()
    for broken in (
        b"\x03\x00",
        b"\x02",
        b"\x02\x05abc",
        b"\x01",
        b"\x01\x05abc",
        small[:-1],
        small[:-9] + b"123456789",
        small[:40],
    ):
        with pytest.raises(ValueError):
            ConfigState.decode(broken)
    assert ConfigState.decode(b"").generation == 0


def test_possibly_forgotten_changes_are_never_rejected() -> None:
    config_state = after(changes(MAX_REMEMBERED_CHANGES + 6, 3))

    def lost(generation: int, base: int) -> int:
        """The status of the response to a change that lost a race."""
        return decide(config_state, "PUT", body(config(generation=generation, base=base))).status

    assert config_state.forgotten_generation == 18 and [lost(18, 15), lost(17, 15), lost(19, 15)] == [
        503,
        503,
        412,
    ]
    assert lost(15, 15) == 412  # invalid with any base, so it can't have been accepted


def test_previous_format_is_decoded() -> None:
    orders = changes(70, 2)
    for count in (3, 64, 70):
        config_state = after(orders[:count])
        taken = [f.to_bytes(8) for f in config_state.accepted][-64:]
        old = ConfigState.decode(
            bytes((1, len(taken))) + b"".join(taken) + zlib.compress(config_state.document_body(), 3)
        )
        assert (
            old.document_body() == config_state.document_body()
            and decide(old, "PUT", orders[count - 3]).status == 200
        )
        assert old.forgotten_generation >= (2 * (count - 64) if count >= 64 else 0)
        for order in orders[:count]:
            assert decide(old, "PUT", order).status in (200, 503)
        if count < 64:
            assert not old.forgotten_generation
        new = ConfigState.decode(old.with_change(config_state.document, 1).encode())  # type: ignore[arg-type]
        assert (
            new.forgotten_generation == old.forgotten_generation
            and list(new.accepted)[-2::-1] == list(old.accepted)[::-1]
        )


def test_unchanged_items_are_reused() -> None:
    one = CompiledConfig(built(route("r"), route("q"), tenant("t", "k")))
    two = CompiledConfig(built(route("q", max_tries=3), route("r"), tenant("t", "l")), one)
    assert two.routes["r"] is one.routes["r"] and two.routes["q"] is not one.routes["q"]
    assert two.tenants["t"] is one.tenants["t"] and two.tenant(b"k") is None
    assert one.routes["q"].tries == 2 and two.match(b"A.example:8080", b"/q/x?y=/r/") is two.routes["q"]


def test_services_are_picked_by_share() -> None:
    r = CompiledConfig(built(route("r", weighted=[{"target": "s1", "share": 0}, *reversed(SPLIT)]))).routes[
        "r"
    ]
    assert [r.pick_service(x / 20) for x in range(20)] == ["s2"] * 2 + ["s1"] * 18
    assert r.pick_service(1.0) == "s1"


def test_keys_and_precedences() -> None:
    compiled_config = CompiledConfig(
        built(route("r"), route("p", public=True), tenant("t", "k", precedence=0), tenant("u", "l"))
    )
    seen = [
        (j.status, j.tenant and j.tenant.label, j.precedence)
        for j in [
            compiled_config.resolve_request(b"a.example", p, k)
            for p in (b"/r/", b"/p/", b"/x/")
            for k in (b"k", b"l", b"no", b"")
        ]
    ]
    assert seen[:4] == [(200, "t", 0), (200, "u", 2), (401, None, 2), (401, None, 2)]
    assert seen[4:] == [(200, "t", 0), (200, "u", 2), *[(200, None, 2)] * 2, *[(404, None, 0)] * 4]
    assert (
        CompiledConfig(built(route("r"))).resolve_request(b"a.example", b"/r/", b"no").status == 200
    )  # no tenants, no keys
    assert [key_of(v) for v in (b"Token k", b"token  k ", b"Basic k", b"")] == [b"k", b"k", b"", b""]


SEGMENTS = st.lists(st.sampled_from(["a", "b", "", "%61"]), max_size=4)
HOSTS = st.sampled_from(["h", "H:80", "g", "[::1]:80", "h:x", "[::1]"])


@settings(max_examples=150, derandomize=True, deadline=None)
@given(
    st.lists(st.tuples(HOSTS, SEGMENTS, st.booleans()), max_size=12),
    SEGMENTS,
    HOSTS,
    st.booleans(),
    st.sampled_from(["", "?q=/a/b/", "x", "x/"]),
    st.sampled_from([b"", b"k", b"l"]),
)
def test_compiled_routing_matches_the_reference(
    drawn: list[tuple[str, list[str], bool]], at: list[str], host: str, keys: bool, end: str, key: bytes
) -> None:
    routes: dict[tuple[bytes, str], Raw] = {}
    for i, (name, parts, public) in enumerate(drawn):
        prefix, place = "/" + "".join(f"{p}/" for p in parts), schema.host_of(name.encode())
        routes[place, prefix] = route(f"r{i}", hostname=name, path_prefix=prefix, public=public)
    one = built(*routes.values(), *([tenant("t", "k")] if keys else []))
    compiled_config, path = CompiledConfig(one), ("/" + "".join(f"{p}/" for p in at) + end).encode()
    assert (
        compare_decision(
            compiled_config.resolve_request(host.encode(), path, key), evaluate(one, host.encode(), path, key)
        )
        == []
    )
    assert digest(compiled_config) == ExpectedDigests(one).total


def test_digest_depends_only_on_the_meaning() -> None:
    entries = [route("r"), route("q", weighted=SPLIT), tenant("t", "k", "l")]
    one, two = built(*entries), built(*reversed(copy.deepcopy(entries)))
    other = built(route("r", max_tries=3), *entries[1:])
    assert digest(CompiledConfig(one)) == digest(CompiledConfig(two)) == ExpectedDigests(one).total
    assert ExpectedDigests(two, ExpectedDigests(other)).total == ExpectedDigests(one).total
    assert digest(CompiledConfig(other)) != digest(CompiledConfig(one))


def test_differences_are_found_and_named(snapshot: SnapshotAssertion) -> None:
    one = built(route("r"), route("q"), route("n"), tenant("t", "key-one"), tenant("u", "key-two"))
    compiled_config = CompiledConfig(one)
    watch = DriftScanner(compiled_config, ExpectedDigests(one))
    assert [watch.step(3) for _ in range(10)] == [[]] * 10 and watch.completed_passes == 3
    compiled_config.routes["r"].deadline, compiled_config.limits = 9.0, Limits(idle_timeout=1.0)
    compiled_config.tenants["t"].rate = 1.0
    del compiled_config.hosts[b"a.example"].children[b"q"], compiled_config.keys[b"key-two"]
    compiled_config.hosts[b"a.example"].children[b"n"].children[b"x"] = extra = type(
        compiled_config.hosts[b"a.example"]
    )()
    extra.route = Route(one.routes["q"])
    compiled_config.keys[b"key-old"] = compiled_config.tenants["u"]
    watch = DriftScanner(compiled_config, ExpectedDigests(one))
    assert [
        f"{d.place}: {d.running} not {d.set}" for d in sorted(d for _ in range(5) for d in watch.step(2))
    ] == snapshot
    assert [
        [
            f"{d.place}: {d.running} not {d.set}"
            for d in compare_decision(
                compiled_config.resolve_request(b"a.example", path, key),
                evaluate(one, b"a.example", path, key),
            )
        ]
        for path, key in (
            (b"/r/", b"key-one"),
            (b"/q/", b"key-one"),
            (b"/n/", b"key-old"),
            (b"/n/x/", b"no"),
            (b"/no/", b""),
        )
    ] == snapshot
    assert (
        compare_decision(
            RouteDecision(200, compiled_config.routes["n"], None), evaluate(one, b"a.example", b"/no/", b"")
        )
        != []
    )
