"""Tests of final responses, retries, drains, slow start, routing and ejection."""

from __future__ import annotations

import pytest

from ingress import interface as io
from tests.ingress.ingress_driver import SAFE, UNSAFE, GatewayDriver, actions_of_kind, single_action

RAN = [io.Outcome.ERROR, io.Outcome.RESET, io.Outcome.TIMEOUT]
NOT_RUN = [io.Outcome.FULL, io.Outcome.CONNECT_FAILED]


def finals(actions):
    return [a for a in actions if isinstance(a, io.Refuse | io.Fail)]


@pytest.mark.parametrize("outcome", RAN)
def test_unsafe_request_that_may_have_run_fails_without_retry_or_refusal(outcome):
    g = GatewayDriver()
    actions = g.end(single_action(g.ask("once"), io.Attempt), outcome)
    assert isinstance(finals(actions)[0], io.Fail) and not actions_of_kind(actions, io.Attempt)


@pytest.mark.parametrize("outcome", NOT_RUN)
@pytest.mark.parametrize("cls", ["once", "pay", "read", "zoned"])
def test_request_that_never_ran_is_sent_to_another_backend(outcome, cls):
    g = GatewayDriver()
    first = single_action(g.ask(cls), io.Attempt)
    again = single_action(g.end(first, outcome), io.Attempt)
    assert again.backend != first.backend


def test_keyed_request_is_retried_only_within_its_window():
    g = GatewayDriver()
    first = single_action(g.ask("pay"), io.Attempt)
    g.now += 0.3
    single_action(g.end(first, io.Outcome.ERROR), io.Attempt)
    late = single_action(g.ask("pay"), io.Attempt)
    g.now += 1.01
    actions = g.end(late, io.Outcome.ERROR)
    assert not actions_of_kind(actions, io.Attempt) and len(finals(actions)) == 1


def test_keyed_request_stays_in_its_group_and_fails_instead_of_being_refused():
    g = GatewayDriver(backends=4)
    first = single_action(g.ask("zoned"), io.Attempt)
    second = single_action(g.end(first, io.Outcome.ERROR), io.Attempt)
    assert int(second.backend[1]) % 2 == int(first.backend[1]) % 2
    actions = g.end(second, io.Outcome.ERROR, n=1) + g.advance(3)
    assert isinstance(finals(actions)[0], io.Fail) and not actions_of_kind(actions, io.Attempt)


def test_one_final_response_and_nothing_after_it():
    g = GatewayDriver()
    first = single_action(g.ask("once"), io.Attempt)
    actions = g.end(first, io.Outcome.TIMEOUT, elapsed=6.0)
    g.handle(io.ClientGone("r1"))
    assert len(finals(actions)) == 1
    assert not finals(g.advance(2.0))


def test_short_request_is_not_retried_after_its_client_timed_out():
    # After a client timeout below the class's objective, retries were sent for a client that had gone.
    g = GatewayDriver()
    first = single_action(g.ask(expires=0.6), io.Attempt)
    g.now += 0.6
    actions = g.end(first, io.Outcome.TIMEOUT, elapsed=0.6)
    assert not actions_of_kind(actions, io.Attempt) and len(finals(actions)) == 1


def test_number_of_attempts_is_limited():
    g = GatewayDriver(backends=9, max_attempts=3)
    actions = g.ask()
    n = 0
    while actions_of_kind(actions, io.Attempt):
        actions = g.end(single_action(actions, io.Attempt), io.Outcome.CONNECT_FAILED, n=n)
        n += 1
    assert n == 3 and len(finals(actions)) == 1


@pytest.mark.parametrize("phase", [io.Phase.STOPPING, io.Phase.DELETED])
def test_draining_or_removed_backend_gets_no_new_requests(phase):
    g = GatewayDriver(backends=2)
    g.handle(io.ListUpdate(io.ListKind.CHANGE, 2, (io.BackendEntry("b0", phase, zone="z0"),)))
    for k in range(4):
        a = single_action(g.ask(customer=k), io.Attempt)
        assert a.backend == "b1"
        g.end(a)


