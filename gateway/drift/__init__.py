"""Drift detection: which nodes run another configuration than the acknowledged one.

Where to read on:

- `detector`: `DriftDetector`, the state machine of one node.
- `live_check`: checks of the running configuration on live requests; `quota_windows`: checks of the rate
  limits.
- `fleet_status`: `FleetStatus` at a controller, which tracks the configuration that each node runs.
- `events`, `outputs`: inputs and outputs; `metrics`: the Prometheus text format.
"""
