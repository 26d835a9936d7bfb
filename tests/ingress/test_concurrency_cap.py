"""The cap on open requests, held by all ingresses together."""

from __future__ import annotations

import pytest

from ingress import interface as io
from ingress.opencap import RELEASE_TIMER
from tests.ingress.ingress_driver import GatewayDriver, only, some

CAPPED = io.PlanSettings("full", rate=0.0, burst=0.0, max_open=2, over_cost=0.6)


def pair() -> tuple[GatewayDriver, GatewayDriver]:
    """Two ingresses on one counter."""
    a, b = (GatewayDriver(plans=(CAPPED,), instances=2, seed=n) for n in (1, 2))
    b.counts = a.counts
    return a, b


def test_all_ingresses_together_keep_a_customer_to_its_cap():
    a, b = pair()
    first = only(a.ask(plan="full"), io.Attempt)
    only(b.ask(plan="full"), io.Attempt)
    for g in (a, b):
        refused = only(g.ask(plan="full"), io.Refuse)
        assert refused.retry_after_s > 0
    only(b.ask(plan="full", customer=8), io.Attempt)
    a.end(first)
    only(b.ask(plan="full"), io.Attempt)
    only(a.ask(plan="full"), io.Refuse)


def test_a_new_count_begins_with_what_is_open():
    a, b = pair()
    for _ in range(2):
        only(a.ask(plan="full"), io.Attempt)
    a.beat(a.gw.cap.length)
    b.now = a.now
    only(b.ask(plan="full"), io.Refuse)


def test_a_place_is_held_until_the_attempt_ends_and_free_once_it_has():
    a, b = pair()
    sent = [only(a.ask(plan="full"), io.Attempt) for _ in range(2)]
    a.give(io.ClientGone(sent[0].request))
    only(b.ask(plan="full"), io.Refuse)
    a.end(sent[0], io.Outcome.TIMEOUT, done=True)
    only(b.ask(plan="full"), io.Attempt)
    a.end(sent[1], io.Outcome.ERROR, done=False)  # tried again: still open
    only(b.ask(plan="full"), io.Refuse)
    assert not some(b.end(only([x for x in b.log if isinstance(x, io.Attempt)], io.Attempt)), io.Refuse)
    only(b.ask(plan="full"), io.Attempt)


def test_without_totals_a_share_of_the_cap_stands_in():
    g = GatewayDriver(plans=(CAPPED,), instances=2)
    g.counter = "timeout"
    only(g.ask(plan="full", width=2), io.Attempt)
    only(g.ask(plan="full", width=2), io.Refuse)


def test_what_a_call_that_added_nothing_held_goes_with_the_next():
    a, b = pair()
    a.counter = "refusing"
    only(a.ask(plan="full"), io.Attempt)
    a.counter = "up"
    a.gw.call_policy.call_share = 1.0
    only(a.ask(plan="full"), io.Attempt)
    only(b.ask(plan="full"), io.Refuse)


def test_an_attempt_that_hangs_past_its_aim_gives_its_place_back():
    # It held half of its customer's cap until its client's time was up.
    a, b = pair()
    stuck = only(a.ask("once", plan="full"), io.Attempt)
    only(b.ask(plan="full"), io.Attempt)
    a.gw.latency["once"] = 0.1
    assert not some(a.beat(1.9), io.CancelAttempt)
    assert [c.request for c in some(a.beat(0.2), io.CancelAttempt)[:1]] == [stuck.request]
    only(a.end(stuck, io.Outcome.CANCELLED), io.Fail)
    b.now = a.now
    only(b.ask(plan="full"), io.Attempt)


def test_where_no_cap_is_kept_a_hung_attempt_is_waited_for():
    g = GatewayDriver()
    g.gw.latency["once"] = 0.1
    only(g.ask("once"), io.Attempt)
    assert not some(g.beat(5.0), io.CancelAttempt)


