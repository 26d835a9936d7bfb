"""Tests of admission by the shared counter, and by local shares while the counter fails."""

from __future__ import annotations

import pytest

from ingress import control, gossip
from ingress import interface as io
from ingress.calling import OUTAGE_MISSES
from ingress.customer import EXCESS_S, Customer
from tests.ingress.ingress_driver import CEILED, PLAN, SAFE, GatewayDriver, actions_of_kind, single_action


def serve(g: GatewayDriver, actions: list[io.Action]) -> bool:
    sent = actions_of_kind(actions, io.Attempt)
    for a in sent:
        g.end(a)
    return bool(sent)


def full(**more) -> GatewayDriver:
    """Return an ingress that knows the customer, and whose bucket for it is full."""
    g = GatewayDriver(**more)
    serve(g, g.ask(units=1.0))
    g.now += 5.0
    return g


def test_units_are_charged_once_before_the_request_is_sent():
    g = GatewayDriver()
    actions = g.ask(units=3.0)
    assert single_action(actions, io.CounterAdd).amount == 3.0
    single_action(actions, io.Attempt)


def test_request_within_the_allowance_is_admitted_and_above_it_refused_and_refunded():
    g = full()
    first = g.ask(units=8.0)
    name = single_action(first, io.CounterAdd).name
    single_action(first, io.Attempt)
    g.gateway.call_policy.calls_per_request = 0.0  # so that no request is refused without a call
    actions = g.ask(units=1.0)
    assert [a.amount for a in actions_of_kind(actions, io.CounterAdd)] == [1.0, -1.0]
    single_action(actions, io.Refuse)
    assert not actions_of_kind(actions, io.Attempt)
    assert g.counts[name] == 8.0


def test_use_at_another_ingress_counts():
    g = GatewayDriver()
    name = single_action(g.ask(units=1.0), io.CounterAdd).name
    g.counts[name] += 7.0
    single_action(g.ask(units=1.0), io.Refuse)


def test_certain_refusal_needs_no_call_but_most_requests_make_one():
    g = full()
    serve(g, g.ask(units=8.0))
    calls = sum(len(actions_of_kind(g.ask(units=4.0), io.CounterAdd)) > 0 for _ in range(100))
    assert 30 <= calls < 100  # two calls for each charged request: charge and refund


def test_refill_continues_across_windows_without_a_second_burst():
    g = GatewayDriver()
    sent = 0
    for _ in range(400):  # 20 s of steady excess over five windows
        sent += serve(g, g.ask(units=1.0))
        g.now += 0.05
    assert PLAN.burst + 20 * PLAN.rate * 0.9 <= sent <= PLAN.burst + 20 * PLAN.rate + 1


def test_actual_units_are_settled_with_the_next_call():
    g = GatewayDriver()
    g.end(single_action(g.ask(units=1.0), io.Attempt), true=3.0)
    assert single_action(g.ask(units=1.0), io.CounterAdd).amount == pytest.approx(3.0)


def test_windows_of_customers_end_at_different_times():
    g = GatewayDriver()
    for k in range(20):
        g.ask(customer=k)
    phases = {round(c.phase, 6) for c in g.gateway.customers.by_key.values()}
    assert len(phases) == 20


def test_counter_restarted_empty_gives_no_second_burst():
    g = full()
    serve(g, g.ask(units=4.0))
    serve(g, g.ask(units=4.0))
    g.counts.clear()
    g.gateway.call_policy.calls_per_request = 0.0
    single_action(g.ask(units=2.0), io.Refuse)


