"""Raft consensus: elections, log replication, storage and membership changes."""