def test_backend_missing_in_a_full_list_is_removed_and_a_failed_list_is_ignored():
    g = GatewayDriver(backends=2)
    g.handle(io.ListUpdate(io.ListKind.FULL, 2, (io.BackendEntry("b1", io.Phase.RUNNING),)))
    g.handle(io.ListUpdate(io.ListKind.FAILED, 2))
    assert single_action(g.ask(), io.Attempt).backend == "b1"


def test_request_without_any_backend_is_answered_in_time():
    g = GatewayDriver(backends=2)
    g.handle(io.ListUpdate(io.ListKind.FULL, 2, ()))
    actions = g.ask("once") + g.advance(2.0)
    assert isinstance(finals(actions)[0], io.Refuse) and len(finals(actions)) == 1


def test_waiting_requests_after_a_blocked_one_are_answered():
    # The scan of waiting requests stopped at the first blocked one, and the later ones were lost.
    g = GatewayDriver(backends=1)
    g.gateway.limit.slots = 1.0
    actions = []
    for k in range(6):
        actions += g.ask(["pay", "read"][k % 2], customer=k)
    actions += g.advance(2.0)
    assert len(actions_of_kind(actions, io.Attempt)) == 1
    assert len(finals(actions)) == 5


def test_most_valuable_request_gets_a_free_slot_first():
    g = GatewayDriver(backends=1)
    g.gateway.limit.slots = 1.0
    first = single_action(g.ask(customer=1), io.Attempt)
    g.ask("read", customer=2)
    g.ask("pay", customer=3)
    g.gateway.limit.slots = 1.0
    assert actions_of_kind(g.end(first), io.Attempt)[0].request == "r3"


def test_new_backend_gets_few_requests_from_the_start():
    g = GatewayDriver(backends=4)
    g.handle(io.ListUpdate(io.ListKind.CHANGE, 2, (io.BackendEntry("new", io.Phase.RUNNING, born=100.0),)))
    got, out = {}, []
    for k in range(200):  # 4 s
        for a in actions_of_kind(g.ask(customer=k), io.Attempt):
            got[a.backend] = got.get(a.backend, 0) + 1
            out.append(a)
        while len(out) > 20:
            g.end(out.pop(0))
        g.now += 0.02
    assert 0 < got["new"] <= 0.5 * got["b0"]


def test_fast_failing_backend_does_not_look_idle():
    g = GatewayDriver(backends=4)
    bad, out = 0, []
    for k in range(200):
        actions = g.ask("once", customer=k)
        for a in actions_of_kind(actions, io.Attempt):
            if a.backend == "b2":
                bad += 1
                g.end(a, io.Outcome.ERROR, elapsed=0.001)
            else:
                out.append(a)
        while len(out) > 4:
            g.end(out.pop(0))
        g.now += 0.02
    assert 1 <= bad <= 10


def test_unresponsive_backend_is_avoided_and_safe_requests_are_moved():
    g = GatewayDriver(backends=3)
    stuck, moved = None, []
    for k in range(60):
        for a in actions_of_kind(g.ask(customer=k), io.Attempt):
            if stuck is None:
                stuck = a
            elif a.backend != stuck.backend:
                g.end(a)
        moved += actions_of_kind(g.advance(0.1), io.CancelAttempt)
    assert stuck is not None and stuck.request in {c.request for c in moved}
    assert g.gateway.fleet.backends[stuck.backend].on_trial


def rounds(g: GatewayDriver, number: int, gap: float) -> list[io.Action]:
    """Send requests that are answered at once, with time between them."""
    seen = []
    for _ in range(number):
        for a in [single_action(g.ask(customer=1000 + g.n), io.Attempt) for _ in range(6)]:
            g.end(a)
        seen += g.advance(gap)
    return seen