@pytest.mark.parametrize("trouble", ["refusing", "timeout"])
def test_counter_trouble_admits_by_local_share_and_reports_later(trouble):
    g = GatewayDriver()
    g.counter = trouble
    for k in range(300):  # other customers' requests detect the failure first
        serve(g, g.ask(customer=100 + k))
    sent = sum(serve(g, g.ask(units=1.0, width=2)) for _ in range(30))
    assert 1 <= sent <= PLAN.burst  # its share of one burst: neither nothing nor everything
    assert actions_of_kind(g.log, io.Log)
    g.counter = "up"
    for _ in range(40):  # one request in five still makes a call
        g.now += 0.1
        serve(g, g.ask(units=1.0))
    assert g.gateway.call_policy.misses == 0
    if trouble == "refusing":  # nothing was charged, so it is reported now
        assert sum(g.counts.values()) >= sent


def test_unreported_use_is_counted_once_while_the_breaker_is_open():
    # Failed calls counted their charge in addition to the local one, so that light customers were refused.
    g = GatewayDriver()
    g.counter = "refusing"
    for k in range(60):
        serve(g, g.ask(customer=100 + k))
    g.gateway.call_policy.call_share = 1.0  # so that this request makes a call
    before = g.gateway.call_policy.misses
    serve(g, g.ask(units=1.0))
    assert g.gateway.call_policy.misses > before
    assert g.gateway.customers.by_key[7].pending == pytest.approx(1.0)


def test_request_waits_for_an_unresponsive_counter_only_until_the_call_times_out():
    g = GatewayDriver()
    g.counter = "silent"
    call = single_action(g.ask(), io.CounterAdd)
    assert not actions_of_kind(g.log, io.Attempt)
    g.counter = "up"
    single_action(g.handle(io.CounterReply(call.name, io.Outcome.TIMEOUT, 0.08, 0.0)), io.Attempt)


def test_request_with_little_time_does_not_wait_for_the_counter():
    g = GatewayDriver()
    g.counter = "silent"
    g.gateway.latency["read"] = g.gateway.unloaded_latency["read"] = 0.02
    single_action(g.ask(expires=0.1), io.Attempt)


def test_ceiling_holds_in_an_outage_if_every_peer_admits_its_maximum():
    seconds, width, sent = 20.0, 3, 0.0
    for _ in range(width):
        g = GatewayDriver()
        g.counter = "refusing"
        t = 0.0
        while t < seconds:
            sent += serve(g, g.ask(units=1.0, plan="plus", width=width))
            g.now += 0.02
            t += 0.02
    assert sent <= CEILED.limit_burst + CEILED.limit_rate * seconds
    assert sent >= 0.4 * CEILED.rate * seconds


def test_ceiling_leaves_room_for_peers_while_the_counter_answers_some_calls():
    # Timed-out calls to an overloaded counter were taken for charged, and the ceiling was exceeded.
    g = GatewayDriver()
    g.counter = "timeout"
    actions = g.ask(units=1.0, plan="plus", width=2)
    assert actions_of_kind(actions, io.Attempt)
    assert g.gateway.customers.by_key[7].pending == pytest.approx(1.0)  # reported again: maybe not charged
    # Between quota and ceiling each of two ingresses may use 0.3 of the bucket; a single one 0.8 of it.
    for alone, units in ((False, 6.0), (True, 16.0)):
        g.gateway.call_policy.misses = OUTAGE_MISSES if alone else 0
        for more, kind in ((0.1, io.Refuse), (-0.1, io.Attempt)):
            g.now += 100.0  # the bucket is full again
            g.gateway.customers.by_key[7].pending, g.gateway.customers.by_key[7].local_fraction = 0.0, 1.0
            g.gateway.call_policy.call_share = 0.0
            single_action(g.ask(units=units + more, plan="plus", width=2), kind)


def test_restart_in_an_outage_does_not_grant_the_ceiling_twice():
    g = GatewayDriver()
    g.counter = "refusing"
    sent = sum(serve(g, g.ask(units=1.0, plan="plus", width=2)) for _ in range(40))
    assert sent <= (CEILED.limit_burst - CEILED.burst) / 2 + 1


