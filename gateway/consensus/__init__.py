"""The configuration: agreement on one value among the core's disks."""
