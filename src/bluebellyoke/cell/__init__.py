"""Aggregates of the cell: tickets, jobs, workers, upstreams and claims."""