@pytest.mark.parametrize(
    "change,field",
    [
        (dict(classes=()), "classes"),
        (dict(plans=()), "plans"),
        (dict(instances=0), "instances"),
        (dict(counter_timeout=-1.0), "counter_timeout"),
        (dict(max_attempts=0), "max_attempts"),
    ],
)
def test_invalid_settings_name_the_field(change, field):
    args = dict(classes=(SAFE,), plans=(PLAN,))
    args.update(change)
    with pytest.raises(ValueError, match=field):
        io.Settings(**args)


def test_negative_rate_and_unknown_effect_are_reported():
    with pytest.raises(ValueError, match="plans.rate"):
        io.PlanSettings("p", rate=-1.0, burst=1.0)
    with pytest.raises(ValueError, match="classes.effect"):
        io.ClassSettings("c", "sometimes", 1.0, 1.0)  # type: ignore[arg-type]


def test_unexpected_counter_reply_changes_nothing():
    g = GatewayDriver()
    assert g.handle(io.CounterReply(12345, io.Outcome.OK, 0.001, 4.0)) == []


def test_counter_reply_after_the_client_disconnected():
    g = GatewayDriver()
    g.counter = "silent"
    call = single_action(g.ask(), io.CounterAdd)
    g.handle(io.ClientGone("r1"))
    actions = g.handle(io.CounterReply(call.name, io.Outcome.OK, 0.001, 1.0))
    assert not actions_of_kind(actions, io.Attempt) and not actions_of_kind(actions, io.Refuse)


def test_most_but_not_all_of_a_burst_is_carried_over_without_history():
    # Half a burst refused customers that an ingress rarely sees; a whole one exceeded the quota.
    g = GatewayDriver()
    g.gateway.call_policy.calls_per_request = 0.0
    sent = sum(serve(g, g.ask(units=1.0)) for _ in range(20))
    into = (g.now + g.gateway.customers.by_key[7].phase) % g.gateway.customers.by_key[7].length
    assert 0.5 * PLAN.burst < sent <= min(PLAN.burst, 0.8 * PLAN.burst + PLAN.rate * into)


# Wide customers: there are hundreds of ingresses, and each sees few requests of a customer.


def test_wide_customer_without_history_gets_one_burst_per_window():
    # Each ingress assumed a nearly full bucket at first, so that the burst was spent in every window.
    peers = [GatewayDriver(instances=60) for _ in range(60)]
    shared: dict[int, float] = {}
    sent = 0.0
    for step in range(240):  # 24 s, six windows, at four times the quota
        g = peers[step % 60]
        g.now, g.counts, g.gateway.call_policy.call_share = 100.0 + step * 0.1, shared, 1.0
        sent += serve(g, g.ask(units=1.0, width=60))
    assert 5 * PLAN.burst <= sent <= 7 * PLAN.burst


def test_overloaded_counter_is_called_less_until_it_is_fast_again():
    # A limit on open calls had no effect at two calls per second and ingress: 87% were rejected.
    g = GatewayDriver()
    g.counter = "refusing"
    for k in range(30):
        serve(g, g.ask(customer=k))
    assert g.gateway.call_policy.call_share <= 0.25
    g.counter = "up"
    for k in range(400):
        serve(g, g.ask(customer=1000 + k))
    assert g.gateway.call_policy.call_share == 1.0


def test_scarce_calls_are_used_for_requests_that_a_share_would_refuse():
    # Without a call, a request was refused if its customer's local share was below its units.
    g = GatewayDriver()
    calls = {units: 0 for units in (1.0, 4.0)}
    for _ in range(400):
        for units in calls:
            g.gateway.call_policy.call_share = 0.25
            actions = g.ask(units=units, customer=g.n, plan="plus", width=4)  # the local share is one unit
            g.end(single_action(actions, io.Attempt))
            calls[units] += len(actions_of_kind(actions, io.CounterAdd))
    assert calls[4.0] == 400 and calls[1.0] < 50  # requests of one unit need no call
    g.gateway.call_policy.call_share, g.gateway.call_policy.misses = (
        0.0,
        OUTAGE_MISSES,
    )  # no reply: the local share decides
    assert [type(a) for a in g.ask(units=4.0, customer=5000, plan="plus", width=4)] == [io.Refuse]


