"""Membership: gossip between processes, backends under lease, and change logs that other processes follow."""
