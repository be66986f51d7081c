"""Configurations of the operator with one service."""

__all__ = ["HOST", "PREFIX", "SERVICE", "create_configuration", "create_route"]

HOST, PREFIX = "nony24.example", "/lohu930/"
SERVICE = "huvo11a"


def create_route(name, *, prefix=PREFIX, timeout_ms=3000):
    """Return a route to the service."""
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": prefix,
        "RouteType": "non_idempotent",
        "TimeoutMs": timeout_ms,
        "TargetDurationMs": 1000,
        "Priority": 1,
        "Service": SERVICE,
        "Attempts": 3,
        "SlackFactor": 2.2,
    }


def create_configuration(version, routes):
    """Return a configuration with these routes."""
    service = {
        "Name": SERVICE,
        "HealthPath": "/health",
        "MaxConns": 64,
        "Protocol": "h1",
        "TlsEnabled": False,
        "EnforceCapacity": False,
        "Standby": False,
    }
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 262144,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    }
    return {
        "Version": version,
        "Routes": routes,
        "Services": [service],
        "Limits": limits,
    }