def test_share_below_one_request_admits_requests_at_random():
    # A share of a burst below one request refused every request while the counter was overloaded.
    g = GatewayDriver(instances=300)
    g.gateway.call_policy.call_share = 0.0
    sent = sum(serve(g, g.ask(customer=k, width=300)) for k in range(100))
    assert sent == 100  # a customer without history is usually light
    sent = 0
    for k in range(1000, 1200):
        g.gateway.customers.by_key[k] = Customer(k, PLAN, g.now)
        g.gateway.customers.by_key[k].admit_rate = 0.3
        sent += serve(g, g.ask(customer=k, width=300))
    assert 30 <= sent <= 90  # after refusals by totals they are admitted at random


def test_charge_is_scaled_up_by_the_share_of_requests_with_a_call():
    g = GatewayDriver(instances=300)
    amounts = set()
    for k in range(40):
        g.gateway.call_policy.call_share = 0.5
        amounts |= {a.amount for a in actions_of_kind(g.ask(customer=k, width=300), io.CounterAdd)}
    assert amounts == {2.0}


def test_exhausted_window_is_gossiped_and_peers_refuse_without_a_call():
    g = GatewayDriver(instances=300, peers=True)
    g.gateway.call_policy.call_share = 1.0
    name = single_action(g.ask(units=1.0, width=300), io.CounterAdd).name
    g.counts[name] = 20.0
    told = single_action(g.ask(units=1.0, width=300), io.SendPeerMessage)
    assert told.peer is None and len(told.payload) == 5
    other = GatewayDriver(instances=300, peers=True)
    other.gateway.call_policy.call_share = 0.9
    other.handle(io.PeerMessage(3, told.payload))
    actions = other.ask(units=1.0, width=300)
    single_action(actions, io.Refuse)
    assert not actions_of_kind(actions, io.CounterAdd)
    other.now += 8 * PLAN.burst / PLAN.rate  # a later window
    assert not actions_of_kind(other.ask(units=1.0, width=300), io.Refuse)


def test_exhausted_windows_of_peers_expire():
    g = GatewayDriver(peers=True)
    for k in range(100):
        g.now += 1.0
        g.handle(io.PeerMessage(1, k.to_bytes(5)))
    g.handle(io.PeerMessage(1, b""))
    assert len(g.gateway.gossip.spent) < 70


def test_failed_counter_is_called_more_often_than_an_overloaded_one():
    # At the minimum call share of an overloaded counter, many ingresses took 10 s to detect its recovery.
    g = GatewayDriver()
    g.counter = "refusing"
    for k in range(600):
        serve(g, g.ask(customer=k))
    assert g.gateway.call_policy.misses > OUTAGE_MISSES and g.gateway.call_policy.call_share >= 0.2


def test_request_that_cannot_be_served_in_time_is_not_charged():
    # Charges of requests that were then refused for lack of a slot used up the quota, also at the peers.
    g = GatewayDriver(backends=1)
    g.gateway.limit.slots, g.gateway.latency["read"] = 1.0, 5.0
    g.ask(customer=1)
    actions = g.ask(customer=2)
    single_action(actions, io.Refuse)
    assert not actions_of_kind(actions, io.CounterAdd)


def test_frequent_customer_without_totals_is_admitted_less():
    # In a counter outage every customer without history was admitted without limit.
    g = GatewayDriver(instances=300)
    g.counter = "silent"
    g.gateway.call_policy.call_share = 0.0
    assert sum(serve(g, g.ask(width=300)) for _ in range(100)) <= 20


def test_plan_without_a_rate_is_never_refused_at_random():
    # Its burst of 0 made every share appear below one request, and each admission lowered the probability.
    g = GatewayDriver(plans=(io.PlanSettings("open", rate=0.0, burst=0.0),))
    assert sum(serve(g, g.ask(plan="open", width=3)) for _ in range(100)) == 100


