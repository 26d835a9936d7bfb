"""The state of a request from its arrival to its final answer."""

from __future__ import annotations

from ingress import interface as io
from ingress.customer import Customer


class ActiveRequest:
    """A request that has not received its final response yet."""

    def __init__(self, req: io.Request, cls: io.ClassSettings, customer: Customer, now: float) -> None:
        self.req = req
        self.cls = cls
        self.customer = customer
        # When the response is due; afterwards the client is gone.
        self.due_at = now + min(cls.objective, req.expires_in)
        self.attempts = 0
        self.sent = 0.0
        self.charge = req.units
        # Whether an even share of the burst is less than one request.
        self.share_below_one = req.units * customer.width > customer.plan.burst
        # Send time of the earliest attempt that may have run, and its backend.
        self.ran_at: float | None = None
        self.ran_on: io.BackendEntry | None = None
        self.charged_units = 0.0  # units taken from the customer's bucket
        self.attempt_out = False  # an attempt is in flight
        self.offered_load = 0.0  # estimated number of requests that its customer keeps open
        self.excluded_backends = set[str]()  # backends to avoid
        self.value = cls.worth * customer.plan.price  # value per unit of work
