"""Demonstration of a whole small cell on loopback."""
