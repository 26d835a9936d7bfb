"""A controller's status of the core (`/-/core`) and of backends (`/-/leases`) as JSON objects."""

from __future__ import annotations

from gateway.consensus import quorum
from gateway.consensus.raft import RaftNode
from gateway.membership.controller import ControllerMembership

Row = dict[str, object]


def core(raft: RaftNode, now: float) -> Row:
    """The members according to the newest local entry, as JSON. Only the leader knows their last contact."""
    entry = raft.replica.entry
    leader_role = raft.leader_role
    peers = leader_role.peers.values() if leader_role is not None else ()
    contact_age_s = {p.disk: round(now - p.last_contact_at, 3) for p in peers if p.last_contact_at > 0}
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
                "heard-s": 0.0 if m.disk == raft.replica.disk else contact_age_s.get(m.disk),
            }
            for m in entry.voters()
        ],
    }


def _further_losses_now(raft: RaftNode, now: float) -> int | None:
    """How many more disks may be lost now according to the leader; None at other members."""
    replica = raft.replica
    leader_role = raft.leader_role
    if leader_role is None or replica.committed_entry is None:
        return None
    position = replica.committed_entry.position
    reachable = {disk for disk, p in leader_role.member_health(now).items() if p.reachable and not p.leaving}
    replicas = sum(
        p.disk in reachable and p.durable_position is not None and p.durable_position >= position
        for p in leader_role.peers.values()
    )
    reachable.add(replica.disk)
    voter_sets = [
        quorum.VoterSet(len(voters), sum(m.disk in reachable for m in voters))
        for voters in (replica.entry.members, replica.entry.outgoing)
        if voters
    ]
    replicas += replica.persisted.entry.position >= position
    return quorum.further_tolerable_losses(voter_sets, replicas)


def _state(stays: bool, was: bool) -> str:
    return "member" if stays and was else "comes" if stays else "goes"


def leases(membership: ControllerMembership, now: float) -> Row:
    """All known backends, and the remaining seconds of the leases granted by this controller."""
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
