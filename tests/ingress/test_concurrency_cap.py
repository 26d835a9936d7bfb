"""Tests of the cap on a customer's open requests, which all ingresses enforce together."""

from __future__ import annotations

import pytest

from ingress import interface as io
from ingress.opencap import RELEASE_TIMER
from tests.ingress.ingress_driver import GatewayDriver, actions_of_kind, single_action

CAPPED = io.PlanSettings("full", rate=0.0, burst=0.0, max_open=2, over_cost=0.6)


def pair() -> tuple[GatewayDriver, GatewayDriver]:
    """Return two ingresses that share a counter."""
    a, b = (GatewayDriver(plans=(CAPPED,), instances=2, seed=n) for n in (1, 2))
    b.counts = a.counts
    return a, b


def test_cap_applies_to_all_ingresses_together():
    a, b = pair()
    first = single_action(a.ask(plan="full"), io.Attempt)
    single_action(b.ask(plan="full"), io.Attempt)
    for g in (a, b):
        refused = single_action(g.ask(plan="full"), io.Refuse)
        assert refused.retry_after_s > 0
    single_action(b.ask(plan="full", customer=8), io.Attempt)
    a.end(first)
    single_action(b.ask(plan="full"), io.Attempt)
    single_action(a.ask(plan="full"), io.Refuse)


def test_new_count_starts_with_the_open_requests():
    a, b = pair()
    for _ in range(2):
        single_action(a.ask(plan="full"), io.Attempt)
    a.advance(a.gateway.cap.length)
    b.now = a.now
    single_action(b.ask(plan="full"), io.Refuse)


def test_slot_is_used_until_the_attempt_ends():
    a, b = pair()
    sent = [single_action(a.ask(plan="full"), io.Attempt) for _ in range(2)]
    a.handle(io.ClientGone(sent[0].request))
    single_action(b.ask(plan="full"), io.Refuse)
    a.end(sent[0], io.Outcome.TIMEOUT, done=True)
    single_action(b.ask(plan="full"), io.Attempt)
    a.end(sent[1], io.Outcome.ERROR, done=False)  # retried: still open
    single_action(b.ask(plan="full"), io.Refuse)
    assert not actions_of_kind(
        b.end(single_action([x for x in b.log if isinstance(x, io.Attempt)], io.Attempt)), io.Refuse
    )
    single_action(b.ask(plan="full"), io.Attempt)


def test_share_of_the_cap_applies_without_totals():
    g = GatewayDriver(plans=(CAPPED,), instances=2)
    g.counter = "timeout"
    single_action(g.ask(plan="full", width=2), io.Attempt)
    single_action(g.ask(plan="full", width=2), io.Refuse)


def test_amount_of_a_failed_call_is_added_with_the_next_one():
    a, b = pair()
    a.counter = "refusing"
    single_action(a.ask(plan="full"), io.Attempt)
    a.counter = "up"
    a.gateway.call_policy.call_share = 1.0
    single_action(a.ask(plan="full"), io.Attempt)
    single_action(b.ask(plan="full"), io.Refuse)


def test_attempt_that_hangs_beyond_its_objective_releases_its_slot():
    # It used half of its customer's cap until the client timed out.
    a, b = pair()
    stuck = single_action(a.ask("once", plan="full"), io.Attempt)
    single_action(b.ask(plan="full"), io.Attempt)
    a.gateway.latency["once"] = 0.1
    assert not actions_of_kind(a.advance(1.9), io.CancelAttempt)
    assert [c.request for c in actions_of_kind(a.advance(0.2), io.CancelAttempt)[:1]] == [stuck.request]
    single_action(a.end(stuck, io.Outcome.CANCELLED), io.Fail)
    b.now = a.now
    single_action(b.ask(plan="full"), io.Attempt)


def test_hanging_attempt_is_waited_for_without_a_cap():
    g = GatewayDriver()
    g.gateway.latency["once"] = 0.1
    single_action(g.ask("once"), io.Attempt)
    assert not actions_of_kind(g.advance(5.0), io.CancelAttempt)