def test_customers_without_recent_requests_are_evicted():
    """Many customers send one request only. Their state must not accumulate."""
    i = GatewayDriver()
    for customer in range(4):
        i.ask(customer=customer)
    i.now += i.gateway.customers.retention_s + 1
    i.ask(customer=3)
    i.ask(customer=9)
    assert list(i.gateway.customers.by_key) == [3, 9]
    for customer in range(10, 20):  # active customers are kept
        i.now += i.gateway.customers.retention_s / 4
        for known in (3, 9, customer):
            i.ask(customer=known)
    assert {3, 9, 19} <= set(i.gateway.customers.by_key) and 10 not in i.gateway.customers.by_key
    i.counter = "silent"
    i.ask(customer=30)
    i.now += 2 * i.gateway.customers.retention_s
    i.ask(customer=31)
    assert set(i.gateway.customers.by_key) == {30, 31}  # a customer with a pending call is kept


def test_exhausted_windows_expire_although_some_are_reported_again():
    i = GatewayDriver(peers=True)
    for n in range(1000):
        i.now += i.gateway.customers.retention_s / 10
        i.handle(io.PeerMessage(1, b"again"))
        i.handle(io.PeerMessage(1, b"w%d" % n))
    assert len(i.gateway.gossip.spent) <= 13


def test_charge_with_an_unreadable_total_is_not_reported_again():
    """If it were reported again, the customer would be charged twice for one request."""
    g = GatewayDriver()
    g.counter = "silent"
    name = single_action(g.ask(units=3.0), io.CounterAdd).name
    single_action(g.handle(io.CounterReply(name, io.Outcome.ERROR, 0.001, 0.0)), io.Attempt)
    assert single_action(g.ask(units=1.0), io.CounterAdd).amount == 1.0
    single_action(g.handle(io.CounterReply(name, io.Outcome.OK, 0.001, 4.0)), io.Attempt)
    single_action(g.ask(units=4.0), io.CounterAdd)
    single_action(g.handle(io.CounterReply(name, io.Outcome.ERROR, 0.001, 0.0)), io.Attempt)
    g.gateway.call_policy.calls_per_request = 0.0  # so that no request is refused without a call
    single_action(g.ask(units=2.0), io.CounterAdd)
    actions = g.handle(io.CounterReply(name, io.Outcome.ERROR, 0.001, 0.0))  # 10 of 8: refused and refunded
    single_action(actions, io.Refuse)
    assert single_action(actions, io.CounterAdd).amount == -2.0 and g.gateway.call_policy.misses == 0


class IngressFleet:
    """Three ingresses that share a counter and gossip their use."""

    def __init__(self) -> None:
        self.nodes = [
            GatewayDriver(instances=3, me=n, peers=True, peer_in_per_s=100.0, seed=n) for n in range(3)
        ]
        for node in self.nodes:
            node.counts = self.nodes[0].counts
            node.now += node.gateway.customers.retention_s  # later customers have complete history
        self.gossip_round()

    def gossip_round(self, lost: int = -1) -> None:
        """Let all ingresses gossip; the messages of ingress `lost` are lost."""
        for node in self.nodes:
            told = actions_of_kind(node.handle(io.TimerFired(control.GOSSIP_TIMER)), io.SendPeerMessage)
            for other in self.nodes:
                for t in told:
                    if other is not node and node.gateway.settings.me != lost:
                        other.handle(io.PeerMessage(node.gateway.settings.me, t.payload))

    def later(self, seconds: float) -> None:
        for node in self.nodes:
            node.now += seconds

    def levels(self, customer: int = 7) -> list[float]:
        return [n.gateway.customers.by_key[customer].available_units(n.now) for n in self.nodes]


