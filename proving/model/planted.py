"""Faults that are put into a run on purpose, so that each checker is seen to find something.

Each takes a process as it starts and spoils one thing in it.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from post.directory.matchers import Route
from post.directory.orders import Held
from post.register import api as register
from proving.model.processes import PostmasterProcess, Program, SorterProcess
from roadspur import interface as io
from roadspur.net.door import Early

if TYPE_CHECKING:
    from proving.model.deployment import Deployment


def _stale(s: SorterProcess) -> None:
    """Takes up the first configuration only, and nothing in it looks for that."""
    hall: Any = s.hall
    hall.watching.tick = lambda: setattr(hall.watching, "ready", True)
    hall.ingress.inspect = lambda host, path, key, judged: judged
    take_up = hall.take_up

    def first_only(version: int, *rest: Any, **more: Any) -> None:
        if hall.version == 0:
            take_up(version, *rest, **more)
    hall.take_up = first_only


def _any_charge(s: SorterProcess) -> None:
    """Lets every request go, whatever the holder says."""
    decisions: Any = s.hall.ingress.gateway
    request = decisions.request

    def unlimited(now: float, r: io.Request) -> None:
        about = r.about
        request(now, r._replace(about=about._replace(tenant=None) if about.tenant else about))
    decisions.on[io.Request] = unlimited


def _deaf_to_drain(s: SorterProcess) -> None:
    """Takes backends that leave for ones that stay."""
    hall: Any = s.hall
    backend = hall.backend
    hall.backend = lambda b: backend(b._replace(draining=False))


def _repeats(s: SorterProcess) -> None:
    """Sends what may not be repeated to a second backend."""
    hall: Any = s.hall
    read = hall.ingress.read

    def safe(*args: Any) -> Any:
        request = read(*args)
        if isinstance(request, io.Request):
            old = request.about.route
            route = Route(old.entry)
            route.safe = True
            request = request._replace(about=request.about._replace(route=route))
        return request
    hall.ingress.read = safe


def _always_promises(s: SorterProcess) -> None:
    """Promises that nothing has run."""
    from post.sorting.verdict import Verdict
    ingress: Any = s.hall.ingress
    ingress.verdict = lambda held: Verdict.NEVER
    decisions: Any = ingress.gateway

    def refuse(now: float, f: Any, wait: float) -> None:
        decisions.acts.append(io.Refuse(f.req.id, 0.1))
        decisions.forget(f.req.id)
    decisions.give_up = refuse
    for service in decisions.services.values():
        service.give_up = refuse


def _believes_all(s: SorterProcess) -> None:
    """Takes any answer for a good one."""
    ingress: Any = s.hall.ingress
    ingress.outcome = lambda call, answer: io.Outcome.OK if answer.status == 200 else io.Outcome.ERROR


def _no_budget(s: SorterProcess) -> None:
    """Repeats without end."""
    decisions: Any = s.hall.ingress.gateway
    budget = decisions.budget

    def endless(*args: Any) -> Any:
        made = budget(*args)

        class Endless(type(made)):  # type: ignore[misc]
            __slots__ = ()

            def allows(self, now: float) -> bool:
                return True
        made.__class__ = Endless
        return made
    decisions.budget = endless


def _other_path(s: SorterProcess) -> None:
    """Changes a path on its way."""
    ingress: Any = s.hall.ingress
    message = ingress.message
    ingress.message = lambda *args: message(*args).replace(b" HTTP/1.1", b"x HTTP/1.1", 1)


def _no_target(s: SorterProcess) -> None:
    """Doesn't say for whom a request is, and holds on to backends that are gone."""
    hall: Any = s.hall
    message, backend = hall.ingress.message, hall.ingress.backend
    hall.ingress.message = lambda *args: message(*args).replace(b"Target-Instance:", b"X-Target:")

    def keep(name: str, service: str, address: Any, phase: io.Phase, *rest: Any) -> None:
        if phase is not io.Phase.DELETED:
            backend(name, service, address, phase, *rest)
    hall.ingress.backend = keep


def _denies(s: SorterProcess) -> None:
    """Denies a tenth of what it is sent."""
    ingress: Any = s.hall.ingress
    read, rng = ingress.read, random.Random(1)

    def deny(*args: Any) -> Any:
        return Early(403, "no") if rng.random() < 0.1 else read(*args)
    ingress.read = deny


def _abrupt(s: SorterProcess) -> None:
    """Ends at once when told to leave."""
    process: Any = s
    process.leave = lambda: s.machine.end(s)


def _no_return(s: SorterProcess) -> None:
    """Serves nothing after the closing fault."""
    if s.machine.deployment.record.closing:
        hall: Any = s.hall
        hall.take_up = lambda *args, **more: None


def _lying_disk(p: PostmasterProcess) -> None:
    """Its disk says that it has saved what it has not."""
    p.machine.disk.lying, p.machine.disk.sync_s = True, 0.1


def _hasty(p: PostmasterProcess) -> None:
    """Acknowledges an order before it is agreed on."""
    post: Any = p.post
    propose = post.propose

    def at_once(token: int, value: bytes, expected: int) -> None:
        propose(token, value, expected)
        post.control.proposed(p.time(), token, "done")
    post.propose = at_once


def _credulous(p: PostmasterProcess) -> None:
    """Acknowledges whatever it is told to change."""
    post: Any = p.post
    post.propose = lambda token, value, expected: post.control.proposed(p.time(), token, "done")


def _forgets_orders(p: PostmasterProcess) -> None:
    """Knows no order again."""
    post: Any = p.post
    taken_up = post.taken_up

    def bare() -> tuple[int, Held]:
        version, held = taken_up()
        return version, Held(held.document)
    post.taken_up = bare


def _silent_orders(p: PostmasterProcess) -> None:
    """Gives orders no answer."""
    post: Any = p.post
    agree = post.agree

    def forgetful(event: Any) -> None:
        if not isinstance(event, register.Propose):
            agree(event)
    post.agree = forgetful


def _faulty(s: SorterProcess) -> None:
    """Raises now and then."""
    hall: Any = s.hall
    turn, rng = hall.turn, random.Random(1)

    def raising(event: Any) -> None:
        if rng.random() < 0.02:
            raise RuntimeError("planted")
        turn(event)
    hall.turn = raising


SORTERS: dict[str, Callable[[SorterProcess], None]] = {
    "stale": _stale, "any_charge": _any_charge, "deaf_to_drain": _deaf_to_drain, "repeats": _repeats,
    "always_promises": _always_promises, "believes_all": _believes_all, "no_budget": _no_budget,
    "other_path": _other_path, "no_target": _no_target, "denies": _denies, "abrupt": _abrupt,
    "no_return": _no_return, "faulty": _faulty}
POSTMASTERS: dict[str, Callable[[PostmasterProcess], None]] = {
    "lying_disk": _lying_disk, "hasty": _hasty, "credulous": _credulous, "silent_orders": _silent_orders,
    "forgets_orders": _forgets_orders}


def plant(name: str, deployment: Deployment) -> None:
    """Plant a fault in all processes that start from now on; none if the name is empty."""
    if not name:
        return
    if name not in SORTERS and name not in POSTMASTERS:
        raise ValueError(f"fault {name!r}: unknown")

    def spoil(process: Program) -> None:
        if isinstance(process, SorterProcess) and name in SORTERS:
            SORTERS[name](process)
        elif isinstance(process, PostmasterProcess) and name in POSTMASTERS:
            POSTMASTERS[name](process)
    deployment.spoilers.append(spoil)
