"""Restart of the entire cluster: detects that all other members have restarted as well.

A restarted member doesn't know which heartbeats it had acknowledged, so it votes for nobody while a lease may
depend on those acknowledgements. The holder of such a lease has led without interruption since it committed
the entry that any successor must hold. So if every voter of that entry has reported, after this process
started, that it has not led since its own process started, there is no such leader, and votes need not be
withheld.
"""

from __future__ import annotations

from typing import NamedTuple

from gateway.consensus import consensus_pb2 as pb
from gateway.consensus.codec import last_position
from gateway.consensus.entry import LogPosition
from gateway.consensus.replica import Replica
from gateway.state_machine import Address


class PeerRestart(NamedTuple):
    """The restart of another member.

    Attributes:
        position: Position of its newest entry.
        process_started_at: The latest time, by this process's clock, at which its process started.
        initial_term: The term in which its process started.
    """

    position: LogPosition
    process_started_at: float
    initial_term: int


class ClusterRestart:
    """Queries all other voters whether they have restarted, and responds to their queries.

    Args:
        replica: The state of this disk.
        now: Seconds of this process's clock, as are all times here.
        vote_withheld_until: When any lease that depends on acknowledgements before the restart has expired.
        process_started_at: When this process started.
    """

    def __init__(
        self, replica: Replica, now: float, vote_withheld_until: float, process_started_at: float
    ) -> None:
        self.replica = replica
        self.vote_withheld_until = vote_withheld_until
        self.process_started_at = process_started_at
        self.initial_term = replica.term
        # Echoed in responses, so that a response to an earlier incarnation is ignored.
        self.incarnation = replica.rng.getrandbits(63) + 1
        self.leaderless = True  # this process has neither been leader nor received a message from one
        self.restarted_peers: dict[str, PeerRestart] = {}  # by disk
        self.next_query_at = now

    def tick(self, now: float) -> None:
        """Query members that haven't responded; some may not be running yet, and datagrams may be lost."""
        if self.leaderless and self.next_query_at <= now < self.vote_withheld_until:
            self.next_query_at = now + self.replica.tuning.restart_query_interval_s
            for member in self.replica.entry.voters():
                if member.disk != self.replica.disk and member.disk not in self.restarted_peers:
                    self._send_restarted(now, member.address, member.disk, to_incarnation=0)

    def on_restarted(self, now: float, sender: Address, message: pb.Message) -> None:
        """Handle a restarted member's query (`incarnation`), response (`to_incarnation`), or both."""
        if message.to_incarnation == self.incarnation:
            started_at = now - message.process_age_ms / 1000
            self.restarted_peers[message.disk] = PeerRestart(
                last_position(message), started_at, message.initial_term
            )
        if message.incarnation and self.leaderless:
            queries = now < self.vote_withheld_until
            self._send_restarted(now, sender, message.disk, message.incarnation, queries)

    def all_members_restarted(self) -> bool:
        """Whether all voters, including this one, have restarted."""
        replica = self.replica
        return replica.is_voter and all(
            m.disk in self.restarted_peers or m.disk == replica.disk for m in replica.entry.voters()
        )

    def leaderless_since(self) -> float | None:
        """For a newly elected leader: when the last process of the core started, or None.

        It is None unless this is the first leader since all processes started. A lease granted by an earlier
        leader ended with the process that held it, so by that time at the latest.

        Every leader elected since all processes started has a later term than any process started with, and a
        term has at most one leader. So the leader of the first such term is the first leader.
        """
        voters = self.replica.entry.voters()
        peers = [self.restarted_peers[m.disk] for m in voters if m.disk in self.restarted_peers]
        if not self.leaderless or not self.all_members_restarted():
            return None
        if self.replica.term != 1 + max([self.initial_term, *(p.initial_term for p in peers)]):
            return None
        return max([self.process_started_at, *(p.process_started_at for p in peers)])

    def election_rank(self) -> int | None:
        """The number of members that should become candidates before this one.

        It is None if no quorum is known to hold the same newest entry.
        """
        replica = self.replica
        same_entry = {
            disk for disk, peer in self.restarted_peers.items() if peer.position == replica.entry.position
        }
        same_entry.add(replica.disk)
        if not replica.entry.has_quorum(same_entry):
            return None
        return sum(m.disk in same_entry and m.disk < replica.disk for m in replica.entry.voters())

    def _send_restarted(
        self, now: float, to: Address, disk: str, to_incarnation: int, queries: bool = True
    ) -> None:
        message = self.replica.message_with_last_position(pb.RESTARTED, disk)
        message.process_age_ms = int(1000 * (now - self.process_started_at))
        message.initial_term = self.initial_term
        message.to_incarnation = to_incarnation
        message.incarnation = self.incarnation if queries and disk not in self.restarted_peers else 0
        self.replica.send(to, message)
