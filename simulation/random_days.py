"""Random days: a seed determines the circumstances, and disruptions that the deployment must tolerate."""

from __future__ import annotations

import random
from dataclasses import replace

from simulation.spec import Disruption, Spec

CORE = (
    "core_kill",
    "core_power",
    "wipe",
    "core_freeze",
    "core_cut",
    "core_apart",
    "core_off",
    "replace_core",
    "seed_turnover",
    "after_ack_kill",
    "after_ack_wipe",
    "disk_full",
    "disk_hang",
    "disk_slow",
)
"""Disruptions of the core: as many at once as it must tolerate."""

HERD = ("herd_kill", "all_kill", "after_ack_all", "all_power")
EDGE = ("node_kill", "power", "freeze", "slow", "stop", "node_cut", "half_cut", "lossy", "squeeze", "lag")
ORDERS = (
    "config_change",
    "config_change",
    "config_change",
    "config_race",
    "invalid",
    "big_config",
    "config_crowd",
)
TENANTS = ("hot_tenant",)
BACKENDS = (
    "srv_crash",
    "srv_lost",
    "release",
    "scale_in",
    "answer_lost",
    "answer_late",
    "answer_double",
    "answer_short",
    "garble",
)
CLOSING = ("all_power", "all_kill", "all_power_wipe")
GROUPS = {
    "core": CORE,
    "herd": HERD,
    "edge": EDGE,
    "orders": ORDERS,
    "tenants": TENANTS,
    "backends": BACKENDS,
}


def random_day(spec: Spec, seed: int, groups: tuple[str, ...] = tuple(GROUPS)) -> Spec:
    """A day with random disruptions, which may overlap, except those of the core, which come one by one."""
    spec = varied(spec, seed)
    rng = random.Random(f"day {seed}")
    begins = spec.day.warm + 2.0
    ends = spec.day.seconds - 8.0
    closing = 0.0
    if rng.random() < 0.3:
        closing = spec.day.seconds - spec.bounds.recovery_s - 12.0
        if closing > begins:
            ends = closing - spec.bounds.sync_s - 3.0
        else:
            closing = 0.0
    found: list[Disruption] = []
    free = begins
    for _ in range(rng.randrange(1, 9)):
        group = rng.choice(groups)
        kind = rng.choice(GROUPS[group])
        lasts = rng.choice([0.3, 1.0, 2.5, 4.0, 7.0])
        at = rng.uniform(begins, max(begins, ends - lasts))
        if group in ("core", "herd"):
            if kind == "disk_hang" and rng.random() < 0.5:
                lasts = 7.0
            at = free + rng.expovariate(1 / 4.0)
            if at + lasts > ends:
                continue
            free = at + lasts + spec.bounds.sync_s + 2.0
        found.append(Disruption(kind, round(at, 3), lasts, rng.randrange(1000), rng.choice([0.3, 1.0, 2.0])))
    day = replace(
        spec.day,
        closing=closing,
        closing_kind=rng.choice(CLOSING),
        config_changes=rng.choice([0.0, 0.0, 3.0, 8.0]),
    )
    return replace(spec, day=day, disruptions=tuple(sorted(found, key=lambda t: t.at)))


def varied(spec: Spec, seed: int) -> Spec:
    """The deployment with some parameters drawn at random: links, core size, behaviour of full backends."""
    rng = random.Random(f"circumstances {seed}")
    links = replace(spec.links, loss=rng.choice([0.0, 0.001, 0.02]), twice=rng.choice([0.0, 0.0, 0.02]))
    services = tuple(
        replace(s, when_full=rng.choice(["503", "503", "reset", "silent"]), tells_load=rng.random() < 0.8)
        for s in spec.services
    )
    tenants = replace(spec.tenants, headroom=rng.choice([1.2, 1.5, 3.0]), burst_s=rng.choice([0.3, 1.0, 2.0]))
    spec = replace(
        spec, links=links, services=services, tenants=tenants, tick_factor=rng.choice([1.0, 1.0, 2.0])
    )
    if rng.random() < 0.2 and sum(spec.proxies) >= 5:
        controllers = tuple(min(s, p) for s, p in zip(spec.proxies, (2, 2, 1), strict=False))
        spec = replace(spec, controllers=controllers, tolerance=(sum(controllers) - 1) // 2)
    return spec


def render_spec(spec: Spec) -> str:
    """A day's schedule as text, one line for each disruption."""
    lines = [f"{t.at:7.2f} s  {t.kind} ({t.which}), {t.lasts:g} s, x{t.much:g}" for t in spec.disruptions]
    if spec.day.closing:
        lines.append(f"{spec.day.closing:7.2f} s  closing fault: {spec.day.closing_kind}")
    if spec.day.config_changes:
        lines.append(f"           configuration changes about every {spec.day.config_changes:g} s")
    return "\n".join(lines) or "a quiet day"
