"""Troubles: what each kind does to a deployment, and what it means for who is in touch."""

from __future__ import annotations

from simulation.model.disruptions.link_disruptions import LinkDisruptions
from simulation.model.disruptions.machine_disruptions import MachineDisruptions
from simulation.model.disruptions.operators_and_backends import OperatorAndBackendDisruptions


class DisruptionSchedule(MachineDisruptions, LinkDisruptions, OperatorAndBackendDisruptions):
    """All kinds of troubles, each a method `do_KIND`."""


KINDS = sorted(name.removeprefix("do_") for name in dir(DisruptionSchedule) if name.startswith("do_"))
