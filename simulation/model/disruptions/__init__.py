"""Disruptions: their effect on a deployment, and on the connectivity of machines."""

from __future__ import annotations

from simulation.model.disruptions.link_disruptions import LinkDisruptions
from simulation.model.disruptions.machine_disruptions import MachineDisruptions
from simulation.model.disruptions.operators_and_backends import OperatorAndBackendDisruptions


class DisruptionSchedule(MachineDisruptions, LinkDisruptions, OperatorAndBackendDisruptions):
    """All kinds of disruptions, each a method `do_KIND`."""


KINDS = sorted(name.removeprefix("do_") for name in dir(DisruptionSchedule) if name.startswith("do_"))
