"""Tests of the core's answers while one of its machines is cut off for 20 s and changes compete."""

import json
from dataclasses import replace

import pytest

from gateway.config.changes import ConfigState
from gateway.config.errors import MalformedStateError
from gateway.runtime.http_call import HttpCall
from simulation.injected_bug_cases import SMALL
from simulation.model.simulation_run import Run
from simulation.spec import Day

BEGINS, LASTS, SHORT = 3.5, 20.0, 11.5
SLACK_S = 2.5  # time after the beginning of a cut for an election
EVERY_S, AT_ONCE_S, PATIENT_S = 0.37, 0.05, 1.0
CONFIG, BACKENDS = "/-/config", "/-/backends/"


class CallRecord:
    """A call and its answer."""

    def __init__(self, asked, name, method, base):
        self.asked, self.name, self.method, self.base = asked, name, method, base
        self.at, self.status, self.lines, self.body = None, 0, b"", b""


class Cut:
    """A core without traffic, whose leader is cut off at `BEGINS` in one of several ways.

    Each machine is called periodically, to read the configuration and to accept one of two competing changes.
    """

    def __init__(self, way, seed=1, planted=None):
        self.lasts = LASTS if way in ("both", "frozen", "replaced") and planted is None else SHORT
        day = Day(seconds=BEGINS + self.lasts + 2.0, warm=3.0, traffic=False)
        self.run = Run(
            replace(
                SMALL,
                proxies=(1, 1, 1),
                day=day,
                services=tuple(replace(service, backends=2) for service in SMALL.services),
            ),
            seed,
        )
        self.way, self.told, self.heartbeat_answered, self.lone = way, [], {1: 0}, None
        self.acked_at = {1: 0.0}
        self.seen = 1  # the newest generation known to be in force
        self.simulator, self.deployment = self.run.simulator, self.run.deployment
        if planted is not None:
            self.deployment.process_hooks.append(planted)
        self.simulator.at(BEGINS, self.strike)
        self.simulator.at(BEGINS - 1.0, self.ask)
        self.simulator.at(BEGINS + self.lasts - 0.1, self.look)
        self.faults = self.run.play().faults

    def controller_processes(self):
        """Return the running controllers by machine."""
        return [
            (m.name, m.processes["controller"])
            for m in self.deployment.machines.values()
            if "controller" in m.processes
        ]

    def strike(self):
        self.lone = next(
            name
            for name, p in self.controller_processes()
            if p.controller_node.raft.has_leader_lease(p.time())
        )
        others = [name for name, _ in self.controller_processes() if name != self.lone]
        ways = [(other, self.lone) for other in others] if self.way != "mute" else []
        ways += [(self.lone, other) for other in others] if self.way in ("both", "mute", "replaced") else []
        network = self.deployment.network
        if self.way == "frozen":
            self.lone_process().freeze(True)
            self.simulator.after(self.lasts, self.lone_process().freeze, False)
            for n in range(12):  # calls queued for a frozen process, possibly before its next tick
                self.simulator.after(0.002 * n, self.ask_all)
        elif self.way == "slow":
            for name, _ in self.controller_processes():
                network.slow[name] = 0.15
                self.simulator.after(self.lasts, network.slow.pop, name)
        else:
            for frm, to in ways:
                network.cut(frm, to)
                self.simulator.after(self.lasts, network.cut, frm, to, False)
        if self.way == "replaced":
            for n, name in enumerate((self.lone, *others)):
                self.simulator.after(1.0 + 6.0 * n, self.replace, name)

    def replace(self, name):
        """Replace the isolated or a lost machine by a new one, which is cut off from the isolated one."""
        old = self.deployment.machines[name]
        if name != self.lone:
            old.removed = True
            old.kill(power=True, wipe=True)
        new = self.deployment.add(old.place.zone, old.roles)
        for ends in ((new.name, self.lone), (self.lone, new.name)):
            self.deployment.network.cut(*ends)
            self.simulator.at(BEGINS + self.lasts, self.deployment.network.cut, *ends, False)
        self.deployment.list_controls()
        new.start()

    def look(self):
        """Return the number of backends known to the proxy next to the isolated machine."""
        proxy = self.deployment.machines[self.lone].processes["proxy"]
        rows = proxy.proxy_node.membership.table.rows
        self.kept = sum(b.id in rows for b in self.deployment.alive())

    def lone_process(self):
        return dict(self.controller_processes())[self.lone]

    def ask(self):
        self.ask_all()
        self.simulator.after(EVERY_S, self.ask)

    def ask_all(self):
        """Call all machines: a read, and a different change of the newest version at each.

        The isolated machine is also called to drain a backend.
        """
        base = max(self.seen, *self.heartbeat_answered)
        beat = {
            "target": "alpha",
            "address": f"10.9.{len(self.told) // 250}.{len(self.told) % 250}:80",
            "phase": "draining",
            "call-seq": 1,
        }
        for n, (name, process) in enumerate(self.controller_processes()):
            first = self.run.operator_pool.newest
            change = {**first, "generation": base + 10 + n, "base-version": base}
            calls = [("GET", CONFIG, None), ("PUT", CONFIG, change)]
            if name == self.lone:
                calls.append(("PUT", f"{BACKENDS}x-{len(self.told)}", beat))
            for method, path, body in calls:
                told = CallRecord(self.simulator.now, name, method if path == CONFIG else "drain", base)
                self.told.append(told)
                process.enter(
                    process.answer,
                    HttpCall(method, path, json.dumps(body).encode()),
                    lambda *answer, told=told: self.answered(told, *answer),
                )

    def answered(self, told, status, lines, body):
        told.at, told.status, told.lines, told.body = self.simulator.now, status, lines, body
        if told.method == "PUT" and status == 200:
            generation = json.loads(body)["generation"]
            assert self.heartbeat_answered.setdefault(generation, told.base) == told.base
            self.acked_at.setdefault(generation, self.simulator.now)
        if status == 412:
            self.seen = max(self.seen, json.loads(body)["generation"])
        if status == 307:
            ip = lines.partition(b"http://")[2].partition(b":")[0].decode()
            told.leads = any(
                p.controller_node.raft.leader_role
                for name, p in self.controller_processes()
                if self.deployment.by_ip[ip].name == name
            )

    def old(self, told):
        """Whether an answer has an older version than one acknowledged before the call or well before it."""
        until = max(told.asked, told.at - PATIENT_S)
        newest = max(g for g, at in self.acked_at.items() if at <= until)
        return json.loads(told.body)["generation"] < newest

    def answered_by_old(self):
        """Return reads and refusals by a version older than one that has been in force for long."""
        return [
            t
            for t in self.told
            if t.at and (t.status == 412 or t.method == "GET" and t.status == 200) and self.old(t)
        ]

    def faults_found(self):
        """Return the wrong answers."""
        found = [f"{t.name} said {t.status} by an old one at {t.at:.2f}" for t in self.answered_by_old()]
        bases = list(self.heartbeat_answered.values())
        if self.kept < len(self.deployment.alive()):
            found.append(f"{self.kept} backends are left beside {self.lone}")
        if len(set(bases)) < len(bases):
            found.append("two on one base")
        for t in self.told:
            cut = t.name == self.lone and BEGINS + SLACK_S < t.asked < BEGINS + self.lasts - 1.0
            if t.at is None:
                if self.way != "frozen" and t.asked < BEGINS + self.lasts:
                    found.append(f"{t.name} never answered {t.method} of {t.asked:.2f}")
                continue
            if t.status in (400, 404, 409):
                found.append(f"{t.name} refused with {t.status} at {t.at:.2f}")
            thawed = self.way == "frozen" and t.method == "drain"  # a majority has the change after that
            if cut and self.way != "slow" and not thawed and t.status not in (307, 503):
                found.append(f"{t.name} answered {t.status} at {t.at:.2f}, cut off")
            if cut and t.status == 307 and not t.leads:
                found.append(f"{t.name} named one that doesn't lead at {t.at:.2f}")
            thaws = BEGINS + self.lasts if self.way == "frozen" and t.name == self.lone else 0.0
            took = t.at - max(t.asked, thaws)
            at_once = cut and self.way not in ("slow", "frozen") and t.method != "drain"
            if took > (AT_ONCE_S if at_once else PATIENT_S):
                found.append(f"{t.name} took {took:.2f} s at {t.at:.2f}")
        return found


