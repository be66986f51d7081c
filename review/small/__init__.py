"""A small deployment on loopback, shared by the scripts of the second review."""
