"""Bugs that are injected into a run to verify that each checker detects violations.

Each function changes one behaviour of a process that starts.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from gateway.config.changes import ConfigState
from gateway.config.routing import Route
from gateway.consensus import events as consensus_events
from gateway.consensus.outputs import ProposalOutcome
from ingress import interface as io
from ingress.net.connection_interfaces import ImmediateResponse
from simulation.model.deployment import Deployment
from simulation.model.processes import ControllerProcess, Program, ProxyProcess


def _stale(process: ProxyProcess) -> None:
    """Apply only the first configuration, and disable the detection of that."""
    proxy_node: Any = process.proxy_node
    proxy_node.drift_monitor.tick = lambda: setattr(proxy_node.drift_monitor, "ready", True)
    proxy_node.ingress.inspect = lambda host, path, key, route_decision: route_decision
    apply_config = proxy_node.apply_config

    def first_only(version: int, *rest: Any, **more: Any) -> None:
        if proxy_node.version == 0:
            apply_config(version, *rest, **more)

    proxy_node.apply_config = first_only


def _any_charge(process: ProxyProcess) -> None:
    """Forward every request, whatever the verdict of the shard owner."""
    decisions: Any = process.proxy_node.ingress.gateway
    request = decisions.request

    def unlimited(now: float, received: io.Request) -> None:
        context = received.context
        request(now, received._replace(context=context._replace(tenant=None) if context.tenant else context))

    decisions.request = unlimited


def _deaf_to_drain(process: ProxyProcess) -> None:
    """Ignore that backends drain."""
    proxy_node: Any = process.proxy_node
    on_backend = proxy_node.on_backend
    proxy_node.on_backend = lambda record: on_backend(record._replace(draining=False))


def _repeats(process: ProxyProcess) -> None:
    """Retry unsafe requests on a second backend."""
    proxy_node: Any = process.proxy_node
    read = proxy_node.ingress.read

    def safe(*args: Any) -> Any:
        request = read(*args)
        if isinstance(request, io.Request):
            old = request.context.route
            route = Route(old.entry)
            route.safe = True
            request = request._replace(context=request.context._replace(route=route))
        return request

    proxy_node.ingress.read = safe


def _always_promises(process: ProxyProcess) -> None:
    """Report of every request that it never ran."""
    from gateway.proxy.execution_status import ExecutionStatus

    ingress: Any = process.proxy_node.ingress
    ingress.execution_status = lambda state: ExecutionStatus.NEVER_RAN
    decisions: Any = ingress.gateway

    def refuse(now: float, active_request: Any, wait: float) -> None:
        decisions.outputs.append(io.Refuse(active_request.req.id, 0.1))
        decisions.forget(active_request.req.id)

    decisions.give_up = refuse
    for service in decisions.services.values():
        service.give_up = refuse


def _believes_all(process: ProxyProcess) -> None:
    """Accept any response as valid."""
    ingress: Any = process.proxy_node.ingress
    ingress.outcome = lambda call, answer: io.Outcome.OK if answer.status == 200 else io.Outcome.ERROR


def _no_budget(process: ProxyProcess) -> None:
    """Retry without a budget."""
    decisions: Any = process.proxy_node.ingress.gateway
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


def _other_path(process: ProxyProcess) -> None:
    """Change the path of forwarded requests."""
    ingress: Any = process.proxy_node.ingress
    message = ingress.message
    ingress.message = lambda *args: message(*args).replace(b" HTTP/1.1", b"x HTTP/1.1", 1)


def _no_target(process: ProxyProcess) -> None:
    """Omit the target of a request, and keep using removed backends."""
    proxy_node: Any = process.proxy_node
    message = proxy_node.ingress.message
    backend = proxy_node.ingress.backend
    proxy_node.ingress.message = lambda *args: message(*args).replace(b"Target-Instance:", b"X-Target:")

    def keep(name: str, service: str, address: Any, phase: io.Phase, *rest: Any) -> None:
        if phase is not io.Phase.DELETED:
            backend(name, service, address, phase, *rest)

    proxy_node.ingress.backend = keep


def _denies(process: ProxyProcess) -> None:
    """Deny a tenth of the requests."""
    ingress: Any = process.proxy_node.ingress
    read = ingress.read
    rng = random.Random(1)

    def deny(*args: Any) -> Any:
        return ImmediateResponse(403, "no") if rng.random() < 0.1 else read(*args)

    ingress.read = deny


def _abrupt(process: ProxyProcess) -> None:
    """End at once on SIGTERM."""
    replaced: Any = process
    replaced.leave = lambda: process.machine.end(process)


def _no_return(process: ProxyProcess) -> None:
    """Serve nothing after the final fault of a day."""
    if process.machine.deployment.record.closing:
        proxy_node: Any = process.proxy_node
        proxy_node.apply_config = lambda *args, **more: None


def _lying_disk(process: ControllerProcess) -> None:
    """Report saves of the disk before they are done."""
    process.machine.disk.reports_early = True
    process.machine.disk.sync_s = 0.1


def _hasty(process: ControllerProcess) -> None:
    """Acknowledge a change before it is committed."""
    controller_node: Any = process.controller_node
    propose = controller_node.propose

    def at_once(token: int, value: bytes, expected: int) -> None:
        propose(token, value, expected)
        controller_node.control.on_proposal_outcome(process.time(), token, ProposalOutcome.COMMITTED)

    controller_node.propose = at_once


def _credulous(process: ControllerProcess) -> None:
    """Acknowledge every change without applying it."""
    controller_node: Any = process.controller_node
    controller_node.propose = lambda token, value, expected: controller_node.control.on_proposal_outcome(
        process.time(), token, ProposalOutcome.COMMITTED
    )


def _forgets_orders(process: ControllerProcess) -> None:
    """Don't recognize repeated changes."""
    controller_node: Any = process.controller_node
    config_in_force = controller_node.config_in_force

    def bare() -> tuple[int, ConfigState]:
        version, state = config_in_force()
        return version, ConfigState(state.document)

    controller_node.config_in_force = bare