def test_hanging_attempts_do_not_count_against_a_backend_that_answers_others():
    # Each pause between two responses counted for every hanging attempt, so that live backends were ejected.
    g = GatewayDriver(backends=2)
    g.gateway.limit.slots = 40.0
    for k in range(12):
        single_action(g.ask("once", customer=k), io.Attempt)
    rounds(g, 80, 0.05)
    rounds(g, 5, 0.8)
    assert not actions_of_kind(g.log, io.Log)


def test_hanging_attempt_at_a_live_backend_is_retried_elsewhere_if_safe():
    g = GatewayDriver(backends=3)
    stuck, once = (
        single_action(g.ask(customer=1), io.Attempt),
        single_action(g.ask("once", customer=2), io.Attempt),
    )
    while not (seen := actions_of_kind(rounds(g, 1, 0.05), io.CancelAttempt)):
        assert g.now < 102.0
    assert {c.request for c in seen} == {stuck.request}
    again = single_action(g.end(stuck, io.Outcome.CANCELLED), io.Attempt)
    assert again.backend != stuck.backend and once.request in g.gateway.active_requests


def test_unsafe_request_is_never_the_trial_of_an_ejected_backend():
    g = GatewayDriver(backends=2)
    b = g.gateway.fleet.backends["b0"]
    b.on_trial, b.ejected_until = True, 0.0
    for k in range(5):
        a = single_action(g.ask("once", customer=k), io.Attempt)
        assert a.backend == "b1"
        g.end(a)


def test_at_most_half_of_the_fleet_is_ejected():
    g = GatewayDriver(backends=4)
    for b in g.gateway.fleet.backends.values():
        g.gateway.fleet.eject(g.now, b, "failing")
    assert sum(g.now < b.ejected_until for b in g.gateway.fleet.backends.values()) == 2


def test_ejected_backend_returns_after_a_successful_trial():
    g = GatewayDriver(backends=1)
    b = g.gateway.fleet.backends["b0"]
    b.on_trial, b.ejected_until = True, g.now + 1.0
    g.now += 1.1
    g.end(single_action(g.ask(), io.Attempt))
    assert not b.on_trial


def test_overload_at_the_start_is_not_taken_for_normal_latency():
    # Latency measured under overload became the baseline, and the limit never decreased.
    g = GatewayDriver(backends=4)
    before = g.gateway.limit.slots
    for k in range(120):
        for a in actions_of_kind(g.ask(customer=k), io.Attempt):
            g.end(a, elapsed=1.8)
    assert g.gateway.unloaded_latency["read"] <= 0.5 and g.gateway.limit.slots < before


def test_overload_ends_once_responses_are_fast_again():
    # A latency threshold refused everything permanently, as no request was sent that could correct it.
    g = GatewayDriver(backends=4)
    g.gateway.latency["read"] = 30.0
    g.gateway.limit.latency_ratio = 10.0
    for k in range(300):
        for a in actions_of_kind(g.ask(customer=k), io.Attempt):
            g.end(a, elapsed=0.1)
        g.advance(0.05)
    assert g.gateway.limit.latency_ratio < 2.0
    assert actions_of_kind(g.ask(customer=999), io.Attempt)


def test_late_response_after_the_client_left_is_measured():
    g = GatewayDriver(backends=1)
    a = single_action(g.ask(), io.Attempt)
    g.handle(io.ClientGone("r1"))
    g.end(a, io.Outcome.TIMEOUT, elapsed=5.0, done=True)
    assert g.gateway.limit.latency_ratio > 1.0 and g.gateway.limit.in_flight == 0


def test_unexpected_events_raise_no_errors():
    g = GatewayDriver()
    for e in (
        io.TimerFired(99),
        io.ClientGone("nobody"),
        io.PeerMessage(1, b"x"),
        io.AttemptStarted("nobody", 0, "b0", 0.1),
        io.HealthCheckEnded("b0", io.Outcome.OK, 0.1),
        io.AttemptEnded("nobody", 0, "nowhere", io.Outcome.OK, 0.1, True),
    ):
        assert not finals(g.handle(e))


def test_decisions_are_deterministic():
    def play():
        g = GatewayDriver()
        for k in range(50):
            for a in actions_of_kind(g.ask(["read", "pay", "once"][k % 3], customer=k), io.Attempt):
                g.end(a)
        return g.log

    assert play() == play()


