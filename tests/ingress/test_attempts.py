"""The rules on final answers, repeats, drains and cold backends; routing and ejection."""

from __future__ import annotations

import pytest

from ingress import interface as io
from tests.ingress.ingress_driver import SAFE, UNSAFE, GatewayDriver, only, some

RAN = [io.Outcome.ERROR, io.Outcome.RESET, io.Outcome.TIMEOUT]
NOT_RUN = [io.Outcome.FULL, io.Outcome.CONNECT_FAILED]


def finals(actions):
    return [a for a in actions if isinstance(a, io.Refuse | io.Fail)]


@pytest.mark.parametrize("outcome", RAN)
def test_unsafe_that_may_have_run_is_failed_never_resent_or_refused(outcome):
    g = GatewayDriver()
    actions = g.end(only(g.ask("once"), io.Attempt), outcome)
    assert isinstance(finals(actions)[0], io.Fail) and not some(actions, io.Attempt)


@pytest.mark.parametrize("outcome", NOT_RUN)
@pytest.mark.parametrize("cls", ["once", "pay", "read", "zoned"])
def test_proof_that_it_never_ran_allows_another_backend(outcome, cls):
    g = GatewayDriver()
    first = only(g.ask(cls), io.Attempt)
    again = only(g.end(first, outcome), io.Attempt)
    assert again.backend != first.backend


def test_keyed_is_resent_within_its_window_and_not_after():
    g = GatewayDriver()
    first = only(g.ask("pay"), io.Attempt)
    g.now += 0.3
    only(g.end(first, io.Outcome.ERROR), io.Attempt)
    late = only(g.ask("pay"), io.Attempt)
    g.now += 1.01
    actions = g.end(late, io.Outcome.ERROR)
    assert not some(actions, io.Attempt) and len(finals(actions)) == 1


def test_keyed_stays_in_its_group_and_is_failed_not_refused():
    g = GatewayDriver(backends=4)
    first = only(g.ask("zoned"), io.Attempt)
    second = only(g.end(first, io.Outcome.ERROR), io.Attempt)
    assert int(second.backend[1]) % 2 == int(first.backend[1]) % 2
    actions = g.end(second, io.Outcome.ERROR, n=1) + g.beat(3)
    assert isinstance(finals(actions)[0], io.Fail) and not some(actions, io.Attempt)


def test_one_final_answer_and_nothing_after_it():
    g = GatewayDriver()
    first = only(g.ask("once"), io.Attempt)
    actions = g.end(first, io.Outcome.TIMEOUT, elapsed=6.0)
    g.give(io.ClientGone("r1"))
    assert len(finals(actions)) == 1
    assert not finals(g.beat(2.0))


def test_a_short_try_is_not_sent_again_once_its_client_is_gone():
    # A time-out at the client's limit, before the class's aim, was followed by sends to nobody.
    g = GatewayDriver()
    first = only(g.ask(expires=0.6), io.Attempt)
    g.now += 0.6
    actions = g.end(first, io.Outcome.TIMEOUT, elapsed=0.6)
    assert not some(actions, io.Attempt) and len(finals(actions)) == 1


def test_attempts_stop_at_the_limit():
    g = GatewayDriver(backends=9, max_attempts=3)
    actions = g.ask()
    n = 0
    while some(actions, io.Attempt):
        actions = g.end(only(actions, io.Attempt), io.Outcome.CONNECT_FAILED, n=n)
        n += 1
    assert n == 3 and len(finals(actions)) == 1


@pytest.mark.parametrize("phase", [io.Phase.STOPPING, io.Phase.DELETED])
def test_nothing_new_to_a_backend_that_drains_or_is_gone(phase):
    g = GatewayDriver(backends=2)
    g.give(io.ListUpdate(io.ListKind.CHANGE, 2, (io.BackendEntry("b0", phase, zone="z0"),)))
    for k in range(4):
        a = only(g.ask(customer=k), io.Attempt)
        assert a.backend == "b1"
        g.end(a)


def test_absent_from_a_whole_list_is_gone_and_a_failed_list_changes_nothing():
    g = GatewayDriver(backends=2)
    g.give(io.ListUpdate(io.ListKind.FULL, 2, (io.BackendEntry("b1", io.Phase.RUNNING),)))
    g.give(io.ListUpdate(io.ListKind.FAILED, 2))
    assert only(g.ask(), io.Attempt).backend == "b1"


def test_no_backend_still_gives_the_one_answer_in_time():
    g = GatewayDriver(backends=2)
    g.give(io.ListUpdate(io.ListKind.FULL, 2, ()))
    actions = g.ask("once") + g.beat(2.0)
    assert isinstance(finals(actions)[0], io.Refuse) and len(finals(actions)) == 1


