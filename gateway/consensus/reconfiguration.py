"""Which change of members a leader makes next."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from gateway.consensus.api import Tuning
from gateway.consensus.records import Member
from gateway.state_machine import Address

MAX_JOIN_REQUESTS = 16


class MemberHealth(NamedTuple):
    """What the leader knows of another member: seconds of its silence, is it there, does it want to go."""

    silence_s: float
    reachable: bool
    leaving: bool


class JoinRequest(NamedTuple):
    """A disk that asks to be a member, and since when it asks."""

    member: Member
    since: float
    last: float


class JoinRequests:
    """Disks that ask to be members."""

    def __init__(self) -> None:
        self.askers: dict[str, JoinRequest] = {}

    def add(self, now: float, disk: str, address: Address) -> None:
        """A disk asks. The latest from an address is the one that is there."""
        known = self.askers.get(disk)
        self.askers = {d: a for d, a in self.askers.items() if a.member.address != address}
        if len(self.askers) < MAX_JOIN_REQUESTS:
            self.askers[disk] = JoinRequest(Member(disk, address), known.since if known else now, now)

    def fresh(self, now: float, within: float) -> list[JoinRequest]:
        """Those who have asked of late, the first one first; others are forgotten."""
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
    """The members after the next change; None if none is due. `others` is by disk, the leader left out.

    A change is only begun if a majority of the members after it are there, the newcomer not counted.
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
    """Is there a place for a newcomer, or may there be one soon?"""
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
    """The members with a newcomer, if there is a place for it now.

    One that comes as another ends is to replace that one, so it is added only when its silence would show.
    """
    if any(m.disk == learner.disk for m in members):
        return None
    for old in members:
        if old.address == learner.address:  # its disk is lost, unless it is still heard
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
    """The members without one that leaves or is gone, if enough stay.

    Of an even count, fewer are needed after that than before, whoever else is away.
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