def test_a_few_slow_requests_neither_reduce_the_limit_nor_eject_backends():
    # One response in twenty with 30 times the usual latency reduced the limit and ejected half of the fleet.
    g = GatewayDriver(backends=4)
    before, out = g.gateway.limit.slots, []
    for k in range(400):
        out += actions_of_kind(g.ask(customer=k), io.Attempt)
        while len(out) > 3:
            g.end(out.pop(0), elapsed=6.0 if k % 20 == 0 else 0.2)
    assert g.gateway.limit.slots >= before
    assert not actions_of_kind(g.log, io.Log)


def test_client_timeout_counts_neither_as_failure_nor_as_response():
    g = GatewayDriver(backends=2)
    a = single_action(g.ask("once"), io.Attempt)
    b = g.gateway.fleet.backends[a.backend]
    g.now += 6.0
    g.end(a, io.Outcome.TIMEOUT, elapsed=6.0)
    assert b.error_rate == 0.0 and b.last_response_at == 100.0


def test_request_keyed_by_cell_is_not_retried_once_it_may_have_run():
    celled = io.ClassSettings("celled", io.Effect.KEYED, 2.0, 6.0, group=io.Group.CELL, window=1.0)
    g = GatewayDriver(backends=4, classes=(celled,))  # each backend has its own cell
    actions = g.end(single_action(g.ask("celled"), io.Attempt), io.Outcome.ERROR) + g.advance(3)
    assert (
        isinstance(finals(actions)[0], io.Fail)
        and not actions_of_kind(actions, io.Attempt)
        and len(finals(actions)) == 1
    )


def test_works_without_counter_load_reports_and_cancellation():
    g = GatewayDriver(counter=False, may_cancel=False)
    for k in range(5):
        actions = g.ask(customer=k)
        assert not actions_of_kind(actions, io.CounterAdd)
        g.end(single_action(actions, io.Attempt))
    stuck = single_action(g.ask(customer=9), io.Attempt)
    assert not actions_of_kind(g.advance(5.0), io.CancelAttempt)
    g.end(stuck, io.Outcome.TIMEOUT, elapsed=6.0)
    assert g.gateway.limit.in_flight == 0


def test_idle_ingress_sets_no_timer():
    # A periodic scan of all backends at hundreds of idle ingresses cost more than the requests.
    g = GatewayDriver()
    assert not actions_of_kind(g.log, io.SetTimer)
    a = single_action(g.ask(), io.Attempt)
    assert actions_of_kind(g.log, io.SetTimer)
    g.end(a)
    g.advance(0.05)
    assert not actions_of_kind(g.handle(io.TimerFired(0)), io.SetTimer)


def test_limit_below_one_slot_pauses_between_attempts():
    # One attempt in flight at each of hundreds of ingresses was the lowest limit, and overloaded them.
    g = GatewayDriver(backends=4, instances=40)
    g.gateway.limit.latency_ratio, g.gateway.limit.slots = 4.0, 0.5
    g.end(single_action(g.ask("once"), io.Attempt), elapsed=1.0)
    assert not actions_of_kind(g.ask("once", customer=8), io.Attempt)
    assert g.gateway.limit.slots < 0.5 and g.gateway.limit.paused_until > g.now


def test_each_response_has_more_weight_if_there_are_few():
    g = GatewayDriver(backends=4, instances=40)
    g.gateway.limit.slots = before = 8.0
    for k in range(6):  # 3 s with two late responses per second
        a = single_action(g.ask(customer=k), io.Attempt)
        g.now += 0.5
        g.end(a, elapsed=1.9)
    assert g.gateway.limit.slots < before / 1.5


