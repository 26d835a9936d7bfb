"""Membership: gossip between processes, backends under lease, and change logs that other processes follow.

Where to read on:

- `controller`, `proxy`: `ControllerMembership` and `ProxyMembership`, the state machines of the programs.
- `leases`: backends whose heartbeats a controller receives; `heartbeat_target`: where they should send the
  next.
- `backend_table`: the backends as reported by all sources.
- `change_log`, `log_follower`: a source's log of changes, and the processes that follow it.
- `value_transfer`: values that are too large for a log, such as the configuration.
- `peer_view`: gossip with partial views, after "CYCLON: Inexpensive Membership Management for Unstructured
  P2P Overlays" (Voulgaris, Gavidia, van Steen, 2005).
- `events`, `outputs`, `types`, `errors`, `codec`: inputs, outputs, and their protobuf encoding.
"""
