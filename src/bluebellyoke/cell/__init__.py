"""Replicated state of a cell: tickets, jobs, workers, upstreams and claims."""
