"""Small stand-ins for the outside of a cell: upstreams, workers and callers.

They follow docs/API.md and keep ledgers of their own, so that checks never rely on
what the system says of itself.
"""
