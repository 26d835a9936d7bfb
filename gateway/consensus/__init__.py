"""Consensus on the configuration: Raft among the core's controllers, with one entry as its whole state.

Where to read on:

- `raft`: `RaftNode`, the state machine of one disk, which delegates events to its roles.
- `events`, `outputs`, `errors`, `tuning`: inputs, outputs, error types and all timeouts.
- `message_dispatch`: which role handles a received message.
- `follower`, `candidate`, `voter`, `leader`, `learner`: one module per role.
- `replication`, `peer`, `reconfiguration`: what a leader sends, its view of the others, membership changes.
- `election_timer`, `cluster_restart`: when an election starts, normally and after all members have restarted.
- `replica`, `entry`, `codec`, `store`: the state in memory, its types, its protobuf encoding, and the disk.
- `quorum`: how many disks a core may lose, for capacity planning.

Section numbers refer to D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus Algorithm"
(extended version), cited as "Raft", and to D. Ongaro's dissertation, cited as "Raft dissertation".
"""
