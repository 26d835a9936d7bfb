"""Drift watch: whether a node runs the acknowledged configuration, and which nodes of the fleet don't.

Where to read on:

- `detector`: `DriftDetector`, the state machine of one node.
- `live_check`: checks of the running configuration on live requests; `quota_windows`: of the rate limits.
- `fleet_status`: `FleetStatus` at a controller, which configuration each node runs.
- `events`, `outputs`: what goes in and out; `metrics`: the Prometheus text format.
"""
