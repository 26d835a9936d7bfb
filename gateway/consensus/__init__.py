"""Consensus on the configuration: Raft among the core's controllers, with one entry as its whole state.

Where to read on:

- `raft`: `RaftNode`, the state machine of one disk; it passes events to its roles.
- `events`, `outputs`, `errors`, `tuning`: what goes in and out, what can be wrong, and all timeouts.
- `message_dispatch`: which role handles a received message.
- `follower`, `candidate`, `voter`, `leader`, `learner`: one role each.
- `replication`, `peer`, `reconfiguration`: what a leader sends, what it knows of others, membership changes.
- `election_timer`, `cluster_restart`: when an election begins, and after a restart of all members.
- `replica`, `entry`, `codec`, `store`: the state in memory, its types, its protobuf form, and the disk.
- `quorum`: how many disks a core may lose, for capacity planning.

Sections are those of D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus Algorithm"
(extended version), cited as "Raft", and of D. Ongaro's dissertation, cited as "Raft dissertation".
"""