def test_scarce_calls_are_used_for_requests_that_an_even_share_would_refuse():
    g = GatewayDriver(plans=(CAPPED,), instances=2)
    for customer in range(50):
        single_action(g.ask(plan="full", customer=customer), io.Attempt)
        g.gateway.call_policy.call_share = 0.25
        actions = g.ask(plan="full", customer=customer)
        single_action(actions, io.CounterAdd)
        for a in actions_of_kind(g.log, io.Attempt)[-2:]:
            g.end(a)


def test_slot_is_reserved_for_the_next_request_while_calls_are_scarce():
    a, b = pair()
    first, other = (
        single_action(a.ask(plan="full"), io.Attempt),
        single_action(b.ask(plan="full"), io.Attempt),
    )
    a.gateway.call_policy.call_share = 0.5
    kept = a.end(first)
    assert not actions_of_kind(kept, io.CounterAdd)
    again = a.ask(plan="full")
    assert not actions_of_kind(again, io.CounterAdd)  # the reserved slot is used
    timer = single_action(
        [x for x in a.end(single_action(again, io.Attempt)) if getattr(x, "token", 0)], io.SetTimer
    )
    single_action(b.ask(plan="full"), io.Refuse)
    a.now = b.now = a.now + timer.delay
    assert round(single_action(a.handle(io.TimerFired(timer.token)), io.CounterAdd).amount) == -1
    single_action(b.ask(plan="full"), io.Attempt)
    assert other.request in b.gateway.active_requests


def test_customer_with_a_recently_full_cap_makes_a_call_while_calls_are_scarce():
    a, b = pair()
    for _ in range(2):
        single_action(b.ask(plan="full"), io.Attempt)
    single_action(a.ask(plan="full"), io.Refuse)
    for _ in range(20):
        a.gateway.call_policy.call_share = 0.25
        single_action(a.ask(plan="full"), io.Refuse)  # without a call its even share would admit it


def test_request_admitted_without_a_call_makes_none_until_its_end():
    # Each was reported at the next renewal and again at its end: two of every three calls.
    fleet = [GatewayDriver(plans=(CAPPED,), instances=40, seed=n) for n in range(40)]
    calls = asked = 0
    for n, g in enumerate(fleet):
        g.gateway.call_policy.call_share = 0.05
        actions = g.ask(plan="full", customer=n, width=40)
        if actions_of_kind(actions, io.CounterAdd):
            asked += 1
            continue
        g.counter = "silent"
        actions += g.advance(0.1) + g.end(single_action(actions, io.Attempt)) + g.advance(0.1)
        calls += len(actions_of_kind(actions, io.CounterAdd))
    assert asked < 10 and calls == 0


def test_open_requests_are_reported_to_the_next_count_while_calls_are_scarce():
    a, b = pair()
    for _ in range(2):
        single_action(a.ask(plan="full"), io.Attempt)
    a.gateway.call_policy.call_share = 0.5
    a.advance(a.gateway.cap.length)
    b.now = a.now
    single_action(b.ask(plan="full"), io.Refuse)


def let_in(every: float, seconds: float = 20.0) -> float:
    """Return the fraction of a customer's requests that 40 ingresses admit without totals."""
    fleet = [GatewayDriver(plans=(CAPPED,), instances=40, seed=n) for n in range(40)]
    sent = asked = 0
    for n in range(int(seconds / every)):
        g = fleet[n * 17 % 40]
        g.now, g.counter = 100.0 + n * every, "timeout"
        g.gateway.latency["read"] = 0.15
        actions = g.ask(plan="full", width=40)
        asked += 1
        for a in actions_of_kind(actions, io.Attempt):
            sent += 1
            g.end(a, elapsed=0.15)
    return sent / asked


def test_without_totals_a_heavy_customer_gets_its_cap_and_a_light_one_everything():
    # Each ingress saw one open request at most, and admitted all requests of a customer at 2.5 times its cap.
    heavy, calm = let_in(0.03), let_in(0.5)  # five open requests on average, and 0.3
    assert heavy < 0.6 and calm > 0.95


