"""A cluster scheduler for services, batch jobs and gang jobs."""

__all__ = ["__version__"]

__version__ = "0.1.0"
