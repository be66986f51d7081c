"""Demonstration of a complete small cell on loopback."""
