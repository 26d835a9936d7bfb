"""RECOVER, ACKS (the bench gate's acknowledgements) and FAULT (what programs would log as own errors)."""

from __future__ import annotations

from simulation.checkers.history import RuleViolation, RunHistory, limit_findings


def recover(history: RunHistory) -> list[RuleViolation]:
    """RECOVER: after the closing fault, requests are served again."""
    record = history.record
    b = history.bounds
    if not record.closing or not record.wanted:
        return []
    back = max(
        (t.ends for t in record.disruptions if t.begins >= record.closing - 1e-6), default=record.closing
    )
    done = {(at, route) for at, route, *_ in record.served}

    def share(begins: float, ends: float) -> float | None:
        requested = [(at, route) for at, route, *_ in record.wanted if begins <= at < ends]
        return sum(a in done for a in requested) / len(requested) if len(requested) >= 20 else None

    before = share(record.closing - 20.0, record.closing - 1.0)
    after = share(back + b.recovery_s, record.until - 3.0)
    if before is None or after is None or before < 0.25 or after >= 0.25:
        return []
    return [
        RuleViolation(
            "RECOVER",
            back + b.recovery_s,
            f"{after:.0%} are served after the closing fault, " f"{before:.0%} were before",
        )
    ]


def acks(history: RunHistory) -> list[RuleViolation]:
    """ACKS: valid orders are acknowledged in time while the core is undisturbed."""
    found = []
    wait = history.bounds.order_ack_s
    for order in history.record.orders:
        if not order.valid or order.status in (200, 412):
            wait_s = order.at - order.sent
            until = order.at
        elif order.status == 0:
            wait_s = history.record.until - order.sent
            until = history.record.until
        else:
            if order.base == max(
                (o.generation for o in history.record.orders if o.status == 200 and o.at < order.sent),
                default=0,
            ):
                found.append(
                    RuleViolation(
                        "ACKS", order.at, f"generation {order.generation} is refused with " f"{order.status}"
                    )
                )
            continue
        begins = order.sent
        while wait_s > wait and begins + wait < until:
            if history.settled(begins, begins + wait):
                found.append(
                    RuleViolation(
                        "ACKS",
                        until,
                        f"generation {order.generation}, sent at "
                        f"{order.sent:.3f}, has no answer for {wait_s:.1f} s",
                    )
                )
                break
            begins += 0.5
    return limit_findings(found)


def faults(history: RunHistory) -> list[RuleViolation]:
    """FAULT: exceptions that the programs would log as errors."""
    return limit_findings(
        [RuleViolation("FAULT", 0.0, f) for f in history.record.faults if f[:6] != "MIXED:"]
    )