def test_peers_learn_of_admitted_requests_without_a_call():
    s = IngressFleet()
    serve(s.nodes[0], s.nodes[0].ask(units=3.0, width=3))
    s.gossip_round()
    assert s.levels() == [pytest.approx(5.0)] * 3
    assert not s.nodes[0].gateway.gossip.unsent_usage
    assert max(len(a.payload) for a in actions_of_kind(s.nodes[0].log, io.SendPeerMessage)) <= 256


def test_usage_beyond_one_message_is_sent_oldest_first():
    s = IngressFleet()
    s.nodes[0].gateway.gossip.most = 1
    for customer in range(50):
        serve(s.nodes[0], s.nodes[0].ask(units=1.0, width=3, customer=customer))
    s.gossip_round()
    assert list(s.nodes[1].gateway.customers.by_key) == list(range(gossip.USAGE_ENTRIES_MAX))
    s.gossip_round()
    assert list(s.nodes[1].gateway.customers.by_key) == list(range(50))


def test_use_reported_by_total_and_peer_counts_once():
    s = IngressFleet()
    serve(s.nodes[0], s.nodes[0].ask(units=3.0, width=3))
    serve(s.nodes[1], s.nodes[1].ask(units=1.0, width=3))  # the total is 4, and no peer has reported yet
    assert s.nodes[1].gateway.customers.by_key[7].available_units(s.nodes[1].now) == pytest.approx(4.0)
    s.gossip_round()
    assert s.levels() == [pytest.approx(4.0)] * 3


def test_lost_message_is_covered_by_the_next_one():
    s = IngressFleet()
    serve(s.nodes[0], s.nodes[0].ask(units=1.0, width=3))
    s.gossip_round()
    serve(s.nodes[0], s.nodes[0].ask(units=2.0, width=3))
    s.gossip_round(lost=0)
    assert s.levels() == [pytest.approx(x) for x in (5.0, 7.0, 7.0)]
    serve(s.nodes[0], s.nodes[0].ask(units=1.0, width=3))
    s.gossip_round()
    assert s.levels() == [pytest.approx(4.0)] * 3


def test_restarted_peer_starts_at_zero():
    s = IngressFleet()
    serve(s.nodes[0], s.nodes[0].ask(units=4.0, width=3))
    s.gossip_round()
    s.nodes[0].gateway.customers.by_key.clear()
    s.later(2.0)
    serve(s.nodes[0], s.nodes[0].ask(units=1.0, width=3))
    s.gossip_round()
    assert s.levels()[1] == pytest.approx(7.0)  # its use before the restart still counts


def test_refunded_charge_no_longer_counts():
    s = IngressFleet()
    for node in s.nodes:
        serve(node, node.ask(units=1.0, width=3))
        s.gossip_round()
    s.later(5.0)
    name = single_action(s.nodes[0].ask(units=1.0, width=3), io.CounterAdd).name
    s.nodes[0].counts[name] += 7.0  # at another ingress, so that this one refuses
    s.gossip_round()
    single_action(s.nodes[1].ask(units=1.0, width=3), io.Refuse)
    s.nodes[0].counts[name] -= 7.0
    s.later(EXCESS_S + 0.01)
    s.nodes[1].counter = "silent"
    s.gossip_round()
    for n in (0, 2):
        s.nodes[1].handle(io.PeerMessage(n, gossip.USAGE_PREFIX))
    s.nodes[1].gateway.call_policy.call_share = 0.0
    single_action(s.nodes[1].ask(units=1.0, width=3), io.Attempt)


def test_quota_holds_among_gossiping_ingresses_while_the_counter_is_down():
    """Fixed shares refused requests at one ingress while another had unused quota, or exceeded the quota."""
    s = IngressFleet()
    for node in s.nodes:
        serve(node, node.ask(units=1.0, width=3, customer=1))
    s.gossip_round()
    for node in s.nodes:
        node.counter = "refusing"
    sent = 0
    for n in range(60):
        node = s.nodes[n % 2]  # the third ingress receives no requests
        sent += serve(node, node.ask(units=1.0, width=3))
        s.gossip_round()
        s.nodes[2].handle(io.TimerFired(control.GOSSIP_TIMER))
        for other in s.nodes[:2]:
            other.handle(io.PeerMessage(2, gossip.USAGE_PREFIX))
        s.later(0.1)
    assert 8 + 2 * 6 - 2 <= sent <= 8 + 2 * 6