def test_class_rejected_by_some_backends_is_sent_to_others_without_reducing_the_limit():
    # Rejections of one class by half of the fleet were taken for an overloaded fleet, and reduced the limit.
    g = GatewayDriver(backends=4, classes=(SAFE, UNSAFE), max_attempts=4)
    g.gateway.limit.slots = before = 6.0
    tries = []
    for k in range(30):
        actions, n = g.ask("once", customer=k), 0
        while sent := actions_of_kind(actions, io.Attempt):
            out = io.Outcome.FULL if sent[0].backend in ("b0", "b1") else io.Outcome.OK
            actions, n = g.end(sent[0], out, n=n), n + 1
        tries.append(n)
    assert sum(tries[-10:]) <= 12 and g.gateway.limit.slots >= before


def test_rejected_request_is_not_retried_while_responses_are_late():
    # Under overload each rejected request was retried up to five times, which prolonged the overload.
    g = GatewayDriver(backends=4)
    g.gateway.limit.latency_ratio = 4.0
    actions = g.end(single_action(g.ask(), io.Attempt), io.Outcome.FULL)
    assert not actions_of_kind(actions, io.Attempt) and len(finals(actions)) == 1


def test_rejected_requests_do_not_raise_the_limit_of_a_new_backend():
    # Rejected attempts counted as work that warm backends handle, and overloaded a new one.
    g = GatewayDriver(backends=4)
    for k in range(20):
        actions, n = g.ask(customer=k), 0
        while sent := actions_of_kind(actions, io.Attempt):
            actions, n = g.end(sent[0], io.Outcome.FULL, n=n), n + 1
    assert g.gateway.rate == 0.0


def test_fast_first_response_does_not_make_other_backends_unresponsive():
    # The first response set the usual latency. One of 5 ms ejected all backends that took longer than 40 ms.
    g = GatewayDriver(backends=4)
    g.end(single_action(g.ask(), io.Attempt), elapsed=0.005)
    single_action(g.ask(customer=8), io.Attempt)
    g.advance(0.5)
    assert not actions_of_kind(g.log, io.Log)


def test_many_ingresses_together_use_the_budget_of_a_new_backend():
    # A bucket filled at one ingress's low rate never reached 1: new backends of a deploy stayed unused.
    first = 0
    for seed in range(200):
        g = GatewayDriver(backends=4, seed=seed, instances=300)  # 0.01 requests a second each
        g.handle(
            io.ListUpdate(
                io.ListKind.CHANGE,
                2,
                tuple(io.BackendEntry(f"b{i}", io.Phase.RUNNING, born=g.now) for i in range(4)),
            )
        )
        g.now += 5.0
        first += bool(actions_of_kind(g.ask(), io.Attempt))
    # 4 backends x 0.01 per second x 2.5 x 0.5 x mean ramp 0.6 x 5 s (by the current value of the ramp)
    assert 15 <= first <= 70


def test_removed_backend_is_forgotten_once_it_has_no_attempts_in_flight():
    i = GatewayDriver(backends=2)
    a = single_action(i.ask(), io.Attempt)
    other = "b1" if a.backend == "b0" else "b0"
    gone = tuple(io.BackendEntry(b, io.Phase.DELETED) for b in ("b0", "b1", "never-seen"))
    i.handle(io.ListUpdate(io.ListKind.CHANGE, 2, gone))
    assert set(i.gateway.fleet.backends) == {a.backend} and other not in i.gateway.fleet.backends
    i.end(a)
    assert i.gateway.limit.in_flight == 0
    i.handle(io.ListUpdate(io.ListKind.CHANGE, 3))
    assert not i.gateway.fleet.backends
    i.handle(io.ListUpdate(io.ListKind.FULL, 3, (io.BackendEntry("b9", io.Phase.RUNNING),)))
    assert set(i.gateway.fleet.backends) == {"b9"}


@pytest.mark.parametrize(
    "entries",
    [
        (),
        (io.BackendEntry("b0", io.Phase.RUNNING, born=105.0, zone="z0"),),
        (io.BackendEntry("b0", io.Phase.STOPPING, zone="z0"),),
    ],
)
def test_attempts_in_flight_are_counted_down_in_all_cases(entries):
    """A count that is never decremented would use up the concurrency limit."""
    g = GatewayDriver(backends=1)
    attempt = single_action(g.ask(), io.Attempt)
    g.handle(io.ListUpdate(io.ListKind.FULL, 2, entries))
    g.handle(io.ListUpdate(io.ListKind.FULL, 3, ()))
    assert g.gateway.limit.in_flight == 1
    g.end(attempt, io.Outcome.RESET)
    assert g.gateway.limit.in_flight == 0


