"""The quota plane: distributed rate limiting, with one count per tenant across all proxies.

Where to read on:

- `quota_client`: `QuotaClient` at each proxy charges requests, with `pending_charges` for those under way,
  `local_quota` for one tenant's share, and `owner_links` for the connections to shard owners.
- `shard_owner`: `ShardOwner` at each controller counts, with `shard_lease` for what it owns,
  `tenant_counter` for one tenant's count, and `client_registry` for the clients' liveness. A count consists
  of `share_allocator`, `precedence_demand` and `attempt_history`.
- `shard_assigner`: `ShardAssigner` at the leader of the core grants shards to owners under leases.
- `events`, `outputs`, `protocol`: what goes in and out, and the constants that all of them share.
- `window`, `client_count`, `view_audit`, `decision_statistics`: windows, bounds, audits and statistics.

Rules cited are those of the users' pages (QUOTA, DENIED).
"""
