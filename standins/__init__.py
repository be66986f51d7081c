"""Stand-ins for the peers of a cell: upstreams, workers, callers and the platform.

They follow docs/API.md and keep their own ledgers, so that checks do not depend on
what the system reports about itself.
"""