def test_held_requests_behind_a_blocked_one_are_answered_too():
    # The look at what is held once stopped at the first blocked request and lost those behind it.
    g = GatewayDriver(backends=1)
    g.gw.limit.slots = 1.0
    actions = []
    for k in range(6):
        actions += g.ask(["pay", "read"][k % 2], customer=k)
    actions += g.beat(2.0)
    assert len(some(actions, io.Attempt)) == 1
    assert len(finals(actions)) == 5


def test_dearest_goes_first_when_a_slot_comes_free():
    g = GatewayDriver(backends=1)
    g.gw.limit.slots = 1.0
    first = only(g.ask(customer=1), io.Attempt)
    g.ask("read", customer=2)
    g.ask("pay", customer=3)
    g.gw.limit.slots = 1.0
    assert some(g.end(first), io.Attempt)[0].request == "r3"


def test_cold_backend_gets_a_trickle_from_its_start():
    g = GatewayDriver(backends=4)
    g.give(io.ListUpdate(io.ListKind.CHANGE, 2, (io.BackendEntry("new", io.Phase.RUNNING, born=100.0),)))
    got, out = {}, []
    for k in range(200):  # 4 s
        for a in some(g.ask(customer=k), io.Attempt):
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
        for a in some(actions, io.Attempt):
            if a.backend == "b2":
                bad += 1
                g.end(a, io.Outcome.ERROR, elapsed=0.001)
            else:
                out.append(a)
        while len(out) > 4:
            g.end(out.pop(0))
        g.now += 0.02
    assert 1 <= bad <= 10


def test_silent_backend_is_left_and_what_may_be_repeated_is_moved():
    g = GatewayDriver(backends=3)
    stuck, moved = None, []
    for k in range(60):
        for a in some(g.ask(customer=k), io.Attempt):
            if stuck is None:
                stuck = a
            elif a.backend != stuck.backend:
                g.end(a)
        moved += some(g.beat(0.1), io.CancelAttempt)
    assert stuck is not None and stuck.request in {c.request for c in moved}
    assert g.gw.fleet.backends[stuck.backend].on_trial


def rounds(g: GatewayDriver, number: int, gap: float) -> list[io.Action]:
    """Requests that are all answered at once, with time between them."""
    seen = []
    for _ in range(number):
        for a in [only(g.ask(customer=1000 + g.n), io.Attempt) for _ in range(6)]:
            g.end(a)
        seen += g.beat(gap)
    return seen


def test_attempts_that_hang_say_nothing_of_a_backend_that_answers_others():
    # Each silence between two answers counted once for each of them: live backends were ejected all the time.
    g = GatewayDriver(backends=2)
    g.gw.limit.slots = 40.0
    for k in range(12):
        only(g.ask("once", customer=k), io.Attempt)
    rounds(g, 80, 0.05)
    rounds(g, 5, 0.8)
    assert not some(g.log, io.Log)


def test_an_attempt_that_hangs_at_a_live_backend_is_tried_elsewhere_if_it_may_be():
    g = GatewayDriver(backends=3)
    stuck, once = only(g.ask(customer=1), io.Attempt), only(g.ask("once", customer=2), io.Attempt)
    while not (seen := some(rounds(g, 1, 0.05), io.CancelAttempt)):
        assert g.now < 102.0
    assert {c.request for c in seen} == {stuck.request}
    again = only(g.end(stuck, io.Outcome.CANCELLED), io.Attempt)
    assert again.backend != stuck.backend and once.request in g.gw.active_requests


def test_unsafe_is_never_the_trial_of_an_ejected_backend():
    g = GatewayDriver(backends=2)
    b = g.gw.fleet.backends["b0"]
    b.on_trial, b.ejected_until = True, 0.0
    for k in range(5):
        a = only(g.ask("once", customer=k), io.Attempt)
        assert a.backend == "b1"
        g.end(a)


def test_ejection_keeps_half_of_the_fleet():
    g = GatewayDriver(backends=4)
    for b in g.gw.fleet.backends.values():
        g.gw.fleet.eject(g.now, b, "failing")
    assert sum(g.now < b.ejected_until for b in g.gw.fleet.backends.values()) == 2


def test_an_ejected_backend_comes_back_after_a_good_trial():
    g = GatewayDriver(backends=1)
    b = g.gw.fleet.backends["b0"]
    b.on_trial, b.ejected_until = True, g.now + 1.0
    g.now += 1.1
    g.end(only(g.ask(), io.Attempt))
    assert not b.on_trial


