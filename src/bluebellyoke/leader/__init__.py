"""Duties of the leader: leases, orders to workers, grants of slots, reports."""
