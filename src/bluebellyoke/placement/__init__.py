"""Placement of tasks on workers."""