def test_where_calls_are_short_those_go_first_that_an_even_share_would_refuse():
    g = GatewayDriver(plans=(CAPPED,), instances=2)
    for customer in range(50):
        only(g.ask(plan="full", customer=customer), io.Attempt)
        g.gw.call_policy.call_share = 0.25
        actions = g.ask(plan="full", customer=customer)
        only(actions, io.CounterAdd)
        for a in some(g.log, io.Attempt)[-2:]:
            g.end(a)


def test_where_calls_are_short_a_place_is_kept_for_the_next_request_and_then_given_back():
    a, b = pair()
    first, other = only(a.ask(plan="full"), io.Attempt), only(b.ask(plan="full"), io.Attempt)
    a.gw.call_policy.call_share = 0.5
    kept = a.end(first)
    assert not some(kept, io.CounterAdd)
    again = a.ask(plan="full")
    assert not some(again, io.CounterAdd)  # the place is its own
    timer = only([x for x in a.end(only(again, io.Attempt)) if getattr(x, "token", 0)], io.SetTimer)
    only(b.ask(plan="full"), io.Refuse)
    a.now = b.now = a.now + timer.delay
    assert round(only(a.give(io.TimerFired(timer.token)), io.CounterAdd).amount) == -1
    only(b.ask(plan="full"), io.Attempt)
    assert other.request in b.gw.active_requests


def test_where_calls_are_short_a_customer_whose_cap_was_full_of_late_asks_first():
    a, b = pair()
    for _ in range(2):
        only(b.ask(plan="full"), io.Attempt)
    only(a.ask(plan="full"), io.Refuse)
    for _ in range(20):
        a.gw.call_policy.call_share = 0.25
        only(a.ask(plan="full"), io.Refuse)  # unasked, its even share would let it in


def test_where_calls_are_short_a_request_let_in_without_one_costs_none_until_its_end():
    # Each was told to the count by the next beat and taken back at its end: two calls of every three.
    fleet = [GatewayDriver(plans=(CAPPED,), instances=40, seed=n) for n in range(40)]
    calls = asked = 0
    for n, g in enumerate(fleet):
        g.gw.call_policy.call_share = 0.05
        actions = g.ask(plan="full", customer=n, width=40)
        if some(actions, io.CounterAdd):
            asked += 1
            continue
        g.counter = "silent"
        actions += g.beat(0.1) + g.end(only(actions, io.Attempt)) + g.beat(0.1)
        calls += len(some(actions, io.CounterAdd))
    assert asked < 10 and calls == 0


def test_what_a_count_held_is_told_to_the_next_also_where_calls_are_short():
    a, b = pair()
    for _ in range(2):
        only(a.ask(plan="full"), io.Attempt)
    a.gw.call_policy.call_share = 0.5
    a.beat(a.gw.cap.length)
    b.now = a.now
    only(b.ask(plan="full"), io.Refuse)


def let_in(every: float, seconds: float = 20.0) -> float:
    """The part of a customer's requests, dealt out to 40 ingresses that get no totals, that goes on."""
    fleet = [GatewayDriver(plans=(CAPPED,), instances=40, seed=n) for n in range(40)]
    sent = asked = 0
    for n in range(int(seconds / every)):
        g = fleet[n * 17 % 40]
        g.now, g.counter = 100.0 + n * every, "timeout"
        g.gw.latency["read"] = 0.15
        actions = g.ask(plan="full", width=40)
        asked += 1
        for a in some(actions, io.Attempt):
            sent += 1
            g.end(a, elapsed=0.15)
    return sent / asked


def test_unseen_a_customer_of_many_gets_what_its_cap_is_good_for_and_one_of_few_gets_all():
    # Each ingress saw one open at most: of a customer that asks for 2.5 times its cap it let all in.
    heavy, calm = let_in(0.03), let_in(0.5)  # five open on average, and 0.3
    assert heavy < 0.6 and calm > 0.95


