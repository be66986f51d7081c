"""Workflows: jobs of dependent steps that run on workers which the leader calls."""