def test_requests_admitted_without_totals_leave_room_for_counted_ones():
    # Each was admitted independently of the others, and together they exceeded the cap by far.
    fleet = [GatewayDriver(plans=(CAPPED,), instances=40, seed=n) for n in range(40)]
    unseen = sent = 0
    for n in range(1200):
        g = fleet[n * 17 % 40]
        g.now, g.counts = 100.0 + n * 0.03, fleet[0].counts
        g.handle(io.TimerFired(RELEASE_TIMER))
        g.gateway.latency["read"], g.gateway.call_policy.call_share = 0.15, 0.5
        actions = g.ask(plan="full", width=40)
        if not actions_of_kind(actions, io.CounterAdd):
            unseen, sent = unseen + 1, sent + len(actions_of_kind(actions, io.Attempt))
        for a in actions_of_kind(actions, io.Attempt):
            g.end(a, elapsed=0.15)
    assert unseen > 200 and sent < 0.25 * unseen


def test_one_total_shows_a_high_demand_at_other_ingresses():
    # Each ingress used its own arrivals only, one in several seconds, and admitted everything.
    let_in = 0
    for seed in range(40):
        a, b = (GatewayDriver(plans=(CAPPED,), instances=40, seed=n, now=98.0) for n in (100, seed))
        b.counts = a.counts
        for g in (a, b):
            g.gateway.latency["read"] = 0.15
        start = a.gateway.cap.length * 33  # start of a window of the count
        for n in range(60):  # 20 per second: three open if none is refused
            a.now, a.gateway.call_policy.call_share = start + 0.05 * (n + 1), 1.0
            for sent in actions_of_kind(a.ask(plan="full", width=40), io.Attempt):
                a.end(sent, elapsed=0.15)
        b.now, b.gateway.call_policy.call_share = a.now, 1.0
        for sent in actions_of_kind(b.ask(plan="full", width=40), io.Attempt):
            b.end(sent, elapsed=0.15)
        b.counter, b.gateway.call_policy.call_share = "timeout", 0.05
        let_in += len(actions_of_kind(b.ask(plan="full", width=40), io.Attempt))
    assert 5 <= let_in <= 25


def test_fractional_arrivals_use_no_slot():
    a, b = pair()
    for _ in range(300):
        a.end(single_action(a.ask(plan="full"), io.Attempt))
    single_action(a.ask(plan="full"), io.Attempt)
    single_action(b.ask(plan="full"), io.Attempt)
    single_action(b.ask(plan="full", width=1), io.Refuse)


def test_scarce_calls_are_used_for_heavy_customers():
    def asked(customers: int) -> int:
        g, calls = GatewayDriver(plans=(CAPPED,), instances=40), 0
        for n in range(1000):
            g.now += 0.25
            g.gateway.latency["read"], g.gateway.call_policy.call_share = 0.15, 0.2
            g.handle(io.TimerFired(RELEASE_TIMER))
            actions = g.ask(plan="full", customer=n % customers, width=40)
            calls += len(actions_of_kind(actions, io.CounterAdd))
            for a in actions_of_kind(actions, io.Attempt):
                g.end(a, elapsed=0.15)
        return calls

    assert asked(8) > 2 * asked(80)  # three open requests on average, and 0.3


@pytest.mark.parametrize("most", [1, 2, 300])
def test_cap_of_any_size_is_enforced_at_random_while_calls_are_scarce(most):
    # Powers and factorials of a cap of several hundred overflow a float.
    plan = io.PlanSettings("full", rate=0.0, burst=0.0, max_open=most, over_cost=0.6)
    g = GatewayDriver(plans=(plan,), instances=40)
    for _ in range(400):
        g.gateway.call_policy.call_share = 0.2
        actions = g.ask(plan="full", width=40)
        for a in actions_of_kind(actions, io.Attempt):
            g.end(a, elapsed=0.15)
        assert len(actions_of_kind(actions, io.Attempt)) + len(actions_of_kind(actions, io.Refuse)) == 1
    sent = len(actions_of_kind(g.log, io.Attempt))
    assert 0 < sent < 400 if most < 300 else sent == 400


def test_open_requests_are_not_reported_without_a_counter():
    plan = io.PlanSettings("capped", rate=0.0, burst=0.0, max_open=4)
    g = GatewayDriver(backends=4, counter=False, plans=(plan,))
    sent = [a for _ in range(3) for a in actions_of_kind(g.ask(plan="capped"), io.Attempt)]
    assert sent and not actions_of_kind(g.advance(12.0), io.CounterAdd)
    assert not actions_of_kind([x for a in sent for x in g.end(a)], io.CounterAdd)