def test_a_jam_from_the_start_is_not_taken_for_the_norm():
    # Latency measured in a jam became the base, and the limit never shrank.
    g = GatewayDriver(backends=4)
    before = g.gw.limit.slots
    for k in range(120):
        for a in some(g.ask(customer=k), io.Attempt):
            g.end(a, elapsed=1.8)
    assert g.gw.unloaded_latency["read"] <= 0.5 and g.gw.limit.slots < before


def test_overload_recovers_once_answers_are_fast_again():
    # An early gate on latency once refused everything for good, as nothing was sent to unlearn it.
    g = GatewayDriver(backends=4)
    g.gw.latency["read"] = 30.0
    g.gw.limit.latency_ratio = 10.0
    for k in range(300):
        for a in some(g.ask(customer=k), io.Attempt):
            g.end(a, elapsed=0.1)
        g.beat(0.05)
    assert g.gw.limit.latency_ratio < 2.0
    assert some(g.ask(customer=999), io.Attempt)


def test_late_answer_of_a_client_that_left_teaches():
    g = GatewayDriver(backends=1)
    a = only(g.ask(), io.Attempt)
    g.give(io.ClientGone("r1"))
    g.end(a, io.Outcome.TIMEOUT, elapsed=5.0, done=True)
    assert g.gw.limit.latency_ratio > 1.0 and g.gw.limit.in_flight == 0


def test_stray_events_raise_nothing():
    g = GatewayDriver()
    for e in (
        io.TimerFired(99),
        io.ClientGone("nobody"),
        io.PeerMessage(1, b"x"),
        io.AttemptStarted("nobody", 0, "b0", 0.1),
        io.HealthCheckEnded("b0", io.Outcome.OK, 0.1),
        io.AttemptEnded("nobody", 0, "nowhere", io.Outcome.OK, 0.1, True),
    ):
        assert not finals(g.give(e))


def test_same_events_same_actions():
    def play():
        g = GatewayDriver()
        for k in range(50):
            for a in some(g.ask(["read", "pay", "once"][k % 3], customer=k), io.Attempt):
                g.end(a)
        return g.log

    assert play() == play()


def test_a_few_very_costly_requests_neither_shrink_the_limit_nor_eject():
    # One answer in twenty at thirty times the usual pulled the limit down and ejected half of the fleet.
    g = GatewayDriver(backends=4)
    before, out = g.gw.limit.slots, []
    for k in range(400):
        out += some(g.ask(customer=k), io.Attempt)
        while len(out) > 3:
            g.end(out.pop(0), elapsed=6.0 if k % 20 == 0 else 0.2)
    assert g.gw.limit.slots >= before
    assert not some(g.log, io.Log)


def test_a_clients_time_out_is_neither_a_fault_nor_a_sign_of_life():
    g = GatewayDriver(backends=2)
    a = only(g.ask("once"), io.Attempt)
    b = g.gw.fleet.backends[a.backend]
    g.now += 6.0
    g.end(a, io.Outcome.TIMEOUT, elapsed=6.0)
    assert b.error_rate == 0.0 and b.last_response_at == 100.0


def test_keyed_by_cell_has_nowhere_else_to_go_once_it_may_have_run():
    celled = io.ClassSettings("celled", io.Effect.KEYED, 2.0, 6.0, group=io.Group.CELL, window=1.0)
    g = GatewayDriver(backends=4, classes=(celled,))  # each backend is a cell of its own
    actions = g.end(only(g.ask("celled"), io.Attempt), io.Outcome.ERROR) + g.beat(3)
    assert (
        isinstance(finals(actions)[0], io.Fail)
        and not some(actions, io.Attempt)
        and len(finals(actions)) == 1
    )


def test_nothing_breaks_without_a_counter_or_load_reports_or_cancel():
    g = GatewayDriver(counter=False, may_cancel=False)
    for k in range(5):
        actions = g.ask(customer=k)
        assert not some(actions, io.CounterAdd)
        g.end(only(actions, io.Attempt))
    stuck = only(g.ask(customer=9), io.Attempt)
    assert not some(g.beat(5.0), io.CancelAttempt)
    g.end(stuck, io.Outcome.TIMEOUT, elapsed=6.0)
    assert g.gw.limit.in_flight == 0


def test_an_idle_ingress_sets_no_timer():
    # A beat over every backend of hundreds of idle ingresses cost more than the requests.
    g = GatewayDriver()
    assert not some(g.log, io.SetTimer)
    a = only(g.ask(), io.Attempt)
    assert some(g.log, io.SetTimer)
    g.end(a)
    g.beat(0.05)
    assert not some(g.give(io.TimerFired(0)), io.SetTimer)


