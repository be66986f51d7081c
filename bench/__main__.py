"""All measurements, one JSON object a line. Arguments choose modules by name."""

import sys

from bench import capacity, consensus, dispatch, placement, policies, routing, tickets

MODULES = {
    "placement": placement,
    "policies": policies,
    "routing": routing,
    "agreement": consensus,
    "tickets": tickets,
    "capacity": capacity,
    "dispatch": dispatch,
}

for name in sys.argv[1:] or MODULES:
    MODULES[name].main()
