"""Workflows: jobs of dependent steps on workers that the cell calls itself."""
