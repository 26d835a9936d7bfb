"""The settings of a gateway, from the path=value pairs of the simulator's line protocol."""

from __future__ import annotations

from ingress import interface as io
from ingress.wire_fields import ABSENT, fail, read_choice, read_number

EFFECTS = {"retryable": io.Effect.SAFE, "dedup": io.Effect.KEYED, "fragile": io.Effect.UNSAFE}
GROUPS = {"all": io.Group.ALL, "zone": io.Group.ZONE, "cell": io.Group.CELL}
FLAGS = {"true": True, "false": False, "1": True, "0": False}


class SettingPairs:
    """Settings in path=value form, read by path; unknown keys are ignored."""

    def __init__(self, parts: list[str]) -> None:
        self.values: dict[str, str] = {}
        for part in parts:
            key, sep, value = part.partition("=")
            if not sep:
                fail("BORN", "profileData", "path=value", part)
            self.values[key] = value

    def text(self, key: str, default: str | None = None) -> str:
        """Return the text of a setting or its default; without a default the setting is required."""
        value = self.values.get(key, default)
        if value is None:
            fail("BORN", key, "a value (the setting is required)", None)
        return value

    def number(self, key: str, default: str | None = None) -> float:
        """Return a setting that is a number."""
        return read_number("BORN", key, self.text(key, default))

    def integer(self, key: str, default: str | None = None) -> int:
        """Return a setting that is an integer."""
        return int(self.number(key, default))

    def flag(self, key: str) -> bool:
        """Return a setting that is true or false; false by default."""
        return read_choice("BORN", key, self.text(key, "false").lower(), FLAGS)


def read_settings(parts: list[str]) -> tuple[io.Settings, tuple[str, ...]]:
    """Parse the settings and the names of the values in a load report. Raises WireError."""
    p = SettingPairs(parts)
    classes = tuple(
        io.ClassSettings(
            name=p.text(c + "name"),
            effect=read_choice("BORN", c + "semantics", p.text(c + "semantics"), EFFECTS),
            objective=p.number(c + "objective"),
            deadline=p.number(c + "hardLimit"),
            worth=p.number(c + "credit", "1"),
            late_worth=p.number(c + "lateWorth", "0"),
            group=read_choice("BORN", c + "group", p.text(c + "group", "all"), GROUPS),
            window=p.number(c + "window", "0"),
        )
        for c in (f"classes.{i}." for i in range(p.integer("classes.count")))
    )
    plans = tuple(
        io.PlanSettings(
            name=p.text(q + "name"),
            rate=p.number(q + "rate"),
            burst=p.number(q + "storeSize"),
            price=p.number(q + "pays", "1"),
            over_worth=p.number(q + "beyondEarns", "0"),
            over_cost=p.number(q + "beyondCosts", "0"),
            max_open=p.integer(q + "maxOut", "0"),
            limit_rate=p.number(q + "capRate", "0"),
            limit_burst=p.number(q + "neverOverDepth", "0"),
            limit_slack=p.number(q + "capSlack", "0"),
        )
        for q in (f"plans.{i}." for i in range(p.integer("plans.count")))
    )
    how = p.text("loadReport.how", "silent")
    settings = io.Settings(
        classes=classes,
        plans=plans,
        instances=p.integer("balancers"),
        me=p.integer("me"),
        zone=p.text("zone", ""),
        step=p.number("step", "0"),
        counter=p.flag("extra.counter"),
        counter_timeout=p.number("extra.counterTimeout", "0.05"),
        counter_price=p.number("extra.counterPrice", "0"),
        max_units=p.number("extra.maxUnits", "1"),
        settles=p.flag("extra.truedUp"),
        max_attempts=p.integer("limits.maxAttempts", "1"),
        retry_after=p.flag("limits.retryAfter"),
        max_retry_after=p.number("limits.maxRetryAfter", "0"),
        may_check_health=p.flag("limits.mayProbe"),
        may_cancel=p.flag("limits.cancel"),
        peers=p.flag("limits.peers"),
        peer_in_per_s=p.number("extra.peerInPerS", "0"),
        second_copies=p.flag("limits.secondCopies"),
        list_on_request=p.text("discovery", "pushed") == "on_request",
        list_poll_interval=p.number("invariants.askEvery", "10"),
        load_in_answers=how == "piggyback",
        load_in_probes=how in ("piggyback", "pull"),
        drain_grace=p.number("invariants.drainGrace", "0"),
        fall_multiple=p.number("invariants.fallMultiple", "1"),
        fall_after=p.number("invariants.tipAfter", "1"),
        start_capacity=p.number("invariants.startCapacity", "1"),
        slow_start_s=p.number("invariants.cold", "0"),
        connect_timeout=p.number("limits.connectTimeout", "0"),
        late_fail_price=p.number("prices.lateFail", "0"),
        waste_price=p.number("prices.waste", "0"),
        cross_zone_price=p.number("prices.crossZone", "0"),
        health_check_price=p.number("prices.probe", "0"),
    )
    fields = p.text("loadReport.fields", "")
    return settings, tuple(f for f in fields.split(",") if f and f != ABSENT)
