"""The state of a request from its arrival to its final answer."""

from __future__ import annotations

from ingress import interface as io
from ingress.customer import Customer


class ActiveRequest:
    """A request that is owed one final answer."""

    def __init__(self, req: io.Request, cls: io.ClassSettings, customer: Customer, now: float) -> None:
        self.req = req
        self.cls = cls
        self.customer = customer
        self.due_at = now + min(cls.objective, req.expires_in)  # answer due; later its client is gone
        self.attempts = 0
        self.sent = 0.0
        self.charge = req.units
        # An even share is below one request.
        self.share_below_one = req.units * customer.width > customer.plan.burst
        self.ran_at: float | None = None  # send time of the earliest attempt that may have run, and where
        self.ran_on: io.BackendEntry | None = None
        self.charged_units = 0.0  # units taken off the bucket
        self.attempt_out = False  # an attempt is in flight
        self.pace = 0.0  # estimate of the requests that its customer keeps open
        # to avoid; worth per unit of work
        self.bad = set[str]()
        self.value = cls.worth * customer.plan.price
