"""Leader tasks: leases, orders to workers, slot assignment and queries."""
