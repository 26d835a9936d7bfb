"""Membership changes (Raft, 6): selects the next change that a leader should make."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from gateway.consensus.entry import Member
from gateway.consensus.tuning import Tuning
from gateway.state_machine import Address

MAX_JOIN_REQUESTS = 16
MIN_MEMBERS = 3  # a lost member is not removed without a replacement if fewer members than this would remain


class MemberHealth(NamedTuple):
    """The leader's view of another member.

    `unresponsive_s` is the time in seconds since its last message.
    """

    unresponsive_s: float
    reachable: bool
    leaving: bool


class JoinRequest(NamedTuple):
    """A disk that requests membership, and the times of its first and latest requests."""

    member: Member
    first_at: float
    latest_at: float


class JoinRequests:
    """The disks that request membership, by id; at most `MAX_JOIN_REQUESTS` are stored."""

    def __init__(self) -> None:
        self.requests: dict[str, JoinRequest] = {}

    def add(self, now: float, disk: str, address: Address) -> None:
        """Record a join request. It replaces a request of another disk at the same address."""
        previous = self.requests.get(disk)
        self.requests = {d: r for d, r in self.requests.items() if r.member.address != address}
        if len(self.requests) < MAX_JOIN_REQUESTS:
            first_at = previous.first_at if previous else now
            self.requests[disk] = JoinRequest(Member(disk, address), first_at, now)

    def fresh(self, now: float, max_age_s: float) -> list[JoinRequest]:
        """Requests repeated within `max_age_s`, oldest first; all others are discarded."""
        self.requests = {d: r for d, r in self.requests.items() if now - r.latest_at <= max_age_s}
        return sorted(self.requests.values(), key=lambda r: r.first_at)


def next_configuration(
    now: float,
    members: tuple[Member, ...],
    health: Mapping[str, MemberHealth],
    join_requests: list[JoinRequest],
    tolerance: int,
    tuning: Tuning,
) -> tuple[Member, ...] | None:
    """The members after the next membership change; None if no change is due.

    A change is started only if a majority of the resulting members are reachable, not counting the new one.

    Args:
        now: Seconds of the leader's clock.
        members: The current members.
        health: The leader's view of the other members, by disk.
        join_requests: Disks that may become members, in order of preference.
        tolerance: The number of members whose simultaneous loss the core must survive.
        tuning: Timeouts and the maximum number of members.
    """
    found = None
    for request in join_requests:
        found = found or _with_new_member(members, health, request.member, now - request.first_at, tuning)
    found = found or _without_lost_member(members, health, tolerance, tuning)
    if found is None:
        return None
    reachable = sum(m in members and _is_reachable(health, m) for m in found)
    return found if 2 * reachable > len(found) or len(members) == 1 else None


def has_room(members: tuple[Member, ...], health: Mapping[str, MemberHealth], tuning: Tuning) -> bool:
    """Whether a new member can be added now, or is likely to be soon."""
    return len(members) < tuning.max_members or any(h.leaving or not h.reachable for h in health.values())


def _is_reachable(health: Mapping[str, MemberHealth], member: Member) -> bool:
    return member.disk not in health or health[member.disk].reachable


def _with_new_member(
    members: tuple[Member, ...],
    health: Mapping[str, MemberHealth],
    learner: Member,
    waited_s: float,
    tuning: Tuning,
) -> tuple[Member, ...] | None:
    """The members with a new one added or replacing another; None if that is not possible now.

    A disk that arrives while another one shuts down should replace that one. It is therefore added as a
    further member only after a wait that is long enough to detect an unresponsive member.
    """
    if any(m.disk == learner.disk for m in members):
        return None
    for old in members:
        if old.address == learner.address:  # the old disk is lost, unless it still responds
            old_health = health.get(old.disk)
            if old_health is None or old_health.unresponsive_s < tuning.election_min_s:
                return None
            return tuple(learner if m == old else m for m in members)
    replaceable = [
        (h.unresponsive_s, disk)
        for disk, h in health.items()
        if h.leaving or h.unresponsive_s > tuning.replace_after_s
    ]
    if replaceable:
        replaced_disk = max(replaceable)[1]
        return tuple(learner if m.disk == replaced_disk else m for m in members)
    may_add = len(members) < tuning.max_members and waited_s >= tuning.presence_timeout_s
    return (*members, learner) if may_add and all(_is_reachable(health, m) for m in members) else None


def _without_lost_member(
    members: tuple[Member, ...], health: Mapping[str, MemberHealth], tolerance: int, tuning: Tuning
) -> tuple[Member, ...] | None:
    """The members without one that is leaving or lost, if enough members remain.

    Going from an even to an odd number lowers the required majority, which helps if further members are
    unreachable, so all remaining members are counted. If an even number remains, only reachable ones are.
    """
    min_members = max(MIN_MEMBERS, 2 * tolerance + 1)
    for old in members:
        old_health = health.get(old.disk)
        if old_health is None or not (
            old_health.leaving or old_health.unresponsive_s > tuning.remove_after_s
        ):
            continue
        rest = tuple(m for m in members if m != old)
        staying = len(rest) if len(rest) % 2 else sum(_is_reachable(health, m) for m in rest)
        if staying >= min_members:
            return rest
    return None
