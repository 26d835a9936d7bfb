"""A backend that says nothing for a while: its answer is waited for unless another backend can give it."""

from __future__ import annotations

from typing import Any

import pytest

from roadspur import interface as io
from tests.system.test_sorting_start import flight, service


@pytest.mark.parametrize(("left", "cancelled"), [(1, 0), (2, 1)])
def test_an_attempt_that_hangs_is_only_cancelled_where_another_backend_is(left: int, cancelled: int) -> None:
    s = service(lambda *_: None)
    cls = io.ClassSettings("read", io.Effect.SAFE, 60.0, 60.0)
    s.meet(cls, 2.0, "t1")
    s.budget.share_among(0.0, 1)
    f: Any = flight("r1", cls)
    f.req.about.route.tries = 2
    s.flights["r1"] = f
    s.send(0.0, f)
    backend = s.acts[0].backend
    others = [b for b in s.fleet.backends if b != backend]
    for name in others[left - 1:]:
        entry = io.BackendEntry(name, io.Phase.DELETED, 4.0, zone="z1")
        s.listed(0.0, io.ListUpdate(io.ListKind.CHANGE, 0, (entry,)))
    s.acts = []
    s.sweep(30.0)
    assert len([a for a in s.acts if isinstance(a, io.CancelAttempt)]) == cancelled