def test_local_share_applies_without_contact_to_a_peer():
    s = IngressFleet()
    s.later(gossip.PEER_SILENT_S + 0.1)
    node = s.nodes[0]
    node.counter = "refusing"
    for _ in range(OUTAGE_MISSES):
        node.ask(customer=1)
    assert sum(serve(node, node.ask(units=1.0, width=3)) for _ in range(8)) < 8


def test_restart_of_a_peer_does_not_reactivate_shares_while_totals_arrive():
    s = IngressFleet()
    for node in s.nodes:
        serve(node, node.ask(units=1.0, width=3, customer=1))
    s.gossip_round()
    s.later(5.0)
    node = s.nodes[0]
    node.gateway.call_policy.call_share = 0.0
    assert sum(serve(node, node.ask(units=1.0, width=3)) for _ in range(9)) == 8


def test_new_ingress_uses_the_bucket_level_that_a_peer_reports():
    """Without history it assumed nearly full buckets, and admitted what its peers had just refused."""
    s = IngressFleet()
    serve(s.nodes[0], s.nodes[0].ask(units=8.0, width=3))
    s.gossip_round()
    s.nodes[2] = GatewayDriver(instances=3, me=2, peers=True, peer_in_per_s=100.0, now=s.nodes[0].now)
    s.later(1.0)
    serve(s.nodes[0], s.nodes[0].ask(units=1.0, width=3))
    s.gossip_round()
    assert s.levels()[2] == pytest.approx(1.0, abs=0.1)


def test_charge_of_a_request_that_was_never_sent_is_refunded():
    g = GatewayDriver(backends=0)
    single_action(g.ask(units=3.0), io.CounterAdd)
    g.advance(3.0)
    single_action(g.log, io.Refuse)
    assert g.gateway.customers.by_key[7].pending == pytest.approx(-3.0)


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        gossip.USAGE_PREFIX,
        gossip.USAGE_PREFIX + bytes(7),
        gossip.USAGE_PREFIX + b"\xff" * 9,
        b"\x01" * 250,
    ],
)
def test_invalid_peer_message_changes_nothing(payload):
    g = GatewayDriver(peers=True, instances=3, peer_in_per_s=100.0)
    serve(g, g.ask(units=1.0))
    before = g.gateway.customers.by_key[7].available_units(g.now)
    g.handle(io.PeerMessage(1, payload))
    assert g.gateway.customers.by_key[7].available_units(g.now) == before


def test_simultaneously_started_fleet_does_not_overload_the_counter():
    # 28 ingresses that restarted together made a call for every request, and overloaded the counter.
    def calls(instances: int) -> int:
        fleet = [GatewayDriver(instances=instances, seed=n) for n in range(instances)]
        for g in fleet:
            g.counter = "silent"
            for customer in range(5):
                g.ask(customer=customer, plan="plus", units=1.0, width=1)
        return len([a for g in fleet for a in actions_of_kind(g.log, io.CounterAdd)])

    assert calls(40) < 100 and calls(4) == 20


def test_recovered_counter_is_not_overloaded_by_the_fleet():
    g = GatewayDriver(instances=40)

    def ask(state: str) -> None:
        g.counter = state
        for a in actions_of_kind(g.ask(customer=g.n), io.Attempt):
            g.end(a)

    for _ in range(1000):
        ask("timeout")
    assert g.gateway.call_policy.misses >= OUTAGE_MISSES
    while g.gateway.call_policy.misses:
        ask("up")
    assert g.gateway.call_policy.call_share < 0.3
