"""Membership changes: which one a leader makes next."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from gateway.consensus.api import Tuning
from gateway.consensus.records import Member
from gateway.state_machine import Address

MAX_JOIN_REQUESTS = 16


class MemberHealth(NamedTuple):
    """What the leader knows of another member: for how many seconds it has been silent, whether it counts as
    reachable, and whether it is leaving."""

    silence_s: float
    reachable: bool
    leaving: bool


class JoinRequest(NamedTuple):
    """A disk that asks to be a member, and the times of its first and its latest request."""

    member: Member
    since: float
    last: float


class JoinRequests:
    """The disks that ask to be members; at most `MAX_JOIN_REQUESTS` are kept."""

    def __init__(self) -> None:
        self.askers: dict[str, JoinRequest] = {}

    def add(self, now: float, disk: str, address: Address) -> None:
        """Note a join request. It replaces one of another disk at the same address."""
        known = self.askers.get(disk)
        self.askers = {d: a for d, a in self.askers.items() if a.member.address != address}
        if len(self.askers) < MAX_JOIN_REQUESTS:
            self.askers[disk] = JoinRequest(Member(disk, address), known.since if known else now, now)

    def fresh(self, now: float, within: float) -> list[JoinRequest]:
        """The disks that have asked within so many seconds, the first one first; others are forgotten."""
        self.askers = {d: a for d, a in self.askers.items() if now - a.last <= within}
        return sorted(self.askers.values(), key=lambda a: a.since)


def next_configuration(
    now: float,
    members: tuple[Member, ...],
    others: Mapping[str, MemberHealth],
    join_requests: list[JoinRequest],
    tolerance: int,
    tuning: Tuning,
) -> tuple[Member, ...] | None:
    """The members after the next change; None if none is due. `others` is by disk, without the leader.

    A change is begun only if a majority of the members after it are reachable, the new one not counted.
    """
    found = None
    for learner in join_requests:
        found = found or _with_joiner(members, others, learner.member, now - learner.since, tuning)
    found = found or _without_lost_member(members, others, tolerance, tuning)
    if found is None:
        return None
    there = sum(m in members and _is_reachable(others, m) for m in found)
    return found if 2 * there > len(found) or len(members) == 1 else None


def has_room(members: tuple[Member, ...], others: Mapping[str, MemberHealth], tuning: Tuning) -> bool:
    """Whether a new member can be added, or may be soon."""
    return len(members) < tuning.max_members or any(p.leaving or not p.reachable for p in others.values())


def _is_reachable(others: Mapping[str, MemberHealth], member: Member) -> bool:
    return member.disk not in others or others[member.disk].reachable


def _with_joiner(
    members: tuple[Member, ...],
    others: Mapping[str, MemberHealth],
    learner: Member,
    waited: float,
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
            presence = others.get(old.disk)
            if presence is None or presence.silence_s < tuning.election_min_s:
                return None
            return tuple(learner if m == old else m for m in members)
    free = [
        (p.silence_s, disk) for disk, p in others.items() if p.leaving or p.silence_s > tuning.replace_after_s
    ]
    if free:
        gone = max(free)[1]
        return tuple(learner if m.disk == gone else m for m in members)
    room = len(members) < tuning.max_members and waited >= tuning.presence_timeout_s
    return (*members, learner) if room and all(_is_reachable(others, m) for m in members) else None


def _without_lost_member(
    members: tuple[Member, ...], others: Mapping[str, MemberHealth], tolerance: int, tuning: Tuning
) -> tuple[Member, ...] | None:
    """The members without one that is leaving or lost, if enough stay.

    If an odd number is left, the removal of one from an even number lowers the majority that is needed, so
    it helps whoever else is unreachable. If an even number is left, only reachable members are counted.
    """
    min_members = max(3, 2 * tolerance + 1)
    for old in members:
        presence = others.get(old.disk)
        if presence is None or not (presence.leaving or presence.silence_s > tuning.remove_after_s):
            continue
        rest = tuple(m for m in members if m != old)
        staying = len(rest) if len(rest) % 2 else sum(_is_reachable(others, m) for m in rest)
        if staying >= min_members:
            return rest
    return None
