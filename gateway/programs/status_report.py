"""A controller's status of the core (`/-/core`) and backends (`/-/leases`), and tables of it."""

from __future__ import annotations

from typing import Any

from gateway.cli import nodes
from gateway.consensus import quorum
from gateway.consensus.raft import RaftNode
from gateway.membership.controller import ControllerMembership

CORE = "/-/core"
LEASES = "/-/leases"
Row = dict[str, Any]


def core(raft: RaftNode, now: float) -> Row:
    """The members by the newest entry here, as JSON. Only the leader knows when they were last heard."""
    entry = raft.replica.entry
    leader_role = raft.leader_role
    peers = leader_role.peers.values() if leader_role is not None else ()
    heard = {p.disk: round(now - p.last_heard_at, 3) for p in peers if p.last_heard_at > 0}
    return {
        "node": raft.address,
        "role": raft.role,
        "leader": raft.leader,
        "term": raft.term,
        "sure": raft.has_leader_lease(now),
        "version": raft.committed_version,
        "changing": bool(entry.outgoing),
        "bears": quorum.tolerable_losses(len(entry.members)),
        "tolerance": raft.tolerance,
        "bears-now": _further_losses_now(raft, now),
        "members": [
            {
                "address": m.address,
                "disk": m.disk,
                "state": _state(m in entry.members, m in entry.outgoing or not entry.outgoing),
                "heard-s": 0.0 if m.disk == raft.replica.disk else heard.get(m.disk),
            }
            for m in entry.voters()
        ],
    }


def _further_losses_now(raft: RaftNode, now: float) -> int | None:
    """How many more disks may be lost right now, as far as the leader knows; None from other members."""
    replica = raft.replica
    leader_role = raft.leader_role
    if leader_role is None or replica.committed_entry is None:
        return None
    position = replica.committed_entry.position
    there = {disk for disk, p in leader_role.member_health(now).items() if p.reachable and not p.leaving}
    replicas = sum(
        p.disk in there and p.durable_position is not None and p.durable_position >= position
        for p in leader_role.peers.values()
    )
    there.add(replica.disk)
    voter_sets = [
        quorum.VoterSet(len(voters), sum(m.disk in there for m in voters))
        for voters in (replica.entry.members, replica.entry.outgoing)
        if voters
    ]
    replicas += replica.persisted.entry.position >= position
    return quorum.further_tolerable_losses(voter_sets, replicas)


def _state(stays: bool, was: bool) -> str:
    return "member" if stays and was else "comes" if stays else "goes"


def leases(membership: ControllerMembership, now: float) -> Row:
    """All known backends, and the remaining seconds of the leases that this controller has granted."""
    own = membership.leases.leases
    return {
        "node": membership.address,
        "backends": [
            {
                "id": b.id,
                "service": b.service,
                "address": b.address,
                "zone": b.zone,
                "capacity": b.capacity,
                "phase": "draining" if b.draining else "standing",
                "call-seq": b.seq,
                "cold-left-s": round(max(0.0, b.slow_start_until - now), 3),
                "lease-left-s": round(own[b.id].until - now, 3) if b.id in own else None,
                "held-by": sorted(h or membership.address for h in row.lease_holders),
            }
            for b, row in ((row.backend, row) for _, row in sorted(membership.table.rows.items()))
        ],
    }


def core_lines(answers: list[Row]) -> list[str]:
    """Lines for the terminal: the members as the leader (or the member of the latest term) reports them,
    then how many losses the core tolerates."""
    if not answers:
        return []
    a = max(answers, key=lambda a: (a["sure"], a["term"]))
    rows = [
        (m["address"], m["disk"], "leader" if m["address"] == a["leader"] else m["state"], m["heard-s"])
        for m in a["members"]
    ]
    return [
        *nodes.columns(("address", "disk", "role", "heard-s"), rows),
        f"version {a['version']}, term {a['term']}, told by {a['node']}, "
        f"{'surely' if a['sure'] else 'not surely'} the newest; "
        f"bears {a['bears']} lost at once, {a['tolerance']} wanted"
        + ("" if a["bears-now"] is None else f"; {a['bears-now']} more right now"),
    ]


def core_well(answers: list[Row]) -> bool:
    """Whether a leader has its lease, members aren't changing, and the core tolerates what it has to."""
    return any(a["sure"] and (a["bears-now"] or 0) >= a["tolerance"] and not a["changing"] for a in answers)


def lease_lines(answers: list[Row]) -> list[str]:
    """Lines for the terminal: all backends, each with the longest reported lease."""
    names = ("id", "service", "address", "zone", "phase", "cold-left-s", "lease-left-s", "held-by")
    found: dict[str, Row] = {}
    for row in (row for a in answers for row in a["backends"]):
        known = found.setdefault(row["id"], row)
        if (row["lease-left-s"] or 0.0) > (known["lease-left-s"] or 0.0):
            found[row["id"]] = row
    rows = [
        tuple(" ".join(row[n]) if n == "held-by" else row[n] for n in names)
        for _, row in sorted(found.items())
    ]
    return nodes.columns(names, rows)