def _silent_orders(process: ControllerProcess) -> None:
    """Never answer changes."""
    controller_node: Any = process.controller_node
    handle_consensus = controller_node.handle_consensus

    def forgetful(event: Any) -> None:
        if not isinstance(event, consensus_events.Propose):
            handle_consensus(event)

    controller_node.handle_consensus = forgetful


def _faulty(process: ProxyProcess) -> None:
    """Raise an exception occasionally."""
    proxy_node: Any = process.proxy_node
    handle_membership = proxy_node.handle_membership
    rng = random.Random(1)

    def raising(event: Any) -> None:
        if rng.random() < 0.02:
            raise RuntimeError("planted")
        handle_membership(event)

    proxy_node.handle_membership = raising


PROXY_BUGS: dict[str, Callable[[ProxyProcess], None]] = {
    "stale": _stale,
    "any_charge": _any_charge,
    "deaf_to_drain": _deaf_to_drain,
    "repeats": _repeats,
    "always_promises": _always_promises,
    "believes_all": _believes_all,
    "no_budget": _no_budget,
    "other_path": _other_path,
    "no_target": _no_target,
    "denies": _denies,
    "abrupt": _abrupt,
    "no_return": _no_return,
    "faulty": _faulty,
}
CONTROLLER_BUGS: dict[str, Callable[[ControllerProcess], None]] = {
    "lying_disk": _lying_disk,
    "hasty": _hasty,
    "credulous": _credulous,
    "silent_orders": _silent_orders,
    "forgets_orders": _forgets_orders,
}


def inject_bug(name: str, deployment: Deployment) -> None:
    """Inject a bug into all processes that start from now on; none if the name is empty."""
    if not name:
        return
    if name not in PROXY_BUGS and name not in CONTROLLER_BUGS:
        raise ValueError(f"fault {name!r}: unknown")

    def corrupt_process(process: Program) -> None:
        if isinstance(process, ProxyProcess) and name in PROXY_BUGS:
            PROXY_BUGS[name](process)
        elif isinstance(process, ControllerProcess) and name in CONTROLLER_BUGS:
            CONTROLLER_BUGS[name](process)

    deployment.process_hooks.append(corrupt_process)