def test_unseen_requests_leave_room_for_those_with_a_verdict():
    # Each was let in as if the others were not there, and together they went far beyond the cap.
    fleet = [GatewayDriver(plans=(CAPPED,), instances=40, seed=n) for n in range(40)]
    unseen = sent = 0
    for n in range(1200):
        g = fleet[n * 17 % 40]
        g.now, g.counts = 100.0 + n * 0.03, fleet[0].counts
        g.give(io.TimerFired(RELEASE_TIMER))
        g.gw.latency["read"], g.gw.call_policy.call_share = 0.15, 0.5
        actions = g.ask(plan="full", width=40)
        if not some(actions, io.CounterAdd):
            unseen, sent = unseen + 1, sent + len(some(actions, io.Attempt))
        for a in some(actions, io.Attempt):
            g.end(a, elapsed=0.15)
    assert unseen > 200 and sent < 0.25 * unseen


def test_one_total_tells_an_ingress_that_a_customer_asks_for_much_at_the_others():
    # Each went by its own arrivals alone, one in seconds, and let in what came.
    let_in = 0
    for seed in range(40):
        a, b = (GatewayDriver(plans=(CAPPED,), instances=40, seed=n, now=98.0) for n in (100, seed))
        b.counts = a.counts
        for g in (a, b):
            g.gw.latency["read"] = 0.15
        start = a.gw.cap.length * 33  # of a window of the count
        for n in range(60):  # 20 a second: three open where none is turned away
            a.now, a.gw.call_policy.call_share = start + 0.05 * (n + 1), 1.0
            for sent in some(a.ask(plan="full", width=40), io.Attempt):
                a.end(sent, elapsed=0.15)
        b.now, b.gw.call_policy.call_share = a.now, 1.0
        for sent in some(b.ask(plan="full", width=40), io.Attempt):
            b.end(sent, elapsed=0.15)
        b.counter, b.gw.call_policy.call_share = "timeout", 0.05
        let_in += len(some(b.ask(plan="full", width=40), io.Attempt))
    assert 5 <= let_in <= 25


def test_arrivals_told_in_a_fraction_take_no_place():
    a, b = pair()
    for _ in range(300):
        a.end(only(a.ask(plan="full"), io.Attempt))
    only(a.ask(plan="full"), io.Attempt)
    only(b.ask(plan="full"), io.Attempt)
    only(b.ask(plan="full", width=1), io.Refuse)


def test_calls_go_first_to_customers_of_many_where_they_are_short():
    def asked(customers: int) -> int:
        g, calls = GatewayDriver(plans=(CAPPED,), instances=40), 0
        for n in range(1000):
            g.now += 0.25
            g.gw.latency["read"], g.gw.call_policy.call_share = 0.15, 0.2
            g.give(io.TimerFired(RELEASE_TIMER))
            actions = g.ask(plan="full", customer=n % customers, width=40)
            calls += len(some(actions, io.CounterAdd))
            for a in some(actions, io.Attempt):
                g.end(a, elapsed=0.15)
        return calls

    assert asked(8) > 2 * asked(80)  # each of them three open on average, and 0.3


@pytest.mark.parametrize("most", [1, 2, 300])
def test_a_cap_of_any_size_is_held_by_chance_where_calls_are_short(most):
    # Powers and factorials of a cap of hundreds are more than a float holds.
    plan = io.PlanSettings("full", rate=0.0, burst=0.0, max_open=most, over_cost=0.6)
    g = GatewayDriver(plans=(plan,), instances=40)
    for _ in range(400):
        g.gw.call_policy.call_share = 0.2
        actions = g.ask(plan="full", width=40)
        for a in some(actions, io.Attempt):
            g.end(a, elapsed=0.15)
        assert len(some(actions, io.Attempt)) + len(some(actions, io.Refuse)) == 1
    sent = len(some(g.log, io.Attempt))
    assert 0 < sent < 400 if most < 300 else sent == 400


def test_where_there_is_no_counter_open_requests_are_told_to_none():
    plan = io.PlanSettings("capped", rate=0.0, burst=0.0, max_open=4)
    g = GatewayDriver(backends=4, counter=False, plans=(plan,))
    sent = [a for _ in range(3) for a in some(g.ask(plan="capped"), io.Attempt)]
    assert sent and not some(g.beat(12.0), io.CounterAdd)
    assert not some([x for a in sent for x in g.end(a)], io.CounterAdd)