def test_a_limit_below_one_slot_rests_between_attempts():
    # One attempt out at each of hundreds of ingresses is many at each backend, and nothing could go below it.
    g = GatewayDriver(backends=4, instances=40)
    g.gw.limit.latency_ratio, g.gw.limit.slots = 4.0, 0.5
    g.end(only(g.ask("once"), io.Attempt), elapsed=1.0)
    assert not some(g.ask("once", customer=8), io.Attempt)
    assert g.gw.limit.slots < 0.5 and g.gw.limit.paused_until > g.now


def test_few_answers_each_say_more():
    g = GatewayDriver(backends=4, instances=40)
    g.gw.limit.slots = before = 8.0
    for k in range(6):  # 3 s of late answers, two a second
        a = only(g.ask(customer=k), io.Attempt)
        g.now += 0.5
        g.end(a, elapsed=1.9)
    assert g.gw.limit.slots < before / 1.5


def test_a_class_turned_away_by_some_is_routed_round_them_and_shrinks_nothing():
    # 'full' for one class at half of the fleet was taken for a full fleet and shrank the limit.
    g = GatewayDriver(backends=4, classes=(SAFE, UNSAFE), max_attempts=4)
    g.gw.limit.slots = before = 6.0
    tries = []
    for k in range(30):
        actions, n = g.ask("once", customer=k), 0
        while sent := some(actions, io.Attempt):
            out = io.Outcome.FULL if sent[0].backend in ("b0", "b1") else io.Outcome.OK
            actions, n = g.end(sent[0], out, n=n), n + 1
        tries.append(n)
    assert sum(tries[-10:]) <= 12 and g.gw.limit.slots >= before


def test_full_is_not_sent_on_while_answers_are_late():
    # In a jam each 'full' went on to the next full backend, five attempts a request, and the jam stayed.
    g = GatewayDriver(backends=4)
    g.gw.limit.latency_ratio = 4.0
    actions = g.end(only(g.ask(), io.Attempt), io.Outcome.FULL)
    assert not some(actions, io.Attempt) and len(finals(actions)) == 1


def test_requests_turned_away_do_not_raise_what_a_cold_backend_may_take():
    # Attempts answered 'full' counted as work that warm backends take, and a cold one was pushed over.
    g = GatewayDriver(backends=4)
    for k in range(20):
        actions, n = g.ask(customer=k), 0
        while sent := some(actions, io.Attempt):
            actions, n = g.end(sent[0], io.Outcome.FULL, n=n), n + 1
    assert g.gw.rate == 0.0


def test_a_first_fast_answer_makes_no_backend_silent():
    # The first answer set the usual latency; one of 5 ms ejected whoever took longer than 40 ms.
    g = GatewayDriver(backends=4)
    g.end(only(g.ask(), io.Attempt), elapsed=0.005)
    only(g.ask(customer=8), io.Attempt)
    g.beat(0.5)
    assert not some(g.log, io.Log)


def test_many_ingresses_together_fill_the_budget_of_a_cold_backend():
    # A store filled at one ingress's tiny rate never came to one: a fleet renewed by a deploy stood unused.
    first = 0
    for seed in range(200):
        g = GatewayDriver(backends=4, seed=seed, instances=300)  # one at a time is 0.01 a second for each
        g.give(
            io.ListUpdate(
                io.ListKind.CHANGE,
                2,
                tuple(io.BackendEntry(f"b{i}", io.Phase.RUNNING, born=g.now) for i in range(4)),
            )
        )
        g.now += 5.0
        first += bool(some(g.ask(), io.Attempt))
    # 4 backends x 0.01 a second x 2.5 x 0.5 x mean ramp 0.6 x 5 s (judged at the ramp's present height)
    assert 15 <= first <= 70


def test_a_backend_that_is_gone_is_forgotten_once_nothing_is_out_there():
    i = GatewayDriver(backends=2)
    a = only(i.ask(), io.Attempt)
    other = "b1" if a.backend == "b0" else "b0"
    gone = tuple(io.BackendEntry(b, io.Phase.DELETED) for b in ("b0", "b1", "never-seen"))
    i.give(io.ListUpdate(io.ListKind.CHANGE, 2, gone))
    assert set(i.gw.fleet.backends) == {a.backend} and other not in i.gw.fleet.backends
    i.end(a)
    assert i.gw.limit.in_flight == 0
    i.give(io.ListUpdate(io.ListKind.CHANGE, 3))
    assert not i.gw.fleet.backends
    i.give(io.ListUpdate(io.ListKind.FULL, 3, (io.BackendEntry("b9", io.Phase.RUNNING),)))
    assert set(i.gw.fleet.backends) == {"b9"}