def test_new_ingress_uses_new_backends_within_safe_limits():
    g = GatewayDriver(backends=3, now=100.0, born=99.0, instances=4)  # all restarted 1 s ago
    sent = 0
    for _ in range(40):
        g.now += 0.05
        for a in actions_of_kind(g.ask(customer=g.n + 1), io.Attempt):
            sent += 1
            g.end(a)
    # A warm backend serves one request at a time in at least 0.32 s: 3.1 per second, 0.78 per ingress. A new
    # one serves 0.2 to 0.44 of that, times 2.5 and halved. Three backends for 2 s, and 1.5 at once.
    assert 2 <= sent <= 3 * (0.78 * 0.44 * 1.25 * 2 + 1.5)


def test_only_served_requests_raise_the_limit_of_a_new_backend():
    def sent(serves):
        g, count = GatewayDriver(backends=1, instances=300), 0
        g.handle(io.ListUpdate(io.ListKind.CHANGE, 2, (io.BackendEntry("b0", io.Phase.RUNNING, born=g.now),)))
        g.gateway.fleet.backends["b0"].tokens = 1.0
        for _ in range(20):
            g.now += 0.05
            for a in actions_of_kind(g.ask(customer=g.n + 1), io.Attempt):
                count += 1
                if serves:
                    g.end(a, elapsed=0.02)
        return count

    assert sent(serves=True) == 20 and sent(serves=False) == 1


def choices_beside_known(born: float) -> set[str]:
    """Return where 40 ingresses send requests to six new backends and two that have answered all of them."""
    used = set()
    for seed in range(40):
        g = GatewayDriver(backends=2, seed=seed, instances=40)
        for _ in range(2):
            for a in [single_action(g.ask(customer=g.n), io.Attempt) for _ in range(2)]:
                g.end(a, elapsed=0.32)
        g.now += 30.0
        g.handle(
            io.ListUpdate(
                io.ListKind.CHANGE,
                2,
                tuple(io.BackendEntry(f"b{n}", io.Phase.RUNNING, born=born) for n in range(2, 8)),
            )
        )
        for _ in range(5):
            sent = single_action(g.ask(customer=g.n), io.Attempt)
            used.add(sent.backend)
            g.end(sent, elapsed=0.32)
    return used


def test_backends_that_have_answered_are_preferred_to_new_connections():
    # Each counted as idle until it had answered: every ingress tried all 60, with a handshake each.
    assert choices_beside_known(born=0.0) == {"b0", "b1"}


def test_new_backend_is_used_although_no_ingress_has_used_it_before():
    assert choices_beside_known(born=110.0) >= {f"b{n}" for n in range(2, 8)}


def test_served_requests_do_not_raise_the_limit_of_a_new_backend_that_many_ingresses_use():
    # Each of 40 ingresses sent one more request for each served one, whatever the others had in flight.
    def sent(inflight: float) -> int:
        count = 0
        for seed in range(40):
            g = GatewayDriver(backends=1, instances=300, seed=seed)
            g.handle(
                io.ListUpdate(io.ListKind.CHANGE, 2, (io.BackendEntry("b0", io.Phase.RUNNING, born=g.now),))
            )
            g.gateway.fleet.backends["b0"].tokens = 1.0
            for _ in range(10):
                g.now += 0.05
                for a in actions_of_kind(g.ask(customer=g.n + 1), io.Attempt):
                    count += 1
                    g.handle(
                        io.AttemptEnded(
                            a.request, 0, a.backend, io.Outcome.OK, 0.02, True, load={"inflight": inflight}
                        )
                    )
        return count

    assert sent(9.0) == 40 and sent(2.0) == 400