def endless(process):
    """Injected bug: a leader's lease never expires."""
    if process.kind == "controller":
        process.controller_node.leads = lambda now: process.controller_node.raft.leader_role is not None


def patient(process):
    """Injected bug: a machine without a leader waits for one on each change."""
    if process.kind == "controller":
        control = process.controller_node.control
        proceed = control.proceed

        def waits(now):
            control.leader_known_at = None
            proceed(now)

        control.proceed = waits


def alone(process):
    """Injected bug: a machine takes its own log for that of a majority."""
    if process.kind == "controller":
        process.controller_node.membership.log.confirmations = lambda number, members: len(members)


def flagged(process):
    """Injected bug: a machine that receives messages of a leader assumes contact with a majority."""
    if process.kind == "controller":
        log, raft = process.controller_node.membership.log, process.controller_node.raft
        log.quorate = lambda now: raft.leader is not None


WAYS = ("both", "deaf", "mute", "frozen", "slow", "replaced")


@pytest.mark.parametrize("way", WAYS)
def test_isolated_machine_refuses_at_once_and_gives_no_other_answer(way):
    cut = Cut(way)
    assert not cut.faults_found() and not cut.faults
    goes_on = [g for g, at in cut.acked_at.items() if BEGINS + 3 < at < BEGINS + cut.lasts]
    assert len(goes_on) > (5 if way == "slow" else 10)  # one change per round trip, which takes 0.6 s


@pytest.mark.parametrize(
    "way,planted", [("frozen", endless), ("both", patient), ("mute", flagged), ("deaf", alone)]
)
def test_injected_bugs_are_detected(way, planted):
    assert Cut(way, planted=planted).faults_found()


def test_leader_that_cannot_decode_the_config_in_force_does_not_use_an_older_one():
    """For example, its release is older than that of the previous leader."""

    def unreadable(value):
        if ConfigState.decode(value).generation > 1:
            raise MalformedStateError("planted")

    def dull(process):
        if process.kind == "controller":
            process.controller_node.control.own_value = unreadable

    assert not Cut("frozen", planted=dull).answered_by_old()