@pytest.mark.parametrize(
    "entries",
    [
        (),
        (io.BackendEntry("b0", io.Phase.RUNNING, born=105.0, zone="z0"),),
        (io.BackendEntry("b0", io.Phase.STOPPING, zone="z0"),),
    ],
)
def test_attempts_out_are_counted_down_whatever_becomes_of_their_backend(entries):
    """A count that stays up for ever would use up the limit on attempts out."""
    g = GatewayDriver(backends=1)
    attempt = only(g.ask(), io.Attempt)
    g.give(io.ListUpdate(io.ListKind.FULL, 2, entries))
    g.give(io.ListUpdate(io.ListKind.FULL, 3, ()))
    assert g.gw.limit.in_flight == 1
    g.end(attempt, io.Outcome.RESET)
    assert g.gw.limit.in_flight == 0


def test_an_ingress_that_has_only_begun_uses_cold_backends_within_what_is_sure():
    g = GatewayDriver(backends=3, now=100.0, born=99.0, instances=4)  # all restarted a moment ago
    sent = 0
    for _ in range(40):
        g.now += 0.05
        for a in some(g.ask(customer=g.n + 1), io.Attempt):
            sent += 1
            g.end(a)
    # Warm, a backend serves one at a time in 0.32 s at least: 3.1 a second, 0.78 for each ingress; cold, 0.2
    # to 0.44 of that, times 2.5 and halved. Three backends for 2 s, and 1.5 at once.
    assert 2 <= sent <= 3 * (0.78 * 0.44 * 1.25 * 2 + 1.5)


def test_what_a_cold_backend_has_served_makes_room_there_and_what_it_has_not_does_not():
    def sent(serves):
        g, count = GatewayDriver(backends=1, instances=300), 0
        g.give(io.ListUpdate(io.ListKind.CHANGE, 2, (io.BackendEntry("b0", io.Phase.RUNNING, born=g.now),)))
        g.gw.fleet.backends["b0"].tokens = 1.0
        for _ in range(20):
            g.now += 0.05
            for a in some(g.ask(customer=g.n + 1), io.Attempt):
                count += 1
                if serves:
                    g.end(a, elapsed=0.02)
        return count

    assert sent(serves=True) == 20 and sent(serves=False) == 1


def choices_beside_known(born: float) -> set[str]:
    """Where 40 ingresses send once six backends are listed beside two that have answered each of them."""
    used = set()
    for seed in range(40):
        g = GatewayDriver(backends=2, seed=seed, instances=40)
        for _ in range(2):
            for a in [only(g.ask(customer=g.n), io.Attempt) for _ in range(2)]:
                g.end(a, elapsed=0.32)
        g.now += 30.0
        g.give(
            io.ListUpdate(
                io.ListKind.CHANGE,
                2,
                tuple(io.BackendEntry(f"b{n}", io.Phase.RUNNING, born=born) for n in range(2, 8)),
            )
        )
        for _ in range(5):
            sent = only(g.ask(customer=g.n), io.Attempt)
            used.add(sent.backend)
            g.end(sent, elapsed=0.32)
    return used


def test_a_backend_that_has_answered_is_gone_back_to_before_others_are_connected_to():
    # Each counted as unpressed until it had answered: every ingress tried all 60, a handshake each.
    assert choices_beside_known(born=0.0) == {"b0", "b1"}


def test_a_backend_that_has_only_started_is_used_though_no_ingress_knows_it():
    assert choices_beside_known(born=110.0) >= {f"b{n}" for n in range(2, 8)}


def test_what_a_cold_backend_serves_makes_no_room_while_it_holds_the_work_of_many_ingresses():
    # Each of 40 ingresses sent one more for each served, whatever the others had there.
    def sent(inflight: float) -> int:
        count = 0
        for seed in range(40):
            g = GatewayDriver(backends=1, instances=300, seed=seed)
            g.give(
                io.ListUpdate(io.ListKind.CHANGE, 2, (io.BackendEntry("b0", io.Phase.RUNNING, born=g.now),))
            )
            g.gw.fleet.backends["b0"].tokens = 1.0
            for _ in range(10):
                g.now += 0.05
                for a in some(g.ask(customer=g.n + 1), io.Attempt):
                    count += 1
                    g.give(
                        io.AttemptEnded(
                            a.request, 0, a.backend, io.Outcome.OK, 0.02, True, load={"inflight": inflight}
                        )
                    )
        return count

    assert sent(9.0) == 40 and sent(2.0) == 400
