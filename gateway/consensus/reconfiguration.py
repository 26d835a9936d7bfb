"""Membership changes (Raft, 6): which one a leader makes next."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from gateway.consensus.entry import Member
from gateway.consensus.tuning import Tuning
from gateway.state_machine import Address

MAX_JOIN_REQUESTS = 16
MIN_MEMBERS = 3  # a lost member isn't removed without a replacement if fewer than these would stay


class MemberHealth(NamedTuple):
    """What the leader knows of another member.

    `silent_s` is for how many seconds it hasn't been heard.
    """

    silent_s: float
    reachable: bool
    leaving: bool


class JoinRequest(NamedTuple):
    """A disk that asks to be a member, and the times of its first and its latest request."""

    member: Member
    first_at: float
    latest_at: float


class JoinRequests:
    """The disks that ask to be members, by their ids; at most `MAX_JOIN_REQUESTS` are kept."""

    def __init__(self) -> None:
        self.requests: dict[str, JoinRequest] = {}

    def add(self, now: float, disk: str, address: Address) -> None:
        """Note a join request. It replaces one of another disk at the same address."""
        known = self.requests.get(disk)
        self.requests = {d: r for d, r in self.requests.items() if r.member.address != address}
        if len(self.requests) < MAX_JOIN_REQUESTS:
            first_at = known.first_at if known else now
            self.requests[disk] = JoinRequest(Member(disk, address), first_at, now)

    def fresh(self, now: float, max_age_s: float) -> list[JoinRequest]:
        """The disks whose latest request isn't older than this, the first one first; others are forgotten."""
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
    """The members after the next change; None if none is due.

    A change is begun only if a majority of the members after it are reachable, the new one not counted.

    Args:
        now: Seconds of the leader's clock.
        members: The members now.
        health: By disk, what is known of the members other than the leader.
        join_requests: Of disks that may be made members, the one to be considered first comes first.
        tolerance: The number of members whose simultaneous loss the core must survive.
        tuning: Timeouts and the largest number of members.
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
    """Whether a new member can be added, or may be soon."""
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
    """The members with a new one, if there is a place for it now.

    A disk that arrives as another one ends is to replace that one. So it is added as a further member only
    after a wait in which the silence of a member that has ended would show.
    """
    if any(m.disk == learner.disk for m in members):
        return None
    for old in members:
        if old.address == learner.address:  # the old disk is lost, unless it is still heard
            old_health = health.get(old.disk)
            if old_health is None or old_health.silent_s < tuning.election_min_s:
                return None
            return tuple(learner if m == old else m for m in members)
    replaceable = [
        (h.silent_s, disk) for disk, h in health.items() if h.leaving or h.silent_s > tuning.replace_after_s
    ]
    if replaceable:
        replaced_disk = max(replaceable)[1]
        return tuple(learner if m.disk == replaced_disk else m for m in members)
    may_add = len(members) < tuning.max_members and waited_s >= tuning.presence_timeout_s
    return (*members, learner) if may_add and all(_is_reachable(health, m) for m in members) else None


def _without_lost_member(
    members: tuple[Member, ...], health: Mapping[str, MemberHealth], tolerance: int, tuning: Tuning
) -> tuple[Member, ...] | None:
    """The members without one that is leaving or lost, if enough stay.

    If an odd number is left, the removal of one from an even number lowers the majority that is needed, so
    it helps whoever else is unreachable. If an even number is left, only reachable members are counted.
    """
    min_members = max(MIN_MEMBERS, 2 * tolerance + 1)
    for old in members:
        old_health = health.get(old.disk)
        if old_health is None or not (old_health.leaving or old_health.silent_s > tuning.remove_after_s):
            continue
        rest = tuple(m for m in members if m != old)
        staying = len(rest) if len(rest) % 2 else sum(_is_reachable(health, m) for m in rest)
        if staying >= min_members:
            return rest
    return None
